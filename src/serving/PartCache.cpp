#include "dotterel/serving/PartCache.h"

namespace dotterel {

auto PartCache::touch(const std::vector<PromptPart> &Parts) -> void {
  // From the last part to the first, so that the first parts are evicted last:
  // the others are unusable without them.
  for (auto Part = Parts.rbegin(); Part != Parts.rend(); ++Part) {
    if (auto Found = m_Positions.find(Part->m_Id); Found != m_Positions.end()) {
      m_Order.splice(m_Order.begin(), m_Order, Found->second);
      continue;
    }
    m_Order.push_front(
        {.m_Id = Part->m_Id, .m_Tokens = Part->m_Tokens.number()});
    m_Positions.emplace(Part->m_Id, m_Order.begin());
    m_Tokens += Part->m_Tokens.number();
  }
  while (m_Tokens > m_Capacity && !m_Order.empty()) {
    m_Tokens -= m_Order.back().m_Tokens;
    m_Positions.erase(m_Order.back().m_Id);
    m_Order.pop_back();
  }
}

auto PartCache::match(const PromptShape &Prompt) const -> std::uint64_t {
  auto CachedTokens = std::uint64_t{0};
  for (const auto &Part : Prompt.m_Parts) {
    if (!m_Positions.contains(Part.m_Id))
      break;
    CachedTokens += Part.m_Tokens.number();
  }
  return CachedTokens;
}

} // namespace dotterel
