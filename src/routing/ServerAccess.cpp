#include "dotterel/routing/ServerAccess.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace dotterel {

namespace {

/// Returns whether a notice of the start \p Source holds for \p Target.
auto holdsFor(std::string_view SourceAddress, std::uint64_t SourceStart,
              const SendTarget &Target) -> bool {
  if (SourceStart == 0 || Target.m_Start == 0)
    return SourceAddress == Target.m_Address;
  // A registration of an earlier start is an old copy: that start has ended.
  return SourceStart == Target.m_Start ||
         (Target.m_StartsOrdered && Target.m_Start < SourceStart);
}

auto isRequest(SendPurpose Purpose) -> bool {
  return Purpose == SendPurpose::Execute || Purpose == SendPurpose::Prefill;
}

/// Returns whether the server is to work for what is sent.
auto isWork(SendPurpose Purpose) -> bool {
  return isRequest(Purpose) || Purpose == SendPurpose::Order;
}

} // namespace

auto nameOf(SendDenial Denial) -> const char * {
  switch (Denial) {
  case SendDenial::None:
    return "none";
  case SendDenial::CallerLeft:
    return "caller_left";
  case SendDenial::TimeOver:
    return "time_over";
  case SendDenial::Quarantined:
    return "quarantined";
  case SendDenial::Unlisted:
    return "unlisted";
  case SendDenial::Restarted:
    return "restarted";
  case SendDenial::Draining:
    return "draining";
  case SendDenial::Leaving:
    return "leaving";
  case SendDenial::Paused:
    return "paused";
  case SendDenial::RateLimited:
    return "rate_limited";
  case SendDenial::Ejected:
    return "ejected";
  case SendDenial::OtherVersion:
    return "other_version";
  }
  return "";
}

auto ServerAccess::find(const SendTarget &Target) const -> const Entry * {
  auto Found = m_Entries.find(Target.m_Backend);
  if (Found == m_Entries.end() ||
      !holdsFor(Found->second.m_Address, Found->second.m_Start, Target))
    return nullptr;
  return &Found->second;
}

auto ServerAccess::returnDelay(const BackendId &Backend, Duration Pause,
                               MonotonicTime Now) const -> Duration {
  const auto &Text = Backend.text();
  auto At = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  auto Hash = XXH3_64bits_withSeed(Text.data(), Text.size(),
                                   m_Options.m_SpreadSeed ^ At);
  constexpr auto Steps = std::uint64_t{1} << 20U;
  auto Unit = static_cast<double>(Hash % Steps) / static_cast<double>(Steps);
  auto Longest = std::min(
      std::chrono::duration_cast<Duration>(Pause * m_Options.m_ReturnSpread),
      m_Options.m_MaxReturnSpread);
  return std::chrono::duration_cast<Duration>(Longest * Unit);
}

auto ServerAccess::dropOldest(MonotonicTime Now) -> void {
  std::erase_if(m_Entries, [Now](const auto &Item) {
    return !Item.second.m_Leaving && Item.second.m_PausedUntil <= Now;
  });
  while (m_Entries.size() >= m_Options.m_MaxServers) {
    auto Oldest = std::min_element(m_Entries.begin(), m_Entries.end(),
                                   [](const auto &Left, const auto &Right) {
                                     return Left.second.m_RecordedAt <
                                            Right.second.m_RecordedAt;
                                   });
    logWarning("backend.notice-dropped", {{"backend", Oldest->first}});
    m_Entries.erase(Oldest);
  }
}

