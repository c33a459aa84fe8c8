//===- ServingConfiguration.h - Active routes and services ------*- C++ -*-===//
///
/// \file
/// Configuration set by the operators, as the serving core uses it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVINGCONFIGURATION_H
#define DOTTEREL_SERVING_SERVINGCONFIGURATION_H

#include "dotterel/admission/OrganisationLimits.h"
#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/io/StrictHttpServer.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dotterel {

using ServiceId = TextId<struct ServiceTag>;

/// How a request may be handled after a failure.
enum class RequestKind : std::uint8_t {
  Safe,   ///< May be executed more than once.
  Unsafe, ///< Is executed at most once.
  Stream, ///< A prompt whose response is a stream of events.
};

struct TrafficShare {
  ServiceId m_Service;
  double m_Weight = 1.0;
};

struct ServingRoute {
  RouteId m_Id;
  std::string m_Host;
  std::string m_PathPrefix; ///< Begins and ends with a slash.
  RequestKind m_Kind = RequestKind::Unsafe;
  Duration m_Timeout{}; ///< Maximum time that a caller waits.
  /// Target time to the response, or to its first event.
  Duration m_LatencyTarget{};
  Duration m_GapTarget{};       ///< Target for the maximum time between events.
  std::uint32_t m_Priority = 0; ///< 0 is the highest priority.
  std::vector<TrafficShare> m_Shares;
  /// Maximum number of servers that may execute a request.
  std::uint32_t m_MaxAttempts = 1;
  bool m_Public = false;    ///< Requests need no key.
  bool m_Resumable = false; ///< Another server may resume a stream.

  /// Returns whether a request of this route may be executed more than once.
  [[nodiscard]] auto repeatable() const -> bool {
    return m_Kind == RequestKind::Safe ||
           (m_Kind == RequestKind::Stream && m_Resumable);
  }
};

/// Properties of the engines of a service.
struct EngineTraits {
  std::uint32_t m_Slots = 1; ///< Maximum number of requests in a batch.
  TokenCount m_CacheCapacity;
  std::uint64_t m_BytesPerToken = 0; ///< KV cache size of one token.
  double m_LinkMegabitsPerSecond = 0;
  Duration m_HandleLifetime{}; ///< Time for which a finished prefill is kept.
  /// Time for which an engine is unavailable when it changes its role.
  Duration m_RoleChangeTime{};
};

/// Limits and prices of the servers that may be ordered for a service.
struct ServerBounds {
  /// In one data centre, ordinary and reclaimable together.
  std::uint32_t m_MinServers = 0;
  std::uint32_t m_MaxServers = 0;
  Duration m_StartTime{};
  double m_ReclaimablePrice = 1.0; ///< As a share of the ordinary price.
  std::map<DataCentreId, double> m_Prices; ///< Price of a server per second.
};

struct ServiceSpec {
  ServiceId m_Id;
  std::string m_HealthPath;
  /// Maximum for each server, over all hosts.
  std::uint32_t m_MaxConnections = 0;
  std::optional<EngineTraits> m_Engine; ///< Empty for a plain service.
  /// Empty if the fleet has a fixed size.
  std::optional<ServerBounds> m_Bounds;
};

/// Organisation and priority that belong to a key.
struct KeyHolder {
  OrganisationId m_Organisation;
  std::optional<std::uint32_t> m_Priority; ///< Overrides the route's priority.
};

/// A remark on an entry of a configuration. Contains no key.
struct ConfigurationFinding {
  std::string m_Path; ///< Place in the configuration, such as `routes[3]`.
  std::string m_Reason;
};

/// One accepted configuration.
///
/// \invariant Routes of the same host have different prefixes.
struct ServingConfiguration {
  ConfigRevision m_Revision;
  std::vector<ServingRoute> m_Routes;
  std::map<ServiceId, ServiceSpec> m_Services;
  CallerLimits m_Limits;
  bool m_KeysRequired = false; ///< Whether any organisation is configured.
  std::unordered_map<std::string, KeyHolder> m_Keys;
  /// Entries that have no effect, since an earlier one has the same name or
  /// key, or since they are empty.
  std::vector<ConfigurationFinding> m_IgnoredEntries;
  OrganisationLimitTable m_OrganisationLimits;
};

/// Looks up routes. Refers to the configuration it was built from, which must
/// outlive it.
class RouteTable {
public:
  explicit RouteTable(const ServingConfiguration &Configuration);

  /// Returns the route of \p Host with the longest prefix that matches \p Path,
  /// or null. Complexity: linear in the number of the host's routes.
  [[nodiscard]] auto find(const std::string &Host, std::string_view Path) const
      -> const ServingRoute *;

private:
  /// Longest prefix first.
  std::unordered_map<std::string, std::vector<const ServingRoute *>> m_ByHost;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_SERVINGCONFIGURATION_H
