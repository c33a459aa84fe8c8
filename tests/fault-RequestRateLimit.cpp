#include "dotterel/base/Log.h"
#include "dotterel/membership/Gossip.h"
#include "dotterel/peers/LoadExchange.h"
#include "dotterel/peers/RateSenders.h"
#include "dotterel/routing/EngineTable.h"
#include "support/DatagramNetwork.h"
#include "support/FaultyStore.h"
#include "support/PeerNetwork.h"
#include "support/ScriptedStore.h"
#include "support/ServingFakes.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>
#include <set>

using namespace dotterel;
using namespace dotterel::test;

namespace {

const auto Limited = BackendId{"d1"};
constexpr auto Step = Milliseconds(10);
constexpr auto Window = Seconds(4);
/// Time after the first statement of a limit from which it must be kept.
constexpr auto Notice = Seconds(4);

/// Returns the maximum number of requests in any window, if a server names \p
/// Limit.
auto allowed(double Limit) -> double {
  constexpr auto Slack = 1.5;
  constexpr auto Extra = 5;
  return Slack * Limit * 4 + Extra;
}

/// Returns the largest number of \p Times, which are sorted, in any window.
auto mostInWindow(const std::vector<Duration> &Times) -> std::size_t {
  auto Most = std::size_t{0};
  auto First = std::size_t{0};
  for (auto Last = std::size_t{0}; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] >= Window)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

/// Suppresses the log lines of the thousands of requests of a run.
struct QuietLog {
  QuietLog() {
    setLogSink([](std::string_view) {});
  }
  ~QuietLog() { setLogSink({}); }
};

/// Hosts before the servers d1, d2 and d3, of which d1 limits its requests.
class LimitedServerTest {
public:
  LimitedServerTest(std::size_t Count, double Limit, std::uint64_t Seed)
      : m_Random(Seed), m_Limit(Limit) {
    for (auto Index = std::size_t{0}; Index < Count; ++Index)
      add();
  }

  auto add() -> void {
    m_Hosts.push_back({.m_Name = fmt::format("h{}", ++m_LastName)});
    start(m_Hosts.back());
    announceSenders();
  }

  auto leave(std::size_t Index) -> void {
    m_Hosts.erase(m_Hosts.begin() + static_cast<std::ptrdiff_t>(Index));
    announceSenders();
  }

  auto restart(std::size_t Index) -> void { start(m_Hosts[Index]); }

  auto cut(std::size_t Index, bool Cut) -> void { m_Hosts[Index].m_Cut = Cut; }

  /// Serves \p PerSecond requests of callers a second.
  auto run(Duration Span, double PerSecond) -> void {
    for (auto End = m_Now + Span; m_Now < End; m_Now += Step) {
      m_Due += PerSecond * std::chrono::duration<double>(Step).count();
      for (; m_Due >= 1; --m_Due)
        serve(m_Hosts[m_Random.below(m_Hosts.size())]);
      for (auto &Item : m_Hosts) {
        Item.m_Core->m_Scheduler.advance(Step);
        Item.m_Core->m_Core.recordConfirmation(Item.m_Core->m_Scheduler.now());
        startResponses(Item);
        if (Item.m_SendersDueAt <= m_Now && !Item.m_Cut)
          setSenders(Item);
      }
      if (m_Now.count() % Duration(Milliseconds(100)).count() == 0)
        exchangeLoads();
    }
  }

  auto count() const -> std::size_t { return m_Hosts.size(); }
  auto random() -> Random & { return m_Random; }
  auto arrivals() const -> const std::vector<Duration> & { return m_Arrivals; }
  auto responses() const -> std::size_t { return m_Responses; }

  double m_ErrorRate = 0; ///< Of the servers without a limit.

private:
  struct Host {
    std::string m_Name;
    std::unique_ptr<ServingFixture> m_Core;
    std::size_t m_Seen = 0; ///< Attempts whose responses are scheduled.
    bool m_Cut = false;     ///< From the other hosts.
    Duration m_SendersDueAt = Duration::max();
  };

