//===- ServerKeeper.h - Starts and stops backend servers --------*- C++ -*-===//
///
/// \file
/// The duty of a region's backend servers: plans, drains, and gives the
/// platform its orders.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STEWARD_SERVERKEEPER_H
#define DOTTEREL_STEWARD_SERVERKEEPER_H

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

struct ServerKeeperOptions {
  RegionId m_Region;
  SenderId m_Self;
  ServerPlannerOptions m_Planner;
  DrainTrackerOptions m_Drain;
  /// A started server that has not reported its load by then was not to be had.
  Duration m_StartLimit = Seconds(120);
  /// Before such a server is tried again.
  Duration m_UnavailablePause = Seconds(300);
  /// Pause between two looks at an order that is not settled.
  Duration m_OrderInterval = Seconds(2);
  /// Age from which a load report says nothing any more.
  Duration m_FreshReport = Seconds(5);
  /// Prefill work that waits for so long fills a server.
  Duration m_FullQueue = Milliseconds(600);
};

/// References to what a server keeper works with.
struct ServerKeeperServices {
  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  const DutyLease &m_Duty;
  OrderChannel &m_Platform;
  const EngineTable &m_Engines;
  ConfigurationHolder &m_Configuration;
  ConfigurationStore &m_ConfigurationStore;
  /// Whether every gate, listed or heard of, has a revision or a higher one.
  std::function<bool(ConfigRevision)> m_InForce;
  /// Whether a sender's process is known to have ended.
  std::function<bool(const SenderId &)> m_Gone;
};

/// Model engines of one region, while the duty is held. Engines that serve the
/// same models are one group.
///
/// \invariant A server is ordered to stop only when the configuration that
/// every gate has gives it no new work and it has reported to be idle since.
class ServerKeeper {
public:
  ServerKeeper(const ServerKeeperServices &Services,
               const ServerKeeperOptions &Options)
      : m_Services(Services), m_Options(Options), m_Drains(Options.m_Drain) {}
  ServerKeeper(const ServerKeeper &) = delete;
  auto operator=(const ServerKeeper &) -> ServerKeeper & = delete;
  ~ServerKeeper() { *m_Alive = false; }

  /// Plans, and goes on with drains and orders. To be called at short
  /// intervals; does nothing unless the duty is held. Under a preset that
  /// orders no servers it only takes back what is draining.
  auto step() -> void;

private:
  /// An order's progress, from the decision until the list shows its effect.
  struct Pursuit {
    Directive m_Wanted;
    MonotonicTime m_Since;
    MonotonicTime m_SentAt;
  };

  auto update(const std::vector<Backend> &Servers) -> void;
  auto planGroups(const std::vector<Backend> &Servers) -> void;
  auto plan(const std::string &Group, const std::vector<Backend> &Members)
      -> void;
  /// Whether most of the group's running servers report: not right after the
  /// duty was taken over, nor cut off from the engines.
  [[nodiscard]] auto loadKnown(const std::vector<Backend> &Group) const -> bool;
  /// Gives draining servers work again, when the preset orders none.
  auto takeBack(const std::vector<Backend> &Servers) -> void;
  auto stopIdle(const Backend &Server) -> void;
  auto carryOut() -> void;
  /// Stores which servers get no new work, in one change.
  auto change(const std::set<BackendId> &Drain,
              const std::set<BackendId> &Release) -> void;
  auto pursue(const BackendId &Server, const char *Wanted) -> void;
  [[nodiscard]] auto stateOf(const Backend &Server) const -> ServerState;
  [[nodiscard]] auto loadOf(const Backend &Server) const -> double;
  [[nodiscard]] auto fresh(const BackendId &Server) const -> bool;
  [[nodiscard]] auto stopping(const BackendId &Server) const -> bool;
  auto senderOf(const BackendId &Server) -> OrderSender &;

  ServerKeeperServices m_Services;
  ServerKeeperOptions m_Options;
  DrainTracker m_Drains;
  std::map<std::string, ServerPlanner> m_Planners;
  std::map<BackendId, Pursuit> m_Pursuits;
  std::map<BackendId, MonotonicTime> m_UnavailableUntil;
  std::map<BackendId, std::unique_ptr<OrderSender>> m_Senders;
  bool m_Changing = false;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_STEWARD_SERVERKEEPER_H
