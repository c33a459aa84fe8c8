//===- Cluster.h - Real processes for end-to-end tests ----------*- C++ -*-===//
///
/// \file
/// Starts the programs on ephemeral loopback ports and talks to them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_CLUSTER_H
#define DOTTEREL_TESTS_SUPPORT_CLUSTER_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/HttpClient.h"

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <sys/types.h>
#include <vector>

namespace dotterel::test {

using Json = nlohmann::json;

/// Longest wait for an event; far beyond what any of them takes.
inline constexpr auto EventLimit = Seconds(40);

/// One started program; killed when it goes out of scope.
class Process {
public:
  Process(const std::string &Program, std::vector<std::string> Arguments);
  Process(const Process &) = delete;
  auto operator=(const Process &) -> Process & = delete;
  ~Process();

  /// Waits for the first log line of an event and returns a field of it.
  auto field(const std::string &Event, const std::string &Name) -> std::string;

  /// Everything logged so far.
  auto log() -> std::string;

  auto signal(int Number) const -> void;

  /// Waits for the end; returns the exit code, or -1 after a signal.
  auto wait() -> int;

  [[nodiscard]] auto running() -> bool;

private:
  pid_t m_Pid = -1;
  std::string m_LogPath;
  bool m_Ended = false;
  int m_Status = 0;
};

/// An answer to a test's call.
struct Reply {
  HttpOutcome m_Outcome = HttpOutcome::NotSent;
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;

  [[nodiscard]] auto json() const -> Json {
    return Json::parse(m_Body, nullptr, false);
  }
  /// `code` and `execution` of an error, as `code/execution`.
  [[nodiscard]] auto error() const -> std::string;
};

struct Call {
  std::string m_Method = "GET";
  std::string m_Url;
  std::string m_Body;
  HttpHeaders m_Headers;
  Duration m_Timeout = Seconds(30);
};

struct ClusterOptions {
  std::size_t m_Gates = 3;
  std::size_t m_Runners = 3;
  std::size_t m_Services = 1;
  std::size_t m_Stewards = 0;
  std::vector<std::string> m_GateFlags;
  std::vector<std::string> m_RunnerFlags;
  std::vector<std::string> m_StewardFlags;
};

/// Whether among orders that a target received, in this order, one came back
/// after a different one: then the two conflict.
auto ordersConflict(const std::vector<Json> &Orders) -> bool;

/// A small installation: gates in three data centres, stand-ins behind them.
class Cluster {
public:
  explicit Cluster(const ClusterOptions &Options);
  Cluster(const Cluster &) = delete;
  auto operator=(const Cluster &) -> Cluster & = delete;
  ~Cluster();

  /// Makes a call and waits for its end.
  auto call(const Call &What) -> Reply;

  /// Starts a call; its reply appears in the returned slot.
  auto start(const Call &What) -> std::shared_ptr<Reply>;

  /// Runs the loop until \p Condition holds; fails the test after the limit.
  auto waitFor(const std::string &What, const std::function<bool()> &Condition)
      -> void;

  /// Runs the loop for a while.
  auto pass(Duration Span) -> void;

  /// Waits until all gates hold at least this revision.
  auto waitRevision(std::uint64_t Revision) -> void;

  auto setFaults(const std::string &Url, const Json &Faults) -> Json;
  auto seen(const std::string &Url) -> Json;
  auto get(const std::string &Url) -> Json;

  /// An operator's order through one gate.
  auto order(std::size_t Gate, const std::string &Path, const Json &Body)
      -> Reply;

  /// Grants a key, waits until it is in force, and returns it.
  auto grant(const std::string &Organisation) -> std::string;

  /// Sets a route to the plain service.
  auto route(const std::string &Id, const Json &Members) -> void;

  /// A chat completion.
  auto chat(std::size_t Gate, const std::string &Key, const Json &Members = {})
      -> Call;

  /// A plain-service call.
  auto service(std::size_t Gate, const std::string &Key,
               const std::string &Path, const std::string &Identity) -> Call;

  /// A new idempotency key.
  auto identity() -> std::string;

  auto startGate(std::size_t Index) -> void;
  auto startRunner(std::size_t Index) -> void;
  auto startSteward(std::size_t Index) -> void;
  auto publishHosts() -> void;
  auto publishBackends() -> void;

  std::string m_PlatformUrl;
  std::vector<std::string> m_GateUrls;
  std::vector<std::string> m_AdminUrls;
  std::vector<std::string> m_RunnerUrls;
  std::vector<std::string> m_ServiceUrls;
  std::vector<std::unique_ptr<Process>> m_Gates;
  std::vector<std::unique_ptr<Process>> m_Runners;
  std::vector<std::unique_ptr<Process>> m_Services;
  std::vector<std::unique_ptr<Process>> m_Stewards;
  std::unique_ptr<Process> m_Platform;
  /// Extra members of a backend server's entry, by its id.
  std::map<std::string, Json> m_BackendExtras;
  std::vector<std::string> m_LeavingHosts;

private:
  ClusterOptions m_Options;
  EventLoop m_Loop;
  std::unique_ptr<HttpClient> m_Client = makeHttpClient(m_Loop);
  std::vector<std::string> m_GateRpc;
  std::vector<std::string> m_StewardRpc;
  std::uint64_t m_LastIdentity = 0;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_CLUSTER_H
