#include "dotterel/base/Errors.h"
#include "dotterel/host/FleetDuty.h"
#include "support/FaultyStore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <set>

using namespace dotterel;
using namespace dotterel::test;

namespace {

const auto Service = ServiceId{"llm"};
const auto Here = DataCentreId{"a"};
constexpr auto MaxServers = 6U;

/// A platform that executes orders at once and refuses to add reclaimable
/// servers while m_NoReclaimable is set.
class Fleet final : public FleetCalls {
public:
  explicit Fleet(VirtualScheduler &Scheduler) : m_Scheduler(Scheduler) {}

  auto orderServers(const ServerOrder &Order, FencingNumber Fencing,
                    std::function<void(OrderOutcome)> Done) -> void override {
    m_MaxFencing = std::max(m_MaxFencing, Fencing);
    auto Refused = Fencing < m_MaxFencing ||
                   (m_NoReclaimable && Order.m_Reclaimable &&
                    Order.m_Count > m_Counts[Order.m_Reclaimable]);
    if (!Refused) {
      if (m_Counts[Order.m_Reclaimable] != Order.m_Count)
        ++m_Changes;
      m_Counts[Order.m_Reclaimable] = Order.m_Count;
      m_MinTotal = std::min(m_MinTotal, m_Counts[false] + m_Counts[true]);
    }
    m_Scheduler.schedule(Milliseconds(5), [Refused, Done] {
      Done(Refused ? OrderOutcome::Refused : OrderOutcome::Accepted);
    });
  }
  auto orderStage(SendPermit /*Permit*/, const StageOrder &Order,
                  FencingNumber /*Fencing*/,
                  std::function<void(const StageOrderReply &)> Done)
      -> void override {
    m_StageOrders.push_back(Order.m_Backend);
    m_Scheduler.schedule(Milliseconds(5), [this, Done] {
      Done({.m_Outcome = OrderOutcome::Accepted, .m_Notice = m_EngineNotice});
    });
  }
  auto reportUsage(const UsageReport & /*Report*/,
                   std::function<void(OrderOutcome)> Done) -> void override {
    m_Scheduler.schedule(Milliseconds(5),
                         [Done] { Done(OrderOutcome::Accepted); });
  }

  std::map<bool, std::uint32_t> m_Counts; ///< Ordinary and reclaimable.
  std::uint32_t m_MinTotal = MaxServers;  ///< Minimum of their sum.
  int m_Changes = 0;
  bool m_NoReclaimable = false;
  std::vector<BackendId> m_StageOrders;
  ServerNotice m_EngineNotice; ///< In the responses of engines to orders.

private:
  VirtualScheduler &m_Scheduler;
  FencingNumber m_MaxFencing;
};

/// A call that the platform has received.
struct ReceivedCall {
  std::string m_Holder;
  FencingNumber m_Fencing;
  MonotonicTime m_At;
};

/// Passes the calls of one holder on, and records them as received after a
/// delay on the way.
class RecordedCalls final : public FleetCalls {
public:
  RecordedCalls(VirtualScheduler &Scheduler, Fleet &Calls, std::string Holder,
                std::vector<ReceivedCall> &Received)
      : m_Scheduler(Scheduler), m_Calls(Calls), m_Holder(std::move(Holder)),
        m_Received(Received) {}

  auto orderServers(const ServerOrder &Order, FencingNumber Fencing,
                    std::function<void(OrderOutcome)> Done) -> void override {
    record(Fencing);
    m_Calls.orderServers(Order, Fencing, std::move(Done));
  }
  auto orderStage(SendPermit Permit, const StageOrder &Order,
                  FencingNumber Fencing,
                  std::function<void(const StageOrderReply &)> Done)
      -> void override {
    record(Fencing);
    m_Calls.orderStage(std::move(Permit), Order, Fencing, std::move(Done));
  }
  auto reportUsage(const UsageReport &Report,
                   std::function<void(OrderOutcome)> Done) -> void override {
    record(Report.m_Fencing);
    m_Calls.reportUsage(Report, std::move(Done));
  }

private:
  auto record(FencingNumber Fencing) -> void {
    m_Scheduler.schedule(Milliseconds(30), [this, Fencing] {
      m_Received.push_back({.m_Holder = m_Holder,
                            .m_Fencing = Fencing,
                            .m_At = m_Scheduler.now()});
    });
  }

