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
  std::vector<MonotonicTime> m_Ends; ///< Of the requests on it.
};

/// The platform: executes whatever order reaches it, from whomever.
struct Platform final : OrderTarget {
  std::map<BackendId, Server> m_Servers;
  int m_Cut = 0; ///< Requests on servers that an order stopped.

  auto receive(const BackendId &Id, const BackendOrder &Order)
      -> bool override {
    auto &Target = m_Servers.at(Id);
    Target.m_Executed.push_back(Order);
    Target.m_State = Order.m_Directive;
    if (Order.m_Directive == Directive{"stopped"}) {
      m_Cut += static_cast<int>(Target.m_Ends.size());
      Target.m_Ends.clear();
    }
    return true;
  }

  auto stateOf(const BackendId &Id) -> TargetState override {
    const auto &Asked = m_Servers.at(Id);
    auto State =
        TargetState{.m_Incarnation = "platform", .m_InForce = Asked.m_State};
    if (!Asked.m_Executed.empty())
      State.m_LastOrder = Asked.m_Executed.back().m_Id;
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
          const std::string &Name, std::function<bool(ConfigRevision)> InForce,
          std::set<SenderId> &Gone)
      : m_Reader(Scheduler, Model), m_Store(Scheduler, Model),
        m_Changes(Scheduler, m_Store, m_Reader.m_Holder, m_Reader.m_Freshness),
        m_Orders(Scheduler, Target),
        m_Engines({.m_Region = RegionId{"r"}}, {.m_EnginesPerModel = 100}),
        m_Duty(std::make_unique<DutyLease>(Scheduler, m_Store,
                                           DutyId{"servers"}, ProcessId{Name},
                                           DutyLeaseOptions{.m_Term = Term})),
        m_Keeper(std::make_unique<ServerKeeper>(
            ServerKeeperServices{.m_Scheduler = Scheduler,
                                 .m_Store = m_Store,
                                 .m_Duty = *m_Duty,
                                 .m_Platform = m_Orders,
                                 .m_Engines = m_Engines,
                                 .m_Configuration = m_Reader.m_Holder,
                                 .m_ConfigurationStore = m_Changes,
                                 .m_InForce = std::move(InForce),
                                 .m_Gone =
                                     [&Gone](const SenderId &Sender) {
                                       return Gone.contains(Sender);
                                     }},
            ServerKeeperOptions{.m_Region = RegionId{"r"},
                                .m_Self = SenderId{Name},
                                .m_Planner = {.m_LeadTime = Seconds(10),
                                              .m_DrainDelay = Seconds(10)},
                                .m_StartLimit = Seconds(20),
                                .m_UnavailablePause = Seconds(60)})) {
    m_Duty->start();
  }

  auto kill() -> void {
    m_Keeper.reset();
    m_Duty.reset();
  }

  /// Cuts the process off from the store, or no more.
  auto setOutage(StoreFault Fault) -> void {
    m_Reader.m_Store.setOutage(Fault);
    m_Store.setOutage(Fault);
  }

  Reader m_Reader;
  FaultyStore m_Store; ///< For the duty, the orders and the changes only.
  ConfigurationStore m_Changes;
  FaultyOrders m_Orders;
  EngineTable m_Engines;
  std::unique_ptr<DutyLease> m_Duty;
  std::unique_ptr<ServerKeeper> m_Keeper;
};

