#include "dotterel/store/KeyspaceMirror.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace dotterel {

KeyspaceMirror::~KeyspaceMirror() {
  *m_Alive = false;
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
  if (m_RetentionTimer)
    m_Scheduler.cancel(*m_RetentionTimer);
}

auto KeyspaceMirror::start() -> void {
  m_Store.history().onRestored([this, Alive = m_Alive] {
    // Called while a response is being handled.
    m_Scheduler.schedule(Duration::zero(), [this, Alive] {
      if (*Alive && m_Revision.era() != m_Store.history().era())
        refresh();
    });
  });
  list();
}

auto KeyspaceMirror::setFollowing(bool Following) -> void {
  if (std::exchange(m_Following, Following) == Following)
    return;
  logInfo("store.following",
          {{"prefix", m_Options.m_Prefix}, {"following", Following}});
  if (!Following)
    refresh();
}

auto KeyspaceMirror::refresh() -> void {
  if (m_CallInFlight)
    return;
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
  m_Timer.reset();
  list();
}

auto KeyspaceMirror::apply(const KeyChange &Change) -> void {
  auto Found = m_Entries.find(Change.m_Key);
  auto Known = Found != m_Entries.end();
  if (Change.m_Value) {
    // A key that is absent here, although all changes up to a later revision
    // are known, has been removed since.
    if (Known || Change.m_Revision > m_Revision)
      put(Change.m_Key, *Change.m_Value, Change.m_Revision);
    return;
  }
  if (!Known)
    recordRemoval(Change.m_Key, Change.m_Revision);
  else if (Found->second.m_Revision <= Change.m_Revision)
    eraseEntry(Change.m_Key, Change.m_Revision);
}

auto KeyspaceMirror::scheduleStep(Duration Delay,
                                  void (KeyspaceMirror::*Step)()) -> void {
  // Failed calls are retried until one succeeds, even while following.
  if (m_Following && m_ConsecutiveFailures == 0)
    return;
  m_Timer = m_Scheduler.schedule(Delay, [this, Step] {
    m_Timer.reset();
    (this->*Step)();
  });
}

auto KeyspaceMirror::onCallFailed(void (KeyspaceMirror::*Step)()) -> void {
  if (std::exchange(m_Reachable, false) && m_OnReachabilityChange)
    m_OnReachabilityChange(false);
  constexpr auto MaxDoublings = 6U;
  auto Doublings = std::min(m_ConsecutiveFailures++, MaxDoublings);
  auto Span = std::min<Duration>(m_Options.m_InitialRetryDelay *
                                     (std::int64_t{1} << Doublings),
                                 m_Options.m_MaxRetryDelay);
  constexpr auto JitterShare = 0.5;
  scheduleStep(std::chrono::duration_cast<Duration>(
                   Span * (1 + JitterShare * m_Random.unit())),
               Step);
}

auto KeyspaceMirror::onCallSucceeded(MonotonicTime SentAt) -> void {
  m_ConsecutiveFailures = 0;
  if (!std::exchange(m_Reachable, true) && m_OnReachabilityChange)
    m_OnReachabilityChange(true);
  if (m_OnConfirmed)
    m_OnConfirmed(SentAt);
}

auto KeyspaceMirror::beginRetention(StoreRevision Observed) -> void {
  if (m_Reachable && Observed.era() == m_Revision.era())
    return;
  m_RetainUntil = m_Scheduler.now() + m_Options.m_RetentionAfterOutage;
  m_RetainUpToRevision = m_Revision;
  if (m_RetentionTimer) {
    m_Scheduler.cancel(*m_RetentionTimer);
    scheduleRetentionEnd();
  }
}

auto KeyspaceMirror::scheduleRetentionEnd() -> void {
  m_RetentionTimer =
      m_Scheduler.schedule(*m_RetainUntil - m_Scheduler.now(), [this] {
        m_RetentionTimer.reset();
        for (const auto &[Missing, At] : std::exchange(m_Retained, {}))
          eraseEntry(Missing, At);
      });
}

auto KeyspaceMirror::isRetaining() const -> bool {
  return m_RetainUntil && m_Scheduler.now() < *m_RetainUntil;
}

auto KeyspaceMirror::list() -> void {
  auto SentAt = m_Scheduler.now();
  m_CallInFlight = true;
  m_Store.read(KeyRange::prefix(m_Options.m_Prefix),
               [this, Alive = m_Alive, SentAt](const auto &Reply) {
                 if (!*Alive)
                   return;
                 m_CallInFlight = false;
                 if (!Reply) {
                   onCallFailed(&KeyspaceMirror::list);
                   return;
                 }
                 applyList(*Reply.m_Response, SentAt);
               });
}

