#include "dotterel/routing/EngineTable.h"
#include "dotterel/routing/RetryBudget.h"
#include "dotterel/routing/RoutingPolicy.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <set>

using namespace dotterel;

namespace {

constexpr auto Now = MonotonicTime(Seconds(100));

auto engine(int Number, const std::string &Zone = "a",
            const std::string &Region = "r") -> Backend {
  return {.m_Id = BackendId{fmt::format("e{}", Number)},
          .m_Models = {ModelId{"m"}},
          .m_DataCentre = DataCentreId{Zone},
          .m_Region = RegionId{Region}};
}

auto load(std::uint32_t Running, std::uint64_t Queued) -> EngineLoad {
  return {.m_Incarnation = "1",
          .m_Running = Running,
          .m_Slots = 8,
          .m_QueuedPrefillTokens = Queued,
          .m_PrefillTokensPerSecond = 10'000,
          .m_DecodeTokensPerSecond = 50};
}

auto makeTable(int Engines) -> EngineTable {
  auto Table = EngineTable({.m_Host = HostId{"h"},
                            .m_DataCentre = DataCentreId{"a"},
                            .m_Region = RegionId{"r"}},
                           {});
  auto Listed = std::vector<Backend>();
  for (auto Number = 0; Number < Engines; ++Number)
    Listed.push_back(engine(Number));
  Table.updateList(Listed);
  for (const auto &Server : Listed)
    Table.updateLoad(Server.m_Id, load(0, 0), Now);
  return Table;
}

const auto Query =
    EngineQuery{.m_Request = RequestId{"q"},
                .m_Model = ModelId{"m"},
                .m_Work = {.m_PrefillTokens = 1000, .m_DecodeTokens = 100}};

} // namespace

