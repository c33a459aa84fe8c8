#include "dotterel/poison/CrashEvidenceStore.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/poison/CrashRecord.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dotterel {

namespace {

/// Removes the oldest losses beyond \p Limit.
auto limitLosses(CrashReport &Report, std::size_t Limit) -> void {
  while (Report.m_Losses.size() > Limit)
    Report.m_Losses.erase(std::max_element(
        Report.m_Losses.begin(), Report.m_Losses.end(),
        [](const auto &Left, const auto &Right) {
          return Left.second.m_SinceLost < Right.second.m_SinceLost;
        }));
}

} // namespace

CrashEvidenceStore::CrashEvidenceStore(Scheduler &Clock, KeyValueStore &Store,
                                       Random &Random,
                                       const CrashRegistry &Crashes,
                                       const std::string &Process,
                                       CrashEvidenceHooks Hooks,
                                       CrashEvidenceStoreOptions Options)
    : m_Clock(Clock), m_Store(Store), m_Random(Random), m_Crashes(Crashes),
      m_Key(Options.m_Prefix + Process), m_Hooks(std::move(Hooks)),
      m_Options(std::move(Options)), m_Backoff(Random, m_Options.m_Backoff) {
  m_Store.history().onRestored([this, Alive = std::weak_ptr(m_Alive)] {
    // The copy may lack the record, or hold an older one.
    if (!Alive.expired() && !m_RecordEmpty)
      markChanged();
  });
}

CrashEvidenceStore::~CrashEvidenceStore() {
  if (m_StepTimer)
    m_Clock.cancel(*m_StepTimer);
}

auto CrashEvidenceStore::start() -> void {
  m_Started = true;
  m_ExpiryTimer.emplace(m_Clock, m_Options.m_ExpiryInterval,
                        [this] { expire(); });
  scheduleStep(m_Clock.now());
}

auto CrashEvidenceStore::observed(const std::vector<RequestDigest> &Digests)
    -> void {
  auto Relevant = false;
  for (auto Digest : Digests) {
    auto Report = m_Crashes.report(Digest, m_Clock.now());
    if (!Report)
      continue;
    if (!Report->m_Losses.empty()) {
      m_Observed.insert(Digest);
      m_ReleasedAt.erase(Digest);
      if (isStored(Digest)) {
        m_MayBeStored.insert(Digest);
        Relevant = true;
      }
    } else if (m_MayBeStored.contains(Digest)) {
      m_ReleasedAt[Digest] = m_Clock.now();
      Relevant = true;
    }
  }
  if (Relevant)
    markChanged();
}

auto CrashEvidenceStore::merged(RequestDigest Digest) -> void {
  if (!isStored(Digest))
    return;
  m_MayBeStored.insert(Digest);
  // Each of two processes may have observed one of the losses.
  if (m_Observed.contains(Digest))
    markChanged();
}

auto CrashEvidenceStore::writeInterval() const -> Duration {
  auto Shared = std::chrono::duration<double>(
      static_cast<double>(m_Hooks.m_WriterCount()) /
      m_Options.m_MaxWritesPerSecond);
  return std::max(m_Options.m_MinWriteInterval,
                  std::chrono::duration_cast<Duration>(Shared));
}

auto CrashEvidenceStore::markChanged() -> void {
  if (std::exchange(m_Changed, true))
    return;
  // All processes that observed the same loss would write at the same time.
  auto Spread =
      std::chrono::duration_cast<Duration>(writeInterval() * m_Random.unit());
  m_NextWriteAt =
      std::max(m_NextWriteAt, m_Clock.now() + m_Options.m_CollectTime + Spread);
  scheduleStep(m_NextWriteAt);
}

auto CrashEvidenceStore::scheduleStep(MonotonicTime At) -> void {
  if (!m_Started || (m_StepTimer && m_StepAt <= At))
    return;
  if (m_StepTimer)
    m_Clock.cancel(*m_StepTimer);
  m_StepAt = At;
  m_StepTimer = m_Clock.schedule(
      std::max<Duration>(At - m_Clock.now(), Duration::zero()), [this] {
        m_StepTimer.reset();
        step();
      });
}

