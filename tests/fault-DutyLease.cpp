#include "support/FaultyStore.h"

#include "dotterel/base/Random.h"
#include "dotterel/lease/DutyLease.h"

#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

struct Campaigner {
  Campaigner(VirtualScheduler &Scheduler, InMemoryStore &Model,
             const std::string &Name)
      : m_Store(Scheduler, Model),
        m_Lease(std::make_unique<DutyLease>(Scheduler, m_Store, DutyId{"d"},
                                            ProcessId{Name},
                                            DutyLeaseOptions{})) {
    m_Lease->start();
  }

  FaultyStore m_Store;
  std::unique_ptr<DutyLease> m_Lease;
};

struct World {
  explicit World(std::size_t Count) {
    for (auto Index = std::size_t{0}; Index < Count; ++Index)
      m_All.push_back(std::make_unique<Campaigner>(m_Scheduler, m_Model,
                                                   std::to_string(Index)));
  }

  [[nodiscard]] auto holders() const -> std::size_t {
    auto Count = std::size_t{0};
    for (const auto &Item : m_All)
      Count += Item->m_Lease && Item->m_Lease->held() ? 1 : 0;
    return Count;
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  std::vector<std::unique_ptr<Campaigner>> m_All;
};

} // namespace

TEST_CASE("duty: one of three campaigners holds it, and its fencing token "
          "increases with each grant") {
  auto Test = World(3);
  Test.m_Scheduler.advance(Seconds(5));
  REQUIRE(Test.holders() == 1);
  auto Last = FencingNumber{};
  for (auto Round = 0; Round < 3; ++Round) {
    for (auto &Item : Test.m_All)
      if (Item->m_Lease && Item->m_Lease->held()) {
        CHECK(Item->m_Lease->fencing() > Last);
        Last = Item->m_Lease->fencing();
        Item->m_Lease.reset();
        break;
      }
    Test.m_Scheduler.advance(Seconds(20));
    CHECK(Test.holders() == (Round == 2 ? 0 : 1));
  }
}

TEST_CASE("duty: a holder that was paused past its term no longer holds it "
          "when it resumes") {
  auto Test = World(1);
  Test.m_Scheduler.advance(Seconds(5));
  REQUIRE(Test.holders() == 1);
  Test.m_Scheduler.pause(Seconds(11));
  CHECK(Test.holders() == 0);
}

TEST_CASE("duty: a holder that cannot reach the store stops holding it before "
          "the store grants it to another one") {
  auto Test = World(2);
  Test.m_Scheduler.advance(Seconds(5));
  for (auto &Item : Test.m_All)
    if (Item->m_Lease->held())
      Item->m_Store.setOutage(StoreFault::LoseRequest);
  auto SeenVacant = false;
  for (auto Step = 0; Step < 300; ++Step) {
    Test.m_Scheduler.advance(Milliseconds(100));
    CHECK(Test.holders() <= 1);
    SeenVacant = SeenVacant || Test.holders() == 0;
  }
  CHECK(SeenVacant);
  CHECK(Test.holders() == 1);
}

TEST_CASE("duty: after an outage in which the store extends leases, the holder "
          "keeps the duty and its fencing token") {
  auto Test = World(2);
  Test.m_Scheduler.advance(Seconds(5));
  auto &Holder = *Test.m_All[Test.m_All[0]->m_Lease->held() ? 0 : 1];
  REQUIRE(Holder.m_Lease->held());
  auto Number = Holder.m_Lease->fencing();
  for (const auto &Item : Test.m_All)
    Item->m_Store.setOutage(StoreFault::LoseRequest);
  for (auto Second = 0; Second < 20; ++Second) {
    Test.m_Scheduler.advance(Seconds(1));
    Test.m_Model.extendLeases(Seconds(1));
  }
  CHECK_FALSE(Holder.m_Lease->held());
  for (const auto &Item : Test.m_All)
    Item->m_Store.setOutage(StoreFault::None);
  Test.m_Scheduler.advance(Seconds(3));
  CHECK(Holder.m_Lease->held());
  CHECK(Holder.m_Lease->fencing() == Number);
}

TEST_CASE("duty: after a resignation another one acquires it before the term "
          "ends") {
  auto Test = World(2);
  Test.m_Scheduler.advance(Seconds(5));
  for (auto &Item : Test.m_All)
    if (Item->m_Lease->held()) {
      Item->m_Lease->resign([] {});
      break;
    }
  CHECK(Test.holders() == 0);
  Test.m_Scheduler.advance(Seconds(3));
  CHECK(Test.holders() == 1);
}

TEST_CASE("duty: generated faults and pauses never lead to two holders") {
  auto Passed = rc::check([] {
    auto Source = Random(*rc::gen::arbitrary<std::uint32_t>());
    auto Test = World(3);
    constexpr auto Steps = 200;
    for (auto Step = 0; Step < Steps; ++Step) {
      auto &Target = *Test.m_All[Source.below(Test.m_All.size())];
      constexpr auto Kinds = std::array{
          StoreFault::None, StoreFault::Refuse, StoreFault::LoseRequest,
          StoreFault::LoseResponse, StoreFault::LateEffect};
      Target.m_Store.faultAt(Target.m_Store.calls() + 1 + Source.below(3),
                             Kinds[Source.below(Kinds.size())]);
      if (Source.below(20) == 0)
        Test.m_Scheduler.pause(Milliseconds(Source.below(15'000)));
      Test.m_Scheduler.advance(Milliseconds(Source.below(1500)));
      RC_ASSERT(Test.holders() <= 1);
    }
  });
  CHECK(Passed);
}
