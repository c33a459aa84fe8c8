//===- LoadTracker.h - Load of backend servers ------------------*- C++ -*-===//
///
/// \file
/// Tracks this host's requests in flight at each backend server and the load
/// that servers and other hosts report.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_LOADTRACKER_H
#define DOTTEREL_SERVING_LOADTRACKER_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/serving/BackendLoad.h"
#include "dotterel/serving/BackendTransport.h"

#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace dotterel {

struct LoadTrackerOptions {
  /// Time in which a server's load report loses half of its weight.
  Duration m_ReportHalfLife = Milliseconds(400);
  /// Time for which a server is excluded after it refused a request. It doubles
  /// with each further refusal, up to m_MaxBackoff.
  Duration m_InitialBackoff = Milliseconds(200);
  Duration m_MaxBackoff = Milliseconds(1600);
  /// Time without data after which a server that has requests of this host is
  /// considered unresponsive. The time to prefill its pending prompts is added.
  Duration m_ActivityTimeout = Milliseconds(600);
  /// Minimum prefill speed that the added time assumes, in tokens per
  /// millisecond.
  double m_MinPrefillTokensPerMs = 12;
  /// Time after which a peer's report expires.
  Duration m_PeerExpiry = Milliseconds(800);
};

/// Load of each backend server. Unless peers have reported recently, the load
/// from other hosts is estimated from the reports that servers send with their
/// responses.
class LoadTracker {
public:
  explicit LoadTracker(const LoadTrackerOptions &Options)
      : m_Options(Options) {}

  /// Records the start of an attempt that has \p PrefillTokens prompt tokens to
  /// prefill at the server.
  auto beginAttempt(const BackendId &Backend, double PrefillTokens,
                    MonotonicTime Now) -> void;
  /// Records that the server has sent data.
  auto recordActivity(const BackendId &Backend, MonotonicTime Now) -> void;
  /// Returns whether the server has requests of this host and has sent nothing
  /// for longer than the timeout, which is extended if work takes \p Slowdown
  /// times as long there as usual.
  [[nodiscard]] auto unresponsive(const BackendId &Backend, MonotonicTime Now,
                                  double Slowdown = 1) const -> bool;
  /// Records that the prompt of an attempt has been prefilled.
  auto prefillDone(const BackendId &Backend, double PrefillTokens) -> void;
  auto endAttempt(const BackendId &Backend) -> void;
  /// Records that the server refused a request because it is full, starting or
  /// changing its stage, and excludes it for a time. Its low load would
  /// otherwise attract all requests.
  auto recordRefusal(const BackendId &Backend, MonotonicTime Now) -> void;
  /// Records that the server accepted a request, which resets the backoff.
  auto recordAcceptance(const BackendId &Backend) -> void;
  [[nodiscard]] auto inBackoff(const BackendId &Backend,
                               MonotonicTime Now) const -> bool;
  auto recordReport(const BackendId &Backend, const LoadReport &Load,
                    MonotonicTime Now) -> void;
  /// Replaces the load reported by \p Origin, another host or a data centre,
  /// with \p Loads received at \p Now.
  auto setPeerLoads(const std::string &Origin,
                    const std::vector<BackendLoad> &Loads, MonotonicTime Now)
      -> void;
  auto remove(const BackendId &Backend) -> void;

  /// Returns the time since the latest report of \p Origin, or nothing if there
  /// was none.
  [[nodiscard]] auto reportAge(const std::string &Origin,
                               MonotonicTime Now) const
      -> std::optional<Duration>;
  /// Returns the origins whose reports have not expired.
  [[nodiscard]] auto recentOrigins(MonotonicTime Now) const
      -> std::vector<std::string>;

  /// Returns this host's requests in flight, to be reported to other hosts.
  [[nodiscard]] auto summary() const -> std::vector<BackendLoad>;

  /// Returns the number of this host's attempts in flight.
  [[nodiscard]] auto ownRequests(const BackendId &Backend) const -> double;
  /// Returns the prompt tokens of this host's attempts that are not yet
  /// prefilled.
  [[nodiscard]] auto ownPrefillTokens(const BackendId &Backend) const -> double;
  /// Returns the number of other hosts' attempts, running or waiting.
  [[nodiscard]] auto otherRequests(const BackendId &Backend,
                                   MonotonicTime Now) const -> double;
  /// Returns the prompt tokens of other hosts' attempts that are not yet
  /// prefilled, or nothing if no other host has reported recently.
  [[nodiscard]] auto otherPrefillTokens(const BackendId &Backend,
                                        MonotonicTime Now) const
      -> std::optional<double>;
  /// Returns the number of attempts of all hosts that wait at the server.
  [[nodiscard]] auto waitingRequests(const BackendId &Backend,
                                     MonotonicTime Now) const -> double;

private:
  struct Entry {
    double m_OwnRequests = 0;
    double m_OwnPrefillTokens = 0;
    double m_OtherRequests = 0;
    double m_WaitingRequests = 0;
    MonotonicTime m_ReportedAt;
    bool m_Reported = false;
    /// Time of the last data received, or of the first request to an idle
    /// server.
    MonotonicTime m_LastActivityAt;
    MonotonicTime m_BackoffUntil;
    std::uint32_t m_RefusalsInRow = 0;
  };

  [[nodiscard]] auto weight(const Entry &Current, MonotonicTime Now) const
      -> double;

  struct Peer {
    MonotonicTime m_ReceivedAt;
    std::unordered_map<BackendId, BackendLoad> m_Loads;
  };

  LoadTrackerOptions m_Options;
  std::unordered_map<BackendId, Entry> m_Entries;
  std::map<std::string, Peer> m_Peers;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_LOADTRACKER_H
