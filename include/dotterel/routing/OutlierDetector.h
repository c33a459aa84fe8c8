//===- OutlierDetector.h - Ejection of failing servers ----------*- C++ -*-===//
///
/// \file
/// Temporarily excludes backend servers that fail repeatedly.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_OUTLIERDETECTOR_H
#define DOTTEREL_ROUTING_OUTLIERDETECTOR_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <map>

namespace dotterel {

struct OutlierOptions {
  /// Consecutive failures that eject a server.
  std::uint32_t m_ConsecutiveFailures = 3;
  /// Duration of the first ejection; each further one lasts twice as long,
  /// up to m_MaxEjection.
  Duration m_InitialEjection = Seconds(1);
  Duration m_MaxEjection = Seconds(30);
  /// Minimum share of a pool's servers that is not excluded.
  double m_MinRemainingShare = 0.5;
};

/// Tracks the failures and ejections of backend servers.
class OutlierDetector {
public:
  explicit OutlierDetector(const OutlierOptions &Options)
      : m_Options(Options) {}

  auto recordSuccess(const BackendId &Backend) -> void;
  auto recordFailure(const BackendId &Backend, MonotonicTime Now) -> void;

  [[nodiscard]] auto ejected(const BackendId &Backend, MonotonicTime Now) const
      -> bool;

  /// Returns whether \p Ejected servers of a pool of \p Pool servers may all be
  /// excluded without falling below the minimum share.
  [[nodiscard]] auto mayExclude(std::size_t Ejected, std::size_t Pool) const
      -> bool;

  /// Discards the state of \p Backend.
  auto remove(const BackendId &Backend) -> void;

private:
  struct State {
    std::uint32_t m_ConsecutiveFailures = 0;
    std::uint32_t m_Ejections = 0;
    MonotonicTime m_EjectedUntil;
  };

  OutlierOptions m_Options;
  std::map<BackendId, State> m_States;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_OUTLIERDETECTOR_H
