//===- CrashRegistry.h - Requests that crash backend servers ----*- C++ -*-===//
///
/// \file
/// Counts the backend servers that were lost while they ran a request, by the
/// digests of its content and of its prompt's parts, and limits how many
/// servers one request or one part can crash.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_POISON_CRASHREGISTRY_H
#define DOTTEREL_POISON_CRASHREGISTRY_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// Digest of what requests have in common: the content of a request, or one
/// part of its prompt.
using RequestDigest = NumberId<struct RequestDigestTag>;

/// Returns the digest of a request's content, which is the same when the
/// request is sent again. Complexity: linear in the body.
auto digestRequest(const ModelId &Model, const std::string &Body)
    -> RequestDigest;

/// Returns the digest of a part of prompts, by the part's id.
auto digestPromptPart(const ModelId &Model, const std::string &PartId)
    -> RequestDigest;

/// A loss of a backend server, relative to the time of the report.
struct LossAges {
  Duration m_SinceSent{}; ///< Since the request was sent to the server.
  Duration m_SinceLost{}; ///< Since the server was lost.

  auto operator==(const LossAges &) const -> bool = default;
};

/// Evidence about one digest, as exchanged between processes.
struct CrashReport {
  RequestDigest m_Digest;
  std::map<BackendId, LossAges> m_Losses;
  std::uint64_t m_Releases = 0; ///< Total, by operators and successes.
  bool m_LostAlone = false;     ///< A server was lost that ran only this.
};

/// A request that was running on a backend server.
struct RunningRequest {
  RequestDigest m_Digest;
  bool m_Alone = false; ///< No other request ran on the server.
  /// When it was sent to the server; if empty, just before the loss.
  std::optional<MonotonicTime> m_SentAt;
};

enum class CrashVerdict : std::uint8_t {
  Clear,       ///< May run together with others.
  Suspect,     ///< Runs alone on its server, one at a time.
  Quarantined, ///< Is refused until it is released or the evidence expires.
};

struct CrashRegistryOptions {
  /// Number of consecutive losses from which a digest is quarantined, if it ran
  /// alone on at least one of the servers.
  std::size_t m_QuarantineLossesAlone = 2;
  /// Number of consecutive losses from which a digest is quarantined if it
  /// never ran alone. This limit is higher, since a prompt that many callers
  /// send is running on every server, and so on each one that is lost.
  std::size_t m_QuarantineLossesShared = 4;
  /// Losses in one data centre within this time can count as one reclaim of the
  /// zone, which is no evidence against the requests that were running.
  Duration m_ReclaimWindow = Seconds(5);
  /// Number of servers lost in one data centre within m_ReclaimWindow from
  /// which the losses count as a reclaim. 0: no losses do.
  std::size_t m_MinReclaimedServers = 3;
  /// Whether a success also releases a quarantined digest. Only sound if
  /// requests with a crashing digest never run to completion.
  bool m_SuccessReleasesQuarantine = false;
  /// Age from which a loss is no evidence any more; empty: evidence is kept
  /// until it is released.
  std::optional<Duration> m_EvidenceLifetime;
  /// Maximum number of digests with evidence. Beyond it, a sixteenth of them is
  /// dropped: those whose newest loss is oldest first, quarantined ones last.
  std::size_t m_MaxDigests = 4096;
};

/// Stores the evidence for each digest.
///
/// Losses are consecutive if the request of each was sent after the previous
/// loss. Only these count: the requests that run when several servers are lost
/// at once, for example with their data centre, did not cause all the losses.
///
/// \invariant Evidence with a higher release count replaces all evidence with a
/// lower one. Within one release count losses are only added and their times
/// only decrease, so that merges commute.
class CrashRegistry {
public:
  explicit CrashRegistry(const CrashRegistryOptions &Options)
      : m_Options(Options) {}

  /// Records that \p Backend was lost at \p LostAt while it ran the requests
  /// \p Running. Each of them becomes at least suspect, unless it was sent
  /// later than that or the loss is part of a reclaim.
  auto recordLoss(const BackendId &Backend, const DataCentreId &DataCentre,
                  const std::vector<RunningRequest> &Running,
                  MonotonicTime LostAt) -> void;

  /// Complexity: logarithmic in the digests, linear in the losses of this one.
  [[nodiscard]] auto verdict(RequestDigest Digest) const -> CrashVerdict;

  /// Returns the number of consecutive losses of a digest.
  [[nodiscard]] auto consecutiveLosses(RequestDigest Digest) const
      -> std::size_t;

  /// Records that a request ran to completion. This clears a suspect digest,
  /// and a quarantined one if the options say so. Returns whether it did.
  auto recordSuccess(RequestDigest Digest) -> bool;

  /// Clears a digest by increasing its release count, which also clears it in
  /// the other processes once they have merged this one's report.
  auto release(RequestDigest Digest) -> void;

  /// Adds the evidence that another process reported at \p Now. Returns whether
  /// it adds a loss, clears the digest or changes the verdict; earlier times
  /// of known losses alone do not count.
  auto merge(const CrashReport &Report, MonotonicTime Now) -> bool;
  [[nodiscard]] auto reports(MonotonicTime Now) const
      -> std::vector<CrashReport>;
  /// Returns the report on one digest, or nothing if there is no evidence and
  /// no release of it.
  [[nodiscard]] auto report(RequestDigest Digest, MonotonicTime Now) const
      -> std::optional<CrashReport>;

  /// Removes the losses that are no evidence any more at \p Now.
  auto expire(MonotonicTime Now) -> void;

private:
  struct LossTimes {
    MonotonicTime m_SentAt;
    MonotonicTime m_LostAt;
  };
  struct Evidence {
    std::map<BackendId, LossTimes> m_Losses;
    std::uint64_t m_Releases = 0;
    bool m_LostAlone = false;
  };
  struct Loss {
    BackendId m_Backend;
    DataCentreId m_DataCentre;
    MonotonicTime m_Time;
    std::vector<RunningRequest> m_Running;
  };

  /// Discards the evidence of recent losses if together they form a reclaim.
  auto discardReclaimEvidence(const DataCentreId &DataCentre) -> void;
  [[nodiscard]] auto verdict(const Evidence &Item) const -> CrashVerdict;
  [[nodiscard]] static auto countConsecutive(const Evidence &Item)
      -> std::size_t;
  [[nodiscard]] static auto makeReport(RequestDigest Digest,
                                       const Evidence &Known, MonotonicTime Now)
      -> CrashReport;
  auto removeOldLosses(Evidence &Item, MonotonicTime Now) const -> void;
  auto limitDigests() -> void;

  CrashRegistryOptions m_Options;
  std::map<RequestDigest, Evidence> m_Evidence;
  std::vector<Loss> m_RecentLosses;
};

} // namespace dotterel

#endif // DOTTEREL_POISON_CRASHREGISTRY_H
