#include "support/FleetWorld.h"

#include <doctest/doctest.h>
#include <set>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// Latest execution of a report that the platform has not answered.
constexpr auto MaxLateness = Milliseconds(12000);
/// The lease's term, and the intervals of campaigns and steps.
constexpr auto MaxTakeover = Seconds(8);

enum class GrantEnd : std::uint8_t { Killed, SameHost, Stopped, CutOff };

/// Ends the grant of the only holder, "first", so that another grant follows.
auto endGrant(World &Test, GrantEnd End) -> void {
  switch (End) {
  case GrantEnd::Killed:
    Test.m_Holders.clear();
    Test.add("second");
    break;
  case GrantEnd::SameHost:
    Test.m_Holders.clear();
    Test.add("first");
    break;
  case GrantEnd::Stopped:
    Test.m_Holders[0]->m_Duty.stop();
    Test.add("second");
    break;
  case GrantEnd::CutOff:
    Test.m_Holders[0]->m_Store.setOutage(StoreFault::Refuse);
    Test.add("second");
    break;
  }
}

/// Returns the time from \p From to the first report of a grant after that of
/// the fencing token \p Earlier.
auto firstReportAfter(const World &Test, FencingNumber Earlier,
                      MonotonicTime From) -> std::optional<Duration> {
  for (const auto &Report : Test.m_Fleet.m_Reports)
    if (Report.m_Fencing > Earlier)
      return Report.m_At - From;
  return std::nullopt;
}

/// Advances until a report is sent.
auto awaitReport(World &Test) -> Fleet::Report {
  auto Reports = Test.m_Fleet.m_Reports.size();
  for (auto Step = 0; Step < 4000 && Test.m_Fleet.m_Reports.size() == Reports;
       ++Step)
    Test.m_Scheduler.advance(Milliseconds(10));
  REQUIRE(Test.m_Fleet.m_Reports.size() > Reports);
  return Test.m_Fleet.m_Reports.back();
}

auto runHolders(std::uint64_t Seed, bool ChecksFencing) -> GrantsOutcome {
  auto Test = World();
  auto Result = GrantsOutcome();
  auto Choice = Random(Seed);
  Test.m_ChecksFencing = ChecksFencing;
  Test.m_Fleet.m_ReportFates = [&]() -> Fleet::OrderFate {
    auto Late = [&] {
      ++Result.m_Late;
      return Milliseconds(1 + Choice.below(MaxLateness.count()));
    };
    switch (Choice.below(4)) {
    case 0:
      return {.m_Late = {Late()}};
    case 1:
      return {.m_Late = {Milliseconds(5), Late()}};
    default:
      return {};
    }
  };
  changeHolders(Test, Choice);
  Test.m_Fleet.m_ReportFates = nullptr;
  auto Reports = Test.m_Fleet.m_Reports.size();
  Test.advanceTime(Seconds(60));
  CHECK(Test.m_Fleet.m_Reports.size() > Reports);
  Result.m_Overtaken = Test.m_Fleet.m_ReportsOvertaken;
  auto Tokens = std::set<FencingNumber>();
  for (const auto &Report : Test.m_Fleet.m_Reports)
    Tokens.insert(Report.m_Fencing);
  Result.m_Grants = static_cast<int>(Tokens.size());
  return Result;
}

} // namespace

// Guards against a usage report of a grant that has ended which a platform
// without a check of fencing tokens executes after one of the next grant.
TEST_CASE("late reports: a report that is open at the end of a grant is not "
          "executed after one with a higher token") {
  for (auto End : {GrantEnd::Killed, GrantEnd::SameHost, GrantEnd::Stopped,
                   GrantEnd::CutOff})
    for (auto ReliesOnCheck : {true, false}) {
      CAPTURE(static_cast<int>(End));
      CAPTURE(ReliesOnCheck);
      auto Test = World();
      Test.m_ChecksFencing = ReliesOnCheck;
      Test.add("first");
      Test.advanceTime(Seconds(20));
      Test.m_Fleet.m_ReportFates = []() -> Fleet::OrderFate {
        return {.m_Late = {MaxLateness}};
      };
      awaitReport(Test);
      Test.m_Fleet.m_ReportFates = nullptr;
      endGrant(Test, End);
      Test.advanceTime(Seconds(30));
      CHECK((Test.m_Fleet.m_ReportsOvertaken > 0) == ReliesOnCheck);
    }
}

// Guards against a late copy of a report whose repeat was accepted, so that its
// window is done.
TEST_CASE("late reports: a copy of a report that was accepted later is not "
          "executed after a report of the next grant") {
  for (auto ReliesOnCheck : {true, false}) {
    CAPTURE(ReliesOnCheck);
    auto Test = World();
    Test.m_ChecksFencing = ReliesOnCheck;
    Test.add("first");
    Test.advanceTime(Seconds(20));
    Test.m_Fleet.m_ReportFates = []() -> Fleet::OrderFate {
      return {.m_Late = {MaxLateness}};
    };
    auto First = awaitReport(Test);
    Test.m_Fleet.m_ReportFates = nullptr;
    auto Repeat = awaitReport(Test);
    CHECK(Repeat.m_Window == First.m_Window);
    Test.m_Scheduler.advance(Milliseconds(100));
    endGrant(Test, GrantEnd::Killed);
    Test.advanceTime(Seconds(30));
    CHECK((Test.m_Fleet.m_ReportsOvertaken > 0) == ReliesOnCheck);
  }
}

TEST_CASE("late reports: the next holder reports at once where no report is "
          "open, or where the platform checks fencing tokens") {
  for (auto End : {GrantEnd::Killed, GrantEnd::SameHost, GrantEnd::Stopped,
                   GrantEnd::CutOff})
    for (auto ChecksFencing : {false, true}) {
      CAPTURE(static_cast<int>(End));
      CAPTURE(ChecksFencing);
      auto Test = World();
      Test.m_ChecksFencing = ChecksFencing;
      Test.add("first");
      auto Last = awaitReport(Test);
      Test.m_Scheduler.advance(Milliseconds(100));
      auto EndedAt = Test.m_Scheduler.now();
      endGrant(Test, End);
      Test.advanceTime(Seconds(20));
      auto Wait = firstReportAfter(Test, Last.m_Fencing, EndedAt);
      REQUIRE(Wait);
      // The next window is closed up to a window after the last one.
      constexpr auto Window = Seconds(5);
      CHECK(*Wait <= MaxTakeover + Window);
    }
}

TEST_CASE("late reports: with holders that are cut off and come back, and a "
          "store that is restored, no report is executed after one with a "
          "higher token") {
  auto Total = GrantsOutcome();
  auto Unguarded = 0;
  for (auto Seed = 1U; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    auto Result = runHolders(Seed, false);
    CHECK(Result.m_Overtaken == 0);
    Total.m_Late += Result.m_Late;
    Total.m_Grants += Result.m_Grants;
    Unguarded += runHolders(Seed, true).m_Overtaken;
  }
  MESSAGE("late ", Total.m_Late, ", grants ", Total.m_Grants, ", unguarded ",
          Unguarded);
  CHECK(Total.m_Late >= 100);
  CHECK(Total.m_Grants >= 100);
  // The same faults do reorder reports where holders rely on a check that the
  // platform does not make.
  CHECK(Unguarded >= 10);
}
