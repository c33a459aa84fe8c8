//===- ServerSpeeds.h - Speed of each backend server ------------*- C++ -*-===//
///
/// \file
/// Estimates how long work takes at each backend server, relative to the usual
/// server of its service.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_SERVERSPEEDS_H
#define DOTTEREL_ROUTING_SERVERSPEEDS_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Random.h"
#include "dotterel/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dotterel {

struct ServerSpeedOptions {
  /// Time in which a stated work factor loses half of its weight, on average.
  /// Each host draws its own.
  Duration m_FactorHalfLife = Milliseconds(300);
  /// Time in which the excess of an earlier, higher factor halves after a
  /// server has stated a lower one, on average. Each host draws its own.
  Duration m_RecoveryHalfLife = Milliseconds(100);
  /// Maximum deviation of a drawn half-life, as a share of it.
  double m_Spread = 0.5;
  /// Time for which a stated factor is reported to other hosts.
  Duration m_ReportedFor = Milliseconds(400);
  /// Factors of servers that have been within this share of their usual speed
  /// for a second are not reported to other hosts.
  double m_UnreportedChange = 0.1;
  /// Minimum weight of a measurement in the mean of its server.
  double m_MinWeight = 0.03;
  /// Number of measurements of a kind of work after which they are compared,
  /// and of a server after which its lasting speed counts.
  std::uint32_t m_MinMeasurements = 6;
  /// Number of standard errors by which a server's mean has to differ from that
  /// of all servers; what is within them counts as noise.
  double m_NoiseBand = 2.5;
  /// Maximum slowdown, and the inverse of the minimum one.
  double m_MaxSlowdown = 8.0;
};

/// What a host has learnt about the speed of a server, for other hosts.
struct SpeedReport {
  BackendId m_Backend;
  /// Empty if the report is on measurements only.
  std::optional<double> m_Factor;
  Duration m_Age{}; ///< Time since the server stated the factor.
  /// Sum of the deviations that the host has measured since its previous
  /// report, as logarithms of the slowdown, and their number.
  double m_DeviationSum = 0;
  std::uint32_t m_Measurements = 0;
};

/// Speed of each backend server.
///
/// Keeps apart the lasting speed of a server, learnt from how long work took
/// there in comparison with other servers, and the momentary work factor that
/// the server states, whose weight falls with its age. Lasting speeds are
/// learnt only from the first factor on that any server states: servers that
/// state none are taken for equal.
///
/// \invariant While no server has stated a factor, slowdown() is 1.
class ServerSpeeds {
public:
  /// \p Random spreads the times at which hosts return to a server that was
  /// slow.
  ServerSpeeds(Random &Random, const ServerSpeedOptions &Options)
      : m_Random(Random), m_Options(Options) {}

  /// Records that the server stated at \p StatedAt that work takes \p Factor
  /// times as long as usual. Statements that are older than the latest one are
  /// ignored.
  /// \pre Factor > 0
  auto recordFactor(const BackendId &Backend, double Factor,
                    MonotonicTime StatedAt) -> void;

  /// Records that work of the kind \p Kind, which was expected to take \p
  /// Expected at a server of usual speed, took \p Elapsed. Only work of the
  /// same kind is compared.
  auto recordWork(const std::string &Kind, const BackendId &Backend,
                  Duration Expected, Duration Elapsed, MonotonicTime Now)
      -> void;

  /// Applies the report of another host that was received at \p Now.
  auto merge(const SpeedReport &Report, MonotonicTime Now) -> void;

  /// Returns what this host has learnt since the previous call.
  [[nodiscard]] auto collectReports(MonotonicTime Now)
      -> std::vector<SpeedReport>;

  auto remove(const BackendId &Backend) -> void;

  /// Returns whether any server has stated a factor.
  [[nodiscard]] auto anyStated() const -> bool { return m_AnyStated; }
  /// Returns how many times as long as at a usual server work takes now.
  [[nodiscard]] auto slowdown(const BackendId &Backend, MonotonicTime Now) const
      -> double;
  /// Returns the part of the slowdown that is due to the server's lasting
  /// speed.
  [[nodiscard]] auto lastingSlowdown(const BackendId &Backend) const -> double;
  /// Returns the number of servers where work takes at least \p Slowdown times
  /// as long as usual. Complexity: linear in the number of servers.
  [[nodiscard]] auto countSlow(double Slowdown, MonotonicTime Now) const
      -> std::size_t;

private:
  /// Mean of logarithms, weighted towards recent ones.
  struct Mean {
    auto add(double Value, double MinWeight) -> void;

    double m_Value = 0;
    double m_Measurements = 0;
  };

  // Logarithms, so that twice as slow and twice as fast are equally far from
  // the usual speed.
  struct Entry {
    double m_LogFactor = 0;
    double m_LogExcess = 0; ///< Of earlier factors over m_LogFactor.
    MonotonicTime m_StatedAt;
    bool m_Stated = false;
    Duration m_HalfLife{};
    Duration m_RecoveryHalfLife{};
    MonotonicTime m_ReportedUntil; ///< End of the time in which it is unusual.
    Mean m_Deviation;
    double m_UnreportedSum = 0;
    std::uint32_t m_Unreported = 0;
  };

  [[nodiscard]] auto drawHalfLife(Duration Mean) -> Duration;
  [[nodiscard]] static auto logMomentary(const Entry &Current,
                                         MonotonicTime Now) -> double;
  [[nodiscard]] auto logLasting(const Entry &Current) const -> double;
  auto addDeviation(Entry &Current, double Deviation) -> void;

  Random &m_Random;
  ServerSpeedOptions m_Options;
  bool m_AnyStated = false;
  std::unordered_map<BackendId, Entry> m_Entries;
  std::map<std::string, Mean> m_Kinds;
  /// Variance of the deviations of all servers from their own means.
  Mean m_Noise;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_SERVERSPEEDS_H
