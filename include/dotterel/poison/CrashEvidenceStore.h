//===- CrashEvidenceStore.h - Evidence that outlives processes --*- C++ -*-===//
///
/// \file
/// Keeps the evidence about requests that crash backend servers in the
/// platform's store, so that it outlives a restart of all processes.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_POISON_CRASHEVIDENCESTORE_H
#define DOTTEREL_POISON_CRASHEVIDENCESTORE_H

#include "dotterel/base/Random.h"
#include "dotterel/base/Scheduler.h"
#include "dotterel/fleet/CallBackoff.h"
#include "dotterel/poison/CrashRegistry.h"
#include "dotterel/store/KeyValueStore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

struct CrashEvidenceStoreOptions {
  /// Prefix of the keys. Each process writes one key.
  std::string m_Prefix = "crash-evidence/";
  /// Number of consecutive losses from which a digest is stored.
  std::size_t m_MinLosses = 2;
  /// Maximum number of digests in a record, and of losses of each.
  std::size_t m_MaxDigests = 64;
  std::size_t m_MaxLosses = 8;
  /// Time for which changes are collected into one write.
  Duration m_CollectTime = Milliseconds(50);
  /// Minimum time between two writes of one process.
  Duration m_MinWriteInterval = Milliseconds(500);
  /// Writes per second of all processes together. Beyond it, each process
  /// writes less often.
  double m_MaxWritesPerSecond = 20;
  /// Pace of the calls while the store answers none.
  CallBackoffOptions m_Backoff;
  /// Age from which a stored loss is no evidence any more.
  Duration m_EvidenceLifetime = Seconds(600);
  Duration m_ExpiryInterval = Seconds(30);
  /// Maximum number of outdated records of other processes that are deleted
  /// after a start.
  std::size_t m_MaxDeletions = 16;
};

/// What the store of evidence needs from its process.
struct CrashEvidenceHooks {
  /// Adds the evidence of records, whose ages hold now.
  std::function<void(const std::vector<CrashReport> &)> m_Merge;
  /// Returns the number of processes that may write.
  std::function<std::size_t()> m_WriterCount;
};

/// Reads the records of all processes at the start, and writes a record of its
/// own when this process has observed a change: the evidence that it knows, and
/// the releases of digests that may be stored.
///
/// \invariant A record is replaced only at the revision at which it was last
/// read or written, so that a delayed write of an earlier process of the same
/// name, or of this one, has no effect.
/// \invariant There is at most one call at a time.
class CrashEvidenceStore {
public:
  /// \p Clock also provides the calendar time. \p Process is the name of this
  /// process among those that write.
  CrashEvidenceStore(Scheduler &Clock, KeyValueStore &Store, Random &Random,
                     const CrashRegistry &Crashes, const std::string &Process,
                     CrashEvidenceHooks Hooks,
                     CrashEvidenceStoreOptions Options);
  CrashEvidenceStore(const CrashEvidenceStore &) = delete;
  auto operator=(const CrashEvidenceStore &) -> CrashEvidenceStore & = delete;
  ~CrashEvidenceStore();

  auto start() -> void;

  /// Records that this process has observed losses or releases of \p Digests.
  auto observed(const std::vector<RequestDigest> &Digests) -> void;

  /// Records that the evidence of another process about \p Digest was added.
  auto merged(RequestDigest Digest) -> void;

private:
  [[nodiscard]] auto isStored(RequestDigest Digest) const -> bool {
    return m_Crashes.consecutiveLosses(Digest) >= m_Options.m_MinLosses;
  }
  [[nodiscard]] auto writeInterval() const -> Duration;
  auto markChanged() -> void;
  auto scheduleStep(MonotonicTime At) -> void;
  /// Makes the next call that is due, if any.
  auto step() -> void;
  auto readAll() -> void;
  auto readOwn() -> void;
  auto write() -> void;
  auto applyRecords(const RangeResult &Read) -> void;
  auto deleteOutdated(std::vector<StoreCompare> Outdated) -> void;
  /// Records the end of a call. \returns whether it succeeded.
  auto callEnded(std::uint64_t Call, bool Answered) -> bool;
  [[nodiscard]] auto reports() const -> std::vector<CrashReport>;
  auto expire() -> void;

  Scheduler &m_Clock;
  KeyValueStore &m_Store;
  Random &m_Random;
  const CrashRegistry &m_Crashes;
  std::string m_Key;
  CrashEvidenceHooks m_Hooks;
  CrashEvidenceStoreOptions m_Options;
  CallBackoff m_Backoff;
  bool m_Started = false;
  bool m_ReadAll = false;  ///< Whether the records of all processes were read.
  bool m_Conflict = false; ///< Whether the own record must be read again.
  bool m_Changed = false;
  bool m_CallInFlight = false;
  StoreRevision m_Revision;  ///< Of the own record; 0 if there is none.
  bool m_RecordEmpty = true; ///< Whether the own record has no digests.
  MonotonicTime m_NextWriteAt;
  /// Digests of which this process has observed a loss.
  std::set<RequestDigest> m_Observed;
  /// Digests that some process may have stored.
  std::set<RequestDigest> m_MayBeStored;
  std::map<RequestDigest, MonotonicTime> m_ReleasedAt;
  std::optional<TimerId> m_StepTimer;
  MonotonicTime m_StepAt;
  std::optional<RepeatingTimer> m_ExpiryTimer;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_POISON_CRASHEVIDENCESTORE_H
