#include "dotterel/poison/CrashEvidenceStore.h"
#include "dotterel/poison/CrashRecord.h"
#include "support/FaultyStore.h"
#include "support/VirtualScheduler.h"

#include "dotterel/base/Errors.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto Crashing = RequestDigest{1};
constexpr auto Sound = RequestDigest{2};
constexpr auto Prefix = "crash-evidence/";

/// A process with its own registry and its own connection to the store.
struct Writer {
  Writer(VirtualScheduler &Scheduler, InMemoryStore &Model,
         const std::string &Name, std::size_t Writers)
      : m_Scheduler(Scheduler), m_Store(Scheduler, Model),
        m_Random(std::hash<std::string>()(Name)),
        m_Evidence(Scheduler, m_Store, m_Random, m_Crashes, Name,
                   {.m_Merge =
                        [this](const auto &Reports) {
                          for (const auto &Report : Reports)
                            m_Crashes.merge(Report, m_Scheduler.now());
                        },
                    .m_WriterCount = [Writers] { return Writers; }},
                   {}) {}

  auto lose(const std::string &Server, RequestDigest Digest = Crashing)
      -> void {
    auto LostAt = m_Scheduler.now();
    m_Crashes.recordLoss(
        BackendId{Server}, DataCentreId{"a"},
        {{.m_Digest = Digest, .m_SentAt = LostAt - Milliseconds(100)}}, LostAt);
    m_Evidence.observed({Digest});
  }

  auto succeed(RequestDigest Digest = Crashing) -> void {
    if (m_Crashes.recordSuccess(Digest))
      m_Evidence.observed({Digest});
  }

  /// Loses one server after another.
  auto loseServers(int Count) -> void {
    for (auto Number = 0; Number < Count; ++Number) {
      lose(fmt::format("e{}", Number));
      m_Scheduler.advance(Seconds(1));
    }
  }

  VirtualScheduler &m_Scheduler;
  FaultyStore m_Store;
  Random m_Random;
  CrashRegistry m_Crashes{{.m_QuarantineLossesShared = 3,
                           .m_MinReclaimedServers = 0,
                           .m_SuccessReleasesQuarantine = true,
                           .m_EvidenceLifetime = Seconds(600)}};
  CrashEvidenceStore m_Evidence;
};

struct Fixture {
  auto start(const std::string &Name, std::size_t Writers = 3)
      -> std::unique_ptr<Writer> {
    auto Started =
        std::make_unique<Writer>(m_Scheduler, m_Model, Name, Writers);
    Started->m_Evidence.start();
    m_Scheduler.advance(Seconds(1));
    return Started;
  }

  /// Starts a process that knows what the store holds, and nothing else.
  auto verdictAfterRestart(RequestDigest Digest = Crashing) -> CrashVerdict {
    return start("other")->m_Crashes.verdict(Digest);
  }

  auto records() -> std::vector<StoredValue> {
    return m_Model.read(KeyRange::prefix(Prefix)).m_Values;
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
};

} // namespace

TEST_CASE("crash evidence store: quarantined digests outlive their processes, "
          "and expire with the evidence") {
  auto Test = Fixture();
  auto First = Test.start("a");
  First->loseServers(3);
  REQUIRE(First->m_Crashes.verdict(Crashing) == CrashVerdict::Quarantined);
  First.reset();
  CHECK(Test.verdictAfterRestart() == CrashVerdict::Quarantined);
  // The time in which no process runs counts.
  Test.m_Scheduler.advance(Seconds(300));
  CHECK(Test.verdictAfterRestart() == CrashVerdict::Quarantined);
  Test.m_Scheduler.advance(Seconds(310));
  auto Late = Test.start("late");
  Late->m_Crashes.expire(Test.m_Scheduler.now());
  CHECK(Late->m_Crashes.verdict(Crashing) == CrashVerdict::Clear);
  // A later process deletes what is outdated.
  Test.m_Scheduler.advance(Seconds(60));
  CHECK(Test.records().empty());
}

