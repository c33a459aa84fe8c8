#include "dotterel/store/RecoveryPeriod.h"

#include <utility>

namespace dotterel {

RecoveryPeriod::RecoveryPeriod(Scheduler &Scheduler, StoreHistory &History,
                               Duration Length)
    : m_Scheduler(Scheduler), m_History(History), m_Length(Length) {
  History.onRestored([this, Alive = m_Alive] {
    if (*Alive)
      m_Until = m_Scheduler.now() + m_Length;
  });
}

auto RecoveryPeriod::covers(MonotonicTime SentAt) -> bool {
  if (!std::exchange(m_Started, true) && m_History.restored())
    m_Until = m_Scheduler.now() + m_Length;
  return m_Until && SentAt < *m_Until;
}

} // namespace dotterel
