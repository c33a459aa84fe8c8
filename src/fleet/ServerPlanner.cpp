#include "dotterel/fleet/ServerPlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace dotterel {

namespace {

auto serves(const GroupServer &Server) -> bool {
  return Server.m_State == ServerState::Running ||
         Server.m_State == ServerState::Starting;
}

/// Servers that take work, or will: a forbidden cheap one does not.
auto countServing(const std::vector<GroupServer> &Servers,
                  const ServerGoal &Goal) -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      Servers.begin(), Servers.end(), [&Goal](const GroupServer &Server) {
        return serves(Server) && (Goal.m_CheapAllowed || !Server.m_Cheap);
      }));
}

/// Servers that serve in each data centre, all or the cheap ones only.
auto servingByDataCentre(const std::vector<GroupServer> &Servers,
                         bool CheapOnly)
    -> std::map<DataCentreId, std::size_t> {
  auto Counts = std::map<DataCentreId, std::size_t>();
  for (const auto &Server : Servers)
    if (serves(Server) && (Server.m_Cheap || !CheapOnly))
      ++Counts[Server.m_DataCentre];
  return Counts;
}

/// Work of the group, in servers.
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

auto ServerPlanner::needed(double Load, const ServerGoal &Goal) const
    -> std::size_t {
  auto Expected = std::max(Load, m_Forecast.at(m_Options.m_Lead));
  // Just below, since a whole number may come out as a little more.
  constexpr auto Rounding = 1e-6;
  auto Servers = std::ceil(Expected / m_Options.m_TargetUtilisation - Rounding);
  return std::max(Goal.m_Least, static_cast<std::size_t>(Servers));
}

auto ServerPlanner::cheapLimit(std::size_t Needed) const -> std::size_t {
  return static_cast<std::size_t>(m_Options.m_CheapShare *
                                  static_cast<double>(Needed));
}

auto ServerPlanner::toStart(Group &Servers, const ServerGoal &Goal,
                            std::size_t Needed) const -> GroupServer * {
  auto Serving = servingByDataCentre(Servers, false);
  auto Cheap = servingByDataCentre(Servers, true);
  auto MayRun = [&](const GroupServer &Server) {
    return !Server.m_Cheap || (Goal.m_CheapAllowed &&
                               Cheap[Server.m_DataCentre] < cheapLimit(Needed));
  };
  GroupServer *Best = nullptr;
  // A draining server is there at once; a cheap one costs less; the data centre
  // with the fewest loses least when another one is lost.
  auto Rank = [&](const GroupServer &Server) {
    return std::tuple(Server.m_State != ServerState::Draining, !Server.m_Cheap,
                      Serving[Server.m_DataCentre], Server.m_Id);
  };
  for (auto &Server : Servers) {
    auto Startable = Server.m_State == ServerState::Stopped ||
                     Server.m_State == ServerState::Draining;
    if (!Startable || !MayRun(Server))
      continue;
    if (Best == nullptr || Rank(Server) < Rank(*Best))
      Best = &Server;
  }
  return Best;
}

auto ServerPlanner::toDrain(Group &Servers, std::size_t Needed) const
    -> GroupServer * {
  auto Serving = servingByDataCentre(Servers, false);
  auto Cheap = servingByDataCentre(Servers, true);
  auto Limit = cheapLimit(Needed);
  auto OverLimit = [&](const GroupServer &Server) {
    return Server.m_Cheap && Cheap[Server.m_DataCentre] > Limit;
  };
  GroupServer *Best = nullptr;
  // First the cheap ones that a reclaim could not be absorbed of, then what
  // costs most, where most run, with the least work to wait for.
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
  auto Needed = needed(Load, Goal);
  auto Decide = [&](ServerAction Action, GroupServer &Server) {
    Decisions.push_back({.m_Action = Action,
                         .m_Server = Server.m_Id,
                         .m_Needed = Needed,
                         .m_Serving = countServing(Servers, Goal),
                         .m_Load = Load,
                         .m_Forecast = m_Forecast.at(m_Options.m_Lead)});
    Server.m_State = Action == ServerAction::Drain ? ServerState::Draining
                                                   : ServerState::Starting;
  };
  while (countServing(Servers, Goal) < Needed) {
    auto *Server = toStart(Servers, Goal, Needed);
    if (Server == nullptr)
      break;
    Decide(Server->m_State == ServerState::Draining ? ServerAction::Resume
                                                    : ServerAction::Start,
           *Server);
  }
  // The gates send nothing more to a cheap server that the preset forbids.
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
  if (Draining || Now - *m_ExcessSince < m_Options.m_StopPatience)
    return Decisions;
  if (auto *Server = toDrain(Servers, Needed))
    Decide(ServerAction::Drain, *Server);
  return Decisions;
}

} // namespace dotterel
