//===- OutlierDetector.h - Ejection of failing servers ----------*- C++ -*-===//
///
/// \file
/// Takes backend servers that keep failing out of the choice for a while.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_OUTLIERDETECTOR_H
#define DOTTEREL_ROUTING_OUTLIERDETECTOR_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <map>

namespace dotterel {

struct OutlierOptions {
  std::uint32_t m_FailuresInRow = 3;
  Duration m_FirstEjection = Seconds(1);
  Duration m_LongestEjection = Seconds(30);
  /// Share of the servers of a pool that stays in the choice at least.
  double m_Floor = 0.5;
};

/// Ejection state of backend servers.
class OutlierDetector {
public:
  explicit OutlierDetector(const OutlierOptions &Options)
      : m_Options(Options) {}

  auto recordSuccess(const BackendId &Backend) -> void;
  auto recordFailure(const BackendId &Backend, MonotonicTime Now) -> void;

  [[nodiscard]] auto ejected(const BackendId &Backend, MonotonicTime Now) const
      -> bool;

  /// Whether so many ejected ones of a pool may really be left out.
  [[nodiscard]] auto mayLeaveOut(std::size_t Ejected, std::size_t Pool) const
      -> bool;

  auto forget(const BackendId &Backend) -> void;

private:
  struct State {
    std::uint32_t m_FailuresInRow = 0;
    std::uint32_t m_Ejections = 0;
    MonotonicTime m_EjectedUntil;
  };

  OutlierOptions m_Options;
  std::map<BackendId, State> m_States;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_OUTLIERDETECTOR_H
