//===- ServerController.h - Starts and stops backend servers ----*- C++ -*-===//
///
/// \file
/// Duty for a region's backend servers: plans their number, drains them, and
/// sends orders to the platform.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STEWARD_SERVERCONTROLLER_H
#define DOTTEREL_STEWARD_SERVERCONTROLLER_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/config/ConfigurationStore.h"
#include "dotterel/fleet/DrainTracker.h"
#include "dotterel/fleet/OrderSender.h"
#include "dotterel/fleet/ServerPlanner.h"
#include "dotterel/routing/EngineTable.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

struct ServerControllerOptions {
  RegionId m_Region;
  SenderId m_Self;
  ServerPlannerOptions m_Planner;
  DrainTrackerOptions m_Drain;
  /// Time after which a started server that has not reported its load is
  /// considered unavailable.
  Duration m_StartTimeout = Seconds(120);
  /// Delay before an unavailable server is started again.
  Duration m_UnavailableRetryDelay = Seconds(300);
  /// Interval at which a pending order is sent again or checked.
  Duration m_OrderInterval = Seconds(2);
  /// Age from which on a load report is ignored.
  Duration m_MaxReportAge = Seconds(5);
  /// Duration of the queued prefill work at which a server counts as full.
  Duration m_FullQueueTime = Milliseconds(600);
};

/// Dependencies of a ServerController.
struct ServerControllerServices {
  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  const DutyLease &m_Duty;
  OrderChannel &m_Platform;
  const EngineTable &m_Engines;
  ConfigurationHolder &m_Configuration;
  ConfigurationStore &m_ConfigurationStore;
  /// Returns whether every gate that is listed or a live member has applied the
  /// revision or a higher one.
  std::function<bool(ConfigRevision)> m_AppliedByAllGates;
  /// Returns whether a sender's process is known to have ended.
  std::function<bool(const SenderId &)> m_HasEnded;
};

/// Controls the model engines of one region while the duty is held. Engines
/// that serve the same models form a group.
///
/// \invariant A server is ordered to stop only after every gate has applied a
/// configuration under which the server gets no new requests, and the server
/// has since reported to be idle.
class ServerController {
public:
  ServerController(const ServerControllerServices &Services,
                   const ServerControllerOptions &Options)
      : m_Services(Services), m_Options(Options), m_Drains(Options.m_Drain) {}
  ServerController(const ServerController &) = delete;
  auto operator=(const ServerController &) -> ServerController & = delete;
  ~ServerController() { *m_Alive = false; }

  /// Plans changes and continues drains and orders. Must be called at short
  /// intervals; does nothing unless the duty is held. Under a preset without
  /// server orders it only cancels drains.
  auto step() -> void;

private:
  /// An order, from the decision until the server list shows its effect.
  struct PendingOrder {
    Directive m_Directive;
    MonotonicTime m_Since;
    MonotonicTime m_SentAt;
  };

  /// Removes completed and timed-out orders, and releases started servers.
  auto updateOrders(const std::vector<Backend> &Servers) -> void;
  auto planGroups(const std::vector<Backend> &Servers) -> void;
  auto plan(const std::string &Group, const std::vector<Backend> &Members)
      -> void;
  /// Returns whether at least half of the group's servers that are not stopped
  /// have fresh load reports. This is not the case right after the duty was
  /// acquired or without a connection to the engines.
  [[nodiscard]] auto mostServersReport(const std::vector<Backend> &Group) const
      -> bool;
  /// Cancels all drains, for a preset without server orders.
  auto cancelDrains(const std::vector<Backend> &Servers) -> void;
  /// Orders a draining server to stop if it is idle.
  auto stopIdle(const Backend &Server) -> void;
  /// Sends the pending orders that are due.
  auto sendOrders() -> void;
  /// Stores the servers to drain and those to release from a drain in one
  /// configuration change.
  auto storeDrains(const std::set<BackendId> &Drain,
                   const std::set<BackendId> &Release) -> void;
  /// Adds a pending order for the state, in place of an earlier one.
  auto requestState(const BackendId &Server, const char *State) -> void;
  [[nodiscard]] auto stateOf(const Backend &Server) const -> ServerState;
  /// Returns the load of a server, where 1 is full: the larger of the share of
  /// its slots in use and that of a full prefill queue.
  [[nodiscard]] auto loadOf(const Backend &Server) const -> double;
  [[nodiscard]] auto hasFreshReport(const BackendId &Server) const -> bool;
  [[nodiscard]] auto isStopping(const BackendId &Server) const -> bool;
  auto senderOf(const BackendId &Server) -> OrderSender &;

  ServerControllerServices m_Services;
  ServerControllerOptions m_Options;
  DrainTracker m_Drains;
  std::map<std::string, ServerPlanner> m_Planners;
  std::map<BackendId, PendingOrder> m_PendingOrders;
  std::map<BackendId, MonotonicTime> m_UnavailableUntil;
  std::map<BackendId, std::unique_ptr<OrderSender>> m_Senders;
  bool m_StoringDrains = false;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_STEWARD_SERVERCONTROLLER_H
