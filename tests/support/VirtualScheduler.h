//===- VirtualScheduler.h - Virtual time for tests --------------*- C++ -*-===//
///
/// \file
/// A scheduler for tests, whose time advances only when the test advances it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_VIRTUALSCHEDULER_H
#define DOTTEREL_TESTS_SUPPORT_VIRTUALSCHEDULER_H

#include "dotterel/base/Scheduler.h"

#include <map>
#include <utility>

namespace dotterel::test {

/// Runs timers in order of their due time; timers with the same due time run in
/// the order in which they were scheduled.
class VirtualScheduler final : public Scheduler {
public:
  [[nodiscard]] auto now() const -> MonotonicTime override { return m_Now; }

  [[nodiscard]] auto wallNow() const -> WallTime override {
    return WallTime(Seconds(1'800'000'000)) + m_Now.time_since_epoch() +
           m_WallStep;
  }

  auto schedule(Duration Delay, std::function<void()> Callback)
      -> TimerId override {
    auto Id = TimerId{++m_LastId};
    m_Timers.emplace(std::pair(m_Now + std::max(Delay, Duration::zero()), Id),
                     std::move(Callback));
    return Id;
  }

  auto cancel(TimerId Timer) -> void override {
    std::erase_if(m_Timers, [Timer](const auto &Item) {
      return Item.first.second == Timer;
    });
  }

  /// Advances the time by \p Span and runs the timers that become due.
  auto advance(Duration Span) -> void {
    auto End = m_Now + Span;
    while (!m_Timers.empty() && m_Timers.begin()->first.first <= End) {
      auto Item = m_Timers.extract(m_Timers.begin());
      m_Now = std::max(m_Now, Item.key().first);
      Item.mapped()();
    }
    m_Now = End;
  }

  /// Advances the time without running timers, as in a suspended process.
  auto pause(Duration Span) -> void { m_Now += Span; }

  /// Steps the calendar time by \p Step.
  auto stepWall(Duration Step) -> void { m_WallStep += Step; }

private:
  MonotonicTime m_Now{Seconds(1000)};
  Duration m_WallStep = Duration::zero();
  std::map<std::pair<MonotonicTime, TimerId>, std::function<void()>> m_Timers;
  std::uint64_t m_LastId = 0;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_VIRTUALSCHEDULER_H