/// Servers, two gates that keep a number of requests on them, and stewards.
class World {
public:
  explicit World(int Servers) {
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
          return std::all_of(
              m_Heard.begin(), m_Heard.end(),
              [Revision](ConfigRevision Heard) { return Heard >= Revision; });
        },
        m_Gone));
    return *m_Stewards.back();
  }

  /// Lets time pass with \p Requests on the servers at any time.
  auto run(Duration Span, std::size_t Requests) -> void {
    for (auto Left = Span; Left > Duration::zero(); Left -= Tick) {
      serve(Requests);
      report();
      for (auto &Item : m_Stewards)
        if (Item->m_Keeper) {
          Item->m_Reader.m_Configuration.refresh([](bool) {});
          Item->m_Keeper->step();
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
  std::set<SenderId> m_Gone;
  std::vector<std::unique_ptr<Reader>> m_Gates;
  std::vector<std::unique_ptr<Steward>> m_Stewards;

private:
  /// Ends requests that are due and starts others, each by one gate's view.
  auto serve(std::size_t Requests) -> void {
    auto Now = m_Scheduler.now();
    auto Present = std::size_t{0};
    for (auto &[Id, Item] : m_Platform.m_Servers) {
      std::erase_if(Item.m_Ends,
                    [Now](MonotonicTime End) { return End <= Now; });
      Present += Item.m_Ends.size();
    }
    // The gates tell with their next heartbeat what they hold.
    m_Heard.clear();
    for (auto &Gate : m_Gates) {
      m_Heard.push_back(Gate->m_Holder.revision());
      Gate->m_Configuration.refresh([](bool) {});
    }
    while (Present < Requests && begin(*m_Gates[m_Turn++ % m_Gates.size()]))
      ++Present;
  }

  auto begin(const Reader &Gate) -> bool {
    constexpr auto Length = Seconds(4);
    const auto &Configuration = Gate.m_Holder.current();
    Server *Least = nullptr;
    for (auto &[Id, Item] : m_Platform.m_Servers) {
      auto Usable = Item.m_State == Directive{"running"} && Configuration &&
                    !Configuration->m_Stopping.contains(Id);
      if (Usable &&
          (Least == nullptr || Item.m_Ends.size() < Least->m_Ends.size()))
        Least = &Item;
    }
    if (Least == nullptr)
      return false;
    Least->m_Ends.push_back(m_Scheduler.now() + Length);
    return true;
  }

  /// Lists and load reports. These lag by a second.
  auto report() -> void {
    auto Listed = std::vector<Backend>();
    auto Loads = std::map<BackendId, std::uint32_t>();
    for (const auto &[Id, Item] : m_Platform.m_Servers) {
      auto Shown = Item.m_Backend;
      Shown.m_Stopped = Item.m_State == Directive{"stopped"};
      Shown.m_Leaving = Shown.m_Stopped;
      Listed.push_back(Shown);
      if (!Shown.m_Stopped)
        Loads[Id] = static_cast<std::uint32_t>(Item.m_Ends.size());
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

  std::vector<ConfigRevision> m_Heard;
  std::size_t m_Turn = 0;
};

} // namespace

TEST_CASE("server orders: servers follow the load down and up, and no request "
          "is cut") {
  auto Test = World(8);
  Test.steward("a");
  Test.run(Seconds(300), 8);
  // One server's work at 70% is two servers.
  CHECK(Test.m_Platform.running() == 2);
  Test.run(Seconds(60), 40);
  // Five servers' work needs all eight.
  CHECK(Test.m_Platform.running() == 8);
  CHECK(Test.m_Platform.m_Cut == 0);
  CHECK_FALSE(Test.conflicted());
}

TEST_CASE(
    "server orders: a gate that does not hear of a drain keeps the server "
    "running") {
  auto Test = World(6);
  Test.steward("a");
  Test.run(Seconds(10), 4);
  Test.m_Gates[1]->m_Store.setOutage(StoreFault::Refuse);
  Test.run(Seconds(120), 4);
  CHECK(Test.m_Platform.running() == 6);
  Test.m_Gates[1]->m_Store.setOutage(StoreFault::None);
  Test.run(Seconds(120), 4);
  CHECK(Test.m_Platform.running() == 2);
  CHECK(Test.m_Platform.m_Cut == 0);
}

TEST_CASE("server orders: a server that is not to be had is replaced by "
          "another") {
  auto Test = World(6);
  auto &A = Test.steward("a");
  Test.run(Seconds(200), 4);
  REQUIRE(Test.m_Platform.running() == 2);
  // The first order to start is lost and seen as such for long.
  A.m_Orders.m_NextFault = SendFault::LoseOrder;
  Test.run(Seconds(60), 20);
  CHECK(Test.m_Platform.running() >= 4);
  CHECK_FALSE(Test.conflicted());
}

TEST_CASE(
    "server orders: a holder paused before its order to stop, which wakes "
    "late, cuts nothing") {
  auto Test = World(6);
  auto &A = Test.steward("a");
  Test.run(Seconds(10), 4);
  A.m_Orders.m_Paused = true;
  // A drains a server and is paused with the order to stop it in hand.
  Test.run(Seconds(60), 4);
  A.setOutage(StoreFault::Refuse);
  Test.run(Seconds(15), 4);
  auto &B = Test.steward("b");
  // B wants every server; whatever A still sends must find it empty.
  Test.run(Seconds(60), 40);
  A.m_Orders.resume();
  Test.run(Seconds(60), 40);
  CHECK(B.m_Duty->held());
  CHECK(Test.m_Platform.m_Cut == 0);
  CHECK_FALSE(Test.conflicted());
}

TEST_CASE("server orders: a preset that orders no servers takes a draining one "
          "back, and stops none") {
  auto Test = World(6);
  Test.steward("a");
  // A drain that one gate does not hear of goes on.
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
  CHECK(Test.m_Platform.m_Cut == 0);
}

TEST_CASE("server orders: a server that the platform reclaimed is ordered "
          "anew") {
  auto Test = World(6);
  Test.steward("a");
  Test.run(Seconds(200), 4);
  Test.run(Seconds(60), 40);
  REQUIRE(Test.m_Platform.running() == 6);
  for (auto &[Id, Item] : Test.m_Platform.m_Servers)
    if (Item.m_Executed.size() >= 2) {
      Item.m_State = Directive{"stopped"};
      Item.m_Ends.clear();
    }
  REQUIRE(Test.m_Platform.running() < 6);
  Test.run(Seconds(30), 40);
  CHECK(Test.m_Platform.running() == 6);
  CHECK_FALSE(Test.conflicted());
}

TEST_CASE("server orders: a drain that a holder stores after the duty has "
          "passed on has no effect") {
  auto Test = World(6);
  auto &A = Test.steward("a");
  Test.run(Seconds(5), 4);
  // A decides on a drain, and is paused before it reads the configuration.
  A.m_Store.pause();
  Test.run(Seconds(30), 4);
  auto &B = Test.steward("b");
  Test.run(Seconds(30), 4);
  REQUIRE(B.m_Duty->held());
  REQUIRE_FALSE(A.m_Duty->held());
  B.kill();
  Test.run(Seconds(1), 4);
  auto Before = Test.m_Gates[0]->m_Holder.revision();
  A.m_Keeper.reset();
  A.m_Store.resume();
  Test.run(Seconds(3), 4);
  CHECK(Test.m_Gates[0]->m_Holder.revision() == Before);
}

TEST_CASE("server orders: every fault at every step, with a change of holder, "
          "neither conflicts nor cuts") {
  constexpr auto StoreFaults =
      std::array{StoreFault::Refuse, StoreFault::LoseRequest,
                 StoreFault::LoseResponse, StoreFault::LateEffect};
  constexpr auto SendFaults =
      std::array{SendFault::None, SendFault::LoseOrder, SendFault::LoseResponse,
                 SendFault::Late};
  // The calls of a drain, a stop and a start, renewals among them.
  constexpr auto MostSteps = 30U;
  for (auto Fault : StoreFaults)
    for (auto Sent : SendFaults)
      for (auto Step = 1U; Step <= MostSteps; ++Step)
        for (auto Kill : {false, true}) {
          CAPTURE(static_cast<int>(Fault));
          CAPTURE(static_cast<int>(Sent));
          CAPTURE(Step);
          CAPTURE(Kill);
          auto Test = World(4);
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
          CHECK(Test.m_Platform.m_Cut == 0);
          CHECK_FALSE(Test.conflicted());
        }
}

TEST_CASE("server orders: generated loads, pauses, kills and faults neither "
          "conflict nor cut") {
  auto Passed = rc::check([] {
    auto Source = Random(*rc::gen::arbitrary<std::uint32_t>());
    auto Test = World(5);
    Test.steward("s0");
    Test.steward("s1");
    constexpr auto Steps = 10;
    constexpr auto MostRequests = std::uint64_t{36};
    for (auto Step = 0; Step < Steps; ++Step) {
      auto Index = Source.below(Test.m_Stewards.size());
      auto &Target = *Test.m_Stewards[Index];
      switch (Source.below(8)) {
      case 0:
        Target.kill();
        // A process counts as gone only once what it sent has been read.
        if (Source.below(2) == 0 && Target.m_Orders.m_InFlight == 0)
          Test.m_Gone.insert(SenderId{fmt::format("s{}", Index)});
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
        if (Target.m_Keeper)
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
               Source.below(MostRequests));
    }
    RC_ASSERT(Test.m_Platform.m_Cut == 0);
    RC_ASSERT(!Test.conflicted());
  });
  CHECK(Passed);
}
