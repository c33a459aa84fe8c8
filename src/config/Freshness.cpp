#include "dotterel/config/Freshness.h"

#include <algorithm>

namespace dotterel {

namespace {

auto later(const std::optional<MonotonicTime> &Old, MonotonicTime New)
    -> MonotonicTime {
  return Old ? std::max(*Old, New) : New;
}

} // namespace

auto FreshnessTracker::recordOwnRead(MonotonicTime SentAt) -> void {
  m_OwnRead = later(m_OwnRead, SentAt);
  m_Evidence = later(m_Evidence, SentAt);
}

auto FreshnessTracker::recordOwnFailure(MonotonicTime SentAt) -> void {
  m_OwnFailure = later(m_OwnFailure, SentAt);
}

auto FreshnessTracker::recordRelayed(MonotonicTime SentAt, Duration Age)
    -> void {
  if (Age == Duration::max())
    return;
  m_Evidence = later(m_Evidence, SentAt - Age);
}

auto FreshnessTracker::age(MonotonicTime Now) const -> Duration {
  return m_Evidence ? Now - *m_Evidence : Duration::max();
}

auto FreshnessTracker::storeLost(MonotonicTime Now) const -> bool {
  if (!m_OwnFailure || Now - *m_OwnFailure > m_Options.m_Bound)
    return false;
  return !m_OwnRead || *m_OwnRead < *m_OwnFailure;
}

auto FreshnessTracker::judge(MonotonicTime Now, const MemberTable &Members,
                             const std::set<ProcessId> &Listed) const
    -> Freshness {
  if (age(Now) <= m_Options.m_Bound)
    return Freshness::Fresh;
  // Without a list there is nobody whose word would be complete.
  if (Listed.empty() || !storeLost(Now))
    return Freshness::Stale;
  for (const auto &Process : Listed) {
    if (Process == Members.self().m_Process)
      continue;
    const auto *Record = Members.findLive(Process, Now);
    // A silent process may still reach the store and accept a withdrawal.
    if (Record == nullptr || !Record->m_StoreLost)
      return Freshness::Stale;
    if (Now - Members.lastHeard(Process) > m_Options.m_Bound)
      return Freshness::Stale;
  }
  return Freshness::StoreLostByAll;
}

} // namespace dotterel
