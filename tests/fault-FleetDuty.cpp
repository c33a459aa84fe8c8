#include "dotterel/base/Errors.h"
#include "support/FleetWorld.h"

#include <doctest/doctest.h>
#include <set>

using namespace dotterel;
using namespace dotterel::test;

// Guards against a new holder that does not continue from the stored plan: each
// planned restart of the holder then stopped the ordinary servers that replaced
// reclaimed ones.
TEST_CASE("fleet duty: after a reclaim and a restart of the holder, the next "
          "holder keeps the orders in force") {
  auto Test = World();
  Test.add("first");
  Test.advanceTime(Seconds(12));
  CHECK(Test.m_Fleet.m_Counts[false] + Test.m_Fleet.m_Counts[true] ==
        MaxServers);
  REQUIRE(Test.m_Fleet.m_Counts[true] > 0);
  Test.reclaimServers();
  Test.advanceTime(Seconds(3));
  REQUIRE(Test.m_Fleet.m_Counts[false] == MaxServers);
  Test.m_Fleet.m_MinTotal = MaxServers;
  auto Changes = Test.m_Fleet.m_Changes;
  Test.m_Holders.clear();
  Test.add("second");
  Test.advanceTime(Seconds(10));
  CHECK(Test.m_Holders[0]->m_Duty.held());
  CHECK(Test.m_Fleet.m_MinTotal == MaxServers);
  CHECK(Test.m_Fleet.m_Changes == Changes);
}

// Guards against orders by an older plan, which the store has after it was
// restored from a copy.
TEST_CASE("fleet duty: when the store is restored, its last holder keeps the "
          "orders in force and stores its plan again") {
  auto Test = World();
  Test.add("first");
  Test.advanceTime(Seconds(12));
  auto Copy = Test.m_Model.copy();
  Test.reclaimServers();
  Test.advanceTime(Seconds(3));
  REQUIRE(Test.m_Fleet.m_Counts[false] == MaxServers);
  auto Plan = [&] {
    return Test.m_Model.read(KeyRange::single("fleet-plan"))
        .m_Values.at(0)
        .m_Value;
  };
  auto Stored = Plan();
  auto Changes = Test.m_Fleet.m_Changes;
  Test.m_Fleet.m_MinTotal = MaxServers;
  Test.m_Model.restore(Copy, Seconds(4));
  REQUIRE(Plan() != Stored);
  Test.advanceTime(Seconds(5));
  CHECK(Test.m_Holders[0]->m_Duty.held());
  CHECK(Test.m_Fleet.m_MinTotal == MaxServers);
  CHECK(Test.m_Fleet.m_Changes == Changes);
  CHECK(Plan() == Stored);
}

// Where the platform does not check fencing tokens, the holders alone keep the
// order of their calls.
TEST_CASE("fleet duty: without fencing at the platform, no call of an earlier "
          "holder follows one of a later holder, and holders do not take turns "
          "within a lease") {
  auto Changes = 0;
  for (auto Seed = 1U; Seed <= 30; ++Seed) {
    CAPTURE(Seed);
    auto Test = World();
    auto Choice = Random(Seed);
    for (const auto *Name : {"first", "second", "third"})
      Test.add(Name);
    Test.advanceTime(Seconds(8));
    for (auto Step = 0; Step < 30; ++Step) {
      auto &Changed = *Test.m_Holders[Choice.below(Test.m_Holders.size())];
      auto Faults = std::vector<StoreFault>{
          StoreFault::None,         StoreFault::None,
          StoreFault::Refuse,       StoreFault::LoseRequest,
          StoreFault::LoseResponse, StoreFault::LateEffect};
      Changed.m_Store.setOutage(Faults[Choice.below(Faults.size())]);
      // Orders follow from servers that are reclaimed and offered again.
      if (Choice.below(4) == 0)
        Test.reclaimServers();
      Test.m_Fleet.m_NoReclaimable = Choice.below(2) == 0;
      Test.advanceTime(Milliseconds(500) * (1 + Choice.below(8)));
    }
    REQUIRE(!Test.m_Received.empty());
    auto Before = std::optional<ReceivedCall>();
    auto LastOf = std::map<std::string, MonotonicTime>();
    for (const auto &Call : Test.m_Received) {
      if (Before) {
        CHECK(Call.m_Fencing >= Before->m_Fencing);
        Changes += Before->m_Holder != Call.m_Holder ? 1 : 0;
        constexpr auto LeaseTerm = Seconds(3);
        if (Before->m_Holder != Call.m_Holder && LastOf.contains(Call.m_Holder))
          CHECK(Call.m_At - LastOf.at(Call.m_Holder) > LeaseTerm);
      }
      LastOf[Call.m_Holder] = Call.m_At;
      Before = Call;
    }
  }
  CHECK(Changes >= 30);
}

