//===- GateServices.h - What a gate's calls share ---------------*- C++ -*-===//
///
/// \file
/// The parts of a gate that its calls work with.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_GATESERVICES_H
#define DOTTEREL_GATE_GATESERVICES_H

#include "dotterel/base/DemandMeter.h"
#include "dotterel/base/Random.h"
#include "dotterel/base/Scheduler.h"
#include "dotterel/config/ConfigurationHolder.h"
#include "dotterel/config/Freshness.h"
#include "dotterel/gate/Credentials.h"
#include "dotterel/gate/DecisionLog.h"
#include "dotterel/gate/Metrics.h"
#include "dotterel/gate/Refusal.h"
#include "dotterel/io/HttpClient.h"
#include "dotterel/io/HttpServer.h"
#include "dotterel/ledger/ClaimBook.h"
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
class LossInspector;

/// Bounds of a gate's work.
struct GateLimits {
  Duration m_StallTimeout = Seconds(15);    ///< Of an engine's stream.
  Duration m_RequestTimeout = Seconds(600); ///< From arrival to the end.
  std::uint32_t m_MostAttempts = 4;         ///< Of one request.
  std::size_t m_BacklogBytes = std::size_t{1} << 20U; ///< Of a slow reader.
  std::size_t m_RecordedBodyBytes = 4096;             ///< Kept of an answer.
};

/// References to a gate's parts; they live as long as the gate.
struct GateServices {
  Scheduler &m_Scheduler;
  Random &m_Random;
  HttpClient &m_Client;
  ConfigurationHolder &m_Configuration;
  FreshnessTracker &m_Freshness;
  MemberTable &m_Members;
  std::set<ProcessId> &m_Listed;
  EngineTable &m_Engines;
  RoutingPolicy &m_Routing;
  Dispatcher &m_Dispatcher;
  LossInspector &m_Losses;
  ClaimBook &m_Claims;
  UsageRecorder &m_Usage;
  CrashRegistry &m_Crashes;
  RetryBudget &m_OrganisationRetries;
  RetryBudget &m_BackendRetries;
  GateMetrics &m_Metrics;
  DecisionLog &m_Decisions;
  DemandMeter &m_Demand;
  GateLimits m_Limits;
  std::string m_KeySecret;
};

/// Who the request runs for, or why it does not run.
auto authorize(const GateServices &Services, const HttpRequest &Request)
    -> std::variant<Caller, Refusal>;

/// Whether an authorized request may still begin: the key is granted by a
/// configuration that is fresh enough.
auto recheck(const GateServices &Services, const Caller &Caller)
    -> std::optional<Refusal>;

/// A request in progress.
class GateCall {
public:
  virtual ~GateCall() = default;

  /// The configuration has changed; a call whose key was withdrawn ends.
  virtual auto onConfigurationChange() -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_GATESERVICES_H
