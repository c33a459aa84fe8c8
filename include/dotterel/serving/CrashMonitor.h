//===- CrashMonitor.h - Requests that crash backend servers -----*- C++ -*-===//
///
/// \file
/// Finds the servers that crash, and the requests and parts of prompts that
/// crash them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_CRASHMONITOR_H
#define DOTTEREL_SERVING_CRASHMONITOR_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/poison/CrashRegistry.h"
#include "dotterel/serving/BackendTransport.h"
#include "dotterel/serving/ServingMetrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

struct CrashMonitorOptions {
  /// Requests share their engines, and no operator releases digests.
  CrashRegistryOptions m_Registry{.m_QuarantineLossesShared = 3,
                                  .m_MinReclaimedServers = 0,
                                  .m_SuccessReleasesQuarantine = true,
                                  .m_EvidenceLifetime = Seconds(600)};
  /// Time after which a server that accepted a connection is checked again: it
  /// may have closed its connections just before it ended.
  Duration m_RecheckDelay = Milliseconds(100);
  /// Time for which the result of a check of a server is reused.
  Duration m_CheckLifetime = Seconds(1);
  /// Maximum number of servers that are checked, or whose result is kept.
  std::size_t m_MaxChecks = 256;
  /// Maximum number of attempts that a loss is recorded for.
  std::size_t m_MaxAttemptsPerCheck = 256;
  Duration m_ExpiryInterval = Seconds(5);
  /// Maximum number of servers of all services that a request may have crashed
  /// for it to be tried on a service of which it has crashed none.
  std::size_t m_MaxLossesBeforeTrial = 3;
};

/// One run of a backend server: each restart yields a new one.
struct BackendIncarnation {
  BackendId m_Id;
  std::uint64_t m_StartedAt = 0; ///< As in BackendRecord.
  std::string m_Address;
  DataCentreId m_DataCentre;

  /// Returns the id under which losses of this run are recorded.
  [[nodiscard]] auto lossId() const -> BackendId;
};

/// What a request has in common with others that may crash the same servers.
struct RequestDigests {
  struct Part {
    std::string m_Id;
    RequestDigest m_Digest;
  };

  RequestId m_Request;
  RequestDigest m_Content; ///< Of the request, at its service.
  /// Of the request as its caller names it, at whatever service.
  std::optional<RequestDigest> m_ContentAnywhere;
  /// The parts of the prompt that other prompts share: all but the last.
  std::vector<Part> m_Parts;

  [[nodiscard]] auto all() const -> std::vector<RequestDigest>;
};

auto digestsOf(const CallerRequest &Request, const ServiceSpec &Service,
               const OrganisationId &Organisation) -> RequestDigests;

class CrashMonitor;

/// A request that is served although parts of its prompt are quarantined, or
/// although it crashed servers of other services, to find out whether it
/// crashes servers. Ends when it is destroyed.
class CrashTrial {
public:
  CrashTrial(CrashMonitor &Monitor, std::vector<RequestDigest> Digests);
  CrashTrial(const CrashTrial &) = delete;
  auto operator=(const CrashTrial &) -> CrashTrial & = delete;
  ~CrashTrial();

  [[nodiscard]] auto covers(RequestDigest Digest) const -> bool;

private:
  CrashMonitor *m_Monitor;
  std::weak_ptr<bool> m_MonitorAlive;
  std::vector<RequestDigest> m_Digests;
};

/// Attributes crashes of servers to the requests that ran there.
///
/// \invariant A broken attempt is evidence only if its server no longer accepts
/// connections.
/// \invariant At most one request with a quarantined digest is a trial at a
/// time.
class CrashMonitor {
public:
  CrashMonitor(Scheduler &Scheduler, BackendTransport &Transport,
               ServingMetrics &Metrics, const CrashMonitorOptions &Options);
  CrashMonitor(const CrashMonitor &) = delete;
  auto operator=(const CrashMonitor &) -> CrashMonitor & = delete;
  ~CrashMonitor() = default;

