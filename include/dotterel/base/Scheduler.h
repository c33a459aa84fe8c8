//===- Scheduler.h - Clock and timers ---------------------------*- C++ -*-===//
///
/// \file
/// The only source of time for decision logic, so that tests can run the logic
/// in virtual time.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_SCHEDULER_H
#define DOTTEREL_BASE_SCHEDULER_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <functional>

namespace dotterel {

using TimerId = NumberId<struct TimerTag>;

/// Provides the time and one-shot timers.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  /// Returns the monotonic time; each call reads the clock.
  [[nodiscard]] virtual auto now() const -> MonotonicTime = 0;

  /// Returns the calendar time; it may jump when the host's clock is set.
  [[nodiscard]] virtual auto wallNow() const -> WallTime = 0;

  /// Calls \p Callback once, at the earliest after \p Delay.
  /// \returns the identifier with which the timer can be cancelled.
  virtual auto schedule(Duration Delay, std::function<void()> Callback)
      -> TimerId = 0;

  /// Cancels a timer; has no effect if the timer has already fired.
  virtual auto cancel(TimerId Timer) -> void = 0;
};

/// Calls a function periodically until it is destroyed.
class RepeatingTimer {
public:
  /// Calls \p Callback every \p Period; the first call follows after one
  /// period.
  RepeatingTimer(Scheduler &Scheduler, Duration Period,
                 std::function<void()> Callback);
  RepeatingTimer(const RepeatingTimer &) = delete;
  auto operator=(const RepeatingTimer &) -> RepeatingTimer & = delete;
  ~RepeatingTimer();

private:
  auto arm() -> void;

  Scheduler &m_Scheduler;
  Duration m_Period;
  std::function<void()> m_Callback;
  TimerId m_Timer;
};

} // namespace dotterel

#endif // DOTTEREL_BASE_SCHEDULER_H