auto CrashEvidenceStore::step() -> void {
  if (m_CallInFlight)
    return;
  auto Now = m_Clock.now();
  if (!m_Backoff.mayCall(Now)) {
    scheduleStep(m_Backoff.retryAt());
    return;
  }
  if (!m_ReadAll)
    readAll();
  else if (m_Conflict)
    readOwn();
  else if (m_Changed && Now < m_NextWriteAt)
    scheduleStep(m_NextWriteAt);
  else if (m_Changed)
    write();
}

auto CrashEvidenceStore::callEnded(std::uint64_t Call, bool Answered) -> bool {
  m_CallInFlight = false;
  m_Backoff.end(Call, Answered, m_Clock.now());
  scheduleStep(m_Clock.now() + m_Options.m_CollectTime);
  return Answered;
}

auto CrashEvidenceStore::readAll() -> void {
  m_CallInFlight = true;
  m_Store.read(KeyRange::prefix(m_Options.m_Prefix),
               [this, Alive = std::weak_ptr(m_Alive),
                Call = m_Backoff.begin()](const auto &Reply) {
                 if (Alive.expired() || !callEnded(Call, bool(Reply)))
                   return;
                 m_ReadAll = true;
                 applyRecords(*Reply.m_Response);
               });
}

auto CrashEvidenceStore::readOwn() -> void {
  m_CallInFlight = true;
  m_Store.read(KeyRange::single(m_Key),
               [this, Alive = std::weak_ptr(m_Alive),
                Call = m_Backoff.begin()](const auto &Reply) {
                 if (Alive.expired() || !callEnded(Call, bool(Reply)))
                   return;
                 m_Conflict = false;
                 m_Revision = StoreRevision();
                 m_RecordEmpty = true;
                 applyRecords(*Reply.m_Response);
               });
}

auto CrashEvidenceStore::applyRecords(const RangeResult &Read) -> void {
  using Rank = std::tuple<std::uint64_t, std::size_t>;
  // One record of each digest: the clocks of the processes that wrote them
  // differ, so that losses of several records might not look consecutive.
  auto Best = std::map<RequestDigest, std::pair<Rank, CrashReport>>();
  auto Outdated = std::vector<StoreCompare>();
  for (const auto &Item : Read.m_Values) {
    auto Record = CrashRecord();
    try {
      Record = decodeCrashRecord(Item.m_Value, m_Clock.wallNow());
    } catch (const ProtocolError &Failure) {
      logWarning("crash.unreadable-record",
                 {{"key", Item.m_Key}, {"reason", Failure.what()}});
    }
    auto IsOwn = Item.m_Key == m_Key;
    if (IsOwn) {
      m_Revision = Item.m_Modified;
      m_RecordEmpty = Record.m_Reports.empty();
    }
    if (Record.m_Age >= m_Options.m_EvidenceLifetime) {
      if (!IsOwn && Outdated.size() < m_Options.m_MaxDeletions)
        Outdated.push_back(
            {.m_Key = Item.m_Key, .m_Modified = Item.m_Modified});
      continue;
    }
    for (auto &Report : Record.m_Reports) {
      // Other records may still hold the evidence that was released.
      if (IsOwn && Report.m_Losses.empty())
        m_ReleasedAt.try_emplace(Report.m_Digest, m_Clock.now());
      auto Value = Rank(Report.m_Releases, Report.m_Losses.size());
      auto &Known = Best[Report.m_Digest];
      if (Value >= Known.first)
        Known = {Value, std::move(Report)};
    }
  }
  auto Evidence = std::vector<CrashReport>();
  for (auto &[Digest, Known] : Best) {
    m_MayBeStored.insert(Digest);
    Evidence.push_back(std::move(Known.second));
  }
  if (!Evidence.empty()) {
    logInfo("crash.evidence-read",
            {{"records", Read.m_Values.size()}, {"digests", Evidence.size()}});
    m_Hooks.m_Merge(Evidence);
  }
  if (!Outdated.empty())
    deleteOutdated(std::move(Outdated));
}

