#include "dotterel/peers/CrashExchange.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dotterel {

namespace {

constexpr auto DeferralLogInterval = Seconds(1);

auto verdictName(CrashVerdict Verdict) -> const char * {
  switch (Verdict) {
  case CrashVerdict::Clear:
    return "clear";
  case CrashVerdict::Suspect:
    return "suspect";
  case CrashVerdict::Quarantined:
    return "quarantined";
  }
  return "";
}

/// Removes the older half of the losses.
auto dropOlderLosses(CrashReport &Report) -> void {
  auto ByAge = std::vector<std::pair<Duration, BackendId>>();
  for (const auto &[Backend, Ages] : Report.m_Losses)
    ByAge.emplace_back(Ages.m_SinceLost, Backend);
  std::sort(ByAge.begin(), ByAge.end());
  for (auto Index = (ByAge.size() + 1) / 2; Index < ByAge.size(); ++Index)
    Report.m_Losses.erase(ByAge[Index].second);
}

} // namespace

CrashExchange::CrashExchange(Scheduler &Scheduler, DatagramPort &Port,
                             Random &Random, const HostRegistry &Hosts,
                             const LoadExchange &Loads,
                             const CrashRegistry &Crashes, Merge Merge,
                             const CrashExchangeOptions &Options)
    : m_Scheduler(Scheduler), m_Port(Port), m_Random(Random), m_Hosts(Hosts),
      m_Loads(Loads), m_Crashes(Crashes), m_Merge(std::move(Merge)),
      m_Options(Options), m_Budget(Options.m_MaxReportBurst),
      m_BudgetAt(Scheduler.now()), m_RepeatedAt(Scheduler.now()) {}

CrashExchange::~CrashExchange() {
  if (m_FlushTimer)
    m_Scheduler.cancel(*m_FlushTimer);
}

auto CrashExchange::start() -> void {
  m_Timer.emplace(m_Scheduler, m_Options.m_ExchangeInterval,
                  [this] { exchangeWithRandomHosts(); });
}

auto CrashExchange::announce(const std::vector<RequestDigest> &Digests)
    -> void {
  constexpr auto ToRemote = true;
  for (auto Digest : Digests) {
    m_Digests[Digest].m_ChangedAt = m_Scheduler.now();
    addPending(Digest, ToRemote);
  }
}

auto CrashExchange::noteStored(const std::vector<RequestDigest> &Digests)
    -> void {
  auto Now = m_Scheduler.now();
  for (auto Digest : Digests) {
    auto &State = m_Digests[Digest];
    State.m_ChangedAt = Now;
    State.m_Shared = true;
    if (auto Report = m_Crashes.report(Digest, Now))
      State.m_MostLosses =
          std::max(State.m_MostLosses, Report->m_Losses.size());
  }
}

auto CrashExchange::addPending(RequestDigest Digest, bool ToRemote) -> void {
  auto &State = m_Digests[Digest];
  if (auto Report = m_Crashes.report(Digest, m_Scheduler.now()))
    State.m_MostLosses = std::max(State.m_MostLosses, Report->m_Losses.size());
  auto &Change = m_Pending[Digest];
  Change.m_DueAt = m_Scheduler.now() + m_Options.m_CollectTime;
  Change.m_ToRemote = Change.m_ToRemote || ToRemote;
  Change.m_Repeats = State.m_MostLosses >= m_Options.m_MinUrgentLosses
                         ? m_Options.m_UrgentRepeats
                         : 0;
  scheduleFlush(Change.m_DueAt);
}

auto CrashExchange::scheduleFlush(MonotonicTime DueAt) -> void {
  if (m_FlushTimer && m_FlushAt <= DueAt)
    return;
  if (m_FlushTimer)
    m_Scheduler.cancel(*m_FlushTimer);
  m_FlushAt = DueAt;
  m_FlushTimer = m_Scheduler.schedule(DueAt - m_Scheduler.now(), [this] {
    m_FlushTimer.reset();
    sendPending();
  });
}

auto CrashExchange::refillBudget() -> void {
  auto Now = m_Scheduler.now();
  auto Elapsed = std::chrono::duration<double>(Now - m_BudgetAt).count();
  m_BudgetAt = Now;
  m_Budget = std::min(m_Options.m_MaxReportBurst,
                      m_Budget + Elapsed * m_Options.m_MaxReportsPerSecond);
}

auto CrashExchange::reportToSend(RequestDigest Digest) const
    -> std::optional<CrashReport> {
  auto Report = m_Crashes.report(Digest, m_Scheduler.now());
  if (!Report || !Report->m_Losses.empty())
    return Report;
  // A release clears nothing at hosts that have no evidence.
  auto Found = m_Digests.find(Digest);
  if (Report->m_Releases == 0 || Found == m_Digests.end() ||
      !Found->second.m_Shared)
    return std::nullopt;
  return Report;
}

