#include "dotterel/gate/GateProcess.h"

#include "dotterel/admission/WaitingQueue.h"
#include "dotterel/base/Log.h"
#include "dotterel/gate/AdminHandler.h"
#include "dotterel/gate/BackendLossDetector.h"
#include "dotterel/gate/CallerHandler.h"
#include "dotterel/gate/Dispatcher.h"
#include "dotterel/gate/GateServices.h"
#include "dotterel/ledger/ClaimBook.h"
#include "dotterel/process/ProcessCore.h"
#include "dotterel/supervision/FunctionComponent.h"
#include "dotterel/usage/ReplicaHolder.h"
#include "dotterel/usage/UsageRecorder.h"

#include <fmt/format.h>
#include <memory>
#include <optional>
#include <utility>

namespace dotterel {

namespace {

constexpr auto DecisionsKept = std::size_t{20'000};
constexpr auto DemandTimeConstant = Seconds(10);
constexpr auto TickInterval = Milliseconds(100);
constexpr auto ReplicaSweepInterval = Seconds(2);
constexpr auto UsageDrainLimit = Seconds(10);

/// Everything in a gate, in the order in which it is built.
class GateProcess final : public PeerService {
public:
  explicit GateProcess(const Settings &Values);

  auto run() -> int { return m_Core.run(m_Tree); }

  auto onExchange(const PeerView &View) -> PeerView override {
    return m_Core.m_Gossip.answer(View);
  }
  auto onFetchConfiguration(const std::vector<std::uint64_t> &Known)
      -> ConfigurationDelta override {
    return m_Core.m_Configuration.delta(Known);
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
  auto addDispatcher() -> void;
  auto addUsage() -> void;
  auto addServers() -> void;
  auto tick() -> void;
  auto copyUsage(const UsageSegment &Segment, std::function<void(bool)> Done)
      -> void;
  auto replicaTarget() const -> std::string;
  auto ownsForAlone(const BackendId &Id) const -> bool;
  auto drainCallers(const std::function<void()> &Done) -> void;
  auto drainUsage(std::function<void()> Done) -> void;
  auto serverOptions(const char *Address) const -> HttpServerOptions;

  const Settings &m_Values;
  ProcessCore m_Core;
  EventLoop &m_Loop = m_Core.m_Loop;
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
  std::optional<HttpServer> m_CallerServer;
  std::optional<HttpServer> m_AdminServer;
  std::optional<RepeatingTimer> m_TickTimer;
  std::optional<RepeatingTimer> m_ReplicaTimer;
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
      m_Core(Values, ProcessRole::Gate, *this,
             {.m_ReportLag = Values.milliseconds("load-report-lag-ms")}),
      m_Queue(makeWaitingQueue(
          Values.text("waiting-queue"),
          {.m_Utilisation =
               [this] { return m_Core.m_Engines.utilisation(m_Loop.now()); }})),
      m_Routing(makeRoutingPolicy(Values.text("routing-policy"))),
      m_Dispatcher(m_Loop, m_Core.m_Engines, *m_Queue),
      m_Losses(m_Loop, *m_Core.m_Client, m_Core.m_Engines, m_Core.m_Crashes,
               [this](std::function<void()> Done) {
                 m_Core.m_Gossip.announce(std::move(Done));
               }),
      m_Claims(m_Loop, *m_Core.m_Store, m_Core.m_Members, *m_Core.m_Peers, {}),
      m_Usage(
          m_Loop, *m_Core.m_Store,
          IncarnationId{
              fmt::format("{}-{}", Values.text("host"), m_Core.m_Random.hex())},
          [this](const UsageSegment &Segment, std::function<void(bool)> Done) {
            copyUsage(Segment, std::move(Done));
          },
          {.m_Writer = segmentOptions(Values),
           .m_FlushInterval = Values.milliseconds("usage-flush-ms")}),
      m_Replicas(m_Loop, *m_Core.m_Store,
                 {.m_Writer = segmentOptions(Values),
                  .m_WriteAfter =
                      Values.milliseconds("usage-flush-ms") * 2 + Seconds(2)}),
      m_Services{.m_Scheduler = m_Loop,
                 .m_Random = m_Core.m_Random,
                 .m_Client = *m_Core.m_Client,
                 .m_Configuration = m_Core.m_Configuration,
                 .m_Freshness = m_Core.m_Freshness,
                 .m_Members = m_Core.m_Members,
                 .m_Listed = m_Core.m_Gossip.listed(),
                 .m_Engines = m_Core.m_Engines,
                 .m_Routing = *m_Routing,
                 .m_Dispatcher = m_Dispatcher,
                 .m_Losses = m_Losses,
                 .m_Claims = m_Claims,
                 .m_Usage = m_Usage,
                 .m_Crashes = m_Core.m_Crashes,
                 .m_OrganisationRetries = m_OrganisationRetries,
                 .m_BackendRetries = m_BackendRetries,
                 .m_Metrics = m_Metrics,
                 .m_Decisions = m_Decisions,
                 .m_Demand = m_Demand,
                 .m_Limits = limitsFrom(Values),
                 .m_KeySecret = Values.text("key-secret")},
      m_Callers(m_Services),
      m_Admin(m_Services, m_Core.m_ConfigurationStore,
              Values.text("operator-token"),
              [this] { m_Core.m_Gossip.announce([] {}); }),
      m_Tree(m_Loop, "gate", {}) {
  m_Core.m_Configuration.onChange([this] {
    m_Core.m_Engines.setDrained(
        m_Core.m_Configuration.current()->withoutNewWork());
    m_Callers.onConfigurationChange();
  });
  m_Core.m_Gossip.setLeavingBackends(
      [this] { return m_Core.m_Engines.leaving(); },
      [this](const std::vector<BackendId> &Leaving) {
        for (const auto &Id : Leaving)
          m_Core.m_Engines.markLeaving(Id);
      });
  m_Core.m_Discovery.onLoad([this] { m_Dispatcher.pumpSoon(); });
  m_Core.m_Engines.setAloneOwner(
      [this](const BackendId &Id) { return ownsForAlone(Id); });
  addComponents();
}

auto GateProcess::addComponents() -> void {
  m_Core.addPeers(m_Tree);
  m_Core.addReaders(m_Tree);
  addDispatcher();
  addUsage();
  addServers();
}

auto GateProcess::addDispatcher() -> void {
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
                     {"rpc", m_Core.m_Members.self().m_Address}});
          },
      .m_Reset = [this] { m_CallerServer.reset(); },
      .m_Stop =
          [this](const std::function<void()> &Done) { drainCallers(Done); }}));
}

