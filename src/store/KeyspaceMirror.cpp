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
  if (m_HoldTimer)
    m_Scheduler.cancel(*m_HoldTimer);
}

auto KeyspaceMirror::start() -> void { list(); }

auto KeyspaceMirror::follow(bool Following) -> void {
  if (std::exchange(m_Following, Following) == Following)
    return;
  logInfo("store.following",
          {{"prefix", m_Options.m_Prefix}, {"following", Following}});
  if (!Following)
    refresh();
}

auto KeyspaceMirror::refresh() -> void {
  if (m_Calling)
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
    // What is absent here although all changes up to a later one are known was
    // removed since.
    if (Known || Change.m_Revision > m_Revision)
      put(Change.m_Key, *Change.m_Value, Change.m_Revision);
    return;
  }
  if (!Known)
    rememberRemoval(Change.m_Key, Change.m_Revision);
  else if (Found->second.m_Revision <= Change.m_Revision)
    drop(Change.m_Key, Change.m_Revision);
}

auto KeyspaceMirror::again(Duration Delay, void (KeyspaceMirror::*Step)())
    -> void {
  // Failed calls are repeated until one is answered.
  if (m_Following && m_Failures == 0)
    return;
  m_Timer = m_Scheduler.schedule(Delay, [this, Step] {
    m_Timer.reset();
    (this->*Step)();
  });
}

auto KeyspaceMirror::failed(void (KeyspaceMirror::*Step)()) -> void {
  if (std::exchange(m_Reachable, false) && m_OnReachable)
    m_OnReachable(false);
  constexpr auto MostDoublings = 6U;
  auto Doublings = std::min(m_Failures++, MostDoublings);
  auto Span = std::min<Duration>(m_Options.m_RetryDelay *
                                     (std::int64_t{1} << Doublings),
                                 m_Options.m_LongestRetryDelay);
  constexpr auto Spread = 0.5;
  again(std::chrono::duration_cast<Duration>(Span *
                                             (1 + Spread * m_Random.unit())),
        Step);
}

auto KeyspaceMirror::answered(MonotonicTime SentAt) -> void {
  m_Failures = 0;
  if (!std::exchange(m_Reachable, true) && m_OnReachable)
    m_OnReachable(true);
  if (m_OnEvidence)
    m_OnEvidence(SentAt);
}

auto KeyspaceMirror::beginHold() -> void {
  if (m_Reachable)
    return;
  m_HoldUntil = m_Scheduler.now() + m_Options.m_HoldAfterOutage;
  m_HeldUpTo = m_Revision;
}

auto KeyspaceMirror::holding() const -> bool {
  return m_HoldUntil && m_Scheduler.now() < *m_HoldUntil;
}

auto KeyspaceMirror::list() -> void {
  auto SentAt = m_Scheduler.now();
  m_Calling = true;
  m_Store.read(KeyRange::prefix(m_Options.m_Prefix),
               [this, Alive = m_Alive, SentAt](const auto &Reply) {
                 if (!*Alive)
                   return;
                 m_Calling = false;
                 if (!Reply) {
                   failed(&KeyspaceMirror::list);
                   return;
                 }
                 takeList(*Reply.m_Answer, SentAt);
               });
}

auto KeyspaceMirror::takeList(const RangeResult &Read, MonotonicTime SentAt)
    -> void {
  beginHold();
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
  answered(SentAt);
  again(m_Options.m_Pause, &KeyspaceMirror::watch);
}

auto KeyspaceMirror::watch() -> void {
  auto SentAt = m_Scheduler.now();
  m_Calling = true;
  m_Watch.watch(m_Options.m_Prefix, m_Revision, m_Options.m_Wait,
                [this, Alive = m_Alive, SentAt](const auto &Reply) {
                  if (!*Alive)
                    return;
                  m_Calling = false;
                  if (!Reply) {
                    failed(&KeyspaceMirror::watch);
                    return;
                  }
                  takeChanges(*Reply.m_Answer, SentAt);
                });
}

auto KeyspaceMirror::takeChanges(const WatchResult &Result,
                                 MonotonicTime SentAt) -> void {
  if (Result.m_HistoryLost) {
    logWarning("store.history-lost",
               {{"prefix", m_Options.m_Prefix}, {"revision", m_Revision}});
    list();
    return;
  }
  beginHold();
  // Steps that the store has already left behind are no news: they would make
  // a server that has come and gone look present for a while.
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
  answered(SentAt);
  auto Elapsed = m_Scheduler.now() - SentAt;
  again(std::max(Duration::zero(), m_Options.m_Pause - Elapsed),
        &KeyspaceMirror::watch);
}

auto KeyspaceMirror::put(const std::string &Key, const std::string &Value,
                         StoreRevision Revision) -> void {
  if (auto Removed = m_Removed.find(Key); Removed != m_Removed.end()) {
    if (Revision <= Removed->second)
      return;
    m_Removed.erase(Removed);
  }
  m_Missing.erase(Key);
  auto &Current = m_Entries[Key];
  if (Revision <= Current.m_Revision)
    return;
  Current = {.m_Revision = Revision, .m_Value = Value};
  if (m_OnChange)
    m_OnChange({.m_Key = Key, .m_Value = Value, .m_Revision = Revision});
}

auto KeyspaceMirror::remove(const std::string &Key, StoreRevision Revision)
    -> void {
  auto Found = m_Entries.find(Key);
  if (Found == m_Entries.end() || Found->second.m_Revision > Revision)
    return;
  if (!holding() || Found->second.m_Revision > m_HeldUpTo) {
    drop(Key, Revision);
    return;
  }
  m_Missing[Key] = Revision;
  if (m_HoldTimer)
    return;
  m_HoldTimer = m_Scheduler.schedule(*m_HoldUntil - m_Scheduler.now(), [this] {
    m_HoldTimer.reset();
    for (const auto &[Missing, At] : std::exchange(m_Missing, {}))
      drop(Missing, At);
  });
}

auto KeyspaceMirror::drop(const std::string &Key, StoreRevision Revision)
    -> void {
  if (m_Entries.erase(Key) == 0)
    return;
  rememberRemoval(Key, Revision);
  if (m_OnChange)
    m_OnChange({.m_Key = Key, .m_Revision = Revision});
}

auto KeyspaceMirror::rememberRemoval(const std::string &Key,
                                     StoreRevision Revision) -> void {
  auto &Latest = m_Removed[Key];
  Latest = std::max(Latest, Revision);
  if (m_Removed.size() > m_Options.m_MostRemoved)
    m_Removed.erase(std::min_element(m_Removed.begin(), m_Removed.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.second < Right.second;
                                     }));
}

} // namespace dotterel