auto KeyspaceMirror::applyList(const RangeResult &Read, MonotonicTime SentAt)
    -> void {
  beginRetention(Read.m_Revision);
  auto Present = std::set<std::string>();
  for (const auto &Item : Read.m_Values) {
    Present.insert(Item.m_Key);
    put(Item.m_Key, Item.m_Value, Item.m_Modified);
  }
  auto Absent = std::vector<std::string>();
  for (const auto &[Key, Current] : m_Entries)
    if (!Present.contains(Key) && Current.m_Revision <= Read.m_Revision)
      Absent.push_back(Key);
  for (const auto &Key : Absent)
    remove(Key, Read.m_Revision);
  m_Revision = std::max(m_Revision, Read.m_Revision);
  onCallSucceeded(SentAt);
  auto Delay = m_Options.m_MinWatchInterval;
  if (!m_Watched)
    Delay = std::min(Delay, m_Options.m_FirstWatchDelay.value_or(Delay));
  scheduleStep(Delay, &KeyspaceMirror::watch);
}

auto KeyspaceMirror::watch() -> void {
  if (m_Revision.era() != m_Store.history().era()) {
    list();
    return;
  }
  auto SentAt = m_Scheduler.now();
  m_CallInFlight = true;
  m_Watched = true;
  m_Watch.watch(m_Options.m_Prefix, m_Revision, m_Options.m_WatchTimeout,
                [this, Alive = m_Alive, SentAt](const auto &Reply) {
                  if (!*Alive)
                    return;
                  m_CallInFlight = false;
                  if (!Reply) {
                    onCallFailed(&KeyspaceMirror::watch);
                    return;
                  }
                  applyChanges(*Reply.m_Response, SentAt);
                });
}

auto KeyspaceMirror::applyChanges(const WatchResult &Result,
                                  MonotonicTime SentAt) -> void {
  if (Result.m_HistoryLost) {
    logWarning("store.history-lost",
               {{"prefix", m_Options.m_Prefix}, {"revision", m_Revision}});
    list();
    return;
  }
  // The store was restored: the position of the watch is of an earlier history.
  if (Result.m_Revision.era() != m_Revision.era()) {
    list();
    return;
  }
  beginRetention(Result.m_Revision);
  // Applies only the last change of each key. Intermediate changes would show a
  // server as present for a while that has been added and removed again.
  auto Last = std::map<std::string_view, const KeyChange *>();
  for (const auto &Change : Result.m_Changes)
    Last[Change.m_Key] = &Change;
  for (const auto &Change : Result.m_Changes) {
    if (Last.at(Change.m_Key) != &Change)
      continue;
    if (Change.m_Value)
      put(Change.m_Key, *Change.m_Value, Change.m_Revision);
    else
      remove(Change.m_Key, Change.m_Revision);
  }
  m_Revision = std::max(m_Revision, Result.m_Revision);
  onCallSucceeded(SentAt);
  auto Elapsed = m_Scheduler.now() - SentAt;
  scheduleStep(
      std::max(Duration::zero(), m_Options.m_MinWatchInterval - Elapsed),
      &KeyspaceMirror::watch);
}

auto KeyspaceMirror::put(const std::string &Key, const std::string &Value,
                         StoreRevision Revision) -> void {
  if (auto Removed = m_Removed.find(Key); Removed != m_Removed.end()) {
    if (Revision <= Removed->second)
      return;
    m_Removed.erase(Removed);
  }
  m_Retained.erase(Key);
  auto &Current = m_Entries[Key];
  if (Revision <= Current.m_Revision)
    return;
  // A restored store has the same values at revisions of its own.
  auto Restored = Revision.era() != Current.m_Revision.era() &&
                  Current.m_Revision != StoreRevision{} &&
                  Value == Current.m_Value;
  auto Again = Restored && Revision.number() != Current.m_Revision.number();
  Current = {.m_Revision = Revision, .m_Value = Value};
  if (Again && m_OnWrittenAgain)
    m_OnWrittenAgain(Key);
  if (m_OnChange && !Restored)
    m_OnChange({.m_Key = Key, .m_Value = Value, .m_Revision = Revision});
}

auto KeyspaceMirror::remove(const std::string &Key, StoreRevision Revision)
    -> void {
  auto Found = m_Entries.find(Key);
  if (Found == m_Entries.end() || Found->second.m_Revision > Revision)
    return;
  if (!isRetaining() || Found->second.m_Revision > m_RetainUpToRevision) {
    eraseEntry(Key, Revision);
    return;
  }
  m_Retained[Key] = Revision;
  if (!m_RetentionTimer)
    scheduleRetentionEnd();
}

auto KeyspaceMirror::eraseEntry(const std::string &Key, StoreRevision Revision)
    -> void {
  if (m_Entries.erase(Key) == 0)
    return;
  recordRemoval(Key, Revision);
  if (m_OnChange)
    m_OnChange({.m_Key = Key, .m_Revision = Revision});
}

auto KeyspaceMirror::recordRemoval(const std::string &Key,
                                   StoreRevision Revision) -> void {
  auto &Latest = m_Removed[Key];
  Latest = std::max(Latest, Revision);
  if (m_Removed.size() > m_Options.m_MaxRemovedKeys)
    m_Removed.erase(std::min_element(m_Removed.begin(), m_Removed.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.second < Right.second;
                                     }));
}

} // namespace dotterel
