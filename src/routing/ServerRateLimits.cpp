#include "dotterel/routing/ServerRateLimits.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>
#include <xxhash.h>

namespace dotterel {

namespace {

auto seconds(Duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

auto ServerRateLimits::setSenders(const std::string &Self,
                                  std::vector<std::string> Others,
                                  MonotonicTime Now) -> void {
  if (m_Self == Self && m_Others == Others)
    return;
  for (auto &[Backend, Item] : m_Entries)
    refill(Item, Now);
  m_Self = Self;
  m_Others = std::move(Others);
  for (auto &[Backend, Item] : m_Entries)
    Item.m_Rank = rankFor(Backend);
}

auto ServerRateLimits::setTerm(const SenderTerm &Term, MonotonicTime Now)
    -> void {
  auto Used = Term.contains(Now);
  if (std::exchange(m_SharesUsed, Used) != Used)
    logInfo("backend.rate-shares", {{"used", Used},
                                    {"limited", limitedCount(Now)},
                                    {"senders", m_Others.size() + 1}});
  if (m_Term == Term)
    return;
  for (auto &[Backend, Item] : m_Entries)
    refill(Item, Now);
  m_Term = Term;
}

auto ServerRateLimits::rankFor(const BackendId &Backend) const
    -> std::optional<std::size_t> {
  if (m_Self.empty())
    return std::nullopt;
  const auto &Text = Backend.text();
  auto Seed = XXH3_64bits(Text.data(), Text.size());
  auto Score = [Seed](const std::string &Sender) {
    return std::pair(XXH3_64bits_withSeed(Sender.data(), Sender.size(), Seed),
                     std::string_view(Sender));
  };
  auto Own = Score(m_Self);
  return static_cast<std::size_t>(
      std::count_if(m_Others.begin(), m_Others.end(),
                    [&](const auto &Other) { return Score(Other) > Own; }));
}

auto ServerRateLimits::newest(const Entry &Item) -> const Statement & {
  static const auto None = Statement();
  if (Item.m_Own && (!Item.m_Learnt || Item.m_Own->m_At >= Item.m_Learnt->m_At))
    return *Item.m_Own;
  return Item.m_Learnt ? *Item.m_Learnt : None;
}

auto ServerRateLimits::limitOf(const Entry &Item, MonotonicTime Now) const
    -> std::optional<RequestRate> {
  const auto &Current = newest(Item);
  if (Now - Current.m_At > m_Options.m_MaxReportAge)
    return std::nullopt;
  return Current.m_Limit;
}

auto ServerRateLimits::limit(const BackendId &Backend, MonotonicTime Now) const
    -> std::optional<RequestRate> {
  auto Found = m_Entries.find(Backend);
  return Found == m_Entries.end() ? std::nullopt : limitOf(Found->second, Now);
}

auto ServerRateLimits::limitedCount(MonotonicTime Now) const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(m_Entries.begin(), m_Entries.end(), [&](const auto &Item) {
        return limitOf(Item.second, Now).has_value();
      }));
}

auto ServerRateLimits::sharerCount(RequestRate Limit) const -> std::size_t {
  // Each sharer may send one request at any time, so more of them than requests
  // in a second could exceed a low rate.
  auto Senders = m_Others.size() + 1;
  auto Wanted = std::max(static_cast<double>(m_Options.m_MinSharers),
                         std::floor(Limit.perSecond()));
  return Wanted >= static_cast<double>(Senders)
             ? Senders
             : static_cast<std::size_t>(Wanted);
}

auto ServerRateLimits::shareOf(const Entry &Item, RequestRate Limit,
                               MonotonicTime Now) const -> RequestRate {
  auto Sharers = sharerCount(Limit);
  if (!Item.m_Rank || *Item.m_Rank >= Sharers)
    return RequestRate{};
  auto Part = m_Term.contains(Now) ? 1 : m_Term.m_PartOutside;
  return RequestRate{Part * Limit.perSecond() / static_cast<double>(Sharers)};
}

auto ServerRateLimits::permitsOf(const Entry &Item, RequestRate Limit,
                                 MonotonicTime Now) const -> double {
  auto Share = shareOf(Item, Limit, Now).perSecond();
  auto Max = std::max(1.0, Share * seconds(m_Options.m_AccumulationTime));
  // A share that becomes a whole one starts without permits.
  auto Since = m_Term.contains(Now)
                   ? std::max(Item.m_RefilledAt, m_Term.m_Begin)
                   : Item.m_RefilledAt;
  return std::min(Max, Item.m_Permits + Share * seconds(Now - Since));
}

auto ServerRateLimits::permits(const BackendId &Backend,
                               MonotonicTime Now) const -> bool {
  return timeToPermit(Backend, Now) <= Duration::zero();
}

auto ServerRateLimits::timeToPermit(const BackendId &Backend,
                                    MonotonicTime Now) const -> Duration {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end())
    return Duration::zero();
  const auto &Item = Found->second;
  auto Limit = limitOf(Item, Now);
  if (!Limit)
    return Duration::zero();
  auto Share = shareOf(Item, *Limit, Now).perSecond();
  if (Share <= 0)
    return Duration::max();
  auto Missing = 1 - permitsOf(Item, *Limit, Now);
  constexpr auto Longest = std::chrono::hours(1);
  return std::chrono::ceil<Duration>(std::min<std::chrono::duration<double>>(
      std::chrono::duration<double>(std::max(0.0, Missing) / Share), Longest));
}

