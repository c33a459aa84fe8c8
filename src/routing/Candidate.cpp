#include "dotterel/routing/Candidate.h"

#include <algorithm>

namespace dotterel {

auto expectedFirstToken(const Candidate &Engine, const Work &Request)
    -> Duration {
  auto Cached = std::min(Engine.m_CachedTokens, Request.m_PrefillTokens);
  auto Prefill = static_cast<double>(Request.m_PrefillTokens - Cached) +
                 Engine.m_QueuedPrefillTokens;
  auto Seconds = Prefill / Engine.m_PrefillTokensPerSecond;
  if (Engine.m_Running >= Engine.m_Slots) {
    // A full batch: a slot frees when one of the running streams ends, after
    // half a stream's length on average, and so many are ahead of us.
    auto Ahead = Engine.m_Running - Engine.m_Slots + 1;
    auto StreamSeconds = static_cast<double>(Request.m_DecodeTokens) /
                         Engine.m_DecodeTokensPerSecond;
    Seconds += StreamSeconds * 0.5 * Ahead / Engine.m_Slots;
  }
  return Engine.m_Distance + Duration(static_cast<std::int64_t>(Seconds * 1e6));
}

} // namespace dotterel
