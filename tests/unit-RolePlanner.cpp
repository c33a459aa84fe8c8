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

/// Applies the planned changes for \p Length seconds and counts them.
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

TEST_CASE(
    "roles: engines change role for a lasting prefill-heavy mix, one at a "
    "time, and the minimum for decode is kept") {
  auto Planner = RolePlanner({});
  auto Group = makeGroup(6);
  auto Demand = GroupDemand{.m_Prefill = 7000, .m_Decode = 1500};
  auto Before = Planner.utilisation(Group, Demand);
  auto Changes = run(
      Planner, Group, [&](int) { return Demand; }, 600);
  CHECK(Changes >= 2);
  CHECK(Changes <= 6);
  CHECK(Planner.utilisation(Group, Demand) < Before * 0.85);
  auto Capable = 0;
  for (const auto &Engine : Group)
    Capable += Engine.m_Role != EngineRole::Prefill ? 1 : 0;
  CHECK(Capable >= 1);
}

TEST_CASE("roles: a low load causes no change") {
  auto Planner = RolePlanner({});
  auto Group = makeGroup(6);
  CHECK(run(
            Planner, Group,
            [](int) { return GroupDemand{.m_Prefill = 2000, .m_Decode = 10}; },
            600) == 0);
}

TEST_CASE("roles: a mix that swings every few seconds causes few changes, but "
          "many without minimum gain duration and change interval") {
  auto Swing = [](int Second) {
    auto PrefillHeavy = (Second / 8) % 2 == 0;
    return GroupDemand{.m_Prefill = PrefillHeavy ? 6000.0 : 1500.0,
                       .m_Decode = PrefillHeavy ? 1500.0 : 6000.0};
  };
  auto Default = RolePlanner({});
  auto First = makeGroup(6);
  auto Few = run(Default, First, Swing, 600);
  auto WithoutDelays = RolePlanner({.m_MinGainDuration = Duration::zero(),
                                    .m_MinChangeInterval = Duration::zero()});
  auto Second = makeGroup(6);
  auto Many = run(WithoutDelays, Second, Swing, 600);
  MESSAGE("changes in 600 s of an 8 s swing: ", Few, " against ", Many);
  CHECK(Few <= 2);
  CHECK(Many > 20);
}

TEST_CASE("roles: the expected mix duration follows the swings") {
  auto Planner = RolePlanner({});
  auto Group = makeGroup(6);
  run(
      Planner, Group,
      [](int Second) {
        auto PrefillHeavy = (Second / 8) % 2 == 0;
        return GroupDemand{.m_Prefill = PrefillHeavy ? 4000.0 : 1000.0,
                           .m_Decode = PrefillHeavy ? 1000.0 : 4000.0};
      },
      300);
  CHECK(Planner.expectedMixDuration() < Seconds(20));
}
