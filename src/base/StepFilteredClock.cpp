#include "dotterel/base/StepFilteredClock.h"

#include <algorithm>
#include <vector>

namespace dotterel {

StepFilteredClock::StepFilteredClock(Scheduler &Base,
                                     const StepFilteredClockOptions &Options)
    : m_Base(Base), m_Options(Options),
      m_Timer(Base, Options.m_SampleInterval, [this] { sample(); }) {
  sample();
}

auto StepFilteredClock::wallNow() const -> WallTime {
  return WallTime(m_Base.now().time_since_epoch() + m_Offset);
}

auto StepFilteredClock::sample() -> void {
  m_Offsets.push_back(m_Base.wallNow().time_since_epoch() -
                      m_Base.now().time_since_epoch());
  if (m_Offsets.size() > m_Options.m_SampleCount)
    m_Offsets.pop_front();
  auto Sorted = std::vector<Duration>(m_Offsets.begin(), m_Offsets.end());
  auto Middle = Sorted.begin() + static_cast<std::ptrdiff_t>(Sorted.size() / 2);
  std::nth_element(Sorted.begin(), Middle, Sorted.end());
  m_Offset = *Middle;
}

} // namespace dotterel
