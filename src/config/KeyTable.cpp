#include "dotterel/config/KeyTable.h"

#include "dotterel/base/Errors.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <xxhash.h>

namespace dotterel {

namespace {

using Json = nlohmann::json;

constexpr auto MaxNameLength = std::size_t{64};

auto validateRecord(const KeyRecord &Record) -> void {
  if (!isValidConfigurationName(Record.m_Organisation.text()))
    throw ConfigurationError(202, "keys.organisation: a name is 1 to 64 of "
                                  "a-z 0-9 - _");
  if (Record.m_Weight == 0)
    throw ConfigurationError(202, "keys.weight: must be at least 1");
}

} // namespace

auto isValidConfigurationName(const std::string &Text) -> bool {
  auto Allowed = [](char Character) {
    return (Character >= 'a' && Character <= 'z') ||
           (Character >= '0' && Character <= '9') || Character == '-' ||
           Character == '_';
  };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), Allowed);
}

auto digestDocument(const std::string &Document) -> std::uint64_t {
  return XXH3_64bits(Document.data(), Document.size());
}

KeyTable::KeyTable() {
  static const auto Empty = makeShard({});
  m_Shards.fill(Empty);
}

auto KeyTable::shardOf(const std::string &KeyDigest) -> std::size_t {
  return XXH3_64bits(KeyDigest.data(), KeyDigest.size()) % ShardCount;
}

auto KeyTable::makeShard(Records Records) -> std::shared_ptr<const Shard> {
  auto Document = Json::object();
  for (const auto &[Digest, Item] : Records)
    Document[Digest] = {{"organisation", Item.m_Organisation.text()},
                        {"weight", Item.m_Weight}};
  auto Result = std::make_shared<Shard>();
  Result->m_Records = std::move(Records);
  Result->m_Document = Document.dump();
  Result->m_Digest = digestDocument(Result->m_Document);
  return Result;
}

auto KeyTable::find(const std::string &Digest) const -> const KeyRecord * {
  const auto &Records = m_Shards[shardOf(Digest)]->m_Records;
  auto Found = Records.find(Digest);
  return Found == Records.end() ? nullptr : &Found->second;
}

auto KeyTable::put(const KeyRecord &Record) -> void {
  validateRecord(Record);
  auto &Target = m_Shards[shardOf(Record.m_Digest)];
  auto Changed = Target->m_Records;
  Changed[Record.m_Digest] = Record;
  Target = makeShard(std::move(Changed));
}

auto KeyTable::erase(const std::string &Digest) -> bool {
  auto &Target = m_Shards[shardOf(Digest)];
  auto Changed = Target->m_Records;
  if (Changed.erase(Digest) == 0)
    return false;
  Target = makeShard(std::move(Changed));
  return true;
}

auto KeyTable::size() const -> std::size_t {
  auto Count = std::size_t{0};
  for (const auto &Item : m_Shards)
    Count += Item->m_Records.size();
  return Count;
}

auto KeyTable::forEach(
    const std::function<void(const KeyRecord &)> &Visit) const -> void {
  for (const auto &Item : m_Shards)
    for (const auto &[Digest, Record] : Item->m_Records)
      Visit(Record);
}

auto KeyTable::load(std::size_t Shard, const std::string &Document) -> void {
  try {
    auto Loaded = std::make_shared<KeyTable::Shard>();
    // Needs a variable: items() refers to it throughout the loop.
    auto Parsed = Json::parse(Document);
    for (const auto &[Digest, Item] : Parsed.items()) {
      auto Record = KeyRecord{
          .m_Digest = Digest,
          .m_Organisation =
              OrganisationId{Item.at("organisation").get<std::string>()},
          .m_Weight = Item.at("weight").get<std::uint32_t>()};
      validateRecord(Record);
      Loaded->m_Records[Digest] = std::move(Record);
    }
    Loaded->m_Document = Document;
    Loaded->m_Digest = digestDocument(Document);
    m_Shards[Shard] = std::move(Loaded);
  } catch (const Json::exception &Failure) {
    throw ConfigurationError(201, Failure.what());
  }
}

} // namespace dotterel