auto CrashExchange::sortByUrgency(std::vector<RequestDigest> &Digests) -> void {
  using Rank = std::tuple<CrashVerdict, std::size_t, bool, std::uint64_t>;
  auto Ranked = std::vector<std::pair<Rank, RequestDigest>>();
  for (auto Digest : Digests) {
    auto Report = m_Crashes.report(Digest, m_Scheduler.now());
    // Random among equals, so that none waits forever.
    auto Tie = m_Random.below(UINT64_MAX);
    Ranked.emplace_back(Report ? Rank(m_Crashes.verdict(Digest),
                                      Report->m_Losses.size(),
                                      Report->m_LostAlone, Tie)
                               : Rank(),
                        Digest);
  }
  std::sort(Ranked.rbegin(), Ranked.rend());
  std::transform(Ranked.begin(), Ranked.end(), Digests.begin(),
                 [](const auto &Item) { return Item.second; });
}

auto CrashExchange::sendPending() -> void {
  auto Now = m_Scheduler.now();
  auto Due = std::vector<RequestDigest>();
  for (auto Entry = m_Pending.begin(); Entry != m_Pending.end();) {
    // Deferred changes become part of the exchanges with random hosts.
    auto Outdated = Now - Entry->second.m_DueAt > m_Options.m_RecentAge;
    if (Outdated ||
        (Entry->second.m_DueAt <= Now && !reportToSend(Entry->first))) {
      Entry = m_Pending.erase(Entry);
      continue;
    }
    if (Entry->second.m_DueAt <= Now)
      Due.push_back(Entry->first);
    ++Entry;
  }
  refillBudget();
  sortByUrgency(Due);
  auto Allowed = std::min(Due.size(), static_cast<std::size_t>(m_Budget));
  m_Budget -= static_cast<double>(Allowed);
  if (Allowed < Due.size() &&
      (!m_DeferralLoggedAt ||
       Now - *m_DeferralLoggedAt >= DeferralLogInterval)) {
    m_DeferralLoggedAt = Now;
    logWarning("crash.reports-deferred", {{"count", Due.size() - Allowed}});
  }
  Due.resize(Allowed);
  auto Own = std::vector<CrashReport>();
  auto Forwarded = std::vector<CrashReport>();
  for (auto Digest : Due) {
    auto Entry = m_Pending.find(Digest);
    auto &Change = Entry->second;
    (Change.m_ToRemote ? Own : Forwarded).push_back(*reportToSend(Digest));
    m_Digests[Digest].m_Shared = true;
    if (Change.m_Repeats == 0) {
      m_Pending.erase(Entry);
      continue;
    }
    --Change.m_Repeats;
    Change.m_DueAt = Now + m_Options.m_UrgentInterval;
  }
  auto Messages = encode(std::move(Own));
  auto Local = localAddresses();
  send(Messages, Local);
  if (!Messages.empty())
    for (auto &[DataCentre, Addresses] : remoteAddresses())
      send(Messages, choose(std::move(Addresses), m_Options.m_RemoteTargets));
  send(encode(std::move(Forwarded)), Local);
  auto Next = std::min_element(m_Pending.begin(), m_Pending.end(),
                               [](const auto &L, const auto &R) {
                                 return L.second.m_DueAt < R.second.m_DueAt;
                               });
  if (Next != m_Pending.end())
    scheduleFlush(
        std::max(Next->second.m_DueAt, Now + m_Options.m_CollectTime));
}

auto CrashExchange::noteSender(const HostMessage &Message,
                               const std::string &Address) -> void {
  auto Now = m_Scheduler.now();
  if (Message.m_DataCentre != m_Hosts.self().m_DataCentre) {
    auto [Entry, Added] =
        m_RemoteHeardAt.try_emplace(Message.m_DataCentre, Now);
    if (Added || Now - Entry->second > m_Options.m_MaxSilence)
      m_RemoteCatchUps[Message.m_DataCentre] = m_Options.m_CatchUpRounds;
    Entry->second = Now;
    return;
  }
  if (Message.m_Sender == m_Hosts.self().m_Host)
    return;
  auto [Entry, Added] = m_LocalHosts.try_emplace(
      Message.m_Sender, LocalHost{.m_Address = Address, .m_HeardAt = Now});
  // A host that was started again has a new address.
  if (Added || Entry->second.m_Address != Address ||
      Now - Entry->second.m_HeardAt > m_Options.m_MaxSilence)
    m_LocalCatchUps[Message.m_Sender] = m_Options.m_CatchUpRounds;
  Entry->second = {.m_Address = Address, .m_HeardAt = Now};
}

