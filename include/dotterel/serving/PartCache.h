//===- PartCache.h - Which engine holds which prompt part -------*- C++ -*-===//
///
/// \file
/// What this host believes of the engines' prefix caches.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_PARTCACHE_H
#define DOTTEREL_SERVING_PARTCACHE_H

#include "dotterel/base/Ids.h"
#include "dotterel/serving/CallerExchange.h"

#include <list>
#include <string>
#include <unordered_map>

namespace dotterel {

/// Parts that one engine is believed to hold, least recently used out first.
///
/// \invariant The tokens of all parts stay within the capacity.
class PartCache {
public:
  explicit PartCache(TokenCount Capacity) : m_Capacity(Capacity.number()) {}

  /// Notes that the engine has read this prompt.
  auto touch(const std::vector<PromptPart> &Parts) -> void;

  /// Leading tokens of \p Prompt that the engine is believed to hold: a part
  /// counts only behind parts that are held too.
  [[nodiscard]] auto match(const PromptShape &Prompt) const -> std::uint64_t;

private:
  struct Part {
    std::string m_Id;
    std::uint64_t m_Tokens;
  };

  std::uint64_t m_Capacity;
  std::uint64_t m_Tokens = 0;
  std::list<Part> m_Order; ///< Newest use first.
  std::unordered_map<std::string, std::list<Part>::iterator> m_Positions;
};

/// The caches of all engines.
class PartCaches {
public:
  /// \p Capacity bounds what is believed of an engine not seen before.
  auto touch(const BackendId &Engine, TokenCount Capacity,
             const std::vector<PromptPart> &Parts) -> void {
    m_Caches.try_emplace(Engine, Capacity).first->second.touch(Parts);
  }
  [[nodiscard]] auto match(const BackendId &Engine,
                           const PromptShape &Prompt) const -> std::uint64_t {
    auto Found = m_Caches.find(Engine);
    return Found == m_Caches.end() ? 0 : Found->second.match(Prompt);
  }
  auto forget(const BackendId &Engine) -> void { m_Caches.erase(Engine); }

private:
  std::unordered_map<BackendId, PartCache> m_Caches;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_PARTCACHE_H