// Guards against a clock that is set back while no process runs.
TEST_CASE("crash evidence store: a step of the clock changes no verdict") {
  for (auto Step : {Seconds(-20), Seconds(20)}) {
    auto Test = Fixture();
    Test.start("a")->loseServers(3);
    Test.m_Scheduler.stepWall(Step);
    CHECK(Test.verdictAfterRestart() == CrashVerdict::Quarantined);
  }
}

// Guards against refusing, after a restart, requests that were only in flight
// when a data centre was lost.
TEST_CASE(
    "crash evidence store: single losses and losses at one moment are not "
    "stored") {
  auto Test = Fixture();
  auto First = Test.start("a");
  First->lose("e0", Sound);
  for (auto Number = 0; Number < 9; ++Number)
    First->lose(fmt::format("e{}", Number), Crashing);
  Test.m_Scheduler.advance(Seconds(5));
  CHECK(Test.m_Model.writes() == 0);
  First->m_Scheduler.advance(Seconds(1));
  First->lose("e10");
  Test.m_Scheduler.advance(Seconds(2));
  CHECK(Test.m_Model.writes() == 1);
  First.reset();
  CHECK(Test.verdictAfterRestart() == CrashVerdict::Suspect);
  CHECK(Test.verdictAfterRestart(Sound) == CrashVerdict::Clear);
}

// Guards against refusing a request after a restart although it was proved
// sound, by the record of a process that has not heard of it.
TEST_CASE("crash evidence store: a release by one process holds against the "
          "record of another one") {
  auto Test = Fixture();
  auto First = Test.start("a");
  First->loseServers(3);
  auto Second = Test.start("b");
  REQUIRE(Second->m_Crashes.verdict(Crashing) == CrashVerdict::Quarantined);
  Second->succeed();
  Test.m_Scheduler.advance(Seconds(2));
  CHECK(Test.records().size() == 2);
  First.reset();
  Second.reset();
  CHECK(Test.verdictAfterRestart() == CrashVerdict::Clear);
  // The process that released it writes again after a restart.
  Second = Test.start("b");
  for (auto Number = 0; Number < 2; ++Number) {
    Second->lose(fmt::format("f{}", Number), Sound);
    Test.m_Scheduler.advance(Seconds(1));
  }
  Second.reset();
  CHECK(Test.verdictAfterRestart() == CrashVerdict::Clear);
  CHECK(Test.verdictAfterRestart(Sound) == CrashVerdict::Suspect);
}

TEST_CASE("crash evidence store: while the store is away few calls are made, "
          "and the evidence is stored when it is back") {
  for (auto Fault : {StoreFault::Refuse, StoreFault::LoseRequest,
                     StoreFault::LoseResponse, StoreFault::LateEffect}) {
    CAPTURE(static_cast<int>(Fault));
    auto Test = Fixture();
    auto First = Test.start("a");
    First->m_Store.setOutage(Fault);
    First->loseServers(3);
    auto Before = First->m_Store.calls();
    Test.m_Scheduler.advance(Seconds(60));
    // One every 2 s at the least, when the delay is as short as it may be.
    CHECK(First->m_Store.calls() - Before <= 60 / 2);
    First->m_Store.setOutage(StoreFault::None);
    Test.m_Scheduler.advance(Seconds(10));
    auto Writes = Test.m_Model.writes();
    Test.m_Scheduler.advance(Seconds(60));
    CHECK(Test.m_Model.writes() == Writes);
    First.reset();
    CHECK(Test.verdictAfterRestart() == CrashVerdict::Quarantined);
  }
}

TEST_CASE("crash evidence store: a process that starts while the store is away "
          "reads the evidence when it is back") {
  auto Test = Fixture();
  Test.start("a")->loseServers(3);
  auto Late = std::make_unique<Writer>(Test.m_Scheduler, Test.m_Model, "b", 3);
  Late->m_Store.setOutage(StoreFault::Refuse);
  Late->m_Evidence.start();
  Test.m_Scheduler.advance(Seconds(30));
  CHECK(Late->m_Store.calls() <= 15);
  CHECK(Late->m_Crashes.verdict(Crashing) == CrashVerdict::Clear);
  Late->m_Store.setOutage(StoreFault::None);
  Test.m_Scheduler.advance(Seconds(5));
  CHECK(Late->m_Crashes.verdict(Crashing) == CrashVerdict::Quarantined);
}

