//===- ServerPlanner.h - Planner of running backend servers -----*- C++ -*-===//
///
/// \file
/// Decides which backend servers to start and which to drain.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_SERVERPLANNER_H
#define DOTTEREL_FLEET_SERVERPLANNER_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/fleet/DemandForecast.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace dotterel {

struct ServerPlannerOptions {
  /// Target utilisation of a server, as a share of its capacity.
  double m_TargetUtilisation = 0.7;
  /// How far ahead capacity is ordered: the start time of a server plus a
  /// margin.
  Duration m_LeadTime = Seconds(60);
  /// Time for which fewer servers must suffice before one is drained.
  Duration m_DrainDelay = Seconds(120);
  /// Maximum share of the needed servers that may be cheap ones of one data
  /// centre. If these are reclaimed at once, the other servers are fully loaded
  /// but not overloaded.
  double m_MaxCheapShare = 0.3;
  DemandForecastOptions m_Forecast;
};

enum class ServerState : std::uint8_t {
  Stopped,
  Unavailable, ///< Stopped, and a start failed recently.
  Starting,
  Running,
  Draining, ///< Gets no new work, as decided by this planner.
  Leaving,  ///< Is being removed by the platform or an operator.
};

/// A backend server of a group in which all servers can serve the same
/// requests.
struct GroupServer {
  BackendId m_Id;
  DataCentreId m_DataCentre;
  bool m_Cheap = false;
  ServerState m_State = ServerState::Stopped;
  /// Its work, as a share of its capacity; above 1 if work is queued.
  double m_Load = 0;
};

/// Requirements of the preset in force.
struct ServerGoal {
  std::size_t m_MinServers = 1; ///< Minimum number of running servers.
  bool m_CheapAllowed = true;
};

enum class ServerAction : std::uint8_t { Start, Drain, Resume };

/// Returns the action's name in logs: `start`, `drain` or `resume`.
auto actionName(ServerAction Action) -> const char *;

/// A decision, with the figures that it is based on.
struct ServerDecision {
  ServerAction m_Action = ServerAction::Start;
  BackendId m_Server;
  std::size_t m_Needed = 0;  ///< Servers needed.
  std::size_t m_Serving = 0; ///< Servers running or starting.
  double m_Load = 0;         ///< Current work, in servers.
  double m_Forecast = 0;     ///< Expected work, in servers.
};

/// Plans the starts and drains of one group.
///
/// \invariant At most one server of the group is drained at a time, except that
/// all cheap servers are drained if the preset does not allow them.
class ServerPlanner {
public:
  explicit ServerPlanner(const ServerPlannerOptions &Options)
      : m_Options(Options), m_Forecast(Options.m_Forecast) {}

  /// Returns the actions to take now. It must be called at short intervals.
  /// Complexity: quadratic in the number of servers in the worst case.
  auto plan(std::vector<GroupServer> Servers, const ServerGoal &Goal,
            MonotonicTime Now) -> std::vector<ServerDecision>;

private:
  using Group = std::vector<GroupServer>;

  /// Returns the number of servers needed for the current and expected load.
  [[nodiscard]] auto neededServers(double Load, const ServerGoal &Goal) const
      -> std::size_t;
  /// Returns the maximum number of cheap servers in one data centre.
  [[nodiscard]] auto maxCheapServers(std::size_t Needed) const -> std::size_t;
  /// Returns the server to start or resume next, or null if none is available.
  [[nodiscard]] auto nextToStart(Group &Servers, const ServerGoal &Goal,
                                 std::size_t Needed) const -> GroupServer *;
  /// Returns the server to drain next, or null if none is running.
  [[nodiscard]] auto nextToDrain(Group &Servers, std::size_t Needed) const
      -> GroupServer *;

  ServerPlannerOptions m_Options;
  DemandForecast m_Forecast;
  std::optional<MonotonicTime> m_ExcessSince;
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_SERVERPLANNER_H