  auto start(Host &Item) -> void {
    Item.m_Core = std::make_unique<ServingFixture>();
    Item.m_Core->m_Random = Random(m_Random.below(1'000'000));
    Item.m_Core->m_Scheduler.advance(m_Now);
    Item.m_Seen = 0;
    Item.m_SendersDueAt = m_Now;
  }

  /// Each host learns of a change of the hosts at another time.
  auto announceSenders() -> void {
    for (auto &Item : m_Hosts)
      if (m_Now > Duration::zero())
        Item.m_SendersDueAt =
            m_Now + Milliseconds(static_cast<int>(m_Random.below(5000)));
  }

  auto setSenders(Host &Item) -> void {
    Item.m_SendersDueAt = Duration::max();
    auto Others = std::vector<std::string>();
    for (const auto &Other : m_Hosts)
      if (Other.m_Name != Item.m_Name)
        Others.push_back(Other.m_Name);
    Item.m_Core->m_Core.rateLimits().setSenders(Item.m_Name, std::move(Others),
                                                Item.m_Core->m_Scheduler.now());
  }

  auto serve(Host &Item) -> void {
    auto Route = m_Random.unit() < 0.5 ? "safe" : "unsafe";
    Item.m_Core->serve(Route);
    startResponses(Item);
  }

  auto startResponses(Host &Item) -> void {
    for (auto &Sent = Item.m_Core->m_Transport.m_Sent;
         Item.m_Seen < Sent.size(); ++Item.m_Seen) {
      auto &Attempt = Sent[Item.m_Seen].m_Attempt;
      auto ToLimited = Attempt.m_Backend == Limited;
      if (ToLimited && m_Now >= Notice)
        m_Arrivals.push_back(m_Now);
      auto Result = AttemptResult{
          .m_Outcome = AttemptOutcome::Complete,
          .m_Head = {.m_Status = m_Random.unit() < m_ErrorRate && !ToLimited
                                     ? 500U
                                     : 200U}};
      if (ToLimited)
        Result.m_Report.m_RateLimit = RequestRate{m_Limit};
      constexpr auto ResponseTime = Milliseconds(50);
      Item.m_Core->m_Scheduler.schedule(
          ResponseTime,
          [this, &Core = *Item.m_Core, Index = Item.m_Seen, Result] {
            auto &Ended = Core.m_Transport.m_Sent[Index];
            if (Ended.m_Cancelled || std::exchange(Ended.m_Ended, true))
              return;
            ++m_Responses;
            Ended.m_Listener->onEnd(Result);
          });
    }
  }

  auto exchangeLoads() -> void {
    for (auto &From : m_Hosts) {
      auto Loads = From.m_Core->m_Core.collectLoads();
      for (auto &To : m_Hosts)
        if (&From != &To && !From.m_Cut && !To.m_Cut)
          To.m_Core->m_Core.applyLoads(From.m_Name, Loads);
    }
  }

  Random m_Random;
  double m_Limit;
  std::vector<Host> m_Hosts;
  std::uint64_t m_LastName = 0;
  Duration m_Now{};
  double m_Due = 0;
  std::vector<Duration> m_Arrivals; ///< At the limited server, after Notice.
  std::size_t m_Responses = 0;
};

/// A host that tells the others what servers state about their request rates.
struct ReportingHost {
  ReportingHost(VirtualScheduler &Scheduler, DatagramNetwork &Network,
                const std::string &Name, const std::string &DataCentre)
      : m_Port(Network, Name),
        m_Registry(Scheduler, m_Store, m_Store, m_Random,
                   {.m_Host = HostId{Name},
                    .m_DataCentre = DataCentreId{DataCentre},
                    .m_Address = Name},
                   {}),
        m_Exchange(
            Scheduler, m_Port, m_Registry,
            [this, &Scheduler] {
              return LoadSummary{.m_RateLimits =
                                     m_Limits.ownReports(Scheduler.now())};
            },
            [this, &Scheduler](const std::string &, const LoadSummary &Loads) {
              for (const auto &Report : Loads.m_RateLimits)
                m_Limits.merge(Report, Scheduler.now());
            },
            {}) {
    m_Port.onReceive([this](const std::string &From, std::string_view Bytes) {
      m_Exchange.receive(decodeHostMessage(Bytes), From, Bytes);
    });
    m_Registry.start();
    auto Listed = RangeResult();
    for (const auto *Host : {"a1", "a2", "a3", "b1", "b2", "b3"})
      Listed.m_Values.push_back(
          {.m_Key = fmt::format("hosts/{}", Host),
           .m_Value = fmt::format(R"({{"address":"{}","data_centre":"{}"}})",
                                  Host, Host[0]),
           .m_Modified = StoreRevision{1}});
    m_Store.respondToRead(Listed);
    m_Exchange.start();
  }

