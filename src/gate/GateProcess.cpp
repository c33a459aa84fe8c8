#include "dotterel/gate/GateProcess.h"

#include "dotterel/admission/WaitingQueue.h"
#include "dotterel/base/Log.h"
#include "dotterel/gate/AdminHandler.h"
#include "dotterel/gate/BackendLossDetector.h"
#include "dotterel/gate/CallerHandler.h"
#include "dotterel/gate/Dispatcher.h"
#include "dotterel/gate/GateServices.h"
#include "dotterel/io/MemoryBudget.h"
#include "dotterel/ledger/ClaimRouter.h"
#include "dotterel/poison/CrashEvidenceStore.h"
#include "dotterel/process/ProcessCore.h"
#include "dotterel/supervision/FunctionComponent.h"
#include "dotterel/usage/SegmentReplicas.h"
#include "dotterel/usage/UsageRecorder.h"

#include <fmt/format.h>
#include <memory>
#include <optional>
#include <utility>

namespace dotterel {

namespace {

constexpr auto MaxDecisions = std::size_t{20'000};
constexpr auto DemandTimeConstant = Seconds(10);
constexpr auto TickInterval = Milliseconds(100);
/// Evidence in memory is kept until an operator releases it.
constexpr auto StoredEvidenceLifetime = Seconds(24 * 3600);
/// Interval of the updates of the gates among which request rates are shared.
constexpr auto SenderInterval = Seconds(1);
constexpr auto ReplicaSweepInterval = Seconds(2);
constexpr auto UsageDrainTimeout = Seconds(10);

/// All components of a gate, declared in the order of their construction.
class GateProcess final : public PeerService {
public:
  explicit GateProcess(const Settings &Values);

  auto run() -> int { return m_Core.run(m_Supervisor); }

  auto onExchange(const PeerView &View) -> PeerView override {
    return m_Core.m_Gossip.handleExchange(View);
  }
  auto onFetchConfiguration(const std::vector<std::uint64_t> &Known)
      -> ConfigurationDelta override {
    return m_Core.m_Configuration.delta(Known);
  }
  auto onClaim(const Claim &Request, std::function<void(ClaimReply)> Done)
      -> void override {
    m_Claims.claimLocally(Request, std::move(Done));
  }
  auto onOutcome(const ClaimOutcome &Outcome, std::function<void(bool)> Done)
      -> void override {
    m_Claims.recordLocally(Outcome, std::move(Done));
  }
  auto onUsage(const UsageSegment &Segment) -> void override {
    m_Replicas.update(Segment);
  }

private:
  auto addComponents() -> void;
  auto addDispatcher() -> void;
  auto addUsage() -> void;
  auto addServers() -> void;
  auto tick() -> void;
  /// Has this gate's evidence stored, since it has observed a loss.
  auto storeCrashEvidence() -> void;
  /// Tells the engine table which gates send requests to the servers.
  auto updateSenders() -> void;
  auto sendUsageReplica(const UsageSegment &Segment,
                        std::function<void(bool)> Done) -> void;
  auto usageReplicaAddress() const -> std::string;
  auto mayRunAloneOn(const BackendId &Id) const -> bool;
  auto drainCallerRequests(const std::function<void()> &Done) -> void;
  auto drainUsage(std::function<void()> Done) -> void;
  auto serverOptions(const char *Address) const -> HttpServerOptions;

  const Settings &m_Values;
  ProcessCore m_Core;
  EventLoop &m_Loop = m_Core.m_Loop;
  std::unique_ptr<WaitingQueue> m_Queue;
  std::unique_ptr<RoutingPolicy> m_Routing;
  Dispatcher m_Dispatcher;
  CrashEvidenceStore m_CrashStore;
  BackendLossDetector m_LossDetector;
  ClaimRouter m_Claims;
  UsageRecorder m_Usage;
  SegmentReplicas m_Replicas;
  RetryBudget m_OrganisationRetries{RetryBudgetOptions{}};
  RetryBudget m_BackendRetries{RetryBudgetOptions{}};
  GateMetrics m_Metrics;
  DecisionLog m_Decisions{MaxDecisions};
  DemandMeter m_Demand{DemandTimeConstant};
  GateServices m_Services;
  CallerHandler m_CallerHandler;
  AdminHandler m_AdminHandler;
  MemoryBudget m_CallerMemory;
  std::optional<HttpServer> m_CallerServer;
  std::optional<HttpServer> m_AdminServer;
  std::optional<RepeatingTimer> m_TickTimer;
  std::optional<RepeatingTimer> m_SenderTimer;
  std::optional<RepeatingTimer> m_ReplicaTimer;
  Supervisor m_Supervisor;
};

auto segmentOptions(const Settings &Values) -> SegmentWriterOptions {
  return {.m_WindowLength = Seconds(Values.integer("usage-window-seconds"))};
}

auto memoryMegabytes(const Settings &Values) -> std::size_t {
  auto Set = static_cast<std::size_t>(Values.integer("memory-mb"));
  return Set > 0 ? Set : systemMemoryMegabytes();
}

auto parseGateLimits(const Settings &Values) -> GateLimits {
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
      m_CrashStore(m_Loop, *m_Core.m_Store, m_Core.m_Random, m_Core.m_Crashes,
                   Values.text("host"),
                   {.m_Merge =
                        [this](const std::vector<CrashReport> &Reports) {
                          for (const auto &Report : Reports)
                            m_Core.m_Crashes.merge(Report, m_Loop.now());
                        },
                    .m_WriterCount =
                        [this] {
                          auto Gates = m_Core.m_Gossip.otherGates();
                          return Gates ? Gates->size() + 1 : 1;
                        }},
                   {.m_EvidenceLifetime = StoredEvidenceLifetime}),
      m_LossDetector(m_Loop, m_Core.m_Backends, m_Core.m_Engines,
                     m_Core.m_Crashes,
                     [this](std::function<void()> Done) {
                       storeCrashEvidence();
                       m_Core.m_Gossip.announce(std::move(Done));
                     }),
      m_Claims(m_Loop, *m_Core.m_Store, m_Core.m_Members, *m_Core.m_Peers, {}),
      m_Usage(
          m_Loop, *m_Core.m_Store,
          IncarnationId{
              fmt::format("{}-{}", Values.text("host"), m_Core.m_Random.hex())},
          [this](const UsageSegment &Segment, std::function<void(bool)> Done) {
            sendUsageReplica(Segment, std::move(Done));
          },
          {.m_Writer = segmentOptions(Values),
           .m_FlushInterval = Values.milliseconds("usage-flush-ms")}),
      m_Replicas(m_Loop, *m_Core.m_Store,
                 {.m_Writer = segmentOptions(Values),
                  .m_WriteAfter =
                      Values.milliseconds("usage-flush-ms") * 2 + Seconds(2)}),
      m_Services{.m_Scheduler = m_Loop,
                 .m_Random = m_Core.m_Random,
                 .m_Backends = m_Core.m_Backends,
                 .m_Configuration = m_Core.m_Configuration,
                 .m_Freshness = m_Core.m_Freshness,
                 .m_Members = m_Core.m_Members,
                 .m_ListedProcesses = m_Core.m_Gossip.listed(),
                 .m_Engines = m_Core.m_Engines,
                 .m_Routing = *m_Routing,
                 .m_Dispatcher = m_Dispatcher,
                 .m_LossDetector = m_LossDetector,
                 .m_Claims = m_Claims,
                 .m_Usage = m_Usage,
                 .m_Crashes = m_Core.m_Crashes,
                 .m_OnCrashEvidence =
                     [this](const std::vector<RequestDigest> &Digests) {
                       m_CrashStore.observed(Digests);
                     },
                 .m_OrganisationRetries = m_OrganisationRetries,
                 .m_BackendRetries = m_BackendRetries,
                 .m_Metrics = m_Metrics,
                 .m_Decisions = m_Decisions,
                 .m_Demand = m_Demand,
                 .m_Limits = parseGateLimits(Values),
                 .m_KeySecret = Values.text("key-secret")},
      m_CallerHandler(m_Services),
      m_AdminHandler(m_Services, m_Core.m_ConfigurationStore,
                     Values.text("operator-token"),
                     [this] { m_Core.m_Gossip.announce([] {}); }),
      m_CallerMemory(memoryBudgetFor(memoryMegabytes(Values))),
      m_Supervisor(m_Loop, "gate", {}) {
  m_Core.m_Backends.onDenied(
      [this](SendDenial Denial) { m_Metrics.countSendDenial(Denial); });
  m_Core.m_Configuration.onChange([this] {
    m_Core.m_Engines.setDrained(
        m_Core.m_Configuration.current()->backendsWithoutNewWork());
    m_CallerHandler.onConfigurationChange();
  });
  m_Core.m_Gossip.onCrashEvidence(
      [this](RequestDigest Digest) { m_CrashStore.merged(Digest); });
  m_Core.m_Gossip.setLeavingBackends(
      [this] { return m_Core.m_Engines.leaving(); },
      [this](const std::vector<BackendId> &Leaving) {
        for (const auto &Id : Leaving)
          m_Core.m_Engines.markLeaving(Id);
      });
  m_Core.m_Gossip.setRateLimits(
      [this] { return m_Core.m_Engines.rateLimits().allReports(m_Loop.now()); },
      [this](const std::vector<RateLimitReport> &Reports) {
        for (const auto &Report : Reports)
          if (m_Core.m_Engines.find(Report.m_Backend) != nullptr)
            m_Core.m_Engines.rateLimits().merge(Report, m_Loop.now());
      });
  m_Core.m_Discovery.onLoad([this] { m_Dispatcher.scheduleDispatch(); });
  m_Core.m_Engines.setExclusiveOwner(
      [this](const BackendId &Id) { return mayRunAloneOn(Id); });
  addComponents();
}

auto GateProcess::storeCrashEvidence() -> void {
  auto Digests = std::vector<RequestDigest>();
  for (const auto &Report : m_Core.m_Crashes.reports(m_Loop.now()))
    Digests.push_back(Report.m_Digest);
  m_CrashStore.observed(Digests);
}

auto GateProcess::addComponents() -> void {
  m_Core.addPeers(m_Supervisor);
  m_Core.addReaders(m_Supervisor);
  addDispatcher();
  addUsage();
  addServers();
}

auto GateProcess::addDispatcher() -> void {
  m_Supervisor.add(std::make_unique<FunctionComponent>(
      FunctionComponentOptions{.m_Name = "crash-evidence",
                               .m_Start = [this] { m_CrashStore.start(); },
                               .m_Reset = [] {}}));
  m_Supervisor.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "dispatcher",
      .m_Start =
          [this] {
            m_TickTimer.emplace(m_Loop, TickInterval, [this] { tick(); });
            m_SenderTimer.emplace(m_Loop, SenderInterval,
                                  [this] { updateSenders(); });
          },
      .m_Reset =
          [this] {
            m_TickTimer.reset();
            m_SenderTimer.reset();
          }}));
}

auto GateProcess::addUsage() -> void {
  m_Supervisor.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "usage",
      .m_Start =
          [this] {
            m_ReplicaTimer.emplace(m_Loop, ReplicaSweepInterval,
                                   [this] { m_Replicas.writeStale(); });
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
          .m_MaxBodyBytes =
              static_cast<std::size_t>(m_Values.integer("max-body-bytes")),
          .m_MaxConnections =
              static_cast<unsigned>(m_Values.integer("max-connections")),
          .m_IdleTimeoutSeconds =
              static_cast<unsigned>(m_Values.integer("idle-timeout-seconds"))};
}

auto GateProcess::addServers() -> void {
  m_Supervisor.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "operator-server",
      .m_Start =
          [this] {
            m_AdminServer.emplace(m_Loop, m_AdminHandler,
                                  serverOptions("admin-listen"));
          },
      .m_Reset = [this] { m_AdminServer.reset(); }}));
  m_Supervisor.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "caller-server",
      .m_Start =
          [this] {
            auto Options = serverOptions("listen");
            Options.m_Memory = &m_CallerMemory;
            m_CallerServer.emplace(m_Loop, m_CallerHandler, Options);
            logInfo("gate.listening",
                    {{"callers", m_CallerServer->address().text()},
                     {"operators", m_AdminServer->address().text()},
                     {"rpc", m_Core.m_Members.self().m_Address}});
          },
      .m_Reset = [this] { m_CallerServer.reset(); },
      .m_Stop =
          [this](const std::function<void()> &Done) {
            drainCallerRequests(Done);
          }}));
}

