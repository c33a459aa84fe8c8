#include "support/FaultyStore.h"
#include "support/PeerNetwork.h"

#include "dotterel/config/ConfigurationStore.h"
#include "dotterel/gate/Credentials.h"
#include "dotterel/membership/Gossip.h"

#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// Maximum time until a withdrawn key is rejected under any fault: the maximum
/// age of a confirmation plus one round of reads.
constexpr auto WithdrawalBound = Milliseconds(5000);

/// The components of a gate that decide whether a key is accepted.
class Gate final : public PeerService {
public:
  Gate(VirtualScheduler &Scheduler, InMemoryStore &Model, PeerNetwork &Network,
       const std::string &Name, const std::string &DataCentre,
       std::uint64_t Incarnation)
      : m_Scheduler(Scheduler), m_Network(Network), m_Name(Name),
        m_Store(Scheduler, Model), m_Peers(Network, Name),
        m_Members({.m_Process = ProcessId{Name + "/gate"},
                   .m_Location = {.m_DataCentre = DataCentreId{DataCentre}},
                   .m_Address = Name,
                   .m_Incarnation = Incarnation},
                  {}) {
    m_Network.attach(Name, *this);
    m_Reads.emplace(Scheduler, Milliseconds(500), [this] { read(); });
    m_Rounds.emplace(Scheduler, Seconds(1), [this] {
      if (!m_Paused)
        m_Gossip.runRound();
    });
  }
  Gate(const Gate &) = delete;
  auto operator=(const Gate &) -> Gate & = delete;
  ~Gate() override { m_Network.detach(m_Name); }

  auto onExchange(const PeerView &View) -> PeerView override {
    return m_Gossip.handleExchange(View);
  }
  auto onFetchConfiguration(const std::vector<std::uint64_t> &Known)
      -> ConfigurationDelta override {
    return m_WithholdsConfiguration ? ConfigurationDelta()
                                    : m_Holder.delta(Known);
  }
  auto onClaim(const Claim & /*Request*/, std::function<void(ClaimReply)> Done)
      -> void override {
    Done({});
  }
  auto onOutcome(const ClaimOutcome & /*Outcome*/,
                 std::function<void(bool)> Done) -> void override {
    Done(false);
  }
  auto onUsage(const UsageSegment & /*Segment*/) -> void override {}

  [[nodiscard]] auto freshness() const -> Freshness {
    return m_Freshness.evaluate(m_Scheduler.now(), m_Members,
                                m_Gossip.listed());
  }

  [[nodiscard]] auto accepts(const std::string &Digest) const -> bool {
    return m_Holder.current() && freshness() != Freshness::Stale &&
           findCaller(*m_Holder.current(), Digest).has_value();
  }

  auto list(const std::vector<std::string> &Names) -> void {
    auto Listed = std::vector<ListedProcess>();
    for (const auto &Name : Names)
      Listed.push_back(
          {.m_Process = ProcessId{Name + "/gate"}, .m_Address = Name});
    m_Gossip.setListed(std::move(Listed));
  }

  auto change(std::function<void(Configuration &)> Edit) -> ChangeResult::Kind {
    // Shared, since the response may arrive after this call has returned.
    auto Result =
        std::make_shared<ChangeResult::Kind>(ChangeResult::Kind::Unknown);
    m_Configuration.change(std::move(Edit), {},
                           [Result](const auto &Got) { *Result = Got.m_Kind; });
    m_Scheduler.advance(Milliseconds(10));
    return *Result;
  }

  VirtualScheduler &m_Scheduler;
  PeerNetwork &m_Network;
  std::string m_Name;
  Random m_Random{7};
  FaultyStore m_Store;
  NetworkCaller m_Peers;
  MemberTable m_Members;
  ConfigurationHolder m_Holder;
  FreshnessTracker m_Freshness{FreshnessOptions{}};
  CrashRegistry m_Crashes{CrashRegistryOptions{}};
  ConfigurationStore m_Configuration{m_Scheduler, m_Store, m_Holder,
                                     m_Freshness};
  Gossip m_Gossip{m_Scheduler, m_Random,    m_Members, m_Peers,
                  m_Holder,    m_Freshness, m_Crashes, {}};
  bool m_Paused = false;
  /// Responds to exchanges but sends no configuration.
  bool m_WithholdsConfiguration = false;

private:
  auto read() -> void {
    if (!m_Paused && m_Gossip.readsStore())
      m_Configuration.refresh([](bool) {});
  }

  std::optional<RepeatingTimer> m_Reads;
  std::optional<RepeatingTimer> m_Rounds;
};

constexpr auto GateCount = std::size_t{9};

