#include "support/FaultyOrders.h"
#include "support/FaultyStore.h"

#include "dotterel/base/Random.h"
#include "dotterel/config/ConfigurationStore.h"
#include "dotterel/steward/ServerController.h"

#include <array>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto Tick = Milliseconds(500);
constexpr auto Slots = 8U;
constexpr auto Term = Seconds(10);

/// A backend server as the platform runs it.
struct Server {
  Backend m_Backend;
  Directive m_State{"running"};
  std::vector<BackendOrder> m_Executed;
  std::vector<MonotonicTime> m_RequestEnds; ///< Ends of the requests on it.
};

/// The platform, which executes every order that reaches it, from any sender.
struct Platform final : OrderTarget {
  std::map<BackendId, Server> m_Servers;
  int m_InterruptedRequests = 0; ///< Requests on servers that an order stopped.

  auto receive(const BackendId &Id, const BackendOrder &Order)
      -> bool override {
    auto &Target = m_Servers.at(Id);
    Target.m_Executed.push_back(Order);
    Target.m_State = Order.m_Directive;
    if (Order.m_Directive == Directive{"stopped"}) {
      m_InterruptedRequests += static_cast<int>(Target.m_RequestEnds.size());
      Target.m_RequestEnds.clear();
    }
    return true;
  }

  auto stateOf(const BackendId &Id) -> TargetState override {
    const auto &Target = m_Servers.at(Id);
    auto State =
        TargetState{.m_Incarnation = "platform", .m_InForce = Target.m_State};
    if (!Target.m_Executed.empty())
      State.m_LastOrder = Target.m_Executed.back().m_Id;
    return State;
  }

  [[nodiscard]] auto running() const -> std::size_t {
    auto Number = std::size_t{0};
    for (const auto &[Id, Item] : m_Servers)
      Number += Item.m_State == Directive{"running"} ? 1 : 0;
    return Number;
  }
};

/// A process's view of the configuration.
struct Reader {
  Reader(VirtualScheduler &Scheduler, InMemoryStore &Model)
      : m_Store(Scheduler, Model),
        m_Configuration(Scheduler, m_Store, m_Holder, m_Freshness) {}

  FaultyStore m_Store;
  ConfigurationHolder m_Holder;
  FreshnessTracker m_Freshness{FreshnessOptions{}};
  ConfigurationStore m_Configuration;
};

struct Steward {
  Steward(VirtualScheduler &Scheduler, InMemoryStore &Model, Platform &Target,
          const std::string &Name,
          std::function<bool(ConfigRevision)> AppliedByAllGates,
          std::set<SenderId> &EndedSenders)
      : m_Reader(Scheduler, Model), m_Store(Scheduler, Model),
        m_DrainStore(Scheduler, m_Store, m_Reader.m_Holder,
                     m_Reader.m_Freshness),
        m_Orders(Scheduler, Target),
        m_Engines({.m_Region = RegionId{"r"}}, {.m_MaxEnginesPerModel = 100}),
        m_Duty(std::make_unique<DutyLease>(Scheduler, m_Store,
                                           DutyId{"servers"}, ProcessId{Name},
                                           DutyLeaseOptions{.m_Term = Term})),
        m_Controller(std::make_unique<ServerController>(
            ServerControllerServices{
                .m_Scheduler = Scheduler,
                .m_Store = m_Store,
                .m_Duty = *m_Duty,
                .m_Platform = m_Orders,
                .m_Engines = m_Engines,
                .m_Configuration = m_Reader.m_Holder,
                .m_ConfigurationStore = m_DrainStore,
                .m_AppliedByAllGates = std::move(AppliedByAllGates),
                .m_HasEnded =
                    [&EndedSenders](const SenderId &Sender) {
                      return EndedSenders.contains(Sender);
                    }},
            ServerControllerOptions{.m_Region = RegionId{"r"},
                                    .m_Self = SenderId{Name},
                                    .m_Planner = {.m_LeadTime = Seconds(10),
                                                  .m_DrainDelay = Seconds(10)},
                                    .m_StartTimeout = Seconds(20),
                                    .m_UnavailableRetryDelay = Seconds(60)})) {
    m_Duty->start();
  }

  auto kill() -> void {
    m_Controller.reset();
    m_Duty.reset();
  }

  /// Starts or ends a store outage for the process.
  auto setOutage(StoreFault Fault) -> void {
    m_Reader.m_Store.setOutage(Fault);
    m_Store.setOutage(Fault);
  }

  Reader m_Reader;
  FaultyStore m_Store; ///< For the duty, the orders and the drains only.
  ConfigurationStore m_DrainStore;
  FaultyOrders m_Orders;
  EngineTable m_Engines;
  std::unique_ptr<DutyLease> m_Duty;
  std::unique_ptr<ServerController> m_Controller;
};