  VirtualScheduler &m_Scheduler;
  Fleet &m_Calls;
  std::string m_Holder;
  std::vector<ReceivedCall> &m_Received;
};

struct Holder {
  Holder(VirtualScheduler &Scheduler, InMemoryStore &Model, FleetCalls &Calls,
         const BackendDirectory &Directory,
         const ServingConfiguration &Configuration, const std::string &Name)
      : m_Store(Scheduler, Model),
        m_Duty(Scheduler, m_Store, Calls,
               {.m_Directory = Directory,
                .m_Access = m_Access,
                .m_Configuration = [&Configuration] { return &Configuration; },
                .m_IsIdle = [] { return false; },
                .m_NeededEngines = []() -> std::optional<double> { return {}; },
                .m_HostCount = [] { return std::size_t{2}; },
                .m_Eligible = [] { return true; }},
               {.m_Host = HostId{Name}}) {
    m_Duty.start();
  }

  FaultyStore m_Store;
  ServerAccess m_Access{{}, {}};
  FleetDuty m_Duty;
};

struct World {
  World() {
    m_Configuration.m_Services.emplace(
        Service,
        ServiceSpec{.m_Id = Service,
                    .m_Engine = EngineTraits{.m_Slots = 8},
                    .m_Bounds = ServerBounds{.m_MinServers = 1,
                                             .m_MaxServers = MaxServers,
                                             .m_StartTime = Seconds(4),
                                             .m_ReclaimablePrice = 0.2,
                                             .m_Prices = {{Here, 1.0}}}});
  }

  auto add(const std::string &Name) -> void {
    m_Recorders.push_back(std::make_unique<RecordedCalls>(m_Scheduler, m_Fleet,
                                                          Name, m_Received));
    m_Holders.push_back(
        std::make_unique<Holder>(m_Scheduler, m_Model, *m_Recorders.back(),
                                 m_Directory, m_Configuration, Name));
  }

  /// Registers the servers that the platform runs.
  auto registerServers() -> void {
    for (auto Reclaimable : {false, true})
      for (auto Number = 0U; Number < MaxServers; ++Number) {
        auto Id =
            BackendId{fmt::format("{}{}", Reclaimable ? "r" : "o", Number)};
        if (Number >= m_Fleet.m_Counts[Reclaimable])
          m_Directory.remove(Id);
        else
          m_Directory.put({.m_Id = Id,
                           .m_Service = Service,
                           .m_Address = "10.0.0.1:1",
                           .m_DataCentre = Here,
                           .m_Reclaimable = Reclaimable,
                           .m_Stage = EngineStage::Decode});
      }
  }

  auto advanceTime(Duration Span) -> void {
    constexpr auto Step = Milliseconds(500);
    for (auto Elapsed = Duration::zero(); Elapsed < Span; Elapsed += Step) {
      m_Scheduler.advance(Step);
      registerServers();
    }
  }

  /// Reclaims all reclaimable servers and makes them unavailable.
  auto reclaimServers() -> void {
    m_Fleet.m_NoReclaimable = true;
    auto Before = m_Directory.all();
    for (const auto &[Id, Record] : Before) {
      if (!Record.m_Reclaimable)
        continue;
      auto Leaving = Record;
      Leaving.m_Draining = true;
      m_Directory.put(Leaving);
    }
    m_Fleet.m_Counts[true] = 0;
    m_Scheduler.advance(Seconds(1));
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  Fleet m_Fleet{m_Scheduler};
  BackendDirectory m_Directory;
  ServingConfiguration m_Configuration;
  std::vector<ReceivedCall> m_Received; ///< By the platform, in order.
  std::vector<std::unique_ptr<RecordedCalls>> m_Recorders;
  std::vector<std::unique_ptr<Holder>> m_Holders;
};

} // namespace

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
