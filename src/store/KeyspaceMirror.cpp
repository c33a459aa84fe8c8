#include "dotterel/store/KeyspaceMirror.h"

#include "dotterel/base/Log.h"

#include <algorithm>
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

auto KeyspaceMirror::again(Duration Delay, void (KeyspaceMirror::*Step)())
    -> void {
  m_Timer = m_Scheduler.schedule(Delay, [this, Step] {
    m_Timer.reset();
    (this->*Step)();
  });
}

auto KeyspaceMirror::failed(void (KeyspaceMirror::*Step)()) -> void {
  if (std::exchange(m_Reachable, false) && m_OnReachable)
    m_OnReachable(false);
  auto Span = static_cast<double>(m_Options.m_RetryDelay.count());
  again(Duration(static_cast<Duration::rep>(Span * (1 + m_Random.unit()))),
        Step);
}

auto KeyspaceMirror::answered(MonotonicTime SentAt) -> void {
  if (!std::exchange(m_Reachable, true)) {
    m_HoldUntil = m_Scheduler.now() + m_Options.m_HoldAfterOutage;
    if (m_OnReachable)
      m_OnReachable(true);
  }
  if (m_OnEvidence)
    m_OnEvidence(SentAt);
}

auto KeyspaceMirror::holding() const -> bool {
  return m_HoldUntil && m_Scheduler.now() < *m_HoldUntil;
}

auto KeyspaceMirror::list() -> void {
  auto SentAt = m_Scheduler.now();
  m_Store.read(KeyRange::prefix(m_Options.m_Prefix),
               [this, Alive = m_Alive, SentAt](const auto &Reply) {
                 if (!*Alive)
                   return;
                 if (!Reply) {
                   failed(&KeyspaceMirror::list);
                   return;
                 }
                 takeList(*Reply.m_Answer, SentAt);
               });
}

auto KeyspaceMirror::takeList(const RangeResult &Read, MonotonicTime SentAt)
    -> void {
  if (!m_Reachable)
    m_HoldUntil = m_Scheduler.now() + m_Options.m_HoldAfterOutage;
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
  m_Watch.watch(m_Options.m_Prefix, m_Revision, m_Options.m_Wait,
                [this, Alive = m_Alive, SentAt](const auto &Reply) {
                  if (!*Alive)
                    return;
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
    logWarning("store.history-lost", {{"prefix", m_Options.m_Prefix},
                                      {"revision", m_Revision}});
    list();
    return;
  }
  if (!m_Reachable)
    m_HoldUntil = m_Scheduler.now() + m_Options.m_HoldAfterOutage;
  for (const auto &Change : Result.m_Changes) {
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
  if (!holding()) {
    drop(Key);
    return;
  }
  m_Missing.insert(Key);
  if (m_HoldTimer)
    return;
  m_HoldTimer =
      m_Scheduler.schedule(*m_HoldUntil - m_Scheduler.now(), [this] {
        m_HoldTimer.reset();
        for (const auto &Missing : std::exchange(m_Missing, {}))
          drop(Missing);
      });
}

auto KeyspaceMirror::drop(const std::string &Key) -> void {
  auto Found = m_Entries.find(Key);
  if (Found == m_Entries.end())
    return;
  auto Revision = Found->second.m_Revision;
  m_Entries.erase(Found);
  if (m_OnChange)
    m_OnChange({.m_Key = Key, .m_Revision = Revision});
}

} // namespace dotterel
