#include "dotterel/peers/UsageRelay.h"
#include "dotterel/usage/UsageKeys.h"
#include "dotterel/usage/UsageRecorder.h"
#include "support/DatagramNetwork.h"
#include "support/FaultyStore.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto Length = Seconds(5);
const auto Org = OrganisationId{"org"};

/// A host with the components that its usage recording needs.
struct Host {
  Host(VirtualScheduler &Scheduler, InMemoryStore &Model, DatagramNetwork &Wire,
       int Number)
      : m_Store(Scheduler, Model), m_Random(static_cast<unsigned>(Number)),
        m_Port(Wire, fmt::format("h{}", Number)),
        m_Registry(Scheduler, m_Store, m_Watch, m_Random,
                   {.m_Host = HostId{fmt::format("h{}", Number)},
                    .m_DataCentre = DataCentreId{"a"},
                    .m_Address = m_Port.address()},
                   {}),
        m_Usage(Scheduler, m_Store, IncarnationId{fmt::format("i{}", Number)},
                [](const UsageSegment &,
                   const std::function<void(bool)> &Done) { Done(true); },
                {.m_Writer = {.m_WindowLength = Length},
                 .m_FlushInterval = Length * 2}),
        m_Relay(
            Scheduler, m_Store, m_Port, m_Random, m_Registry,
            {.m_Overdue = [this](Duration Age) { return m_Usage.overdue(Age); },
             .m_RecordStored =
                 [this](const UsageSegment &Segment) {
                   return m_Usage.recordStored(Segment);
                 }},
            {.m_Writer = {.m_WindowLength = Length}}) {
    m_Port.onReceive([this](const std::string &Address,
                            std::string_view Bytes) {
      auto Message = decodeHostMessage(Bytes);
      if (const auto *Segment = std::get_if<UsageSegment>(&Message.m_Content))
        m_Relay.receive(*Segment, Address);
      if (const auto *Stored = std::get_if<StoredSegment>(&Message.m_Content))
        m_Relay.receive(*Stored);
    });
    m_Registry.start();
    m_Relay.start();
  }

  /// Reports a lost history each time, so that the registry lists the hosts
  /// repeatedly.
  class Watch final : public StoreWatch {
  public:
    auto watch(const std::string & /*Prefix*/, StoreRevision /*After*/,
               Duration /*Wait*/, StoreCallback<WatchResult> Callback)
        -> void override {
      Callback({.m_Response = WatchResult{.m_HistoryLost = true}});
    }
  };

  FaultyStore m_Store;
  Watch m_Watch;
  Random m_Random;
  DatagramNetwork::Port m_Port;
  HostRegistry m_Registry;
  UsageRecorder m_Usage;
  UsageRelay m_Relay;
};

struct HostCluster {
  HostCluster() {
    for (auto Number = 0; Number < 4; ++Number)
      m_Hosts.push_back(
          std::make_unique<Host>(m_Scheduler, m_Model, m_Wire, Number));
    m_Scheduler.advance(Seconds(12));
  }

  /// Returns the number of requests that the store holds for all windows.
  auto counted() -> std::uint64_t {
    auto Sum = std::uint64_t{0};
    for (const auto &Item : m_Model.read(KeyRange::prefix("usage/")).m_Values)
      for (const auto &[Key, Figures] : totalsOf(Item.m_Value))
        Sum += Figures.m_Requests;
    return Sum;
  }

  static auto totalsOf(const std::string &Value) -> UsageTotals {
    return Value == "1" ? UsageTotals() : decodeTotals(Value);
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  DatagramNetwork m_Wire{m_Scheduler};
  std::vector<std::unique_ptr<Host>> m_Hosts;
};

constexpr auto Requests = 7;

auto count(Host &Source) -> void {
  for (auto Index = 0; Index < Requests; ++Index)
    Source.m_Usage.record({.m_Organisation = Org}, {.m_Requests = 1}, [] {});
}

} // namespace

// Without the relay a window lacks the counts of hosts that the store refuses.
TEST_CASE("usage relay: the counts of a host that the store refuses are stored "
          "once, soon after the end of their window") {
  for (auto Fault : {StoreFault::Refuse, StoreFault::LoseRequest,
                     StoreFault::LoseResponse, StoreFault::LateEffect}) {
    CAPTURE(static_cast<int>(Fault));
    auto Test = HostCluster();
    auto &Cut = *Test.m_Hosts[0];
    Cut.m_Store.setOutage(Fault);
    // A second host has lost the store too, and may be chosen as a target.
    Test.m_Hosts[1]->m_Store.setOutage(StoreFault::Refuse);
    count(Cut);
    Cut.m_Usage.flush();
    Test.m_Scheduler.advance(Seconds(6));
    CHECK(Test.counted() == Requests);
    Cut.m_Store.setOutage(StoreFault::None);
    Test.m_Hosts[1]->m_Store.setOutage(StoreFault::None);
    Test.m_Scheduler.advance(Seconds(20));
    CHECK(Test.counted() == Requests);
    CHECK(Cut.m_Usage.unconfirmed() == 0);
  }
}

