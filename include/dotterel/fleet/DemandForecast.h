//===- DemandForecast.h - Where a load is heading ---------------*- C++ -*-===//
///
/// \file
/// Extrapolates a ramp of load, so that backend servers are ordered ahead.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_DEMANDFORECAST_H
#define DOTTEREL_FLEET_DEMANDFORECAST_H

#include "dotterel/base/Units.h"

#include <optional>

namespace dotterel {

struct DemandForecastOptions {
  /// How fast the level follows the load.
  Duration m_LevelTime = Seconds(5);
  /// How fast the trend follows the level. Longer than the swings of the mix,
  /// shorter than the ramp at sunset.
  Duration m_TrendTime = Seconds(60);
  /// Bounds the forecast, as a multiple of the level.
  double m_MostGrowth = 2.0;
};

/// Double exponential smoothing over irregular intervals.
class DemandForecast {
public:
  explicit DemandForecast(const DemandForecastOptions &Options)
      : m_Options(Options) {}

  /// Takes in the load at \p Now. Complexity: constant.
  auto observe(double Load, MonotonicTime Now) -> void;

  /// The load to expect \p Ahead of the newest observation; never negative.
  /// Complexity: constant.
  [[nodiscard]] auto at(Duration Ahead) const -> double;

private:
  DemandForecastOptions m_Options;
  std::optional<MonotonicTime> m_ObservedAt;
  double m_Level = 0;
  double m_Trend = 0; ///< Per second.
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_DEMANDFORECAST_H
