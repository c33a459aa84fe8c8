#include "dotterel/peers/StoreRelay.h"

#include <algorithm>
#include <utility>

namespace dotterel {

StoreRelay::StoreRelay(Scheduler &Scheduler, DatagramPort &Port,
                       const HostRegistry &Registry,
                       const LoadExchange &Exchange, StoreRelayHooks Hooks,
                       const StoreRelayOptions &Options)
    : m_Scheduler(Scheduler), m_Port(Port), m_Registry(Registry),
      m_Exchange(Exchange), m_Hooks(std::move(Hooks)), m_Options(Options) {}

StoreRelay::~StoreRelay() {
  if (m_FlushTimer)
    m_Scheduler.cancel(*m_FlushTimer);
}

auto StoreRelay::start() -> void {
  m_Timer.emplace(m_Scheduler, m_Options.m_QueryInterval,
                  [this] { queryRelays(); });
}

auto StoreRelay::message(decltype(HostMessage::m_Content) Content) const
    -> std::string {
  const auto &Self = m_Registry.self();
  return encodeHostMessage({.m_Sender = Self.m_Host,
                            .m_DataCentre = Self.m_DataCentre,
                            .m_Content = std::move(Content)});
}

auto StoreRelay::queryRelays() -> void {
  auto Present = m_Exchange.liveLocalHosts();
  Present.resize(std::min(Present.size(), m_Options.m_RelayCount));
  auto Relay = std::find(Present.begin(), Present.end(),
                         m_Registry.self().m_Host) != Present.end();
  auto Follow =
      !Relay && m_Hooks.m_ConfirmationAge() < m_Options.m_FallbackTimeout;
  if (std::exchange(m_Following, Follow) != Follow)
    m_Hooks.m_OnFollowingChange(Follow);
  if (Relay)
    return;
  // Also sent while this host watches the store itself, so that it can stop.
  auto Bytes = message(RelayQuery{.m_SentAt = m_Scheduler.now()});
  for (const auto &Host : Present)
    m_Port.send(m_Registry.others().at(Host).m_Address, Bytes);
}

auto StoreRelay::sendReply(const RelayQuery &Query, const std::string &Address)
    -> void {
  auto Age = m_Hooks.m_ConfirmationAge();
  // A confirmation is relayed only once, by the host that read the store. A
  // host that has lost the store does not reply.
  if (m_Following || Age > m_Options.m_FallbackTimeout)
    return;
  m_Port.send(Address,
              message(RelayReply{.m_SentAt = Query.m_SentAt,
                                 .m_ConfirmationAge = Age,
                                 .m_ConfigRevision = m_Hooks.m_ConfigRevision(),
                                 .m_BackendsDigest = m_Hooks.m_BackendsDigest(),
                                 .m_StoreEra = m_Hooks.m_StoreEra()}));
}

auto StoreRelay::handleReply(const HostId &Relay, const RelayReply &Reply)
    -> void {
  // What a relay confirms is of the history that it has observed.
  if (Reply.m_StoreEra != m_Hooks.m_StoreEra()) {
    m_Hooks.m_OnStoreEra(Reply.m_StoreEra);
    return;
  }
  if (Reply.m_ConfigRevision > m_Hooks.m_ConfigRevision()) {
    m_Hooks.m_RefreshConfiguration();
    return;
  }
  auto ConfirmedAt = Reply.m_SentAt - Reply.m_ConfirmationAge;
  m_Hooks.m_OnConfigurationConfirmed(ConfirmedAt);
  m_NewestConfirmation = std::max(m_NewestConfirmation, ConfirmedAt);
  // The digest of a relay that is behind would hide changes that the other
  // relay reports.
  if (ConfirmedAt + m_Options.m_MaxRelayLag < m_NewestConfirmation)
    return;
  auto Agrees = Reply.m_BackendsDigest == m_Hooks.m_BackendsDigest();
  if (Agrees)
    m_Hooks.m_OnBackendsConfirmed(ConfirmedAt);
  if (!m_Following || Agrees) {
    m_Mismatches.erase(Relay);
    return;
  }
  if (++m_Mismatches[Relay] <= m_Options.m_AllowedMismatches)
    return;
  m_Mismatches.clear();
  m_Hooks.m_RefreshBackends();
}

auto StoreRelay::receive(const HostMessage &Message, const std::string &Address)
    -> void {
  if (Message.m_DataCentre != m_Registry.self().m_DataCentre)
    return;
  if (const auto *Query = std::get_if<RelayQuery>(&Message.m_Content))
    sendReply(*Query, Address);
  else if (const auto *Reply = std::get_if<RelayReply>(&Message.m_Content))
    handleReply(Message.m_Sender, *Reply);
  else if (const auto *Relayed =
               std::get_if<RelayedChanges>(&Message.m_Content))
    for (const auto &Change : Relayed->m_Changes) {
      m_Hooks.m_OnStoreEra(Change.m_Revision.era());
      m_Hooks.m_OnBackendChange(Change);
    }
}

auto StoreRelay::relayChange(const KeyChange &Change) -> void {
  if (m_Following)
    return;
  m_Pending[Change.m_Key] = Change;
  // The changes of one store response are sent together.
  if (!m_FlushTimer)
    m_FlushTimer = m_Scheduler.schedule(Duration::zero(), [this] {
      m_FlushTimer.reset();
      sendPending();
    });
}

auto StoreRelay::sendPending() -> void {
  auto Group = RelayedChanges();
  auto Size = std::size_t{0};
  for (auto &[Key, Change] : std::exchange(m_Pending, {})) {
    auto Bytes = Key.size() + (Change.m_Value ? Change.m_Value->size() : 0);
    if (Size > 0 && Size + Bytes > m_Options.m_MaxMessageBytes) {
      sendChanges(std::exchange(Group, {}));
      Size = 0;
    }
    Size += Bytes;
    Group.m_Changes.push_back(std::move(Change));
  }
  sendChanges(std::move(Group));
}

auto StoreRelay::sendChanges(RelayedChanges Changes) -> void {
  auto Bytes = message(std::move(Changes));
  for (const auto &[Host, Record] : m_Registry.others())
    if (Record.m_DataCentre == m_Registry.self().m_DataCentre)
      m_Port.send(Record.m_Address, Bytes);
}

} // namespace dotterel
