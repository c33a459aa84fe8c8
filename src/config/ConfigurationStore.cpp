#include "dotterel/config/ConfigurationStore.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

namespace {

constexpr auto Prefix = "config/";
constexpr auto HeadKey = "config/head";

auto shardKey(std::size_t Shard) -> std::string {
  return fmt::format("config/keys/{:03}", Shard);
}

/// Builds a configuration from a read of all records; returns the initial one
/// if none is stored yet.
auto assembleAll(const RangeResult &Read, StoreRevision &HeadRevision)
    -> std::optional<Configuration> {
  auto Head = std::string();
  auto Shards = std::map<std::size_t, std::string>();
  auto Initial = initialConfiguration();
  for (auto Shard = std::size_t{0}; Shard < ShardCount; ++Shard)
    Shards[Shard] = Initial.m_Keys.document(Shard);
  for (const auto &Item : Read.m_Values) {
    if (Item.m_Key == HeadKey) {
      Head = Item.m_Value;
      HeadRevision = Item.m_Modified;
      continue;
    }
    auto Number = Item.m_Key.substr(Item.m_Key.rfind('/') + 1);
    Shards[std::stoul(Number)] = Item.m_Value;
  }
  if (Head.empty())
    return Initial;
  return assembleConfiguration(Head, Shards, nullptr);
}

/// Returns a transaction without compares that replaces the stored records of
/// \p Before by those of \p After.
auto changeTransaction(const Configuration &Before, const Configuration &After)
    -> StoreTransaction {
  auto Transaction = StoreTransaction();
  Transaction.m_Writes.push_back(
      {.m_Key = HeadKey, .m_Value = encodeHead(After)});
  for (auto Shard = std::size_t{0}; Shard < ShardCount; ++Shard)
    if (After.m_Keys.digest(Shard) != Before.m_Keys.digest(Shard))
      Transaction.m_Writes.push_back(
          {.m_Key = shardKey(Shard), .m_Value = After.m_Keys.document(Shard)});
  return Transaction;
}

/// Returns the revision of a change of the configuration with the revision
/// \p Before. Those of a later history of the store are higher than all that an
/// earlier one may have lost.
auto nextRevision(ConfigRevision Before, StoreEra Era) -> ConfigRevision {
  constexpr auto BitsOfHistory = 32U;
  auto Restores = Era.number() > 0 ? Era.number() - 1 : 0;
  return ConfigRevision{std::max(Before.number(), Restores << BitsOfHistory) +
                        1};
}

auto headRevision(const std::string &Head) -> ConfigRevision {
  try {
    return ConfigRevision{
        nlohmann::json::parse(Head).at("revision").get<std::uint64_t>()};
  } catch (const nlohmann::json::exception &Failure) {
    throw ConfigurationError(201, Failure.what());
  }
}

} // namespace

auto ConfigurationStore::recordOwnRead(MonotonicTime SentAt) -> void {
  if (!m_Recovery.covers(SentAt))
    m_Freshness.recordOwnRead(SentAt);
}

auto ConfigurationStore::refresh(std::function<void(bool)> Done) -> void {
  auto SentAt = m_Scheduler.now();
  m_Store.read(KeyRange::single(HeadKey), [this, SentAt,
                                           Done = std::move(Done)](
                                              const auto &Reply) mutable {
    if (!Reply) {
      m_Freshness.recordOwnFailure(SentAt);
      Done(false);
      return;
    }
    auto Modified = Reply->m_Values.empty()
                        ? StoreRevision()
                        : Reply->m_Values.front().m_Modified;
    // Fast path: nearly every read returns the active head.
    if (Modified == m_HeadModified && m_HeadRevision == m_Holder.revision()) {
      recordOwnRead(SentAt);
      Done(true);
      return;
    }
    auto Head = Reply->m_Values.empty() ? encodeHead(initialConfiguration())
                                        : Reply->m_Values.front().m_Value;
    try {
      applyHead(Head, Modified, SentAt, std::move(Done));
    } catch (const ConfigurationError &Failure) {
      logError("config.unreadable", {{"reason", Failure.what()}});
      Done(false);
    }
  });
}

auto ConfigurationStore::applyHead(const std::string &Head,
                                   StoreRevision Modified, MonotonicTime SentAt,
                                   std::function<void(bool)> Done) -> void {
  auto Stored = headRevision(Head);
  auto Known = m_Holder.current();
  // Either the response is delayed, or the store has been restored from a copy
  // and lacks the known configuration. It confirms nothing.
  if (Known && Stored < Known->m_Revision) {
    storeAgain(std::move(Done));
    return;
  }
  if (Known && Stored == Known->m_Revision) {
    m_HeadModified = Modified;
    m_HeadRevision = Stored;
    recordOwnRead(SentAt);
    Done(true);
    return;
  }
  readAll([this, SentAt, Done = std::move(Done)](const auto &Reply) {
    if (!Reply) {
      m_Freshness.recordOwnFailure(SentAt);
      Done(false);
      return;
    }
    try {
      auto HeadRevision = StoreRevision();
      auto Value = assembleAll(*Reply.m_Response, HeadRevision);
      if (Value && (Value->m_Revision >= m_Holder.revision())) {
        m_Holder.apply(std::move(*Value));
        recordOwnRead(SentAt);
      }
      Done(true);
    } catch (const ConfigurationError &Failure) {
      logError("config.unreadable", {{"reason", Failure.what()}});
      Done(false);
    }
  });
}