/// Servers, two gates that keep a given number of requests on them, and
/// stewards.
class Region {
public:
  explicit Region(int Servers) {
    for (auto Number = 0; Number < Servers; ++Number) {
      auto Id = BackendId{fmt::format("e{}", Number)};
      m_Platform.m_Servers[Id].m_Backend = {
          .m_Id = Id,
          .m_Models = {ModelId{"m"}},
          .m_DataCentre = DataCentreId{fmt::format("d{}", Number % 3)},
          .m_Region = RegionId{"r"}};
    }
    for (auto Number = 0; Number < 2; ++Number)
      m_Gates.push_back(std::make_unique<Reader>(m_Scheduler, m_Model));
    auto Operator = Reader(m_Scheduler, m_Model);
    Operator.m_Configuration.change(
        [](Configuration &Target) {
          auto &Preset = Target.m_Presets.at(Target.m_PresetInForce);
          Preset.m_ServerOrders = true;
          Preset.m_MinServers = 2;
        },
        {}, [](const auto &) {});
    m_Scheduler.advance(Milliseconds(10));
  }

  auto steward(const std::string &Name) -> Steward & {
    m_Stewards.push_back(std::make_unique<Steward>(
        m_Scheduler, m_Model, m_Platform, Name,
        [this](ConfigRevision Revision) {
          return std::all_of(m_GateRevisions.begin(), m_GateRevisions.end(),
                             [Revision](ConfigRevision GateRevision) {
                               return GateRevision >= Revision;
                             });
        },
        m_EndedSenders));
    return *m_Stewards.back();
  }

  /// Advances the time by \p Span with \p Requests on the servers at any time.
  auto run(Duration Span, std::size_t Requests) -> void {
    for (auto Left = Span; Left > Duration::zero(); Left -= Tick) {
      updateRequests(Requests);
      report();
      for (auto &Item : m_Stewards)
        if (Item->m_Controller) {
          Item->m_Reader.m_Configuration.refresh([](bool) {});
          Item->m_Controller->step();
        }
      m_Scheduler.advance(Tick);
    }
  }

  [[nodiscard]] auto conflicted() const -> bool {
    return std::any_of(m_Platform.m_Servers.begin(), m_Platform.m_Servers.end(),
                       [](const auto &Item) {
                         return test::hasConflict(Item.second.m_Executed);
                       });
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  Platform m_Platform;
  std::set<SenderId> m_EndedSenders;
  std::vector<std::unique_ptr<Reader>> m_Gates;
  std::vector<std::unique_ptr<Steward>> m_Stewards;

private:
  /// Ends due requests and starts others according to the configuration of one
  /// gate each.
  auto updateRequests(std::size_t Requests) -> void {
    auto Now = m_Scheduler.now();
    auto Running = std::size_t{0};
    for (auto &[Id, Item] : m_Platform.m_Servers) {
      std::erase_if(Item.m_RequestEnds,
                    [Now](MonotonicTime End) { return End <= Now; });
      Running += Item.m_RequestEnds.size();
    }
    // The gates report their revision with the next heartbeat.
    m_GateRevisions.clear();
    for (auto &Gate : m_Gates) {
      m_GateRevisions.push_back(Gate->m_Holder.revision());
      Gate->m_Configuration.refresh([](bool) {});
    }
    while (Running < Requests && begin(*m_Gates[m_NextGate++ % m_Gates.size()]))
      ++Running;
  }

  auto begin(const Reader &Gate) -> bool {
    constexpr auto Length = Seconds(4);
    const auto &Configuration = Gate.m_Holder.current();
    Server *LeastLoaded = nullptr;
    for (auto &[Id, Item] : m_Platform.m_Servers) {
      auto Usable = Item.m_State == Directive{"running"} && Configuration &&
                    !Configuration->m_Stopping.contains(Id);
      if (Usable &&
          (LeastLoaded == nullptr ||
           Item.m_RequestEnds.size() < LeastLoaded->m_RequestEnds.size()))
        LeastLoaded = &Item;
    }
    if (LeastLoaded == nullptr)
      return false;
    LeastLoaded->m_RequestEnds.push_back(m_Scheduler.now() + Length);
    return true;
  }

  /// Sends server lists and load reports, which lag by one second.
  auto report() -> void {
    auto Listed = std::vector<Backend>();
    auto Loads = std::map<BackendId, std::uint32_t>();
    for (const auto &[Id, Item] : m_Platform.m_Servers) {
      auto Shown = Item.m_Backend;
      Shown.m_Stopped = Item.m_State == Directive{"stopped"};
      Shown.m_Leaving = Shown.m_Stopped;
      Listed.push_back(Shown);
      if (!Shown.m_Stopped)
        Loads[Id] = static_cast<std::uint32_t>(Item.m_RequestEnds.size());
    }
    m_Scheduler.schedule(Seconds(1), [this, Listed, Loads] {
      for (auto &Item : m_Stewards) {
        Item->m_Engines.updateList(Listed);
        for (const auto &[Id, Running] : Loads)
          Item->m_Engines.updateLoad(Id,
                                     {.m_Incarnation = "1",
                                      .m_Running = Running,
                                      .m_Slots = Slots,
                                      .m_PrefillTokensPerSecond = 1000},
                                     m_Scheduler.now());
      }
    });
  }

  std::vector<ConfigRevision> m_GateRevisions;
  std::size_t m_NextGate = 0;
};

} // namespace