auto ServerAccess::recordNotice(const SendTarget &Source,
                                const ServerNotice &Notice, MonotonicTime Now)
    -> void {
  if (Notice.empty())
    return;
  auto Found = m_Entries.find(Source.m_Backend);
  if (Found == m_Entries.end()) {
    if (m_Entries.size() >= m_Options.m_MaxServers)
      dropOldest(Now);
    Found = m_Entries.emplace(Source.m_Backend, Entry()).first;
  } else if (!holdsFor(Found->second.m_Address, Found->second.m_Start,
                       Source)) {
    Found->second = Entry();
  } else if (Source.m_StartsOrdered && Source.m_Start != 0 &&
             Source.m_Start < Found->second.m_Start) {
    // A late response of an earlier start.
    return;
  }
  auto &Item = Found->second;
  Item.m_Address = Source.m_Address;
  if (Source.m_Start != 0)
    Item.m_Start = Source.m_Start;
  Item.m_RecordedAt = Now;
  if (Notice.m_Leaving && !std::exchange(Item.m_Leaving, true))
    logInfo("backend.leaving", {{"backend", Source.m_Backend},
                                {"address", Item.m_Address},
                                {"listed_as_draining", Source.m_Draining}});
  if (Notice.m_Pause <= Duration::zero())
    return;
  auto Until =
      Now + Notice.m_Pause + returnDelay(Source.m_Backend, Notice.m_Pause, Now);
  if (Item.m_PausedUntil <= Now)
    logInfo("backend.paused", {{"backend", Source.m_Backend},
                               {"stated_ms", toMilliseconds(Notice.m_Pause)},
                               {"used_ms", toMilliseconds(Until - Now)}});
  Item.m_PausedUntil = std::max(Item.m_PausedUntil, Until);
}

auto ServerAccess::check(const SendTarget &Target, SendPurpose Purpose,
                         MonotonicTime Now) const -> SendDenial {
  const auto *Item = find(Target);
  if (Item != nullptr && Now < Item->m_PausedUntil)
    return SendDenial::Paused;
  if (!isWork(Purpose))
    return SendDenial::None;
  if (Item != nullptr && Item->m_Leaving)
    return SendDenial::Leaving;
  if (Target.m_Draining)
    return SendDenial::Draining;
  if (!isRequest(Purpose))
    return SendDenial::None;
  if (!m_Limits.permits(Target.m_Backend, Now))
    return SendDenial::RateLimited;
  return Target.m_Ejected ? SendDenial::Ejected : SendDenial::None;
}

auto ServerAccess::admit(const SendTarget &Chosen, SendPurpose Purpose,
                         const SendConditions &Conditions, MonotonicTime Now)
    -> SendDecision {
  auto Denial = check(Chosen, Purpose, Now);
  if (isWork(Purpose)) {
    const auto *Listed = Conditions.m_Listed;
    if (Listed == nullptr)
      Denial = SendDenial::Unlisted;
    else if (Listed->m_Start != Chosen.m_Start ||
             Listed->m_Address != Chosen.m_Address)
      Denial = SendDenial::Restarted;
    else if (Denial == SendDenial::None)
      Denial = check(*Listed, Purpose, Now);
  }
  if (isRequest(Purpose)) {
    if (!Conditions.m_CallerPresent)
      Denial = SendDenial::CallerLeft;
    else if (Conditions.m_TimeLeft <= Duration::zero())
      Denial = SendDenial::TimeOver;
    else if (Conditions.m_Quarantined)
      Denial = SendDenial::Quarantined;
  }
  if (Denial != SendDenial::None)
    return {.m_Denial = Denial};
  if (isRequest(Purpose))
    m_Limits.recordRequest(Chosen.m_Backend, Now);
  return {.m_Permit = SendPermit(Chosen.m_Backend, Purpose)};
}

auto ServerAccess::timeToOpen(const SendTarget &Target, MonotonicTime Now) const
    -> Duration {
  const auto *Item = find(Target);
  if (Target.m_Draining || (Item != nullptr && Item->m_Leaving))
    return Duration::max();
  auto Time = m_Limits.timeToPermit(Target.m_Backend, Now);
  if (Item != nullptr)
    Time = std::max(Time, Item->m_PausedUntil - Now);
  return std::max(Time, Duration::zero());
}

auto ServerAccess::leavingCount() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(m_Entries.begin(), m_Entries.end(),
                    [](const auto &Item) { return Item.second.m_Leaving; }));
}

auto ServerAccess::pausedCount(MonotonicTime Now) const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      m_Entries.begin(), m_Entries.end(),
      [Now](const auto &Item) { return Now < Item.second.m_PausedUntil; }));
}

} // namespace dotterel
