#include "dotterel/serving/OffloadDecisions.h"

#include "dotterel/serving/EnginePlacement.h"
#include "support/ServingFakes.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;

namespace {

constexpr auto Now = MonotonicTime(Seconds(100));
const auto Own = DataCentreId{"a"};
const auto Other = DataCentreId{"b"};

/// A service in two data centres of two regions.
struct Fleet {
  auto add(const std::string &Id, const DataCentreId &DataCentre,
           EngineStage Stage = EngineStage::None) -> void {
    m_Directory.put({.m_Id = BackendId{Id},
                     .m_Service = m_Service.m_Id,
                     .m_Address = Id + ":1",
                     .m_DataCentre = DataCentre,
                     .m_Slots = 10,
                     .m_Stage = Stage});
  }

  auto view(const OffloadChoice &Offload = {}) -> ChoiceView {
    return {.m_Directory = m_Directory,
            .m_Loads = m_Loads,
            .m_Health = m_Health,
            .m_Access = m_Access,
            .m_Speeds = m_Speeds,
            .m_Distance = m_Distance,
            .m_Random = m_Random,
            .m_Offload = Offload};
  }

  auto figures(MonotonicTime At = Now) -> OffloadFigures {
    return offloadFigures(view(), m_Speed, m_Service, Milliseconds(60), At);
  }

  ServiceSpec m_Service{.m_Id = ServiceId{"s"}};
  BackendDirectory m_Directory;
  LoadTracker m_Loads{LoadTrackerOptions{}};
  OutlierDetector m_Health{OutlierOptions{}};
  ServerAccess m_Access{{}, {}};
  Distance m_Distance{
      {.m_Host = HostId{"h"}, .m_DataCentre = Own, .m_Region = RegionId{"r"}},
      {{Own, RegionId{"r"}}, {Other, RegionId{"s"}}}};
  Random m_Random{3};
  ServerSpeeds m_Speeds{m_Random, ServerSpeedOptions{}};
  PrefillSpeed m_Speed{PrefillSpeedOptions{}};
};

auto lentTo(const DataCentreId &Lender) -> OffloadChoice {
  return {.m_Reason = OffloadReason::Leaving,
          .m_Own = Own,
          .m_Lender = Lender,
          .m_RoundTrip = Milliseconds(60),
          .m_Target = Milliseconds(400)};
}

} // namespace

TEST_CASE("offload figures: loads of all hosts, ages of data centres, hosts of "
          "this one") {
  auto Test = Fleet();
  Test.add("a1", Own);
  Test.add("b1", Other);
  for (auto Count = 0; Count < 4; ++Count)
    Test.m_Loads.beginAttempt(BackendId{"a1"}, 0, Now);
  Test.m_Loads.setPeerLoads(
      "h2", {{.m_Engine = BackendId{"a1"}, .m_Requests = 8}}, Now);
  Test.m_Loads.setPeerLoads(
      "b", {{.m_Engine = BackendId{"b1"}, .m_Requests = 5}}, Now);
  auto Result = Test.figures(Now + Milliseconds(300));
  CHECK(Result.m_Own.m_DataCentre == Own);
  CHECK(Result.m_Own.m_Occupancy == doctest::Approx(1.2));
  // Two requests wait for one of ten slots of 60 ms each.
  CHECK(Result.m_Own.m_Wait == Milliseconds(12));
  CHECK(Result.m_Hosts == 2);
  REQUIRE(Result.m_Others.size() == 1);
  CHECK(Result.m_Others[0].m_Remote);
  CHECK(Result.m_Others[0].m_Occupancy == doctest::Approx(0.5));
  CHECK(Result.m_Others[0].m_Age == Milliseconds(300));
}

TEST_CASE("offload figures: engines by the stage with less room, prompts by "
          "their queued tokens") {
  auto Test = Fleet();
  Test.m_Service.m_Engine = EngineTraits{};
  Test.add("p", Own, EngineStage::Prefill);
  Test.add("d", Own, EngineStage::Decode);
  Test.add("q", Other, EngineStage::Prefill);
  auto Tokens = 300 * (Test.m_Speed.prefillEngineTokensPerMs() +
                       Test.m_Speed.decodeEngineTokensPerMs());
  Test.m_Loads.beginAttempt(BackendId{"p"}, Tokens, Now);
  for (auto Count = 0; Count < 7; ++Count)
    Test.m_Loads.beginAttempt(BackendId{"d"}, 0, Now);
  auto Result = Test.figures();
  CHECK(Result.m_Own.m_Occupancy == doctest::Approx(0.7));
  CHECK(toMilliseconds(Result.m_Own.m_Wait) == 300);
  CHECK(Result.m_Own.m_AllStages);
  REQUIRE(Result.m_Others.size() == 1);
  CHECK_FALSE(Result.m_Others[0].m_AllStages);
  CHECK_FALSE(Result.m_Others[0].m_Age.has_value());
}

TEST_CASE("offload: a plain call goes to its lender, the others stay") {
  auto Test = Fleet();
  Test.add("a1", Own);
  Test.add("b1", Other);
  auto Choice = ServerChoice({});
  auto Chosen = [&](const OffloadChoice &Offload) {
    return Choice.choose(Test.view(Offload), Test.m_Service.m_Id, {}, Now)
        ->m_Id;
  };
  CHECK(Chosen({}) == BackendId{"a1"});
  CHECK(Chosen(lentTo(Other)) == BackendId{"b1"});
  // A full server costs more than the distance, but not than the target, too.
  for (auto Count = 0; Count < 20; ++Count)
    Test.m_Loads.beginAttempt(BackendId{"a1"}, 0, Now);
  CHECK(Chosen({}) == BackendId{"b1"});
  auto Stays = OffloadChoice{.m_Reason = OffloadReason::LendersFull,
                             .m_Own = Own,
                             .m_Target = Milliseconds(400)};
  CHECK(Chosen(Stays) == BackendId{"a1"});
  // The last resort.
  Test.m_Directory.remove(BackendId{"a1"});
  CHECK(Chosen(Stays) == BackendId{"b1"});
}

