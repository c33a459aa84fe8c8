#include "dotterel/host/HostProcess.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/peers/LimitReports.h"
#include "dotterel/peers/RateSenders.h"
#include "dotterel/supervision/FunctionComponent.h"

#include <algorithm>
#include <utility>

namespace dotterel {

namespace {

constexpr auto TickInterval = Milliseconds(500);
/// Delay of the event loop from which it is logged.
constexpr auto MinLoggedDelay = Milliseconds(100);
constexpr auto DrainInterval = Milliseconds(100);
/// The load balancer sends new connections until two readiness checks, one a
/// second, have failed; the rest is for connections that are being established.
constexpr auto BalancerReactionTime = Milliseconds(2600);
/// Part of the shutdown grace period that is kept for the exit itself.
constexpr auto ExitMargin = Milliseconds(400);
/// Share of the promised bound on key withdrawal after which requests that need
/// a key are no longer served: a watch may be unresponsive for a second, and
/// the response itself takes time.
constexpr auto ConfirmationShare = 0.7;
/// Share of the confirmation bound after which the host reports that it is not
/// ready.
constexpr auto ReadyShare = 0.9;
/// Timeout of the configuration watch, as a share of the confirmation bound. A
/// confirmation is dated from before the watch request, so it reaches twice
/// this age at a relay.
constexpr auto WatchTimeoutShare = 0.18;
/// Share of the confirmation bound after which a host that receives no
/// confirmation from relays reads the store itself. The rest is left for that
/// read.
constexpr auto RelayFallbackShare = 0.7;
/// Timeout of the watch on backend servers' entries. Servers write to them all
/// the time, so a longer timeout only delays the detection of a dead
/// connection.
constexpr auto BackendWatchTimeout = Milliseconds(500);
/// Delay between two watches of the servers' entries, which change all the
/// time, as a share of the promised drain bound.
constexpr auto BackendPauseShare = 0.25;
/// Time in which the operators and servers write again what a restored store
/// lacks.
constexpr auto RecoveryTime = Milliseconds(2200);
/// File descriptors kept for files, the store, the platform and backend
/// servers.
constexpr auto ReservedDescriptors = 700U;
constexpr auto MaxConnections = 3000U;

auto scaled(Duration Value, double Share) -> Duration {
  return std::chrono::duration_cast<Duration>(Value * Share);
}

auto confirmationBound(const ServiceBounds &Bounds) -> Duration {
  return scaled(Bounds.m_KeyWithdrawal, ConfirmationShare);
}

auto coreOptions(const HostSettings &Settings, const OffloadOptions &Offload)
    -> ServingCoreOptions {
  const auto &Bounds = Settings.m_Bounds;
  auto Options = ServingCoreOptions();
  Options.m_Offload = Offload;
  Options.m_MaxConfirmationAge = confirmationBound(Bounds);
  Options.m_RequireConfirmation = Bounds.m_StrictWithdrawal;
  Options.m_Retries.m_Window = Bounds.m_RetryWindow;
  Options.m_Retries.m_Ratio = Bounds.m_RetryRatio;
  Options.m_OrganisationLimits = {.m_Window = Bounds.m_LimitWindow,
                                  .m_Overshoot = Bounds.m_LimitOvershoot,
                                  .m_Slack = LimitAmount{Bounds.m_LimitSlack},
                                  .m_MaxRetryAfter = Bounds.m_LimitWindow};
  Options.m_Incarnation = systemSeed();
  Options.m_Access.m_SpreadSeed =
      std::hash<HostId>()(Settings.m_Location.m_Host);
  return Options;
}

auto segmentOptions(const ServiceBounds &Bounds) -> SegmentWriterOptions {
  return {.m_WindowLength =
              std::chrono::duration_cast<Seconds>(Bounds.m_UsageWindow)};
}

auto usageOptions(const ServiceBounds &Bounds) -> UsageRecorderOptions {
  return {.m_Writer = segmentOptions(Bounds),
          .m_FlushInterval = Bounds.m_UsageWindow * 2};
}

/// Serves the metrics as text at every path.
class MetricsHandler final : public HttpHandler {
public:
  explicit MetricsHandler(const ServingMetrics &Metrics) : m_Metrics(Metrics) {}