auto CrashEvidenceStore::deleteOutdated(std::vector<StoreCompare> Outdated)
    -> void {
  // Processes that start together do not all delete at the same time. If
  // another one was first, the compares fail.
  auto Delay = std::chrono::duration_cast<Duration>(
      m_Options.m_ExpiryInterval * m_Random.unit() + writeInterval());
  m_Clock.schedule(Delay, [this, Alive = std::weak_ptr(m_Alive),
                           Outdated = std::move(Outdated)] {
    if (Alive.expired())
      return;
    auto Transaction = StoreTransaction{.m_Compares = Outdated};
    for (const auto &Item : Outdated)
      Transaction.m_Writes.push_back({.m_Key = Item.m_Key});
    m_Store.commit(std::move(Transaction),
                   [Count = Outdated.size()](const auto &Reply) {
                     // The next process that starts tries again.
                     if (Reply && Reply->m_Applied)
                       logInfo("crash.records-deleted", {{"count", Count}});
                   });
  });
}

auto CrashEvidenceStore::reports() const -> std::vector<CrashReport> {
  auto Now = m_Clock.now();
  auto Result = std::vector<CrashReport>();
  for (auto &Report : m_Crashes.reports(Now)) {
    if (!isStored(Report.m_Digest) && !m_ReleasedAt.contains(Report.m_Digest))
      continue;
    limitLosses(Report, m_Options.m_MaxLosses);
    Result.push_back(std::move(Report));
  }
  std::stable_sort(Result.begin(), Result.end(),
                   [this](const CrashReport &Left, const CrashReport &Right) {
                     return m_Crashes.consecutiveLosses(Left.m_Digest) >
                            m_Crashes.consecutiveLosses(Right.m_Digest);
                   });
  Result.resize(std::min(Result.size(), m_Options.m_MaxDigests));
  return Result;
}

auto CrashEvidenceStore::write() -> void {
  m_Changed = false;
  auto Reports = reports();
  auto Empty = Reports.empty();
  if (Empty && m_RecordEmpty)
    return;
  m_NextWriteAt = m_Clock.now() + writeInterval();
  auto Transaction = StoreTransaction{
      .m_Compares = {{.m_Key = m_Key, .m_Modified = m_Revision}},
      .m_Writes = {{.m_Key = m_Key}}};
  if (!Empty)
    Transaction.m_Writes.front().m_Value =
        encodeCrashRecord(Reports, m_Clock.wallNow());
  m_CallInFlight = true;
  m_Store.commit(
      std::move(Transaction),
      [this, Alive = std::weak_ptr(m_Alive), Call = m_Backoff.begin(), Empty,
       Count = Reports.size()](const auto &Reply) {
        if (Alive.expired())
          return;
        if (!callEnded(Call, bool(Reply)) || !Reply->m_Applied) {
          m_Conflict = true;
          m_Changed = true;
          logInfo("crash.evidence-not-stored",
                  {{"digests", Count},
                   {"reason", Reply ? "another revision" : "no answer"},
                   {"failures", m_Backoff.failures()}});
          return;
        }
        m_Revision = Empty ? StoreRevision() : Reply->m_Revision;
        m_RecordEmpty = Empty;
        logInfo("crash.evidence-stored", {{"digests", Count}});
      });
}

auto CrashEvidenceStore::expire() -> void {
  auto Now = m_Clock.now();
  std::erase_if(m_ReleasedAt, [&](const auto &Item) {
    return Now - Item.second > m_Options.m_EvidenceLifetime;
  });
  auto IsClear = [this](RequestDigest Digest) {
    return m_Crashes.verdict(Digest) == CrashVerdict::Clear;
  };
  std::erase_if(m_Observed, IsClear);
  std::erase_if(m_MayBeStored, [&](RequestDigest Digest) {
    return IsClear(Digest) && !m_Crashes.report(Digest, Now);
  });
  if (!m_RecordEmpty && reports().empty())
    markChanged();
}

} // namespace dotterel
