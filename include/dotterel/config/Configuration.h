//===- Configuration.h - Presets, routes and keys ---------------*- C++ -*-===//
///
/// \file
/// Presets, routes and keys, as one immutable value per revision.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CONFIG_CONFIGURATION_H
#define DOTTEREL_CONFIG_CONFIGURATION_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/config/KeyTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

/// Priority class of a request, which decides the order of work when engine
/// capacity is short.
enum class WorkClass : std::uint8_t {
  Interactive, ///< Latency-sensitive; scheduled first.
  Standard,
  Batch, ///< May wait, but must be completed.
};

/// A named set of operating parameters that operators switch between.
struct Preset {
  PresetId m_Id;
  bool m_RoleChanges = true;  ///< Whether engines may change role.
  bool m_CheapServers = true; ///< Whether cheap backend servers are used.
  /// Whether backend servers are started and stopped according to the load.
  bool m_ServerOrders = false;
  /// Minimum number of running servers in each group if m_ServerOrders is set.
  std::uint32_t m_MinServers = 1;
  std::uint32_t m_QueueLimit = 1000; ///< Maximum waiting requests per gate.
  Milliseconds m_InteractiveDeadline{5'000};
  Milliseconds m_StandardDeadline{60'000};
  Milliseconds m_BatchDeadline{600'000};
};

/// A plain service that callers reach under `/<id>/`.
struct Route {
  RouteId m_Id;
  std::string m_Service; ///< Backend servers of this service handle the calls.
  bool m_Open = false;   ///< Whether callers need no key.
  bool m_Idempotent = false;
  bool m_CheapServers = false;
  Milliseconds m_Timeout{30'000};
};

/// All operator settings at one revision.
struct Configuration {
  ConfigRevision m_Revision;
  PresetId m_PresetInForce;
  std::map<PresetId, Preset> m_Presets;
  std::map<RouteId, Route> m_Routes;
  /// Backend servers that operators have excluded from new work.
  std::set<BackendId> m_Drained;
  /// Backend servers that are excluded from new work because the planner is
  /// stopping them.
  std::set<BackendId> m_Stopping;
  KeyTable m_Keys;

  /// \pre the configuration has been validated.
  [[nodiscard]] auto presetInForce() const -> const Preset & {
    return m_Presets.at(m_PresetInForce);
  }

  /// Returns the backend servers that get no new work, drained or stopping.
  /// Complexity: linear.
  [[nodiscard]] auto backendsWithoutNewWork() const -> std::set<BackendId>;

  /// Validates all settings.
  /// \throws ConfigurationError 202 naming the path and the reason.
  auto validate() const -> void;
};

/// Returns the configuration of a new installation: one preset, no keys.
auto initialConfiguration() -> Configuration;

/// Encodes the head document, which holds everything except the keys.
/// Complexity: linear.
auto encodeHead(const Configuration &Value) -> std::string;

/// Builds a configuration from \p Head and the shard documents; a document that
/// is missing from \p Shards is taken from \p Known.
///
/// \returns nothing if the digest of a shard differs from the one in the head,
/// as happens when head and shards were read at different revisions.
/// \throws ConfigurationError 201 for malformed documents.
auto assembleConfiguration(const std::string &Head,
                           const std::map<std::size_t, std::string> &Shards,
                           const Configuration *Known)
    -> std::optional<Configuration>;

} // namespace dotterel

#endif // DOTTEREL_CONFIG_CONFIGURATION_H
