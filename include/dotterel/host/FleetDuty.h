//===- FleetDuty.h - Fleet management by one host --------------*- C++ -*-===//
///
/// \file
/// Usage reports, server orders and stage orders, sent by one host at a time.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_HOST_FLEETDUTY_H
#define DOTTEREL_HOST_FLEETDUTY_H

#include "dotterel/base/Random.h"
#include "dotterel/host/HostSettings.h"
#include "dotterel/lease/DutyLease.h"
#include "dotterel/serving/BackendDirectory.h"
#include "dotterel/serving/FleetCalls.h"
#include "dotterel/serving/FleetPlanner.h"
#include "dotterel/usage/WindowSealer.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace dotterel {

struct FleetDutyOptions {
  ServiceBounds m_Bounds;
  HostId m_Host;
  /// Share of the time until a usage window's report is due in which hosts
  /// may write their counts; the rest is left for sending the report and for
  /// retries.
  double m_UsageGraceShare = 0.85;
  /// Minimum time between the end of a window and its closing, even if all
  /// hosts have written their counts, because the hosts' clocks differ.
  Duration m_MinUsageGrace = Milliseconds(1000);
  Duration m_StepInterval = Milliseconds(1000);
  /// Delay before an order that was not accepted is sent again.
  Duration m_OrderRetryDelay = Milliseconds(2000);
  /// Added to an engine's role change time before its stage is ordered again,
  /// because the list of servers is updated with a delay.
  Duration m_StageRetryMargin = Milliseconds(2000);
  FleetPlannerOptions m_Planner;
};

/// State of the host that the fleet duty bases its decisions on.
struct FleetDutyInputs {
  const BackendDirectory &m_Directory;
  ServerAccess &m_Access;
  /// Returns the current configuration, or null before the first one.
  std::function<const ServingConfiguration *()> m_Configuration;
  /// Returns whether this host has no request in flight.
  std::function<bool()> m_IsIdle;
  /// Returns the number of engines needed for the prompts of all hosts; empty
  /// while that is unknown.
  std::function<std::optional<double>()> m_NeededEngines;
  /// Returns the number of registered hosts, including this one.
  std::function<std::size_t()> m_HostCount;
  /// Returns whether this host may campaign for the duty.
  std::function<bool()> m_Eligible;
};

/// Runs the fleet duty on one host. It acts only while the host holds the
/// lease.
///
/// \invariant All calls under one grant of the lease carry the same fencing
/// token, which is higher than that of any earlier grant.
/// \invariant A token that the platform has refused is not used again.
/// \invariant Servers are ordered only according to a plan that is in the
/// store, so that the next holder continues from that plan.
class FleetDuty {
public:
  FleetDuty(Scheduler &Scheduler, KeyValueStore &Store, FleetCalls &Calls,
            FleetDutyInputs Inputs, const FleetDutyOptions &Options);
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
  auto planServers() -> void;
  auto storePlan(FleetPlan Plan) -> void;
  auto orderServers() -> void;
  auto orderStages() -> void;
  [[nodiscard]] auto isDue(const ServerOrder &Order, MonotonicTime Now) -> bool;
  auto send(const ServerOrder &Order) -> void;
  auto send(const StageOrder &Order) -> void;
  auto mayAct() const -> bool;
  auto recordRefusal(FencingNumber Number, const char *Matter) -> void;

  /// The newest order sent for one target.
  struct SentOrder {
    std::uint32_t m_Count = 0;
    bool m_Accepted = false;
    bool m_Pending = false;
    MonotonicTime m_SentAt;
  };

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  FleetCalls &m_Calls;
  FleetDutyInputs m_Inputs;
  FleetDutyOptions m_Options;
  DutyLease m_Lease;
  WindowSealer m_Sealer;
  FleetPlanner m_Planner;
  std::optional<FleetPlan> m_StoredPlan; ///< Empty until read from the store.
  /// Whether a read or write of the plan is in flight.
  bool m_PlanCallPending = false;
  std::vector<ServerOrder> m_TargetOrders; ///< According to the stored plan.
  std::map<std::string, SentOrder> m_ServerOrders; ///< Under the current lease.
  std::map<BackendId, SentOrder> m_StageOrders;    ///< Under the current lease.
  FencingNumber m_CurrentFencing;
  FencingNumber m_RefusedFencing;
  std::optional<RepeatingTimer> m_Timer;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_HOST_FLEETDUTY_H
