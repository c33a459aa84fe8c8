//===- StepFilteredClock.h - Calendar time without steps --------*- C++ -*-===//
///
/// \file
/// A scheduler whose calendar time ignores short-lived steps of the host's
/// clock.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_STEPFILTEREDCLOCK_H
#define DOTTEREL_BASE_STEPFILTEREDCLOCK_H

#include "dotterel/base/Scheduler.h"

#include <deque>
#include <functional>

namespace dotterel {

struct StepFilteredClockOptions {
  Duration m_SampleInterval = Milliseconds(500);
  /// Number of the latest offset samples whose median is used: a step of the
  /// clock takes effect only after it has lasted for half of the samples.
  std::size_t m_SampleCount = 81;
};

/// Computes calendar time as monotonic time plus the median of the sampled
/// offsets between the calendar clock and the monotonic clock.
class StepFilteredClock final : public Scheduler {
public:
  StepFilteredClock(Scheduler &Base, const StepFilteredClockOptions &Options);

  [[nodiscard]] auto now() const -> MonotonicTime override {
    return m_Base.now();
  }
  [[nodiscard]] auto wallNow() const -> WallTime override;
  auto schedule(Duration Delay, std::function<void()> Callback)
      -> TimerId override {
    return m_Base.schedule(Delay, std::move(Callback));
  }
  auto cancel(TimerId Timer) -> void override { m_Base.cancel(Timer); }

private:
  auto sample() -> void;

  Scheduler &m_Base;
  StepFilteredClockOptions m_Options;
  std::deque<Duration> m_Offsets;
  Duration m_Offset{};
  RepeatingTimer m_Timer;
};

} // namespace dotterel

#endif // DOTTEREL_BASE_STEPFILTEREDCLOCK_H
