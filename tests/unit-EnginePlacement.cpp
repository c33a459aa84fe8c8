#include "dotterel/serving/EnginePlacement.h"

#include <array>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <set>

using namespace dotterel;

namespace {

constexpr auto Now = MonotonicTime(Seconds(100));

/// Engines in two data centres of two regions, half of them prefill engines.
struct Fleet {
  explicit Fleet(int Engines) {
    for (auto Number = 0; Number < Engines; ++Number)
      m_Directory.put(
          {.m_Id = BackendId{fmt::format("e{}", Number)},
           .m_Service = m_Service.m_Id,
           .m_Address = fmt::format("10.0.0.{}:1", Number),
           .m_DataCentre = DataCentreId{Number % 2 == 0 ? "a" : "b"},
           .m_Slots = 16,
           .m_Stage = Number / 2 % 2 == 0 ? EngineStage::Prefill
                                          : EngineStage::Decode});
  }

  auto view() -> ChoiceView {
    return {.m_Directory = m_Directory,
            .m_Loads = m_Loads,
            .m_Health = m_Health,
            .m_Access = m_Access,
            .m_Speeds = m_Speeds,
            .m_Distance = m_Distance,
            .m_Random = m_Random};
  }

  auto plan(const PromptShape &Prompt) -> EnginePlan {
    return m_Placement.plan(view(), m_Caches, m_Speed, m_Service, Prompt, {},
                            Now);
  }

