#include "dotterel/routing/ServerRateLimits.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace dotterel {

auto ServerRateLimits::setSenders(std::string Self,
                                  std::vector<std::string> Others,
                                  MonotonicTime /*Now*/) -> void {
  m_Self = std::move(Self);
  m_Others = std::move(Others);
}

auto ServerRateLimits::limitOf(const Entry &Item, MonotonicTime Now) const
    -> std::optional<RequestRate> {
  if (Now - Item.m_Own.m_At > m_Options.m_MaxReportAge)
    return std::nullopt;
  return Item.m_Own.m_Limit;
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

auto ServerRateLimits::logChange(const BackendId &Backend,
                                 std::optional<RequestRate> Before,
                                 std::optional<RequestRate> Limit) const
    -> void {
  if (Limit && Before != Limit)
    logInfo("backend.rate-limited", {{"backend", Backend},
                                     {"per_second", Limit->perSecond()},
                                     {"senders", m_Others.size() + 1}});
  if (Before && !Limit)
    logInfo("backend.rate-unlimited", {{"backend", Backend}});
}

auto ServerRateLimits::recordResponse(const BackendId &Backend,
                                      std::optional<RequestRate> Limit,
                                      MonotonicTime Now) -> void {
  // Most servers never name a limit and need no entry.
  if (!Limit && !m_Entries.contains(Backend))
    return;
  auto &Item = m_Entries[Backend];
  auto Before = limitOf(Item, Now);
  Item.m_Own = {.m_Limit = Limit, .m_At = Now};
  logChange(Backend, Before, Limit);
}

auto ServerRateLimits::remove(const BackendId &Backend) -> void {
  m_Entries.erase(Backend);
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
