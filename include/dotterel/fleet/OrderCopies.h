//===- OrderCopies.h - Copies of an order in flight -------------*- C++ -*-===//
///
/// \file
/// Decides when a different order about a subject may follow, if the target
/// does not check fencing tokens.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_ORDERCOPIES_H
#define DOTTEREL_FLEET_ORDERCOPIES_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/fleet/Order.h"

#include <cstdint>
#include <optional>

namespace dotterel {

/// Returns whether a different order may replace one. \p Complete states that
/// no copy of the earlier order can be executed any more.
constexpr auto mayReplaceOrder(bool Complete, bool ChecksFencing) -> bool {
  return Complete || ChecksFencing;
}

/// Copies of orders about one subject that one sender has sent and that may
/// still be executed.
class OrderCopies {
public:
  auto recordSent() -> void { ++m_Pending; }

  /// Records the outcome of one copy, which is executed at most \p MaxDelay
  /// after \p Now.
  auto recordOutcome(OrderOutcome Outcome, MonotonicTime Now, Duration MaxDelay)
      -> void;

  /// Returns whether no copy can be executed any more.
  [[nodiscard]] auto isComplete(MonotonicTime Now) const -> bool {
    return m_Pending == 0 && Now >= m_PossibleUntil;
  }

  /// Returns until when a copy may be executed, at most; empty if none can be.
  /// A call without an outcome is taken to end at \p Now.
  [[nodiscard]] auto openUntil(MonotonicTime Now, Duration MaxDelay) const
      -> std::optional<MonotonicTime>;

private:
  std::uint32_t m_Pending = 0; ///< Copies without an outcome.
  MonotonicTime m_PossibleUntil;
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_ORDERCOPIES_H
