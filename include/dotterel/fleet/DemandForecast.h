//===- DemandForecast.h - Short-term load forecast --------------*- C++ -*-===//
///
/// \file
/// Extrapolates an increase of load, so that backend servers are ordered before
/// they are needed.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_DEMANDFORECAST_H
#define DOTTEREL_FLEET_DEMANDFORECAST_H

#include "dotterel/base/Units.h"

#include <optional>

namespace dotterel {

struct DemandForecastOptions {
  /// Time constant with which the level follows the load.
  Duration m_LevelTimeConstant = Seconds(5);
  /// Time constant with which the trend follows the level. It is longer than
  /// the swings of the workload mix and shorter than the load increase at
  /// sunset.
  Duration m_TrendTimeConstant = Seconds(60);
  /// Upper bound of the forecast, as a multiple of the level.
  double m_MaxGrowthFactor = 2.0;
};

/// Forecasts a load by double exponential smoothing over irregular intervals.
class DemandForecast {
public:
  explicit DemandForecast(const DemandForecastOptions &Options)
      : m_Options(Options) {}

  /// Records the load at time \p Now. Complexity: constant.
  auto observe(double Load, MonotonicTime Now) -> void;

  /// Returns the load expected \p Ahead after the newest observation; never
  /// negative.
  /// Complexity: constant.
  [[nodiscard]] auto predict(Duration Ahead) const -> double;

private:
  DemandForecastOptions m_Options;
  std::optional<MonotonicTime> m_ObservedAt;
  double m_Level = 0;
  double m_Trend = 0; ///< Change of the level per second.
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_DEMANDFORECAST_H
