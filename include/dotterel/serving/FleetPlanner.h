//===- FleetPlanner.h - Size and stages of the fleet ------------*- C++ -*-===//
///
/// \file
/// Plans the number of servers of elastic services and the stages of their
/// engines.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_FLEETPLANNER_H
#define DOTTEREL_SERVING_FLEETPLANNER_H

#include "dotterel/serving/BackendDirectory.h"
#include "dotterel/serving/FleetCalls.h"
#include "dotterel/serving/FleetPlan.h"

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace dotterel {

/// Returns whether an engine belongs to a choice of engines.
using EngineFilter = std::function<bool(const BackendRecord &)>;

/// Engines that a plan of stages is made of; an empty filter excludes none.
struct StageFilters {
  EngineFilter m_Counts;    ///< Whether an engine is part of the plan.
  EngineFilter m_MayChange; ///< Whether an engine may leave its stage now.
};

struct FleetPlannerOptions {
  /// Share of ordinary servers in a data centre while reclaimable ones are
  /// available.
  double m_OrdinaryShare = 0.17;
  /// Share of the configured maximum number of servers that is ordered at most.
  /// It is also ordered while the demand is unknown.
  double m_MaxFleetShare = 1.0;
  /// Number of servers for each server that the demand would keep continuously
  /// busy with prefill: prompts arrive in bursts of several times the mean,
  /// half of the engines decode, and cached parts need memory.
  double m_ServersPerBusyServer = 6.3;
  /// Time for which the demand is observed before the number of servers is
  /// reduced, and the minimum time between two reductions.
  Duration m_ShrinkInterval = Milliseconds(8000);
  /// Minimum share of servers that a reduction removes: a smaller reduction
  /// does not justify the loss of caches.
  double m_MinShrinkShare = 0.12;
  /// Maximum share of servers that one reduction removes.
  double m_MaxShrinkShare = 0.25;
  /// Share of a data centre's engines in the prefill stage. One decodes in any
  /// case.
  double m_PrefillShare = 0.5;
  /// Share of a data centre's engines by which the stages may deviate from the
  /// plan under load: a stage change makes an engine unavailable for seconds.
  double m_StageTolerance = 0.2;
  /// Time after the start time of ordered servers after which missing ones are
  /// considered unavailable.
  Duration m_StartGrace = Milliseconds(3000);
  /// Time before reclaimable servers are ordered again: after a reclaim, a data
  /// centre has none available for some time.
  Duration m_ReclaimableRetryInterval = Milliseconds(10000);
  /// Share of the planned reclaimable servers that is ordered again at a time:
  /// they replace ordinary servers in the plan before they have started.
  double m_ReclaimableRetryShare = 0.34;
};

/// Plans the fleet from the configuration and the registered servers, and keeps
/// track of which reclaimable servers were not available.
///
/// \invariant The plan leaves a decode engine in each data centre that has
/// engines.
/// \invariant The orders of a data centre add up to the size that the demand
/// requires, regardless of how many servers are reclaimed.
class FleetPlanner {
public:
  explicit FleetPlanner(const FleetPlannerOptions &Options)
      : m_Options(Options) {}

  /// Returns the planned number of servers for each elastic service, data
  /// centre and kind. \p BusyServers is the number of servers that the current
  /// demand would keep busy; empty while it is unknown.
  [[nodiscard]] auto servers(const ServingConfiguration &Configuration,
                             const BackendDirectory &Directory,
                             std::optional<double> BusyServers,
                             MonotonicTime Now) -> std::vector<ServerOrder>;

  /// Returns the engines that should change their stage: at most one in each
  /// data centre, or all that deviate from the plan if \p Idle is set, as no
  /// request can be delayed then. Under load small deviations are tolerated,
  /// unless a service has no decode engine. An engine that may not change
  /// counts in the stage that it has, and another one is chosen.
  [[nodiscard]] auto stages(const ServingConfiguration &Configuration,
                            const BackendDirectory &Directory, bool Idle,
                            const StageFilters &Filters = {}) const
      -> std::vector<StageOrder>;

  /// Returns the state that another planner needs to continue these orders.
  [[nodiscard]] auto plan() const -> FleetPlan;

  /// Continues the orders of another planner.
  auto restore(const FleetPlan &Plan, MonotonicTime Now) -> void;

private:
  struct Supply {
    std::uint32_t m_Wanted = 0; ///< Reclaimable servers ordered.
    MonotonicTime m_ChangedAt;  ///< Time of the latest change.
    bool m_Initialised = false;
    /// Whether fewer servers than planned were available.
    bool m_Short = false;
  };
  struct ServerCounts {
    std::uint32_t m_Usable = 0;
    std::uint32_t m_Draining = 0;
  };

  struct Size {
    std::uint32_t m_Total = 0; ///< Servers in one data centre.
    MonotonicTime m_ChangedAt; ///< Time of the latest change.
  };

  /// Returns the number of engines to prefill among those of a data centre, of
  /// which one decodes at the least.
  [[nodiscard]] auto prefillCount(std::size_t Engines) const -> long;
  auto resize(const ServiceSpec &Service, std::optional<double> BusyServers,
              MonotonicTime Now) -> std::uint32_t;
  auto updateSupply(Supply &Current, std::uint32_t Max,
                    const ServerCounts &Registered, Duration StartTime,
                    MonotonicTime Now) const -> void;

  FleetPlannerOptions m_Options;
  std::map<ServiceId, Size> m_Sizes;
  std::map<std::pair<ServiceId, DataCentreId>, Supply> m_Supplies;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_FLEETPLANNER_H
