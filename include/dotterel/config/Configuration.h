//===- Configuration.h - What is in force -----------------------*- C++ -*-===//
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

/// How work is ordered when engines are short.
enum class WorkClass : std::uint8_t {
  Interactive, ///< Must feel instant; goes first.
  Standard,
  Batch, ///< May wait, must arrive.
};

/// A set of operating choices that operators switch between.
struct Preset {
  PresetId m_Id;
  bool m_RoleChanges = true;  ///< Whether engines may change role.
  bool m_CheapServers = true; ///< Whether cheap backend servers take work.
  /// Whether backend servers are started and stopped by the load.
  bool m_ServerOrders = false;
  /// Servers of each group that run in any case, where they are ordered.
  std::uint32_t m_LeastServers = 1;
  std::uint32_t m_QueueLimit = 1000; ///< Waiting requests at each gate.
  Milliseconds m_InteractiveDeadline{5'000};
  Milliseconds m_StandardDeadline{60'000};
  Milliseconds m_BatchDeadline{600'000};
};

/// A plain service that callers reach under `/<id>/`.
struct Route {
  RouteId m_Id;
  std::string m_Service; ///< Backend servers of this service take the calls.
  bool m_Open = false;   ///< Callers need no key.
  bool m_Idempotent = false;
  bool m_CheapServers = false;
  Milliseconds m_Timeout{30'000};
};

/// Everything that operators set, at one revision.
struct Configuration {
  ConfigRevision m_Revision;
  PresetId m_PresetInForce;
  std::map<PresetId, Preset> m_Presets;
  std::map<RouteId, Route> m_Routes;
  /// Backend servers that get no new work, by operators' order.
  std::set<BackendId> m_Drained;
  /// Backend servers that get no new work, since the planner stops them.
  std::set<BackendId> m_Stopping;
  KeyTable m_Keys;

  /// \pre the configuration has been validated.
  [[nodiscard]] auto presetInForce() const -> const Preset & {
    return m_Presets.at(m_PresetInForce);
  }

  /// Backend servers that get no new work, whoever ordered it.
  /// Complexity: linear.
  [[nodiscard]] auto withoutNewWork() const -> std::set<BackendId>;

  /// \throws ConfigurationError 202 naming the path and the reason.
  auto validate() const -> void;
};

/// The configuration of a new installation: one preset, no keys.
auto initialConfiguration() -> Configuration;

/// The head document: all but the keys. Complexity: linear.
auto encodeHead(const Configuration &Value) -> std::string;

/// Builds a configuration from \p Head and the shard documents; a document
/// missing from \p Shards is taken from \p Known.
///
/// \returns nothing when a shard's digest is not the one the head names, as
/// happens when head and shards were read at different revisions.
/// \throws ConfigurationError 201 for malformed documents.
auto assembleConfiguration(const std::string &Head,
                           const std::map<std::size_t, std::string> &Shards,
                           const Configuration *Known)
    -> std::optional<Configuration>;

} // namespace dotterel

#endif // DOTTEREL_CONFIG_CONFIGURATION_H
