#include "dotterel/gate/GateProcess.h"

#include "dotterel/admission/WaitingQueue.h"
#include "dotterel/base/Log.h"
#include "dotterel/config/ConfigurationStore.h"
#include "dotterel/fleet/Discovery.h"
#include "dotterel/gate/AdminHandler.h"
#include "dotterel/gate/CallerHandler.h"
#include "dotterel/gate/Dispatcher.h"
#include "dotterel/gate/GateServices.h"
#include "dotterel/gate/LossInspector.h"
#include "dotterel/io/KjLoop.h"
#include "dotterel/ledger/ClaimBook.h"
#include "dotterel/membership/Gossip.h"
#include "dotterel/rpc/PeerRpc.h"
#include "dotterel/settings/CommonSettings.h"
#include "dotterel/store/HttpStore.h"
#include "dotterel/supervision/FunctionComponent.h"
#include "dotterel/usage/ReplicaHolder.h"
#include "dotterel/usage/UsageRecorder.h"

#include <cstdlib>
#include <fmt/format.h>
#include <memory>
#include <optional>

namespace dotterel {

namespace {

constexpr auto DecisionsKept = std::size_t{20'000};
constexpr auto DemandTimeConstant = Seconds(10);
constexpr auto TickInterval = Milliseconds(100);
constexpr auto ReplicaSweepInterval = Seconds(2);
constexpr auto UsageDrainLimit = Seconds(10);
/// Announces that this gate leaves, before its RPC server stops.
constexpr auto LeaveAnnouncements = 2;

/// Everything in a gate, in the order in which it is built.
class GateProcess final : public PeerService {
public:
  explicit GateProcess(const Settings &Values);

  auto run() -> int;

  auto onExchange(const PeerView &View) -> PeerView override {
    return m_Gossip.answer(View);
  }
  auto onFetchConfiguration(const std::vector<std::uint64_t> &Known)
      -> ConfigurationDelta override {
    return m_Configuration.delta(Known);
  }
  auto onClaim(const Claim &Request, std::function<void(ClaimReply)> Done)
      -> void override {
    m_Claims.claimHere(Request, std::move(Done));
  }
  auto onOutcome(const ClaimOutcome &Outcome, std::function<void(bool)> Done)
      -> void override {
    m_Claims.recordHere(Outcome, std::move(Done));
  }
  auto onUsage(const UsageSegment &Segment) -> void override {
    m_Replicas.keep(Segment);
  }

private:
  auto addComponents() -> void;
  auto addRpc() -> void;
  auto addReaders() -> void;
  auto addUsage() -> void;
  auto addServers() -> void;
  auto readConfiguration() -> void;
  auto tick() -> void;
  auto copyUsage(const UsageSegment &Segment, std::function<void(bool)> Done)
      -> void;
  auto replicaTarget() const -> std::string;
  auto drainCallers(const std::function<void()> &Done) -> void;
  auto drainUsage(std::function<void()> Done) -> void;
  auto leave(std::function<void()> Done, int Left) -> void;
  auto shutDown() -> void;
  auto serverOptions(const char *Address) const -> HttpServerOptions;

  const Settings &m_Values;
  EventLoop m_Loop;
  KjLoop m_Kj{m_Loop};
  Random m_Random{systemSeed()};
  std::unique_ptr<HttpClient> m_Client = makeHttpClient(m_Loop);
  std::unique_ptr<KeyValueStore> m_Store;
  std::unique_ptr<PeerCaller> m_Peers = makePeerCaller(m_Kj, {});
  MemberTable m_Members;
  ConfigurationHolder m_Configuration;
  FreshnessTracker m_Freshness;
  CrashRegistry m_Crashes{CrashRegistryOptions{}};
  ConfigurationStore m_ConfigurationStore;
  Gossip m_Gossip;
  EngineTable m_Engines;
  Discovery m_Discovery;
  std::unique_ptr<WaitingQueue> m_Queue;
  std::unique_ptr<RoutingPolicy> m_Routing;
  Dispatcher m_Dispatcher;
  LossInspector m_Losses;
  ClaimBook m_Claims;
  UsageRecorder m_Usage;
  ReplicaHolder m_Replicas;
  RetryBudget m_OrganisationRetries{RetryBudgetOptions{}};
  RetryBudget m_BackendRetries{RetryBudgetOptions{}};
  GateMetrics m_Metrics;
  DecisionLog m_Decisions{DecisionsKept};
  DemandMeter m_Demand{DemandTimeConstant};
  GateServices m_Services;
  CallerHandler m_Callers;
  AdminHandler m_Admin;
  std::optional<PeerServer> m_PeerServer;
  std::optional<HttpServer> m_CallerServer;
  std::optional<HttpServer> m_AdminServer;
  std::optional<RepeatingTimer> m_ConfigTimer;
  std::optional<RepeatingTimer> m_GossipTimer;
  std::optional<RepeatingTimer> m_TickTimer;
  std::optional<RepeatingTimer> m_ReplicaTimer;
  bool m_Reading = false;
  bool m_ShuttingDown = false;
  bool m_Failed = false;
  Supervisor m_Tree;
};

auto segmentOptions(const Settings &Values) -> SegmentWriterOptions {
  return {.m_WindowLength = Seconds(Values.integer("usage-window-seconds"))};
}

auto limitsFrom(const Settings &Values) -> GateLimits {
  return {.m_StallTimeout = Values.milliseconds("stall-timeout-ms"),
          .m_RequestTimeout = Values.milliseconds("request-timeout-ms")};
}

GateProcess::GateProcess(const Settings &Values)
    : m_Values(Values),
      m_Store(makeHttpStore(*m_Client, {.m_BaseUrl = Values.text("store-url"),
                                        .m_CallTimeout = Values.milliseconds(
                                            "store-timeout-ms")})),
      m_Members(selfFrom(Values, ProcessRole::Gate, m_Loop.wallNow()), {}),
      m_Freshness({.m_Bound = Values.milliseconds("freshness-bound-ms")}),
      m_ConfigurationStore(m_Loop, *m_Store, m_Configuration, m_Freshness),
      m_Gossip(
          m_Loop, m_Random, m_Members, *m_Peers, m_Configuration, m_Freshness,
          m_Crashes,
          {.m_SelfReadAge = Values.milliseconds("freshness-bound-ms") / 2}),
      m_Engines(locationFrom(Values), {}),
      m_Discovery(m_Loop, *m_Client, m_Engines,
                  {.m_PlatformUrl = Values.text("platform-url"),
                   .m_ListInterval = Values.milliseconds("platform-poll-ms"),
                   .m_LoadInterval = Values.milliseconds("load-poll-ms")}),
      m_Queue(makeWaitingQueue(Values.text("waiting-queue"), {})),
      m_Routing(makeRoutingPolicy(Values.text("routing-policy"))),
      m_Dispatcher(m_Loop, m_Engines, *m_Queue),
      m_Losses(m_Loop, *m_Client, m_Engines, m_Crashes,
               [this](std::function<void()> Done) {
                 m_Gossip.announce(std::move(Done));
               }),
      m_Claims(m_Loop, *m_Store, m_Members, *m_Peers, {}),
      m_Usage(
          m_Loop, *m_Store,
          IncarnationId{
              fmt::format("{}-{}", Values.text("host"), m_Random.hex())},
          [this](const UsageSegment &Segment, std::function<void(bool)> Done) {
            copyUsage(Segment, std::move(Done));
          },
          {.m_Writer = segmentOptions(Values),
           .m_FlushInterval = Values.milliseconds("usage-flush-ms")}),
      m_Replicas(m_Loop, *m_Store,
                 {.m_Writer = segmentOptions(Values),
                  .m_WriteAfter =
                      Values.milliseconds("usage-flush-ms") * 2 + Seconds(2)}),
      m_Services{.m_Scheduler = m_Loop,
                 .m_Random = m_Random,
                 .m_Client = *m_Client,
                 .m_Configuration = m_Configuration,
                 .m_Freshness = m_Freshness,
                 .m_Members = m_Members,
                 .m_Listed = m_Gossip.listed(),
                 .m_Engines = m_Engines,
                 .m_Routing = *m_Routing,
                 .m_Dispatcher = m_Dispatcher,
                 .m_Losses = m_Losses,
                 .m_Claims = m_Claims,
                 .m_Usage = m_Usage,
                 .m_Crashes = m_Crashes,
                 .m_OrganisationRetries = m_OrganisationRetries,
                 .m_BackendRetries = m_BackendRetries,
                 .m_Metrics = m_Metrics,
                 .m_Decisions = m_Decisions,
                 .m_Demand = m_Demand,
                 .m_Limits = limitsFrom(Values),
                 .m_KeySecret = Values.text("key-secret")},
      m_Callers(m_Services),
      m_Admin(m_Services, m_ConfigurationStore, Values.text("operator-token"),
              [this] { m_Gossip.announce([] {}); }),
      m_Tree(m_Loop, "gate", {}) {
  m_Configuration.onChange([this] {
    m_Engines.setDrained(m_Configuration.current()->m_Drained);
    m_Callers.onConfigurationChange();
  });
  m_Gossip.setLeavingBackends([this] { return m_Engines.leaving(); },
                              [this](const std::vector<BackendId> &Leaving) {
                                for (const auto &Id : Leaving)
                                  m_Engines.markLeaving(Id);
                              });
  m_Discovery.onHosts([this](std::vector<ListedProcess> Listed) {
    m_Gossip.setListed(std::move(Listed));
  });
  m_Discovery.onLoad([this] { m_Dispatcher.pumpSoon(); });
  addComponents();
}

auto GateProcess::addComponents() -> void {
  addRpc();
  addReaders();
  addUsage();
  addServers();
  m_Tree.onEscalation([this](const std::string &Name) {
    logError("gate.failed", {{"component", Name}});
    m_Failed = true;
    m_Loop.stop();
  });
}

auto GateProcess::addRpc() -> void {
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "peer-server",
      .m_Start =
          [this] {
            m_PeerServer.emplace(
                m_Kj, *this, SocketAddress::parse(m_Values.text("rpc-listen")));
            m_Members.self().m_Address = m_PeerServer->address().text();
          },
      .m_Reset = [this] { m_PeerServer.reset(); }}));
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "gossip",
      .m_Start =
          [this] {
            m_GossipTimer.emplace(m_Loop,
                                  m_Values.milliseconds("gossip-interval-ms"),
                                  [this] { m_Gossip.round(); });
          },
      .m_Reset = [this] { m_GossipTimer.reset(); },
      .m_Stop =
          [this](std::function<void()> Done) {
            leave(std::move(Done), LeaveAnnouncements);
          }}));
}

