//===- Discovery.h - Polling of server lists and load reports ---*- C++ -*-===//
///
/// \file
/// Polls the platform's lists and the engines' load reports.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_DISCOVERY_H
#define DOTTEREL_FLEET_DISCOVERY_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/fleet/BackendClient.h"
#include "dotterel/io/HttpClient.h"
#include "dotterel/membership/HostList.h"
#include "dotterel/routing/EngineTable.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

namespace dotterel {

struct DiscoveryOptions {
  std::string m_PlatformUrl;
  Duration m_ListInterval = Seconds(1);
  Duration m_LoadInterval = Milliseconds(500);
};

/// Polls server lists and load reports and updates an engine table with them.
class Discovery {
public:
  Discovery(Scheduler &Scheduler, HttpClient &Client, BackendClient &Backends,
            EngineTable &Engines, const DiscoveryOptions &Options);

  /// Registers a callback that is called with each host list received.
  auto onHostList(std::function<void(std::vector<ListedProcess>)> Callback)
      -> void {
    m_OnHostList = std::move(Callback);
  }

  /// Registers a callback that is called after each load report processed.
  auto onLoad(std::function<void()> Callback) -> void {
    m_OnLoad = std::move(Callback);
  }

  /// Makes load reports be polled only while \p Predicate returns true.
  auto setLoadPollingPredicate(std::function<bool()> Predicate) -> void {
    m_LoadPollingPredicate = std::move(Predicate);
  }

  auto start() -> void;
  auto stop() -> void;

private:
  auto pollLists() -> void;
  auto pollLoads() -> void;
  /// Returns a call that fetches \p Url and passes the body of a successful
  /// response to \p Handler; nothing if one for the URL is in flight.
  auto makeCall(const std::string &Url, Duration Timeout,
                std::function<void(const std::string &)> Handler)
      -> std::optional<HttpCall>;
  auto fetchFromPlatform(const std::string &Path,
                         std::function<void(const std::string &)> Handler)
      -> void;

  Scheduler &m_Scheduler;
  HttpClient &m_Client;
  BackendClient &m_Backends;
  EngineTable &m_Engines;
  DiscoveryOptions m_Options;
  std::optional<RepeatingTimer> m_ListTimer;
  std::optional<RepeatingTimer> m_LoadTimer;
  std::set<std::string> m_Pending; ///< URLs with a request in flight.
  std::function<void(std::vector<ListedProcess>)> m_OnHostList;
  std::function<void()> m_OnLoad;
  std::function<bool()> m_LoadPollingPredicate;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_DISCOVERY_H
