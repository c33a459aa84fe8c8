#include "dotterel/peers/LoadExchange.h"

#include <algorithm>
#include <utility>

namespace dotterel {

namespace {

auto add(std::map<BackendId, BackendLoad> &Sum, const LoadSummary &Loads)
    -> void {
  for (const auto &Item : Loads.m_Engines) {
    auto &Entry = Sum[Item.m_Engine];
    Entry.m_Engine = Item.m_Engine;
    Entry.m_Requests += Item.m_Requests;
    Entry.m_PendingPrefillTokens += Item.m_PendingPrefillTokens;
  }
}

} // namespace

LoadExchange::LoadExchange(Scheduler &Scheduler, DatagramPort &Port,
                           const HostRegistry &Registry, Source Source,
                           Sink Sink, const LoadExchangeOptions &Options)
    : m_Scheduler(Scheduler), m_Port(Port), m_Registry(Registry),
      m_Source(std::move(Source)), m_Sink(std::move(Sink)), m_Options(Options) {
}

auto LoadExchange::start() -> void {
  m_LocalTimer.emplace(m_Scheduler, m_Options.m_LocalInterval,
                       [this] { sendLocal(); });
  m_RemoteTimer.emplace(m_Scheduler, m_Options.m_RemoteInterval,
                        [this] { sendRemote(); });
}

auto LoadExchange::message(LoadSummary Loads) const -> std::string {
  const auto &Self = m_Registry.self();
  return encodeHostMessage({.m_Sender = Self.m_Host,
                            .m_DataCentre = Self.m_DataCentre,
                            .m_Content = std::move(Loads)});
}

auto LoadExchange::sendLocal() -> void {
  m_Own = m_Source();
  m_Reads.insert(m_Reads.end(), m_Own.m_Reads.begin(), m_Own.m_Reads.end());
  sendToOwn(message(m_Own));
}

auto LoadExchange::present() const -> std::vector<HostId> {
  auto Now = m_Scheduler.now();
  auto Result = std::vector<HostId>{m_Registry.self().m_Host};
  for (const auto &[Host, Entry] : m_Local)
    if (Now - Entry.m_At < m_Options.m_RelayLapse &&
        m_Registry.others().contains(Host))
      Result.push_back(Host);
  std::sort(Result.begin(), Result.end());
  return Result;
}

auto LoadExchange::relays() const -> bool {
  return present().front() == m_Registry.self().m_Host;
}

auto LoadExchange::sendRemote() -> void {
  auto Reads = std::exchange(m_Reads, {});
  if (!relays())
    return;
  auto Now = m_Scheduler.now();
  auto Sum = std::map<BackendId, BackendLoad>();
  add(Sum, m_Own);
  auto Demand = m_Own.m_PrefillTokensPerSecond;
  for (const auto &[Host, Entry] : m_Local) {
    if (Now - Entry.m_At >= m_Options.m_RelayLapse)
      continue;
    add(Sum, Entry.m_Loads);
    Demand += Entry.m_Loads.m_PrefillTokensPerSecond;
  }
  auto Whole = LoadSummary{.m_WholeDataCentre = true,
                           .m_PrefillTokensPerSecond = Demand,
                           .m_Reads = std::move(Reads)};
  for (auto &[Engine, Load] : Sum)
    Whole.m_Engines.push_back(std::move(Load));
  auto Bytes = message(std::move(Whole));
  auto Sent = std::map<DataCentreId, std::size_t>();
  for (const auto &[Host, Record] : m_Registry.others())
    if (Record.m_DataCentre != m_Registry.self().m_DataCentre &&
        Sent[Record.m_DataCentre]++ < m_Options.m_RemoteTargets)
      m_Port.send(Record.m_Address, Bytes);
}

auto LoadExchange::sendToOwn(std::string_view Bytes) -> void {
  for (const auto &[Host, Record] : m_Registry.others())
    if (Record.m_DataCentre == m_Registry.self().m_DataCentre)
      m_Port.send(Record.m_Address, Bytes);
}

auto LoadExchange::fromOwn(const std::string &Address) const -> bool {
  const auto &Others = m_Registry.others();
  return std::any_of(Others.begin(), Others.end(), [&](const auto &Item) {
    return Item.second.m_Address == Address &&
           Item.second.m_DataCentre == m_Registry.self().m_DataCentre;
  });
}

auto LoadExchange::demand() const -> std::optional<double> {
  auto Now = m_Scheduler.now();
  auto Sum = m_Own.m_PrefillTokensPerSecond;
  // Callers of a host that is silent come to another one; a data centre that is
  // silent may be cut off from this one alone.
  for (const auto &[Host, Entry] : m_Local)
    if (Now - Entry.m_At <= m_Options.m_DemandLapse)
      Sum += Entry.m_Loads.m_PrefillTokensPerSecond;
  for (const auto &[Host, Record] : m_Registry.others()) {
    if (Record.m_DataCentre == m_Registry.self().m_DataCentre)
      continue;
    auto Found = m_Remote.find(Record.m_DataCentre);
    if (Found == m_Remote.end() ||
        Now - Found->second.m_At > m_Options.m_DemandLapse)
      return std::nullopt;
  }
  for (const auto &[DataCentre, Entry] : m_Remote)
    if (Now - Entry.m_At <= m_Options.m_DemandLapse)
      Sum += Entry.m_Demand;
  return Sum;
}

auto LoadExchange::receive(const HostMessage &Message,
                           const std::string &Address, std::string_view Bytes)
    -> void {
  const auto *Loads = std::get_if<LoadSummary>(&Message.m_Content);
  if (Loads == nullptr)
    return;
  const auto &Self = m_Registry.self();
  if (!Loads->m_WholeDataCentre) {
    if (Message.m_DataCentre != Self.m_DataCentre)
      return;
    m_Local[Message.m_Sender] = {.m_At = m_Scheduler.now(), .m_Loads = *Loads};
    m_Reads.insert(m_Reads.end(), Loads->m_Reads.begin(), Loads->m_Reads.end());
    m_Sink(Message.m_Sender.text(), *Loads);
    return;
  }
  if (Message.m_DataCentre == Self.m_DataCentre)
    return;
  m_Remote[Message.m_DataCentre] = {
      .m_At = m_Scheduler.now(), .m_Demand = Loads->m_PrefillTokensPerSecond};
  m_Sink(Message.m_DataCentre.text(), *Loads);
  // Inside a data centre a summary is passed on once, by who got it first.
  if (!fromOwn(Address))
    sendToOwn(Bytes);
}

} // namespace dotterel
