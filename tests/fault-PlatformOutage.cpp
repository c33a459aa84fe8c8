#include "dotterel/usage/UsageKeys.h"
#include "support/FleetWorld.h"

#include <doctest/doctest.h>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto UsageWindow = Seconds(5);

/// Checks that windows were accepted oldest first, none twice or left out.
auto checkWindows(const Fleet &Platform, std::size_t MinCount) -> void {
  auto Windows = Platform.acceptedWindows();
  REQUIRE(Windows.size() >= MinCount);
  for (auto Index = std::size_t{1}; Index < Windows.size(); ++Index)
    CHECK(Windows[Index].number() == Windows[Index - 1].number() + 1);
}

/// Returns the number of hosts in \p Test that hold the duty.
auto countHolders(const World &Test) -> std::ptrdiff_t {
  return std::count_if(Test.m_Holders.begin(), Test.m_Holders.end(),
                       [](const auto &Item) { return Item->m_Duty.held(); });
}

} // namespace

// Guards against an outage of the platform that is taken for a newer token: the
// holder did nothing any more, and kept the lease (review/3).
TEST_CASE("fleet duty: after an outage of the platform, the holder reports all "
          "windows and orders servers again under the same token") {
  for (auto Outage :
       {OrderOutcome::Unavailable, OrderOutcome::Throttled, OrderOutcome::Busy,
        OrderOutcome::NotSent, OrderOutcome::Unknown}) {
    CAPTURE(nameOf(Outage));
    auto Test = World();
    Test.add("first");
    Test.advanceTime(Seconds(22));
    auto Token = Test.m_Fleet.m_Reports.back().m_Fencing;
    auto ReportsBefore = Test.m_Fleet.m_Reports.size();
    auto OrdersBefore = Test.m_Fleet.m_OrderCalls.size();
    Test.m_Fleet.m_Outage = Outage;
    Test.reclaimServers();
    Test.advanceTime(Seconds(9));
    // After a first burst, calls of each kind are half a second, one second and
    // then two seconds apart or more.
    CHECK(Test.m_Fleet.m_Reports.size() - ReportsBefore <= 6);
    if (Outage != OrderOutcome::Busy)
      CHECK(Test.m_Fleet.m_OrderCalls.size() - OrdersBefore <= 8);
    Test.m_Fleet.m_Outage.reset();
    Test.advanceTime(Seconds(20));
    CHECK(Test.m_Holders[0]->m_Duty.held());
    CHECK(Test.m_Fleet.m_Reports.back().m_Fencing == Token);
    CHECK(Test.m_Fleet.m_Counts[false] == MaxServers);
    checkWindows(Test.m_Fleet, 7);
    // The newest window is not older than its report may be.
    auto Now = windowAt(Test.m_Scheduler.wallNow(), UsageWindow);
    CHECK(Test.m_Fleet.acceptedWindows().back().number() + 3 >= Now.number());
  }
}

TEST_CASE(
    "fleet duty: the holder changes during an outage of the platform, and "
    "each window is reported once, oldest first") {
  auto Test = World();
  for (const auto *Name : {"first", "second"})
    Test.add(Name);
  Test.advanceTime(Seconds(22));
  Test.m_Fleet.m_Outage = OrderOutcome::Unavailable;
  Test.advanceTime(Seconds(30));
  for (auto &Item : Test.m_Holders)
    if (Item->m_Duty.held()) {
      Item->m_Duty.stop();
      break;
    }
  Test.advanceTime(Seconds(20));
  REQUIRE(countHolders(Test) == 1);
  Test.m_Fleet.m_Outage.reset();
  Test.advanceTime(Seconds(30));
  checkWindows(Test.m_Fleet, 18);
}