auto GateProcess::addReaders() -> void {
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "configuration-reader",
      .m_Start =
          [this] {
            m_ConfigTimer.emplace(m_Loop,
                                  m_Values.milliseconds("config-poll-ms"),
                                  [this] { readConfiguration(); });
            readConfiguration();
          },
      .m_Reset = [this] { m_ConfigTimer.reset(); }}));
  m_Tree.add(std::make_unique<FunctionComponent>(
      FunctionComponentOptions{.m_Name = "discovery",
                               .m_Start = [this] { m_Discovery.start(); },
                               .m_Reset = [this] { m_Discovery.stop(); }}));
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "dispatcher",
      .m_Start =
          [this] {
            m_TickTimer.emplace(m_Loop, TickInterval, [this] { tick(); });
          },
      .m_Reset = [this] { m_TickTimer.reset(); }}));
}

auto GateProcess::addUsage() -> void {
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "usage",
      .m_Start =
          [this] {
            m_ReplicaTimer.emplace(m_Loop, ReplicaSweepInterval,
                                   [this] { m_Replicas.writeOld(); });
          },
      .m_Reset = [this] { m_ReplicaTimer.reset(); },
      .m_Stop =
          [this](std::function<void()> Done) {
            drainUsage(std::move(Done));
          }}));
}

