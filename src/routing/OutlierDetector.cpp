#include "dotterel/routing/OutlierDetector.h"

#include <algorithm>

namespace dotterel {

auto OutlierDetector::recordSuccess(const BackendId &Backend) -> void {
  m_States.erase(Backend);
}

auto OutlierDetector::recordFailure(const BackendId &Backend, MonotonicTime Now)
    -> void {
  auto &Current = m_States[Backend];
  if (++Current.m_FailuresInRow < m_Options.m_FailuresInRow)
    return;
  constexpr auto MostDoublings = 10U;
  auto Doublings = std::min(Current.m_Ejections, MostDoublings);
  auto Span = m_Options.m_FirstEjection * (std::int64_t{1} << Doublings);
  Current.m_EjectedUntil =
      Now + std::min<Duration>(Span, m_Options.m_LongestEjection);
  ++Current.m_Ejections;
  // One more failure after the ejection ejects again at once.
  Current.m_FailuresInRow = m_Options.m_FailuresInRow - 1;
}

auto OutlierDetector::ejected(const BackendId &Backend, MonotonicTime Now) const
    -> bool {
  auto Found = m_States.find(Backend);
  return Found != m_States.end() && Now < Found->second.m_EjectedUntil;
}

auto OutlierDetector::mayLeaveOut(std::size_t Ejected, std::size_t Pool) const
    -> bool {
  auto Left = static_cast<double>(Pool - Ejected);
  return Left >= m_Options.m_Floor * static_cast<double>(Pool) && Left > 0;
}

auto OutlierDetector::forget(const BackendId &Backend) -> void {
  m_States.erase(Backend);
}

} // namespace dotterel