auto CrashExchange::receive(const HostMessage &Message,
                            const std::string &Address) -> void {
  noteSender(Message, Address);
  if (const auto *Crashes = std::get_if<CrashReports>(&Message.m_Content))
    for (const auto &Report : Crashes->m_Reports)
      mergeReport(Report, Message);
}

auto CrashExchange::mergeReport(const CrashReport &Report,
                                const HostMessage &Message) -> void {
  auto Digest = Report.m_Digest;
  auto Before = m_Crashes.verdict(Digest);
  auto Now = m_Scheduler.now();
  auto Changed = m_Merge(Report, Now);
  auto Known = m_Crashes.report(Digest, Now);
  if (!Known || (Known->m_Losses.empty() && Known->m_Releases == 0))
    return;
  auto &State = m_Digests[Digest];
  State.m_Shared = true;
  State.m_MostLosses = std::max(State.m_MostLosses, Known->m_Losses.size());
  if (!Changed) {
    auto Same = Report.m_Releases == Known->m_Releases &&
                Report.m_Losses.size() == Known->m_Losses.size();
    if (Same)
      dropDuplicate(Digest, Message);
    return;
  }
  State.m_ChangedAt = Now;
  // Within a data centre evidence is forwarded by the hosts that received it
  // from outside.
  constexpr auto ToRemote = false;
  if (Message.m_DataCentre != m_Hosts.self().m_DataCentre)
    addPending(Digest, ToRemote);
  auto After = m_Crashes.verdict(Digest);
  if (After == Before)
    return;
  // Many requests become suspect with each loss, and are soon cleared again.
  auto Level =
      After == CrashVerdict::Quarantined || Before == CrashVerdict::Quarantined
          ? LogLevel::Info
          : LogLevel::Debug;
  logEvent(Level, "crash.evidence-received",
           {{"digest", Digest},
            {"verdict", verdictName(After)},
            {"before", verdictName(Before)},
            {"losses", Known->m_Losses.size()},
            {"releases", Known->m_Releases},
            {"host", Message.m_Sender}});
}

auto CrashExchange::dropDuplicate(RequestDigest Digest,
                                  const HostMessage &Message) -> void {
  // Requests with a common part succeed on many hosts at once, and each of
  // these would send the same release.
  auto Found = m_Pending.find(Digest);
  if (Found == m_Pending.end() ||
      m_Digests[Digest].m_MostLosses >= m_Options.m_MinUrgentLosses)
    return;
  if (Message.m_DataCentre == m_Hosts.self().m_DataCentre)
    m_Pending.erase(Found);
  else
    Found->second.m_ToRemote = false;
}

auto CrashExchange::dropOldStates() -> void {
  auto Now = m_Scheduler.now();
  std::erase_if(m_Digests, [&](const auto &Item) {
    auto Report = m_Crashes.report(Item.first, Now);
    return !Report || (Report->m_Losses.empty() &&
                       Now - Item.second.m_ChangedAt > m_Options.m_ReleaseAge);
  });
  // The address of a host that is no longer registered.
  std::erase_if(m_LocalHosts, [&](const auto &Item) {
    return Now - Item.second.m_HeardAt > m_Options.m_MaxSilence &&
           !m_Hosts.others().contains(Item.first);
  });
}

auto CrashExchange::select(Selection Choice) -> std::vector<CrashReport> {
  auto Now = m_Scheduler.now();
  auto Selected = std::vector<RequestDigest>();
  for (const auto &[Digest, State] : m_Digests) {
    auto Age = Now - State.m_ChangedAt;
    auto Verdict = m_Crashes.verdict(Digest);
    auto Wanted =
        Choice == Selection::All || Age <= m_Options.m_RecentAge ||
        (Choice == Selection::Repeated &&
         (Verdict == CrashVerdict::Quarantined ||
          (Verdict == CrashVerdict::Clear && Age <= m_Options.m_ReleaseAge)));
    if (Wanted && reportToSend(Digest))
      Selected.push_back(Digest);
  }
  sortByUrgency(Selected);
  Selected.resize(std::min(Selected.size(), m_Options.m_MaxExchangeReports));
  auto Reports = std::vector<CrashReport>();
  for (auto Digest : Selected) {
    Reports.push_back(*reportToSend(Digest));
    m_Digests[Digest].m_Shared = true;
  }
  return Reports;
}

