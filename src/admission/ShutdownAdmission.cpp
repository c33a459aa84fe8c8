#include "dotterel/admission/ShutdownAdmission.h"

#include <algorithm>
#include <cassert>

namespace dotterel {

auto ShutdownAdmission::begin(MonotonicTime Now, const ShutdownPeriods &Periods)
    -> void {
  assert(!begun() && "a shutdown begins once");
  m_BegunAt = Now;
  m_Periods = Periods;
}

auto ShutdownAdmission::elapsed(MonotonicTime Now) const -> Duration {
  return m_BegunAt ? Now - *m_BegunAt : Duration::zero();
}

auto ShutdownAdmission::mayGetConnections(MonotonicTime Now) const -> bool {
  return !m_BegunAt || elapsed(Now) < m_Periods.m_BalancerLag;
}

auto ShutdownAdmission::timeLeft(MonotonicTime Now) const -> Duration {
  assert(begun() && "a process that serves has no end");
  return std::max<Duration>(m_Periods.m_Limit - elapsed(Now), Duration::zero());
}

auto ShutdownAdmission::accepts(MonotonicTime Now, Duration TimeLimit) const
    -> bool {
  if (m_Closed)
    return false;
  // Callers have nowhere else to go until the load balancer reacts, and most
  // requests need much less than their limit.
  return mayGetConnections(Now) || TimeLimit <= timeLeft(Now);
}

} // namespace dotterel
