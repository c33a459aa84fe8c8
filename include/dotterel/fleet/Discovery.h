//===- Discovery.h - Lists and load reports ---------------------*- C++ -*-===//
///
/// \file
/// Polls the platform's lists and the engines' load reports.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_DISCOVERY_H
#define DOTTEREL_FLEET_DISCOVERY_H

#include "dotterel/base/Scheduler.h"
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

/// Keeps an engine table up to date while it lives.
class Discovery {
public:
  Discovery(Scheduler &Scheduler, HttpClient &Client, EngineTable &Engines,
            const DiscoveryOptions &Options);

  /// Called with each answered host list.
  auto onHosts(std::function<void(std::vector<ListedProcess>)> Callback)
      -> void {
    m_OnHosts = std::move(Callback);
  }

  /// Called after each load report that was taken in.
  auto onLoad(std::function<void()> Callback) -> void {
    m_OnLoad = std::move(Callback);
  }

  /// Polls load reports only while \p Wanted says so.
  auto setLoadWanted(std::function<bool()> Wanted) -> void {
    m_LoadWanted = std::move(Wanted);
  }

  auto start() -> void;
  auto stop() -> void;

private:
  auto pollLists() -> void;
  auto pollLoads() -> void;
  auto get(const std::string &Url, Duration Timeout,
           std::function<void(const std::string &)> Take) -> void;

  Scheduler &m_Scheduler;
  HttpClient &m_Client;
  EngineTable &m_Engines;
  DiscoveryOptions m_Options;
  std::optional<RepeatingTimer> m_Lists;
  std::optional<RepeatingTimer> m_Loads;
  std::set<std::string> m_Pending; ///< Urls with a call in progress.
  std::function<void(std::vector<ListedProcess>)> m_OnHosts;
  std::function<void()> m_OnLoad;
  std::function<bool()> m_LoadWanted;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_DISCOVERY_H