auto ServerRateLimits::refill(Entry &Item, MonotonicTime Now) const -> void {
  if (auto Limit = limitOf(Item, Now))
    Item.m_Permits = permitsOf(Item, *Limit, Now);
  Item.m_RefilledAt = Now;
}

auto ServerRateLimits::recordRequest(const BackendId &Backend,
                                     MonotonicTime Now) -> void {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end() || !limitOf(Found->second, Now))
    return;
  refill(Found->second, Now);
  Found->second.m_Permits -= 1;
}

auto ServerRateLimits::logChange(const BackendId &Backend,
                                 std::optional<RequestRate> Before,
                                 const Entry &Item, MonotonicTime Now) const
    -> void {
  auto Limit = limitOf(Item, Now);
  if (Limit && Before != Limit)
    logInfo("backend.rate-limited",
            {{"backend", Backend},
             {"per_second", Limit->perSecond()},
             {"share", shareOf(Item, *Limit, Now).perSecond()},
             {"sharers", sharerCount(*Limit)},
             {"senders", m_Others.size() + 1},
             {"age_ms", toMilliseconds(Now - newest(Item).m_At)}});
  if (Before && !Limit)
    logInfo("backend.rate-unlimited", {{"backend", Backend}});
}

auto ServerRateLimits::update(const BackendId &Backend,
                              std::optional<Statement> Entry::*Field,
                              const Statement &Value, MonotonicTime Now)
    -> void {
  // Most servers never name a limit and need no entry.
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end()) {
    if (!Value.m_Limit)
      return;
    // Bounds the number of servers that have ended.
    std::erase_if(m_Entries, [&](const auto &Item) {
      return Now - newest(Item.second).m_At > m_Options.m_MaxReportAge;
    });
    Found = m_Entries.emplace(Backend, Entry{.m_Rank = rankFor(Backend)}).first;
  }
  auto &Item = Found->second;
  if (Item.*Field && (Item.*Field)->m_At > Value.m_At)
    return;
  auto Before = limitOf(Item, Now);
  refill(Item, Now);
  Item.*Field = Value;
  if (!Before)
    Item.m_Permits = 0;
  logChange(Backend, Before, Item, Now);
}

auto ServerRateLimits::recordResponse(const BackendId &Backend,
                                      std::optional<RequestRate> Limit,
                                      MonotonicTime Now) -> void {
  update(Backend, &Entry::m_Own, {.m_Limit = Limit, .m_At = Now}, Now);
}

auto ServerRateLimits::merge(const RateLimitReport &Report, MonotonicTime Now)
    -> void {
  if (Report.m_Age > m_Options.m_MaxReportAge)
    return;
  update(Report.m_Backend, &Entry::m_Learnt,
         {.m_Limit = Report.m_Limit, .m_At = Now - Report.m_Age}, Now);
}

auto ServerRateLimits::remove(const BackendId &Backend) -> void {
  m_Entries.erase(Backend);
}

auto ServerRateLimits::ownReports(MonotonicTime Now) const
    -> std::vector<RateLimitReport> {
  auto Result = std::vector<RateLimitReport>();
  for (const auto &[Backend, Item] : m_Entries)
    if (Item.m_Own && Now - Item.m_Own->m_At <= m_Options.m_AnnounceAge)
      Result.push_back({.m_Backend = Backend,
                        .m_Limit = Item.m_Own->m_Limit,
                        .m_Age = Now - Item.m_Own->m_At});
  return Result;
}

auto ServerRateLimits::allReports(MonotonicTime Now) const
    -> std::vector<RateLimitReport> {
  auto Result = std::vector<RateLimitReport>();
  for (const auto &[Backend, Item] : m_Entries)
    if (const auto &Current = newest(Item);
        Now - Current.m_At <= m_Options.m_MaxReportAge)
      Result.push_back({.m_Backend = Backend,
                        .m_Limit = Current.m_Limit,
                        .m_Age = Now - Current.m_At});
  return Result;
}

auto parseRequestRate(std::string_view Text) -> std::optional<RequestRate> {
  auto Value = 0.0;
  const auto *End = Text.data() + Text.size();
  auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End || !std::isfinite(Value) || Value < 0)
    return std::nullopt;
  return RequestRate{Value};
}

} // namespace dotterel
