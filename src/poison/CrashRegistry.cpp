#include "dotterel/poison/CrashRegistry.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <xxhash.h>

namespace dotterel {

namespace {

auto digestText(std::string_view Text, std::uint64_t Seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(Text.data(), Text.size(), Seed);
}

} // namespace

auto digestRequest(const ModelId &Model, const std::string &Body)
    -> RequestDigest {
  return RequestDigest{digestText(Body, digestText(Model.text(), 0))};
}

auto digestPromptPart(const ModelId &Model, const std::string &PartId)
    -> RequestDigest {
  // A different seed, so that a part whose id equals a request's body has
  // another digest.
  constexpr auto PartSeed = 1U;
  return RequestDigest{digestText(PartId, digestText(Model.text(), PartSeed))};
}

auto CrashRegistry::recordLoss(const BackendId &Backend,
                               const DataCentreId &DataCentre,
                               const std::vector<RunningRequest> &Running,
                               MonotonicTime LostAt) -> void {
  std::erase_if(m_RecentLosses, [&](const Loss &OldLoss) {
    return LostAt - OldLoss.m_Time > m_Options.m_ReclaimWindow;
  });
  m_RecentLosses.push_back({.m_Backend = Backend,
                            .m_DataCentre = DataCentre,
                            .m_Time = LostAt,
                            .m_Running = Running});
  for (const auto &Item : Running) {
    auto SentAt = Item.m_SentAt.value_or(LostAt);
    if (SentAt > LostAt)
      continue;
    auto &Known = m_Evidence[Item.m_Digest];
    auto Times = LossTimes{.m_SentAt = SentAt, .m_LostAt = LostAt};
    auto [Entry, Added] = Known.m_Losses.emplace(Backend, Times);
    if (!Added) {
      Entry->second.m_SentAt = std::min(Entry->second.m_SentAt, SentAt);
      Entry->second.m_LostAt = std::min(Entry->second.m_LostAt, LostAt);
    }
    Known.m_LostAlone = Known.m_LostAlone || Item.m_Alone;
  }
  discardReclaimEvidence(DataCentre);
  limitDigests();
}

auto CrashRegistry::discardReclaimEvidence(const DataCentreId &DataCentre)
    -> void {
  auto LostServers = std::set<BackendId>();
  for (const auto &Entry : m_RecentLosses)
    if (Entry.m_DataCentre == DataCentre)
      LostServers.insert(Entry.m_Backend);
  if (m_Options.m_MinReclaimedServers == 0 ||
      LostServers.size() < m_Options.m_MinReclaimedServers)
    return;
  for (const auto &Entry : m_RecentLosses) {
    if (Entry.m_DataCentre != DataCentre)
      continue;
    for (const auto &Item : Entry.m_Running) {
      auto Found = m_Evidence.find(Item.m_Digest);
      // A quarantined digest was running on servers that were lost one after
      // another, so a later reclaim does not clear it.
      if (Found == m_Evidence.end() ||
          verdict(Found->second) == CrashVerdict::Quarantined)
        continue;
      Found->second.m_Losses.erase(Entry.m_Backend);
    }
  }
}

auto CrashRegistry::limitDigests() -> void {
  if (m_Evidence.size() <= m_Options.m_MaxDigests)
    return;
  auto Ranked = std::vector<std::tuple<bool, MonotonicTime, RequestDigest>>();
  Ranked.reserve(m_Evidence.size());
  for (const auto &[Digest, Known] : m_Evidence) {
    auto Newest = MonotonicTime();
    for (const auto &[Backend, Times] : Known.m_Losses)
      Newest = std::max(Newest, Times.m_LostAt);
    Ranked.emplace_back(verdict(Known) == CrashVerdict::Quarantined, Newest,
                        Digest);
  }
  // Evicts several at once, since each eviction ranks all digests.
  constexpr auto EvictedFraction = std::size_t{16};
  auto Kept = m_Options.m_MaxDigests - m_Options.m_MaxDigests / EvictedFraction;
  auto FirstKept =
      Ranked.begin() + static_cast<std::ptrdiff_t>(Ranked.size() - Kept);
  std::nth_element(Ranked.begin(), FirstKept, Ranked.end());
  std::for_each(Ranked.begin(), FirstKept, [this](const auto &Item) {
    m_Evidence.erase(std::get<RequestDigest>(Item));
  });
}

auto CrashRegistry::verdict(RequestDigest Digest) const -> CrashVerdict {
  auto Found = m_Evidence.find(Digest);
  return Found == m_Evidence.end() ? CrashVerdict::Clear
                                   : verdict(Found->second);
}

auto CrashRegistry::consecutiveLosses(RequestDigest Digest) const
    -> std::size_t {
  auto Found = m_Evidence.find(Digest);
  return Found == m_Evidence.end() ? 0 : countConsecutive(Found->second);
}

auto CrashRegistry::countConsecutive(const Evidence &Item) -> std::size_t {
  // The earliest loss first, so that the number of consecutive losses is the
  // largest possible.
  auto Losses = std::vector<LossTimes>();
  for (const auto &[Backend, Times] : Item.m_Losses)
    Losses.push_back(Times);
  std::sort(Losses.begin(), Losses.end(),
            [](const LossTimes &Left, const LossTimes &Right) {
              return Left.m_LostAt < Right.m_LostAt;
            });
  auto Consecutive = std::size_t{0};
  auto LastLoss = MonotonicTime::min();
  for (const auto &Times : Losses) {
    if (Times.m_SentAt < LastLoss)
      continue;
    ++Consecutive;
    LastLoss = Times.m_LostAt;
  }
  return Consecutive;
}

auto CrashRegistry::verdict(const Evidence &Item) const -> CrashVerdict {
  if (Item.m_Losses.empty())
    return CrashVerdict::Clear;
  auto Limit = Item.m_LostAlone ? m_Options.m_QuarantineLossesAlone
                                : m_Options.m_QuarantineLossesShared;
  return countConsecutive(Item) >= Limit ? CrashVerdict::Quarantined
                                         : CrashVerdict::Suspect;
}

auto CrashRegistry::recordSuccess(RequestDigest Digest) -> bool {
  auto Current = verdict(Digest);
  if (Current == CrashVerdict::Clear ||
      (Current == CrashVerdict::Quarantined &&
       !m_Options.m_SuccessReleasesQuarantine))
    return false;
  release(Digest);
  return true;
}

auto CrashRegistry::release(RequestDigest Digest) -> void {
  auto &Known = m_Evidence[Digest];
  Known.m_Losses.clear();
  Known.m_LostAlone = false;
  ++Known.m_Releases;
}

auto CrashRegistry::merge(const CrashReport &Report, MonotonicTime Now)
    -> bool {
  auto &Own = m_Evidence[Report.m_Digest];
  if (Report.m_Releases < Own.m_Releases)
    return false;
  removeOldLosses(Own, Now);
  auto Summary = [this, &Own] {
    return std::tuple(Own.m_Releases, Own.m_Losses.size(), Own.m_LostAlone,
                      verdict(Own));
  };
  auto Before = Summary();
  if (Report.m_Releases > Own.m_Releases)
    Own = Evidence{.m_Releases = Report.m_Releases};
  for (const auto &[Backend, Ages] : Report.m_Losses) {
    auto Times = LossTimes{.m_SentAt = Now - Ages.m_SinceSent,
                           .m_LostAt = Now - Ages.m_SinceLost};
    auto [Entry, Added] = Own.m_Losses.emplace(Backend, Times);
    if (Added)
      continue;
    Entry->second.m_SentAt = std::min(Entry->second.m_SentAt, Times.m_SentAt);
    Entry->second.m_LostAt = std::min(Entry->second.m_LostAt, Times.m_LostAt);
  }
  Own.m_LostAlone = Own.m_LostAlone || Report.m_LostAlone;
  removeOldLosses(Own, Now);
  auto Changed = Summary() != Before;
  limitDigests();
  return Changed;
}

auto CrashRegistry::makeReport(RequestDigest Digest, const Evidence &Known,
                               MonotonicTime Now) -> CrashReport {
  auto Report = CrashReport{.m_Digest = Digest,
                            .m_Releases = Known.m_Releases,
                            .m_LostAlone = Known.m_LostAlone};
  for (const auto &[Backend, Times] : Known.m_Losses)
    Report.m_Losses.emplace(Backend,
                            LossAges{.m_SinceSent = Now - Times.m_SentAt,
                                     .m_SinceLost = Now - Times.m_LostAt});
  return Report;
}

auto CrashRegistry::reports(MonotonicTime Now) const
    -> std::vector<CrashReport> {
  auto Result = std::vector<CrashReport>();
  for (const auto &[Digest, Known] : m_Evidence)
    Result.push_back(makeReport(Digest, Known, Now));
  return Result;
}

auto CrashRegistry::report(RequestDigest Digest, MonotonicTime Now) const
    -> std::optional<CrashReport> {
  auto Found = m_Evidence.find(Digest);
  if (Found == m_Evidence.end())
    return std::nullopt;
  return makeReport(Digest, Found->second, Now);
}

auto CrashRegistry::removeOldLosses(Evidence &Item, MonotonicTime Now) const
    -> void {
  if (!m_Options.m_EvidenceLifetime)
    return;
  std::erase_if(Item.m_Losses, [&](const auto &Loss) {
    return Now - Loss.second.m_LostAt > *m_Options.m_EvidenceLifetime;
  });
  Item.m_LostAlone = Item.m_LostAlone && !Item.m_Losses.empty();
}

auto CrashRegistry::expire(MonotonicTime Now) -> void {
  for (auto &[Digest, Known] : m_Evidence)
    removeOldLosses(Known, Now);
  std::erase_if(m_Evidence, [](const auto &Item) {
    return Item.second.m_Losses.empty() && Item.second.m_Releases == 0;
  });
}

} // namespace dotterel
