//===- HostProcess.h - A serving host ---------------------------*- C++ -*-===//
///
/// \file
/// Runs the serving core, the store's mirrors, usage accounting and the fleet
/// duty on one event loop.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_HOST_HOSTPROCESS_H
#define DOTTEREL_HOST_HOSTPROCESS_H

#include "dotterel/base/StepFilteredClock.h"
#include "dotterel/host/FleetDuty.h"
#include "dotterel/host/HostSettings.h"
#include "dotterel/io/EventLoop.h"
#include "dotterel/io/LogOutput.h"
#include "dotterel/io/MemoryBudget.h"
#include "dotterel/io/StrictHttpServer.h"
#include "dotterel/peers/CrashExchange.h"
#include "dotterel/peers/LoadExchange.h"
#include "dotterel/peers/StoreRelay.h"
#include "dotterel/peers/StreamOriginExchange.h"
#include "dotterel/peers/UsageRelay.h"
#include "dotterel/poison/CrashEvidenceStore.h"
#include "dotterel/serving/ServingCore.h"
#include "dotterel/store/KeyspaceMirror.h"
#include "dotterel/store/RecoveryPeriod.h"
#include "dotterel/supervision/Supervisor.h"
#include "dotterel/usage/UsageRecorder.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dotterel {

/// Decodes the records that other processes write to the store.
class RecordReader {
public:
  virtual ~RecordReader() = default;

  /// Returns the key of the configuration record.
  [[nodiscard]] virtual auto configurationKey() const -> std::string = 0;
  /// Returns the prefix of the keys of backend server records.
  [[nodiscard]] virtual auto backendPrefix() const -> std::string = 0;

  /// \throws ConfigurationError 201 if the record cannot be decoded.
  [[nodiscard]] virtual auto configuration(const std::string &Record) const
      -> ServingConfiguration = 0;
  /// \throws ProtocolError 301 if the record cannot be decoded.
  [[nodiscard]] virtual auto backend(const std::string &Key,
                                     const std::string &Record) const
      -> BackendRecord = 0;
  /// Returns the identifier of the server whose record has the key \p Key.
  [[nodiscard]] virtual auto parseBackendId(const std::string &Key) const
      -> BackendId = 0;
};

/// Implementations of the platform's protocol that a host depends on.
struct HostDependencies {
  KeyValueStore &m_Store;
  StoreWatch &m_Watch;
  BackendTransport &m_Transport;
  FleetCalls &m_Fleet;
  DatagramPort &m_Datagrams;
  const RecordReader &m_Records;
  /// Reads the settings again. \throws SettingsError 101.
  std::function<HostSettings()> m_ReadSettings;
  /// Returns the number of broken responses since the start.
  std::function<std::uint64_t()> m_BrokenResponses;
};

struct HostOptions {
  HostSettings m_Settings;
  std::string m_MetricsAddress; ///< IP:PORT; empty: no metrics are served.
  FleetPlannerOptions m_Planner;
  /// Maximum time after its arrival at which an order that was not answered is
  /// executed.
  Duration m_MaxOrderDelay = FleetDutyOptions().m_MaxOrderDelay;
  OffloadOptions m_Offload;
};

/// A serving host.
class HostProcess {
public:
  HostProcess(EventLoop &Loop, const HostDependencies &Dependencies,
              const HostOptions &Options);
  HostProcess(const HostProcess &) = delete;
  auto operator=(const HostProcess &) -> HostProcess & = delete;
  ~HostProcess();

  /// Serves until SIGTERM. \returns the exit code.
  auto run(HttpHandler &Callers, HttpHandler &Readiness) -> int;

  auto serve(CallerExchangePtr Exchange) -> void;

  /// Returns whether the load balancer may send new connections.
  [[nodiscard]] auto ready() const -> bool;

private:
  auto buildSupervisionTree(HttpHandler &Callers, HttpHandler &Readiness)
      -> void;
  [[nodiscard]] auto backendConfirmationAge() const -> Duration;
  auto confirmBackends(MonotonicTime At) -> void;
  /// Records that a read sent at \p SentAt found the configuration current.
  auto confirmConfiguration(MonotonicTime SentAt) -> void;
  [[nodiscard]] auto relayHooks() -> StoreRelayHooks;
  [[nodiscard]] auto neededEngines() const -> std::optional<double>;
  [[nodiscard]] auto mayCampaign() const -> bool;
  auto applyConfigurationChange(const KeyChange &Change) -> void;
  auto applyBackendChange(const KeyChange &Change) -> void;
  auto receive(const std::string &Address, std::string_view Bytes) -> void;
  auto logUnreadable(const std::string &Address, const std::string &Reason)
      -> void;
  auto mergeStoredCrashes(const std::vector<CrashReport> &Reports) -> void;
  auto mergeCrashReport(const CrashReport &Report, MonotonicTime Now) -> bool;
  auto reload() -> void;
  auto tick() -> void;
  auto drain(std::function<void()> Done) -> void;
  auto drainUsage(std::function<void()> Done) -> void;
  auto checkDrain(const std::function<void()> &Done) -> void;

  EventLoop &m_Loop;
  HostDependencies m_Dependencies;
  HostOptions m_Options;
  Random m_Random;
  LogOutput m_Log;
  StepFilteredClock m_Time;
  Distance m_Distance;
  ServingMetrics m_Metrics;
  HostRegistry m_Hosts;
  StreamOriginExchange m_Origins; ///< Used by requests until m_Core ends.
  ServingCore m_Core;
  LoadExchange m_Exchange;
  StoreRelay m_Relay;
  RecoveryPeriod m_ConfigurationRecovery;
  KeyspaceMirror m_ConfigurationMirror;
  KeyspaceMirror m_BackendMirror;
  UsageRecorder m_Usage;
  UsageRelay m_UsageRelay;
  CrashExchange m_CrashExchange;
  CrashEvidenceStore m_CrashStore;
  FleetDuty m_Duty;
  Supervisor m_Tree;
  MemoryBudget m_CallerMemory;
  std::optional<StrictHttpServer> m_CallerServer;
  std::optional<StrictHttpServer> m_ReadinessServer;
  std::optional<StrictHttpServer> m_MetricsServer;
  std::unique_ptr<HttpHandler> m_MetricsHandler;
  std::optional<RepeatingTimer> m_TickTimer;
  std::optional<MonotonicTime> m_LastTick;
  std::optional<RepeatingTimer> m_DrainTimer;
  /// Newest time at which the list of registered servers was known to be
  /// current.
  std::optional<MonotonicTime> m_BackendsConfirmedAt;
  std::optional<MonotonicTime> m_UnreadableLoggedAt;
  std::uint64_t m_UnreadableCount = 0; ///< Since then.
  bool m_Failed = false;
};

} // namespace dotterel

#endif // DOTTEREL_HOST_HOSTPROCESS_H
