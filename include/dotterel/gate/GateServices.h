//===- GateServices.h - Shared services of a gate ---------------*- C++ -*-===//
///
/// \file
/// Declares the services that the calls of a gate share.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_GATESERVICES_H
#define DOTTEREL_GATE_GATESERVICES_H

#include "dotterel/base/DemandMeter.h"
#include "dotterel/base/Random.h"
#include "dotterel/base/Scheduler.h"
#include "dotterel/config/ConfigurationHolder.h"
#include "dotterel/config/Freshness.h"
#include "dotterel/fleet/BackendClient.h"
#include "dotterel/gate/Credentials.h"
#include "dotterel/gate/DecisionLog.h"
#include "dotterel/gate/Metrics.h"
#include "dotterel/gate/Refusal.h"
#include "dotterel/io/HttpServer.h"
#include "dotterel/ledger/ClaimRouter.h"
#include "dotterel/poison/CrashRegistry.h"
#include "dotterel/routing/EngineTable.h"
#include "dotterel/routing/RetryBudget.h"
#include "dotterel/routing/RoutingPolicy.h"
#include "dotterel/usage/UsageRecorder.h"

#include <functional>
#include <set>
#include <string>
#include <variant>

namespace dotterel {

class Dispatcher;
class BackendLossDetector;

/// Limits for the requests of a gate.
struct GateLimits {
  /// Maximum time without data from an engine during a response.
  Duration m_StallTimeout = Seconds(15);
  /// Maximum duration of one attempt on an engine.
  Duration m_RequestTimeout = Seconds(600);
  /// Maximum number of attempts for one request.
  std::uint32_t m_MaxAttempts = 4;
  /// Maximum unsent part of a stream to a slow caller.
  std::size_t m_MaxBacklogBytes = std::size_t{1} << 20U;
  /// Maximum body size of a response that is recorded for replay.
  std::size_t m_MaxRecordedBodyBytes = 4096;
};

/// References to the components of a gate, which live as long as the gate.
struct GateServices {
  Scheduler &m_Scheduler;
  Random &m_Random;
  /// The only way to backend servers.
  BackendClient &m_Backends;
  ConfigurationHolder &m_Configuration;
  FreshnessTracker &m_Freshness;
  MemberTable &m_Members;
  std::set<ProcessId> &m_ListedProcesses;
  EngineTable &m_Engines;
  RoutingPolicy &m_Routing;
  Dispatcher &m_Dispatcher;
  BackendLossDetector &m_LossDetector;
  ClaimRouter &m_Claims;
  UsageRecorder &m_Usage;
  CrashRegistry &m_Crashes;
  /// Called when this gate has observed that digests crash engines, or do not.
  std::function<void(const std::vector<RequestDigest> &)> m_OnCrashEvidence;
  RetryBudget &m_OrganisationRetries;
  RetryBudget &m_BackendRetries;
  GateMetrics &m_Metrics;
  DecisionLog &m_Decisions;
  DemandMeter &m_Demand;
  GateLimits m_Limits;
  std::string m_KeySecret;
};

/// Returns the organisation that the request's key belongs to, or the reason
/// why the request is refused.
auto authorize(const GateServices &Services, const HttpRequest &Request)
    -> std::variant<Caller, Refusal>;

/// Checks whether an authorised request may still start. Returns a refusal if
/// the key is no longer granted or the configuration is stale; std::nullopt
/// otherwise.
auto recheckAuthorization(const GateServices &Services, const Caller &Caller)
    -> std::optional<Refusal>;

/// Records what a response of \p Server states about its request rate in the
/// header x-rate-limit.
auto recordRateLimit(const GateServices &Services, const BackendId &Server,
                     const HttpHeaders &Headers) -> void;

/// A request in progress.
class GateCall {
public:
  virtual ~GateCall() = default;

  /// Called when the configuration has changed. Ends the call if its key was
  /// withdrawn, unless the call can no longer be stopped.
  virtual auto onConfigurationChange() -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_GATESERVICES_H