TEST_CASE("fleet duty: a holder that the platform does not answer gives the "
          "duty up to one that it answers") {
  auto Test = World();
  for (const auto *Name : {"first", "second", "third"})
    Test.add(Name);
  Test.advanceTime(Seconds(22));
  auto Cut = std::size_t{0};
  for (auto Index = std::size_t{0}; Index < Test.m_Holders.size(); ++Index)
    if (Test.m_Holders[Index]->m_Duty.held())
      Cut = Index;
  Test.m_Recorders[Cut]->m_Cut = true;
  Test.m_Received.clear();
  // Until the first unanswered call, until it gives up, until the lease ends,
  // and until the next campaign.
  Test.advanceTime(UsageWindow + Seconds(10 + 4) + Seconds(4 + 2));
  CHECK_FALSE(Test.m_Holders[Cut]->m_Duty.held());
  CHECK(countHolders(Test) == 1);
  Test.advanceTime(Seconds(120));
  CHECK(countHolders(Test) == 1);
  CHECK_FALSE(Test.m_Holders[Cut]->m_Duty.held());
  checkWindows(Test.m_Fleet, 25);
}

TEST_CASE("fleet duty: while no host is answered, holders take turns no faster "
          "than by the time that each waits for an answer") {
  auto Test = World();
  for (const auto *Name : {"first", "second", "third"})
    Test.add(Name);
  Test.advanceTime(Seconds(22));
  Test.m_Received.clear();
  Test.m_Fleet.m_Outage = OrderOutcome::Unknown;
  Test.advanceTime(Seconds(180));
  auto Turns = std::vector<ReceivedCall>();
  for (const auto &Call : Test.m_Received)
    if (Turns.empty() || Turns.back().m_Holder != Call.m_Holder)
      Turns.push_back(Call);
  REQUIRE(Turns.size() > 2);
  for (auto Index = std::size_t{1}; Index < Turns.size(); ++Index) {
    CHECK(Turns[Index].m_Fencing > Turns[Index - 1].m_Fencing);
    CHECK(Turns[Index].m_At - Turns[Index - 1].m_At >= Seconds(10));
  }
  Test.m_Fleet.m_Outage.reset();
  Test.advanceTime(Seconds(40));
  checkWindows(Test.m_Fleet, 40);
}

TEST_CASE(
    "fleet duty: a token that the platform refuses is not used again, and "
    "the duty passes on") {
  auto Test = World();
  for (const auto *Name : {"first", "second"})
    Test.add(Name);
  Test.advanceTime(Seconds(22));
  Test.m_Fleet.m_Outage = OrderOutcome::Refused;
  auto Before = Test.m_Fleet.m_Reports.size();
  while (Test.m_Fleet.m_Reports.size() == Before)
    Test.advanceTime(Milliseconds(500));
  auto Token = Test.m_Fleet.m_Reports.back().m_Fencing;
  CHECK(countHolders(Test) == 0);
  Test.m_Fleet.m_Outage.reset();
  Test.advanceTime(Seconds(30));
  CHECK(countHolders(Test) == 1);
  for (auto Index = Before + 1; Index < Test.m_Fleet.m_Reports.size(); ++Index)
    CHECK(Test.m_Fleet.m_Reports[Index].m_Fencing > Token);
  checkWindows(Test.m_Fleet, 8);
}

TEST_CASE(
    "fleet duty: an order that the platform rejects is not repeated for a "
    "minute, and stops neither the duty nor other orders") {
  auto Test = World();
  auto Other = Test.m_Configuration.m_Services.at(Service);
  Other.m_Id = ServiceId{"absent"};
  // The planner reacts to reclaimable servers that do not come.
  Other.m_Bounds->m_ReclaimablePrice = 0;
  Test.m_Configuration.m_Services.emplace(Other.m_Id, Other);
  Test.m_Fleet.m_RejectedOrders[Other.m_Id] = 0;
  Test.add("first");
  Test.advanceTime(Seconds(55));
  auto Rejected = Test.m_Fleet.m_RejectedOrders[Other.m_Id];
  CHECK(Rejected == 1);
  CHECK(Test.m_Holders[0]->m_Duty.held());
  CHECK(Test.m_Fleet.m_Counts[false] + Test.m_Fleet.m_Counts[true] ==
        MaxServers);
  checkWindows(Test.m_Fleet, 8);
  Test.advanceTime(Seconds(60));
  CHECK(Test.m_Fleet.m_RejectedOrders[Other.m_Id] == Rejected + 1);
}
