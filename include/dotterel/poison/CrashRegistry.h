//===- CrashRegistry.h - Requests that crash backend servers ----*- C++ -*-===//
///
/// \file
/// Counts, by request digest, the backend servers that were lost while they
/// ran a request, and limits how many servers one request can crash.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_POISON_CRASHREGISTRY_H
#define DOTTEREL_POISON_CRASHREGISTRY_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace dotterel {

using RequestDigest = NumberId<struct RequestDigestTag>;

/// Returns the digest of a request's content, which is the same when the
/// request is sent again. Complexity: linear in the body.
auto digestRequest(const ModelId &Model, const std::string &Body)
    -> RequestDigest;

/// Evidence about one digest, as exchanged between processes.
struct CrashReport {
  RequestDigest m_Digest;
  std::set<BackendId> m_Backends;
  std::uint64_t m_Releases = 0; ///< Total, by operators and successes.
  bool m_LostAlone = false;     ///< A server was lost that ran only this.
};

/// A request that was running on a backend server.
struct RunningRequest {
  RequestDigest m_Digest;
  bool m_Alone = false; ///< No other request ran on the server.
};

enum class CrashVerdict : std::uint8_t {
  Clear,       ///< May run together with others.
  Suspect,     ///< Runs alone on its server, one at a time.
  Quarantined, ///< Is refused until an operator releases it.
};

struct CrashRegistryOptions {
  /// Number of lost servers from which a digest is quarantined, if it ran alone
  /// on at least one of them.
  std::size_t m_QuarantineLossesAlone = 2;
  /// Number of lost servers from which a digest is quarantined if it never ran
  /// alone. This limit is higher, since a prompt that many callers send is
  /// running on every server, and so on each one that is lost.
  std::size_t m_QuarantineLossesShared = 4;
  /// Losses in one data centre within this time can count as one reclaim of the
  /// zone, which is no evidence against the requests that were running.
  Duration m_ReclaimWindow = Seconds(5);
  /// Number of servers lost in one data centre within m_ReclaimWindow from
  /// which the losses count as a reclaim.
  std::size_t m_MinReclaimedServers = 3;
};

/// Stores the evidence for each request digest.
///
/// \invariant Evidence with a higher release count replaces all evidence with a
/// lower one. Within one release count evidence is only added, so that merges
/// commute.
class CrashRegistry {
public:
  explicit CrashRegistry(const CrashRegistryOptions &Options)
      : m_Options(Options) {}

  /// Records that \p Backend was lost while it ran the requests \p Running.
  /// Each of them becomes at least suspect, unless the loss is part of a
  /// reclaim.
  auto recordLoss(const BackendId &Backend, const DataCentreId &DataCentre,
                  const std::vector<RunningRequest> &Running, MonotonicTime Now)
      -> void;

  /// Complexity: logarithmic.
  [[nodiscard]] auto verdict(RequestDigest Digest) const -> CrashVerdict;

  /// Records that a request ran to completion. This clears a suspect digest,
  /// but not a quarantined one.
  auto recordSuccess(RequestDigest Digest) -> void;

  /// Clears a digest by increasing its release count, which also clears it in
  /// the other processes once they have merged this one's report.
  auto release(RequestDigest Digest) -> void;

  auto merge(const CrashReport &Report) -> void;
  [[nodiscard]] auto reports() const -> std::vector<CrashReport>;

private:
  struct Loss {
    BackendId m_Backend;
    DataCentreId m_DataCentre;
    MonotonicTime m_Time;
    std::vector<RunningRequest> m_Running;
  };

  /// Discards the evidence of recent losses if together they form a reclaim.
  auto discardReclaimEvidence(const DataCentreId &DataCentre) -> void;

  CrashRegistryOptions m_Options;
  std::map<RequestDigest, CrashReport> m_Reports;
  std::vector<Loss> m_RecentLosses;
};

} // namespace dotterel

#endif // DOTTEREL_POISON_CRASHREGISTRY_H