TEST_CASE("fleet duty: an engine that says in its response to an order that it "
          "leaves, or pauses, gets no further order") {
  for (auto Notice : {ServerNotice{}, ServerNotice{.m_Leaving = true},
                      ServerNotice{.m_Pause = Seconds(300)}}) {
    auto Test = World();
    Test.m_Fleet.m_EngineNotice = Notice;
    Test.add("first");
    Test.advanceTime(Seconds(60));
    auto &Orders = Test.m_Fleet.m_StageOrders;
    REQUIRE(!Orders.empty());
    // The stages in the list never change, so orders are repeated.
    auto Engines = std::set(Orders.begin(), Orders.end());
    CHECK((Engines.size() == Orders.size()) == !Notice.empty());
  }
}

TEST_CASE(
    "fleet duty: nothing is ordered before the previous holder's plan has "
    "been read and the new plan has been stored") {
  auto Test = World();
  Test.add("first");
  auto &Holder = *Test.m_Holders[0];
  while (!Holder.m_Duty.held())
    Test.m_Scheduler.advance(Milliseconds(1));
  Holder.m_Store.setOutage(StoreFault::Refuse);
  Test.advanceTime(Seconds(5));
  CHECK(Test.m_Fleet.m_Changes == 0);
  Holder.m_Store.setOutage(StoreFault::None);
  Test.advanceTime(Seconds(12));
  CHECK(Test.m_Fleet.m_Counts[false] + Test.m_Fleet.m_Counts[true] ==
        MaxServers);
}

// Guards against a host that acquires the duty while it is being stopped and
// then holds it, without acting, until its process ends.
TEST_CASE("fleet duty: in a rolling restart, a host that is stopping neither "
          "keeps nor acquires the duty") {
  auto Test = World();
  for (const auto *Name : {"first", "second", "third"})
    Test.add(Name);
  Test.advanceTime(Seconds(12));
  auto Stopped = std::vector<std::size_t>();
  for (auto Index = std::size_t{0}; Index < Test.m_Holders.size(); ++Index)
    if (Test.m_Holders[Index]->m_Duty.held() || Stopped.empty()) {
      Test.m_Holders[Index]->m_Duty.stop();
      Stopped.push_back(Index);
    }
  REQUIRE(Stopped.size() < Test.m_Holders.size());
  // The term of the lease and the interval between two campaigns.
  Test.advanceTime(Seconds(7));
  auto HolderCount = 0;
  for (auto Index = std::size_t{0}; Index < Test.m_Holders.size(); ++Index) {
    auto IsStopped = std::find(Stopped.begin(), Stopped.end(), Index);
    auto IsHolder = Test.m_Holders[Index]->m_Duty.held();
    CHECK_FALSE((IsHolder && IsStopped != Stopped.end()));
    HolderCount += IsHolder ? 1 : 0;
  }
  CHECK(HolderCount == 1);
}

TEST_CASE("fleet plan: an encoded plan decodes to the same plan, and malformed "
          "documents are rejected") {
  auto Plan = FleetPlan{
      .m_Sizes = {{Service, 9}},
      .m_Supplies = {{{Service, Here}, {.m_Wanted = 3, .m_Short = true}}}};
  CHECK(decodeFleetPlan(encodeFleetPlan(Plan)) == Plan);
  for (const auto *Document : {"", "{}", R"({"sizes":{"a":"b"}})", "[1]"})
    CHECK_THROWS_AS(decodeFleetPlan(Document), ProtocolError);
}