  /// Records that the connection of an attempt, sent to \p Server at \p SentAt,
  /// broke. Checks whether the server is lost, unless that is known.
  auto attemptBroken(const BackendIncarnation &Server,
                     const RequestDigests &Digests, MonotonicTime SentAt)
      -> void;

  /// Records that a server executed a request completely and successfully.
  auto attemptSucceeded(const RequestDigests &Digests) -> void;

  /// Returns the digest for which the request must be refused, if any. \p Trial
  /// is the trial that the request is, or null.
  [[nodiscard]] auto quarantined(const RequestDigests &Digests,
                                 const CrashTrial *Trial = nullptr) const
      -> std::optional<RequestDigest>;

  /// Makes a request with quarantined parts a trial, if all losses of each part
  /// can be explained by another quarantined digest that the request does not
  /// have. Makes a request that crashed servers of other services a trial, if
  /// this service has lost none to it. Returns null if it must be refused.
  [[nodiscard]] auto beginTrial(const RequestDigests &Digests)
      -> std::unique_ptr<CrashTrial>;

  /// Sets a callback that receives the digests whose evidence or releases
  /// changed by what this host observed, to be reported to the other hosts.
  auto
  onChange(std::function<void(const std::vector<RequestDigest> &)> Callback)
      -> void {
    m_OnChange = std::move(Callback);
  }

  /// Adds the evidence that another host reported at \p Now.
  auto merge(const std::vector<CrashReport> &Reports, MonotonicTime Now)
      -> void;

  [[nodiscard]] auto registry() const -> const CrashRegistry & {
    return m_Registry;
  }

private:
  friend class CrashTrial;

  struct BrokenAttempt {
    RequestDigests m_Digests;
    MonotonicTime m_SentAt;
  };
  enum class CheckState : std::uint8_t { Pending, Reachable, Lost };
  struct Check {
    BackendIncarnation m_Server;
    MonotonicTime m_BrokenAt; ///< When the first attempt broke.
    MonotonicTime m_ExpiresAt = MonotonicTime::max();
    CheckState m_State = CheckState::Pending;
    bool m_Rechecked = false;
    std::vector<BrokenAttempt> m_Attempts; ///< While the check is pending.
    /// Digests of requests that succeeded elsewhere since then.
    std::set<RequestDigest> m_Succeeded;
  };
  /// What is known about a digest, for the log.
  struct Description {
    std::string m_PartId; ///< Empty for the content of a request.
    RequestId m_NewestRequest;
    bool m_Part = false;
  };

  auto startCheck(const BackendId &LossId) -> void;
  auto checkEnded(const BackendId &LossId, bool Reachable) -> void;
  auto recordLoss(const Check &Ended, const std::vector<BrokenAttempt> &Broken)
      -> void;
  auto describe(const RequestDigests &Digests) -> void;
  /// Logs and counts a digest that has been quarantined or released.
  auto review(RequestDigest Digest, const char *Reason) -> void;
  [[nodiscard]] auto explainedByOther(RequestDigest Digest,
                                      const RequestDigests &Request) const
      -> bool;
  /// Returns whether the request has crashed servers of other services, but
  /// none of its own.
  [[nodiscard]] auto newToService(const RequestDigests &Digests) const -> bool;
  auto notify(const std::vector<RequestDigest> &Changed) -> void;
  auto removeOldChecks() -> void;
  auto expire() -> void;

  Scheduler &m_Scheduler;
  BackendTransport &m_Transport;
  ServingMetrics &m_Metrics;
  CrashMonitorOptions m_Options;
  CrashRegistry m_Registry;
  std::map<BackendId, Check> m_Checks; ///< By BackendIncarnation::lossId().
  std::map<RequestDigest, Description> m_Descriptions;
  /// Quarantined digests with the servers that were lost.
  std::map<RequestDigest, std::set<BackendId>> m_Quarantined;
  std::set<RequestDigest> m_Trials;
  std::function<void(const std::vector<RequestDigest> &)> m_OnChange;
  RepeatingTimer m_ExpiryTimer;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_CRASHMONITOR_H
