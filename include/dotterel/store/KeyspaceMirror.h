//===- KeyspaceMirror.h - Local copy of a key range -------------*- C++ -*-===//
///
/// \file
/// Follows the keys below a prefix through outages, cut watches and lost
/// history.
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
  /// Longest wait of one watch. Also the age that evidence reaches in a quiet
  /// store.
  Duration m_Wait = Milliseconds(1000);
  /// Pause between the starts of two watches, so that busy keys cost a bounded
  /// number of calls.
  Duration m_Pause = Milliseconds(0);
  /// Pause after a failed call, doubled after each further one up to the
  /// longest; half as much again by chance.
  Duration m_RetryDelay = Milliseconds(150);
  Duration m_LongestRetryDelay = Milliseconds(900);
  /// Removed keys that are remembered; the oldest removals are forgotten.
  std::size_t m_MostRemoved = 4096;
  /// Keys from before an outage that are missing after it are kept for so long:
  /// their owners write them again.
  Duration m_HoldAfterOutage = Milliseconds(2200);
};

/// A copy of all keys below a prefix.
///
/// \invariant A key's revision never falls.
class KeyspaceMirror {
public:
  KeyspaceMirror(Scheduler &Scheduler, KeyValueStore &Store, StoreWatch &Watch,
                 Random &Random, const KeyspaceMirrorOptions &Options)
      : m_Scheduler(Scheduler), m_Store(Store), m_Watch(Watch),
        m_Random(Random), m_Options(Options) {}
  KeyspaceMirror(const KeyspaceMirror &) = delete;
  auto operator=(const KeyspaceMirror &) -> KeyspaceMirror & = delete;
  ~KeyspaceMirror();

  /// Called for each change of the copy.
  auto onChange(std::function<void(const KeyChange &)> Callback) -> void {
    m_OnChange = std::move(Callback);
  }

  /// Called when the store has answered, with the time before the call was
  /// sent: the copy holds everything that the store had accepted by then.
  auto onEvidence(std::function<void(MonotonicTime)> Callback) -> void {
    m_OnEvidence = std::move(Callback);
  }

  /// Called with false when calls begin to fail, and with true when one has
  /// been answered again.
  auto onReachable(std::function<void(bool)> Callback) -> void {
    m_OnReachable = std::move(Callback);
  }

  auto start() -> void;

  /// Stops watching when \p Following: another process passes changes on by
  /// apply(). Reads all keys anew when the watching begins again.
  auto follow(bool Following) -> void;

  /// Reads all keys once, unless a call is under way.
  auto refresh() -> void;

  /// Takes a change that another process has seen, unless what is known here is
  /// newer.
  auto apply(const KeyChange &Change) -> void;

private:
  struct Entry {
    StoreRevision m_Revision;
    std::string m_Value;
  };

  auto list() -> void;
  auto watch() -> void;
  auto takeList(const RangeResult &Read, MonotonicTime SentAt) -> void;
  auto takeChanges(const WatchResult &Result, MonotonicTime SentAt) -> void;
  auto put(const std::string &Key, const std::string &Value,
           StoreRevision Revision) -> void;
  auto remove(const std::string &Key, StoreRevision Revision) -> void;
  auto drop(const std::string &Key, StoreRevision Revision) -> void;
  auto rememberRemoval(const std::string &Key, StoreRevision Revision) -> void;
  auto beginHold() -> void;
  auto answered(MonotonicTime SentAt) -> void;
  auto failed(void (KeyspaceMirror::*Step)()) -> void;
  auto again(Duration Delay, void (KeyspaceMirror::*Step)()) -> void;
  [[nodiscard]] auto holding() const -> bool;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  StoreWatch &m_Watch;
  Random &m_Random;
  KeyspaceMirrorOptions m_Options;
  std::map<std::string, Entry> m_Entries;
  /// Held although the store lacks them, with the revision of that.
  std::map<std::string, StoreRevision> m_Missing;
  /// Removed keys, so that an older write that arrives late does not bring them
  /// back.
  std::map<std::string, StoreRevision> m_Removed;
  StoreRevision m_Revision;
  bool m_Reachable = true;
  bool m_Following = false;
  bool m_Calling = false;
  std::uint32_t m_Failures = 0; ///< In a row.
  std::optional<MonotonicTime> m_HoldUntil;
  StoreRevision m_HeldUpTo; ///< Only keys written up to here are held.
  std::optional<TimerId> m_Timer;
  std::optional<TimerId> m_HoldTimer;
  std::function<void(const KeyChange &)> m_OnChange;
  std::function<void(MonotonicTime)> m_OnEvidence;
  std::function<void(bool)> m_OnReachable;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_STORE_KEYSPACEMIRROR_H