  ScriptedStore m_Store;
  Random m_Random{1};
  DatagramNetwork::Port m_Port;
  HostRegistry m_Registry;
  ServerRateLimits m_Limits{ServerRateLimitOptions{}};
  LoadExchange m_Exchange;
};

/// Hosts that find each other in a store, and use all that they may of the
/// request rates of some servers.
class RegisteredHostsTest {
public:
  RegisteredHostsTest() {
    setLogSink([](std::string_view) {});
  }
  ~RegisteredHostsTest() { setLogSink({}); }
  RegisteredHostsTest(const RegisteredHostsTest &) = delete;
  auto operator=(const RegisteredHostsTest &) -> RegisteredHostsTest & = delete;

  auto add() -> void {
    auto Name = fmt::format("h{}", m_Hosts.size());
    m_Hosts.push_back(std::make_unique<Host>(m_Scheduler, m_Model, Name));
  }

  auto store(std::size_t Index) -> FaultyStore & {
    return m_Hosts[Index]->m_Store;
  }

  auto run(Duration Span) -> void {
    constexpr auto StateInterval = Milliseconds(500);
    for (auto End = m_Scheduler.now() + Span; m_Scheduler.now() < End;) {
      m_Scheduler.advance(Step);
      auto Now = m_Scheduler.now();
      auto Ticks = Now.time_since_epoch() % Duration(StateInterval) < Step;
      for (auto &Item : m_Hosts) {
        if (Ticks)
          updateSenders(Item->m_Registry, Item->m_Limits, Now);
        for (const auto &Server : m_Servers) {
          if (Ticks || !Item->m_Told)
            Item->m_Limits.recordResponse(Server, RequestRate{Limit}, Now);
          if (!Item->m_Limits.permits(Server, Now))
            continue;
          Item->m_Limits.recordRequest(Server, Now);
          m_Arrivals[Server].push_back(Now.time_since_epoch());
        }
        Item->m_Told = true;
      }
    }
  }

  /// Discards the requests that have been sent.
  auto clear() -> void { m_Arrivals.clear(); }

  /// Returns the largest number of requests that a server got in any window.
  auto most() const -> std::size_t {
    auto Most = std::size_t{0};
    for (const auto &[Server, Times] : m_Arrivals)
      Most = std::max(Most, mostInWindow(Times));
    return Most;
  }

  auto arrivals() const -> std::size_t {
    auto Count = std::size_t{0};
    for (const auto &[Server, Times] : m_Arrivals)
      Count += Times.size();
    return Count;
  }

  static constexpr auto Limit = 3.0;
  static constexpr auto ServerCount = 40;

private:
  struct Host {
    Host(VirtualScheduler &Scheduler, InMemoryStore &Model,
         const std::string &Name)
        : m_Store(Scheduler, Model),
          m_Registry(Scheduler, m_Store, m_Store, m_Random,
                     {.m_Host = HostId{Name},
                      .m_DataCentre = DataCentreId{"a"},
                      .m_Address = Name},
                     {}) {
      m_Registry.start();
    }

    FaultyStore m_Store;
    Random m_Random{1};
    HostRegistry m_Registry;
    ServerRateLimits m_Limits{ServerRateLimitOptions{}};
    bool m_Told = false; ///< Whether the servers have named their limits.
  };

