#include "dotterel/config/Freshness.h"

#include <algorithm>

namespace dotterel {

namespace {

auto latest(const std::optional<MonotonicTime> &Old, MonotonicTime New)
    -> MonotonicTime {
  return Old ? std::max(*Old, New) : New;
}

} // namespace

auto FreshnessTracker::recordOwnRead(MonotonicTime SentAt) -> void {
  m_LastOwnRead = latest(m_LastOwnRead, SentAt);
  m_ConfirmedAt = latest(m_ConfirmedAt, SentAt);
}

auto FreshnessTracker::recordOwnFailure(MonotonicTime SentAt) -> void {
  m_LastOwnFailure = latest(m_LastOwnFailure, SentAt);
}

auto FreshnessTracker::recordPeerConfirmation(MonotonicTime SentAt,
                                              Duration Age) -> void {
  if (Age == Duration::max())
    return;
  m_ConfirmedAt = latest(m_ConfirmedAt, SentAt - Age);
}

auto FreshnessTracker::age(MonotonicTime Now) const -> Duration {
  return m_ConfirmedAt ? Now - *m_ConfirmedAt : Duration::max();
}

auto FreshnessTracker::storeLost(MonotonicTime Now) const -> bool {
  if (!m_LastOwnFailure || Now - *m_LastOwnFailure > m_Options.m_MaxAge)
    return false;
  return !m_LastOwnRead || *m_LastOwnRead < *m_LastOwnFailure;
}

auto FreshnessTracker::evaluate(MonotonicTime Now, const MemberTable &Members,
                                const std::set<ProcessId> &Listed) const
    -> Freshness {
  if (age(Now) <= m_Options.m_MaxAge)
    return Freshness::Fresh;
  // Without the platform's list it is unknown which processes must have lost
  // the store.
  if (Listed.empty() || !storeLost(Now))
    return Freshness::Stale;
  for (const auto &Process : Listed) {
    if (Process == Members.self().m_Process)
      continue;
    const auto *Record = Members.findLive(Process, Now);
    // An unresponsive process may still reach the store and accept a withdrawal
    // of a key.
    if (Record == nullptr || !Record->m_StoreLost)
      return Freshness::Stale;
    if (Now - Members.lastHeartbeatAt(Process) > m_Options.m_MaxAge)
      return Freshness::Stale;
  }
  return Freshness::StoreLostByAll;
}

} // namespace dotterel
