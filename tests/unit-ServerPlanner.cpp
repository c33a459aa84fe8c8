#include "dotterel/fleet/DrainTracker.h"
#include "dotterel/fleet/ServerPlanner.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>

using namespace dotterel;

namespace {

constexpr auto Start = MonotonicTime(Seconds(1000));

/// Returns servers in three data centres, of which the last \p Cheap are cheap.
auto servers(int Count, int Running, int Cheap = 0)
    -> std::vector<GroupServer> {
  auto Result = std::vector<GroupServer>();
  for (auto Number = 0; Number < Count; ++Number)
    Result.push_back(
        {.m_Id = BackendId{fmt::format("s{:02}", Number)},
         .m_DataCentre = DataCentreId{fmt::format("d{}", Number % 3)},
         .m_Cheap = Number >= Count - Cheap,
         .m_State =
             Number < Running ? ServerState::Running : ServerState::Stopped});
  return Result;
}

/// Distributes \p Total evenly over the running servers.
auto setLoad(std::vector<GroupServer> &Servers, double Total) -> void {
  auto Running = std::count_if(Servers.begin(), Servers.end(),
                               [](const GroupServer &Server) {
                                 return Server.m_State == ServerState::Running;
                               });
  for (auto &Server : Servers)
    Server.m_Load = Server.m_State == ServerState::Running
                        ? Total / static_cast<double>(Running)
                        : 0;
}

auto count(const std::vector<ServerDecision> &Decisions, ServerAction Action)
    -> std::ptrdiff_t {
  return std::count_if(
      Decisions.begin(), Decisions.end(),
      [Action](const auto &Item) { return Item.m_Action == Action; });
}

} // namespace

TEST_CASE(
    "servers: the servers that the load needs are started at once, spread "
    "over the data centres") {
  auto Planner = ServerPlanner({});
  auto Group = servers(9, 3);
  setLoad(Group, 4.2);
  auto Decisions = Planner.plan(Group, {}, Start);
  // 4.2 servers of work at 70% utilisation need 6 servers.
  REQUIRE(Decisions.size() == 3);
  auto Places = std::map<DataCentreId, int>();
  for (const auto &Item : Decisions) {
    CHECK(Item.m_Action == ServerAction::Start);
    CHECK(Item.m_Needed == 6);
    auto Found =
        std::find_if(Group.begin(), Group.end(), [&](const auto &Server) {
          return Server.m_Id == Item.m_Server;
        });
    ++Places[Found->m_DataCentre];
  }
  CHECK(Places.size() == 3);
}

TEST_CASE("servers: they are started ahead of an increase of the load") {
  auto Planner = ServerPlanner({.m_LeadTime = Seconds(60)});
  auto Group = servers(12, 4);
  auto Decisions = std::vector<ServerDecision>();
  auto At = Start;
  // The work grows from 1 to 2.6 servers within 4 minutes; 4 servers can carry
  // it.
  while (Decisions.empty() && At < Start + Seconds(240)) {
    auto Passed = std::chrono::duration<double>(At - Start).count();
    setLoad(Group, 1.0 + Passed / 150);
    Decisions = Planner.plan(Group, {}, At);
    At += Milliseconds(500);
  }
  REQUIRE_FALSE(Decisions.empty());
  CHECK(Decisions.front().m_Action == ServerAction::Start);
  // Four servers still suffice for the current load.
  CHECK(Decisions.front().m_Load < 4 * 0.7);
  CHECK(Decisions.front().m_Forecast > 4 * 0.7);
}

TEST_CASE("servers: one at a time is drained, after fewer have sufficed for "
          "the drain delay") {
  auto Planner = ServerPlanner({.m_DrainDelay = Seconds(120)});
  auto Group = servers(9, 6);
  setLoad(Group, 1.4);
  for (auto At = Start; At < Start + Seconds(120); At += Seconds(1))
    CHECK(Planner.plan(Group, {}, At).empty());
  auto Decisions = Planner.plan(Group, {}, Start + Seconds(120));
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].m_Action == ServerAction::Drain);
  for (auto &Server : Group)
    if (Server.m_Id == Decisions[0].m_Server)
      Server.m_State = ServerState::Draining;
  CHECK(Planner.plan(Group, {}, Start + Seconds(121)).empty());
}

