#include "support/FaultyOrders.h"
#include "support/FaultyStore.h"

#include "dotterel/base/Random.h"
#include "dotterel/fleet/Backend.h"
#include "dotterel/fleet/OrderSender.h"

#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto Term = Seconds(10);

auto directive(EngineRole Role) -> Directive {
  return Directive{roleName(Role)};
}

/// An engine that records every order that it executes, in order of arrival.
struct Engine final : OrderTarget {
  bool m_ChecksFencing = false;
  std::uint64_t m_Highest = 0;
  std::string m_Incarnation = "1";
  std::vector<BackendOrder> m_Executed;

  auto receive(const BackendId & /*Id*/, const BackendOrder &Order)
      -> bool override {
    if (m_ChecksFencing && Order.m_Fencing.number() < m_Highest)
      return false;
    m_Highest = std::max(m_Highest, Order.m_Fencing.number());
    m_Executed.push_back(Order);
    return true;
  }

  auto stateOf(const BackendId & /*Id*/) -> TargetState override {
    auto State = TargetState{.m_Incarnation = m_Incarnation};
    if (!m_Executed.empty())
      State.m_LastOrder = m_Executed.back().m_Id;
    return State;
  }
};

struct Steward {
  Steward(VirtualScheduler &Scheduler, InMemoryStore &Model, Engine &Target,
          const std::string &Name, std::set<SenderId> &Ended)
      : m_Store(Scheduler, Model), m_Orders(Scheduler, Target),
        m_Duty(std::make_unique<DutyLease>(Scheduler, m_Store, DutyId{"roles"},
                                           ProcessId{Name},
                                           DutyLeaseOptions{.m_Term = Term})),
        m_Sender(std::make_unique<OrderSender>(
            m_Store, *m_Duty, m_Orders,
            [&Ended](const SenderId &Sender) { return Ended.contains(Sender); },
            OrderSenderOptions{.m_Target = BackendId{"e"},
                               .m_Key = "orders/e",
                               .m_ChecksFencing = Target.m_ChecksFencing,
                               .m_Self = SenderId{Name}})) {}

  auto kill() -> void {
    m_Sender.reset();
    m_Duty.reset();
  }

  FaultyStore m_Store;
  FaultyOrders m_Orders;
  std::unique_ptr<DutyLease> m_Duty;
  std::unique_ptr<OrderSender> m_Sender;
};

struct World {
  explicit World(bool ChecksFencing) {
    m_Engine.m_ChecksFencing = ChecksFencing;
  }

  auto steward(const std::string &Name) -> Steward & {
    m_Stewards.push_back(std::make_unique<Steward>(m_Scheduler, m_Model,
                                                   m_Engine, Name, m_Ended));
    m_Stewards.back()->m_Duty->start();
    return *m_Stewards.back();
  }

  /// Makes a steward reconcile towards a role for \p Span.
  auto reconcile(Steward &Target, EngineRole Role, Duration Span) -> void {
    for (auto Left = Span; Left > Duration::zero(); Left -= Milliseconds(500)) {
      if (Target.m_Sender)
        Target.m_Sender->reconcile(directive(Role));
      m_Scheduler.advance(Milliseconds(500));
    }
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  Engine m_Engine;
  std::set<SenderId> m_Ended;
  std::vector<std::unique_ptr<Steward>> m_Stewards;
};

} // namespace

TEST_CASE("orders: a role is ordered once and completes") {
  auto Test = World(false);
  auto &A = Test.steward("a");
  Test.reconcile(A, EngineRole::Decode, Seconds(5));
  Test.reconcile(A, EngineRole::Prefill, Seconds(5));
  REQUIRE(Test.m_Engine.m_Executed.size() == 2);
  CHECK(Test.m_Engine.m_Executed[0].m_Directive ==
        directive(EngineRole::Decode));
  CHECK(Test.m_Engine.m_Executed[1].m_Directive ==
        directive(EngineRole::Prefill));
  CHECK(Test.m_Engine.m_Executed[0].m_Fencing <
        Test.m_Engine.m_Executed[1].m_Fencing);
}

TEST_CASE(
    "orders: a sender that was paused before the send and resumes late causes "
    "no conflict") {
  for (auto ChecksFencing : {false, true}) {
    auto Test = World(ChecksFencing);
    auto &A = Test.steward("a");
    Test.m_Scheduler.advance(Seconds(1));
    A.m_Orders.m_Paused = true;
    Test.reconcile(A, EngineRole::Decode, Seconds(1));
    // A paused process does not renew its lease either.
    A.m_Store.setOutage(StoreFault::Refuse);
    Test.m_Scheduler.advance(Seconds(20));
    auto &B = Test.steward("b");
    Test.reconcile(B, EngineRole::Prefill, Seconds(20));
    A.m_Orders.resume();
    A.m_Store.setOutage(StoreFault::None);
    Test.reconcile(B, EngineRole::Prefill, Seconds(20));
    CAPTURE(ChecksFencing);
    CHECK_FALSE(hasConflict(Test.m_Engine.m_Executed));
    // Once A's copy has been handled, B's own order takes effect.
    REQUIRE_FALSE(Test.m_Engine.m_Executed.empty());
    if (ChecksFencing)
      CHECK(Test.m_Engine.m_Executed.back().m_Directive ==
            directive(EngineRole::Prefill));
  }
}

