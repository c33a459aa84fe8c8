//===- PrefixIndex.h - Which engine caches which prefix ---------*- C++ -*-===//
///
/// \file
/// Remembers which prompt pieces were sent to an engine of late.
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

/// Tokens in one piece of an engine's prefix cache.
inline constexpr auto PieceTokens = std::size_t{1000};

/// Digests of a prompt's prefixes, one for each whole piece. Equal prefixes
/// have equal digests. Complexity: linear in the prompt.
auto pieceDigests(const std::string &Prompt) -> std::vector<std::uint64_t>;

/// Tokens that a text is taken for when no engine has counted it.
auto estimateTokens(const std::string &Text) -> std::uint64_t;

/// The pieces that one engine is believed to hold, oldest use first out.
///
/// \invariant At most m_Capacity pieces.
class PrefixIndex {
public:
  explicit PrefixIndex(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// Notes that the engine has just processed these pieces.
  auto touch(const std::vector<std::uint64_t> &Digests) -> void;

  /// Leading pieces that the engine is believed to hold. Complexity: linear in
  /// the number of pieces.
  [[nodiscard]] auto match(const std::vector<std::uint64_t> &Digests) const
      -> std::size_t;

  /// Forgets everything, as after an engine's restart.
  auto clear() -> void;

private:
  std::size_t m_Capacity;
  std::list<std::uint64_t> m_Order; ///< Newest use first.
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
      m_Positions;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_PREFIXINDEX_H