auto GateProcess::updateSenders() -> void {
  // Also gates that are not live here: behind a network partition they use
  // their shares.
  auto Gates = m_Core.m_Gossip.otherGates();
  if (!Gates)
    return;
  auto Others = std::vector<std::string>();
  for (const auto &Gate : *Gates)
    Others.push_back(Gate.text());
  m_Core.m_Engines.rateLimits().setSenders(
      m_Core.m_Members.self().m_Process.text(), std::move(Others),
      m_Loop.now());
}

auto GateProcess::tick() -> void {
  m_Demand.update(m_Loop.now());
  m_Core.m_Members.self().m_PrefillTokensPerSecond =
      static_cast<std::uint64_t>(m_Demand.prefillRate());
  m_Core.m_Members.self().m_DecodeTokensPerSecond =
      static_cast<std::uint64_t>(m_Demand.decodeRate());
  m_Dispatcher.dispatchReady();
  m_Metrics.setCallerMemory(m_CallerMemory);
  m_Metrics.setWaitingRequests(
      static_cast<double>(m_Dispatcher.waitingCount()));
  m_Metrics.setConfigRevision(
      static_cast<double>(m_Core.m_Configuration.revision().number()));
  auto Age = m_Core.m_Freshness.age(m_Loop.now());
  if (Age != Duration::max())
    m_Metrics.setConfirmationAge(std::chrono::duration<double>(Age).count());
  m_Metrics.setUnreplicatedUsage(static_cast<double>(m_Usage.uncopied()));
  m_Metrics.setBrokenResponses(m_Core.m_Client->brokenResponses());
}