TEST_CASE("server orders: servers are stopped and started according to the "
          "load, and no request is interrupted") {
  auto Test = Region(8);
  Test.steward("a");
  Test.run(Seconds(300), 8);
  // The load of one server requires two at a target of 70%.
  CHECK(Test.m_Platform.running() == 2);
  Test.run(Seconds(60), 40);
  // The load of five servers requires all eight.
  CHECK(Test.m_Platform.running() == 8);
  CHECK(Test.m_Platform.m_InterruptedRequests == 0);
  CHECK_FALSE(Test.conflicted());
}

TEST_CASE(
    "server orders: a server is not stopped while a gate has not received the "
    "drain") {
  auto Test = Region(6);
  Test.steward("a");
  Test.run(Seconds(10), 4);
  Test.m_Gates[1]->m_Store.setOutage(StoreFault::Refuse);
  Test.run(Seconds(120), 4);
  CHECK(Test.m_Platform.running() == 6);
  Test.m_Gates[1]->m_Store.setOutage(StoreFault::None);
  Test.run(Seconds(120), 4);
  CHECK(Test.m_Platform.running() == 2);
  CHECK(Test.m_Platform.m_InterruptedRequests == 0);
}

TEST_CASE("server orders: an unavailable server is replaced by another") {
  auto Test = Region(6);
  auto &A = Test.steward("a");
  Test.run(Seconds(200), 4);
  REQUIRE(Test.m_Platform.running() == 2);
  // The first order to start is lost, and its sender gets no response.
  A.m_Orders.m_NextFault = SendFault::LoseOrder;
  Test.run(Seconds(60), 20);
  CHECK(Test.m_Platform.running() >= 4);
  CHECK_FALSE(Test.conflicted());
}

TEST_CASE("server orders: a holder that is paused before its order to stop and "
          "resumes late interrupts no request") {
  auto Test = Region(6);
  auto &A = Test.steward("a");
  Test.run(Seconds(10), 4);
  A.m_Orders.m_Paused = true;
  // A drains a server and is paused before it sends the order to stop it.
  Test.run(Seconds(60), 4);
  A.setOutage(StoreFault::Refuse);
  Test.run(Seconds(15), 4);
  auto &B = Test.steward("b");
  // B needs every server; a late order of A must not interrupt requests.
  Test.run(Seconds(60), 40);
  A.m_Orders.resume();
  Test.run(Seconds(60), 40);
  CHECK(B.m_Duty->held());
  CHECK(Test.m_Platform.m_InterruptedRequests == 0);
  CHECK_FALSE(Test.conflicted());
}

TEST_CASE("server orders: a preset without server orders cancels a drain and "
          "stops no server") {
  auto Test = Region(6);
  Test.steward("a");
  // A drain stays incomplete while one gate has not received it.
  Test.m_Gates[1]->m_Store.setOutage(StoreFault::Refuse);
  Test.run(Seconds(40), 4);
  REQUIRE(Test.m_Gates[0]->m_Holder.current()->m_Stopping.size() == 1);
  Test.m_Gates[0]->m_Configuration.change(
      [](Configuration &Target) {
        Target.m_Presets.at(Target.m_PresetInForce).m_ServerOrders = false;
      },
      {}, [](const auto &) {});
  Test.m_Gates[1]->m_Store.setOutage(StoreFault::None);
  Test.run(Seconds(60), 4);
  CHECK(Test.m_Gates[0]->m_Holder.current()->m_Stopping.empty());
  CHECK(Test.m_Platform.running() == 6);
  CHECK(Test.m_Platform.m_InterruptedRequests == 0);
}

