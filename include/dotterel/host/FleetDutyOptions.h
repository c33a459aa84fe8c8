//===- FleetDutyOptions.h - Options of the fleet duty -----------*- C++ -*-===//
///
/// \file
/// Options of the fleet duty, and the state of the host that it is based on.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_HOST_FLEETDUTYOPTIONS_H
#define DOTTEREL_HOST_FLEETDUTYOPTIONS_H

#include "dotterel/fleet/CallBackoff.h"
#include "dotterel/host/HostSettings.h"
#include "dotterel/serving/BackendDirectory.h"
#include "dotterel/serving/FleetCalls.h"
#include "dotterel/serving/FleetPlanner.h"

#include <functional>
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
  /// Delay before an order that was rejected is sent again.
  Duration m_RejectedOrderDelay = Seconds(60);
  /// Maximum time after its arrival at which an order that was not answered is
  /// executed. A different order waits for that long where fencing tokens are
  /// not checked.
  Duration m_MaxOrderDelay = Seconds(12);
  /// Maximum time after the end of a grant at which an order sent under it
  /// arrives: the timeout of a call.
  Duration m_MaxOrderTransit = FleetCallTimeout;
  /// Maximum number of engines that are sent orders at a time where engines do
  /// not check fencing tokens. It bounds the record of open orders in the
  /// store.
  std::size_t m_MaxOpenStageOrders = 1024;
  /// Pace of the reports, and of the server orders, while the platform accepts
  /// none.
  CallBackoffOptions m_Backoff;
  /// Time without any answer of the platform after which the holder gives the
  /// duty up, since another host may reach the platform. While nobody reaches
  /// it, each holder keeps the duty for that long.
  Duration m_MaxUnanswered = Seconds(10);
  /// Time for which a host that gave the duty up does not campaign.
  Duration m_StandDown = Seconds(20);
  /// Added to an engine's role change time before its stage is ordered again,
  /// because the list of servers is updated with a delay.
  Duration m_StageRetryMargin = Milliseconds(2000);
  FleetPlannerOptions m_Planner;

  /// Returns the time after a grant for which orders of earlier grants may
  /// still be executed.
  [[nodiscard]] auto delayOfEarlierGrants() const -> Duration {
    return m_MaxOrderTransit + m_MaxOrderDelay;
  }
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
  /// Called with the outcome of each report and order.
  std::function<void(const char *Matter, OrderOutcome)> m_OnOutcome;
  /// Called when an order is held back, or is sent again.
  std::function<void(const char *Matter, const char *Event)> m_OnOrderEvent;
  /// Called with the reason when this host gives the duty up.
  std::function<void(const char *Reason)> m_OnGivenUp;
};

} // namespace dotterel

#endif // DOTTEREL_HOST_FLEETDUTYOPTIONS_H
