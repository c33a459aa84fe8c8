#include "support/FleetWorld.h"

#include <doctest/doctest.h>
#include <set>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// Latest execution of an order that the platform has not answered.
constexpr auto MaxLateness = Milliseconds(12000);

/// What happened in a run in which orders were late, lost and doubled.
struct Outcome {
  int m_Overtaken = 0;
  int m_Late = 0;
  int m_HolderChanges = 0;
  int m_Returns = 0; ///< Of a holder after another one.
};

/// Runs three holders on a platform without fencing. \p ChecksFencing states
/// what the holders believe about it.
auto runHolders(std::uint64_t Seed, bool ChecksFencing) -> Outcome {
  auto Test = World();
  auto Result = Outcome();
  auto Choice = Random(Seed);
  Test.m_ChecksFencing = ChecksFencing;
  Test.m_Fleet.m_ChecksFencing = false;
  Test.m_Fleet.m_Fates = [&]() -> Fleet::OrderFate {
    auto Late = [&] {
      ++Result.m_Late;
      return Milliseconds(1000 + Choice.below(MaxLateness.count() - 999));
    };
    switch (Choice.below(6)) {
    case 0:
      return {.m_Lost = true};
    case 1:
      return {.m_Late = {Late()}};
    case 2:
      return {.m_Late = {Milliseconds(5), Late()}};
    default:
      return {};
    }
  };
  for (const auto *Name : {"first", "second", "third"})
    Test.add(Name);
  Test.advanceTime(Seconds(8));
  for (auto Step = 0; Step < 60; ++Step) {
    auto &Changed = *Test.m_Holders[Choice.below(Test.m_Holders.size())];
    auto Faults = std::vector<StoreFault>{
        StoreFault::None,         StoreFault::None,
        StoreFault::Refuse,       StoreFault::LoseRequest,
        StoreFault::LoseResponse, StoreFault::LateEffect};
    Changed.m_Store.setOutage(Faults[Choice.below(Faults.size())]);
    if (Choice.below(3) == 0)
      Test.reclaimServers();
    Test.m_Fleet.m_NoReclaimable = Choice.below(2) == 0;
    Test.advanceTime(Milliseconds(500) * (1 + Choice.below(12)));
  }
  Test.m_Fleet.m_Fates = nullptr;
  for (auto &Holder : Test.m_Holders)
    Holder->m_Store.setOutage(StoreFault::None);
  Test.m_Fleet.m_NoReclaimable = false;
  Test.advanceTime(Seconds(90));
  CHECK(Test.m_Fleet.m_Counts[false] + Test.m_Fleet.m_Counts[true] ==
        MaxServers);
  Result.m_Overtaken = Test.m_Fleet.m_Overtaken;
  auto Holders = std::set<std::string>();
  auto Before = std::string();
  for (const auto &Call : Test.m_Received) {
    if (Call.m_Holder != Before && !Before.empty()) {
      ++Result.m_HolderChanges;
      Result.m_Returns += Holders.contains(Call.m_Holder) ? 1 : 0;
    }
    Before = Call.m_Holder;
    Holders.insert(Before);
  }
  return Result;
}

} // namespace

TEST_CASE("late orders: without fencing at the platform, no order is executed "
          "after a newer, different one, whoever sent it") {
  auto Total = Outcome();
  auto Unguarded = 0;
  for (auto Seed = 1U; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    auto Result = runHolders(Seed, false);
    CHECK(Result.m_Overtaken == 0);
    Total.m_Late += Result.m_Late;
    Total.m_HolderChanges += Result.m_HolderChanges;
    Total.m_Returns += Result.m_Returns;
    Unguarded += runHolders(Seed, true).m_Overtaken;
  }
  MESSAGE("late ", Total.m_Late, ", changes ", Total.m_HolderChanges,
          ", returns ", Total.m_Returns, ", unguarded ", Unguarded);
  CHECK(Total.m_Late >= 100);
  CHECK(Total.m_HolderChanges >= 40);
  CHECK(Total.m_Returns >= 10);
  // The same faults do reorder orders where holders rely on a check that the
  // platform does not make.
  CHECK(Unguarded >= 10);
}

TEST_CASE("late orders: the next holder waits for orders of the earlier one "
          "only where the platform does not check fencing tokens") {
  for (auto ChecksFencing : {false, true}) {
    CAPTURE(ChecksFencing);
    auto Test = World();
    Test.m_ChecksFencing = ChecksFencing;
    Test.add("first");
    Test.advanceTime(Seconds(8));
    // The first holder has no predecessor to wait for.
    CHECK(Test.m_Fleet.m_Counts[false] + Test.m_Fleet.m_Counts[true] ==
          MaxServers);
    Test.m_Holders.clear();
    auto Calls = Test.m_Fleet.m_OrderCalls.size();
    Test.add("second");
    while (!Test.m_Holders[0]->m_Duty.held())
      Test.advanceTime(Milliseconds(500));
    Test.advanceTime(MaxLateness + Seconds(1));
    CHECK((Test.m_Fleet.m_OrderCalls.size() > Calls) == ChecksFencing);
    Test.advanceTime(Seconds(3));
    CHECK(Test.m_Fleet.m_OrderCalls.size() > Calls);
  }
}