auto ConfigurationStore::readAll(
    std::function<void(StoreReply<RangeResult>)> Done) -> void {
  m_Store.read(KeyRange::prefix(Prefix), std::move(Done));
}

auto ConfigurationStore::change(std::function<void(Configuration &)> Edit,
                                const ChangeConditions &Conditions,
                                std::function<void(ChangeResult)> Done)
    -> void {
  readAll([this, Edit = std::move(Edit), Conditions,
           Done = std::move(Done)](const auto &Reply) {
    if (!Reply) {
      Done({.m_Kind = ChangeResult::Kind::StoreDown,
            .m_Reason = "the store cannot be read"});
      return;
    }
    try {
      auto HeadRevision = StoreRevision();
      auto Before = assembleAll(*Reply.m_Response, HeadRevision);
      if (!Before) {
        Done({.m_Kind = ChangeResult::Kind::Conflict,
              .m_Reason = "the configuration changed while it was read"});
        return;
      }
      if (Before->m_Revision < m_Holder.revision()) {
        Done({.m_Kind = ChangeResult::Kind::Conflict,
              .m_Revision = m_Holder.revision(),
              .m_Reason = "the store was restored from an older copy, and the "
                          "configuration in force is being stored again"});
        return;
      }
      auto Expected = Conditions.m_ExpectedRevision;
      if (Expected != ConfigRevision{} && Before->m_Revision != Expected) {
        Done({.m_Kind = ChangeResult::Kind::Conflict,
              .m_Revision = Before->m_Revision,
              .m_Reason = fmt::format("revision {} is in force, with preset {}",
                                      Before->m_Revision.number(),
                                      Before->m_PresetInForce.text())});
        return;
      }
      auto Compares = std::vector<StoreCompare>{
          {.m_Key = HeadKey, .m_Modified = HeadRevision}};
      if (Conditions.m_Guard)
        Compares.push_back(*Conditions.m_Guard);
      commitChange(*Before, std::move(Compares), Edit, Done);
    } catch (const ConfigurationError &Failure) {
      Done(
          {.m_Kind = ChangeResult::Kind::Rejected, .m_Reason = Failure.what()});
    }
  });
}

auto ConfigurationStore::storeAgain(std::function<void(bool)> Done) -> void {
  readAll([this, Done = std::move(Done)](const auto &Reply) {
    if (!Reply) {
      Done(false);
      return;
    }
    try {
      auto HeadRevision = StoreRevision();
      auto Before = assembleAll(*Reply.m_Response, HeadRevision);
      auto Known = m_Holder.current();
      if (!Before || Before->m_Revision >= Known->m_Revision) {
        Done(true);
        return;
      }
      // Has no effect if the read was delayed: the head has changed since.
      auto Transaction = changeTransaction(*Before, *Known);
      Transaction.m_Compares.push_back(
          {.m_Key = HeadKey, .m_Modified = HeadRevision});
      m_Store.commit(
          std::move(Transaction),
          [Known, Stored = Before->m_Revision,
           Done](const StoreReply<TransactionResult> &Written) {
            if (Written && Written->m_Applied)
              logWarning("config.stored-again",
                         {{"revision", Known->m_Revision}, {"before", Stored}});
            Done(static_cast<bool>(Written));
          });
    } catch (const ConfigurationError &Failure) {
      logError("config.unreadable", {{"reason", Failure.what()}});
      Done(false);
    }
  });
}

auto ConfigurationStore::commitChange(
    const Configuration &Before, std::vector<StoreCompare> Compares,
    const std::function<void(Configuration &)> &Edit,
    std::function<void(ChangeResult)> Done) -> void {
  auto After = Before;
  Edit(After);
  After.m_Revision = nextRevision(Before.m_Revision, m_Store.history().era());
  After.validate();
  auto Transaction = changeTransaction(Before, After);
  Transaction.m_Compares = std::move(Compares);
  m_Store.commit(std::move(Transaction), [this, After, Done = std::move(Done)](
                                             const auto &Reply) mutable {
    if (!Reply) {
      auto OutcomeUnknown = Reply.m_Failure == StoreFailure::Unknown;
      Done({.m_Kind = OutcomeUnknown ? ChangeResult::Kind::Unknown
                                     : ChangeResult::Kind::StoreDown,
            .m_Reason = OutcomeUnknown
                            ? "the store's answer was lost; look before "
                              "trying again"
                            : "the store did not take the change"});
      return;
    }
    if (!Reply->m_Applied) {
      Done({.m_Kind = ChangeResult::Kind::Conflict,
            .m_Reason = "another change was accepted first"});
      return;
    }
    auto Revision = After.m_Revision;
    m_Holder.apply(std::move(After));
    Done({.m_Kind = ChangeResult::Kind::Accepted, .m_Revision = Revision});
  });
}

} // namespace dotterel
