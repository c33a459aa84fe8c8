//===- Cluster.h - Real processes for end-to-end tests ----------*- C++ -*-===//
///
/// \file
/// Starts the programs on ephemeral loopback ports and calls their interfaces.
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

/// Maximum wait for an event; far above the time that any of them takes.
inline constexpr auto EventTimeout = Seconds(40);

/// A started program, which the destructor kills. Its output goes to a
/// temporary file.
class Process {
public:
  Process(const std::string &Program, std::vector<std::string> Arguments);
  Process(const Process &) = delete;
  auto operator=(const Process &) -> Process & = delete;
  ~Process();

  /// Waits for the first log line of an event and returns one of its fields;
  /// fails the test after EventTimeout.
  auto field(const std::string &Event, const std::string &Name) -> std::string;

  /// Returns the output so far.
  auto log() -> std::string;

  /// Sends a signal to the process.
  auto signal(int Number) const -> void;

  /// Waits until the process has ended; returns the exit code, or -1 if a
  /// signal ended it.
  auto wait() -> int;

  /// Returns whether the process has not ended.
  [[nodiscard]] auto running() -> bool;

  /// Returns the largest amount of memory that was resident at once, in bytes.
  [[nodiscard]] auto peakMemoryBytes() const -> std::size_t;

  /// Returns the number of open file descriptors.
  [[nodiscard]] auto openDescriptors() const -> std::size_t;

private:
  pid_t m_Pid = -1;
  std::string m_LogPath;
  bool m_Ended = false;
  int m_Status = 0;
};

/// The response to a test's call.
struct Reply {
  HttpOutcome m_Outcome = HttpOutcome::NotSent;
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body;

  [[nodiscard]] auto json() const -> Json {
    return Json::parse(m_Body, nullptr, false);
  }
  /// Returns the members `code` and `execution` of an error body, as
  /// `code/execution`.
  [[nodiscard]] auto error() const -> std::string;
};

/// A request that a test sends.
struct Call {
  std::string m_Method = "GET";
  std::string m_Url;
  std::string m_Body;
  HttpHeaders m_Headers;
  Duration m_Timeout = Seconds(30);
};

/// Numbers of processes, and additional flags for their programs.
struct ClusterOptions {
  std::size_t m_Gates = 3;
  std::size_t m_Runners = 3;
  std::size_t m_Services = 1;
  std::size_t m_Stewards = 0;
  std::vector<std::string> m_GateFlags;
  std::vector<std::string> m_RunnerFlags;
  std::vector<std::string> m_StewardFlags;
};

/// Returns whether a target received an order again after a different one: then
/// the two conflict. \p Orders is in the order of receipt.
auto ordersConflict(const std::vector<Json> &Orders) -> bool;

/// A small installation: gates and stewards in three data centres, with fakes
/// of the platform, engines and a service.
class Cluster {
public:
  explicit Cluster(const ClusterOptions &Options);
  Cluster(const Cluster &) = delete;
  auto operator=(const Cluster &) -> Cluster & = delete;
  ~Cluster();

  /// Sends a request and waits for its response.
  auto call(const Call &What) -> Reply;

  /// Sends a request; the returned reply is filled in later. Its status is not
  /// 0 once the call has ended.
  auto start(const Call &What) -> std::shared_ptr<Reply>;

  /// Runs the loop until \p Condition holds; fails the test after EventTimeout.
  /// \p What describes the condition.
  auto waitFor(const std::string &What, const std::function<bool()> &Condition)
      -> void;

  /// Returns the loop that servers of a test run on.
  auto loop() -> EventLoop & { return m_Loop; }
  /// Runs the loop for a fixed time.
  auto runLoopFor(Duration Span) -> void;

  /// Waits until all running gates apply at least this configuration revision.
  auto waitForRevision(std::uint64_t Revision) -> void;

  /// Sets faults of a fake; returns its response.
  auto setFaults(const std::string &Url, const Json &Faults) -> Json;
  /// Returns what a fake has recorded of its requests.
  auto seen(const std::string &Url) -> Json;
  /// Sends a GET request with the operator's token; returns the JSON body.
  auto get(const std::string &Url) -> Json;

  /// Sends a POST request to the operators' interface of one gate.
  auto callAsOperator(std::size_t Gate, const std::string &Path,
                      const Json &Body) -> Reply;

  /// Grants a key, waits until all gates accept it, and returns it.
  auto grantKey(const std::string &Organisation) -> std::string;

  /// Sets a route to the plain service and waits until all gates apply it.
  auto setRoute(const std::string &Id, const Json &Members) -> void;

  /// Returns the call of a chat completion; \p Members are added to the body.
  auto chatCall(std::size_t Gate, const std::string &Key,
                const Json &Members = {}) -> Call;

  /// Returns a call of the plain service; without an idempotency key if this is
  /// empty.
  auto serviceCall(std::size_t Gate, const std::string &Key,
                   const std::string &Path, const std::string &IdempotencyKey)
      -> Call;

  /// Returns a new idempotency key, which starts with the current time.
  auto makeIdempotencyKey() -> std::string;

  /// Start one process, or restart it; the host and server lists are not
  /// updated.
  auto startGate(std::size_t Index) -> void;
  auto startRunner(std::size_t Index) -> void;
  auto startSteward(std::size_t Index) -> void;
  /// Send the current lists to the platform.
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
  /// Additional members of the list entry of a backend server, by its id.
  std::map<std::string, Json> m_ExtraBackendMembers;
  std::vector<std::string> m_LeavingHosts;

private:
  ClusterOptions m_Options;
  EventLoop m_Loop;
  std::unique_ptr<HttpClient> m_Client = makeHttpClient(m_Loop);
  std::vector<std::string> m_GateRpc;
  std::vector<std::string> m_StewardRpc;
  std::uint64_t m_LastKeyNumber = 0;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_CLUSTER_H