auto GateProcess::serverOptions(const char *Address) const
    -> HttpServerOptions {
  return {.m_Address = SocketAddress::parse(m_Values.text(Address)),
          .m_MaximumBodyBytes =
              static_cast<std::size_t>(m_Values.integer("max-body-bytes")),
          .m_MaximumConnections =
              static_cast<unsigned>(m_Values.integer("max-connections")),
          .m_IdleTimeoutSeconds =
              static_cast<unsigned>(m_Values.integer("idle-timeout-seconds"))};
}

auto GateProcess::addServers() -> void {
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "operator-server",
      .m_Start =
          [this] {
            m_AdminServer.emplace(m_Loop, m_Admin,
                                  serverOptions("admin-listen"));
          },
      .m_Reset = [this] { m_AdminServer.reset(); }}));
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "caller-server",
      .m_Start =
          [this] {
            m_CallerServer.emplace(m_Loop, m_Callers, serverOptions("listen"));
            logInfo("gate.listening",
                    {{"callers", m_CallerServer->address().text()},
                     {"operators", m_AdminServer->address().text()},
                     {"rpc", m_Members.self().m_Address}});
          },
      .m_Reset = [this] { m_CallerServer.reset(); },
      .m_Stop =
          [this](const std::function<void()> &Done) { drainCallers(Done); }}));
}

