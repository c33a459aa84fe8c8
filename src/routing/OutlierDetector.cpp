#include "dotterel/routing/OutlierDetector.h"

#include <algorithm>

namespace dotterel {

auto OutlierDetector::recordSuccess(const BackendId &Backend) -> void {
  m_States.erase(Backend);
}

auto OutlierDetector::recordFailure(const BackendId &Backend, MonotonicTime Now)
    -> void {
  auto &Current = m_States[Backend];
  if (++Current.m_ConsecutiveFailures < m_Options.m_ConsecutiveFailures)
    return;
  constexpr auto MaxDoublings = 10U;
  auto Doublings = std::min(Current.m_Ejections, MaxDoublings);
  auto Ejection = m_Options.m_InitialEjection * (std::int64_t{1} << Doublings);
  Current.m_EjectedUntil =
      Now + std::min<Duration>(Ejection, m_Options.m_MaxEjection);
  ++Current.m_Ejections;
  // A single failure after the ejection ejects the server again.
  Current.m_ConsecutiveFailures = m_Options.m_ConsecutiveFailures - 1;
}

auto OutlierDetector::ejected(const BackendId &Backend, MonotonicTime Now) const
    -> bool {
  auto Found = m_States.find(Backend);
  return Found != m_States.end() && Now < Found->second.m_EjectedUntil;
}

auto OutlierDetector::mayExclude(std::size_t Ejected, std::size_t Pool) const
    -> bool {
  auto Remaining = static_cast<double>(Pool - Ejected);
  return Remaining >=
             m_Options.m_MinRemainingShare * static_cast<double>(Pool) &&
         Remaining > 0;
}

auto OutlierDetector::remove(const BackendId &Backend) -> void {
  m_States.erase(Backend);
}

} // namespace dotterel