  ServiceSpec m_Service{.m_Id = ServiceId{"llm"},
                        .m_Engine =
                            EngineTraits{.m_Slots = 16,
                                         .m_CacheCapacity = TokenCount{400'000},
                                         .m_BytesPerToken = 18'432,
                                         .m_LinkMegabitsPerSecond = 370'000}};
  BackendDirectory m_Directory;
  LoadTracker m_Loads{LoadTrackerOptions{}};
  OutlierDetector m_Health{OutlierOptions{}};
  ServerAccess m_Access{{}, {}};
  Distance m_Distance{
      {.m_Host = HostId{"h"},
       .m_DataCentre = DataCentreId{"a"},
       .m_Region = RegionId{"r"}},
      {{DataCentreId{"a"}, RegionId{"r"}}, {DataCentreId{"b"}, RegionId{"s"}}}};
  Random m_Random{3};
  ServerSpeeds m_Speeds{m_Random, {}};
  PartCaches m_Caches;
  PrefillSpeed m_Speed{PrefillSpeedOptions{}};
  EnginePlacement m_Placement{EnginePlacementOptions{}};
};

auto longPrompt(int Document, int Request) -> PromptShape {
  return {.m_Parts = {{.m_Id = fmt::format("doc{}", Document),
                       .m_Tokens = TokenCount{13'000}},
                      {.m_Id = fmt::format("own{}", Request),
                       .m_Tokens = TokenCount{3700}}},
          .m_PromptTokens = TokenCount{16'700},
          .m_OutputLimit = TokenCount{120}};
}

auto shortPrompt(int Request) -> PromptShape {
  return {.m_Parts = {{.m_Id = fmt::format("s{}", Request),
                       .m_Tokens = TokenCount{300}}},
          .m_PromptTokens = TokenCount{300},
          .m_OutputLimit = TokenCount{40}};
}

} // namespace

TEST_CASE("engine placement: each shared document is prefilled by one engine, "
          "the same on every host") {
  auto First = Fleet(16);
  auto Second = Fleet(16);
  auto PrefillEngines = std::map<BackendId, int>();
  for (auto Document = 0; Document < 64; ++Document) {
    auto Plan = First.plan(longPrompt(Document, 1));
    REQUIRE(Plan.m_Prefill != nullptr);
    CHECK(Plan.m_Prefill->m_Id ==
          Second.plan(longPrompt(Document, 2)).m_Prefill->m_Id);
    ++PrefillEngines[Plan.m_Prefill->m_Id];
  }
  // All prefill engines are used, none with more than three times its share.
  CHECK(PrefillEngines.size() == 8);
  for (const auto &[Engine, Count] : PrefillEngines)
    CHECK(Count <= 24);
}

TEST_CASE("engine placement: removing a prefill engine moves only its own "
          "documents") {
  auto Test = Fleet(16);
  auto Before = std::map<int, BackendId>();
  for (auto Document = 0; Document < 64; ++Document)
    Before[Document] = Test.plan(longPrompt(Document, 1)).m_Prefill->m_Id;
  auto Removed = Before[0];
  Test.m_Directory.remove(Removed);
  for (auto Document = 0; Document < 64; ++Document)
    if (Before[Document] != Removed)
      CHECK(Test.plan(longPrompt(Document, 1)).m_Prefill->m_Id ==
            Before[Document]);
}

TEST_CASE("engine placement: if the queue of a document's home engine is long, "
          "another engine prefills the prompt and fetches the shared part from "
          "the home") {
  auto Test = Fleet(16);
  auto Prompt = longPrompt(5, 1);
  const auto *Home = Test.plan(Prompt).m_Prefill;
  Test.m_Loads.beginAttempt(Home->m_Id, 4000, Now);
  CHECK(Test.plan(Prompt).m_Prefill == Home);
  Test.m_Loads.beginAttempt(Home->m_Id, 60'000, Now);
  auto Spilled = Test.plan(Prompt);
  CHECK(Spilled.m_Prefill != Home);
  CHECK(Spilled.m_FetchFrom == Home->m_Address);
}

TEST_CASE("engine placement: a burst of short prompts is prefilled on decode "
          "engines, balanced by load within the own data centre, and overflows "
          "to prefill engines") {
  auto Test = Fleet(16);
  auto Targets = std::map<BackendId, int>();
  auto OnPrefillEngines = 0;
  for (auto Request = 0; Request < 40; ++Request) {
    auto Plan = Test.plan(shortPrompt(Request));
    REQUIRE(Plan.possible());
    const auto *Target = Plan.m_Serve ? Plan.m_Serve : Plan.m_Prefill;
    if (Request < 4)
      CHECK(Plan.m_Serve != nullptr);
    OnPrefillEngines += Plan.m_Serve ? 0 : 1;
    CHECK(Target->m_DataCentre.text() == "a");
    ++Targets[Target->m_Id];
    Test.m_Loads.beginAttempt(Target->m_Id, Plan.m_NewTokens, Now);
  }
  CHECK(OnPrefillEngines > 0);
  CHECK(Targets.size() == 8);
  for (const auto &[Engine, Count] : Targets)
    CHECK(Count <= 10);
}

TEST_CASE(
    "engine placement: load reported by other hosts counts like own load") {
  auto Test = Fleet(16);
  auto Prompt = longPrompt(5, 1);
  const auto *Home = Test.plan(Prompt).m_Prefill;
  Test.m_Loads.setPeerLoads("other",
                            {{.m_Engine = Home->m_Id,
                              .m_Requests = 9,
                              .m_PendingPrefillTokens = 60'000}},
                            Now);
  CHECK(Test.plan(Prompt).m_Prefill != Home);
}

TEST_CASE("engine placement: an engine that grows slow loses new work with one "
          "report, and a plan expects the longer time") {
  auto Test = Fleet(16);
  auto Before = Test.plan(longPrompt(5, 1));
  Test.m_Speeds.recordFactor(Before.m_Prefill->m_Id, 4, Now);
  CHECK(Test.plan(longPrompt(5, 1)).m_Prefill != Before.m_Prefill);
  auto Short = Test.plan(shortPrompt(1));
  for (const auto &[Id, Record] : Test.m_Directory.all())
    Test.m_Speeds.recordFactor(Id, 2.5, Now);
  CHECK(Test.plan(shortPrompt(1)).m_Estimate > Short.m_Estimate);
}

TEST_CASE("engine placement: where engines are drawn, long prompts still share "
          "the home of their document") {
  auto Test = Fleet(16);
  auto Home = Test.plan(longPrompt(5, 1)).m_Prefill->m_Id;
  Test.m_Speeds.recordFactor(BackendId{"e0"}, 1, Now);
  Test.m_Placement = EnginePlacement({.m_Choices = 2});
  auto ShortTargets = std::set<BackendId>();
  for (auto Request = 0; Request < 50; ++Request) {
    CHECK(Test.plan(longPrompt(5, Request)).m_Prefill->m_Id == Home);
    auto Short = Test.plan(shortPrompt(Request));
    REQUIRE(Short.m_Serve != nullptr);
    ShortTargets.insert(Short.m_Serve->m_Id);
  }
  // All idle decode engines of the data centre.
  CHECK(ShortTargets.size() == 4);
}

TEST_CASE("server choice: slow, usual and quick servers of a plain service get "
          "work by their speed, also while all are idle") {
  auto Test = Fleet(0);
  for (auto Number = 0; Number < 6; ++Number) {
    Test.m_Directory.put({.m_Id = BackendId{fmt::format("d{}", Number)},
                          .m_Service = ServiceId{"desk"},
                          .m_Address = fmt::format("10.0.1.{}:1", Number),
                          .m_DataCentre = DataCentreId{"a"},
                          .m_Slots = 6});
    constexpr auto Factors = std::array{0.625, 1.0, 1.6};
    Test.m_Speeds.recordFactor(BackendId{fmt::format("d{}", Number)},
                               Factors.at(Number % 3), Now);
  }
  auto Chosen = std::array<int, 3>();
  for (auto Request = 0; Request < 24; ++Request) {
    const auto *Server =
        ServerChoice({}).choose(Test.view(), ServiceId{"desk"}, {}, Now);
    ++Chosen.at((Server->m_Id.text()[1] - '0') % 3);
    Test.m_Loads.beginAttempt(Server->m_Id, 0, Now);
    if (Request == 0)
      CHECK(Chosen[0] == 1);
  }
  CHECK(Chosen[0] > Chosen[1]);
  CHECK(Chosen[1] > Chosen[2]);
}

TEST_CASE("engine placement: without prefill engines, decode engines prefill "
          "prompts, and without decode engines there is no plan") {
  auto Test = Fleet(4);
  Test.m_Directory.remove(BackendId{"e0"});
  Test.m_Directory.remove(BackendId{"e1"});
  CHECK(Test.plan(longPrompt(1, 1)).m_Serve != nullptr);
  Test.m_Directory.remove(BackendId{"e2"});
  Test.m_Directory.remove(BackendId{"e3"});
  CHECK_FALSE(Test.plan(longPrompt(1, 1)).possible());
}

TEST_CASE("part cache: a part counts only after cached parts, and the least "
          "recently used parts are evicted first") {
  auto Cache = PartCache(TokenCount{30'000});
  auto Prompt = longPrompt(1, 1);
  Cache.touch(Prompt.m_Parts);
  CHECK(Cache.match(Prompt) == 16'700);
  CHECK(Cache.match(longPrompt(1, 2)) == 13'000);
  CHECK(Cache.match(longPrompt(2, 1)) == 0);
  Cache.touch(longPrompt(2, 2).m_Parts);
  CHECK(Cache.match(longPrompt(2, 3)) == 13'000);
  Cache.touch(longPrompt(2, 4).m_Parts);
  CHECK(Cache.match(longPrompt(1, 1)) == 0);
}