auto GateProcess::readConfiguration() -> void {
  if (m_Reading || !m_Gossip.readsStore())
    return;
  m_Reading = true;
  m_ConfigurationStore.refresh([this](bool) { m_Reading = false; });
}

auto GateProcess::tick() -> void {
  m_Demand.update(m_Loop.now());
  m_Members.self().m_PrefillTokensPerSecond =
      static_cast<std::uint64_t>(m_Demand.prefill());
  m_Members.self().m_DecodeTokensPerSecond =
      static_cast<std::uint64_t>(m_Demand.decode());
  m_Dispatcher.pump();
  m_Metrics.setWaiting(static_cast<double>(m_Dispatcher.waiting()));
  m_Metrics.setConfigRevision(
      static_cast<double>(m_Configuration.revision().number()));
  auto Age = m_Freshness.age(m_Loop.now());
  if (Age != Duration::max())
    m_Metrics.setEvidenceAge(std::chrono::duration<double>(Age).count());
  m_Metrics.setUncopiedUsage(static_cast<double>(m_Usage.uncopied()));
}

auto GateProcess::replicaTarget() const -> std::string {
  const auto &Self = m_Members.self();
  auto Others = std::vector<Member>();
  for (auto &Item : m_Members.live(m_Loop.now()))
    if (Item.m_Role == ProcessRole::Gate && !Item.m_Leaving)
      Others.push_back(std::move(Item));
  if (Others.empty())
    return {};
  auto Ordered = rendezvousOrder("usage/" + Self.m_Process.text(), Others);
  // A copy in another data centre survives the loss of this one.
  for (const auto &Item : Ordered)
    if (Item.m_Location.m_DataCentre != Self.m_Location.m_DataCentre)
      return Item.m_Address;
  return Ordered.front().m_Address;
}

auto GateProcess::copyUsage(const UsageSegment &Segment,
                            std::function<void(bool)> Done) -> void {
  auto Target = replicaTarget();
  if (Target.empty()) {
    m_Loop.schedule(Milliseconds(50),
                    [Done = std::move(Done)] { Done(false); });
    return;
  }
  m_Peers->replicateUsage(
      Target, Segment,
      [Done = std::move(Done)](const std::optional<bool> &Arrived) {
        Done(Arrived.value_or(false));
      });
}

auto GateProcess::drainCallers(const std::function<void()> &Done) -> void {
  m_Callers.leave();
  logInfo("gate.draining", {{"active", m_Callers.active()}});
  // Connections still arrive until the balancer has noticed.
  m_Loop.schedule(m_Values.milliseconds("drain-lag-ms"), [this, Done] {
    m_CallerServer->stopListening();
    auto Told = std::make_shared<bool>(false);
    auto Finish = [this, Told, Done] {
      if (std::exchange(*Told, true))
        return;
      logInfo("gate.drained", {{"unfinished", m_Callers.active()}});
      // One more turn lets the last answers leave.
      m_Loop.schedule(TickInterval, Done);
    };
    m_Callers.onIdle(Finish);
    m_Loop.schedule(m_Values.milliseconds("drain-timeout-ms"), Finish);
  });
}

auto GateProcess::drainUsage(std::function<void()> Done) -> void {
  auto Told = std::make_shared<bool>(false);
  auto Finish = [Told, Done = std::move(Done)] {
    if (!std::exchange(*Told, true))
      Done();
  };
  m_Usage.drain([this, Finish] { m_Replicas.drain(Finish); });
  // With the store down, copies on other hosts are what remains.
  m_Loop.schedule(UsageDrainLimit, [this, Told, Finish] {
    if (!*Told)
      logError("usage.undrained", {{"segments", m_Usage.unconfirmed()},
                                   {"copies", m_Replicas.held()}});
    Finish();
  });
}