TEST_CASE(
    "orders: a different order waits until the earlier sender is known to "
    "have ended") {
  auto Test = World(false);
  auto &A = Test.steward("a");
  Test.m_Scheduler.advance(Seconds(1));
  A.m_Orders.m_Paused = true;
  Test.reconcile(A, EngineRole::Decode, Seconds(1));
  A.kill();
  Test.m_Scheduler.advance(Seconds(20));
  auto &B = Test.steward("b");
  Test.reconcile(B, EngineRole::Prefill, Seconds(20));
  for (const auto &Order : Test.m_Engine.m_Executed)
    CHECK(Order.m_Directive == directive(EngineRole::Decode));
  Test.m_Ended.insert(SenderId{"a"});
  Test.reconcile(B, EngineRole::Prefill, Seconds(5));
  CHECK(Test.m_Engine.m_Executed.back().m_Directive ==
        directive(EngineRole::Prefill));
}

TEST_CASE(
    "orders: a replaced engine gets a new order even if copies to the old "
    "one may be in flight") {
  auto Test = World(false);
  auto &A = Test.steward("a");
  Test.m_Scheduler.advance(Seconds(1));
  A.m_Orders.m_NextFault = SendFault::LoseOrder;
  Test.reconcile(A, EngineRole::Decode, Seconds(1));
  A.kill();
  Test.m_Scheduler.advance(Seconds(20));
  Test.m_Engine.m_Incarnation = "2";
  auto &B = Test.steward("b");
  Test.reconcile(B, EngineRole::Prefill, Seconds(5));
  REQUIRE_FALSE(Test.m_Engine.m_Executed.empty());
  CHECK(Test.m_Engine.m_Executed.back().m_Directive ==
        directive(EngineRole::Prefill));
}

TEST_CASE("orders: pairs of store and send faults at every step, with a change "
          "of holder, cause no conflict") {
  constexpr auto StoreFaults =
      std::array{StoreFault::None, StoreFault::Refuse, StoreFault::LoseRequest,
                 StoreFault::LoseResponse, StoreFault::LateEffect};
  constexpr auto SendFaults =
      std::array{SendFault::None, SendFault::LoseOrder, SendFault::LoseResponse,
                 SendFault::Late};
  for (auto ChecksFencing : {false, true})
    for (auto Fault : StoreFaults)
      for (auto Step = 1U; Step <= 8; ++Step)
        for (auto Sent : SendFaults)
          for (auto Kill : {false, true}) {
            auto Test = World(ChecksFencing);
            auto &A = Test.steward("a");
            A.m_Store.faultAt(Step, Fault);
            A.m_Orders.m_NextFault = Sent;
            Test.reconcile(A, EngineRole::Decode, Seconds(6));
            Test.reconcile(A, EngineRole::Prefill, Seconds(6));
            if (Kill) {
              A.kill();
              Test.m_Scheduler.advance(Seconds(15));
            }
            auto &B = Test.steward("b");
            Test.reconcile(B, EngineRole::Mixed, Seconds(40));
            CAPTURE(ChecksFencing);
            CAPTURE(static_cast<int>(Fault));
            CAPTURE(Step);
            CAPTURE(static_cast<int>(Sent));
            CAPTURE(Kill);
            CHECK_FALSE(hasConflict(Test.m_Engine.m_Executed));
          }
}

TEST_CASE("orders: generated pauses, kills and faults never cause a conflict") {
  auto Passed = rc::check([] {
    auto Source = Random(*rc::gen::arbitrary<std::uint32_t>());
    auto Test = World(Source.below(2) == 0);
    Test.steward("s0");
    Test.steward("s1");
    constexpr auto Steps = 40;
    constexpr auto Roles =
        std::array{EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode};
    for (auto Step = 0; Step < Steps; ++Step) {
      auto Index = Source.below(Test.m_Stewards.size());
      auto &Target = *Test.m_Stewards[Index];
      switch (Source.below(8)) {
      case 0:
        Target.kill();
        if (Source.below(2) == 0)
          Test.m_Ended.insert(SenderId{"s" + std::to_string(Index)});
        Test.steward("s" + std::to_string(Test.m_Stewards.size()));
        break;
      case 1:
        Target.m_Orders.m_NextFault = SendFault::LoseResponse;
        break;
      case 2:
        Target.m_Orders.m_Paused = true;
        Target.m_Store.setOutage(StoreFault::Refuse);
        break;
      case 3:
        // Orders held back by a killed process are never sent.
        if (Target.m_Sender)
          Target.m_Orders.resume();
        Target.m_Store.setOutage(StoreFault::None);
        break;
      default:
        Test.reconcile(Target, Roles[Source.below(Roles.size())],
                       Milliseconds(500) * (1 + Source.below(10)));
      }
      Test.m_Scheduler.advance(Milliseconds(Source.below(4000)));
    }
    RC_ASSERT(!hasConflict(Test.m_Engine.m_Executed));
  });
  CHECK(Passed);
}
