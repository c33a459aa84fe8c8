//===- KeyspaceMirror.h - Local copy of a key range -------------*- C++ -*-===//
///
/// \file
/// Keeps a local copy of all keys with a prefix across outages, interrupted
/// watches and lost watch history.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_KEYSPACEMIRROR_H
#define DOTTEREL_STORE_KEYSPACEMIRROR_H

#include "dotterel/base/Random.h"
#include "dotterel/base/Scheduler.h"
#include "dotterel/store/StoreWatch.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dotterel {

struct KeyspaceMirrorOptions {
  std::string m_Prefix;
  /// Maximum duration of one watch. Also the age that a confirmation reaches
  /// while no key changes.
  Duration m_WatchTimeout = Milliseconds(1000);
  /// Minimum interval between the starts of two watches, which bounds the
  /// number of calls for frequently changing keys.
  Duration m_MinWatchInterval = Milliseconds(0);
  /// Delay of the first watch after the first read, if it differs from
  /// m_MinWatchInterval.
  std::optional<Duration> m_FirstWatchDelay;
  /// Delay after a failed call. It doubles with each consecutive failure up to
  /// m_MaxRetryDelay; a random part of up to half of the delay is added.
  Duration m_InitialRetryDelay = Milliseconds(150);
  Duration m_MaxRetryDelay = Milliseconds(900);
  /// Maximum number of removed keys that are remembered; the oldest removals
  /// are dropped first.
  std::size_t m_MaxRemovedKeys = 4096;
  /// Keys written before an outage that are missing after it are retained for
  /// this time, in which their owners write them again.
  Duration m_RetentionAfterOutage = Milliseconds(2200);
};

/// A local copy of all keys with a prefix.
///
/// \invariant The revision of a key never decreases. One of a later history of
/// the store is higher, so that a restored store replaces what was known, apart
/// from keys that are retained until they are written again.
class KeyspaceMirror {
public:
  KeyspaceMirror(Scheduler &Scheduler, KeyValueStore &Store, StoreWatch &Watch,
                 Random &Random, const KeyspaceMirrorOptions &Options)
      : m_Scheduler(Scheduler), m_Store(Store), m_Watch(Watch),
        m_Random(Random), m_Options(Options) {}
  KeyspaceMirror(const KeyspaceMirror &) = delete;
  auto operator=(const KeyspaceMirror &) -> KeyspaceMirror & = delete;
  ~KeyspaceMirror();

  /// Sets the callback for each change of the copy.
  auto onChange(std::function<void(const KeyChange &)> Callback) -> void {
    m_OnChange = std::move(Callback);
  }

  /// Sets the callback for keys that a restored store holds with the known
  /// value at another revision: these have been written since the restore,
  /// while what the copy holds keeps its revision.
  auto onWrittenAgain(std::function<void(const std::string &)> Callback)
      -> void {
    m_OnWrittenAgain = std::move(Callback);
  }

  /// Sets the callback for each successful call. It gets the time at which the
  /// call was sent: the copy contains everything that the store had accepted by
  /// then.
  auto onConfirmed(std::function<void(MonotonicTime)> Callback) -> void {
    m_OnConfirmed = std::move(Callback);
  }

  /// Sets the callback for changes of reachability. It gets false when calls
  /// begin to fail, and true when a call has succeeded again.
  auto onReachabilityChange(std::function<void(bool)> Callback) -> void {
    m_OnReachabilityChange = std::move(Callback);
  }

  auto start() -> void;

  /// Stops watching if \p Following is true: another process then supplies
  /// changes through apply(). Reads all keys again when watching resumes.
  auto setFollowing(bool Following) -> void;

  /// Reads all keys once, unless a call is in flight.
  auto refresh() -> void;

  /// Returns the revision up to which the copy is complete.
  [[nodiscard]] auto revision() const -> StoreRevision { return m_Revision; }

  /// Applies a change that another process has observed, unless the local copy
  /// is newer.
  auto apply(const KeyChange &Change) -> void;

private:
  struct Entry {
    StoreRevision m_Revision;
    std::string m_Value;
  };

  auto list() -> void;
  auto watch() -> void;
  auto applyList(const RangeResult &Read, MonotonicTime SentAt) -> void;
  auto applyChanges(const WatchResult &Result, MonotonicTime SentAt) -> void;
  auto put(const std::string &Key, const std::string &Value,
           StoreRevision Revision) -> void;
  auto remove(const std::string &Key, StoreRevision Revision) -> void;
  auto eraseEntry(const std::string &Key, StoreRevision Revision) -> void;
  auto recordRemoval(const std::string &Key, StoreRevision Revision) -> void;
  /// \p Observed is the revision of the response that is being applied.
  auto beginRetention(StoreRevision Observed) -> void;
  auto scheduleRetentionEnd() -> void;
  auto onCallSucceeded(MonotonicTime SentAt) -> void;
  auto onCallFailed(void (KeyspaceMirror::*Step)()) -> void;
  auto scheduleStep(Duration Delay, void (KeyspaceMirror::*Step)()) -> void;
  [[nodiscard]] auto isRetaining() const -> bool;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  StoreWatch &m_Watch;
  Random &m_Random;
  KeyspaceMirrorOptions m_Options;
  std::map<std::string, Entry> m_Entries;
  /// Retained keys that are missing in the store, with the revision at which
  /// they were found to be missing.
  std::map<std::string, StoreRevision> m_Retained;
  /// Removed keys with the revisions of their removals, so that a delayed older
  /// write does not restore them.
  std::map<std::string, StoreRevision> m_Removed;
  StoreRevision m_Revision;
  bool m_Reachable = true;
  bool m_Following = false;
  bool m_CallInFlight = false;
  bool m_Watched = false; ///< Whether a watch has been started.
  std::uint32_t m_ConsecutiveFailures = 0;
  std::optional<MonotonicTime> m_RetainUntil;
  StoreRevision m_RetainUpToRevision; ///< Newer keys are not retained.
  std::optional<TimerId> m_Timer;
  std::optional<TimerId> m_RetentionTimer;
  std::function<void(const KeyChange &)> m_OnChange;
  std::function<void(const std::string &)> m_OnWrittenAgain;
  std::function<void(MonotonicTime)> m_OnConfirmed;
  std::function<void(bool)> m_OnReachabilityChange;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_STORE_KEYSPACEMIRROR_H