auto GateProcess::leave(std::function<void()> Done, int Left) -> void {
  m_Members.self().m_Leaving = true;
  m_Members.beat(m_Loop.now());
  m_Gossip.announce([this, Done = std::move(Done), Left]() mutable {
    if (Left > 1)
      leave(std::move(Done), Left - 1);
    else
      Done();
  });
}

auto GateProcess::shutDown() -> void {
  if (std::exchange(m_ShuttingDown, true))
    return;
  m_Tree.stop([this] {
    logInfo("gate.stopped", {});
    m_Loop.stop();
  });
}

auto GateProcess::run() -> int {
  m_Loop.onTermination([this] { shutDown(); });
  m_Tree.start();
  m_Loop.run();
  return m_Failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

auto gateSettings() -> Settings {
  auto Declared = commonSettings();
  auto Own = std::vector<Setting>{
      {.m_Name = "listen",
       .m_Kind = SettingKind::Address,
       .m_Default = "127.0.0.1:8080",
       .m_Help = "Address for callers."},
      {.m_Name = "admin-listen",
       .m_Kind = SettingKind::Address,
       .m_Default = "127.0.0.1:0",
       .m_Help = "Address for operators. Port 0: any."},
      {.m_Name = "key-secret",
       .m_Help = "Secret under which keys are digested; the same everywhere.",
       .m_Required = true,
       .m_Secret = true},
      {.m_Name = "operator-token",
       .m_Help = "Token that operators send.",
       .m_Required = true,
       .m_Secret = true},
      {.m_Name = "routing-policy",
       .m_Kind = SettingKind::Choice,
       .m_Default = "expected-first-token",
       .m_Help = "How an engine is chosen.",
       .m_Choices = routingPolicyNames()},
      {.m_Name = "waiting-queue",
       .m_Kind = SettingKind::Choice,
       .m_Default = "fair",
       .m_Help = "Order of requests that wait.",
       .m_Choices = waitingQueueNames()},
      {.m_Name = "usage-flush-ms",
       .m_Kind = SettingKind::Integer,
       .m_Default = "5000",
       .m_Help = "Pause between writes of usage to the store, in "
                 "milliseconds.",
       .m_Least = 100,
       .m_Most = 60'000},
      {.m_Name = "max-body-bytes",
       .m_Kind = SettingKind::Integer,
       .m_Default = "8388608",
       .m_Help = "Largest body of a request, in bytes.",
       .m_Least = 1024,
       .m_Most = 1 << 28},
      {.m_Name = "max-connections",
       .m_Kind = SettingKind::Integer,
       .m_Default = "2000",
       .m_Help = "Open connections of callers at most.",
       .m_Least = 1,
       .m_Most = 100'000},
      {.m_Name = "idle-timeout-seconds",
       .m_Kind = SettingKind::Integer,
       .m_Default = "30",
       .m_Help = "A connection without progress is closed after this time, "
                 "in seconds.",
       .m_Least = 1,
       .m_Most = 3600},
      {.m_Name = "stall-timeout-ms",
       .m_Kind = SettingKind::Integer,
       .m_Default = "15000",
       .m_Help = "An engine's stream without progress is given up after this "
                 "time, in milliseconds.",
       .m_Least = 100,
       .m_Most = 600'000},
      {.m_Name = "request-timeout-ms",
       .m_Kind = SettingKind::Integer,
       .m_Default = "600000",
       .m_Help = "Longest time on an engine, in milliseconds.",
       .m_Least = 100,
       .m_Most = 3'600'000},
      {.m_Name = "drain-lag-ms",
       .m_Kind = SettingKind::Integer,
       .m_Default = "5000",
       .m_Help = "After a stop is asked for, callers are taken in for this "
                 "time, until the balancer has noticed, in milliseconds.",
       .m_Least = 0,
       .m_Most = 120'000},
      {.m_Name = "drain-timeout-ms",
       .m_Kind = SettingKind::Integer,
       .m_Default = "600000",
       .m_Help = "Longest wait for requests in progress when stopping, in "
                 "milliseconds.",
       .m_Least = 0,
       .m_Most = 3'600'000},
  };
  Declared.insert(Declared.end(), Own.begin(), Own.end());
  return {"dotterel-gate",
          "Serves callers: checks keys, admits, routes and counts usage.",
          std::move(Declared)};
}

auto runGate(const Settings &Values) -> int {
  setLogLevel(Values.text("log-level"));
  auto Process = GateProcess(Values);
  return Process.run();
}

} // namespace dotterel
