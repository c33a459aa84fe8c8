//===- Freshness.h - Whether keyed work may be served -----------*- C++ -*-===//
///
/// \file
/// Judges whether the configuration in memory is recent enough to trust a key
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
  /// Evidence older than this does not support keyed work.
  Duration m_Bound = Seconds(4);
};

enum class Freshness : std::uint8_t {
  Fresh,
  /// No evidence, but every listed process has lost the store as well, so that
  /// no change can have been accepted.
  StoreLostByAll,
  Stale,
};

/// Evidence of when the store was last read, by anyone.
///
/// \invariant m_Evidence never runs ahead of a real read: ages are counted
/// from before a request was sent.
class FreshnessTracker {
public:
  explicit FreshnessTracker(const FreshnessOptions &Options)
      : m_Options(Options) {}

  /// An own read, whose request left at \p SentAt, was answered.
  auto recordOwnRead(MonotonicTime SentAt) -> void;

  /// An own read, whose request left at \p SentAt, got no answer.
  auto recordOwnFailure(MonotonicTime SentAt) -> void;

  /// A peer reported evidence of age \p Age in an exchange that we began at
  /// \p SentAt, and whose configuration we hold.
  auto recordRelayed(MonotonicTime SentAt, Duration Age) -> void;

  /// Age of the newest evidence; Duration::max() when there is none.
  [[nodiscard]] auto age(MonotonicTime Now) const -> Duration;

  /// Whether the newest own read failed, and was tried within the bound.
  [[nodiscard]] auto storeLost(MonotonicTime Now) const -> bool;

  /// \param Listed the processes that the platform lists as live.
  [[nodiscard]] auto judge(MonotonicTime Now, const MemberTable &Members,
                           const std::set<ProcessId> &Listed) const
      -> Freshness;

private:
  FreshnessOptions m_Options;
  std::optional<MonotonicTime> m_Evidence;
  std::optional<MonotonicTime> m_OwnRead;
  std::optional<MonotonicTime> m_OwnFailure;
};

} // namespace dotterel

#endif // DOTTEREL_CONFIG_FRESHNESS_H
