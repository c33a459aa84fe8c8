#include "dotterel/fleet/DemandForecast.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

auto seconds(Duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

/// Returns the weight of the newest observation after \p Span seconds.
auto weight(double Span, Duration TimeConstant) -> double {
  return 1 - std::exp(-Span / seconds(TimeConstant));
}

} // namespace

auto DemandForecast::observe(double Load, MonotonicTime Now) -> void {
  if (!m_ObservedAt) {
    m_ObservedAt = Now;
    m_Level = Load;
    return;
  }
  auto Span = seconds(Now - *m_ObservedAt);
  if (Span <= 0)
    return;
  m_ObservedAt = Now;
  auto Before = m_Level;
  auto Expected = m_Level + m_Trend * Span;
  m_Level = Expected +
            weight(Span, m_Options.m_LevelTimeConstant) * (Load - Expected);
  auto Slope = (m_Level - Before) / Span;
  m_Trend += weight(Span, m_Options.m_TrendTimeConstant) * (Slope - m_Trend);
}

auto DemandForecast::predict(Duration Ahead) const -> double {
  auto Value = m_Level + m_Trend * seconds(Ahead);
  return std::clamp(Value, 0.0,
                    std::max(m_Level, 0.0) * m_Options.m_MaxGrowthFactor);
}

} // namespace dotterel