  static auto servers() -> std::vector<BackendId> {
    auto Result = std::vector<BackendId>();
    for (auto Index = 0; Index < ServerCount; ++Index)
      Result.emplace_back(fmt::format("s{}", Index));
    return Result;
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  std::vector<std::unique_ptr<Host>> m_Hosts;
  std::vector<BackendId> m_Servers = servers();
  std::map<BackendId, std::vector<Duration>> m_Arrivals;
};

/// A gate that finds the others by gossip and on the platform's list.
class GossipingGate final : public PeerService {
public:
  GossipingGate(VirtualScheduler &Scheduler, PeerNetwork &Network,
                const std::string &Name)
      : m_Peers(Network, Name),
        m_Members({.m_Process = ProcessId{Name + "/gate"}, .m_Address = Name},
                  {}),
        m_Gossip(Scheduler, m_Random, m_Members, m_Peers, m_Configuration,
                 m_Freshness, m_Crashes, {}) {
    Network.attach(Name, *this);
    m_Rounds.emplace(Scheduler, Seconds(1), [this] { m_Gossip.runRound(); });
  }

  auto onExchange(const PeerView &View) -> PeerView override {
    return m_Gossip.handleExchange(View);
  }
  auto onFetchConfiguration(const std::vector<std::uint64_t> &Known)
      -> ConfigurationDelta override {
    return m_Configuration.delta(Known);
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

  Random m_Random{1};
  NetworkCaller m_Peers;
  MemberTable m_Members;
  ConfigurationHolder m_Configuration;
  FreshnessTracker m_Freshness{FreshnessOptions{}};
  CrashRegistry m_Crashes{CrashRegistryOptions{}};
  Gossip m_Gossip;
  std::optional<RepeatingTimer> m_Rounds;
};

} // namespace

// Guards against hosts that ignore the rate to which a server limits all of
// them together, or that each claim the whole rate for themselves.
TEST_CASE("fault: all hosts together keep to the request rate that a server "
          "names, and make use of it") {
  auto Quiet = QuietLog();
  constexpr auto PerHost = 8.0;
  for (auto Count : {1U, 3U, 9U, 40U})
    for (auto Limit : {0.4, 2.3, 4.2, 11.0}) {
      CAPTURE(Count);
      CAPTURE(Limit);
      auto Test = LimitedServerTest(Count, Limit, Count);
      Test.m_ErrorRate = 0.1;
      Test.run(Seconds(24), PerHost * Count);
      CHECK(mostInWindow(Test.arrivals()) <= allowed(Limit));
      // With fewer callers than the rate allows, other servers take a part.
      auto Wanted = std::min(Limit, PerHost * Count / 3);
      CHECK(Test.arrivals().size() >= 0.25 * Wanted * 20);
    }
}

// Guards against rates that grow while hosts disagree on who shares them.
TEST_CASE("fault: all hosts together keep to the request rate that a server "
          "names, as hosts join, leave, restart and are cut off") {
  auto Quiet = QuietLog();
  for (auto Seed = 1U; Seed <= 12; ++Seed)
    for (auto Limit : {2.3, 4.2}) {
      CAPTURE(Seed);
      CAPTURE(Limit);
      auto Test = LimitedServerTest(9, Limit, Seed);
      Test.m_ErrorRate = 0.1;
      Test.run(Seconds(6), 60);
      for (auto Round = 0; Round < 8; ++Round) {
        auto Chosen = Test.random().below(Test.count());
        switch (Test.random().below(4)) {
        case 0:
          Test.add();
          break;
        case 1:
          if (Test.count() > 3)
            Test.leave(Chosen);
          break;
        case 2:
          Test.restart(Chosen);
          break;
        default:
          Test.cut(Chosen, Test.random().below(2) == 0);
        }
        Test.run(
            Milliseconds(500 + static_cast<int>(Test.random().below(3000))),
            60);
      }
      Test.run(Seconds(6), 60);
      CHECK(mostInWindow(Test.arrivals()) <= allowed(Limit));
    }
}

// Guards against requests that are held, or sent all the same, when the rates
// of all servers are used up.
TEST_CASE("fault: a request is refused at once, as not run, when the request "
          "rates of all servers of its service are used up") {
  auto Test = ServingFixture();
  Test.m_Core.rateLimits().setSenders("h1", {}, Test.m_Scheduler.now());
  for (const auto *Id : {"d1", "d2", "d3"})
    Test.m_Core.rateLimits().recordResponse(BackendId{Id}, RequestRate{2},
                                            Test.m_Scheduler.now());
  Test.m_Scheduler.advance(Milliseconds(550));
  auto Views = std::vector<std::shared_ptr<CallerView>>();
  for (auto Index = 0; Index < 4; ++Index)
    Views.push_back(Test.serve("unsafe"));
  CHECK(Test.m_Transport.m_Sent.size() == 3);
  REQUIRE(Views.back()->m_Refusal);
  CHECK(Views.back()->m_Refusal->code() == RefusalCode::QueueFull);
  CHECK(Views.back()->m_Refusal->execution() == Execution::NotRun);
  CHECK(Views.back()->m_RetryAfter);
}

// Guards against gates that ignore the rate to which a server limits all of
// them together.
TEST_CASE("fault: all gates together keep to the request rate that a server "
          "names") {
  for (auto Count : {1U, 9U, 40U}) {
    CAPTURE(Count);
    constexpr auto Limit = 4.2;
    auto Gates = std::vector<std::unique_ptr<EngineTable>>();
    auto Names = std::vector<std::string>();
    for (auto Index = 0U; Index < Count; ++Index)
      Names.push_back(fmt::format("g{}", Index));
    auto Now = MonotonicTime(Seconds(100));
    for (const auto &Name : Names) {
      auto Others = Names;
      std::erase(Others, Name);
      Gates.push_back(std::make_unique<EngineTable>(
          Location{.m_Host = HostId{Name}}, EngineTableOptions{}));
      auto &Table = *Gates.back();
      Table.updateList({{.m_Id = BackendId{"e"}, .m_Models = {ModelId{"m"}}},
                        {.m_Id = Limited, .m_Service = "desk"}});
      Table.updateLoad(BackendId{"e"}, {.m_Slots = 1000}, Now);
      Table.rateLimits().setSenders(Name, Others, Now);
      for (const auto &Id : {BackendId{"e"}, Limited})
        Table.rateLimits().recordResponse(Id, RequestRate{Limit}, Now);
    }
    auto ToEngine = std::vector<Duration>();
    auto ToService = std::vector<Duration>();
    for (auto Elapsed = Duration(); Elapsed < Seconds(12); Elapsed += Step) {
      auto &Table = *Gates[static_cast<std::size_t>(Elapsed / Step) % Count];
      auto At = Now + Elapsed;
      if (!Table.candidates({.m_Model = ModelId{"m"}}, At).empty() &&
          Table.admit(BackendId{"e"}, SendPurpose::Execute, At).m_Permit) {
        Table.begin(BackendId{"e"},
                    {.m_Attempt = AttemptId{fmt::format("{}", Elapsed.count())},
                     .m_SentAt = At});
        ToEngine.push_back(Elapsed);
      }
      auto Picked = Table.pickService("desk", true, {}, At);
      if (Picked &&
          Table.admit(Picked->m_Id, SendPurpose::Execute, At).m_Permit)
        ToService.push_back(Elapsed);
    }
    for (const auto &Times : {ToEngine, ToService}) {
      CHECK(mostInWindow(Times) <= allowed(Limit));
      CHECK(Times.size() >= 0.25 * Limit * 12);
    }
  }
}

// Guards against hosts that keep sending at full rate, or keep a server out of
// use, since only another host has heard from it.
TEST_CASE("fault: what a server states about its request rate to one host "
          "reaches the hosts of all data centres") {
  auto Scheduler = VirtualScheduler();
  auto Network = DatagramNetwork(Scheduler);
  Network.m_LossRate = 0.1;
  auto Hosts = std::vector<std::unique_ptr<ReportingHost>>();
  for (const auto *Name : {"a1", "a2", "a3", "b1", "b2", "b3"})
    Hosts.push_back(std::make_unique<ReportingHost>(Scheduler, Network, Name,
                                                    std::string(1, Name[0])));
  Scheduler.advance(Seconds(1));
  Hosts.back()->m_Limits.recordResponse(Limited, RequestRate{3},
                                        Scheduler.now());
  Scheduler.advance(Milliseconds(700));
  for (const auto &Host : Hosts)
    CHECK(Host->m_Limits.limit(Limited, Scheduler.now()) == RequestRate{3});
  Hosts.front()->m_Limits.recordResponse(Limited, std::nullopt,
                                         Scheduler.now());
  Scheduler.advance(Milliseconds(700));
  for (const auto &Host : Hosts)
    CHECK(!Host->m_Limits.limit(Limited, Scheduler.now()));
}

// Guards against hosts that keep using their shares of a rate after the others
// have divided these among themselves.
TEST_CASE("fault: all hosts together keep to the request rate that a server "
          "names while the store turns some of them away") {
  auto Test = RegisteredHostsTest();
  constexpr auto Count = 9U;
  for (auto Index = 0U; Index < Count; ++Index)
    Test.add();
  Test.run(Seconds(15));
  Test.clear();
  for (auto Index = 0U; Index < Count / 2; ++Index)
    Test.store(Index).setOutage(StoreFault::Refuse);
  Test.run(Seconds(30));
  for (auto Index = 0U; Index < Count / 2; ++Index)
    Test.store(Index).setOutage(StoreFault::None);
  Test.run(Seconds(30));
  CHECK(Test.most() <= allowed(RegisteredHostsTest::Limit));
  CHECK(Test.arrivals() >= 0.8 * RegisteredHostsTest::Limit *
                               RegisteredHostsTest::ServerCount * 60);
}

// Guards against limited servers that get no requests at all, since the
// registrations of all hosts are over.
TEST_CASE("fault: servers that name a request rate stay in use while the store "
          "is away for all hosts") {
  auto Test = RegisteredHostsTest();
  constexpr auto Count = 9U;
  for (auto Index = 0U; Index < Count; ++Index)
    Test.add();
  Test.run(Seconds(20));
  for (auto Index = 0U; Index < Count; ++Index)
    Test.store(Index).setOutage(StoreFault::Refuse);
  Test.run(Seconds(15));
  Test.clear();
  Test.run(Seconds(20));
  CHECK(Test.arrivals() >= 0.25 * RegisteredHostsTest::Limit *
                               RegisteredHostsTest::ServerCount * 20);
  for (auto Index = 0U; Index < Count; ++Index)
    Test.store(Index).setOutage(StoreFault::None);
  auto Before = Test.arrivals();
  Test.run(Seconds(6));
  CHECK(Test.arrivals() - Before >= 0.25 * RegisteredHostsTest::Limit *
                                        RegisteredHostsTest::ServerCount * 6);
  Test.run(Seconds(20));
  CHECK(Test.most() <= allowed(RegisteredHostsTest::Limit));
}

// Guards against hosts that use shares of a rate before the others have seen
// that they registered.
TEST_CASE("fault: all hosts together keep to the request rate that a server "
          "names when several of them start at the same time") {
  auto Test = RegisteredHostsTest();
  for (auto Index = 0; Index < 5; ++Index)
    Test.add();
  Test.run(Seconds(20));
  for (auto Index = 0; Index < 4; ++Index)
    Test.add();
  Test.run(Seconds(20));
  CHECK(Test.most() <= allowed(RegisteredHostsTest::Limit));
  CHECK(Test.arrivals() >= 0.6 * RegisteredHostsTest::Limit *
                               RegisteredHostsTest::ServerCount * 40);
}

// Guards against gates that divide a rate among those that they can reach,
// while the others do the same.
TEST_CASE("fault: gates on both sides of a network partition agree on who "
          "sends requests") {
  auto Scheduler = VirtualScheduler();
  auto Network = PeerNetwork(Scheduler);
  auto Gates = std::map<std::string, std::unique_ptr<GossipingGate>>();
  auto Listed = std::vector<ListedProcess>();
  for (const auto *Name : {"g1", "g2", "g3", "g4", "g5"}) {
    Gates[Name] = std::make_unique<GossipingGate>(Scheduler, Network, Name);
    Listed.push_back({.m_Process = ProcessId{std::string(Name) + "/gate"},
                      .m_Role = ProcessRole::Gate,
                      .m_Address = Name});
  }
  CHECK_FALSE(Gates["g1"]->m_Gossip.otherGates());
  auto CheckAll = [&] {
    for (const auto &Gate : Gates) {
      const auto &Name = Gate.first;
      CAPTURE(Name);
      auto Others = Gate.second->m_Gossip.otherGates();
      REQUIRE(Others);
      CHECK(Others->size() == 4);
      CHECK_FALSE(Others->contains(ProcessId{Name + "/gate"}));
    }
  };
  for (const auto &[Name, Gate] : Gates)
    Gate->m_Gossip.setListed(Listed);
  CheckAll();
  for (const auto *Left : {"g1", "g2"})
    for (const auto *Right : {"g3", "g4", "g5"})
      Network.cut(Left, Right);
  Scheduler.advance(Seconds(20));
  CheckAll();
  // A live gate that is not listed counts until it has ended.
  Network.heal();
  Listed.pop_back();
  auto &First = Gates["g1"]->m_Gossip;
  First.setListed(Listed);
  Scheduler.advance(Milliseconds(8500));
  CHECK(First.otherGates()->size() == 4);
  Gates["g5"]->m_Rounds.reset();
  Network.detach("g5");
  Scheduler.advance(Seconds(8));
  CHECK(First.otherGates()->size() == 3);
}

// Guards against a limit that is forgotten while a server is not listed, for
// example since its entry expired during an outage: all hosts would send to it
// without a limit when it is back.
TEST_CASE(
    "fault: a server that was not listed for a while keeps its limit, one "
    "that has restarted does not") {
  SUBCASE("at a host") {
    auto Test = ServingFixture();
    auto &Limits = Test.m_Core.rateLimits();
    auto Record = *Test.m_Core.directory().find(Limited);
    Limits.recordResponse(Limited, RequestRate{3}, Test.m_Scheduler.now());
    Test.m_Core.directory().remove(Limited);
    Test.m_Scheduler.advance(Seconds(4));
    Test.m_Core.directory().put(Record);
    CHECK(Limits.limit(Limited, Test.m_Scheduler.now()) == RequestRate{3});
    ++Record.m_StartedAt;
    Test.m_Core.directory().put(Record);
    CHECK(!Limits.limit(Limited, Test.m_Scheduler.now()));
  }
  SUBCASE("at a gate") {
    auto Table = EngineTable(Location{.m_Host = HostId{"g"}}, {});
    auto &Limits = Table.rateLimits();
    auto Now = MonotonicTime(Seconds(100));
    Table.updateList({{.m_Id = Limited, .m_Models = {ModelId{"m"}}}});
    Table.updateLoad(Limited, {.m_Incarnation = "1", .m_Slots = 8}, Now);
    Limits.recordResponse(Limited, RequestRate{3}, Now);
    Table.updateList({});
    Table.updateList({{.m_Id = Limited, .m_Models = {ModelId{"m"}}}});
    Table.updateLoad(Limited, {.m_Incarnation = "1", .m_Slots = 8}, Now);
    CHECK(Limits.limit(Limited, Now) == RequestRate{3});
    Table.updateLoad(Limited, {.m_Incarnation = "2", .m_Slots = 8}, Now);
    CHECK(!Limits.limit(Limited, Now));
  }
}
