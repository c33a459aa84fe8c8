#include "dotterel/serving/FleetPlanner.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <vector>

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

/// Puts engines into a directory, of each data centre those with the given
/// stages.
auto directoryOf(const std::vector<std::vector<EngineStage>> &DataCentres)
    -> BackendDirectory {
  auto Directory = BackendDirectory();
  auto Number = 0;
  for (auto Index = std::size_t{0}; Index < DataCentres.size(); ++Index)
    for (auto Stage : DataCentres[Index]) {
      auto Record = engine(Number++, false, Stage);
      Record.m_DataCentre = DataCentreId{fmt::format("d{}", Index)};
      Directory.put(Record);
    }
  return Directory;
}

auto countOf(const BackendDirectory &Directory, EngineStage Stage) -> long {
  auto Engines = Directory.usable(Service);
  return std::count_if(
      Engines.begin(), Engines.end(),
      [Stage](const auto *Engine) { return Engine->m_Stage == Stage; });
}

auto execute(const std::vector<StageOrder> &Orders, BackendDirectory &Directory)
    -> void {
  for (const auto &Order : Orders) {
    auto Record = *Directory.find(Order.m_Backend);
    Record.m_Stage = Order.m_Stage;
    Directory.put(Record);
  }
}

constexpr auto P = EngineStage::Prefill;
constexpr auto D = EngineStage::Decode;

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

// Guards against a service without an engine that decodes: with one engine in
// each data centre, half of one was rounded up to prefill.
TEST_CASE("fleet planner: the only engine of a data centre decodes") {
  auto Planner = FleetPlanner({.m_PrefillShare = 0.5});
  auto Configuration = configuration(8);
  auto Decoding = directoryOf({{D}, {D}, {D}});
  for (auto Idle : {false, true})
    CHECK(Planner.stages(Configuration, Decoding, Idle).empty());
  auto Prefilling = directoryOf({{P}, {P}, {P}});
  execute(Planner.stages(Configuration, Prefilling, true), Prefilling);
  CHECK(countOf(Prefilling, D) == 3);
  // Larger data centres still have prefill engines.
  auto Mixed = directoryOf({{D, D}, {D, D, D}, {D, D, D, D}, {D}});
  execute(Planner.stages(Configuration, Mixed, true), Mixed);
  CHECK(countOf(Mixed, P) == 1 + 2 + 2);
}

// Guards against refusing all prompts of a service for good after the loss of
// its last decode engine, since a deviation of one engine is tolerated under
// load.
TEST_CASE(
    "fleet planner: if no engine of a service decodes, one is ordered to, "
    "also under load") {
  auto Planner = FleetPlanner({.m_PrefillShare = 0.5});
  auto Configuration = configuration(8);
  auto Directory = directoryOf({{P}, {P, P}, {P}});
  for (auto Idle : {false, true}) {
    auto Orders = Planner.stages(Configuration, Directory, Idle);
    CHECK(Orders.size() == (Idle ? 3 : 1));
    for (const auto &Order : Orders)
      CHECK(Order.m_Stage == D);
    // The same engine until it has changed, so that no second one is lost to
    // prefill meanwhile.
    auto Again = Planner.stages(Configuration, Directory, Idle);
    REQUIRE(Again.size() == Orders.size());
    CHECK(Again[0].m_Backend == Orders[0].m_Backend);
  }
  // The last decode engine leaves, and gets no orders any more.
  auto Leaving = directoryOf({{D}, {P, P}, {P}});
  auto MayOrder = [](const BackendRecord &Engine) {
    return Engine.m_Stage != D;
  };
  auto Orders =
      Planner.stages(Configuration, Leaving, false, {.m_Counts = MayOrder});
  REQUIRE(Orders.size() == 1);
  CHECK(Orders[0].m_Stage == D);
  // One decode engine anywhere is enough for the tolerance to hold.
  auto Served = directoryOf({{D}, {P}, {P}});
  CHECK(Planner.stages(Configuration, Served, false).empty());
}

TEST_CASE(
    "fleet planner: an engine that may not change counts in its stage, and "
    "another one is chosen, if need be of the other kind") {
  auto Planner = FleetPlanner({.m_PrefillShare = 0.5});
  auto Configuration = configuration(8);
  auto Directory = BackendDirectory();
  Directory.put(engine(0, true, D));
  Directory.put(engine(1, true, D));
  Directory.put(engine(2, false, D));
  Directory.put(engine(3, true, P));
  auto Chosen = [&](const std::vector<std::string> &Held) {
    auto Orders =
        Planner.stages(Configuration, Directory, true,
                       {.m_MayChange = [&](const BackendRecord &Engine) {
                         return std::find(Held.begin(), Held.end(),
                                          Engine.m_Id.text()) == Held.end();
                       }});
    auto Ids = std::vector<std::string>();
    for (const auto &Order : Orders)
      Ids.push_back(Order.m_Backend.text());
    return Ids;
  };
  using Ids = std::vector<std::string>;
  CHECK(Chosen({}) == Ids{"e0"});
  CHECK(Chosen({"e0"}) == Ids{"e1"});
  CHECK(Chosen({"e0", "e1"}) == Ids{"e2"});
  CHECK(Chosen({"e0", "e1", "e2"}).empty());
  // The one that prefills already is not counted out.
  CHECK(Chosen({"e3"}) == Ids{"e0"});
}

TEST_CASE("fleet planner: for any engines, stages settle with a decode engine "
          "in each data centre, and the last one is never ordered to prefill") {
  CHECK(rc::check([](const std::vector<std::vector<bool>> &Stages) {
    auto Planner = FleetPlanner({.m_PrefillShare = 0.5});
    auto Configuration = configuration(8);
    auto DataCentres = std::vector<std::vector<EngineStage>>();
    for (const auto &Members : Stages)
      for (DataCentres.emplace_back(); auto Prefill : Members)
        DataCentres.back().push_back(Prefill ? P : D);
    auto Directory = directoryOf(DataCentres);
    auto Engines = Directory.usable(Service).size();
    for (auto Round = std::size_t{0}; Round < 2; ++Round) {
      execute(Planner.stages(Configuration, Directory, false), Directory);
      RC_ASSERT(Engines == 0 || countOf(Directory, D) > 0);
    }
    execute(Planner.stages(Configuration, Directory, true), Directory);
    for (auto Index = std::size_t{0}; Index < DataCentres.size(); ++Index) {
      auto Decoding = 0;
      for (const auto *Engine : Directory.usable(Service))
        Decoding += Engine->m_Stage == D && Engine->m_DataCentre.text() ==
                                                fmt::format("d{}", Index)
                        ? 1
                        : 0;
      RC_ASSERT(DataCentres[Index].empty() || Decoding > 0);
    }
    RC_ASSERT(Planner.stages(Configuration, Directory, true).empty());
  }));
}
