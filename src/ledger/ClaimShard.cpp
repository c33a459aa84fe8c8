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

/// Expired segments deleted along with one append.
constexpr auto DeletionsPerAppend = std::size_t{4};

/// A document in the store: a segment, or the head with the open segment.
struct Document {
  std::uint64_t m_Sequence = 0; ///< Number that the open segment will get.
  WallTime m_Horizon;           ///< Claims issued before are forgotten.
  std::string m_Entries;
};

auto encode(const Document &Value) -> std::string {
  auto Bytes = Json::to_cbor(
      Json{{"sequence", Value.m_Sequence},
           {"horizon_ms", toMilliseconds(Value.m_Horizon.time_since_epoch())},
           {"entries",
            Json::binary({Value.m_Entries.begin(), Value.m_Entries.end()})}});
  return {Bytes.begin(), Bytes.end()};
}

auto decode(const std::string &Text) -> Document {
  try {
    auto Source = Json::from_cbor(Text);
    const auto &Bytes = Source.at("entries").get_binary();
    return {.m_Sequence = Source.at("sequence").get<std::uint64_t>(),
            .m_Horizon = WallTime(
                Milliseconds(Source.at("horizon_ms").get<std::int64_t>())),
            .m_Entries = std::string(Bytes.begin(), Bytes.end())};
  } catch (const Json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

auto newestIssue(const std::vector<ClaimEntry> &Entries) -> WallTime {
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
}

ClaimShard::~ClaimShard() {
  *m_Alive = false;
  if (m_Retry)
    m_Scheduler.cancel(*m_Retry);
}

auto ClaimShard::claim(const Claim &Request,
                       std::function<void(ClaimReply)> Done) -> void {
  m_Pending.push_back(
      {.m_Entry = Request,
       .m_Deadline = m_Scheduler.now() + m_Options.m_ClaimDeadline,
       .m_OnClaim = std::move(Done)});
  pump();
}

auto ClaimShard::record(const ClaimOutcome &Outcome,
                        std::function<void(bool)> Done) -> void {
  m_Pending.push_back(
      {.m_Entry = Outcome,
       .m_Deadline = m_Scheduler.now() + m_Options.m_OutcomeDeadline,
       .m_OnOutcome = std::move(Done)});
  pump();
}

auto ClaimShard::pump() -> void {
  if (m_Busy || m_Retry)
    return;
  dropExpired();
  if (m_Pending.empty())
    return;
  if (!m_Loaded) {
    m_Busy = true;
    load();
    return;
  }
  if (m_Scheduler.now() < m_NextAppend) {
    pumpAfter(m_NextAppend - m_Scheduler.now());
    return;
  }
  m_Busy = true;
  append();
}

auto ClaimShard::load() -> void {
  m_Store.read(KeyRange::prefix(m_Prefix),
               [this, Alive = m_Alive](const auto &Reply) {
                 if (!*Alive)
                   return;
                 m_Busy = false;
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
  m_Open.clear();
  m_Sealed.clear();
  // Everything is applied again from the start: this is free of any assumption
  // on what an earlier unanswered write did.
  m_Log = ClaimLog();
  // Keys come in order and segment numbers are padded, so this is log order.
  for (const auto &Item : Read.m_Values) {
    if (Item.m_Key == HeadKey) {
      Head = decode(Item.m_Value);
      m_HeadRevision = Item.m_Modified;
      continue;
    }
    auto Entries = decodeEntries(decode(Item.m_Value).m_Entries);
    m_Sealed.push_back(
        {.m_Key = Item.m_Key, .m_NewestIssue = newestIssue(Entries)});
    for (const auto &Entry : Entries)
      m_Log.apply(Entry);
  }
  m_Sequence = Head.m_Sequence;
  if (!Head.m_Entries.empty())
    m_Open = decodeEntries(Head.m_Entries);
  for (const auto &Entry : m_Open)
    m_Log.apply(Entry);
  m_Log.forgetBefore(Head.m_Horizon);
}

auto ClaimShard::answerKnown() -> void {
  auto Waiting = std::exchange(m_Pending, {});
  for (auto &Item : Waiting) {
    if (Item.m_OnClaim) {
      if (auto Reply = m_Log.judge(std::get<Claim>(Item.m_Entry)))
        Item.m_OnClaim(std::move(*Reply));
      else
        m_Pending.push_back(std::move(Item));
      continue;
    }
    if (m_Log.wants(std::get<ClaimOutcome>(Item.m_Entry)))
      m_Pending.push_back(std::move(Item));
    else
      Item.m_OnOutcome(true);
  }
}

auto ClaimShard::append() -> void {
  answerKnown();
  auto Batch = std::vector<ClaimEntry>();
  auto Present = std::vector<RequestIdentity>();
  for (const auto &Item : m_Pending) {
    if (Batch.size() >= m_Options.m_BatchSize)
      break;
    // One entry an identity and batch, so that each is judged against all
    // entries before it.
    const auto &Identity = identityOf(Item.m_Entry);
    if (std::find(Present.begin(), Present.end(), Identity) != Present.end())
      continue;
    Present.push_back(Identity);
    Batch.push_back(Item.m_Entry);
  }
  if (Batch.empty()) {
    m_Busy = false;
    return;
  }
  auto Entries = m_Open;
  Entries.insert(Entries.end(), Batch.begin(), Batch.end());
  auto Horizon = nextHorizon();
  m_NextAppend = m_Scheduler.now() + m_Options.m_AppendInterval;
  m_Store.commit(transactionFor(Entries, Horizon),
                 [this, Alive = m_Alive, Batch, Horizon](const auto &Reply) {
                   if (*Alive)
                     appended(Reply, Batch, Horizon);
                 });
}

auto ClaimShard::nextHorizon() const -> WallTime {
  auto Horizon = m_Scheduler.wallNow() - IdentityRetention - IdentityClockSkew;
  auto Frees = !m_Sealed.empty() && m_Sealed.front().m_NewestIssue < Horizon;
  return Frees ? std::max(Horizon, m_Log.horizon()) : m_Log.horizon();
}

auto ClaimShard::transactionFor(const std::vector<ClaimEntry> &Entries,
                                WallTime Horizon) -> StoreTransaction {
  auto HeadKey = m_Prefix + "head";
  auto Next = Document{.m_Sequence = m_Sequence,
                       .m_Horizon = Horizon,
                       .m_Entries = encodeEntries(Entries)};
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back(
      {.m_Key = HeadKey, .m_Modified = m_HeadRevision});
  if (Next.m_Entries.size() > m_Options.m_SegmentBytes) {
    Transaction.m_Writes.push_back(
        {.m_Key = fmt::format("{}{:012}", m_Prefix, m_Sequence),
         .m_Value = encode(Next)});
    ++Next.m_Sequence;
    Next.m_Entries.clear();
  }
  Transaction.m_Writes.push_back({.m_Key = HeadKey, .m_Value = encode(Next)});
  for (auto Index = std::size_t{0};
       Index < std::min(DeletionsPerAppend, m_Sealed.size()); ++Index)
    if (m_Sealed[Index].m_NewestIssue < Horizon)
      Transaction.m_Writes.push_back({.m_Key = m_Sealed[Index].m_Key});
  return Transaction;
}

auto ClaimShard::appended(const StoreReply<TransactionResult> &Reply,
                          const std::vector<ClaimEntry> &Batch,
                          WallTime Horizon) -> void {
  m_Busy = false;
  if (!Reply || !Reply->m_Applied) {
    // Another writer was faster, or the write may have taken effect or may
    // yet: what stands in the log is read before anything else is decided.
    m_Loaded = false;
    if (Reply)
      pump();
    else
      pumpAfter(m_Options.m_RetryDelay);
    return;
  }
  m_HeadRevision = Reply->m_Revision;
  m_Open.insert(m_Open.end(), Batch.begin(), Batch.end());
  for (auto Index = std::size_t{0};
       Index < DeletionsPerAppend && !m_Sealed.empty() &&
       m_Sealed.front().m_NewestIssue < Horizon;
       ++Index)
    m_Sealed.pop_front();
  if (encodeEntries(m_Open).size() > m_Options.m_SegmentBytes) {
    m_Sealed.push_back({.m_Key = fmt::format("{}{:012}", m_Prefix, m_Sequence),
                        .m_NewestIssue = newestIssue(m_Open)});
    ++m_Sequence;
    m_Open.clear();
  }
  for (const auto &Entry : Batch)
    m_Log.apply(Entry);
  m_Log.forgetBefore(Horizon);
  answerKnown();
  pump();
}

auto ClaimShard::dropExpired() -> void {
  auto Now = m_Scheduler.now();
  auto Waiting = std::exchange(m_Pending, {});
  for (auto &Item : Waiting) {
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
  m_Retry = m_Scheduler.schedule(Delay, [this] {
    m_Retry.reset();
    pump();
  });
}

} // namespace dotterel
