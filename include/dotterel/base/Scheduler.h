//===- Scheduler.h - Clock and timers ---------------------------*- C++ -*-===//
///
/// \file
/// The only source of time for decision logic, so that tests can run it in
/// virtual time.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_SCHEDULER_H
#define DOTTEREL_BASE_SCHEDULER_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <functional>

namespace dotterel {

using TimerId = NumberId<struct TimerTag>;

/// Clock and one-shot timers.
class Scheduler {
public:
  virtual ~Scheduler() = default;

  /// Monotonic time, read anew at each call.
  [[nodiscard]] virtual auto now() const -> MonotonicTime = 0;

  /// Calendar time; it may step.
  [[nodiscard]] virtual auto wallNow() const -> WallTime = 0;

  /// Calls \p Callback once, not before \p Delay has passed.
  virtual auto schedule(Duration Delay, std::function<void()> Callback)
      -> TimerId = 0;

  /// Forgets a timer; does nothing when it has already fired.
  virtual auto cancel(TimerId Timer) -> void = 0;
};

/// A timer that repeats until it is destroyed.
class RepeatingTimer {
public:
  /// Calls \p Callback every \p Period, first after one period.
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