TEST_CASE("servers: load swings shorter than the drain delay drain none") {
  auto Planner = ServerPlanner({.m_DrainDelay = Seconds(120)});
  auto Group = servers(9, 6);
  auto Drained = std::ptrdiff_t{0};
  auto Started = std::ptrdiff_t{0};
  for (auto At = Start; At < Start + Seconds(900); At += Seconds(1)) {
    auto High = ((At - Start) / Seconds(60)) % 2 == 0;
    setLoad(Group, High ? 4.0 : 1.0);
    auto Decisions = Planner.plan(Group, {}, At);
    Drained += count(Decisions, ServerAction::Drain);
    for (const auto &Item : Decisions) {
      ++Started;
      for (auto &Server : Group)
        if (Server.m_Id == Item.m_Server)
          Server.m_State = ServerState::Running;
    }
  }
  CHECK(Drained == 0);
  // At most the three stopped servers, once each.
  CHECK(Started <= 3);
}

TEST_CASE("servers: a draining one is resumed before another is started") {
  auto Planner = ServerPlanner({});
  auto Group = servers(6, 3);
  Group[2].m_State = ServerState::Draining;
  setLoad(Group, 2.1);
  auto Decisions = Planner.plan(Group, {}, Start);
  REQUIRE(Decisions.size() == 1);
  CHECK(Decisions[0].m_Action == ServerAction::Resume);
  CHECK(Decisions[0].m_Server == Group[2].m_Id);
}

TEST_CASE("servers: cheap ones are started first, up to the maximum share of "
          "each data centre") {
  auto Planner = ServerPlanner({});
  // 12 standard and 12 cheap servers in three data centres.
  auto Group = servers(24, 0, 12);
  auto Decisions = Planner.plan(Group, {.m_MinServers = 10}, Start);
  CHECK(Decisions.size() == 10);
  auto Cheap = std::map<DataCentreId, int>();
  for (const auto &Item : Decisions) {
    auto Found =
        std::find_if(Group.begin(), Group.end(), [&](const auto &Server) {
          return Server.m_Id == Item.m_Server;
        });
    Cheap[Found->m_DataCentre] += Found->m_Cheap ? 1 : 0;
  }
  CHECK(Cheap.size() == 3);
  for (const auto &[Place, Number] : Cheap)
    CHECK(Number == 3);
}

TEST_CASE("servers: a preset without cheap servers drains them and starts "
          "replacements") {
  auto Planner = ServerPlanner({});
  auto Group = servers(8, 8, 4);
  for (auto Number = std::size_t{2}; Number < 4; ++Number)
    Group[Number].m_State = ServerState::Stopped;
  auto Decisions =
      Planner.plan(Group, {.m_MinServers = 4, .m_CheapAllowed = false}, Start);
  CHECK(count(Decisions, ServerAction::Start) == 2);
  CHECK(count(Decisions, ServerAction::Drain) == 4);
}

TEST_CASE("servers: unavailable and leaving ones are neither counted nor "
          "started") {
  auto Planner = ServerPlanner({});
  auto Group = servers(6, 2);
  Group[0].m_State = ServerState::Leaving;
  Group[2].m_State = ServerState::Unavailable;
  auto Decisions = Planner.plan(Group, {.m_MinServers = 3}, Start);
  REQUIRE(Decisions.size() == 2);
  for (const auto &Item : Decisions) {
    CHECK(Item.m_Server != Group[0].m_Id);
    CHECK(Item.m_Server != Group[2].m_Id);
  }
}

TEST_CASE("servers: a drained one is idle only after a report that arrived "
          "the report lag after every gate confirmed the drain") {
  auto Tracker = DrainTracker({.m_ReportLag = Seconds(3)});
  auto Server = BackendId{"s"};
  auto AllConfirmed = false;
  auto Confirmed = [&AllConfirmed](ConfigRevision Revision) {
    return AllConfirmed && Revision == ConfigRevision{7};
  };
  auto Status = DrainStatus{
      .m_Revision = ConfigRevision{7}, .m_Running = 0, .m_ReportedAt = Start};
  CHECK_FALSE(Tracker.isIdle(Server, Status, Confirmed, Start));
  AllConfirmed = true;
  // Later revisions do not delay the confirmation.
  Status.m_Revision = ConfigRevision{9};
  Status.m_ReportedAt = Start + Seconds(10);
  CHECK_FALSE(Tracker.isIdle(Server, Status, Confirmed, Start + Seconds(10)));
  Status.m_ReportedAt = Start + Seconds(13);
  Status.m_Running = 1;
  CHECK_FALSE(Tracker.isIdle(Server, Status, Confirmed, Start + Seconds(13)));
  Status.m_Running = 0;
  CHECK(Tracker.isIdle(Server, Status, Confirmed, Start + Seconds(13)));
  Tracker.keepOnly({});
  CHECK_FALSE(Tracker.isIdle(Server, Status, Confirmed, Start + Seconds(13)));
}
