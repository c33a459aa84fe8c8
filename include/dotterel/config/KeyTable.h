//===- KeyTable.h - Granted keys in shards ----------------------*- C++ -*-===//
///
/// \file
/// The granted keys in shards that are shared between revisions: a change of
/// one key copies, stores and parses one shard.
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

/// Number of store values that the keys are spread over: 41,000 keys do not fit
/// into one value, and a change of one key sends one shard to every process.
inline constexpr auto ShardCount = std::size_t{256};

/// A granted key, identified by its digest; the key itself is never stored.
struct KeyRecord {
  std::string m_Digest; ///< Hexadecimal.
  OrganisationId m_Organisation;
  std::uint32_t m_Weight = 1; ///< Weight of the organisation in fair queueing.
};

/// The table of granted keys.
///
/// \invariant The document and the digest of each shard match its keys.
class KeyTable {
public:
  KeyTable();

  /// Returns the record with this key digest; null if the key is not granted.
  /// Complexity: logarithmic.
  [[nodiscard]] auto find(const std::string &Digest) const -> const KeyRecord *;

  /// Adds or replaces a record. Complexity: linear in the shard.
  /// \throws ConfigurationError 202 for an invalid record.
  auto put(const KeyRecord &Record) -> void;

  /// Removes a key. Complexity: linear in the shard.
  /// \returns whether the key was granted.
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
  /// \throws ConfigurationError 201 for a malformed document, 202 for an
  /// invalid record.
  auto load(std::size_t Shard, const std::string &Document) -> void;

  /// Replaces a shard by that of \p Other without copying it. Complexity:
  /// constant.
  auto share(std::size_t Shard, const KeyTable &Other) -> void {
    m_Shards[Shard] = Other.m_Shards[Shard];
  }

  /// Returns the index of the shard that holds the key with this digest.
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

/// Returns the digest by which processes compare documents.
auto digestDocument(const std::string &Document) -> std::uint64_t;

/// Returns whether \p Text consists of 1 to 64 of the characters `a-z 0-9 - _`,
/// as every name must.
auto isValidConfigurationName(const std::string &Text) -> bool;

} // namespace dotterel

#endif // DOTTEREL_CONFIG_KEYTABLE_H
