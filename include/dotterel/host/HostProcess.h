//===- HostProcess.h - A serving host ---------------------------*- C++ -*-===//
///
/// \file
/// Puts the serving core, the store's mirrors, usage and the fleet duty
/// together on one loop.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_HOST_HOSTPROCESS_H
#define DOTTEREL_HOST_HOSTPROCESS_H

#include "dotterel/base/TrueTime.h"
#include "dotterel/host/FleetDuty.h"
#include "dotterel/host/HostSettings.h"
#include "dotterel/io/EventLoop.h"
#include "dotterel/io/LogOutput.h"
#include "dotterel/io/StrictHttpServer.h"
#include "dotterel/peers/LoadExchange.h"
#include "dotterel/peers/StoreRelay.h"
#include "dotterel/peers/UsageRelay.h"
#include "dotterel/serving/ServingCore.h"
#include "dotterel/store/KeyspaceMirror.h"
#include "dotterel/supervision/Supervisor.h"
#include "dotterel/usage/UsageRecorder.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dotterel {

/// Decodes the records that others keep in the store.
class RecordReader {
public:
  virtual ~RecordReader() = default;

  /// Keys below which the records stand.
  [[nodiscard]] virtual auto configurationKey() const -> std::string = 0;
  [[nodiscard]] virtual auto backendPrefix() const -> std::string = 0;

  /// \throws ConfigurationError 201 when the record cannot be read.
  [[nodiscard]] virtual auto configuration(const std::string &Record) const
      -> ServingConfiguration = 0;
  /// \throws ProtocolError 301 when the record cannot be read.
  [[nodiscard]] virtual auto backend(const std::string &Key,
                                     const std::string &Record) const
      -> BackendRecord = 0;
  [[nodiscard]] virtual auto backendOf(const std::string &Key) const
      -> BackendId = 0;
};

/// The outside of a host, spoken in the platform's protocol.
struct HostPorts {
  KeyValueStore &m_Store;
  StoreWatch &m_Watch;
  BackendTransport &m_Transport;
  FleetCalls &m_Fleet;
  DatagramPort &m_Datagrams;
  const RecordReader &m_Records;
  /// Reads the settings anew. \throws SettingsError 101.
  std::function<HostSettings()> m_ReadSettings;
};

struct HostOptions {
  HostSettings m_Settings;
  std::string m_MetricsAddress; ///< IP:PORT; empty: no metrics are served.
  FleetPlannerOptions m_Planner;
};

/// One host of the system.
class HostProcess {
public:
  HostProcess(EventLoop &Loop, const HostPorts &Ports,
              const HostOptions &Options);
  HostProcess(const HostProcess &) = delete;
  auto operator=(const HostProcess &) -> HostProcess & = delete;
  ~HostProcess();

  /// Serves until SIGTERM. \returns the exit code.
  auto run(HttpHandler &Callers, HttpHandler &Readiness) -> int;

  auto serve(CallerExchangePtr Exchange) -> void;

  /// Whether the balancer may send new connections.
  [[nodiscard]] auto ready() const -> bool;

private:
  auto buildTree(HttpHandler &Callers, HttpHandler &Readiness) -> void;
  [[nodiscard]] auto backendsAge() const -> Duration;
  auto recordBackends(MonotonicTime At) -> void;
  [[nodiscard]] auto relayHooks() -> StoreRelayHooks;
  [[nodiscard]] auto busyEngines() const -> std::optional<double>;
  [[nodiscard]] auto mayCampaign() const -> bool;
  auto takeConfiguration(const KeyChange &Change) -> void;
  auto takeBackend(const KeyChange &Change) -> void;
  auto receive(const std::string &Address, std::string_view Bytes) -> void;
  auto reload() -> void;
  auto tick() -> void;
  auto drain(std::function<void()> Done) -> void;
  auto drainUsage(std::function<void()> Done) -> void;
  auto finishDrain(const std::function<void()> &Done) -> void;

  EventLoop &m_Loop;
  HostPorts m_Ports;
  HostOptions m_Options;
  Random m_Random;
  LogOutput m_Log;
  TrueTime m_Time;
  Distance m_Distance;
  ServingMetrics m_Metrics;
  ServingCore m_Core;
  HostRegistry m_Hosts;
  LoadExchange m_Exchange;
  StoreRelay m_Relay;
  KeyspaceMirror m_ConfigurationMirror;
  KeyspaceMirror m_BackendMirror;
  UsageRecorder m_Usage;
  UsageRelay m_UsageRelay;
  FleetDuty m_Duty;
  Supervisor m_Tree;
  std::optional<StrictHttpServer> m_CallerServer;
  std::optional<StrictHttpServer> m_ReadinessServer;
  std::optional<StrictHttpServer> m_MetricsServer;
  std::unique_ptr<HttpHandler> m_MetricsHandler;
  std::optional<RepeatingTimer> m_TickTimer;
  std::optional<RepeatingTimer> m_DrainTimer;
  std::optional<MonotonicTime> m_DrainSince;
  /// The registered servers were known as of this time.
  std::optional<MonotonicTime> m_BackendsEvidence;
  bool m_Failed = false;
};

} // namespace dotterel

#endif // DOTTEREL_HOST_HOSTPROCESS_H
