#include "dotterel/fleet/RolePlanner.h"

#include <cmath>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;

namespace {

auto makeGroup(int Count) -> std::vector<GroupEngine> {
  auto Group = std::vector<GroupEngine>();
  for (auto Number = 0; Number < Count; ++Number)
    Group.push_back({.m_Id = BackendId{fmt::format("e{}", Number)},
                     .m_PrefillTokensPerSecond = 1000,
                     .m_DecodeTokensPerSecond = 1000});
  return Group;
}

/// Applies a plan's changes over some seconds and counts them.
auto run(RolePlanner &Planner, std::vector<GroupEngine> &Group,
         const std::function<GroupDemand(int)> &Demand, int Length) -> int {
  auto Changes = 0;
  for (auto Second = 0; Second < Length; ++Second) {
    auto Change = Planner.plan(Group, Demand(Second),
                               MonotonicTime(Seconds(1000 + Second)));
    if (!Change)
      continue;
    ++Changes;
    for (auto &Engine : Group)
      if (Engine.m_Id == Change->m_Engine)
        Engine.m_Role = Change->m_To;
  }
  return Changes;
}

} // namespace

TEST_CASE("roles: a lasting lean to prefill is met, one change at a time, and "
          "a floor for decode stays") {
  auto Planner = RolePlanner({});
  auto Group = makeGroup(6);
  auto Demand = GroupDemand{.m_Prefill = 7000, .m_Decode = 1500};
  auto Before = Planner.utilisation(Group, Demand);
  auto Changes = run(
      Planner, Group, [&](int) { return Demand; }, 600);
  CHECK(Changes >= 2);
  CHECK(Changes <= 6);
  CHECK(Planner.utilisation(Group, Demand) < Before * 0.85);
  auto Able = 0;
  for (const auto &Engine : Group)
    Able += Engine.m_Role != EngineRole::Prefill ? 1 : 0;
  CHECK(Able >= 1);
}

TEST_CASE("roles: a light load changes nothing") {
  auto Planner = RolePlanner({});
  auto Group = makeGroup(6);
  CHECK(run(
            Planner, Group,
            [](int) { return GroupDemand{.m_Prefill = 2000, .m_Decode = 10}; },
            600) == 0);
}

TEST_CASE("roles: a mix that swings every few seconds causes few changes; a "
          "planner without patience and pause flaps") {
  auto Swing = [](int Second) {
    auto Heavy = (Second / 8) % 2 == 0;
    return GroupDemand{.m_Prefill = Heavy ? 6000.0 : 1500.0,
                       .m_Decode = Heavy ? 1500.0 : 6000.0};
  };
  auto Patient = RolePlanner({});
  auto First = makeGroup(6);
  auto Few = run(Patient, First, Swing, 600);
  auto Hasty = RolePlanner(
      {.m_Patience = Duration::zero(), .m_Pause = Duration::zero()});
  auto Second = makeGroup(6);
  auto Many = run(Hasty, Second, Swing, 600);
  MESSAGE("changes in 600 s of an 8 s swing: ", Few, " against ", Many);
  CHECK(Few <= 2);
  CHECK(Many > 20);
}

TEST_CASE("roles: the expected stay follows the swings") {
  auto Planner = RolePlanner({});
  auto Group = makeGroup(6);
  run(
      Planner, Group,
      [](int Second) {
        auto Heavy = (Second / 8) % 2 == 0;
        return GroupDemand{.m_Prefill = Heavy ? 4000.0 : 1000.0,
                           .m_Decode = Heavy ? 1000.0 : 4000.0};
      },
      300);
  CHECK(Planner.expectedStay() < Seconds(20));
}
