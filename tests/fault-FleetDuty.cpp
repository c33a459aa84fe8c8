#include "dotterel/base/Errors.h"
#include "dotterel/host/FleetDuty.h"
#include "support/FaultyStore.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <memory>

using namespace dotterel;
using namespace dotterel::test;

namespace {

const auto Service = ServiceId{"llm"};
const auto Here = DataCentreId{"a"};
constexpr auto Most = 6U;

/// A platform that carries orders out at once, and has no reclaimable servers
/// while it is dry.
class Fleet final : public FleetCalls {
public:
  explicit Fleet(VirtualScheduler &Scheduler) : m_Scheduler(Scheduler) {}

  auto orderServers(const ServerOrder &Order, FencingNumber Fencing,
                    std::function<void(OrderAnswer)> Done) -> void override {
    m_Newest = std::max(m_Newest, Fencing);
    auto Refused =
        Fencing < m_Newest || (m_Dry && Order.m_Reclaimable &&
                               Order.m_Count > m_Counts[Order.m_Reclaimable]);
    if (!Refused) {
      if (m_Counts[Order.m_Reclaimable] != Order.m_Count)
        ++m_Changes;
      m_Counts[Order.m_Reclaimable] = Order.m_Count;
      m_Lowest = std::min(m_Lowest, m_Counts[false] + m_Counts[true]);
    }
    m_Scheduler.schedule(Milliseconds(5), [Refused, Done] {
      Done(Refused ? OrderAnswer::Refused : OrderAnswer::Accepted);
    });
  }
  auto orderStage(const StageOrder & /*Order*/, FencingNumber /*Fencing*/,
                  std::function<void(OrderAnswer)> Done) -> void override {
    m_Scheduler.schedule(Milliseconds(5),
                         [Done] { Done(OrderAnswer::Accepted); });
  }
  auto reportUsage(const UsageReport & /*Report*/,
                   std::function<void(OrderAnswer)> Done) -> void override {
    m_Scheduler.schedule(Milliseconds(5),
                         [Done] { Done(OrderAnswer::Accepted); });
  }

  std::map<bool, std::uint32_t> m_Counts; ///< Ordinary and reclaimable.
  std::uint32_t m_Lowest = Most;          ///< Of both together, ever ordered.
  int m_Changes = 0;
  bool m_Dry = false;

private:
  VirtualScheduler &m_Scheduler;
  FencingNumber m_Newest;
};

struct Holder {
  Holder(VirtualScheduler &Scheduler, StoreModel &Model, Fleet &Calls,
         const BackendDirectory &Directory,
         const ServingConfiguration &Configuration, const std::string &Name)
      : m_Store(Scheduler, Model),
        m_Duty(Scheduler, m_Store, Calls,
               {.m_Directory = Directory,
                .m_Configuration = [&Configuration] { return &Configuration; },
                .m_Idle = [] { return false; },
                .m_Busy = []() -> std::optional<double> { return {}; },
                .m_Hosts = [] { return std::size_t{2}; },
                .m_Eligible = [] { return true; }},
               {.m_Host = HostId{Name}}) {
    m_Duty.start();
  }

  FaultyStore m_Store;
  FleetDuty m_Duty;
};

struct World {
  World() {
    m_Configuration.m_Services.emplace(
        Service,
        ServiceSpec{.m_Id = Service,
                    .m_Engine = EngineTraits{.m_Slots = 8},
                    .m_Bounds = ServerBounds{.m_MinServers = 1,
                                             .m_MaxServers = Most,
                                             .m_StartTime = Seconds(4),
                                             .m_ReclaimablePrice = 0.2,
                                             .m_Prices = {{Here, 1.0}}}});
  }

  auto add(const std::string &Name) -> void {
    m_Holders.push_back(std::make_unique<Holder>(
        m_Scheduler, m_Model, m_Fleet, m_Directory, m_Configuration, Name));
  }

