#include "dotterel/serving/FleetPlanner.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;

namespace {

const auto Service = ServiceId{"llm"};
const auto Here = DataCentreId{"a"};
constexpr auto Start = MonotonicTime(Seconds(100));

auto configuration(std::uint32_t Max) -> ServingConfiguration {
  auto Result = ServingConfiguration();
  Result.m_Services.emplace(
      Service,
      ServiceSpec{.m_Id = Service,
                  .m_Engine = EngineTraits{.m_Slots = 8},
                  .m_Bounds = ServerBounds{.m_MinServers = 1,
                                           .m_MaxServers = Max,
                                           .m_StartTime = Seconds(4),
                                           .m_ReclaimablePrice = 0.2,
                                           .m_Prices = {{Here, 1.0}}}});
  return Result;
}

auto engine(int Number, bool Reclaimable, EngineStage Stage,
            bool Draining = false) -> BackendRecord {
  return {.m_Id = BackendId{fmt::format("e{}", Number)},
          .m_Service = Service,
          .m_Address = "10.0.0.1:1",
          .m_DataCentre = Here,
          .m_Draining = Draining,
          .m_Reclaimable = Reclaimable,
          .m_Stage = Stage};
}

struct Counts {
  std::uint32_t m_Ordinary = 0;
  std::uint32_t m_Reclaimable = 0;
  auto operator==(const Counts &) const -> bool = default;
};

auto countsOf(const std::vector<ServerOrder> &Orders) -> Counts {
  auto Result = Counts();
  for (const auto &Order : Orders)
    (Order.m_Reclaimable ? Result.m_Reclaimable : Result.m_Ordinary) =
        Order.m_Count;
  return Result;
}

} // namespace

TEST_CASE("fleet planner: reclaimed servers are replaced by ordinary ones when "
          "they start to drain, and are ordered again later") {
  auto Planner = FleetPlanner({.m_OrdinaryShare = 0.5});
  auto Configuration = configuration(6);
  auto Directory = BackendDirectory();
  CHECK(countsOf(Planner.servers(Configuration, Directory, {}, Start)) ==
        Counts{3, 3});
  for (auto Number = 0; Number < 6; ++Number)
    Directory.put(engine(Number, Number < 3, EngineStage::Decode));
  auto Now = Start + Seconds(20);
  CHECK(countsOf(Planner.servers(Configuration, Directory, {}, Now)) ==
        Counts{3, 3});
  for (auto Number = 0; Number < 3; ++Number)
    Directory.put(engine(Number, true, EngineStage::Decode, true));
  Now += Seconds(1);
  CHECK(countsOf(Planner.servers(Configuration, Directory, {}, Now)) ==
        Counts{6, 0});
  for (auto Number = 0; Number < 3; ++Number)
    Directory.remove(BackendId{fmt::format("e{}", Number)});
  Now += Seconds(9);
  CHECK(countsOf(Planner.servers(Configuration, Directory, {}, Now)) ==
        Counts{6, 0});
  Now += Seconds(2);
  auto Returning = countsOf(Planner.servers(Configuration, Directory, {}, Now));
  CHECK(Returning.m_Reclaimable > 0);
  CHECK(Returning.m_Ordinary + Returning.m_Reclaimable == 6);
  // No reclaimable servers are available: ordinary ones are ordered instead.
  Now += Seconds(8);
  CHECK(countsOf(Planner.servers(Configuration, Directory, {}, Now)) ==
        Counts{6, 0});
}

TEST_CASE("fleet planner: ordered servers count as missing only after their "
          "start time") {
  auto Planner = FleetPlanner({.m_OrdinaryShare = 0.5});
  auto Configuration = configuration(6);
  auto Directory = BackendDirectory();
  static_cast<void>(Planner.servers(Configuration, Directory, {}, Start));
  CHECK(countsOf(Planner.servers(Configuration, Directory, {},
                                 Start + Seconds(6))) == Counts{3, 3});
  CHECK(countsOf(Planner.servers(Configuration, Directory, {},
                                 Start + Seconds(8))) == Counts{6, 0});
}

TEST_CASE("fleet planner: the size grows immediately and shrinks slowly with "
          "the demand, within its limits") {
  auto Planner = FleetPlanner({.m_ServersPerBusyServer = 6});
  auto Configuration = configuration(20);
  auto Directory = BackendDirectory();
  auto Total = [&](std::optional<double> Busy, Duration After) {
    auto Counted = countsOf(
        Planner.servers(Configuration, Directory, Busy, Start + After));
    return Counted.m_Ordinary + Counted.m_Reclaimable;
  };
  CHECK(Total({}, Seconds(0)) == 20);
  // An unknown or zero demand does not change the size.
  CHECK(Total({}, Seconds(60)) == 20);
  CHECK(Total(0.0, Seconds(61)) == 20);
  CHECK(Total(1.0, Seconds(65)) == 20);
  CHECK(Total(1.0, Seconds(70)) == 15);
  CHECK(Total(1.0, Seconds(71)) == 15);
  CHECK(Total(1.0, Seconds(79)) == 11);
  CHECK(Total(2.5, Seconds(80)) == 15);
  CHECK(Total(99.0, Seconds(81)) == 20);
}

TEST_CASE("fleet planner: under load one engine at a time changes its stage, "
          "chosen from the kind with more engines in that stage") {
  auto Planner = FleetPlanner({.m_PrefillShare = 0.5});
  auto Configuration = configuration(8);
  auto Directory = BackendDirectory();
  for (auto Number = 0; Number < 8; ++Number)
    Directory.put(engine(Number, Number < 6, EngineStage::Decode));
  auto UnderLoad = Planner.stages(Configuration, Directory, false);
  REQUIRE(UnderLoad.size() == 1);
  CHECK(Directory.find(UnderLoad[0].m_Backend)->m_Reclaimable);
  auto Idle = Planner.stages(Configuration, Directory, true);
  CHECK(Idle.size() == 4);
  // A small deviation does not justify making an engine unavailable.
  for (auto Number = 0; Number < 3; ++Number)
    Directory.put(engine(Number, true, EngineStage::Prefill));
  CHECK(Planner.stages(Configuration, Directory, false).empty());
}
