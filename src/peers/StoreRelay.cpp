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
  m_Timer.emplace(m_Scheduler, m_Options.m_AskInterval, [this] { step(); });
}

auto StoreRelay::message(decltype(HostMessage::m_Content) Content) const
    -> std::string {
  const auto &Self = m_Registry.self();
  return encodeHostMessage({.m_Sender = Self.m_Host,
                            .m_DataCentre = Self.m_DataCentre,
                            .m_Content = std::move(Content)});
}

auto StoreRelay::step() -> void {
  auto Present = m_Exchange.present();
  Present.resize(std::min(Present.size(), m_Options.m_Relays));
  auto Relay = std::find(Present.begin(), Present.end(),
                         m_Registry.self().m_Host) != Present.end();
  auto Follow = !Relay && m_Hooks.m_EvidenceAge() < m_Options.m_FallBackAfter;
  if (std::exchange(m_Following, Follow) != Follow)
    m_Hooks.m_OnFollow(Follow);
  if (Relay)
    return;
  // Asked also while this host watches the store itself, so that it can stop.
  auto Bytes = message(RelayQuestion{.m_SentAt = m_Scheduler.now()});
  for (const auto &Host : Present)
    m_Port.send(m_Registry.others().at(Host).m_Address, Bytes);
}

auto StoreRelay::reply(const RelayQuestion &Question,
                       const std::string &Address) -> void {
  auto Age = m_Hooks.m_EvidenceAge();
  // Evidence is passed on once, from who read the store.
  // A host that has lost the store itself has nothing to say.
  if (m_Following || Age > m_Options.m_FallBackAfter)
    return;
  m_Port.send(Address, message(RelayReply{.m_SentAt = Question.m_SentAt,
                                          .m_EvidenceAge = Age,
                                          .m_Config = m_Hooks.m_Config(),
                                          .m_BackendsDigest =
                                              m_Hooks.m_BackendsDigest()}));
}

auto StoreRelay::take(const HostId &Relay, const RelayReply &Reply) -> void {
  if (Reply.m_Config > m_Hooks.m_Config()) {
    m_Hooks.m_RefreshConfiguration();
    return;
  }
  auto EvidenceAt = Reply.m_SentAt - Reply.m_EvidenceAge;
  m_Hooks.m_OnEvidence(EvidenceAt);
  m_NewestEvidence = std::max(m_NewestEvidence, EvidenceAt);
  // A relay that is behind would hide what the other one shows.
  if (EvidenceAt + m_Options.m_BehindAfter < m_NewestEvidence)
    return;
  auto Agrees = Reply.m_BackendsDigest == m_Hooks.m_BackendsDigest();
  if (Agrees)
    m_Hooks.m_OnBackendsEvidence(EvidenceAt);
  if (!m_Following || Agrees) {
    m_Mismatches.erase(Relay);
    return;
  }
  if (++m_Mismatches[Relay] <= m_Options.m_MismatchesAllowed)
    return;
  m_Mismatches.clear();
  m_Hooks.m_RefreshBackends();
}

auto StoreRelay::receive(const HostMessage &Message, const std::string &Address)
    -> void {
  if (Message.m_DataCentre != m_Registry.self().m_DataCentre)
    return;
  if (const auto *Question = std::get_if<RelayQuestion>(&Message.m_Content))
    reply(*Question, Address);
  else if (const auto *Reply = std::get_if<RelayReply>(&Message.m_Content))
    take(Message.m_Sender, *Reply);
  else if (const auto *Relayed =
               std::get_if<RelayedChanges>(&Message.m_Content))
    for (const auto &Change : Relayed->m_Changes)
      m_Hooks.m_OnBackendChange(Change);
}

auto StoreRelay::passOn(const KeyChange &Change) -> void {
  if (m_Following)
    return;
  m_Pending[Change.m_Key] = Change;
  // The changes of one answer of the store go out together.
  if (!m_FlushTimer)
    m_FlushTimer = m_Scheduler.schedule(Duration::zero(), [this] {
      m_FlushTimer.reset();
      flush();
    });
}

auto StoreRelay::flush() -> void {
  auto Group = RelayedChanges();
  auto Size = std::size_t{0};
  for (auto &[Key, Change] : std::exchange(m_Pending, {})) {
    auto Bytes = Key.size() + (Change.m_Value ? Change.m_Value->size() : 0);
    if (Size > 0 && Size + Bytes > m_Options.m_MessageBytes) {
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
