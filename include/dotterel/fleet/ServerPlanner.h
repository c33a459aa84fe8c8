//===- ServerPlanner.h - How many backend servers should run ----*- C++ -*-===//
///
/// \file
/// Decides which backend servers to start and which to drain and stop.
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
  /// Share of its capacity at which a server is meant to run.
  double m_TargetUtilisation = 0.7;
  /// How far ahead capacity is ordered: a server's start, and some more.
  Duration m_Lead = Seconds(60);
  /// How long fewer servers must suffice before one is drained.
  Duration m_StopPatience = Seconds(120);
  /// Part of the servers needed that may be cheap ones of one data centre. When
  /// these are reclaimed at once the others are full, not overloaded.
  double m_CheapShare = 0.3;
  DemandForecastOptions m_Forecast;
};

enum class ServerState : std::uint8_t {
  Stopped,
  Unavailable, ///< Stopped, and a start has failed of late.
  Starting,
  Running,
  Draining, ///< Gets no new work, by this planner's decision.
  Leaving,  ///< Is being taken away by the platform or an operator.
};

/// A backend server of a group that serves the same work.
struct GroupServer {
  BackendId m_Id;
  DataCentreId m_DataCentre;
  bool m_Cheap = false;
  ServerState m_State = ServerState::Stopped;
  /// Its work, as a part of what it can do; above 1 when work queues.
  double m_Load = 0;
};

/// What the preset in force asks for.
struct ServerGoal {
  std::size_t m_Least = 1; ///< Servers that run in any case.
  bool m_CheapAllowed = true;
};

enum class ServerAction : std::uint8_t { Start, Drain, Resume };

/// The action's name in logs: `start`, `drain`, `resume`.
auto actionName(ServerAction Action) -> const char *;

/// A decision, with the figures it was made by.
struct ServerDecision {
  ServerAction m_Action = ServerAction::Start;
  BackendId m_Server;
  std::size_t m_Needed = 0;  ///< Servers needed.
  std::size_t m_Serving = 0; ///< Servers running or starting.
  double m_Load = 0;         ///< Work at present, in servers.
  double m_Forecast = 0;     ///< Work expected, in servers.
};

/// Plans for one group.
///
/// \invariant At most one server of the group is drained at a time, except that
/// all cheap ones are when the preset forbids them.
class ServerPlanner {
public:
  explicit ServerPlanner(const ServerPlannerOptions &Options)
      : m_Options(Options), m_Forecast(Options.m_Forecast) {}

  /// What to do now. To be called at short intervals.
  /// Complexity: quadratic in the number of servers at the worst.
  auto plan(std::vector<GroupServer> Servers, const ServerGoal &Goal,
            MonotonicTime Now) -> std::vector<ServerDecision>;

private:
  using Group = std::vector<GroupServer>;

  [[nodiscard]] auto needed(double Load, const ServerGoal &Goal) const
      -> std::size_t;
  [[nodiscard]] auto cheapLimit(std::size_t Needed) const -> std::size_t;
  /// The server to start or resume next; nothing when none is to be had.
  [[nodiscard]] auto toStart(Group &Servers, const ServerGoal &Goal,
                             std::size_t Needed) const -> GroupServer *;
  /// The server to drain next.
  [[nodiscard]] auto toDrain(Group &Servers, std::size_t Needed) const
      -> GroupServer *;

  ServerPlannerOptions m_Options;
  DemandForecast m_Forecast;
  std::optional<MonotonicTime> m_ExcessSince;
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_SERVERPLANNER_H
