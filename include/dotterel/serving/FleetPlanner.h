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
#include "dotterel/serving/FleetPlan.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace dotterel {

struct FleetPlannerOptions {
  /// Share of a data centre's servers that are of the ordinary kind, as long as
  /// the other kind is to be had.
  double m_OrdinaryShare = 0.17;
  /// Share of the largest allowed number that is ordered at the most, and
  /// before the demand is known.
  double m_FleetShare = 1.0;
  /// Servers for each one that would be busy with reading prompts all the time:
  /// prompts come in bursts of several times the mean, half of the engines
  /// generate, and cached parts need room.
  double m_ServersPerBusy = 6.3;
  /// Time that a demand is watched before fewer servers are ordered, and pause
  /// between two reductions.
  Duration m_ShrinkInterval = Milliseconds(8000);
  /// A reduction smaller than this share is not worth the lost caches.
  double m_ShrinkSlack = 0.12;
  /// Share by which one reduction goes at most.
  double m_ShrinkStep = 0.25;
  /// Share of a data centre's engines that read prompts for the others.
  double m_PrefillShare = 0.5;
  /// Share of a data centre's engines by which the stages may be off the plan
  /// under load: a change takes an engine away for seconds.
  double m_StageSlack = 0.2;
  /// Ordered servers that are not there so long after their start time are
  /// taken for not to be had.
  Duration m_StartReserve = Milliseconds(3000);
  /// Pause before reclaimable servers are asked for again: a data centre that
  /// was reclaimed has none for a while.
  Duration m_ReturnInterval = Milliseconds(10000);
  /// Share of the missing reclaimable servers that is asked for at a time:
  /// ordinary ones make room for them before they have started.
  double m_ReturnStep = 0.34;
};

/// Plans from the configuration and the registered servers, with a memory of
/// what was not to be had.
///
/// \invariant The orders of a data centre add up to the size that the demand
/// asks for, whatever is reclaimed.
class FleetPlanner {
public:
  explicit FleetPlanner(const FleetPlannerOptions &Options)
      : m_Options(Options) {}

  /// The wanted numbers of servers, for each elastic service, data centre and
  /// kind. \p Busy is the number of servers that the present demand would keep
  /// busy; empty while it is not known.
  [[nodiscard]] auto servers(const ServingConfiguration &Configuration,
                             const BackendDirectory &Directory,
                             std::optional<double> Busy, MonotonicTime Now)
      -> std::vector<ServerOrder>;

  /// Engines that should change their stage: one in a data centre, or as many
  /// as it takes when \p Idle says that no work can be held up.
  [[nodiscard]] auto stages(const ServingConfiguration &Configuration,
                            const BackendDirectory &Directory, bool Idle) const
      -> std::vector<StageOrder>;

  /// What another planner needs in order to go on with these orders.
  [[nodiscard]] auto plan() const -> FleetPlan;

  /// Goes on with the orders of another planner.
  auto restore(const FleetPlan &Plan, MonotonicTime Now) -> void;

private:
  struct Supply {
    std::uint32_t m_Wanted = 0; ///< Reclaimable servers asked for.
    MonotonicTime m_Since;      ///< Of the newest change.
    bool m_Known = false;
    bool m_Short = false; ///< Whether servers were not to be had.
  };
  struct Present {
    std::uint32_t m_Usable = 0;
    std::uint32_t m_Leaving = 0;
  };

  struct Size {
    std::uint32_t m_Total = 0; ///< Servers in one data centre.
    MonotonicTime m_Since;     ///< Of the newest change.
  };

  auto resize(const ServiceSpec &Service, std::optional<double> Busy,
              MonotonicTime Now) -> std::uint32_t;
  auto supply(Supply &Current, std::uint32_t Most, const Present &There,
              Duration StartTime, MonotonicTime Now) const -> void;

  FleetPlannerOptions m_Options;
  std::map<ServiceId, Size> m_Sizes;
  std::map<std::pair<ServiceId, DataCentreId>, Supply> m_Supplies;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_FLEETPLANNER_H