TEST_CASE("server orders: a server that the platform reclaimed is ordered "
          "again") {
  auto Test = Region(6);
  Test.steward("a");
  Test.run(Seconds(200), 4);
  Test.run(Seconds(60), 40);
  REQUIRE(Test.m_Platform.running() == 6);
  for (auto &[Id, Item] : Test.m_Platform.m_Servers)
    if (Item.m_Executed.size() >= 2) {
      Item.m_State = Directive{"stopped"};
      Item.m_RequestEnds.clear();
    }
  REQUIRE(Test.m_Platform.running() < 6);
  Test.run(Seconds(30), 40);
  CHECK(Test.m_Platform.running() == 6);
  CHECK_FALSE(Test.conflicted());
}

TEST_CASE("server orders: a drain that a former holder of the duty stores "
          "has no effect") {
  auto Test = Region(6);
  auto &A = Test.steward("a");
  Test.run(Seconds(5), 4);
  // A decides on a drain and is paused before it reads the configuration.
  A.m_Store.pause();
  Test.run(Seconds(30), 4);
  auto &B = Test.steward("b");
  Test.run(Seconds(30), 4);
  REQUIRE(B.m_Duty->held());
  REQUIRE_FALSE(A.m_Duty->held());
  B.kill();
  Test.run(Seconds(1), 4);
  auto Before = Test.m_Gates[0]->m_Holder.revision();
  A.m_Controller.reset();
  A.m_Store.resume();
  Test.run(Seconds(3), 4);
  CHECK(Test.m_Gates[0]->m_Holder.revision() == Before);
}

TEST_CASE("server orders: no fault at any step before a change of holder "
          "causes conflicting orders or interrupts requests") {
  constexpr auto StoreFaults =
      std::array{StoreFault::Refuse, StoreFault::LoseRequest,
                 StoreFault::LoseResponse, StoreFault::LateEffect};
  constexpr auto SendFaults =
      std::array{SendFault::None, SendFault::LoseOrder, SendFault::LoseResponse,
                 SendFault::Late};
  // Covers the store calls of a drain, a stop and a start, and lease renewals.
  constexpr auto MaxSteps = 30U;
  for (auto Fault : StoreFaults)
    for (auto Sent : SendFaults)
      for (auto Step = 1U; Step <= MaxSteps; ++Step)
        for (auto Kill : {false, true}) {
          CAPTURE(static_cast<int>(Fault));
          CAPTURE(static_cast<int>(Sent));
          CAPTURE(Step);
          CAPTURE(Kill);
          auto Test = Region(4);
          auto &A = Test.steward("a");
          A.m_Store.faultAt(Step, Fault);
          A.m_Orders.m_NextFault = Sent;
          Test.run(Seconds(40), 2);
          Test.run(Seconds(20), 24);
          if (Kill)
            A.kill();
          else
            A.setOutage(StoreFault::Refuse);
          Test.steward("b");
          Test.run(Seconds(40), 2);
          Test.run(Seconds(30), 24);
          CHECK(Test.m_Platform.m_InterruptedRequests == 0);
          CHECK_FALSE(Test.conflicted());
        }
}

TEST_CASE("server orders: generated loads, pauses, kills and faults cause no "
          "conflicting orders and interrupt no request") {
  auto Passed = rc::check([] {
    auto Source = Random(*rc::gen::arbitrary<std::uint32_t>());
    auto Test = Region(5);
    Test.steward("s0");
    Test.steward("s1");
    constexpr auto Steps = 10;
    constexpr auto MaxRequests = std::uint64_t{36};
    for (auto Step = 0; Step < Steps; ++Step) {
      auto Index = Source.below(Test.m_Stewards.size());
      auto &Target = *Test.m_Stewards[Index];
      switch (Source.below(8)) {
      case 0:
        Target.kill();
        // A process counts as ended only after its sent orders were received.
        if (Source.below(2) == 0 && Target.m_Orders.m_InFlight == 0)
          Test.m_EndedSenders.insert(SenderId{fmt::format("s{}", Index)});
        Test.steward(fmt::format("s{}", Test.m_Stewards.size()));
        break;
      case 1:
        Target.m_Orders.m_NextFault = SendFault::LoseResponse;
        break;
      case 2:
        Target.m_Orders.m_Paused = true;
        Target.setOutage(StoreFault::Refuse);
        break;
      case 3:
        if (Target.m_Controller)
          Target.m_Orders.resume();
        Target.setOutage(StoreFault::None);
        break;
      case 4:
        Target.m_Orders.m_NextFault = SendFault::Late;
        break;
      default:
        break;
      }
      Test.run(Seconds(2 + static_cast<std::int64_t>(Source.below(30))),
               Source.below(MaxRequests));
    }
    RC_ASSERT(Test.m_Platform.m_InterruptedRequests == 0);
    RC_ASSERT(!Test.conflicted());
  });
  CHECK(Passed);
}
