//===- PrefixIndex.h - Prompt prefixes cached by an engine ------*- C++ -*-===//
///
/// \file
/// Tracks the prompt blocks that were recently sent to an engine.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_PREFIXINDEX_H
#define DOTTEREL_ROUTING_PREFIXINDEX_H

#include "dotterel/base/Units.h"

#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace dotterel {

/// Number of tokens in one block of an engine's prefix cache.
inline constexpr auto TokensPerPrefixBlock = std::size_t{1000};

/// Returns the digests of a prompt's prefixes, one for each complete block.
/// Equal prefixes have equal digests. Complexity: linear in the prompt's
/// length.
auto prefixBlockDigests(const std::string &Prompt)
    -> std::vector<std::uint64_t>;

/// Returns an estimate of the number of tokens in \p Text, for when no engine
/// has counted them.
auto estimateTokens(const std::string &Text) -> std::uint64_t;

/// Blocks that one engine is assumed to cache; the least recently used one is
/// evicted first.
///
/// \invariant Contains at most m_Capacity blocks.
class PrefixIndex {
public:
  explicit PrefixIndex(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// Marks these blocks as just processed by the engine.
  auto touch(const std::vector<std::uint64_t> &Digests) -> void;

  /// Returns the number of leading blocks that the engine is assumed to cache.
  /// Complexity: linear in the number of blocks.
  [[nodiscard]] auto match(const std::vector<std::uint64_t> &Digests) const
      -> std::size_t;

  /// Removes all blocks, as after an engine's restart.
  auto clear() -> void;

private:
  std::size_t m_Capacity;
  std::list<std::uint64_t> m_Order; ///< Most recently used first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_Positions;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_PREFIXINDEX_H
