//===- FleetDuty.h - The one holder's work on the fleet ---------*- C++ -*-===//
///
/// \file
/// Usage reports, server orders and stage orders, by one host at a time.
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
  /// Share of the time in which a window's report is due that hosts have for
  /// writing their counts; the rest is for the report and its repetition.
  double m_UsageGraceShare = 0.85;
  /// Time after a window's end before it is closed even though all hosts have
  /// written: clocks differ.
  Duration m_EarliestUsageGrace = Milliseconds(1000);
  Duration m_StepInterval = Milliseconds(1000);
  /// Pause before an order that was not accepted is given again.
  Duration m_OrderRetry = Milliseconds(2000);
  /// Added to an engine's role change before it is ordered again: the list of
  /// servers lags.
  Duration m_StageReserve = Milliseconds(2000);
  FleetPlannerOptions m_Planner;
};

/// What the duty decides from.
struct FleetDutyInputs {
  const BackendDirectory &m_Directory;
  /// Null before the first configuration.
  std::function<const ServingConfiguration *()> m_Configuration;
  /// Whether this host has no request in progress.
  std::function<bool()> m_Idle;
  /// Engines that the prompts of all hosts would keep busy; empty while it is
  /// not known.
  std::function<std::optional<double>()> m_Busy;
  /// Hosts that are registered, this one included.
  std::function<std::size_t()> m_Hosts;
  /// Whether this host may campaign for the duty.
  std::function<bool()> m_Eligible;
};

/// The fleet duty of one host. It acts only while the host holds the lease.
///
/// \invariant All calls of one holding bear the same fencing number, which is
/// higher than that of any holding before.
/// \invariant A number that the platform has refused is not used again.
/// \invariant Servers are ordered by a plan that the store holds: the next
/// holder goes on with it.
class FleetDuty {
public:
  FleetDuty(Scheduler &Scheduler, KeyValueStore &Store, FleetCalls &Calls,
            FleetDutyInputs Inputs, const FleetDutyOptions &Options);
  FleetDuty(const FleetDuty &) = delete;
  auto operator=(const FleetDuty &) -> FleetDuty & = delete;
  ~FleetDuty();

  auto start() -> void;

  /// Stops acting and campaigning. The lease is left to lapse: given up at once
  /// it could come back within the time in which holders must not take turns.
  auto stop() -> void;

  [[nodiscard]] auto held() const -> bool { return m_Lease.held(); }

private:
  auto step() -> void;
  auto readPlan() -> void;
  auto planServers() -> void;
  auto storePlan(FleetPlan Plan) -> void;
  auto orderServers() -> void;
  auto orderStages() -> void;
  [[nodiscard]] auto due(const ServerOrder &Order, MonotonicTime Now) -> bool;
  auto send(const ServerOrder &Order) -> void;
  auto send(const StageOrder &Order) -> void;
  auto mayAct() const -> bool;
  auto refusedFor(FencingNumber Number, const char *Matter) -> void;

  struct Given {
    std::uint32_t m_Count = 0;
    bool m_Accepted = false;
    bool m_Pending = false;
    MonotonicTime m_At;
  };

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  FleetCalls &m_Calls;
  FleetDutyInputs m_Inputs;
  FleetDutyOptions m_Options;
  DutyLease m_Lease;
  WindowSealer m_Sealer;
  FleetPlanner m_Planner;
  std::optional<FleetPlan> m_StoredPlan; ///< Empty until it has been read.
  bool m_PlanBusy = false;           ///< Whether it is being read or written.
  std::vector<ServerOrder> m_Wanted; ///< By the stored plan.
  std::map<std::string, Given> m_ServerOrders; ///< Of this holding.
  std::map<BackendId, Given> m_StageOrders;    ///< Of this holding.
  FencingNumber m_Holding;
  FencingNumber m_Refused;
  std::optional<RepeatingTimer> m_Timer;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_HOST_FLEETDUTY_H