  auto handle(HttpExchangePtr Exchange) -> void override {
    Exchange->respond({.m_Headers = {{.m_Name = "Content-Type",
                                      .m_Value = "text/plain; version=0.0.4"}},
                       .m_Body = m_Metrics.text()});
  }
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

private:
  const ServingMetrics &m_Metrics;
};

} // namespace

HostProcess::HostProcess(EventLoop &Loop, const HostDependencies &Dependencies,
                         const HostOptions &Options)
    : m_Loop(Loop), m_Dependencies(Dependencies), m_Options(Options),
      m_Random(systemSeed()), m_Log(Loop, {}), m_Time(Loop, {}),
      m_Distance(Options.m_Settings.m_Location, Options.m_Settings.m_Regions),
      m_Hosts(Loop, Dependencies.m_Store, Dependencies.m_Watch, m_Random,
              {.m_Host = Options.m_Settings.m_Location.m_Host,
               .m_DataCentre = Options.m_Settings.m_Location.m_DataCentre,
               .m_Address = Dependencies.m_Datagrams.address()},
              {}),
      m_Origins(Loop, Dependencies.m_Datagrams, m_Hosts, {}),
      m_Core(
          Loop, m_Random, Dependencies.m_Transport, m_Distance, m_Metrics,
          [this](const OrganisationId &Organisation) {
            m_Usage.record({.m_Organisation = Organisation}, {.m_Requests = 1},
                           [] {});
          },
          coreOptions(Options.m_Settings, Options.m_Offload)),
      m_Exchange(
          Loop, Dependencies.m_Datagrams, m_Hosts,
          [this] { return m_Core.collectLoads(); },
          [this](const std::string &Origin, const LoadSummary &Loads) {
            m_Core.applyLoads(Origin, Loads);
          },
          {}),
      m_Relay(Loop, Dependencies.m_Datagrams, m_Hosts, m_Exchange, relayHooks(),
              {.m_FallbackTimeout =
                   scaled(confirmationBound(Options.m_Settings.m_Bounds),
                          RelayFallbackShare)}),
      m_ConfigurationRecovery(Loop, Dependencies.m_Store.history(),
                              RecoveryTime),
      m_ConfigurationMirror(
          Loop, Dependencies.m_Store, Dependencies.m_Watch, m_Random,
          {.m_Prefix = Dependencies.m_Records.configurationKey(),
           .m_WatchTimeout =
               scaled(confirmationBound(Options.m_Settings.m_Bounds),
                      WatchTimeoutShare)}),
      m_BackendMirror(
          Loop, Dependencies.m_Store, Dependencies.m_Watch, m_Random,
          {.m_Prefix = Dependencies.m_Records.backendPrefix(),
           .m_WatchTimeout = BackendWatchTimeout,
           .m_MinWatchInterval =
               scaled(Options.m_Settings.m_Bounds.m_Drain, BackendPauseShare),
           .m_RetentionAfterOutage = RecoveryTime}),
      m_Usage(
          m_Time, Dependencies.m_Store, IncarnationId{m_Random.hex()},
          // Counts are not replicated first: they are soon written to the
          // store.
          [](const UsageSegment &, const std::function<void(bool)> &Done) {
            Done(true);
          },
          usageOptions(Options.m_Settings.m_Bounds)),
      m_UsageRelay(
          m_Time, Dependencies.m_Store, Dependencies.m_Datagrams, m_Random,
          m_Hosts,
          {.m_Overdue = [this](Duration Age) { return m_Usage.overdue(Age); },
           .m_RecordStored =
               [this](const UsageSegment &Segment) {
                 return m_Usage.recordStored(Segment);
               }},
          {.m_Writer = segmentOptions(Options.m_Settings.m_Bounds)}),
      m_CrashExchange(Loop, Dependencies.m_Datagrams, m_Random, m_Hosts,
                      m_Exchange, m_Core.crashes().registry(),
                      [this](const CrashReport &Report, MonotonicTime Now) {
                        return mergeCrashReport(Report, Now);
                      },
                      {}),
      m_CrashStore(
          m_Time, Dependencies.m_Store, m_Random, m_Core.crashes().registry(),
          Options.m_Settings.m_Location.m_Host.text(),
          {.m_Merge =
               [this](const std::vector<CrashReport> &Reports) {
                 mergeStoredCrashes(Reports);
               },
           .m_WriterCount = [this] { return m_Hosts.others().size() + 1; }},
          {}),
      m_Duty(m_Time, Dependencies.m_Store, Dependencies.m_Fleet, m_Random,
             {.m_Directory = m_Core.directory(),
              .m_Access = m_Core.access(),
              .m_Configuration = [this] { return m_Core.configuration(); },
              .m_IsIdle = [this] { return m_Core.active() == 0; },
              .m_NeededEngines = [this] { return neededEngines(); },
              .m_HostCount = [this] { return m_Hosts.others().size() + 1; },
              .m_Eligible = [this] { return mayCampaign(); },
              .m_OnOutcome =
                  [this](const char *Matter, OrderOutcome Outcome) {
                    m_Metrics.countDutyCall(Matter, nameOf(Outcome));
                  },
              .m_OnOrderEvent =
                  [this](const char *Matter, const char *Event) {
                    m_Metrics.countOrderEvent(Matter, Event);
                  },
              .m_OnGivenUp =
                  [this](const char *Reason) {
                    m_Metrics.countDutyGivenUp(Reason);
                  }},
             {.m_Bounds = Options.m_Settings.m_Bounds,
              .m_Host = Options.m_Settings.m_Location.m_Host,
              .m_MaxOrderDelay = Options.m_MaxOrderDelay,
              .m_Planner = Options.m_Planner}),
      m_Tree(Loop, "host", {}),
      m_CallerMemory(memoryBudgetFor(Options.m_Settings.m_MemoryMegabytes)) {
  m_Core.shareOrigins(m_Origins);
  m_ConfigurationMirror.onChange(
      [this](const KeyChange &Change) { applyConfigurationChange(Change); });
  m_ConfigurationMirror.onWrittenAgain(
      [this](const std::string &) { m_ConfigurationRecovery.end(); });
  m_ConfigurationMirror.onConfirmed(
      [this](MonotonicTime SentAt) { confirmConfiguration(SentAt); });
  m_ConfigurationMirror.onReachabilityChange([](bool Reachable) {
    logWarning(Reachable ? "store.regained" : "store.lost", {});
  });
  m_BackendMirror.onChange(
      [this](const KeyChange &Change) { applyBackendChange(Change); });
  Dependencies.m_Store.history().onRestored([this] {
    // Reads the configuration as soon as a read confirms it again.
    m_Loop.schedule(RecoveryTime, [this] {
      if (!m_Relay.following())
        m_ConfigurationMirror.refresh();
    });
  });
  m_BackendMirror.onConfirmed(
      [this](MonotonicTime At) { confirmBackends(At); });
  m_Exchange.exchangeUse(
      [this](bool WholeDataCentre) {
        return reportUse(m_Core.organisationLimits(), WholeDataCentre,
                         m_Loop.now());
      },
      [this](const auto &Sender, const auto &DataCentre, const auto &Use) {
        m_Core.organisationLimits().merge(Sender, DataCentre, Use,
                                          m_Loop.now());
      });
  m_Core.crashes().onChange([this](const std::vector<RequestDigest> &Digests) {
    m_CrashExchange.announce(Digests);
    m_CrashStore.observed(Digests);
  });
  Dependencies.m_Datagrams.onReceive(
      [this](const std::string &Address, std::string_view Bytes) {
        receive(Address, Bytes);
      });
}

HostProcess::~HostProcess() = default;

auto HostProcess::backendConfirmationAge() const -> Duration {
  return m_BackendsConfirmedAt ? m_Loop.now() - *m_BackendsConfirmedAt
                               : Duration::max();
}

auto HostProcess::confirmBackends(MonotonicTime At) -> void {
  m_BackendsConfirmedAt = std::max(At, m_BackendsConfirmedAt.value_or(At));
}

auto HostProcess::confirmConfiguration(MonotonicTime SentAt) -> void {
  if (!m_ConfigurationRecovery.covers(SentAt))
    m_Core.recordConfirmation(SentAt);
}

auto HostProcess::relayHooks() -> StoreRelayHooks {
  return {
      .m_ConfirmationAge =
          [this] {
            return std::max(m_Core.confirmationAge(), backendConfirmationAge());
          },
      .m_ConfigRevision =
          [this] {
            const auto *Current = m_Core.configuration();
            return Current ? Current->m_Revision : ConfigRevision{};
          },
      .m_BackendsDigest = [this] { return m_Core.directory().digest(); },
      .m_StoreEra = [this] { return m_Dependencies.m_Store.history().era(); },
      .m_OnStoreEra =
          [this](StoreEra Era) {
            m_Dependencies.m_Store.history().observe(Era);
          },
      .m_OnConfigurationConfirmed =
          [this](MonotonicTime At) { m_Core.recordConfirmation(At); },
      .m_OnBackendsConfirmed =
          [this](MonotonicTime At) { confirmBackends(At); },
      .m_RefreshConfiguration = [this] { m_ConfigurationMirror.refresh(); },
      .m_RefreshBackends = [this] { m_BackendMirror.refresh(); },
      .m_OnBackendChange =
          [this](const KeyChange &Change) { m_BackendMirror.apply(Change); },
      .m_OnFollowingChange =
          [this](bool Following) {
            m_ConfigurationMirror.setFollowing(Following);
            m_BackendMirror.setFollowing(Following);
          }};
}

auto HostProcess::applyConfigurationChange(const KeyChange &Change) -> void {
  if (Change.m_Key != m_Dependencies.m_Records.configurationKey() ||
      !Change.m_Value)
    return;
  // The copy of a restored store is read in one call. What differs later has
  // been written since.
  if (Change.m_Revision.era() == m_ConfigurationMirror.revision().era())
    m_ConfigurationRecovery.end();
  try {
    if (!m_Core.apply(m_Dependencies.m_Records.configuration(*Change.m_Value)))
      return;
  } catch (const ConfigurationError &Failure) {
    // The previous configuration stays in force.
    logError("config.unreadable",
             {{"revision", Change.m_Revision}, {"reason", Failure.what()}});
    return;
  }
  if (m_CallerServer)
    m_CallerServer->setLimits(m_Core.configuration()->m_Limits);
}

auto HostProcess::applyBackendChange(const KeyChange &Change) -> void {
  auto Id = m_Dependencies.m_Records.parseBackendId(Change.m_Key);
  auto Changed = false;
  try {
    Changed = Change.m_Value
                  ? m_Core.directory().put(m_Dependencies.m_Records.backend(
                        Change.m_Key, *Change.m_Value))
                  : m_Core.directory().remove(Id);
  } catch (const ProtocolError &Failure) {
    logWarning("backend.unreadable",
               {{"backend", Id}, {"reason", Failure.what()}});
    Changed = m_Core.directory().remove(Id);
  }
  if (Changed)
    m_Relay.relayChange(Change);
}

auto HostProcess::serve(CallerExchangePtr Exchange) -> void {
  m_Core.serve(std::move(Exchange));
}

auto HostProcess::ready() const -> bool {
  auto Bound =
      scaled(confirmationBound(m_Options.m_Settings.m_Bounds), ReadyShare);
  return !m_Core.shutdown().begun() && m_Core.configuration() != nullptr &&
         m_Core.confirmationAge() < Bound;
}

auto HostProcess::tick() -> void {
  auto Now = m_Loop.now();
  auto Delay = m_LastTick ? Now - *m_LastTick - TickInterval : Duration::zero();
  m_LastTick = Now;
  if (Delay >= MinLoggedDelay)
    logWarning("loop.delayed",
               {{"ms", toMilliseconds(Delay)}, {"active", m_Core.active()}});
  m_Metrics.observeLoopDelay(std::max(Delay, Duration::zero()));
  // Does not wait for the next request to close a window, because the report of
  // the window depends on it.
  m_Usage.flushEndedWindow();
  auto Age = m_Core.confirmationAge();
  if (Age != Duration::max())
    m_Metrics.setConfirmationAge(std::chrono::duration<double>(Age).count());
  updateSenders(m_Hosts, m_Core.rateLimits(), Now);
  m_Metrics.setLimitFigures(
      updateLimits(m_Hosts, m_Core.organisationLimits(), Now));
  m_Metrics.setRateLimitedServers(
      static_cast<double>(m_Core.rateLimits().limitedCount(Now)));
  m_Metrics.setLeavingServers(
      static_cast<double>(m_Core.access().leavingCount()));
  m_Metrics.setPausedServers(
      static_cast<double>(m_Core.access().pausedCount(Now)));
  constexpr auto ClearlySlow = 1.5;
  m_Metrics.setSlowServers(
      static_cast<double>(m_Core.speeds().countSlow(ClearlySlow, Now)));
  m_Metrics.setStoreEra(
      static_cast<double>(m_Dependencies.m_Store.history().era().number()));
  m_Metrics.setStreamOrigins(static_cast<double>(m_Origins.kept()));
  m_Metrics.setCallerMemory(m_CallerMemory);
  m_Metrics.setActive(static_cast<double>(m_Core.active()));
  m_Metrics.setDutyHeld(m_Duty.held());
  if (m_Dependencies.m_BrokenResponses)
    m_Metrics.setBrokenResponses(m_Dependencies.m_BrokenResponses());
  m_Metrics.setLogLinesDropped(static_cast<double>(m_Log.dropped()));
  m_Metrics.setDatagramsDropped(
      static_cast<double>(m_Dependencies.m_Datagrams.dropped()));
}

auto HostProcess::reload() -> void {
  try {
    auto Settings = m_Dependencies.m_ReadSettings();
    auto Changed = !(Settings == m_Options.m_Settings);
    logInfo("host.reloaded", {{"changed", Changed}});
    m_Options.m_Settings = std::move(Settings);
  } catch (const SettingsError &Failure) {
    // The previous settings stay in force.
    logError("host.reload-failed", {{"reason", Failure.what()}});
  }
}

auto HostProcess::buildSupervisionTree(HttpHandler &Callers,
                                       HttpHandler &Readiness) -> void {
  const auto &Settings = m_Options.m_Settings;
  m_Tree.add(std::make_unique<FunctionComponent>(
      FunctionComponentOptions{.m_Name = "mirrors",
                               .m_Start =
                                   [this] {
                                     m_ConfigurationMirror.start();
                                     m_BackendMirror.start();
                                   },
                               .m_Reset = [] {}}));
  m_Tree.add(std::make_unique<FunctionComponent>(
      FunctionComponentOptions{.m_Name = "peers",
                               .m_Start =
                                   [this] {
                                     m_Hosts.start();
                                     m_Exchange.start();
                                     m_Relay.start();
                                     m_UsageRelay.start();
                                     m_CrashExchange.start();
                                     m_CrashStore.start();
                                   },
                               .m_Reset = [this] { m_Hosts.deregister(); }}));
  m_Tree.add(std::make_unique<FunctionComponent>(
      FunctionComponentOptions{.m_Name = "usage",
                               .m_Start = [] {},
                               .m_Reset = [] {},
                               .m_Stop =
                                   [this](std::function<void()> Done) {
                                     drainUsage(std::move(Done));
                                   }}));
  m_Tree.add(std::make_unique<FunctionComponent>(
      FunctionComponentOptions{.m_Name = "fleet-duty",
                               .m_Start = [this] { m_Duty.start(); },
                               .m_Reset = [this] { m_Duty.stop(); }}));
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "readiness-server",
      .m_Start =
          [this, &Readiness, Address = Settings.m_ReadinessAddress] {
            m_ReadinessServer.emplace(
                m_Loop, Readiness,
                StrictHttpServerOptions{.m_Address =
                                            SocketAddress::parse(Address)});
          },
      .m_Reset = [this] { m_ReadinessServer.reset(); }}));
  if (!m_Options.m_MetricsAddress.empty()) {
    m_MetricsHandler = std::make_unique<MetricsHandler>(m_Metrics);
    m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
        .m_Name = "metrics-server",
        .m_Start =
            [this] {
              m_MetricsServer.emplace(
                  m_Loop, *m_MetricsHandler,
                  StrictHttpServerOptions{.m_Address = SocketAddress::parse(
                                              m_Options.m_MetricsAddress)});
              logInfo("metrics.listening",
                      {{"address", m_MetricsServer->address().text()}});
            },
        .m_Reset = [this] { m_MetricsServer.reset(); }}));
  }
  auto Reserved = std::min(ReservedDescriptors, Settings.m_MaxDescriptors / 2);
  auto Connections =
      std::min(MaxConnections, Settings.m_MaxDescriptors - Reserved);
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "caller-server",
      .m_Start =
          [this, &Callers, Connections, Address = Settings.m_CallerAddress] {
            m_CallerServer.emplace(
                m_Loop, Callers,
                StrictHttpServerOptions{.m_Address =
                                            SocketAddress::parse(Address),
                                        .m_MaxConnections = Connections,
                                        .m_Memory = &m_CallerMemory});
            if (m_Core.configuration() != nullptr)
              m_CallerServer->setLimits(m_Core.configuration()->m_Limits);
            logInfo("host.listening",
                    {{"callers", m_CallerServer->address().text()},
                     {"readiness", m_ReadinessServer->address().text()},
                     {"peers", m_Dependencies.m_Datagrams.address()}});
          },
      .m_Reset = [this] { m_CallerServer.reset(); },
      .m_Stop =
          [this](std::function<void()> Done) { drain(std::move(Done)); }}));
}

