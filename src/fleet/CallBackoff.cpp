#include "dotterel/fleet/CallBackoff.h"

#include <algorithm>

namespace dotterel {

auto CallBackoff::mayCall(MonotonicTime Now) const -> bool {
  return m_Failures == 0 || (m_InFlight == 0 && Now >= m_RetryAt);
}

auto CallBackoff::begin() -> std::uint64_t {
  ++m_InFlight;
  return m_Round;
}

auto CallBackoff::end(std::uint64_t Round, bool Succeeded, MonotonicTime Now)
    -> void {
  --m_InFlight;
  if (Succeeded) {
    m_Failures = 0;
    return;
  }
  if (Round != m_Round)
    return;
  ++m_Round;
  auto Delay = m_Options.m_FirstDelay;
  for (auto Doubling = std::uint32_t{0};
       Doubling < m_Failures && Delay < m_Options.m_MaxDelay; ++Doubling)
    Delay *= 2;
  ++m_Failures;
  auto Share = m_Options.m_MinDelayShare +
               (1 - m_Options.m_MinDelayShare) * m_Random.unit();
  m_RetryAt = Now + std::chrono::duration_cast<Duration>(
                        std::min(Delay, m_Options.m_MaxDelay) * Share);
}

} // namespace dotterel
