//===- Freshness.h - Whether keyed work may be served -----------*- C++ -*-===//
///
/// \file
/// Decides whether the configuration in memory is recent enough to trust a key
/// that it grants.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CONFIG_FRESHNESS_H
#define DOTTEREL_CONFIG_FRESHNESS_H

#include "dotterel/membership/MemberTable.h"

#include <optional>
#include <set>

namespace dotterel {

struct FreshnessOptions {
  /// Keyed work is not served if the configuration was last confirmed longer
  /// ago than this.
  Duration m_MaxAge = Seconds(4);
};

enum class Freshness : std::uint8_t {
  Fresh,
  /// The last confirmation is too old, but every listed process has lost access
  /// to the store as well, so that no change can have been accepted.
  StoreLostByAll,
  Stale,
};

/// Tracks when the configuration was last confirmed to be the newest, by a read
/// of the store by this process or by a peer.
///
/// \invariant m_ConfirmedAt is never later than an actual read of the store:
/// ages are counted from before a request was sent.
class FreshnessTracker {
public:
  explicit FreshnessTracker(const FreshnessOptions &Options)
      : m_Options(Options) {}

  /// Records that a read of the store, sent by this process at \p SentAt,
  /// succeeded.
  auto recordOwnRead(MonotonicTime SentAt) -> void;

  /// Records that a read of the store, sent by this process at \p SentAt,
  /// failed.
  auto recordOwnFailure(MonotonicTime SentAt) -> void;

  /// Records a confirmation of age \p Age that a peer reported in an exchange
  /// which this process began at \p SentAt.
  /// \pre this process holds the configuration of the peer.
  auto recordPeerConfirmation(MonotonicTime SentAt, Duration Age) -> void;

  /// Returns the age of the newest confirmation; Duration::max() if there is
  /// none.
  [[nodiscard]] auto age(MonotonicTime Now) const -> Duration;

  /// Returns whether the newest read by this process failed and was sent within
  /// the maximum age.
  [[nodiscard]] auto storeLost(MonotonicTime Now) const -> bool;

  /// Returns whether keyed work may be served.
  /// \param Listed the processes that the platform lists as live.
  [[nodiscard]] auto evaluate(MonotonicTime Now, const MemberTable &Members,
                              const std::set<ProcessId> &Listed) const
      -> Freshness;

private:
  FreshnessOptions m_Options;
  std::optional<MonotonicTime> m_ConfirmedAt;
  std::optional<MonotonicTime> m_LastOwnRead;
  std::optional<MonotonicTime> m_LastOwnFailure;
};

} // namespace dotterel

#endif // DOTTEREL_CONFIG_FRESHNESS_H