auto HostProcess::drainUsage(std::function<void()> Done) -> void {
  auto Pending = std::make_shared<std::function<void()>>(std::move(Done));
  auto Finish = [this, Pending] {
    auto Call = std::exchange(*Pending, nullptr);
    if (!Call)
      return;
    logInfo("usage.drained", {{"unconfirmed", m_Usage.unconfirmed()}});
    Call();
  };
  m_Usage.flush();
  m_Usage.drain(Finish);
  // If the store is unavailable, the hosts that received copies of the counts
  // write them: the process must exit within its grace period.
  auto Left = m_Options.m_Settings.m_Bounds.m_ShutdownGrace - ExitMargin / 2 -
              m_Core.shutdown().elapsed(m_Loop.now());
  m_Loop.schedule(std::max<Duration>(Left, Duration::zero()), Finish);
}

auto HostProcess::drain(std::function<void()> Done) -> void {
  m_Core.beginShutdown(
      {.m_BalancerLag = BalancerReactionTime,
       .m_Limit = m_Options.m_Settings.m_Bounds.m_ShutdownGrace - ExitMargin});
  // A host that is about to exit neither sends orders nor reports usage.
  m_Duty.stop();
  m_CallerServer->closeAfterResponses();
  logInfo("host.draining", {{"active", m_Core.active()}});
  // The listening socket closes when requests begin to be refused.
  m_Loop.schedule(BalancerReactionTime, [this, Done = std::move(Done)] {
    m_DrainTimer.emplace(m_Loop, DrainInterval,
                         [this, Done] { checkDrain(Done); });
    checkDrain(Done);
  });
}

