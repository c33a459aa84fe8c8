#include "dotterel/serving/LoadTracker.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

auto LoadBook::begin(const BackendId &Backend, double PrefillTokens,
                     MonotonicTime Now) -> void {
  auto &Current = m_Entries[Backend];
  if (Current.m_Own <= 0)
    Current.m_HeardAt = Now;
  Current.m_Own += 1;
  Current.m_Tokens += PrefillTokens;
}

auto LoadBook::heard(const BackendId &Backend, MonotonicTime Now) -> void {
  auto Found = m_Entries.find(Backend);
  if (Found != m_Entries.end())
    Found->second.m_HeardAt = Now;
}

auto LoadBook::silent(const BackendId &Backend, MonotonicTime Now) const
    -> bool {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end() || Found->second.m_Own <= 0)
    return false;
  auto Reading = std::chrono::duration<double, std::milli>(
      Found->second.m_Tokens / m_Options.m_LeastTokensPerMs);
  return Now - Found->second.m_HeardAt >
         m_Options.m_LongestSilence +
             std::chrono::duration_cast<Duration>(Reading);
}

auto LoadBook::prefillDone(const BackendId &Backend, double PrefillTokens)
    -> void {
  auto Found = m_Entries.find(Backend);
  if (Found != m_Entries.end())
    Found->second.m_Tokens =
        std::max(0.0, Found->second.m_Tokens - PrefillTokens);
}

auto LoadBook::end(const BackendId &Backend) -> void {
  auto Found = m_Entries.find(Backend);
  if (Found != m_Entries.end())
    Found->second.m_Own = std::max(0.0, Found->second.m_Own - 1);
}

auto LoadBook::refused(const BackendId &Backend, MonotonicTime Now) -> void {
  auto &Current = m_Entries[Backend];
  // Refusals of requests that were sent together count as one.
  if (Now < Current.m_AvoidedUntil)
    return;
  constexpr auto MostDoublings = 10U;
  auto Doublings = std::min(Current.m_Refusals++, MostDoublings);
  auto Span = m_Options.m_FirstAvoidance * (std::int64_t{1} << Doublings);
  Current.m_AvoidedUntil =
      Now + std::min<Duration>(Span, m_Options.m_LongestAvoidance);
}

auto LoadBook::accepted(const BackendId &Backend) -> void {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end())
    return;
  Found->second.m_Refusals = 0;
  Found->second.m_AvoidedUntil = MonotonicTime();
}

auto LoadBook::avoided(const BackendId &Backend, MonotonicTime Now) const
    -> bool {
  auto Found = m_Entries.find(Backend);
  return Found != m_Entries.end() && Now < Found->second.m_AvoidedUntil;
}

auto LoadBook::report(const BackendId &Backend, const LoadReport &Load,
                      MonotonicTime Now) -> void {
  auto &Current = m_Entries[Backend];
  auto Total = static_cast<double>(Load.m_Running + Load.m_Waiting);
  Current.m_Others = std::max(0.0, Total - Current.m_Own);
  Current.m_Waiting = Load.m_Waiting;
  Current.m_ReportedAt = Now;
  Current.m_Reported = true;
}

auto LoadBook::setPeer(const std::string &Origin,
                       const std::vector<BackendWork> &Loads, MonotonicTime Now)
    -> void {
  auto &Current = m_Peers[Origin];
  Current.m_At = Now;
  Current.m_Loads.clear();
  for (const auto &Item : Loads)
    Current.m_Loads.emplace(Item.m_Engine, Item);
}

auto LoadBook::summary() const -> std::vector<BackendWork> {
  auto Result = std::vector<BackendWork>();
  for (const auto &[Id, Current] : m_Entries)
    if (Current.m_Own > 0)
      Result.push_back({.m_Engine = Id,
                        .m_Requests = Current.m_Own,
                        .m_UnreadTokens = Current.m_Tokens});
  return Result;
}

auto LoadBook::forget(const BackendId &Backend) -> void {
  m_Entries.erase(Backend);
}

auto LoadBook::own(const BackendId &Backend) const -> double {
  auto Found = m_Entries.find(Backend);
  return Found == m_Entries.end() ? 0 : Found->second.m_Own;
}

auto LoadBook::ownTokens(const BackendId &Backend) const -> double {
  auto Found = m_Entries.find(Backend);
  return Found == m_Entries.end() ? 0 : Found->second.m_Tokens;
}

auto LoadBook::weight(const Entry &Current, MonotonicTime Now) const -> double {
  if (!Current.m_Reported)
    return 0;
  auto Age = std::chrono::duration<double>(Now - Current.m_ReportedAt).count();
  auto HalfLife =
      std::chrono::duration<double>(m_Options.m_ReportHalfLife).count();
  return std::exp2(-Age / HalfLife);
}

auto LoadBook::othersTokens(const BackendId &Backend, MonotonicTime Now) const
    -> std::optional<double> {
  auto Sum = std::optional<double>();
  for (const auto &[Origin, Current] : m_Peers) {
    if (Now - Current.m_At > m_Options.m_PeerLapse)
      continue;
    Sum = Sum.value_or(0);
    if (auto Found = Current.m_Loads.find(Backend);
        Found != Current.m_Loads.end())
      *Sum += Found->second.m_UnreadTokens;
  }
  return Sum;
}

auto LoadBook::others(const BackendId &Backend, MonotonicTime Now) const
    -> double {
  auto Told = false;
  auto Sum = 0.0;
  for (const auto &[Origin, Current] : m_Peers) {
    if (Now - Current.m_At > m_Options.m_PeerLapse)
      continue;
    Told = true;
    if (auto Found = Current.m_Loads.find(Backend);
        Found != Current.m_Loads.end())
      Sum += Found->second.m_Requests;
  }
  if (Told)
    return Sum;
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end())
    return 0;
  return Found->second.m_Others * weight(Found->second, Now);
}

auto LoadBook::waiting(const BackendId &Backend, MonotonicTime Now) const
    -> double {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end())
    return 0;
  return Found->second.m_Waiting * weight(Found->second, Now);
}

} // namespace dotterel
