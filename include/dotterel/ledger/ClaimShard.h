//===- ClaimShard.h - Durable claims of one shard ---------------*- C++ -*-===//
///
/// \file
/// Appends claims and outcomes to a shard's log in the store.
///
/// Any process may append at any time: each append compares the revision of
/// the log's head, so a writer whose knowledge is not complete fails and reads
/// what it lacks. That one writer per shard does most of the work only saves
/// conflicts; the safety does not depend on it, nor on any clock or lease.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LEDGER_CLAIMSHARD_H
#define DOTTEREL_LEDGER_CLAIMSHARD_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/ledger/ClaimLog.h"
#include "dotterel/store/KeyValueStore.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace dotterel {

struct ClaimShardOptions {
  /// Entries appended by one store write at most.
  std::size_t m_BatchSize = 256;
  /// The open segment is sealed under a key of its own above this size.
  std::size_t m_SegmentBytes = std::size_t{32} << 10U;
  /// Least time between two appends: bounds the store writes of a shard
  /// whatever the rate of claims. The first claim after a rest does not wait.
  Duration m_AppendInterval = Milliseconds(40);
  /// A claim that waits longer is answered Unavailable.
  Duration m_ClaimDeadline = Seconds(3);
  /// Pause after a failed store call.
  Duration m_RetryDelay = Milliseconds(100);
  /// How long an outcome is tried before it is given up as not recorded.
  Duration m_OutcomeDeadline = Seconds(60);
};

/// Claims of one shard.
///
/// \invariant Granted is answered only for an attempt that stands in the log as
/// read or written by this process.
class ClaimShard {
public:
  ClaimShard(Scheduler &Scheduler, KeyValueStore &Store, std::string Name,
             const ClaimShardOptions &Options);
  ClaimShard(const ClaimShard &) = delete;
  auto operator=(const ClaimShard &) -> ClaimShard & = delete;
  ~ClaimShard();

  /// Answers once \p Request stands in the log, or cannot.
  auto claim(const Claim &Request, std::function<void(ClaimReply)> Done)
      -> void;

  /// Answers true once \p Outcome stands in the log.
  auto record(const ClaimOutcome &Outcome, std::function<void(bool)> Done)
      -> void;

private:
  struct Pending {
    ClaimEntry m_Entry;
    MonotonicTime m_Deadline;
    std::function<void(ClaimReply)> m_OnClaim;
    std::function<void(bool)> m_OnOutcome;
  };

  /// A full segment under a key of its own.
  struct Sealed {
    std::string m_Key;
    WallTime m_NewestIssue; ///< Of the claims in it.
  };

  auto pump() -> void;
  auto load() -> void;
  auto replay(const RangeResult &Read) -> void;
  auto append() -> void;
  auto appended(const StoreReply<TransactionResult> &Reply,
                const std::vector<ClaimEntry> &Batch, WallTime Horizon) -> void;
  auto transactionFor(const std::vector<ClaimEntry> &Entries, WallTime Horizon)
      -> StoreTransaction;
  /// The horizon to forget at, when that frees a sealed segment.
  [[nodiscard]] auto nextHorizon() const -> WallTime;
  auto answerKnown() -> void;
  auto dropExpired() -> void;
  auto pumpAfter(Duration Delay) -> void;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  std::string m_Prefix;
  ClaimShardOptions m_Options;
  ClaimLog m_Log;
  std::deque<Pending> m_Pending;
  bool m_Busy = false;
  bool m_Loaded = false;
  std::optional<TimerId> m_Retry;
  MonotonicTime m_NextAppend;
  StoreRevision m_HeadRevision;
  std::uint64_t m_Sequence = 0;
  std::vector<ClaimEntry> m_Open; ///< Entries of the open segment.
  std::deque<Sealed> m_Sealed;    ///< Oldest first.
  /// Cleared by the destructor, for store answers that arrive later.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_LEDGER_CLAIMSHARD_H