struct GateCluster {
  GateCluster() {
    for (auto Index = std::size_t{0}; Index < GateCount; ++Index)
      add(Index, 1);
    m_Scheduler.advance(Seconds(6));
  }

  auto add(std::size_t Index, std::uint64_t Incarnation) -> Gate & {
    auto Name = "g" + std::to_string(Index);
    if (m_Gates.size() <= Index)
      m_Gates.resize(Index + 1);
    kill(Index);
    m_Gates[Index] =
        std::make_unique<Gate>(m_Scheduler, m_Model, m_Network, Name,
                               "dc" + std::to_string(Index % 3), Incarnation);
    auto Names = std::vector<std::string>();
    for (auto Number = std::size_t{0}; Number < GateCount; ++Number)
      Names.push_back("g" + std::to_string(Number));
    for (auto &Item : m_Gates)
      if (Item)
        Item->list(Names);
    return *m_Gates[Index];
  }

  /// Stops a gate. The object is kept, since responses to it are in flight.
  auto kill(std::size_t Index) -> void {
    if (!m_Gates[Index])
      return;
    m_Gates[Index]->m_Paused = true;
    m_Network.detach(m_Gates[Index]->m_Name);
    m_StoppedGates.push_back(std::move(m_Gates[Index]));
  }

  auto grant() -> void {
    m_Gates[0]->change([](Configuration &Target) {
      Target.m_Keys.put(
          {.m_Digest = "k", .m_Organisation = OrganisationId{"o"}});
    });
    m_Scheduler.advance(Seconds(5));
  }

  /// Withdraws the key through gate \p Through and returns the time until the
  /// last gate stopped accepting it.
  auto withdraw(std::size_t Through) -> Duration {
    auto Result = m_Gates[Through]->change(
        [](Configuration &Target) { Target.m_Keys.erase("k"); });
    CHECK(Result == ChangeResult::Kind::Accepted);
    auto Start = m_Scheduler.now();
    auto Last = Duration::zero();
    constexpr auto Watched = Seconds(30);
    while (m_Scheduler.now() - Start < Watched) {
      for (const auto &Item : m_Gates)
        if (Item && Item->accepts("k"))
          Last = m_Scheduler.now() - Start;
      m_Scheduler.advance(Milliseconds(100));
    }
    return Last;
  }

  auto acceptingGates() const -> std::size_t {
    auto Count = std::size_t{0};
    for (const auto &Item : m_Gates)
      Count += Item && Item->accepts("k") ? 1 : 0;
    return Count;
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  PeerNetwork m_Network{m_Scheduler};
  std::vector<std::unique_ptr<Gate>> m_Gates;
  std::vector<std::unique_ptr<Gate>> m_StoppedGates;
};

} // namespace

TEST_CASE(
    "keys: all gates accept a granted key and reject it after its withdrawal") {
  auto Test = GateCluster();
  Test.grant();
  CHECK(Test.acceptingGates() == GateCount);
  auto Last = Test.withdraw(4);
  MESSAGE("withdrawal to last accepting gate, no fault: ", toMilliseconds(Last),
          " ms");
  CHECK(Last <= WithdrawalBound);
}

TEST_CASE("keys: a gate that cannot reach the store learns of a withdrawal "
          "from its peers") {
  auto Test = GateCluster();
  Test.grant();
  Test.m_Gates[2]->m_Store.setOutage(StoreFault::LoseRequest);
  Test.m_Scheduler.advance(Seconds(10));
  CHECK(Test.m_Gates[2]->accepts("k"));
  auto Last = Test.withdraw(0);
  MESSAGE("withdrawal, one gate cut off from the store: ", toMilliseconds(Last),
          " ms");
  CHECK(Last <= WithdrawalBound);
}

TEST_CASE("keys: a gate without store and peers rejects keys within seconds, "
          "although the platform lists all gates as live") {
  auto Test = GateCluster();
  Test.grant();
  Test.m_Gates[2]->m_Store.setOutage(StoreFault::LoseRequest);
  for (auto Index = std::size_t{0}; Index < GateCount; ++Index)
    Test.m_Network.cut("g2", "g" + std::to_string(Index));
  auto Last = Test.withdraw(0);
  MESSAGE("withdrawal, one gate cut off from everything: ",
          toMilliseconds(Last), " ms");
  CHECK(Last <= WithdrawalBound);
  Test.m_Scheduler.advance(Seconds(60));
  CHECK(Test.m_Gates[2]->freshness() == Freshness::Stale);
}

TEST_CASE(
    "keys: a confirmation of a revision that could not be fetched is ignored") {
  auto Test = GateCluster();
  Test.grant();
  for (auto &Item : Test.m_Gates)
    Item->m_WithholdsConfiguration = true;
  Test.m_Gates[2]->m_Store.setOutage(StoreFault::LoseRequest);
  CHECK(Test.withdraw(0) <= WithdrawalBound);
}

