//===- RoleController.h - Control of engine roles ---------------*- C++ -*-===//
///
/// \file
/// Duty for the roles of a region's engines: plans changes and sends the
/// orders.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STEWARD_ROLECONTROLLER_H
#define DOTTEREL_STEWARD_ROLECONTROLLER_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/config/ConfigurationHolder.h"
#include "dotterel/fleet/OrderSender.h"
#include "dotterel/fleet/RolePlanner.h"
#include "dotterel/membership/MemberTable.h"
#include "dotterel/routing/EngineTable.h"

#include <functional>
#include <map>
#include <memory>

namespace dotterel {

struct RoleControllerOptions {
  RegionId m_Region;
  SenderId m_Self;
  RolePlannerOptions m_Planner;
};

/// Controls the roles of the engines of one region while the duty is held.
class RoleController {
public:
  RoleController(Scheduler &Scheduler, KeyValueStore &Store,
                 const DutyLease &Duty, OrderChannel &Orders,
                 const EngineTable &Engines, const MemberTable &Members,
                 ConfigurationHolder &Configuration,
                 std::function<bool(const SenderId &)> HasEnded,
                 const RoleControllerOptions &Options);

  /// Plans role changes and continues pending orders.
  auto step() -> void;

private:
  /// Returns the region's engines with their speeds in the mixed role.
  [[nodiscard]] auto group() const -> std::vector<GroupEngine>;
  /// Returns the sum of the demand that the region's live members report.
  [[nodiscard]] auto demand() const -> GroupDemand;
  auto senderOf(const BackendId &Engine) -> OrderSender &;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  const DutyLease &m_Duty;
  OrderChannel &m_Orders;
  const EngineTable &m_Engines;
  const MemberTable &m_Members;
  ConfigurationHolder &m_Configuration;
  std::function<bool(const SenderId &)> m_HasEnded;
  RoleControllerOptions m_Options;
  RolePlanner m_Planner;
  /// Ordered roles that the engines have not reported yet.
  std::map<BackendId, EngineRole> m_OrderedRoles;
  std::map<BackendId, std::unique_ptr<OrderSender>> m_Senders;
};

} // namespace dotterel

#endif // DOTTEREL_STEWARD_ROLECONTROLLER_H
