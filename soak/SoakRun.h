//===- SoakRun.h - One seeded run of hosts under faults ---------*- C++ -*-===//
///
/// \file
/// Real host processes between callers, backend servers and a stand-in of the
/// platform, harmed from outside in overlapping series.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SOAK_SOAKRUN_H
#define DOTTEREL_SOAK_SOAKRUN_H

#include "FaultProxy.h"
#include "Promises.h"
#include "dotterel/base/Random.h"
#include "support/Cluster.h"
#include "support/PlatformStandIn.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dotterel::soak {

struct SoakOptions {
  std::uint64_t m_Seed = 1;
  std::size_t m_Hosts = 4;
  std::size_t m_Servers = 4;
  /// Length of the series of faults, and of the planned changes after it.
  Duration m_FaultTime = Seconds(10);
  Duration m_PlannedTime = Seconds(6);
  std::size_t m_Rounds = 1;
  Duration m_RequestInterval = Milliseconds(15);
  std::string m_LogFolder; ///< For the hosts' logs; empty: not kept.
};

/// One run; judged by Promises.
class SoakRun {
public:
  explicit SoakRun(const SoakOptions &Options);
  ~SoakRun();

  /// Returns the promises that were broken.
  auto run() -> std::vector<std::string>;

  [[nodiscard]] auto statuses() const -> std::string;

  /// What was done to the system, with milliseconds since the start.
  [[nodiscard]] auto notes() const -> const std::vector<std::string> & {
    return m_Notes;
  }

private:
  struct Host {
    std::string m_SettingsPath;
    std::unique_ptr<FaultProxy> m_StoreLink;
    std::unique_ptr<test::Process> m_Process;
    std::string m_Callers;   ///< Address; empty until the host listens.
    std::string m_Readiness; ///< As above.
    bool m_Paused = false;
    bool m_Stopping = false;
    bool m_Killed = false;
  };
  struct Server {
    std::string m_Id;
    std::unique_ptr<test::StandInServer> m_Process;
    std::unique_ptr<FaultProxy> m_Link;
    std::string m_State;
  };

  auto addServer() -> void;
  auto writeServer(std::size_t Index, const std::string &State) -> void;
  auto writeConfiguration() -> void;
  auto startHost(std::size_t Index) -> void;
  auto watchHosts() -> void;
  auto keepLog(std::size_t Index) -> void;

  auto pass(Duration Span) -> void;
  auto waitFor(Duration Limit, const std::function<bool()> &Condition) -> bool;
  auto allServe() -> bool;

  auto sendRequest() -> void;
  auto send(std::size_t Index, const std::string &Route, const std::string &Key,
            std::function<void(unsigned)> OnStatus) -> void;
  auto faults(Duration Span) -> void;
  auto plannedChanges(Duration Span) -> void;
  auto heal() -> void;
  auto checkRecovery(const char *After) -> void;

  auto harmStoreLink() -> void;
  auto harmServerLink() -> void;
  auto harmStore() -> void;
  auto harmServer() -> void;
  auto pauseHost() -> void;
  auto killHost() -> void;
  auto stopHost() -> void;
  auto reloadHost() -> void;
  auto changeKeys() -> void;
  auto changeKeysInSilence() -> void;
  auto replaceServer() -> void;

  /// Ends a fault after a while by chance; returns its end.
  auto endLater(std::function<void()> End) -> MonotonicTime;
  auto anyHost() -> std::size_t;
  auto note(const std::string &What) -> void;

  SoakOptions m_Options;
  SoakBounds m_Bounds;
  EventLoop m_Loop;
  Random m_Random;
  Random m_WorkRandom;
  std::set<std::string> m_Slow; ///< Ids of servers.
  Promises m_Promises;
  test::StandInStore m_Store;
  test::StandInFleet m_Fleet;
  std::vector<Server> m_Servers;
  std::vector<Host> m_Hosts;
  std::unique_ptr<HttpClient> m_Client;
  std::vector<std::string> m_Keys;
  std::vector<std::string> m_OldKeys;
  int m_ConfigVersion = 0;
  int m_Sequence = 0;
  int m_LastKey = 0;
  int m_LastRequest = 0;
  std::size_t m_Waiting = 0;
  std::size_t m_KeptLogs = 0;
  MonotonicTime m_StartedAt;
  std::vector<std::string> m_Notes;
  bool m_FaultsOn = false;
  std::optional<RepeatingTimer> m_RequestTimer;
  std::optional<RepeatingTimer> m_WatchTimer;
};

} // namespace dotterel::soak

#endif // DOTTEREL_SOAK_SOAKRUN_H