auto GateProcess::usageReplicaAddress() const -> std::string {
  const auto &Self = m_Core.m_Members.self();
  auto OtherGates = m_Core.m_Members.serving(ProcessRole::Gate, m_Loop.now());
  if (OtherGates.empty())
    return {};
  auto Ordered = rendezvousOrder("usage/" + Self.m_Process.text(), OtherGates);
  // A replica in another data centre survives the loss of this data centre.
  for (const auto &Item : Ordered)
    if (Item.m_Location.m_DataCentre != Self.m_Location.m_DataCentre)
      return Item.m_Address;
  return Ordered.front().m_Address;
}

auto GateProcess::mayRunAloneOn(const BackendId &Id) const -> bool {
  const auto &Self = m_Core.m_Members.self();
  auto Gates = m_Core.m_Members.serving(ProcessRole::Gate, m_Loop.now());
  Gates.push_back(Self);
  auto Ordered = rendezvousOrder("alone/" + Id.text(), Gates);
  return Ordered.front().m_Process == Self.m_Process;
}

auto GateProcess::sendUsageReplica(const UsageSegment &Segment,
                                   std::function<void(bool)> Done) -> void {
  auto Target = usageReplicaAddress();
  if (Target.empty()) {
    m_Loop.schedule(Milliseconds(50),
                    [Done = std::move(Done)] { Done(false); });
    return;
  }
  m_Core.m_Peers->replicateUsage(
      Target, Segment,
      [Done = std::move(Done)](const std::optional<bool> &Stored) {
        Done(Stored.value_or(false));
      });
}