// During an outage of the store each host could otherwise make calls for itself
// and for two others, five times a second.
TEST_CASE("usage relay: in an outage that affects all hosts no host writes for "
          "others, and calls become rare") {
  auto Test = HostCluster();
  auto Before = std::uint64_t{0};
  for (auto &Current : Test.m_Hosts) {
    Current->m_Store.setOutage(StoreFault::Refuse);
    count(*Current);
    Current->m_Usage.flush();
    Before += Current->m_Store.calls();
  }
  Test.m_Scheduler.advance(Seconds(8));
  auto Calls = std::uint64_t{0};
  for (auto &Current : Test.m_Hosts)
    Calls += Current->m_Store.calls();
  // Each host makes nine calls for the segment and a few for the registry.
  constexpr auto MaxCallsPerHost = 16U;
  CHECK(Calls - Before <= MaxCallsPerHost * Test.m_Hosts.size());
  for (auto &Current : Test.m_Hosts)
    Current->m_Store.setOutage(StoreFault::None);
  Test.m_Scheduler.advance(Seconds(4));
  CHECK(Test.counted() == Requests * Test.m_Hosts.size());
}

TEST_CASE("usage relay: a host that reaches the store hands nothing over") {
  auto Test = HostCluster();
  count(*Test.m_Hosts[0]);
  Test.m_Hosts[0]->m_Usage.flush();
  auto Calls = Test.m_Hosts[2]->m_Store.calls();
  auto Before = Test.m_Hosts[3]->m_Store.calls();
  Test.m_Scheduler.advance(Seconds(5));
  CHECK(Test.counted() == Requests);
  // Neither host writes for the first one: both make the same number of calls.
  CHECK(Test.m_Hosts[2]->m_Store.calls() - Calls ==
        Test.m_Hosts[3]->m_Store.calls() - Before);
}

// While the store turns a third of the hosts away, each of their segments was
// handed to two more hosts every second, each of which wrote it and read it.
TEST_CASE(
    "usage relay: a host that the store turns away learns that its counts "
    "are stored, and no further calls are made for them") {
  auto Test = HostCluster();
  auto &Cut = *Test.m_Hosts[0];
  Cut.m_Store.setOutage(StoreFault::Refuse);
  count(Cut);
  Cut.m_Usage.flush();
  Test.m_Scheduler.advance(Seconds(4));
  CHECK(Test.counted() == Requests);
  CHECK(Cut.m_Usage.unconfirmed() == 0);
  // From now on each host makes as many calls as if nothing had happened.
  auto Calm = HostCluster();
  Calm.m_Scheduler.advance(Seconds(4));
  auto CallsIn10s = [](HostCluster &Cluster, std::size_t Index) {
    auto Before = Cluster.m_Hosts[Index]->m_Store.calls();
    Cluster.m_Scheduler.advance(Seconds(10));
    return Cluster.m_Hosts[Index]->m_Store.calls() - Before;
  };
  CHECK(CallsIn10s(Test, 1) <= CallsIn10s(Calm, 1));
  CHECK(Test.counted() == Requests);
}

// A host that has restarted at the same address took the statement about a
// segment of its predecessor for a handover, and answered it without end.
TEST_CASE(
    "usage relay: a statement about a segment of an earlier incarnation is "
    "not answered") {
  auto Test = HostCluster();
  auto &Later = *Test.m_Hosts[0];
  auto Segment =
      UsageSegment{.m_Id = {.m_Window = WindowIndex{1},
                            .m_Incarnation = IncarnationId{"earlier"},
                            .m_Number = 1},
                   .m_Totals = {{{.m_Organisation = Org}, {.m_Requests = 1}}}};
  auto Before = Test.m_Wire.m_SentSizes.size();
  Test.m_Hosts[1]->m_Relay.receive(Segment, Later.m_Port.address());
  Test.m_Scheduler.advance(Seconds(3));
  CHECK(Test.m_Wire.m_SentSizes.size() - Before == 1);
}

TEST_CASE(
    "usage relay: a statement with other counts, or of another history of "
    "the store, is not taken") {
  auto Test = HostCluster();
  auto &Cut = *Test.m_Hosts[0];
  Cut.m_Store.setOutage(StoreFault::Refuse);
  count(Cut);
  Cut.m_Usage.flush();
  auto Segment = Cut.m_Usage.overdue(Duration::zero()).front();
  auto Era = Cut.m_Store.history().era();
  auto Larger = Segment;
  Larger.m_Totals.begin()->second.m_Requests += 1;
  Cut.m_Relay.receive(StoredSegment{.m_Segment = Larger, .m_Era = Era});
  CHECK(Cut.m_Usage.unconfirmed() == 1);
  Cut.m_Relay.receive(
      StoredSegment{.m_Segment = Segment, .m_Era = StoreEra{Era.number() + 1}});
  CHECK(Cut.m_Usage.unconfirmed() == 1);
  Cut.m_Relay.receive(StoredSegment{.m_Segment = Segment, .m_Era = Era});
  CHECK(Cut.m_Usage.unconfirmed() == 0);
}

TEST_CASE("usage relay: a host that missed a confirmation gets another one") {
  auto Test = HostCluster();
  auto &Cut = *Test.m_Hosts[0];
  Cut.m_Store.setOutage(StoreFault::Refuse);
  count(Cut);
  Cut.m_Usage.flush();
  auto Segment = Cut.m_Usage.overdue(Duration::zero()).front();
  auto Answers = std::vector<std::string>();
  auto Lost = DatagramNetwork::Port(Test.m_Wire, "lost");
  Lost.onReceive([&](const std::string &, std::string_view Bytes) {
    Answers.emplace_back(Bytes);
  });
  Test.m_Hosts[1]->m_Relay.receive(Segment, Lost.address());
  Test.m_Scheduler.advance(Seconds(1));
  Test.m_Hosts[1]->m_Relay.receive(Segment, Cut.m_Port.address());
  Test.m_Scheduler.advance(Milliseconds(100));
  CHECK(Answers.size() == 1);
  CHECK(Cut.m_Usage.unconfirmed() == 0);
  CHECK(Test.counted() == Requests);
}