TEST_CASE("configuration: a holder applies higher revisions only") {
  auto Holder = ConfigurationHolder();
  auto Changes = 0;
  Holder.onChange([&] { ++Changes; });
  for (auto Revision : {5U, 4U, 5U, 6U, 0U}) {
    auto Value = initialConfiguration();
    Value.m_Revision = ConfigRevision{Revision};
    Holder.apply(std::move(Value));
  }
  CHECK(Holder.revision() == ConfigRevision{6});
  CHECK(Changes == 2);
  auto Old = ConfigurationHolder();
  Old.apply(initialConfiguration());
  CHECK_FALSE(Holder.applyDelta(Old.delta({})));
  CHECK(Holder.revision() == ConfigRevision{6});
}

TEST_CASE("keys: a gate that was paused during a withdrawal rejects the key "
          "immediately after the pause") {
  auto Test = GateCluster();
  Test.grant();
  Test.m_Gates[2]->m_Paused = true;
  Test.m_Gates[2]->m_Store.setOutage(StoreFault::LoseRequest);
  Test.m_Network.detach("g2");
  Test.withdraw(0);
  CHECK_FALSE(Test.m_Gates[2]->accepts("k"));
}

TEST_CASE("keys: with half of the gates cut off from the store and the other "
          "half, no gate accepts a withdrawn key beyond the bound") {
  auto Test = GateCluster();
  Test.grant();
  for (auto Lost = std::size_t{5}; Lost < GateCount; ++Lost) {
    Test.m_Gates[Lost]->m_Store.setOutage(StoreFault::LoseRequest);
    for (auto Other = std::size_t{0}; Other < 5; ++Other)
      Test.m_Network.cut("g" + std::to_string(Lost),
                         "g" + std::to_string(Other));
  }
  auto Last = Test.withdraw(0);
  MESSAGE("withdrawal, regions parted: ", toMilliseconds(Last), " ms");
  CHECK(Last <= WithdrawalBound);
}

TEST_CASE("keys: gates keep accepting keys during a store outage that affects "
          "all of them") {
  for (auto Kind : {StoreFault::Refuse, StoreFault::LoseRequest}) {
    auto Test = GateCluster();
    Test.grant();
    for (auto &Item : Test.m_Gates)
      Item->m_Store.setOutage(Kind);
    auto MinAccepting = GateCount;
    for (auto Step = 0; Step < 600; ++Step) {
      Test.m_Scheduler.advance(Milliseconds(100));
      MinAccepting = std::min(MinAccepting, Test.acceptingGates());
    }
    CAPTURE(static_cast<int>(Kind));
    CHECK(MinAccepting == GateCount);
    // After the outage a withdrawal takes effect within the bound again.
    for (auto &Item : Test.m_Gates)
      Item->m_Store.setOutage(StoreFault::None);
    Test.m_Scheduler.advance(Seconds(3));
    CHECK(Test.withdraw(0) <= WithdrawalBound);
  }
}

TEST_CASE("keys: a withdrawal through the only gate that can reach the store "
          "again takes effect on all gates within the bound") {
  auto Test = GateCluster();
  Test.grant();
  for (auto &Item : Test.m_Gates)
    Item->m_Store.setOutage(StoreFault::Refuse);
  Test.m_Scheduler.advance(Seconds(30));
  Test.m_Gates[3]->m_Store.setOutage(StoreFault::None);
  auto Last = Test.withdraw(3);
  MESSAGE("withdrawal through the one gate that has the store: ",
          toMilliseconds(Last), " ms");
  CHECK(Last <= WithdrawalBound);
}

TEST_CASE("configuration: of two concurrent changes one is accepted and the "
          "other gets a conflict") {
  auto Test = GateCluster();
  auto Kinds = std::vector<ChangeResult::Kind>();
  for (auto Index : {0, 1})
    Test.m_Gates[static_cast<std::size_t>(Index)]->m_Configuration.change(
        [Index](Configuration &Target) {
          auto Id = PresetId{Index == 0 ? "peak" : "night"};
          Target.m_Presets[Id] = {.m_Id = Id};
          Target.m_PresetInForce = Id;
        },
        {}, [&](const auto &Got) { Kinds.push_back(Got.m_Kind); });
  Test.m_Scheduler.advance(Seconds(5));
  REQUIRE(Kinds.size() == 2);
  CHECK(std::count(Kinds.begin(), Kinds.end(), ChangeResult::Kind::Accepted) ==
        1);
  CHECK(std::count(Kinds.begin(), Kinds.end(), ChangeResult::Kind::Conflict) ==
        1);
  auto InForce = Test.m_Gates[0]->m_Holder.current()->m_PresetInForce;
  for (const auto &Item : Test.m_Gates)
    CHECK(Item->m_Holder.current()->m_PresetInForce == InForce);
}

