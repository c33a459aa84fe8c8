#include "dotterel/fleet/ServerPlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dotterel {

namespace {

auto isServing(const GroupServer &Server) -> bool {
  return Server.m_State == ServerState::Running ||
         Server.m_State == ServerState::Starting;
}

/// Returns the number of servers that are running or starting. A cheap server
/// does not count if cheap servers are not allowed.
auto countServing(const std::vector<GroupServer> &Servers,
                  const ServerGoal &Goal) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      Servers.begin(), Servers.end(), [&Goal](const GroupServer &Server) {
        return isServing(Server) && (Goal.m_CheapAllowed || !Server.m_Cheap);
      }));
}

/// Returns the number of running or starting servers, or only of the cheap ones
/// among them, by data centre.
auto servingByDataCentre(const std::vector<GroupServer> &Servers,
                         bool CheapOnly)
    -> std::map<DataCentreId, std::size_t> {
  auto Counts = std::map<DataCentreId, std::size_t>();
  for (const auto &Server : Servers)
    if (isServing(Server) && (Server.m_Cheap || !CheapOnly))
      ++Counts[Server.m_DataCentre];
  return Counts;
}

/// Returns the group's work, in servers.
auto totalLoad(const std::vector<GroupServer> &Servers) -> double {
  auto Sum = 0.0;
  for (const auto &Server : Servers)
    Sum += Server.m_Load;
  return Sum;
}

} // namespace

auto actionName(ServerAction Action) -> const char * {
  switch (Action) {
  case ServerAction::Start:
    return "start";
  case ServerAction::Drain:
    return "drain";
  case ServerAction::Resume:
    return "resume";
  }
  return "";
}

auto ServerPlanner::neededServers(double Load, const ServerGoal &Goal) const
    -> std::size_t {
  auto Expected = std::max(Load, m_Forecast.predict(m_Options.m_LeadTime));
  // Subtracted because rounding errors may put a whole number slightly above
  // its value.
  constexpr auto RoundingTolerance = 1e-6;
  auto Servers =
      std::ceil(Expected / m_Options.m_TargetUtilisation - RoundingTolerance);
  return std::max(Goal.m_MinServers, static_cast<std::size_t>(Servers));
}

auto ServerPlanner::maxCheapServers(std::size_t Needed) const -> std::size_t {
  return static_cast<std::size_t>(m_Options.m_MaxCheapShare *
                                  static_cast<double>(Needed));
}

auto ServerPlanner::nextToStart(Group &Servers, const ServerGoal &Goal,
                                std::size_t Needed) const -> GroupServer * {
  auto Serving = servingByDataCentre(Servers, false);
  auto CheapServing = servingByDataCentre(Servers, true);
  auto IsAllowed = [&](const GroupServer &Server) {
    return !Server.m_Cheap ||
           (Goal.m_CheapAllowed &&
            CheapServing[Server.m_DataCentre] < maxCheapServers(Needed));
  };
  GroupServer *Best = nullptr;
  // Preferred in this order: a draining server, which is available at once; a
  // cheap server; a server in the data centre with the fewest serving ones, so
  // that the loss of a data centre costs less.
  auto Rank = [&](const GroupServer &Server) {
    return std::tuple(Server.m_State != ServerState::Draining, !Server.m_Cheap,
                      Serving[Server.m_DataCentre], Server.m_Id);
  };
  for (auto &Server : Servers) {
    auto Startable = Server.m_State == ServerState::Stopped ||
                     Server.m_State == ServerState::Draining;
    if (!Startable || !IsAllowed(Server))
      continue;
    if (Best == nullptr || Rank(Server) < Rank(*Best))
      Best = &Server;
  }
  return Best;
}

auto ServerPlanner::nextToDrain(Group &Servers, std::size_t Needed) const
    -> GroupServer * {
  auto Serving = servingByDataCentre(Servers, false);
  auto CheapServing = servingByDataCentre(Servers, true);
  auto Limit = maxCheapServers(Needed);
  auto OverLimit = [&](const GroupServer &Server) {
    return Server.m_Cheap && CheapServing[Server.m_DataCentre] > Limit;
  };
  GroupServer *Best = nullptr;
  // Drained in this order: cheap servers above the limit, whose reclaim the
  // others could not absorb; the more expensive servers; servers in the data
  // centre with the most serving ones; those with the least work to finish.
  auto Rank = [&](const GroupServer &Server) {
    return std::tuple(!OverLimit(Server), Server.m_Cheap,
                      -static_cast<std::int64_t>(Serving[Server.m_DataCentre]),
                      Server.m_Load, Server.m_Id);
  };
  for (auto &Server : Servers)
    if (Server.m_State == ServerState::Running &&
        (Best == nullptr || Rank(Server) < Rank(*Best)))
      Best = &Server;
  return Best;
}

auto ServerPlanner::plan(std::vector<GroupServer> Servers,
                         const ServerGoal &Goal, MonotonicTime Now)
    -> std::vector<ServerDecision> {
  auto Decisions = std::vector<ServerDecision>();
  auto Load = totalLoad(Servers);
  m_Forecast.observe(Load, Now);
  auto Needed = neededServers(Load, Goal);
  auto Decide = [&](ServerAction Action, GroupServer &Server) {
    Decisions.push_back(
        {.m_Action = Action,
         .m_Server = Server.m_Id,
         .m_Needed = Needed,
         .m_Serving = countServing(Servers, Goal),
         .m_Load = Load,
         .m_Forecast = m_Forecast.predict(m_Options.m_LeadTime)});
    Server.m_State = Action == ServerAction::Drain ? ServerState::Draining
                                                   : ServerState::Starting;
  };
  while (countServing(Servers, Goal) < Needed) {
    auto *Server = nextToStart(Servers, Goal, Needed);
    if (Server == nullptr)
      break;
    Decide(Server->m_State == ServerState::Draining ? ServerAction::Resume
                                                    : ServerAction::Start,
           *Server);
  }
  // The gates send no new requests to cheap servers that the preset does not
  // allow.
  for (auto &Server : Servers)
    if (Server.m_Cheap && !Goal.m_CheapAllowed &&
        Server.m_State == ServerState::Running)
      Decide(ServerAction::Drain, Server);
  if (countServing(Servers, Goal) <= Needed) {
    m_ExcessSince.reset();
    return Decisions;
  }
  if (!m_ExcessSince)
    m_ExcessSince = Now;
  auto Draining = std::any_of(Servers.begin(), Servers.end(),
                              [](const GroupServer &Server) {
                                return Server.m_State == ServerState::Draining;
                              });
  if (Draining || Now - *m_ExcessSince < m_Options.m_DrainDelay)
    return Decisions;
  if (auto *Server = nextToDrain(Servers, Needed))
    Decide(ServerAction::Drain, *Server);
  return Decisions;
}

} // namespace dotterel
