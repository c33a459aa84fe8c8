//===- FleetPlanner.h - How many servers, and in which stage ----*- C++ -*-===//
///
/// \file
/// Decides the size of elastic services and the stages of their engines.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_FLEETPLANNER_H
#define DOTTEREL_SERVING_FLEETPLANNER_H

#include "dotterel/serving/BackendDirectory.h"
#include "dotterel/serving/FleetCalls.h"

#include <vector>

namespace dotterel {

struct FleetPlannerOptions {
  /// Share of a data centre's servers that are of the ordinary kind.
  double m_OrdinaryShare = 0.5;
  /// Share of the largest allowed number that is ordered.
  double m_FleetShare = 1.0;
  /// Share of a data centre's engines that read prompts for the others.
  double m_PrefillShare = 0.5;
};

/// Plans from the configuration and the registered servers alone, so that a new
/// holder of the duty comes to the same plan.
class FleetPlanner {
public:
  explicit FleetPlanner(const FleetPlannerOptions &Options)
      : m_Options(Options) {}

  /// The wanted numbers of servers, for each elastic service, data centre and
  /// kind.
  [[nodiscard]] auto servers(const ServingConfiguration &Configuration) const
      -> std::vector<ServerOrder>;

  /// Engines that should change their stage, at most one in a data centre.
  [[nodiscard]] auto stages(const ServingConfiguration &Configuration,
                            const BackendDirectory &Directory) const
      -> std::vector<StageOrder>;

private:
  FleetPlannerOptions m_Options;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_FLEETPLANNER_H
