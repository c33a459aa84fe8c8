#include "dotterel/routing/Candidate.h"

#include <algorithm>

namespace dotterel {

auto expectedTimeToFirstToken(const Candidate &Engine, const Work &Request)
    -> Duration {
  auto Cached = std::min(Engine.m_CachedTokens, Request.m_PrefillTokens);
  auto Prefill = static_cast<double>(Request.m_PrefillTokens - Cached) +
                 Engine.m_QueuedPrefillTokens;
  auto Seconds = Prefill / Engine.m_PrefillTokensPerSecond;
  if (Engine.m_Running >= Engine.m_Slots) {
    // The batch is full: a running stream ends after half a stream's duration
    // on average, and as many streams as are ahead of the request must end
    // before it gets a slot.
    auto Ahead = Engine.m_Running - Engine.m_Slots + 1;
    auto StreamSeconds = static_cast<double>(Request.m_DecodeTokens) /
                         Engine.m_DecodeTokensPerSecond;
    Seconds += StreamSeconds * 0.5 * Ahead / Engine.m_Slots;
  }
  return Engine.m_RoundTripTime +
         Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

} // namespace dotterel