auto GateProcess::tick() -> void {
  m_Demand.update(m_Loop.now());
  m_Core.m_Members.self().m_PrefillTokensPerSecond =
      static_cast<std::uint64_t>(m_Demand.prefill());
  m_Core.m_Members.self().m_DecodeTokensPerSecond =
      static_cast<std::uint64_t>(m_Demand.decode());
  m_Dispatcher.pump();
  m_Metrics.setWaiting(static_cast<double>(m_Dispatcher.waiting()));
  m_Metrics.setConfigRevision(
      static_cast<double>(m_Core.m_Configuration.revision().number()));
  auto Age = m_Core.m_Freshness.age(m_Loop.now());
  if (Age != Duration::max())
    m_Metrics.setEvidenceAge(std::chrono::duration<double>(Age).count());
  m_Metrics.setUncopiedUsage(static_cast<double>(m_Usage.uncopied()));
}

auto GateProcess::replicaTarget() const -> std::string {
  const auto &Self = m_Core.m_Members.self();
  auto Others = m_Core.m_Members.serving(ProcessRole::Gate, m_Loop.now());
  if (Others.empty())
    return {};
  auto Ordered = rendezvousOrder("usage/" + Self.m_Process.text(), Others);
  // A copy in another data centre survives the loss of this one.
  for (const auto &Item : Ordered)
    if (Item.m_Location.m_DataCentre != Self.m_Location.m_DataCentre)
      return Item.m_Address;
  return Ordered.front().m_Address;
}

auto GateProcess::ownsForAlone(const BackendId &Id) const -> bool {
  const auto &Self = m_Core.m_Members.self();
  auto Gates = m_Core.m_Members.serving(ProcessRole::Gate, m_Loop.now());
  Gates.push_back(Self);
  auto Ordered = rendezvousOrder("alone/" + Id.text(), Gates);
  return Ordered.front().m_Process == Self.m_Process;
}

auto GateProcess::copyUsage(const UsageSegment &Segment,
                            std::function<void(bool)> Done) -> void {
  auto Target = replicaTarget();
  if (Target.empty()) {
    m_Loop.schedule(Milliseconds(50),
                    [Done = std::move(Done)] { Done(false); });
    return;
  }
  m_Core.m_Peers->replicateUsage(
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

} // namespace

auto runGate(const Settings &Values) -> int {
  setLogLevel(Values.text("log-level"));
  auto Process = GateProcess(Values);
  return Process.run();
}

} // namespace dotterel
