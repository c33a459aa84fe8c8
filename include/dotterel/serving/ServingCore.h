//===- ServingCore.h - Checks and serves callers' requests ------*- C++ -*-===//
///
/// \file
/// Checks requests against the active configuration and serves them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVINGCORE_H
#define DOTTEREL_SERVING_SERVINGCORE_H

#include "dotterel/admission/ShutdownAdmission.h"
#include "dotterel/config/Freshness.h"
#include "dotterel/serving/ServedRequest.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace dotterel {

struct ServingCoreOptions {
  /// Maximum age of the configuration confirmation for requests that need a
  /// key.
  Duration m_MaxConfirmationAge = Milliseconds(3500);
  /// Whether requests that need a key are refused if the confirmation is
  /// missing or too old.
  bool m_RequireConfirmation = true;
  RetryWindowOptions m_Retries;
  ServerRateLimitOptions m_RateLimits;
  OrganisationLimitOptions m_OrganisationLimits;
  /// Number of this process, which no earlier one of the host had.
  std::uint64_t m_Incarnation = 0;
  ServerAccessOptions m_Access;
  OutlierOptions m_Outliers;
  LoadTrackerOptions m_Loads;
  PrefillSpeedOptions m_Speed;
  ServerSpeedOptions m_Speeds;
  CrashMonitorOptions m_Crashes;
  ServerChoiceOptions m_ServerChoice;
  EnginePlacementOptions m_Placement;
  OffloadOptions m_Offload;
  ServedRequestOptions m_Requests;
};

/// Serving core of one host, independent of HTTP and of the platform.
///
/// \invariant The revision of the configuration never decreases.
class ServingCore {
public:
  ServingCore(Scheduler &Scheduler, Random &Random, BackendTransport &Transport,
              const Distance &Distance, ServingMetrics &Metrics,
              std::function<void(const OrganisationId &)> CountUsage,
              const ServingCoreOptions &Options);
  ServingCore(const ServingCore &) = delete;
  auto operator=(const ServingCore &) -> ServingCore & = delete;
  ~ServingCore();

  /// Activates \p Configuration if it is newer than the current one. \returns
  /// whether it was activated.
  auto apply(ServingConfiguration Configuration) -> bool;

  /// Records that at \p SentAt the store had no configuration newer than the
  /// active one.
  auto recordConfirmation(MonotonicTime SentAt) -> void {
    m_Freshness.recordOwnRead(SentAt);
  }

  /// Starts to refuse the requests that the process cannot finish before it
  /// exits.
  auto beginShutdown(const ShutdownPeriods &Periods) -> void;

  /// Ends the requests in flight, and refuses all others from now on.
  auto endShutdown() -> void;

  /// Has the origins of streams shared with other hosts. Without it, only
  /// streams that this host served are taken up again. \p Origins must outlive
  /// the core.
  auto shareOrigins(StreamOrigins &Origins) -> void {
    m_Context.m_Origins = &Origins;
  }

  auto serve(CallerExchangePtr Exchange) -> void;

  /// Returns this host's requests in flight and the prompts prefilled since the
  /// previous call.
  auto collectLoads() -> LoadSummary;

  /// Applies the load that \p Origin, another host or another data centre,
  /// reports.
  auto applyLoads(const std::string &Origin, const LoadSummary &Loads) -> void;

  [[nodiscard]] auto directory() -> BackendDirectory & { return m_Directory; }
  [[nodiscard]] auto rateLimits() -> ServerRateLimits & {
    return m_Access.rateLimits();
  }
  [[nodiscard]] auto organisationLimits() -> OrganisationLimits & {
    return m_OrganisationLimits;
  }
  [[nodiscard]] auto access() -> ServerAccess & { return m_Access; }
  [[nodiscard]] auto crashes() -> CrashMonitor & { return m_Crashes; }
  /// Returns the active configuration, or null if there is none yet.
  [[nodiscard]] auto configuration() const -> const ServingConfiguration * {
    return m_Configuration.get();
  }
  [[nodiscard]] auto prefillSpeed() const -> const PrefillSpeed & {
    return m_Speed;
  }
  [[nodiscard]] auto speeds() const -> const ServerSpeeds & { return m_Speeds; }
  [[nodiscard]] auto shutdown() const -> const ShutdownAdmission & {
    return m_Shutdown;
  }
  [[nodiscard]] auto confirmationAge() const -> Duration;
  [[nodiscard]] auto active() const -> std::size_t { return m_Requests.size(); }

private:
  auto refuse(const CallerExchangePtr &Exchange, RefusalCode Code,
              const std::string &Detail, std::optional<Duration> RetryAfter)
      -> void;
  /// Refuses the request if it may last longer than the process. \returns
  /// whether it was refused.
  auto refuseForShutdown(const CallerExchangePtr &Exchange,
                         const ServingRoute &Route) -> bool;
  /// Refuses the request if it is over its organisation's limit. \returns
  /// whether it was refused.
  auto refuseOverLimit(const CallerExchangePtr &Exchange,
                       RequestParameters &Parameters) -> bool;
  auto chooseService(const ServingRoute &Route) -> const ServiceSpec *;
  auto retire(std::uint64_t Id) -> void;

  Scheduler &m_Scheduler;
  ServingCoreOptions m_Options;
  BackendDirectory m_Directory;
  LoadTracker m_Loads;
  OutlierDetector m_Health;
  PartCaches m_Caches;
  PrefillSpeed m_Speed;
  ServerSpeeds m_Speeds;
  RetryWindow m_Retries;
  ServerAccess m_Access;
  OrganisationLimits m_OrganisationLimits;
  CrashMonitor m_Crashes;
  FreshnessTracker m_Freshness;
  ShutdownAdmission m_Shutdown;
  ServerChoice m_ServerChoice;
  EnginePlacement m_Placement;
  OffloadDecisions m_Offloads;
  LocalStreamOrigins m_LocalOrigins;
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
