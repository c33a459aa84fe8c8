#include "dotterel/peers/LoadExchange.h"

#include <algorithm>
#include <functional>
#include <utility>
#include <xxhash.h>

namespace dotterel {

namespace {

auto addLoads(std::map<BackendId, BackendLoad> &Sum, const LoadSummary &Loads)
    -> void {
  for (const auto &Item : Loads.m_Engines) {
    auto &Entry = Sum[Item.m_Engine];
    Entry.m_Engine = Item.m_Engine;
    Entry.m_Requests += Item.m_Requests;
    Entry.m_PendingPrefillTokens += Item.m_PendingPrefillTokens;
  }
}

/// Keeps the newer one of two reports on a server. \p Elapsed is the time since
/// \p Loads was received.
auto addRateLimits(std::map<BackendId, RateLimitReport> &Newest,
                   const LoadSummary &Loads, Duration Elapsed) -> void {
  for (auto Report : Loads.m_RateLimits) {
    Report.m_Age += Elapsed;
    auto [Found, New] = Newest.try_emplace(Report.m_Backend, Report);
    if (!New && Report.m_Age < Found->second.m_Age)
      Found->second = Report;
  }
}

auto hashOf(const HostId &Host, std::uint64_t Seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(Host.text().data(), Host.text().size(), Seed);
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

template <typename Content>
auto LoadExchange::message(Content Loads) const -> std::string {
  const auto &Self = m_Registry.self();
  return encodeHostMessage({.m_Sender = Self.m_Host,
                            .m_DataCentre = Self.m_DataCentre,
                            .m_Content = std::move(Loads)});
}

auto LoadExchange::keepForOthers(const LoadSummary &Loads) -> void {
  m_UnsentReads.insert(m_UnsentReads.end(), Loads.m_Reads.begin(),
                       Loads.m_Reads.end());
  auto Now = m_Scheduler.now();
  for (const auto &Report : Loads.m_Speeds) {
    auto &[ReceivedAt, Sum] = m_UnsentSpeeds[Report.m_Backend];
    Sum.m_Backend = Report.m_Backend;
    Sum.m_DeviationSum += Report.m_DeviationSum;
    Sum.m_Measurements += Report.m_Measurements;
    if (!Report.m_Factor ||
        (Sum.m_Factor && Now - Report.m_Age < ReceivedAt - Sum.m_Age))
      continue;
    Sum.m_Factor = Report.m_Factor;
    Sum.m_Age = Report.m_Age;
    ReceivedAt = Now;
  }
}

auto LoadExchange::sendLocal() -> void {
  m_OwnLoads = m_Source();
  m_OwnLoadsAt = m_Scheduler.now();
  keepForOthers(m_OwnLoads);
  sendToLocalHosts(message(m_OwnLoads));
  if (auto Use = m_UseSource ? m_UseSource(false) : std::nullopt)
    sendToLocalHosts(message(std::move(*Use)));
}

auto LoadExchange::liveLocalHosts() const -> std::vector<HostId> {
  auto Now = m_Scheduler.now();
  auto Result = std::vector<HostId>{m_Registry.self().m_Host};
  for (const auto &[Host, Entry] : m_LocalLoads)
    if (Now - Entry.m_ReceivedAt < m_Options.m_LivenessTimeout &&
        m_Registry.others().contains(Host))
      Result.push_back(Host);
  std::sort(Result.begin(), Result.end());
  return Result;
}

auto LoadExchange::isRelay() const -> bool {
  return liveLocalHosts().front() == m_Registry.self().m_Host;
}

auto LoadExchange::sendRemote() -> void {
  auto Reads = std::exchange(m_UnsentReads, {});
  auto Speeds = std::exchange(m_UnsentSpeeds, {});
  if (!isRelay())
    return;
  auto Now = m_Scheduler.now();
  auto Sum = std::map<BackendId, BackendLoad>();
  auto RateLimits = std::map<BackendId, RateLimitReport>();
  addLoads(Sum, m_OwnLoads);
  addRateLimits(RateLimits, m_OwnLoads, Now - m_OwnLoadsAt);
  auto Demand = m_OwnLoads.m_PrefillTokensPerSecond;
  for (const auto &[Host, Entry] : m_LocalLoads) {
    if (Now - Entry.m_ReceivedAt >= m_Options.m_LivenessTimeout)
      continue;
    addLoads(Sum, Entry.m_Loads);
    addRateLimits(RateLimits, Entry.m_Loads, Now - Entry.m_ReceivedAt);
    Demand += Entry.m_Loads.m_PrefillTokensPerSecond;
  }
  auto Total = LoadSummary{.m_WholeDataCentre = true,
                           .m_PrefillTokensPerSecond = Demand,
                           .m_Reads = std::move(Reads)};
  for (auto &[Engine, Load] : Sum)
    Total.m_Engines.push_back(std::move(Load));
  for (auto &[Backend, Report] : RateLimits)
    Total.m_RateLimits.push_back(std::move(Report));
  for (auto &[Backend, Speed] : Speeds) {
    if (Speed.m_Report.m_Factor)
      Speed.m_Report.m_Age += Now - Speed.m_ReceivedAt;
    Total.m_Speeds.push_back(std::move(Speed.m_Report));
  }
  ++m_Round;
  if (!Total.m_Speeds.empty())
    Total.m_Number = m_Round;
  auto Bytes = message(std::move(Total));
  auto Targets = chooseRemoteTargets();
  for (const auto &Address : Targets)
    m_Port.send(Address, Bytes);
  if (auto Use = m_UseSource ? m_UseSource(true) : std::nullopt) {
    auto UseBytes = message(std::move(*Use));
    for (const auto &Address : Targets)
      m_Port.send(Address, UseBytes);
  }
}

auto LoadExchange::chooseRemoteTargets() -> std::vector<std::string> {
  // Chosen at random for each summary, so that the registered hosts share the
  // distribution, and one that has ended costs a few summaries only.
  auto Seed = std::hash<HostId>()(m_Registry.self().m_Host) + m_Round;
  auto Ranked = std::map<DataCentreId,
                         std::vector<std::pair<std::uint64_t, std::string>>>();
  for (const auto &[Host, Record] : m_Registry.others())
    if (Record.m_DataCentre != m_Registry.self().m_DataCentre)
      Ranked[Record.m_DataCentre].emplace_back(hashOf(Host, Seed),
                                               Record.m_Address);
  auto Result = std::vector<std::string>();
  for (auto &[DataCentre, Hosts] : Ranked) {
    auto Count = std::min(Hosts.size(), m_Options.m_RemoteTargets);
    auto End = Hosts.begin() + static_cast<std::ptrdiff_t>(Count);
    std::partial_sort(Hosts.begin(), End, Hosts.end());
    for (auto Item = Hosts.begin(); Item != End; ++Item)
      Result.push_back(std::move(Item->second));
  }
  return Result;
}

auto LoadExchange::sendOn(const HostId &Distributor, std::string_view Bytes)
    -> void {
  const auto &Self = m_Registry.self().m_Host;
  auto Seed = std::hash<HostId>()(Distributor);
  auto Order = std::vector<std::pair<std::uint64_t, HostId>>();
  for (auto &Host : liveLocalHosts())
    if (Host != Distributor)
      Order.emplace_back(hashOf(Host, Seed), std::move(Host));
  std::sort(Order.begin(), Order.end());
  // The children of the distributor come first, then those of the host at
  // position 0, and so on.
  auto First = std::size_t{0};
  if (Self != Distributor) {
    auto Own = std::find_if(Order.begin(), Order.end(), [&](const auto &Item) {
      return Item.second == Self;
    });
    First = (static_cast<std::size_t>(Own - Order.begin()) + 1) *
            m_Options.m_FanOut;
  }
  auto End = std::min(Order.size(), First + m_Options.m_FanOut);
  for (auto Index = First; Index < End; ++Index)
    m_Port.send(m_Registry.others().at(Order[Index].second).m_Address, Bytes);
}

auto LoadExchange::sendToLocalHosts(std::string_view Bytes) -> void {
  for (const auto &[Host, Record] : m_Registry.others())
    if (Record.m_DataCentre == m_Registry.self().m_DataCentre)
      m_Port.send(Record.m_Address, Bytes);
}

auto LoadExchange::isFromLocalHost(const std::string &Address) const -> bool {
  const auto &Others = m_Registry.others();
  return std::any_of(Others.begin(), Others.end(), [&](const auto &Item) {
    return Item.second.m_Address == Address &&
           Item.second.m_DataCentre == m_Registry.self().m_DataCentre;
  });
}

auto LoadExchange::prefillDemand() const -> std::optional<double> {
  auto Now = m_Scheduler.now();
  auto Sum = m_OwnLoads.m_PrefillTokensPerSecond;
  // The callers of an unresponsive host move to another host. An unresponsive
  // data centre may be unreachable from this one only.
  for (const auto &[Host, Entry] : m_LocalLoads)
    if (Now - Entry.m_ReceivedAt <= m_Options.m_MaxDemandAge)
      Sum += Entry.m_Loads.m_PrefillTokensPerSecond;
  for (const auto &[Host, Record] : m_Registry.others()) {
    if (Record.m_DataCentre == m_Registry.self().m_DataCentre)
      continue;
    auto Found = m_RemoteDemands.find(Record.m_DataCentre);
    if (Found == m_RemoteDemands.end() ||
        Now - Found->second.m_ReceivedAt > m_Options.m_MaxDemandAge)
      return std::nullopt;
  }
  for (const auto &[DataCentre, Entry] : m_RemoteDemands)
    if (Now - Entry.m_ReceivedAt <= m_Options.m_MaxDemandAge)
      Sum += Entry.m_Demand;
  return Sum;
}

auto LoadExchange::isFirstCopy(const HostId &Sender, std::uint64_t Number)
    -> bool {
  // Copies are at most a few summaries behind the first one.
  constexpr auto Remembered = std::size_t{8};
  auto &Recent = m_RecentNumbers[Sender];
  if (std::find(Recent.begin(), Recent.end(), Number) != Recent.end())
    return false;
  Recent.push_back(Number);
  if (Recent.size() > Remembered)
    Recent.erase(Recent.begin());
  return true;
}

auto LoadExchange::receive(const HostMessage &Message,
                           const std::string &Address, std::string_view Bytes)
    -> void {
  if (const auto *Use = std::get_if<OrganisationUse>(&Message.m_Content)) {
    receiveUse(Message, *Use, Address, Bytes);
    return;
  }
  const auto *Loads = std::get_if<LoadSummary>(&Message.m_Content);
  if (Loads == nullptr)
    return;
  const auto &Self = m_Registry.self();
  if (!Loads->m_WholeDataCentre) {
    if (Message.m_DataCentre != Self.m_DataCentre)
      return;
    m_LocalLoads[Message.m_Sender] = {.m_ReceivedAt = m_Scheduler.now(),
                                      .m_Loads = *Loads};
    keepForOthers(*Loads);
    m_Sink(Message.m_Sender.text(), *Loads);
    return;
  }
  if (Message.m_DataCentre == Self.m_DataCentre)
    return;
  m_RemoteDemands[Message.m_DataCentre] = {.m_ReceivedAt = m_Scheduler.now(),
                                           .m_Demand =
                                               Loads->m_PrefillTokensPerSecond};
  if (Loads->m_Speeds.empty() ||
      isFirstCopy(Message.m_Sender, Loads->m_Number)) {
    m_Sink(Message.m_DataCentre.text(), *Loads);
  } else {
    // Measurements would count twice.
    auto Repeated = *Loads;
    Repeated.m_Speeds.clear();
    m_Sink(Message.m_DataCentre.text(), Repeated);
  }
  distribute<LoadSummary>(Message, Address, Bytes);
}

template <typename Content>
auto LoadExchange::distribute(const HostMessage &Message,
                              const std::string &Address,
                              std::string_view Bytes) -> void {
  const auto &Distributor = std::get<Content>(Message.m_Content).m_Distributor;
  if (!Distributor.empty()) {
    sendOn(Distributor, Bytes);
    return;
  }
  // An older host sends a summary on to all hosts itself.
  if (isFromLocalHost(Address))
    return;
  const auto &Self = m_Registry.self();
  auto Distributed = Message;
  std::get<Content>(Distributed.m_Content).m_Distributor = Self.m_Host;
  sendOn(Self.m_Host, encodeHostMessage(Distributed));
}

auto LoadExchange::receiveUse(const HostMessage &Message,
                              const OrganisationUse &Use,
                              const std::string &Address,
                              std::string_view Bytes) -> void {
  auto Local = Message.m_DataCentre == m_Registry.self().m_DataCentre;
  if (Local == Use.m_WholeDataCentre)
    return;
  if (m_UseSink)
    m_UseSink(Message.m_Sender, Message.m_DataCentre, Use);
  if (!Local)
    distribute<OrganisationUse>(Message, Address, Bytes);
}

} // namespace dotterel
