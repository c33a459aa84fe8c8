//===- PartCache.h - Prompt parts cached by engines -------------*- C++ -*-===//
///
/// \file
/// This host's model of the engines' prefix caches.
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

/// Model of the parts that one engine has cached, with least-recently-used
/// eviction.
///
/// \invariant The sum of the tokens of all parts does not exceed the capacity.
class PartCache {
public:
  explicit PartCache(TokenCount Capacity) : m_Capacity(Capacity.number()) {}

  /// Records that the engine has prefilled a prompt with these parts.
  auto touch(const std::vector<PromptPart> &Parts) -> void;

  /// Returns the number of leading tokens of \p Prompt that the engine is
  /// expected to have cached. A part counts only if all parts before it are
  /// cached too.
  [[nodiscard]] auto match(const PromptShape &Prompt) const -> std::uint64_t;

private:
  struct Part {
    std::string m_Id;
    std::uint64_t m_Tokens;
  };

  std::uint64_t m_Capacity;
  std::uint64_t m_Tokens = 0;
  std::list<Part> m_Order; ///< Most recently used first.
  std::unordered_map<std::string, std::list<Part>::iterator> m_Positions;
};

/// Models of the prefix caches of all engines.
class PartCaches {
public:
  /// Records that \p Engine has prefilled a prompt with these parts. \p
  /// Capacity is the cache capacity of an engine that is not known yet.
  auto touch(const BackendId &Engine, TokenCount Capacity,
             const std::vector<PromptPart> &Parts) -> void {
    m_Caches.try_emplace(Engine, Capacity).first->second.touch(Parts);
  }
  [[nodiscard]] auto match(const BackendId &Engine,
                           const PromptShape &Prompt) const -> std::uint64_t {
    auto Found = m_Caches.find(Engine);
    return Found == m_Caches.end() ? 0 : Found->second.match(Prompt);
  }
  auto remove(const BackendId &Engine) -> void { m_Caches.erase(Engine); }

private:
  std::unordered_map<BackendId, PartCache> m_Caches;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_PARTCACHE_H