  /// Registers what the platform runs.
  auto start() -> void {
    for (auto Reclaimable : {false, true})
      for (auto Number = 0U; Number < Most; ++Number) {
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

  auto pass(Duration Span) -> void {
    constexpr auto Step = Milliseconds(500);
    for (auto Passed = Duration::zero(); Passed < Span; Passed += Step) {
      m_Scheduler.advance(Step);
      start();
    }
  }

  /// Takes all reclaimable servers away, for the time being.
  auto reclaim() -> void {
    m_Fleet.m_Dry = true;
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
  StoreModel m_Model{m_Scheduler};
  Fleet m_Fleet{m_Scheduler};
  BackendDirectory m_Directory;
  ServingConfiguration m_Configuration;
  std::vector<std::unique_ptr<Holder>> m_Holders;
};

} // namespace

// Found on the users' bench: each planned restart of the duty's holder ordered
// the ordinary servers away that stood in for reclaimed ones.
TEST_CASE("fleet duty: pattern of a reclaim and a restart of the holder: the "
          "next one goes on with the orders in force") {
  auto Test = World();
  Test.add("first");
  Test.pass(Seconds(12));
  CHECK(Test.m_Fleet.m_Counts[false] + Test.m_Fleet.m_Counts[true] == Most);
  REQUIRE(Test.m_Fleet.m_Counts[true] > 0);
  Test.reclaim();
  Test.pass(Seconds(3));
  REQUIRE(Test.m_Fleet.m_Counts[false] == Most);
  Test.m_Fleet.m_Lowest = Most;
  auto Changes = Test.m_Fleet.m_Changes;
  Test.m_Holders.clear();
  Test.add("second");
  Test.pass(Seconds(10));
  CHECK(Test.m_Holders[0]->m_Duty.held());
  CHECK(Test.m_Fleet.m_Lowest == Most);
  CHECK(Test.m_Fleet.m_Changes == Changes);
}

TEST_CASE("fleet duty: nothing is ordered before the plan of the holder before "
          "is known, nor what the store has not taken") {
  auto Test = World();
  Test.add("first");
  auto &Holder = *Test.m_Holders[0];
  while (!Holder.m_Duty.held())
    Test.m_Scheduler.advance(Milliseconds(1));
  Holder.m_Store.setOutage(StoreFault::Refuse);
  Test.pass(Seconds(5));
  CHECK(Test.m_Fleet.m_Changes == 0);
  Holder.m_Store.setOutage(StoreFault::None);
  Test.pass(Seconds(12));
  CHECK(Test.m_Fleet.m_Counts[false] + Test.m_Fleet.m_Counts[true] == Most);
}

// Found on the users' bench: a host that was being stopped took the duty and
// held it idle until its process was gone.
TEST_CASE("fleet duty: pattern of a rolling restart: a host that stops neither "
          "keeps nor takes the duty") {
  auto Test = World();
  for (const auto *Name : {"first", "second", "third"})
    Test.add(Name);
  Test.pass(Seconds(12));
  auto Stopped = std::vector<std::size_t>();
  for (auto Index = std::size_t{0}; Index < Test.m_Holders.size(); ++Index)
    if (Test.m_Holders[Index]->m_Duty.held() || Stopped.empty()) {
      Test.m_Holders[Index]->m_Duty.stop();
      Stopped.push_back(Index);
    }
  REQUIRE(Stopped.size() < Test.m_Holders.size());
  // The term of the lease, and the pause between two campaigns.
  Test.pass(Seconds(7));
  auto Held = 0;
  for (auto Index = std::size_t{0}; Index < Test.m_Holders.size(); ++Index) {
    auto Stops = std::find(Stopped.begin(), Stopped.end(), Index);
    auto Holds = Test.m_Holders[Index]->m_Duty.held();
    CHECK_FALSE((Holds && Stops != Stopped.end()));
    Held += Holds ? 1 : 0;
  }
  CHECK(Held == 1);
}

TEST_CASE("fleet plan: what is written is what is read, and other documents "
          "are refused") {
  auto Plan = FleetPlan{
      .m_Sizes = {{Service, 9}},
      .m_Supplies = {{{Service, Here}, {.m_Wanted = 3, .m_Short = true}}}};
  CHECK(decodeFleetPlan(encodeFleetPlan(Plan)) == Plan);
  for (const auto *Document : {"", "{}", R"({"sizes":{"a":"b"}})", "[1]"})
    CHECK_THROWS_AS(decodeFleetPlan(Document), ProtocolError);
}
