//===- TrueTime.h - Calendar time that outlives clock steps -----*- C++ -*-===//
///
/// \file
/// A scheduler whose calendar time does not follow steps of the host's clock.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_TRUETIME_H
#define DOTTEREL_BASE_TRUETIME_H

#include "dotterel/base/Scheduler.h"

#include <deque>
#include <functional>

namespace dotterel {

struct TrueTimeOptions {
  Duration m_SampleInterval = Milliseconds(500);
  /// Samples whose median counts: a step is followed only once it has lasted
  /// for half of them.
  std::size_t m_Samples = 81;
};

/// Calendar time by the monotonic clock and the median of its offsets.
class TrueTime final : public Scheduler {
public:
  TrueTime(Scheduler &Base, const TrueTimeOptions &Options);

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
  TrueTimeOptions m_Options;
  std::deque<Duration> m_Offsets;
  Duration m_Offset{};
  RepeatingTimer m_Timer;
};

} // namespace dotterel

#endif // DOTTEREL_BASE_TRUETIME_H
