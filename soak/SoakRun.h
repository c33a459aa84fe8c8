//===- SoakRun.h - One seeded run of hosts under faults ---------*- C++ -*-===//
///
/// \file
/// Runs real host processes between callers, backend servers and a fake
/// platform, and injects overlapping faults from outside.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SOAK_SOAKRUN_H
#define DOTTEREL_SOAK_SOAKRUN_H

#include "FaultProxy.h"
#include "Promises.h"
#include "dotterel/base/Random.h"
#include "support/Cluster.h"
#include "support/PlatformFakes.h"

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dotterel::soak {

/// Options of one run.
struct SoakOptions {
  std::uint64_t m_Seed = 1;
  std::size_t m_Hosts = 4;
  std::size_t m_Servers = 4;
  /// Duration of the faults of a round, and of the planned changes after them.
  Duration m_FaultTime = Seconds(10);
  Duration m_PlannedTime = Seconds(6);
  std::size_t m_Rounds = 1;
  Duration m_RequestInterval = Milliseconds(15);
  std::string m_LogFolder; ///< For the hosts' logs; empty: not saved.
};

/// One run of hosts under faults that are drawn from a seed; Promises checks
/// it.
class SoakRun {
public:
  explicit SoakRun(const SoakOptions &Options);
  ~SoakRun();

  /// Performs the run; \returns the violations of promises.
  auto run() -> std::vector<std::string>;

  /// Returns the number of results by status, as text.
  [[nodiscard]] auto statuses() const -> std::string;

  /// Returns the faults and changes made, each after its time since the start
  /// in milliseconds.
  [[nodiscard]] auto eventLog() const -> const std::vector<std::string> & {
    return m_EventLog;
  }

private:
  struct Host {
    std::string m_SettingsPath;
    std::unique_ptr<FaultProxy> m_StoreLink;
    std::unique_ptr<test::Process> m_Process;
    std::string m_CallerAddress;    ///< Empty until the host listens.
    std::string m_ReadinessAddress; ///< As above.
    bool m_Paused = false;
    MonotonicTime m_ResumedAt; ///< End of the latest pause.
    bool m_Stopping = false;
    bool m_Killed = false;
  };
  struct Server {
    std::string m_Id;
    std::unique_ptr<test::FakeServer> m_Process;
    std::unique_ptr<FaultProxy> m_Link;
    std::string m_Version;
    std::string m_State;
  };

  auto addServer() -> void;
  /// Writes a backend server's entry to the store; removes it in the state
  /// "gone".
  auto writeServer(std::size_t Index, const std::string &State) -> void;
  auto writeConfiguration() -> void;
  auto startHost(std::size_t Index) -> void;
  /// Notes the addresses of hosts that listen; restarts hosts that ended and
  /// reports unexpected ends.
  auto checkHosts() -> void;
  /// Writes a host's log to the log folder.
  auto saveLog(std::size_t Index) -> void;

  /// Runs the event loop for a fixed time.
  auto runLoopFor(Duration Span) -> void;
  /// Runs the event loop until the condition holds; returns false after the
  /// limit.
  auto waitFor(Duration Limit, const std::function<bool()> &Condition) -> bool;
  /// Sends a request to each host; returns whether all got status 200.
  auto allHostsServe() -> bool;

  /// A request to one host.
  struct Work {
    std::size_t m_Host = 0;
    std::string m_Route;
    std::string m_Key;
    std::string m_Id;      ///< Empty: drawn when it is sent.
    int m_Events = 0;      ///< Of a stream; 0: not a stream.
    int m_Received = 0;    ///< Events of the stream that the caller has.
    std::string m_Resumes; ///< Request that brought the first of them.
  };

  /// A caller's stream over its resumptions.
  struct StreamProgress {
    int m_Events = 0; ///< Of the complete stream; 0: not begun.
    int m_Received = 0;
    std::string m_FirstRequest; ///< Brought the first event.
    int m_Resumptions = 0;
  };

  auto newRequestId() -> std::string;
  auto sendRequest() -> void;
  /// Sends a stream as one of the callers that send the next one on the same
  /// connection at once, until it is closed. Some callers resume a stream that
  /// breaks off.
  auto sendStream(std::size_t Caller, std::size_t Host, StreamProgress Progress)
      -> void;
  /// Goes on with a caller's stream, or with a new one, at a random host.
  auto reconnect(std::size_t Caller, const StreamProgress &Progress) -> void;
  /// Returns whether a caller sends streams that may be resumed.
  [[nodiscard]] auto resumesStreams(std::size_t Caller) const -> bool;
  auto streamEnded(std::size_t Caller, const Work &Request,
                   StreamProgress Progress, const HttpCallResult &Result)
      -> void;
  auto send(HttpClient &Client, const Work &Request,
            std::function<void(const HttpCallResult &)> OnDone) -> void;
  auto injectFaults(Duration Span) -> void;
  auto makePlannedChanges(Duration Span) -> void;
  auto endFaults() -> void;
  /// Waits until all hosts serve; a timeout violates a promise.
  auto checkRecovery(const char *After) -> void;

  auto injectStoreLinkFault() -> void;
  auto injectServerLinkFault() -> void;
  auto injectStoreFault() -> void;
  auto injectServerFault() -> void;
  auto pauseHost() -> void;
  auto resumeHost(Host &Target) -> void;
  auto killHost() -> void;
  auto stopHost() -> void;
  /// Reports a host that still runs \p Stopped, the process that was to stop.
  auto checkStopped(std::size_t Index, const test::Process *Stopped) -> void;
  auto reloadHost() -> void;
  /// Adds a key and withdraws the oldest one.
  auto changeKeys() -> void;
  auto changeKeysWhileStoreUnresponsive() -> void;
  /// Adds a backend server and removes a random other one.
  auto replaceServer() -> void;

  /// Makes a change of the servers or hosts now and then while faults are
  /// injected, independently of the other faults.
  auto changeServersRepeatedly() -> void;
  /// Restarts a server under another id; the store holds its old entry for
  /// some time.
  auto restartServer() -> void;
  auto refuseRequests() -> void;
  /// Replaces the servers one by one by servers of a new version.
  auto startRelease() -> void;
  auto continueRelease() -> void;
  /// Kills all hosts a few times.
  auto killAllHostsRepeatedly() -> void;
  auto killAllHosts(int Remaining) -> void;
  auto kill(std::size_t Index) -> void;
  /// Announces that a server leaves, or removes its entry at once.
  auto withdrawServer(std::size_t Index, bool WithoutNotice) -> void;
  /// Returns the indices of the servers whose state is "ready".
  [[nodiscard]] auto readyServers() const -> std::vector<std::size_t>;

  /// Schedules the end of a fault after a random duration; returns its time.
  auto endFaultLater(std::function<void()> End) -> MonotonicTime;
  /// Returns the index of a random host.
  auto randomHost() -> std::size_t;
  /// Appends a line to the event log.
  auto recordEvent(const std::string &Event) -> void;

  SoakOptions m_Options;
  SoakBounds m_Bounds;
  EventLoop m_Loop;
  Random m_Random;
  Random m_WorkRandom;
  Random m_ServerRandom;
  std::set<std::string> m_SlowServers; ///< Ids of servers that respond slowly.
  Promises m_Promises;
  test::FakeStore m_Store;
  test::FakeFleet m_Fleet;
  std::vector<Server> m_Servers;
  std::vector<Host> m_Hosts;
  std::unique_ptr<HttpClient> m_Client;
  std::vector<std::unique_ptr<HttpClient>> m_StreamClients;
  std::vector<std::string> m_Keys;
  std::vector<std::string> m_OldKeys;
  int m_ConfigVersion = 0;
  int m_Sequence = 0;
  int m_LastKeyNumber = 0;
  int m_Restarts = 0;
  int m_Version = 1; ///< Of the software of new servers.
  bool m_Releasing = false;
  bool m_KillingAll = false;
  int m_Resumptions = 0; ///< Requests that took up a stream.
  int m_Resumed = 0;     ///< Those that brought an event.
  int m_LastRequestNumber = 0;
  std::size_t m_RequestsInFlight = 0;
  std::size_t m_SavedLogs = 0;
  MonotonicTime m_StartedAt;
  std::vector<std::string> m_EventLog;
  bool m_InjectingFaults = false;
  bool m_Sending = false;
  std::optional<RepeatingTimer> m_RequestTimer;
  std::optional<RepeatingTimer> m_HostCheckTimer;
};

} // namespace dotterel::soak

#endif // DOTTEREL_SOAK_SOAKRUN_H
