//===- RoleKeeper.h - Keeps the roles of a region's engines -----*- C++ -*-===//
///
/// \file
/// The duty of a region's engine roles: plans changes and gives the orders.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STEWARD_ROLEKEEPER_H
#define DOTTEREL_STEWARD_ROLEKEEPER_H

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

struct RoleKeeperOptions {
  RegionId m_Region;
  SenderId m_Self;
  RolePlannerOptions m_Planner;
};

/// Roles of the engines of one region, while the duty is held.
class RoleKeeper {
public:
  RoleKeeper(Scheduler &Scheduler, KeyValueStore &Store, const DutyLease &Duty,
             OrderChannel &Orders, const EngineTable &Engines,
             const MemberTable &Members, ConfigurationHolder &Configuration,
             std::function<bool(const SenderId &)> Gone,
             const RoleKeeperOptions &Options);

  /// Plans, and goes on with orders that are not settled.
  auto step() -> void;

private:
  [[nodiscard]] auto group() const -> std::vector<GroupEngine>;
  [[nodiscard]] auto demand() const -> GroupDemand;
  auto senderOf(const BackendId &Engine) -> OrderSender &;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  const DutyLease &m_Duty;
  OrderChannel &m_Orders;
  const EngineTable &m_Engines;
  const MemberTable &m_Members;
  ConfigurationHolder &m_Configuration;
  std::function<bool(const SenderId &)> m_Gone;
  RoleKeeperOptions m_Options;
  RolePlanner m_Planner;
  /// Roles ordered and not yet reported back.
  std::map<BackendId, EngineRole> m_Wanted;
  std::map<BackendId, std::unique_ptr<OrderSender>> m_Senders;
};

} // namespace dotterel

#endif // DOTTEREL_STEWARD_ROLEKEEPER_H
