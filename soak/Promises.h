//===- Promises.h - Checks guarantees while faults are injected -*- C++ -*-===//
///
/// \file
/// Checks the observations of callers and backend servers against the promises
/// of the system. docs/SOAK.md lists the promises with their sources.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SOAK_PROMISES_H
#define DOTTEREL_SOAK_PROMISES_H

#include "dotterel/base/Units.h"
#include "dotterel/io/HttpClient.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dotterel::soak {

/// Bounds that are set in the hosts' settings, and limits from the platform's
/// rules that depend on them.
struct SoakBounds {
  Duration m_KeyWithdrawalBound = Milliseconds(5000);
  Duration m_Drain = Milliseconds(3000);
  Duration m_ConfigurationApply = Milliseconds(4000);
  Duration m_StopGrace = Seconds(8);
  Duration m_UsageWindow = Seconds(2);
  Duration m_UsageDue = Seconds(6);
  Duration m_RetryWindow = Seconds(10);
  double m_RetryRatio = 0.2;
  double m_RetryExtra = 20;
  /// Time after a fault's end during which violations are still tolerated.
  Duration m_ToleranceAfterFault = Seconds(5);
  Duration m_RecoveryLimit = Seconds(15);
};

/// A request as its caller sent it.
struct SentRequest {
  std::size_t m_Host = 0;
  MonotonicTime m_SentAt;
  std::string m_Key;
  std::string m_Organisation;
  std::string m_ExpectedBody; ///< The body of a correct response.
  /// The request that brought the first event of the stream that this one
  /// resumes; empty: it begins a stream, or sends none.
  std::string m_Resumes;
  bool m_Idempotent = false;
};

/// The complete events of a stream, or of its part that one response brought.
struct StreamEvents {
  std::string m_Text;                  ///< Without the servers' versions.
  std::string m_Incomplete;            ///< What follows the last event.
  std::vector<std::string> m_Versions; ///< Of each event's server.
};

/// Splits the body of a response into events.
auto parseEvents(const std::string &Body) -> StreamEvents;

/// Collects observations of a run and records each violation of a promise.
class Promises {
public:
  explicit Promises(const SoakBounds &Bounds) : m_Bounds(Bounds) {}

  /// Records a request that a caller sends; \p Request is its id.
  auto requestSent(const std::string &Request, SentRequest Sent) -> void;
  /// Checks the result that the caller of a request received.
  auto responseReceived(const std::string &Request,
                        const HttpCallResult &Result, MonotonicTime Now)
      -> void;
  /// Checks a request that reached a backend server; \p Executed is false if
  /// the server refused it.
  auto requestArrived(const std::string &Server, const HttpHeaders &Headers,
                      bool Executed, MonotonicTime Now) -> void;

  /// Records that a backend server cuts its response to a request.
  auto responseCut(const std::string &Request) -> void;

  /// Records that the store acknowledged a configuration with a new key. Keys
  /// for which this is never called are in force from the start.
  auto keyAdded(const std::string &Key, MonotonicTime Now) -> void;
  /// Records that the store acknowledged a configuration that removes a key
  /// permanently.
  auto keyWithdrawn(const std::string &Key, MonotonicTime Now) -> void;
  /// Records that a backend server was marked as draining or removed.
  auto serverWithdrawn(const std::string &Server, MonotonicTime Now) -> void;

  /// Records a fault of one host that ends at \p Until. Violations of
  /// the host are tolerated until m_ToleranceAfterFault after its end.
  auto recordHostFault(std::size_t Host, MonotonicTime Until) -> void;
  /// As above, for a fault that affects all hosts.
  auto recordGlobalFault(MonotonicTime Until) -> void;
  /// Records that all faults have ended.
  auto faultsEnded(MonotonicTime Now) -> void;
  /// Records that a host was asked to stop. From then on it may close a
  /// connection only when this is idle.
  auto hostStopping(std::size_t Host, MonotonicTime Now) -> void;

  /// Records a violation of the named promise.
  auto reportViolation(const std::string &Promise, const std::string &Detail)
      -> void;

  /// Checks the promises that need the whole run: the retry budget.
  auto checkAtEnd() -> void;

  [[nodiscard]] auto violations() const -> const std::vector<std::string> & {
    return m_Violations;
  }
  /// Returns the number of results by status; 0 means no complete response.
  [[nodiscard]] auto statuses() const -> const std::map<unsigned, int> & {
    return m_Statuses;
  }

private:
  struct RequestRecord {
    SentRequest m_Sent;
    int m_Executions = 0;
    int m_Arrivals = 0;
    /// The caller got 429 or 503, which means that it is not executed.
    bool m_Refused = false;
    /// Its backend server cut the response.
    bool m_Cut = false;
  };

  /// Returns whether the last fault that affects \p Host ended more than
  /// m_ToleranceAfterFault ago.
  [[nodiscard]] auto isUndisturbed(std::size_t Host, MonotonicTime Now) const
      -> bool;
  auto checkExecution(const std::string &Request, const std::string &Server,
                      const HttpHeaders &Headers, MonotonicTime Now) -> void;
  auto checkDenial(const std::string &Request, unsigned Status,
                   MonotonicTime Now) -> void;
  auto checkRetryBudget() -> void;
  /// Checks that the events that a response brought are the next ones of the
  /// request's stream, and of servers of one version.
  auto checkEvents(const std::string &Request, const HttpCallResult &Result)
      -> void;

  SoakBounds m_Bounds;
  std::map<std::string, RequestRecord> m_Requests;
  /// The version of each stream's first event, by the request that brought it.
  std::map<std::string, std::string> m_StreamVersions;
  std::map<std::string, MonotonicTime> m_KeysWithdrawn;
  std::map<std::string, MonotonicTime> m_KeysAdded;
  std::map<std::string, MonotonicTime> m_ServersWithdrawn;
  /// End of the latest fault of each host.
  std::map<std::size_t, MonotonicTime> m_HostFaultEnds;
  std::map<std::size_t, MonotonicTime> m_HostsStopping;
  MonotonicTime m_GlobalFaultEnd;
  std::vector<MonotonicTime> m_SentTimes;
  std::vector<MonotonicTime> m_ExtraArrivals;
  std::map<unsigned, int> m_Statuses;
  std::map<std::string, int> m_ViolationCounts; ///< By promise.
  std::vector<std::string> m_Violations;
};

} // namespace dotterel::soak

#endif // DOTTEREL_SOAK_PROMISES_H