auto GateProcess::drainCallerRequests(const std::function<void()> &Done)
    -> void {
  auto Lag = m_Values.milliseconds("drain-lag-ms");
  auto Timeout = m_Values.milliseconds("drain-timeout-ms");
  m_CallerHandler.beginShutdown(
      {.m_BalancerLag = Lag, .m_Limit = Lag + Timeout});
  m_CallerServer->closeAfterResponses();
  logInfo("gate.draining", {{"active", m_CallerHandler.activeCalls()}});
  // New connections arrive until the load balancer sees that /readyz fails.
  m_Loop.schedule(Lag, [this, Done, Timeout] {
    m_CallerServer->stopListening();
    auto Finished = std::make_shared<bool>(false);
    auto Finish = [this, Finished, Done] {
      if (std::exchange(*Finished, true))
        return;
      m_CallerHandler.closeAdmission();
      logInfo("gate.drained", {{"unfinished", m_CallerHandler.activeCalls()}});
      // The delay lets the last responses be written to their connections.
      m_Loop.schedule(TickInterval, Done);
    };
    m_CallerHandler.onIdle(Finish);
    m_Loop.schedule(Timeout, Finish);
  });
}

auto GateProcess::drainUsage(std::function<void()> Done) -> void {
  auto Finished = std::make_shared<bool>(false);
  auto Finish = [Finished, Done = std::move(Done)] {
    if (!std::exchange(*Finished, true))
      Done();
  };
  m_Usage.drain([this, Finish] { m_Replicas.drain(Finish); });
  // Bounds the wait when the store is down. The usage that was not written then
  // remains only in the replicas on other hosts.
  m_Loop.schedule(UsageDrainTimeout, [this, Finished, Finish] {
    if (!*Finished)
      logError("usage.undrained", {{"segments", m_Usage.unconfirmed()},
                                   {"copies", m_Replicas.size()}});
    Finish();
  });
}

} // namespace

auto runGate(const Settings &Values) -> int {
  setLogLevel(Values.text("log-level"));
  returnLargeBlocks();
  auto Process = GateProcess(Values);
  return Process.run();
}

} // namespace dotterel
