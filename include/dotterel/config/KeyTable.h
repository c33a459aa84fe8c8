//===- KeyTable.h - Granted keys in shards ----------------------*- C++ -*-===//
///
/// \file
/// The granted keys, spread over shards that revisions share: a change of one
/// key copies, stores and parses one shard.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CONFIG_KEYTABLE_H
#define DOTTEREL_CONFIG_KEYTABLE_H

#include "dotterel/base/Ids.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace dotterel {

/// Keys are spread over this many store values: 41,000 do not fit one, and a
/// change of one key moves one of them to every process.
inline constexpr auto ShardCount = std::size_t{256};

/// A granted key, by digest; the key itself is never stored.
struct KeyRecord {
  std::string m_Digest; ///< Hexadecimal.
  OrganisationId m_Organisation;
  std::uint32_t m_Weight = 1; ///< Of the organisation in fair queueing.
};

/// Granted keys.
///
/// \invariant Each shard's document and digest are those of its keys.
class KeyTable {
public:
  KeyTable();

  /// The record with this key digest; null when the key is not granted.
  /// Complexity: logarithmic.
  [[nodiscard]] auto find(const std::string &Digest) const -> const KeyRecord *;

  /// Complexity: linear in the shard.
  auto put(const KeyRecord &Record) -> void;

  /// \returns whether the key was granted. Complexity: linear in the shard.
  auto erase(const std::string &Digest) -> bool;

  [[nodiscard]] auto size() const -> std::size_t;
  auto forEach(const std::function<void(const KeyRecord &)> &Visit) const
      -> void;

  [[nodiscard]] auto document(std::size_t Shard) const -> const std::string & {
    return m_Shards[Shard]->m_Document;
  }
  [[nodiscard]] auto digest(std::size_t Shard) const -> std::uint64_t {
    return m_Shards[Shard]->m_Digest;
  }

  /// Replaces a shard by its stored document.
  /// \throws ConfigurationError 201 for a malformed document, 202 for a record
  /// that is not acceptable.
  auto load(std::size_t Shard, const std::string &Document) -> void;

  /// Shares a shard of another table. Complexity: constant.
  auto share(std::size_t Shard, const KeyTable &Other) -> void {
    m_Shards[Shard] = Other.m_Shards[Shard];
  }

  /// The shard that holds keys with this digest.
  static auto shardOf(const std::string &KeyDigest) -> std::size_t;

private:
  using Records = std::map<std::string, KeyRecord>;
  struct Shard {
    Records m_Records;
    std::string m_Document;
    std::uint64_t m_Digest = 0;
  };

  static auto makeShard(Records Records) -> std::shared_ptr<const Shard>;

  std::array<std::shared_ptr<const Shard>, ShardCount> m_Shards;
};

/// Digest by which processes compare documents.
auto digestDocument(const std::string &Document) -> std::uint64_t;

/// Whether \p Text is 1 to 64 of `a-z 0-9 - _`, as every name must be.
auto isConfigurationName(const std::string &Text) -> bool;

} // namespace dotterel

#endif // DOTTEREL_CONFIG_KEYTABLE_H
