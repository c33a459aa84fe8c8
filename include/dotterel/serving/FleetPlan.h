//===- FleetPlan.h - What one planner leaves to the next --------*- C++ -*-===//
///
/// \file
/// The state of a fleet planner, as it is kept in the store.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_FLEETPLAN_H
#define DOTTEREL_SERVING_FLEETPLAN_H

#include "dotterel/serving/BackendRecord.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace dotterel {

/// Reclaimable servers of a service in one data centre.
struct PlannedSupply {
  std::uint32_t m_Wanted = 0; ///< Asked for.
  bool m_Short = false;       ///< Whether they were not to be had.

  auto operator==(const PlannedSupply &) const -> bool = default;
};

struct FleetPlan {
  /// Servers of each data centre, of both kinds.
  std::map<ServiceId, std::uint32_t> m_Sizes;
  std::map<std::pair<ServiceId, DataCentreId>, PlannedSupply> m_Supplies;

  auto operator==(const FleetPlan &) const -> bool = default;
};

auto encodeFleetPlan(const FleetPlan &Plan) -> std::string;

/// \throws ProtocolError 301 for a document that is no plan.
auto decodeFleetPlan(const std::string &Document) -> FleetPlan;

} // namespace dotterel

#endif // DOTTEREL_SERVING_FLEETPLAN_H