TEST_CASE("configuration: an invalid change is rejected with its path and "
          "nothing is stored") {
  auto Test = GateCluster();
  auto Before = Test.m_Gates[0]->m_Holder.revision();
  auto Reason = std::string();
  Test.m_Gates[0]->m_Configuration.change(
      [](Configuration &Target) {
        Target.m_Routes[RouteId{"r"}] = {
            .m_Id = RouteId{"r"}, .m_Service = "s", .m_CheapServers = true};
      },
      {}, [&](const auto &Got) { Reason = Got.m_Reason; });
  Test.m_Scheduler.advance(Seconds(5));
  CHECK(Reason.find("routes.r.cheap_servers") != std::string::npos);
  CHECK(Test.m_Gates[0]->m_Holder.revision() == Before);
}

TEST_CASE("configuration: a gate started during a store outage gets the newest "
          "revision from its peers") {
  auto Test = GateCluster();
  Test.grant();
  for (auto &Item : Test.m_Gates)
    Item->m_Store.setOutage(StoreFault::Refuse);
  auto Newest = Test.m_Gates[0]->m_Holder.revision();
  auto &Restarted = Test.add(4, 2);
  Restarted.m_Store.setOutage(StoreFault::Refuse);
  CHECK_FALSE(Restarted.accepts("k"));
  Test.m_Scheduler.advance(Seconds(10));
  CHECK(Restarted.m_Holder.revision() == Newest);
  CHECK(Restarted.accepts("k"));
}

TEST_CASE("configuration: an accepted change is active on all running gates "
          "within seconds while two gates are stopped") {
  auto Test = GateCluster();
  Test.kill(1);
  Test.kill(2);
  auto Result = Test.m_Gates[0]->change([](Configuration &Target) {
    Target.m_Presets[PresetId{"peak"}] = {.m_Id = PresetId{"peak"}};
    Target.m_PresetInForce = PresetId{"peak"};
  });
  CHECK(Result == ChangeResult::Kind::Accepted);
  Test.m_Scheduler.advance(WithdrawalBound);
  for (const auto &Item : Test.m_Gates)
    if (Item)
      CHECK(Item->m_Holder.current()->m_PresetInForce == PresetId{"peak"});
}

TEST_CASE("configuration: under generated faults no revision decreases and no "
          "withdrawn key is accepted beyond the bound") {
  auto Passed = rc::check([] {
    auto Source = Random(*rc::gen::arbitrary<std::uint32_t>());
    auto Test = GateCluster();
    Test.grant();
    auto Withdrawn = std::optional<MonotonicTime>();
    auto Revisions = std::vector<ConfigRevision>(GateCount);
    constexpr auto Steps = 60;
    for (auto Step = 0; Step < Steps; ++Step) {
      auto Index = Source.below(GateCount);
      switch (Source.below(6)) {
      case 0:
        Test.m_Network.cut("g" + std::to_string(Index),
                           "g" + std::to_string(Source.below(GateCount)));
        break;
      case 1:
        Test.m_Network.heal();
        break;
      case 2:
        Test.m_Gates[Index]->m_Store.setOutage(StoreFault::LoseRequest);
        break;
      case 3:
        Test.m_Gates[Index]->m_Store.setOutage(StoreFault::None);
        break;
      case 4:
        Test.m_Gates[Index]->m_Store.faultAt(
            Test.m_Gates[Index]->m_Store.calls() + 1, StoreFault::LoseResponse);
        break;
      default:
        if (Withdrawn)
          break;
        auto Result = Test.m_Gates[Index]->change(
            [](Configuration &Target) { Target.m_Keys.erase("k"); });
        if (Result == ChangeResult::Kind::Accepted)
          Withdrawn = Test.m_Scheduler.now();
      }
      for (auto Left = Source.below(30); Left > 0; --Left) {
        Test.m_Scheduler.advance(Milliseconds(100));
        for (auto Number = std::size_t{0}; Number < GateCount; ++Number) {
          auto &Item = *Test.m_Gates[Number];
          RC_ASSERT(Item.m_Holder.revision() >= Revisions[Number]);
          Revisions[Number] = Item.m_Holder.revision();
          if (Withdrawn &&
              Test.m_Scheduler.now() - *Withdrawn > WithdrawalBound)
            RC_ASSERT(!Item.accepts("k"));
        }
      }
    }
  });
  CHECK(Passed);
}