auto HostProcess::checkDrain(const std::function<void()> &Done) -> void {
  m_CallerServer->stopListening();
  m_CallerServer->closeIdle();
  if (m_CallerServer->busyConnections() > 0 &&
      m_Core.shutdown().timeLeft(m_Loop.now()) > Duration::zero())
    return;
  logInfo("host.drained", {{"unfinished", m_Core.active()}});
  // Their usage is counted, and their responses are sent, before the process
  // exits.
  m_Core.endShutdown();
  // Done runs in a separate event: this function runs inside m_DrainTimer, and
  // the owner of the callback may end the process.
  auto Finish = Done;
  m_Loop.schedule(DrainInterval, Finish);
  m_DrainTimer.reset();
}

auto HostProcess::run(HttpHandler &Callers, HttpHandler &Readiness) -> int {
  buildSupervisionTree(Callers, Readiness);
  m_Tree.onEscalation([this](const std::string &Reason) {
    logError("host.failed", {{"reason", Reason}});
    m_Failed = true;
    m_Loop.stop();
  });
  auto Stopping = false;
  m_Loop.onTermination([this, &Stopping] {
    if (std::exchange(Stopping, true))
      return;
    logInfo("host.stopping", {});
    m_Tree.stop([this] { m_Loop.stop(); });
  });
  m_Loop.onReload([this] { reload(); });
  m_TickTimer.emplace(m_Loop, TickInterval, [this] { tick(); });
  const auto &Settings = m_Options.m_Settings;
  logInfo("host.starting", {{"host", Settings.m_Location.m_Host},
                            {"data_centre", Settings.m_Location.m_DataCentre},
                            {"callers", Settings.m_CallerAddress},
                            {"store", Settings.m_StoreAddress}});
  m_Tree.start();
  m_Loop.run();
  logInfo("host.stopped", {{"failed", m_Failed}});
  return m_Failed ? 1 : 0;
}

} // namespace dotterel
