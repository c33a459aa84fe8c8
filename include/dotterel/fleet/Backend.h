//===- Backend.h - Backend servers ------------------------------*- C++ -*-===//
///
/// \file
/// The platform's list of backend servers, and the servers' load reports.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_BACKEND_H
#define DOTTEREL_FLEET_BACKEND_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <string>
#include <vector>

namespace dotterel {

/// The stage of requests that an engine's batches favour.
enum class EngineRole : std::uint8_t { Mixed, Prefill, Decode };

/// Returns the role's name in messages: `mixed`, `prefill` or `decode`.
auto roleName(EngineRole Role) -> std::string;

/// Returns the role with the name \p Name.
///
/// \throws ProtocolError 301 for any other text.
auto parseRole(const std::string &Name) -> EngineRole;

/// An entry of the platform's list of backend servers.
struct Backend {
  BackendId m_Id;
  std::string m_Service; ///< Empty for model engines.
  std::vector<ModelId> m_Models;
  DataCentreId m_DataCentre;
  RegionId m_Region;
  std::string m_Url;
  SoftwareVersion m_Version;
  bool m_Cheap = false;         ///< May be reclaimed at any time.
  bool m_ChecksFencing = false; ///< Refuses orders with an old fencing token.
  bool m_Leaving = false;       ///< Takes no new work.
  bool m_Stopped = false;       ///< Does not run. Implies m_Leaving.

  auto operator==(const Backend &) const -> bool = default;
};

/// An engine's report of its load.
struct EngineLoad {
  std::string m_Incarnation;
  EngineRole m_Role = EngineRole::Mixed;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Slots = 1;
  std::uint64_t m_QueuedPrefillTokens = 0;
  double m_PrefillTokensPerSecond = 1.0;
  double m_DecodeTokensPerSecond = 1.0; ///< For a single stream.
};

/// Decodes the platform's list of backend servers.
///
/// \throws ProtocolError 301 for a malformed response of the platform.
auto parseBackends(const std::string &Document) -> std::vector<Backend>;

/// Decodes an engine's load report.
///
/// \throws ProtocolError 301 for a malformed report.
auto parseLoad(const std::string &Document) -> EngineLoad;

} // namespace dotterel

#endif // DOTTEREL_FLEET_BACKEND_H