TEST_CASE("late orders: an order of a holder that ended is not executed after "
          "a different one of the next holder, nor of the first one's next "
          "process") {
  for (auto ReliesOnCheck : {false, true}) {
    CAPTURE(ReliesOnCheck);
    auto Test = World();
    Test.m_ChecksFencing = ReliesOnCheck;
    Test.m_Fleet.m_ChecksFencing = false;
    Test.add("first");
    Test.advanceTime(Seconds(12));
    for (const auto *Next : {"second", "first"}) {
      Test.reclaimServers();
      // Until ordinary servers have replaced the reclaimed ones.
      for (auto Step = 0; Step < 60; ++Step) {
        Test.advanceTime(Milliseconds(500));
        if (Step > 6 && Test.m_Fleet.m_Counts[false] == MaxServers)
          break;
      }
      REQUIRE(Test.m_Fleet.m_Counts[false] == MaxServers);
      Test.m_Fleet.m_NoReclaimable = false;
      Test.m_Fleet.m_Fates = []() -> Fleet::OrderFate {
        return {.m_Late = {MaxLateness}};
      };
      // Ordinary servers are to make room for reclaimable ones.
      auto Calls = Test.m_Fleet.m_OrderCalls.size();
      while (Test.m_Fleet.m_OrderCalls.size() == Calls)
        Test.m_Scheduler.advance(Milliseconds(10));
      // The plan is changed back before the order is answered.
      Test.m_Directory.put({.m_Id = BackendId{"r0"},
                            .m_Service = Service,
                            .m_Address = "10.0.0.1:1",
                            .m_DataCentre = Here,
                            .m_Draining = true,
                            .m_Reclaimable = true,
                            .m_Stage = EngineStage::Decode});
      Test.m_Scheduler.advance(Milliseconds(1200));
      CHECK(Test.m_Fleet.m_OrderCalls.size() == Calls + 1);
      Test.m_Holders.clear();
      Test.m_Fleet.m_Fates = nullptr;
      Test.m_Fleet.m_NoReclaimable = true;
      Test.add(Next);
      Test.advanceTime(Seconds(25));
      CHECK(Test.m_Holders[0]->m_Duty.held());
    }
    CHECK(Test.m_Fleet.m_Overtaken == (ReliesOnCheck ? 2 : 0));
  }
}

// Guards against a wait that is shorter than the time after which the platform
// still executes an order that it has not answered.
TEST_CASE(
    "late orders: a different order of the same holder follows only after "
    "the latest time at which the platform executes the earlier one") {
  auto Test = World();
  Test.m_Fleet.m_ChecksFencing = false;
  Test.add("first");
  Test.advanceTime(Seconds(12));
  Test.reclaimServers();
  Test.advanceTime(Seconds(3));
  REQUIRE(Test.m_Fleet.m_Counts[false] == MaxServers);
  Test.m_Fleet.m_NoReclaimable = false;
  Test.m_Fleet.m_Fates = []() -> Fleet::OrderFate {
    return {.m_Late = {MaxLateness}};
  };
  auto Calls = Test.m_Fleet.m_OrderCalls.size();
  while (Test.m_Fleet.m_OrderCalls.size() == Calls)
    Test.m_Scheduler.advance(Milliseconds(10));
  Test.m_Fleet.m_Fates = nullptr;
  // The plan is changed back.
  Test.reclaimServers();
  Test.advanceTime(Seconds(40));
  CHECK(Test.m_Fleet.m_OrderCalls.size() > Calls + 1);
  CHECK(Test.m_Fleet.m_Overtaken == 0);
}

// Guards against an increase that follows a decrease which was sent, but not
// accepted: both kinds together were then over their common bound.
TEST_CASE("late orders: one kind is increased only after the decrease of the "
          "other kind was accepted") {
  auto Test = World();
  Test.m_Fleet.m_ChecksFencing = false;
  Test.add("first");
  Test.advanceTime(Seconds(12));
  Test.reclaimServers();
  Test.advanceTime(Seconds(3));
  REQUIRE(Test.m_Fleet.m_Counts[false] == MaxServers);
  Test.m_Fleet.m_NoReclaimable = false;
  // Each second order is lost, so that decreases and increases both are.
  auto Number = 0;
  Test.m_Fleet.m_Fates = [&]() -> Fleet::OrderFate {
    return {.m_Lost = ++Number % 2 == 1};
  };
  Test.advanceTime(Seconds(60));
  CHECK(Number > 2);
  CHECK(Test.m_Fleet.m_Counts[true] > 0);
  CHECK(Test.m_Fleet.m_MaxTotal == MaxServers);
}

TEST_CASE("order copies: a different order follows once each copy was answered "
          "conclusively or its latest time is over") {
  constexpr auto MaxDelay = Seconds(10);
  auto Now = MonotonicTime(Seconds(100));
  for (auto Answer :
       {OrderOutcome::Accepted, OrderOutcome::Rejected, OrderOutcome::Busy,
        OrderOutcome::Throttled, OrderOutcome::NotSent,
        OrderOutcome::Unavailable, OrderOutcome::Unknown}) {
    CAPTURE(nameOf(Answer));
    auto Copies = OrderCopies();
    CHECK(Copies.isComplete(Now));
    Copies.recordSent();
    CHECK_FALSE(Copies.isComplete(Now + Seconds(1000)));
    Copies.recordOutcome(Answer, Now, MaxDelay);
    CHECK(Copies.isComplete(Now) == !mayStillArrive(Answer));
    // A later copy that was accepted does not end an earlier one.
    Copies.recordSent();
    Copies.recordOutcome(OrderOutcome::Accepted, Now + Seconds(1), MaxDelay);
    CHECK(Copies.isComplete(Now + Seconds(9)) == !mayStillArrive(Answer));
    CHECK(Copies.isComplete(Now + MaxDelay));
  }
  CHECK(mayReplaceOrder(true, false));
  CHECK(mayReplaceOrder(false, true));
  CHECK_FALSE(mayReplaceOrder(false, false));
}
