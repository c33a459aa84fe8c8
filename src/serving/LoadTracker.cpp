#include "dotterel/serving/LoadTracker.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

auto LoadTracker::beginAttempt(const BackendId &Backend, double PrefillTokens,
                               MonotonicTime Now) -> void {
  auto &Current = m_Entries[Backend];
  if (Current.m_OwnRequests <= 0)
    Current.m_LastActivityAt = Now;
  Current.m_OwnRequests += 1;
  Current.m_OwnPrefillTokens += PrefillTokens;
}

auto LoadTracker::recordActivity(const BackendId &Backend, MonotonicTime Now)
    -> void {
  auto Found = m_Entries.find(Backend);
  if (Found != m_Entries.end())
    Found->second.m_LastActivityAt = Now;
}

auto LoadTracker::unresponsive(const BackendId &Backend, MonotonicTime Now,
                               double Slowdown) const -> bool {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end() || Found->second.m_OwnRequests <= 0)
    return false;
  auto PrefillTime = std::chrono::duration<double, std::milli>(
      Found->second.m_OwnPrefillTokens / m_Options.m_MinPrefillTokensPerMs);
  auto Timeout = m_Options.m_ActivityTimeout +
                 std::chrono::duration_cast<Duration>(PrefillTime);
  // The silence of a quick server says no more than that of a usual one.
  return Now - Found->second.m_LastActivityAt >
         std::chrono::duration_cast<Duration>(std::max(1.0, Slowdown) *
                                              Timeout);
}

auto LoadTracker::prefillDone(const BackendId &Backend, double PrefillTokens)
    -> void {
  auto Found = m_Entries.find(Backend);
  if (Found != m_Entries.end())
    Found->second.m_OwnPrefillTokens =
        std::max(0.0, Found->second.m_OwnPrefillTokens - PrefillTokens);
}

auto LoadTracker::endAttempt(const BackendId &Backend) -> void {
  auto Found = m_Entries.find(Backend);
  if (Found != m_Entries.end())
    Found->second.m_OwnRequests =
        std::max(0.0, Found->second.m_OwnRequests - 1);
}

auto LoadTracker::recordRefusal(const BackendId &Backend, MonotonicTime Now)
    -> void {
  auto &Current = m_Entries[Backend];
  // Refusals of requests that were sent at the same time count as one.
  if (Now < Current.m_BackoffUntil)
    return;
  constexpr auto MaxDoublings = 10U;
  auto Doublings = std::min(Current.m_RefusalsInRow++, MaxDoublings);
  auto Backoff = m_Options.m_InitialBackoff * (std::int64_t{1} << Doublings);
  Current.m_BackoffUntil =
      Now + std::min<Duration>(Backoff, m_Options.m_MaxBackoff);
}

auto LoadTracker::recordAcceptance(const BackendId &Backend) -> void {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end())
    return;
  Found->second.m_RefusalsInRow = 0;
  Found->second.m_BackoffUntil = MonotonicTime();
}

auto LoadTracker::inBackoff(const BackendId &Backend, MonotonicTime Now) const
    -> bool {
  auto Found = m_Entries.find(Backend);
  return Found != m_Entries.end() && Now < Found->second.m_BackoffUntil;
}

auto LoadTracker::recordReport(const BackendId &Backend, const LoadReport &Load,
                               MonotonicTime Now) -> void {
  auto &Current = m_Entries[Backend];
  auto Total = static_cast<double>(Load.m_Running + Load.m_Waiting);
  Current.m_OtherRequests = std::max(0.0, Total - Current.m_OwnRequests);
  Current.m_WaitingRequests = Load.m_Waiting;
  Current.m_ReportedAt = Now;
  Current.m_Reported = true;
}

auto LoadTracker::setPeerLoads(const std::string &Origin,
                               const std::vector<BackendLoad> &Loads,
                               MonotonicTime Now) -> void {
  auto &Current = m_Peers[Origin];
  Current.m_ReceivedAt = Now;
  Current.m_Loads.clear();
  for (const auto &Item : Loads)
    Current.m_Loads.emplace(Item.m_Engine, Item);
}

auto LoadTracker::reportAge(const std::string &Origin, MonotonicTime Now) const
    -> std::optional<Duration> {
  auto Found = m_Peers.find(Origin);
  if (Found == m_Peers.end())
    return std::nullopt;
  return Now - Found->second.m_ReceivedAt;
}

auto LoadTracker::recentOrigins(MonotonicTime Now) const
    -> std::vector<std::string> {
  auto Result = std::vector<std::string>();
  for (const auto &[Origin, Current] : m_Peers)
    if (Now - Current.m_ReceivedAt <= m_Options.m_PeerExpiry)
      Result.push_back(Origin);
  return Result;
}

auto LoadTracker::summary() const -> std::vector<BackendLoad> {
  auto Result = std::vector<BackendLoad>();
  for (const auto &[Id, Current] : m_Entries)
    if (Current.m_OwnRequests > 0)
      Result.push_back({.m_Engine = Id,
                        .m_Requests = Current.m_OwnRequests,
                        .m_PendingPrefillTokens = Current.m_OwnPrefillTokens});
  return Result;
}

auto LoadTracker::remove(const BackendId &Backend) -> void {
  m_Entries.erase(Backend);
}

auto LoadTracker::ownRequests(const BackendId &Backend) const -> double {
  auto Found = m_Entries.find(Backend);
  return Found == m_Entries.end() ? 0 : Found->second.m_OwnRequests;
}

auto LoadTracker::ownPrefillTokens(const BackendId &Backend) const -> double {
  auto Found = m_Entries.find(Backend);
  return Found == m_Entries.end() ? 0 : Found->second.m_OwnPrefillTokens;
}

auto LoadTracker::weight(const Entry &Current, MonotonicTime Now) const
    -> double {
  if (!Current.m_Reported)
    return 0;
  auto Age = std::chrono::duration<double>(Now - Current.m_ReportedAt).count();
  auto HalfLife =
      std::chrono::duration<double>(m_Options.m_ReportHalfLife).count();
  return std::exp2(-Age / HalfLife);
}

auto LoadTracker::otherPrefillTokens(const BackendId &Backend,
                                     MonotonicTime Now) const
    -> std::optional<double> {
  auto Sum = std::optional<double>();
  for (const auto &[Origin, Current] : m_Peers) {
    if (Now - Current.m_ReceivedAt > m_Options.m_PeerExpiry)
      continue;
    Sum = Sum.value_or(0);
    if (auto Found = Current.m_Loads.find(Backend);
        Found != Current.m_Loads.end())
      *Sum += Found->second.m_PendingPrefillTokens;
  }
  return Sum;
}

auto LoadTracker::otherRequests(const BackendId &Backend,
                                MonotonicTime Now) const -> double {
  auto Reported = false;
  auto Sum = 0.0;
  for (const auto &[Origin, Current] : m_Peers) {
    if (Now - Current.m_ReceivedAt > m_Options.m_PeerExpiry)
      continue;
    Reported = true;
    if (auto Found = Current.m_Loads.find(Backend);
        Found != Current.m_Loads.end())
      Sum += Found->second.m_Requests;
  }
  if (Reported)
    return Sum;
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end())
    return 0;
  return Found->second.m_OtherRequests * weight(Found->second, Now);
}

auto LoadTracker::waitingRequests(const BackendId &Backend,
                                  MonotonicTime Now) const -> double {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end())
    return 0;
  return Found->second.m_WaitingRequests * weight(Found->second, Now);
}

} // namespace dotterel
