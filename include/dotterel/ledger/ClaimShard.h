//===- ClaimShard.h - Durable claims of one shard ---------------*- C++ -*-===//
///
/// \file
/// Appends claims and outcomes to a shard's log in the store.
///
/// Any process may append at any time: each append compares the revision of
/// the log's head, so a writer whose state is outdated fails and reads the log
/// again. Using one writer per shard for most appends only avoids conflicts;
/// safety depends neither on it nor on any clock or lease.
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
  /// Maximum number of entries appended by one store write.
  std::size_t m_MaxBatchEntries = 256;
  /// Size above which the open segment is sealed, that is, stored under its own
  /// key.
  std::size_t m_MaxSegmentBytes = std::size_t{32} << 10U;
  /// Minimum time between two appends. It limits a shard's store writes
  /// regardless of the rate of claims. The first claim after an idle period
  /// does not wait.
  Duration m_MinAppendInterval = Milliseconds(40);
  /// Time after which the reply to a claim is Unavailable.
  Duration m_ClaimTimeout = Seconds(3);
  /// Delay after a failed store call.
  Duration m_RetryDelay = Milliseconds(100);
  /// Time after which an outcome is reported as not recorded.
  Duration m_OutcomeTimeout = Seconds(60);
};

/// Claims of one shard.
///
/// \invariant Grants a claim only if its attempt is in the log as read or
/// written by this process.
/// \invariant A log that was written in an earlier history of the store may
/// have lost claims. Its horizon is raised before a claim is granted, so that
/// none of these is granted again.
class ClaimShard {
public:
  ClaimShard(Scheduler &Scheduler, KeyValueStore &Store, std::string Name,
             const ClaimShardOptions &Options);
  ClaimShard(const ClaimShard &) = delete;
  auto operator=(const ClaimShard &) -> ClaimShard & = delete;
  ~ClaimShard();

  /// Calls \p Done with the reply as soon as \p Request is in the log or its
  /// reply is determined otherwise.
  auto claim(const Claim &Request, std::function<void(ClaimReply)> Done)
      -> void;

  /// Calls \p Done with true as soon as \p Outcome is in the log, or with false
  /// when it could not be recorded in time.
  auto record(const ClaimOutcome &Outcome, std::function<void(bool)> Done)
      -> void;

private:
  struct Pending {
    ClaimEntry m_Entry;
    MonotonicTime m_Deadline;
    std::function<void(ClaimReply)> m_OnClaim;
    std::function<void(bool)> m_OnOutcome;
  };

  /// A full segment stored under its own key.
  struct SealedSegment {
    std::string m_Key;
    WallTime m_NewestIssuedAt; ///< Of its claims.
  };

  /// Starts the next load or append, unless a store call or a delay is pending.
  auto pump() -> void;
  auto load() -> void;
  auto replay(const RangeResult &Read) -> void;
  auto append() -> void;
  auto appended(const StoreReply<TransactionResult> &Reply,
                const std::vector<ClaimEntry> &Batch, WallTime Horizon) -> void;
  auto transactionFor(const std::vector<ClaimEntry> &Entries, WallTime Horizon)
      -> StoreTransaction;
  /// Returns the horizon for the next append. It advances only if that allows
  /// the oldest sealed segment to be deleted.
  [[nodiscard]] auto nextHorizon() const -> WallTime;
  /// Completes the pending requests whose reply the log determines.
  auto completeDecided() -> void;
  /// Completes the pending requests whose timeout has passed as failed.
  auto removeExpired() -> void;
  auto pumpAfter(Duration Delay) -> void;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  std::string m_Prefix;
  ClaimShardOptions m_Options;
  ClaimLog m_Log;
  std::deque<Pending> m_Pending;
  bool m_StoreCallPending = false;
  bool m_Loaded = false;
  std::optional<TimerId> m_RetryTimer;
  MonotonicTime m_NextAppend;
  StoreRevision m_HeadRevision;
  /// Whether the log as loaded may lack claims that were granted.
  bool m_LostClaims = false;
  /// When this process observed the newest restore of the store.
  std::optional<WallTime> m_RestoredAt;
  std::uint64_t m_Sequence = 0;
  std::vector<ClaimEntry> m_OpenEntries;      ///< Entries of the open segment.
  std::deque<SealedSegment> m_SealedSegments; ///< Oldest first.
  /// Set to false by the destructor, for store responses that arrive later.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_LEDGER_CLAIMSHARD_H
