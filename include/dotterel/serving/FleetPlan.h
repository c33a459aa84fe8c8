//===- FleetPlan.h - Stored state of the fleet planner ----------*- C++ -*-===//
///
/// \file
/// State of a fleet planner in the store, from which the next holder of the
/// fleet duty continues.
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
  std::uint32_t m_Wanted = 0; ///< Number of servers ordered.
  bool m_Short = false; ///< Whether fewer servers than planned were available.

  auto operator==(const PlannedSupply &) const -> bool = default;
};

struct FleetPlan {
  /// Number of servers in each data centre, ordinary and reclaimable together.
  std::map<ServiceId, std::uint32_t> m_Sizes;
  std::map<std::pair<ServiceId, DataCentreId>, PlannedSupply> m_Supplies;

  auto operator==(const FleetPlan &) const -> bool = default;
};

auto encodeFleetPlan(const FleetPlan &Plan) -> std::string;

/// \throws ProtocolError 301 if \p Document is not a valid fleet plan.
auto decodeFleetPlan(const std::string &Document) -> FleetPlan;

} // namespace dotterel

#endif // DOTTEREL_SERVING_FLEETPLAN_H