auto CrashExchange::exchangeWithRandomHosts() -> void {
  dropOldStates();
  sendCatchUps();
  auto Now = m_Scheduler.now();
  auto Choice = Selection::Recent;
  if (Now - m_RepeatedAt >= m_Options.m_RepeatInterval) {
    m_RepeatedAt = Now;
    Choice = Selection::Repeated;
  }
  auto Messages = encode(select(Choice));
  if (Messages.empty())
    return;
  send(Messages, choose(localAddresses(), 1));
  if (m_Loads.liveLocalHosts().front() != m_Hosts.self().m_Host)
    return;
  for (auto &[DataCentre, Addresses] : remoteAddresses())
    send(Messages, choose(std::move(Addresses), 1));
}

auto CrashExchange::sendCatchUps() -> void {
  if (m_LocalCatchUps.empty() && m_RemoteCatchUps.empty())
    return;
  auto Senders = m_Loads.liveLocalHosts();
  auto IsSender = [&](const HostId &Target) {
    auto Rank = std::size_t{0};
    for (const auto &Host : Senders) {
      if (Host == m_Hosts.self().m_Host)
        return Rank < m_Options.m_CatchUpSenders;
      // A host that was cut off lacks the evidence, and can't send it.
      Rank += Host == Target ? 0 : 1;
    }
    return false;
  };
  auto Messages = encode(select(Selection::All));
  for (const auto &[Host, Rounds] : m_LocalCatchUps)
    if (auto Found = m_LocalHosts.find(Host);
        Found != m_LocalHosts.end() && IsSender(Host))
      send(Messages, {Found->second.m_Address});
  auto Remote = remoteAddresses();
  for (const auto &[DataCentre, Rounds] : m_RemoteCatchUps)
    if (IsSender(HostId()))
      send(Messages, choose(Remote[DataCentre], 1));
  auto CountDown = [](auto &CatchUps) {
    for (auto &[Target, Rounds] : CatchUps)
      --Rounds;
    std::erase_if(CatchUps, [](const auto &Item) { return Item.second == 0; });
  };
  CountDown(m_LocalCatchUps);
  CountDown(m_RemoteCatchUps);
}

auto CrashExchange::encode(std::vector<CrashReport> Reports) const
    -> std::vector<std::string> {
  if (Reports.empty())
    return {};
  const auto &Self = m_Hosts.self();
  auto Bytes =
      encodeHostMessage({.m_Sender = Self.m_Host,
                         .m_DataCentre = Self.m_DataCentre,
                         .m_Content = CrashReports{.m_Reports = Reports}});
  if (Bytes.size() <= m_Options.m_MaxMessageBytes)
    return {std::move(Bytes)};
  if (Reports.size() == 1) {
    if (Reports.front().m_Losses.size() <= 1)
      return {std::move(Bytes)};
    dropOlderLosses(Reports.front());
    return encode(std::move(Reports));
  }
  auto Middle =
      Reports.begin() + static_cast<std::ptrdiff_t>(Reports.size()) / 2;
  auto Messages = encode({Reports.begin(), Middle});
  for (auto &Message : encode({Middle, Reports.end()}))
    Messages.push_back(std::move(Message));
  return Messages;
}

auto CrashExchange::send(const std::vector<std::string> &Messages,
                         const std::vector<std::string> &Addresses) -> void {
  for (const auto &Address : Addresses)
    for (const auto &Message : Messages)
      m_Port.send(Address, Message);
}

auto CrashExchange::localAddresses() const -> std::vector<std::string> {
  auto Result = std::set<std::string>();
  for (const auto &[Host, Record] : m_Hosts.others())
    if (Record.m_DataCentre == m_Hosts.self().m_DataCentre)
      Result.insert(Record.m_Address);
  // Hosts that were started in the last seconds may not be known as registered
  // yet.
  auto Now = m_Scheduler.now();
  for (const auto &[Host, Entry] : m_LocalHosts)
    if (Now - Entry.m_HeardAt <= m_Options.m_MaxSilence)
      Result.insert(Entry.m_Address);
  return {Result.begin(), Result.end()};
}

auto CrashExchange::remoteAddresses() const
    -> std::map<DataCentreId, std::vector<std::string>> {
  auto Result = std::map<DataCentreId, std::vector<std::string>>();
  for (const auto &[Host, Record] : m_Hosts.others())
    if (Record.m_DataCentre != m_Hosts.self().m_DataCentre)
      Result[Record.m_DataCentre].push_back(Record.m_Address);
  return Result;
}

auto CrashExchange::choose(std::vector<std::string> Addresses,
                           std::size_t Count) -> std::vector<std::string> {
  for (auto Index = std::size_t{0}; Index < std::min(Count, Addresses.size());
       ++Index)
    std::swap(Addresses[Index],
              Addresses[Index + m_Random.below(Addresses.size() - Index)]);
  Addresses.resize(std::min(Count, Addresses.size()));
  return Addresses;
}

} // namespace dotterel
