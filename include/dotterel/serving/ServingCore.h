//===- ServingCore.h - Decisions about callers' requests --------*- C++ -*-===//
///
/// \file
/// Checks requests against the configuration in force and serves them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVINGCORE_H
#define DOTTEREL_SERVING_SERVINGCORE_H

#include "dotterel/config/Freshness.h"
#include "dotterel/serving/ServedRequest.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace dotterel {

struct ServingCoreOptions {
  /// Keyed work needs evidence of the configuration that is not older.
  Duration m_EvidenceBound = Milliseconds(3500);
  /// Whether a host without evidence refuses keyed work.
  bool m_RequireEvidence = true;
  RetryWindowOptions m_Retries;
  OutlierOptions m_Outliers;
  LoadBookOptions m_Loads;
  PrefillSpeedOptions m_Speed;
  ServerChoiceOptions m_ServerChoice;
  EnginePlacementOptions m_Placement;
  ServedRequestOptions m_Requests;
};

/// The serving core of one host. It knows neither HTTP nor the platform.
///
/// \invariant The configuration's revision never falls.
class ServingCore {
public:
  ServingCore(Scheduler &Scheduler, Random &Random, BackendTransport &Transport,
              const Distance &Distance, ServingMetrics &Metrics,
              std::function<void(const OrganisationId &)> CountUsage,
              const ServingCoreOptions &Options);
  ServingCore(const ServingCore &) = delete;
  auto operator=(const ServingCore &) -> ServingCore & = delete;
  ~ServingCore();

  /// Puts \p Configuration in force when it is newer. \returns whether it is.
  auto apply(ServingConfiguration Configuration) -> bool;

  /// At \p SentAt the store held no configuration newer than ours.
  auto recordEvidence(MonotonicTime SentAt) -> void {
    m_Freshness.recordOwnRead(SentAt);
  }

  auto serve(CallerExchangePtr Exchange) -> void;

  /// What this host has under way, and the prompts read since the call before.
  auto takeLoads() -> LoadSummary;

  /// What another host, or another data centre, has under way.
  auto applyLoads(const std::string &Origin, const LoadSummary &Loads) -> void;

  [[nodiscard]] auto directory() -> BackendDirectory & { return m_Directory; }
  /// Null before the first configuration.
  [[nodiscard]] auto configuration() const -> const ServingConfiguration * {
    return m_Configuration.get();
  }
  [[nodiscard]] auto prefillSpeed() const -> const PrefillSpeed & {
    return m_Speed;
  }
  [[nodiscard]] auto evidenceAge() const -> Duration;
  [[nodiscard]] auto active() const -> std::size_t { return m_Requests.size(); }

private:
  auto refuse(const CallerExchangePtr &Exchange, RefusalCode Code,
              const char *Detail, std::optional<Duration> RetryAfter) -> void;
  auto chooseService(const ServingRoute &Route) -> const ServiceSpec *;
  auto retire(std::uint64_t Id) -> void;

  Scheduler &m_Scheduler;
  ServingCoreOptions m_Options;
  BackendDirectory m_Directory;
  LoadBook m_Loads;
  OutlierDetector m_Health;
  PartCaches m_Caches;
  PrefillSpeed m_Speed;
  RetryWindow m_Retries;
  FreshnessTracker m_Freshness;
  ServerChoice m_ServerChoice;
  EnginePlacement m_Placement;
  Random &m_Random;
  ServingMetrics &m_Metrics;
  ServingContext m_Context;
  std::shared_ptr<const ServingConfiguration> m_Configuration;
  std::optional<RouteTable> m_Routes;
  std::unordered_map<std::uint64_t, std::unique_ptr<ServedRequest>> m_Requests;
  std::uint64_t m_LastRequest = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_SERVINGCORE_H
