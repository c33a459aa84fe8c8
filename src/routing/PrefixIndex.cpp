#include "dotterel/routing/PrefixIndex.h"

#include <xxhash.h>

namespace dotterel {

namespace {

/// Average number of bytes per token of ordinary text.
constexpr auto BytesPerToken = std::size_t{4};

} // namespace

auto estimateTokens(const std::string &Text) -> std::uint64_t {
  return (Text.size() + BytesPerToken - 1) / BytesPerToken;
}

auto prefixBlockDigests(const std::string &Prompt)
    -> std::vector<std::uint64_t> {
  constexpr auto BlockBytes = TokensPerPrefixBlock * BytesPerToken;
  auto Digests = std::vector<std::uint64_t>();
  auto Chained = std::uint64_t{0};
  for (auto End = BlockBytes; End <= Prompt.size(); End += BlockBytes) {
    // Chained, so that a block matches only after the same preceding blocks.
    Chained = XXH3_64bits_withSeed(Prompt.data() + End - BlockBytes, BlockBytes,
                                   Chained);
    Digests.push_back(Chained);
  }
  return Digests;
}

auto PrefixIndex::touch(const std::vector<std::uint64_t> &Digests) -> void {
  for (auto Digest : Digests) {
    auto Found = m_Positions.find(Digest);
    if (Found != m_Positions.end())
      m_Order.erase(Found->second);
    m_Order.push_front(Digest);
    m_Positions[Digest] = m_Order.begin();
  }
  while (m_Order.size() > m_Capacity) {
    m_Positions.erase(m_Order.back());
    m_Order.pop_back();
  }
}

auto PrefixIndex::match(const std::vector<std::uint64_t> &Digests) const
    -> std::size_t {
  auto Count = std::size_t{0};
  while (Count < Digests.size() && m_Positions.contains(Digests[Count]))
    ++Count;
  return Count;
}

auto PrefixIndex::clear() -> void {
  m_Order.clear();
  m_Positions.clear();
}

} // namespace dotterel
