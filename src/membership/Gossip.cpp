#include "dotterel/membership/Gossip.h"

#include <algorithm>
#include <utility>

namespace dotterel {

Gossip::Gossip(Scheduler &Scheduler, Random &Random, MemberTable &Members,
               PeerCaller &Peers, ConfigurationHolder &Configuration,
               FreshnessTracker &Freshness, CrashRegistry &Crashes,
               const GossipOptions &Options)
    : m_Scheduler(Scheduler), m_Random(Random), m_Members(Members),
      m_Peers(Peers), m_Configuration(Configuration), m_Freshness(Freshness),
      m_Crashes(Crashes), m_Options(Options) {}

auto Gossip::setLeavingBackends(
    std::function<std::vector<BackendId>()> Report,
    std::function<void(const std::vector<BackendId> &)> Receive) -> void {
  m_LeavingBackendsSource = std::move(Report);
  m_OnLeavingBackends = std::move(Receive);
}

auto Gossip::setRateLimits(
    std::function<std::vector<RateLimitReport>()> Report,
    std::function<void(const std::vector<RateLimitReport> &)> Receive) -> void {
  m_RateLimitsSource = std::move(Report);
  m_OnRateLimits = std::move(Receive);
}

auto Gossip::setListed(std::vector<ListedProcess> Listed) -> void {
  m_Listed = std::move(Listed);
  m_ListedIds.clear();
  for (const auto &Item : m_Listed)
    if (!Item.m_Leaving)
      m_ListedIds.insert(Item.m_Process);
}

auto Gossip::otherGates() const -> std::optional<std::set<ProcessId>> {
  if (m_Listed.empty())
    return std::nullopt;
  auto Gates = std::set<ProcessId>();
  for (const auto &Item : m_Listed)
    if (Item.m_Role == ProcessRole::Gate)
      Gates.insert(Item.m_Process);
  for (const auto &Item :
       m_Members.serving(ProcessRole::Gate, m_Scheduler.now()))
    Gates.insert(Item.m_Process);
  Gates.erase(m_Members.self().m_Process);
  return Gates;
}

auto Gossip::relays() const -> std::vector<Member> {
  const auto &Self = m_Members.self();
  auto Nearby = m_Members.serving(ProcessRole::Gate, m_Scheduler.now());
  std::erase_if(Nearby, [&Self](const Member &Item) {
    return Item.m_Location.m_DataCentre != Self.m_Location.m_DataCentre;
  });
  if (Self.m_Role == ProcessRole::Gate && !Self.m_Leaving)
    Nearby.push_back(Self);
  auto Ordered =
      rendezvousOrder("relay/" + Self.m_Location.m_DataCentre.text(), Nearby);
  if (Ordered.size() > m_Options.m_RelaysPerDataCentre)
    Ordered.resize(m_Options.m_RelaysPerDataCentre);
  return Ordered;
}

auto Gossip::readsStore() const -> bool {
  if (m_Freshness.age(m_Scheduler.now()) > m_Options.m_SelfReadAge)
    return true;
  auto Chosen = relays();
  return std::any_of(Chosen.begin(), Chosen.end(), [this](const Member &Item) {
    return Item.m_Process == m_Members.self().m_Process;
  });
}

auto Gossip::relayAddress() const -> std::string {
  auto Chosen = relays();
  std::erase_if(Chosen, [this](const Member &Item) {
    return Item.m_Process == m_Members.self().m_Process;
  });
  if (Chosen.empty())
    return {};
  // Alternates between the relays, so that an unreachable one is noticed.
  auto Turn = m_Members.self().m_Heartbeat % Chosen.size();
  return Chosen[Turn].m_Address;
}

auto Gossip::randomAddress() -> std::string {
  auto Addresses = std::vector<std::string>();
  for (const auto &Item : m_Members.live(m_Scheduler.now()))
    Addresses.push_back(Item.m_Address);
  // Listed processes without a live record join through this exchange.
  for (const auto &Item : m_Listed)
    if (Item.m_Process != m_Members.self().m_Process &&
        m_Members.findLive(Item.m_Process, m_Scheduler.now()) == nullptr)
      Addresses.push_back(Item.m_Address);
  if (Addresses.empty())
    return {};
  return Addresses[m_Random.below(Addresses.size())];
}

auto Gossip::ownView() -> PeerView {
  auto Now = m_Scheduler.now();
  m_Members.self().m_ConfigRevision = m_Configuration.revision();
  m_Members.self().m_StoreLost = m_Freshness.storeLost(Now);
  auto View = PeerView{.m_Members = m_Members.view(m_Random, Now),
                       .m_Crashes = m_Crashes.reports(Now),
                       .m_ConfirmationAge = m_Freshness.age(Now)};
  if (m_LeavingBackendsSource)
    View.m_LeavingBackends = m_LeavingBackendsSource();
  if (m_RateLimitsSource)
    View.m_RateLimits = m_RateLimitsSource();
  return View;
}

auto Gossip::runRound() -> void {
  m_Members.advanceHeartbeat(m_Scheduler.now());
  auto Relay = relayAddress();
  if (!Relay.empty())
    exchangeWith(Relay);
  auto Other = randomAddress();
  if (!Other.empty() && Other != Relay)
    exchangeWith(Other);
}

auto Gossip::exchangeWith(const std::string &Address,
                          std::function<void()> Done) -> void {
  auto SentAt = m_Scheduler.now();
  m_Peers.exchange(
      Address, ownView(),
      [this, Address, SentAt,
       Done = std::move(Done)](const std::optional<PeerView> &Reply) {
        if (!Reply || Reply->m_Members.empty()) {
          if (Done)
            Done();
          return;
        }
        mergeView(*Reply);
        mergeRateLimits(*Reply, SentAt);
        auto PeerRevision = Reply->m_Members.front().m_ConfigRevision;
        auto Age = Reply->m_ConfirmationAge;
        fetchNewerConfiguration(
            Address, PeerRevision, [this, PeerRevision, SentAt, Age, Done] {
              // A confirmation counts only for a configuration
              // that this process holds.
              if (m_Configuration.current() &&
                  m_Configuration.revision() >= PeerRevision)
                m_Freshness.recordPeerConfirmation(SentAt, Age);
              if (Done)
                Done();
            });
      });
}

auto Gossip::fetchNewerConfiguration(const std::string &Address,
                                     ConfigRevision PeerRevision,
                                     std::function<void()> Done) -> void {
  auto Behind =
      PeerRevision > m_Configuration.revision() || !m_Configuration.current();
  if (!Behind) {
    Done();
    return;
  }
  m_Peers.fetchConfiguration(
      Address, m_Configuration.knownShards(),
      [this,
       Done = std::move(Done)](const std::optional<ConfigurationDelta> &Delta) {
        if (Delta)
          m_Configuration.applyDelta(*Delta);
        Done();
      });
}

auto Gossip::mergeView(const PeerView &View) -> void {
  auto Now = m_Scheduler.now();
  for (const auto &Record : View.m_Members)
    m_Members.merge(Record, Now);
  for (const auto &Report : View.m_Crashes) {
    m_Crashes.merge(Report, Now);
    if (m_OnCrashEvidence)
      m_OnCrashEvidence(Report.m_Digest);
  }
  if (m_OnLeavingBackends)
    m_OnLeavingBackends(View.m_LeavingBackends);
}

auto Gossip::mergeRateLimits(const PeerView &Reply, MonotonicTime SentAt)
    -> void {
  if (!m_OnRateLimits)
    return;
  // Dated from before the exchange, so that a report never becomes newer on its
  // way through several processes. The transit time of a caller's view is
  // unknown, so only replies count.
  auto Reports = Reply.m_RateLimits;
  for (auto &Report : Reports)
    Report.m_Age += m_Scheduler.now() - SentAt;
  m_OnRateLimits(Reports);
}

auto Gossip::handleExchange(const PeerView &View) -> PeerView {
  mergeView(View);
  // The confirmation of a caller is ignored, since the transit time of its
  // message is unknown.
  if (!View.m_Members.empty()) {
    const auto &Caller = View.m_Members.front();
    fetchNewerConfiguration(Caller.m_Address, Caller.m_ConfigRevision, [] {});
  }
  return ownView();
}

auto Gossip::announce(std::function<void()> Done) -> void {
  struct Announcement {
    std::size_t m_PendingCount = 0;
    bool m_Finished = false;
    std::function<void()> m_Done;
  };
  auto State = std::make_shared<Announcement>();
  State->m_Done = std::move(Done);
  auto Finish = [State] {
    if (!std::exchange(State->m_Finished, true))
      State->m_Done();
  };
  for (const auto &Other : m_Members.live(m_Scheduler.now())) {
    if (Other.m_Role != ProcessRole::Gate)
      continue;
    ++State->m_PendingCount;
    exchangeWith(Other.m_Address, [State, Finish] {
      if (--State->m_PendingCount == 0)
        Finish();
    });
  }
  auto Wait = State->m_PendingCount == 0 ? Duration::zero()
                                         : m_Options.m_AnnounceTimeout;
  m_Scheduler.schedule(Wait, Finish);
}

} // namespace dotterel
