//===- FleetDuty.h - Fleet management by one host --------------*- C++ -*-===//
///
/// \file
/// Usage reports, server orders and stage orders, sent by one host at a time.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_HOST_FLEETDUTY_H
#define DOTTEREL_HOST_FLEETDUTY_H

#include "dotterel/base/Random.h"
#include "dotterel/fleet/CallBackoff.h"
#include "dotterel/fleet/OrderCopies.h"
#include "dotterel/host/FleetDutyOptions.h"
#include "dotterel/host/StageOrders.h"
#include "dotterel/lease/DutyLease.h"
#include "dotterel/serving/FleetCalls.h"
#include "dotterel/serving/FleetPlanner.h"
#include "dotterel/usage/WindowSealer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace dotterel {

/// Runs the fleet duty on one host. It acts only while the host holds the
/// lease.
///
/// \invariant All calls under one grant of the lease carry the same fencing
/// token, which is higher than that of any earlier grant.
/// \invariant A token that the platform has refused is not used again. Only
/// the platform's own answer that says so counts as a refusal.
/// \invariant A report or order that was not accepted for another reason is
/// repeated with the same token, at the pace of CallBackoff.
/// \invariant Servers are ordered only according to a plan that is in the
/// store, so that the next holder continues from that plan.
/// \invariant Unless the platform checks fencing tokens, a server order is sent
/// only once no different order about its subject can be executed any more:
/// delayOfEarlierGrants() after the grant, if there was an earlier one, and
/// m_MaxOrderDelay after the end of each call that was not answered
/// conclusively. StageOrders keeps the same for engines.
class FleetDuty {
public:
  FleetDuty(Scheduler &Scheduler, KeyValueStore &Store, FleetCalls &Calls,
            Random &Random, FleetDutyInputs Inputs,
            const FleetDutyOptions &Options);
  FleetDuty(const FleetDuty &) = delete;
  auto operator=(const FleetDuty &) -> FleetDuty & = delete;
  ~FleetDuty();

  auto start() -> void;

  /// Stops acting and campaigning. The lease is left to expire: if it was
  /// revoked, this host could acquire it again within the time in which holders
  /// must not alternate.
  auto stop() -> void;

  [[nodiscard]] auto held() const -> bool { return m_Lease.held(); }

private:
  auto step() -> void;
  auto readPlan() -> void;
  /// Plans from the stored plan, once orders may be sent.
  auto continuePlan() -> void;
  auto planServers() -> void;
  auto storePlan(FleetPlan Plan) -> void;
  auto orderServers() -> void;
  /// Returns whether orders of an earlier grant may still be executed.
  [[nodiscard]] auto awaitsEarlierOrders() const -> bool {
    return m_Scheduler.now() < m_OrdersHeldUntil;
  }
  /// Holds server orders back until those of earlier grants were executed.
  auto holdOrders() -> void;
  /// Returns whether \p Order must wait for orders about the other kind of
  /// servers, with which it shares an upper bound.
  [[nodiscard]] auto mustWaitForOther(const ServerOrder &Order) -> bool;
  [[nodiscard]] auto isDue(const ServerOrder &Order, MonotonicTime Now) -> bool;
  auto send(const ServerOrder &Order) -> void;
  auto mayAct() const -> bool;
  auto reportUsage(const UsageReport &Report,
                   const std::function<void(bool)> &Done) -> void;
  /// \p Copy counts the times that the order was sent under its grant.
  auto handleOutcome(const ServerOrder &Order, std::uint32_t Copy,
                     FencingNumber Number, OrderOutcome Outcome) -> void;
  /// Records whether a call that was sent at \p SentAt was answered, and gives
  /// the duty up if none was for too long.
  auto recordReach(OrderOutcome Outcome, MonotonicTime SentAt) -> void;
  auto recordRefusal(FencingNumber Number, const char *Matter) -> void;
  auto giveUp(const char *Reason) -> void;
  auto countEvent(const char *Matter, const char *Event) -> void;

  /// The newest order sent for one target.
  struct SentOrder {
    std::uint32_t m_Count = 0;
    bool m_Accepted = false;
    bool m_Rejected = false;
    bool m_Pending = false;
    MonotonicTime m_SentAt;
    std::uint32_t m_Number = 0; ///< Number of times that it was sent.
    /// Maximum count that may be in force, by the orders of this grant.
    std::uint32_t m_MaxInForce = 0;
    OrderCopies m_Copies;
    bool m_Held = false; ///< Whether a different order waits.
  };

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  FleetCalls &m_Calls;
  FleetDutyInputs m_Inputs;
  FleetDutyOptions m_Options;
  DutyLease m_Lease;
  WindowSealer m_Sealer;
  FleetPlanner m_Planner;
  StageOrders m_Stages;
  std::optional<FleetPlan> m_StoredPlan; ///< Empty until read from the store.
  /// Whether a read or write of the plan is in flight.
  bool m_PlanCallPending = false;
  bool m_PlanRestored = false; ///< Whether the planner has the stored plan.
  MonotonicTime m_GrantSeenAt; ///< When the current grant was observed.
  MonotonicTime m_OrdersHeldUntil;
  std::vector<ServerOrder> m_TargetOrders; ///< According to the stored plan.
  std::map<std::string, SentOrder> m_ServerOrders; ///< Under the current lease.
  FencingNumber m_CurrentFencing;
  FencingNumber m_RefusedFencing;
  /// Window and fencing token of the newest report that was sent.
  std::pair<WindowIndex, FencingNumber> m_SentReport;
  CallBackoff m_ReportBackoff;
  CallBackoff m_OrderBackoff;
  /// When the oldest call was sent that is followed by no answered one.
  std::optional<MonotonicTime> m_UnansweredSince;
  std::optional<RepeatingTimer> m_Timer;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_HOST_FLEETDUTY_H
