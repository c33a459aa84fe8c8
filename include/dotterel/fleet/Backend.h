//===- Backend.h - Backend servers ------------------------------*- C++ -*-===//
///
/// \file
/// What the platform lists and what backend servers report of themselves.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_BACKEND_H
#define DOTTEREL_FLEET_BACKEND_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <string>
#include <vector>

namespace dotterel {

/// Which kind of work an engine's batches favour.
enum class EngineRole : std::uint8_t { Mixed, Prefill, Decode };

/// The role's name in messages: `mixed`, `prefill`, `decode`.
auto roleName(EngineRole Role) -> std::string;

/// \throws ProtocolError 301 for any other text.
auto parseRole(const std::string &Name) -> EngineRole;

/// A backend server as the platform lists it.
struct Backend {
  BackendId m_Id;
  std::string m_Service; ///< Empty for model engines.
  std::vector<ModelId> m_Models;
  DataCentreId m_DataCentre;
  RegionId m_Region;
  std::string m_Url;
  bool m_Cheap = false;         ///< May be reclaimed at any time.
  bool m_ChecksFencing = false; ///< Refuses orders with an old number.
  bool m_Leaving = false;       ///< Takes no new work.
  bool m_Stopped = false;       ///< Does not run; then it is leaving as well.

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
  double m_DecodeTokensPerSecond = 1.0; ///< Of one stream.
};

/// \throws ProtocolError 301 for a malformed answer of the platform.
auto parseBackends(const std::string &Document) -> std::vector<Backend>;

/// \throws ProtocolError 301 for a malformed report.
auto parseLoad(const std::string &Document) -> EngineLoad;

} // namespace dotterel

#endif // DOTTEREL_FLEET_BACKEND_H
