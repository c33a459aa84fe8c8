#include "dotterel/ledger/ClaimShard.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/ledger/IdempotencyKey.h"

#include <algorithm>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

namespace {

using Json = nlohmann::json;

/// Maximum number of expired segments deleted by one append.
constexpr auto DeletionsPerAppend = std::size_t{4};

/// A document in the store: a sealed segment, or the head with the open
/// segment.
struct Document {
  std::uint64_t m_Sequence = 0; ///< Number of the open segment.
  WallTime m_Horizon;           ///< Claims issued before it are discarded.
  /// History of the store that it was written in; empty in earlier versions.
  std::optional<StoreEra> m_Era;
  std::string m_Entries;
};

auto encode(const Document &Value) -> std::string {
  auto Target =
      Json{{"sequence", Value.m_Sequence},
           {"horizon_ms", toMilliseconds(Value.m_Horizon.time_since_epoch())},
           {"entries",
            Json::binary({Value.m_Entries.begin(), Value.m_Entries.end()})}};
  if (Value.m_Era)
    Target["store_era"] = Value.m_Era->number();
  auto Bytes = Json::to_cbor(Target);
  return {Bytes.begin(), Bytes.end()};
}

auto decode(const std::string &Text) -> Document {
  try {
    auto Source = Json::from_cbor(Text);
    const auto &Bytes = Source.at("entries").get_binary();
    auto Era = Source.find("store_era");
    return {.m_Sequence = Source.at("sequence").get<std::uint64_t>(),
            .m_Horizon = WallTime(
                Milliseconds(Source.at("horizon_ms").get<std::int64_t>())),
            .m_Era = Era == Source.end()
                         ? std::nullopt
                         : std::optional(StoreEra{Era->get<std::uint64_t>()}),
            .m_Entries = std::string(Bytes.begin(), Bytes.end())};
  } catch (const Json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

auto newestIssuedAt(const std::vector<ClaimEntry> &Entries) -> WallTime {
  auto Newest = WallTime();
  for (const auto &Entry : Entries)
    if (const auto *Request = std::get_if<Claim>(&Entry))
      Newest = std::max(Newest, Request->m_IssuedAt);
  return Newest;
}

auto identityOf(const ClaimEntry &Entry) -> const RequestIdentity & {
  if (const auto *Request = std::get_if<Claim>(&Entry))
    return Request->m_Identity;
  return std::get<ClaimOutcome>(Entry).m_Identity;
}

} // namespace

ClaimShard::ClaimShard(Scheduler &Scheduler, KeyValueStore &Store,
                       std::string Name, const ClaimShardOptions &Options)
    : m_Scheduler(Scheduler), m_Store(Store),
      m_Prefix(fmt::format("claims/{}/", std::move(Name))), m_Options(Options) {
  m_Store.history().onRestored([this, Alive = m_Alive] {
    if (!*Alive)
      return;
    m_Loaded = false;
    m_RestoredAt = m_Scheduler.wallNow();
  });
}

ClaimShard::~ClaimShard() {
  *m_Alive = false;
  if (m_RetryTimer)
    m_Scheduler.cancel(*m_RetryTimer);
}

auto ClaimShard::claim(const Claim &Request,
                       std::function<void(ClaimReply)> Done) -> void {
  m_Pending.push_back(
      {.m_Entry = Request,
       .m_Deadline = m_Scheduler.now() + m_Options.m_ClaimTimeout,
       .m_OnClaim = std::move(Done)});
  pump();
}

auto ClaimShard::record(const ClaimOutcome &Outcome,
                        std::function<void(bool)> Done) -> void {
  m_Pending.push_back(
      {.m_Entry = Outcome,
       .m_Deadline = m_Scheduler.now() + m_Options.m_OutcomeTimeout,
       .m_OnOutcome = std::move(Done)});
  pump();
}

auto ClaimShard::pump() -> void {
  if (m_StoreCallPending || m_RetryTimer)
    return;
  removeExpired();
  if (m_Pending.empty())
    return;
  if (!m_Loaded) {
    m_StoreCallPending = true;
    load();
    return;
  }
  if (m_Scheduler.now() < m_NextAppend) {
    pumpAfter(m_NextAppend - m_Scheduler.now());
    return;
  }
  m_StoreCallPending = true;
  append();
}

auto ClaimShard::load() -> void {
  m_Store.read(KeyRange::prefix(m_Prefix),
               [this, Alive = m_Alive](const auto &Reply) {
                 if (!*Alive)
                   return;
                 m_StoreCallPending = false;
                 if (!Reply) {
                   pumpAfter(m_Options.m_RetryDelay);
                   return;
                 }
                 try {
                   replay(*Reply.m_Response);
                   m_Loaded = true;
                   pump();
                 } catch (const ProtocolError &Failure) {
                   logError("claims.unreadable",
                            {{"shard", m_Prefix}, {"reason", Failure.what()}});
                   pumpAfter(m_Options.m_RetryDelay);
                 }
               });
}

auto ClaimShard::replay(const RangeResult &Read) -> void {
  auto HeadKey = m_Prefix + "head";
  auto Head = Document();
  m_HeadRevision = StoreRevision{};
  m_OpenEntries.clear();
  m_SealedSegments.clear();
  // Applies the whole log again, which requires no assumption about the effect
  // of an earlier write without a response.
  m_Log = ClaimLog();
  // Keys are sorted and segment numbers are zero-padded, so this is log order.
  for (const auto &Item : Read.m_Values) {
    if (Item.m_Key == HeadKey) {
      Head = decode(Item.m_Value);
      m_HeadRevision = Item.m_Modified;
      continue;
    }
    auto Entries = decodeEntries(decode(Item.m_Value).m_Entries);
    m_SealedSegments.push_back(
        {.m_Key = Item.m_Key, .m_NewestIssuedAt = newestIssuedAt(Entries)});
    for (const auto &Entry : Entries)
      m_Log.apply(Entry);
  }
  m_Sequence = Head.m_Sequence;
  if (!Head.m_Entries.empty())
    m_OpenEntries = decodeEntries(Head.m_Entries);
  for (const auto &Entry : m_OpenEntries)
    m_Log.apply(Entry);
  m_Log.discardBefore(Head.m_Horizon);
  const auto &History = m_Store.history();
  m_LostClaims = Head.m_Era ? *Head.m_Era != History.era() : History.restored();
}

auto ClaimShard::completeDecided() -> void {
  auto Requests = std::exchange(m_Pending, {});
  for (auto &Item : Requests) {
    if (Item.m_OnClaim) {
      if (auto Reply = m_Log.replyFor(std::get<Claim>(Item.m_Entry)))
        Item.m_OnClaim(std::move(*Reply));
      else
        m_Pending.push_back(std::move(Item));
      continue;
    }
    if (m_Log.acceptsOutcome(std::get<ClaimOutcome>(Item.m_Entry)))
      m_Pending.push_back(std::move(Item));
    else
      Item.m_OnOutcome(true);
  }
}

auto ClaimShard::append() -> void {
  completeDecided();
  auto Batch = std::vector<ClaimEntry>();
  auto Present = std::vector<RequestIdentity>();
  for (const auto &Item : m_Pending) {
    if (Batch.size() >= m_Options.m_MaxBatchEntries)
      break;
    // One entry per identity and batch, so that each entry is checked against
    // all entries before it.
    const auto &Identity = identityOf(Item.m_Entry);
    if (std::find(Present.begin(), Present.end(), Identity) != Present.end())
      continue;
    Present.push_back(Identity);
    Batch.push_back(Item.m_Entry);
  }
  if (Batch.empty()) {
    m_StoreCallPending = false;
    return;
  }
  auto Entries = m_OpenEntries;
  Entries.insert(Entries.end(), Batch.begin(), Batch.end());
  auto Horizon = nextHorizon();
  m_NextAppend = m_Scheduler.now() + m_Options.m_MinAppendInterval;
  m_Store.commit(transactionFor(Entries, Horizon),
                 [this, Alive = m_Alive, Batch, Horizon](const auto &Reply) {
                   if (*Alive)
                     appended(Reply, Batch, Horizon);
                 });
}

auto ClaimShard::nextHorizon() const -> WallTime {
  // Claims that were granted since the copy are lost, with any time of issue up
  // to the largest that was acceptable when the store was restored.
  if (m_LostClaims)
    return std::max(m_Log.horizon(),
                    m_RestoredAt.value_or(m_Scheduler.wallNow()) +
                        IdentityClockSkew);
  auto Horizon = m_Scheduler.wallNow() - IdentityRetention - IdentityClockSkew;
  auto FreesSegment = !m_SealedSegments.empty() &&
                      m_SealedSegments.front().m_NewestIssuedAt < Horizon;
  return FreesSegment ? std::max(Horizon, m_Log.horizon()) : m_Log.horizon();
}

auto ClaimShard::transactionFor(const std::vector<ClaimEntry> &Entries,
                                WallTime Horizon) -> StoreTransaction {
  auto HeadKey = m_Prefix + "head";
  auto Next = Document{.m_Sequence = m_Sequence,
                       .m_Horizon = Horizon,
                       .m_Era = m_Store.history().era(),
                       .m_Entries = encodeEntries(Entries)};
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back(
      {.m_Key = HeadKey, .m_Modified = m_HeadRevision});
  if (Next.m_Entries.size() > m_Options.m_MaxSegmentBytes) {
    Transaction.m_Writes.push_back(
        {.m_Key = fmt::format("{}{:012}", m_Prefix, m_Sequence),
         .m_Value = encode(Next)});
    ++Next.m_Sequence;
    Next.m_Entries.clear();
  }
  Transaction.m_Writes.push_back({.m_Key = HeadKey, .m_Value = encode(Next)});
  for (auto Index = std::size_t{0};
       Index < std::min(DeletionsPerAppend, m_SealedSegments.size()); ++Index)
    if (m_SealedSegments[Index].m_NewestIssuedAt < Horizon)
      Transaction.m_Writes.push_back({.m_Key = m_SealedSegments[Index].m_Key});
  return Transaction;
}

auto ClaimShard::appended(const StoreReply<TransactionResult> &Reply,
                          const std::vector<ClaimEntry> &Batch,
                          WallTime Horizon) -> void {
  m_StoreCallPending = false;
  if (!Reply || !Reply->m_Applied) {
    // Another writer appended first, or it is unknown whether the write took or
    // will take effect. Reads the log again before anything else is decided.
    m_Loaded = false;
    if (Reply)
      pump();
    else
      pumpAfter(m_Options.m_RetryDelay);
    return;
  }
  if (std::exchange(m_LostClaims, false))
    logWarning(
        "claims.recovered",
        {{"shard", m_Prefix},
         {"era", m_Store.history().era()},
         {"refused_for_ms", toMilliseconds(std::chrono::duration_cast<Duration>(
                                Horizon - m_Scheduler.wallNow()))}});
  m_HeadRevision = Reply->m_Revision;
  m_OpenEntries.insert(m_OpenEntries.end(), Batch.begin(), Batch.end());
  for (auto Index = std::size_t{0};
       Index < DeletionsPerAppend && !m_SealedSegments.empty() &&
       m_SealedSegments.front().m_NewestIssuedAt < Horizon;
       ++Index)
    m_SealedSegments.pop_front();
  if (encodeEntries(m_OpenEntries).size() > m_Options.m_MaxSegmentBytes) {
    m_SealedSegments.push_back(
        {.m_Key = fmt::format("{}{:012}", m_Prefix, m_Sequence),
         .m_NewestIssuedAt = newestIssuedAt(m_OpenEntries)});
    ++m_Sequence;
    m_OpenEntries.clear();
  }
  for (const auto &Entry : Batch)
    m_Log.apply(Entry);
  m_Log.discardBefore(Horizon);
  completeDecided();
  pump();
}

auto ClaimShard::removeExpired() -> void {
  auto Now = m_Scheduler.now();
  auto Requests = std::exchange(m_Pending, {});
  for (auto &Item : Requests) {
    if (Now < Item.m_Deadline) {
      m_Pending.push_back(std::move(Item));
      continue;
    }
    if (Item.m_OnClaim)
      Item.m_OnClaim({.m_Verdict = ClaimVerdict::Unavailable});
    else
      Item.m_OnOutcome(false);
  }
}

auto ClaimShard::pumpAfter(Duration Delay) -> void {
  m_RetryTimer = m_Scheduler.schedule(Delay, [this] {
    m_RetryTimer.reset();
    pump();
  });
}

} // namespace dotterel