TEST_CASE("crash evidence store: what a restored store has lost is written "
          "again") {
  auto Test = Fixture();
  auto First = Test.start("a");
  auto Copy = Test.m_Model.copy();
  First->loseServers(3);
  REQUIRE(Test.records().size() == 1);
  Test.m_Model.restore(Copy, Seconds(5));
  CHECK(Test.records().empty());
  // Any response shows the new history.
  First->m_Store.read(KeyRange::single("x"), [](const auto &) {});
  Test.m_Scheduler.advance(Seconds(5));
  First.reset();
  CHECK(Test.verdictAfterRestart() == CrashVerdict::Quarantined);
}

TEST_CASE("crash evidence store: a record that another process has replaced or "
          "made unreadable is read and written again") {
  auto Record = encodeCrashRecord(
      {{.m_Digest = Sound,
        .m_Losses = {{BackendId{"x"}, {Seconds(9), Seconds(8)}},
                     {BackendId{"y"}, {Seconds(7), Seconds(6)}}}}},
      WallTime(Seconds(1'800'001'000)));
  auto Negative = Record;
  Negative.replace(Negative.find("\"lost_us\":") + 10, 1, "-1");
  for (const auto &Value :
       {Record, Negative, std::string("{"), std::string("[1]"),
        std::string(R"({"digests":[{"digest":"x"}]})")}) {
    CAPTURE(Value);
    auto Test = Fixture();
    auto First = Test.start("a");
    First->loseServers(2);
    Test.m_Model.commit(
        {.m_Writes = {{.m_Key = std::string(Prefix) + "a", .m_Value = Value}}});
    First->lose("e9");
    Test.m_Scheduler.advance(Seconds(5));
    auto Readable = Value == Record;
    CHECK(First->m_Crashes.verdict(Sound) ==
          (Readable ? CrashVerdict::Suspect : CrashVerdict::Clear));
    First.reset();
    CHECK(Test.verdictAfterRestart() == CrashVerdict::Quarantined);
  }
}

TEST_CASE("crash evidence store: the writes of many processes that observe the "
          "same losses stay within their rate") {
  constexpr auto Count = 120;
  auto Test = Fixture();
  auto Writers = std::vector<std::unique_ptr<Writer>>();
  for (auto Number = 0; Number < Count; ++Number) {
    Writers.push_back(std::make_unique<Writer>(
        Test.m_Scheduler, Test.m_Model, fmt::format("h{}", Number), Count));
    Writers.back()->m_Evidence.start();
  }
  Test.m_Scheduler.advance(Seconds(1));
  auto Most = std::uint64_t{0};
  auto Before = Test.m_Model.writes();
  for (auto Second = 0; Second < 60; ++Second) {
    for (auto &Item : Writers)
      Item->lose(fmt::format("e{}", Second));
    Test.m_Scheduler.advance(Seconds(1));
    auto After = Test.m_Model.writes();
    Most = std::max(Most, After - std::exchange(Before, After));
  }
  // 20 a second of all together; those of a moment are spread at random.
  CHECK(Most <= 40);
  CHECK(Test.m_Model.writes() <= 20 * 60 + Count);
  CHECK(Test.m_Model.writes() > Count);
  Writers.clear();
  CHECK(Test.verdictAfterRestart() == CrashVerdict::Quarantined);
}

TEST_CASE("crash evidence store: a process without evidence reads once and "
          "writes nothing") {
  auto Test = Fixture();
  auto First = Test.start("a");
  Test.m_Scheduler.advance(Seconds(1200));
  CHECK(First->m_Store.calls() == 1);
  CHECK(Test.m_Model.writes() == 0);
}