TEST_CASE("routing: expected time to first token includes queue, cache, round "
          "trip and a full batch") {
  auto Base = Candidate{.m_Slots = 8, .m_PrefillTokensPerSecond = 10'000};
  auto Request = Work{.m_PrefillTokens = 1000, .m_DecodeTokens = 100};
  CHECK(expectedTimeToFirstToken(Base, Request) == Milliseconds(100));
  auto Queued = Base;
  Queued.m_QueuedPrefillTokens = 2000;
  CHECK(expectedTimeToFirstToken(Queued, Request) == Milliseconds(300));
  auto Cached = Base;
  Cached.m_CachedTokens = 900;
  CHECK(expectedTimeToFirstToken(Cached, Request) == Milliseconds(10));
  auto Far = Base;
  Far.m_RoundTripTime = Milliseconds(60);
  CHECK(expectedTimeToFirstToken(Far, Request) == Milliseconds(160));
  auto Full = Base;
  Full.m_Running = 8;
  CHECK(expectedTimeToFirstToken(Full, Request) > Milliseconds(100));
}

TEST_CASE("routing: with outdated reports the sampling policy spreads the "
          "load, and its longest queue is no longer than random's") {
  // 140 requests between two load reports, on 20 engines.
  auto MaxRequestCounts = std::map<std::string, std::uint64_t>();
  for (const auto &Name : routingPolicyNames()) {
    auto Table = makeTable(20);
    auto Policy = makeRoutingPolicy(Name);
    auto Source = Random(3);
    auto Counts = std::map<BackendId, std::uint64_t>();
    for (auto Number = 0; Number < 140; ++Number) {
      auto Engines = Table.candidates(Query, Now);
      REQUIRE_FALSE(Engines.empty());
      const auto &Id =
          Engines[Policy->choose(Engines, Query.m_Work, Source)].m_Id;
      Table.begin(Id, {.m_Attempt = AttemptId{std::to_string(Number)},
                       .m_Work = Query.m_Work});
      ++Counts[Id];
    }
    for (const auto &[Id, Count] : Counts)
      MaxRequestCounts[Name] = std::max(MaxRequestCounts[Name], Count);
  }
  CHECK(MaxRequestCounts["expected-first-token"] <= 10);
  CHECK(MaxRequestCounts["expected-first-token"] <= MaxRequestCounts["random"]);
}

TEST_CASE("routing: a prompt is sent to the engine that caches its prefix") {
  auto Table = makeTable(10);
  auto Blocks = prefixBlockDigests(std::string(12'000, 'x'));
  REQUIRE(Blocks.size() == 3);
  Table.begin(
      BackendId{"e7"},
      {.m_Attempt = AttemptId{"1"}, .m_Work = {}, .m_PrefixBlocks = Blocks});
  Table.end(BackendId{"e7"}, AttemptId{"1"});
  auto CaseQuery = Query;
  CaseQuery.m_Work.m_PrefillTokens = 3000;
  CaseQuery.m_PrefixBlocks = Blocks;
  auto Engines = Table.candidates(CaseQuery, Now);
  auto Source = Random(1);
  auto Policy = makeRoutingPolicy("expected-first-token");
  CHECK(Engines[Policy->choose(Engines, CaseQuery.m_Work, Source)].m_Id ==
        BackendId{"e7"});
  // An engine's cache is empty after a restart.
  auto Restarted = load(0, 0);
  Restarted.m_Incarnation = "2";
  Table.updateLoad(BackendId{"e7"}, Restarted, Now);
  for (const auto &Engine : Table.candidates(CaseQuery, Now))
    CHECK(Engine.m_CachedTokens == 0);
}

TEST_CASE("routing: leaving, drained, tried, ejected and full engines get "
          "no new requests") {
  auto Table = makeTable(6);
  Table.markLeaving(BackendId{"e0"});
  Table.setDrained({BackendId{"e1"}});
  for (auto Number = 0; Number < 3; ++Number)
    Table.outliers().recordFailure(BackendId{"e2"}, Now);
  Table.updateLoad(BackendId{"e3"}, load(10, 0), Now);
  auto CaseQuery = Query;
  CaseQuery.m_Tried = {BackendId{"e4"}};
  auto Engines = Table.candidates(CaseQuery, Now);
  REQUIRE(Engines.size() == 1);
  CHECK(Engines[0].m_Id == BackendId{"e5"});
}

TEST_CASE(
    "routing: other gates' load is averaged for old reports and exact for "
    "fresh ones; own requests are always counted") {
  struct Case {
    Duration m_ReportLag;
    std::uint32_t m_MinRunning;
    std::uint32_t m_MaxRunning;
  };
  // Other gates alternate between 2 and 6 requests; the latest report has 6.
  for (auto Item : {Case{Duration::zero(), 6, 6}, Case{Seconds(5), 3, 5}}) {
    auto Table = EngineTable({.m_Region = RegionId{"r"}},
                             {.m_ReportLag = Item.m_ReportLag});
    Table.updateList({engine(0)});
    auto At = Now;
    for (auto Round = 0; Round < 40; ++Round) {
      At += Milliseconds(500);
      Table.updateLoad(BackendId{"e0"}, load(Round % 2 == 0 ? 2 : 6, 0), At);
    }
    auto Running = Table.candidates(Query, At).at(0).m_Running;
    CHECK(Running >= Item.m_MinRunning);
    CHECK(Running <= Item.m_MaxRunning);
    Table.begin(BackendId{"e0"}, {.m_Attempt = AttemptId{"a"}});
    Table.begin(BackendId{"e0"}, {.m_Attempt = AttemptId{"b"}});
    CHECK(Table.candidates(Query, At).at(0).m_Running == Running + 2);
    Table.end(BackendId{"e0"}, AttemptId{"a"});
    CHECK(Table.candidates(Query, At).at(0).m_Running == Running + 1);
  }
}

TEST_CASE("routing: an unreachable engine gets no requests until it reports "
          "its load or the retry delay has passed") {
  auto Table = makeTable(2);
  Table.markUnreachable(BackendId{"e0"}, Now);
  auto Engines = Table.candidates(Query, Now + Milliseconds(1900));
  REQUIRE(Engines.size() == 1);
  CHECK(Engines[0].m_Id == BackendId{"e1"});
  CHECK(Table.candidates(Query, Now + Seconds(2)).size() == 2);
  Table.markUnreachable(BackendId{"e0"}, Now);
  Table.updateLoad(BackendId{"e0"}, load(0, 0), Now);
  CHECK(Table.candidates(Query, Now).size() == 2);
}

TEST_CASE("routing: a tried engine is used again only when no other one is "
          "reachable") {
  auto Table = makeTable(2);
  auto CaseQuery = Query;
  CaseQuery.m_Tried = {BackendId{"e0"}};
  Table.updateLoad(BackendId{"e1"}, load(10, 0), Now);
  CHECK(Table.candidates(CaseQuery, Now).empty());
  Table.markUnreachable(BackendId{"e1"}, Now);
  auto Engines = Table.candidates(CaseQuery, Now);
  REQUIRE(Engines.size() == 1);
  CHECK(Engines[0].m_Id == BackendId{"e0"});
}

TEST_CASE("routing: no unreachable engine is reserved for a request that must "
          "run alone") {
  auto Table = makeTable(2);
  auto Alone = Query;
  Alone.m_Alone = true;
  Table.begin(BackendId{"e1"}, {.m_Attempt = AttemptId{"busy"}});
  Table.markUnreachable(BackendId{"e0"}, Now);
  Table.reserve(Alone, Now);
  Table.updateLoad(BackendId{"e0"}, load(0, 0), Now);
  auto Other = Query;
  Other.m_Request = RequestId{"other"};
  auto Engines = Table.candidates(Other, Now);
  REQUIRE(Engines.size() == 1);
  CHECK(Engines[0].m_Id == BackendId{"e0"});
}

TEST_CASE("routing: at least half of a pool is not excluded by ejections") {
  auto Table = makeTable(4);
  for (auto Engine : {"e0", "e1", "e2"})
    for (auto Number = 0; Number < 3; ++Number)
      Table.outliers().recordFailure(BackendId{Engine}, Now);
  CHECK(Table.candidates(Query, Now).size() == 4);
  // An ejection expires; the next one lasts longer.
  CHECK(Table.outliers().ejected(BackendId{"e0"}, Now));
  CHECK_FALSE(Table.outliers().ejected(BackendId{"e0"}, Now + Seconds(1)));
  Table.outliers().recordFailure(BackendId{"e0"}, Now + Seconds(1));
  CHECK(Table.outliers().ejected(BackendId{"e0"}, Now + Milliseconds(2900)));
}

TEST_CASE("routing: a request that must run alone gets an engine for itself, "
          "and one is reserved for it") {
  auto Table = makeTable(2);
  auto Alone = Query;
  Alone.m_Alone = true;
  for (auto Engine : {"e0", "e1"})
    Table.begin(BackendId{Engine}, {.m_Attempt = AttemptId{Engine}});
  CHECK(Table.candidates(Alone, Now).empty());
  Table.reserve(Alone, Now);
  auto Other = Query;
  Other.m_Request = RequestId{"other"};
  CHECK(Table.candidates(Other, Now).size() == 1);
  Table.end(BackendId{"e0"}, AttemptId{"e0"});
  Table.end(BackendId{"e1"}, AttemptId{"e1"});
  auto Engines = Table.candidates(Alone, Now);
  REQUIRE_FALSE(Engines.empty());
  Table.begin(Engines[0].m_Id, {.m_Request = Alone.m_Request,
                                .m_Attempt = AttemptId{"x"},
                                .m_Alone = true});
  for (const auto &Engine : Table.candidates(Other, Now))
    CHECK(Engine.m_Id != Engines[0].m_Id);
}

TEST_CASE("routing: two gates run requests alone on different engines") {
  auto Taken = std::set<BackendId>();
  for (auto Parity : {0, 1}) {
    auto Table = makeTable(6);
    Table.setExclusiveOwner([Parity](const BackendId &Id) {
      return (Id.text().back() - '0') % 2 == Parity;
    });
    auto Alone = Query;
    Alone.m_Alone = true;
    for (const auto &Engine : Table.candidates(Alone, Now))
      CHECK(Taken.insert(Engine.m_Id).second);
    // Other requests may use the other gate's engines, too.
    CHECK(Table.candidates(Query, Now).size() == 6);
  }
  CHECK(Taken.size() == 6);
}

TEST_CASE("routing: a gate tracks a bounded number of engines, the nearest "
          "ones first, and all gates together track all of those") {
  auto Listed = std::vector<Backend>();
  constexpr auto Fleet = 400;
  for (auto Number = 0; Number < Fleet; ++Number)
    Listed.push_back(engine(Number, Number % 2 == 0 ? "a" : "b"));
  auto Tracked = std::set<BackendId>();
  constexpr auto Gates = 100;
  for (auto Gate = 0; Gate < Gates; ++Gate) {
    auto Table = EngineTable({.m_Host = HostId{std::to_string(Gate)},
                              .m_DataCentre = DataCentreId{"a"},
                              .m_Region = RegionId{"r"}},
                             {.m_MaxEnginesPerModel = 24});
    Table.updateList(Listed);
    CHECK(Table.all().size() == 24);
    for (const auto &Server : Table.all()) {
      CHECK(Server.m_DataCentre == DataCentreId{"a"});
      Tracked.insert(Server.m_Id);
    }
  }
  CHECK(Tracked.size() == Fleet / 2);
}

TEST_CASE("routing: retries are limited to a share of the successes") {
  auto Budget = RetryBudget(
      {.m_PerSuccess = 0.2, .m_MaxBalance = 20, .m_InitialBalance = 10});
  auto Granted = 0;
  for (auto Number = 0; Number < 1000; ++Number)
    Granted += Budget.spend("o") ? 1 : 0;
  CHECK(Granted == 10);
  for (auto Number = 0; Number < 50; ++Number)
    Budget.recordSuccess("o");
  for (auto Number = 0; Number < 1000; ++Number)
    Granted += Budget.spend("o") ? 1 : 0;
  CHECK(Granted <= 20);
  CHECK(Budget.spend("other"));
}

// Guards against a response that is joined from tokens of two software
// versions.
TEST_CASE("routing: a stream goes on only at engines of the version that began "
          "it, busy or tried before or not") {
  auto Table = makeTable(0);
  auto Listed = std::vector<Backend>();
  for (auto Number = 0; Number < 4; ++Number) {
    Listed.push_back(engine(Number));
    Listed.back().m_Version = SoftwareVersion{Number < 3 ? "v1" : "v2"};
  }
  Table.updateList(Listed);
  for (const auto &Server : Listed)
    Table.updateLoad(Server.m_Id, load(0, 0), Now);
  auto Chosen = [&](const std::string &Version) {
    auto Continued = Query;
    Continued.m_Stream = StreamOrigin{.m_Version = SoftwareVersion{Version}};
    auto Ids = std::set<std::string>();
    for (const auto &Engine : Table.candidates(Continued, Now))
      Ids.insert(Engine.m_Id.text());
    return Ids;
  };
  CHECK(Chosen("v1") == std::set<std::string>{"e0", "e1", "e2"});
  CHECK(Chosen("v2") == std::set<std::string>{"e3"});
  CHECK(Chosen("v3").empty());
  CHECK(Table.candidates(Query, Now).size() == 4);
  auto Continues = [&](const std::string &Version) {
    return Table.continues(ModelId{"m"},
                           {.m_Version = SoftwareVersion{Version}});
  };
  CHECK(Continues("v2"));
  CHECK_FALSE(Continues("v3"));
  Listed.back().m_Leaving = Listed.back().m_Stopped = true;
  Table.updateList(Listed);
  CHECK_FALSE(Continues("v2"));
}