TEST_CASE("offload: a lent prompt is prefilled and decoded at its lender, one "
          "with a home keeps it") {
  auto Test = Fleet();
  Test.m_Service.m_Engine = EngineTraits{.m_BytesPerToken = 18'432,
                                         .m_LinkMegabitsPerSecond = 370'000};
  for (const auto &Place : {Own, Other}) {
    Test.add(Place.text() + "p", Place, EngineStage::Prefill);
    Test.add(Place.text() + "d", Place, EngineStage::Decode);
  }
  auto Placement = EnginePlacement({});
  auto Caches = PartCaches();
  auto Plan = [&](const PromptShape &Prompt, const OffloadChoice &Offload) {
    return Placement.plan(Test.view(Offload), Caches, Test.m_Speed,
                          Test.m_Service, Prompt, {}, Now);
  };
  auto DataCentreOf = [](const EnginePlan &Plan) {
    return (Plan.m_Prefill != nullptr ? Plan.m_Prefill : Plan.m_Serve)
        ->m_DataCentre;
  };
  auto Single =
      PromptShape{.m_Parts = {{.m_Id = "own", .m_Tokens = TokenCount{300}}},
                  .m_PromptTokens = TokenCount{300}};
  CHECK(DataCentreOf(Plan(Single, {})) == Own);
  auto Lent = Plan(Single, lentTo(Other));
  CHECK(DataCentreOf(Lent) == Other);
  // The decision changes the choice, not the time that is promised.
  CHECK(Lent.m_Estimate < Milliseconds(400));
  const auto *Decode = Placement.chooseDecodeEngine(
      Test.view(lentTo(Other).forDecode(Other)), Test.m_Speed, Test.m_Service,
      *Test.m_Directory.find(BackendId{"bp"}), {}, Now);
  CHECK(Decode->m_DataCentre == Other);

  // Of documents with homes in either data centre, those at home here stay.
  auto Kept = 0;
  for (auto Document = 0; Document < 20; ++Document) {
    auto Shared =
        PromptShape{.m_Parts = {{.m_Id = fmt::format("doc{}", Document),
                                 .m_Tokens = TokenCount{13'000}},
                                {.m_Id = "own", .m_Tokens = TokenCount{500}}},
                    .m_PromptTokens = TokenCount{13'500}};
    auto Engines = std::vector<const BackendRecord *>{
        Test.m_Directory.find(BackendId{"ap"}),
        Test.m_Directory.find(BackendId{"bp"})};
    if (homeOf(Shared, Engines)->m_DataCentre != Own)
      continue;
    ++Kept;
    CHECK(DataCentreOf(Plan(Shared, lentTo(Other))) == Own);
  }
  CHECK(Kept > 3);
}

TEST_CASE("offload: a prompt prefilled at its home elsewhere is decoded as "
          "without offload") {
  auto Stays = OffloadChoice{.m_Reason = OffloadReason::LendersFull,
                             .m_Own = Own,
                             .m_Target = Milliseconds(400)};
  CHECK(Stays.forDecode(Own).m_Reason == OffloadReason::LendersFull);
  CHECK(Stays.forDecode(Other).bias(Other, Milliseconds(180)) ==
        Duration::zero());
  CHECK(lentTo(Other).forDecode(Other).m_Lender == Other);
}

TEST_CASE("offload: a prompt that would be refused here is served elsewhere, "
          "although nobody lends") {
  auto Test = test::ServingFixture({.m_Offload = {.m_Enabled = true}});
  Test.m_Core.directory().put({.m_Id = BackendId{"far"},
                               .m_Service = ServiceId{"llm"},
                               .m_Address = "far:1",
                               .m_DataCentre = Other,
                               .m_Slots = 8,
                               .m_Stage = EngineStage::Decode});
  // Queues of 1.95 s here and 1.5 s elsewhere; the callers have 2 s.
  const auto &Speed = Test.m_Core.prefillSpeed();
  auto Queued = [](const char *Engine, double TokensPerMs, double Time) {
    return BackendLoad{.m_Engine = BackendId{Engine},
                       .m_Requests = 1,
                       .m_PendingPrefillTokens = TokensPerMs * Time};
  };
  auto Loads = LoadSummary();
  for (const auto *Engine : {"p1", "p2"})
    Loads.m_Engines.push_back(
        Queued(Engine, Speed.prefillEngineTokensPerMs(), 1950));
  for (const auto *Engine : {"g1", "g2"})
    Loads.m_Engines.push_back(
        Queued(Engine, Speed.decodeEngineTokensPerMs(), 1950));
  Loads.m_Engines.push_back(
      Queued("far", Speed.decodeEngineTokensPerMs(), 1500));
  Test.m_Core.applyLoads("h2", Loads);
  auto View = Test.serve(
      "resumable", "k",
      PromptShape{.m_Parts = {{.m_Id = "own", .m_Tokens = TokenCount{100}}},
                  .m_PromptTokens = TokenCount{100}});
  CHECK_FALSE(View->m_Refusal.has_value());
  REQUIRE(Test.m_Transport.m_Sent.size() == 1);
  CHECK(Test.m_Transport.m_Sent[0].m_Attempt.m_Backend == BackendId{"far"});
}
