#include "dotterel/base/Scheduler.h"

#include <utility>

namespace dotterel {

RepeatingTimer::RepeatingTimer(Scheduler &Scheduler, Duration Period,
                               std::function<void()> Callback)
    : m_Scheduler(Scheduler), m_Period(Period),
      m_Callback(std::move(Callback)) {
  arm();
}

RepeatingTimer::~RepeatingTimer() { m_Scheduler.cancel(m_Timer); }

auto RepeatingTimer::arm() -> void {
  m_Timer = m_Scheduler.schedule(m_Period, [this] {
    // Schedules the next call first, since the callback may destroy this timer.
    arm();
    m_Callback();
  });
}

} // namespace dotterel
