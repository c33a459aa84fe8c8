//===- ServingConfiguration.h - Routes and services in force ----*- C++ -*-===//
///
/// \file
/// What the operators have put in force, as the serving core reads it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVINGCONFIGURATION_H
#define DOTTEREL_SERVING_SERVINGCONFIGURATION_H

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

/// What may be done with a request after a failure.
enum class RequestKind : std::uint8_t {
  Safe,   ///< May run more than once.
  Unsafe, ///< Runs at most once.
  Stream, ///< A prompt whose answer is a series of events.
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
  Duration m_Timeout{};         ///< Longest time that a caller is kept waiting.
  Duration m_LatencyTarget{};   ///< Up to the answer, or to its first event.
  Duration m_GapTarget{};       ///< Longest pause between events.
  std::uint32_t m_Priority = 0; ///< 0 is the most urgent.
  std::vector<TrafficShare> m_Shares;
  std::uint32_t m_MaximumAttempts = 1; ///< Backend servers that may run it.
  bool m_Public = false;               ///< Needs no key.
  bool m_Resumable = false; ///< A stream may go on at another server.

  /// Whether a request of this route may run more than once.
  [[nodiscard]] auto repeatable() const -> bool {
    return m_Kind == RequestKind::Safe ||
           (m_Kind == RequestKind::Stream && m_Resumable);
  }
};

/// Properties of the engines of a service.
struct EngineTraits {
  std::uint32_t m_Slots = 1; ///< Requests in one batch.
  TokenCount m_CacheCapacity;
  std::uint64_t m_BytesPerToken = 0; ///< Of KV cache.
  double m_LinkMegabitsPerSecond = 0;
  Duration m_HandleLife{};     ///< How long a finished prefill is kept.
  Duration m_RoleChangeTime{}; ///< Absence of an engine that changes roles.
};

/// How many servers of a service may be ordered.
struct ServerBounds {
  std::uint32_t m_Least = 0; ///< In one data centre, of both kinds together.
  std::uint32_t m_Most = 0;
  Duration m_StartTime{};
  double m_ReclaimablePrice = 1.0;         ///< Share of the ordinary price.
  std::map<DataCentreId, double> m_Prices; ///< Of a server second.
};

struct ServiceSpec {
  ServiceId m_Id;
  std::string m_HealthPath;
  std::uint32_t m_MaximumConnections = 0; ///< Of each server, from all hosts.
  std::optional<EngineTraits> m_Engine;   ///< Empty: a plain service.
  std::optional<ServerBounds> m_Bounds;   ///< Empty: the fleet is fixed.
};

/// The holder of a key.
struct KeyHolder {
  OrganisationId m_Organisation;
  std::optional<std::uint32_t> m_Priority; ///< Goes before the route's.
};

/// One accepted configuration.
///
/// \invariant Routes of one host have different prefixes.
struct ServingConfiguration {
  ConfigRevision m_Revision;
  std::vector<ServingRoute> m_Routes;
  std::map<ServiceId, ServiceSpec> m_Services;
  CallerLimits m_Limits;
  bool m_KeysRequired = false; ///< Whether any organisation is configured.
  std::unordered_map<std::string, KeyHolder> m_Keys;
};

/// Finds routes. It points into the configuration it was made from.
class RouteTable {
public:
  explicit RouteTable(const ServingConfiguration &Configuration);

  /// The route of \p Host with the longest prefix that begins \p Path, or null.
  /// Complexity: linear in the host's routes.
  [[nodiscard]] auto find(const std::string &Host, std::string_view Path) const
      -> const ServingRoute *;

private:
  /// Longest prefix first.
  std::unordered_map<std::string, std::vector<const ServingRoute *>> m_ByHost;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_SERVINGCONFIGURATION_H
