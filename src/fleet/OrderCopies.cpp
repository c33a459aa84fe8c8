#include "dotterel/fleet/OrderCopies.h"

#include <algorithm>

namespace dotterel {

auto OrderCopies::recordOutcome(OrderOutcome Outcome, MonotonicTime Now,
                                Duration MaxDelay) -> void {
  --m_Pending;
  if (mayStillArrive(Outcome))
    m_PossibleUntil = std::max(m_PossibleUntil, Now + MaxDelay);
}

auto OrderCopies::openUntil(MonotonicTime Now, Duration MaxDelay) const
    -> std::optional<MonotonicTime> {
  if (isComplete(Now))
    return std::nullopt;
  return m_Pending == 0 ? m_PossibleUntil
                        : std::max(m_PossibleUntil, Now + MaxDelay);
}

} // namespace dotterel
