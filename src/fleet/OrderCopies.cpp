#include "dotterel/fleet/OrderCopies.h"

#include <algorithm>

namespace dotterel {

auto OrderCopies::recordOutcome(OrderOutcome Outcome, MonotonicTime Now,
                                Duration MaxDelay) -> void {
  --m_Pending;
  if (mayStillArrive(Outcome))
    m_PossibleUntil = std::max(m_PossibleUntil, Now + MaxDelay);
}

} // namespace dotterel
