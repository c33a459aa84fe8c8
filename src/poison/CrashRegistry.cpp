#include "dotterel/poison/CrashRegistry.h"

#include <algorithm>
#include <xxhash.h>

namespace dotterel {

auto digestRequest(const ModelId &Model, const std::string &Body)
    -> RequestDigest {
  auto Seed = XXH3_64bits(Model.text().data(), Model.text().size());
  return RequestDigest{XXH3_64bits_withSeed(Body.data(), Body.size(), Seed)};
}

auto CrashRegistry::recordLoss(const BackendId &Backend,
                               const DataCentreId &DataCentre,
                               const std::vector<RunningRequest> &Running,
                               MonotonicTime Now) -> void {
  std::erase_if(m_RecentLosses, [&](const Loss &OldLoss) {
    return Now - OldLoss.m_Time > m_Options.m_ReclaimWindow;
  });
  m_RecentLosses.push_back({.m_Backend = Backend,
                            .m_DataCentre = DataCentre,
                            .m_Time = Now,
                            .m_Running = Running});
  for (const auto &Item : Running) {
    auto &Report = m_Reports[Item.m_Digest];
    Report.m_Digest = Item.m_Digest;
    Report.m_Backends.insert(Backend);
    Report.m_LostAlone = Report.m_LostAlone || Item.m_Alone;
  }
  discardReclaimEvidence(DataCentre);
}

auto CrashRegistry::discardReclaimEvidence(const DataCentreId &DataCentre)
    -> void {
  auto LostServers = std::set<BackendId>();
  for (const auto &Entry : m_RecentLosses)
    if (Entry.m_DataCentre == DataCentre)
      LostServers.insert(Entry.m_Backend);
  if (LostServers.size() < m_Options.m_MinReclaimedServers)
    return;
  for (const auto &Entry : m_RecentLosses) {
    if (Entry.m_DataCentre != DataCentre)
      continue;
    for (const auto &[Digest, Alone] : Entry.m_Running) {
      auto Found = m_Reports.find(Digest);
      // A quarantined digest was running on servers that were lost one after
      // another, so a later reclaim does not clear it.
      if (Found == m_Reports.end() ||
          verdict(Digest) == CrashVerdict::Quarantined)
        continue;
      Found->second.m_Backends.erase(Entry.m_Backend);
    }
  }
}

auto CrashRegistry::verdict(RequestDigest Digest) const -> CrashVerdict {
  auto Found = m_Reports.find(Digest);
  if (Found == m_Reports.end() || Found->second.m_Backends.empty())
    return CrashVerdict::Clear;
  const auto &Report = Found->second;
  auto Limit = Report.m_LostAlone ? m_Options.m_QuarantineLossesAlone
                                  : m_Options.m_QuarantineLossesShared;
  return Report.m_Backends.size() >= Limit ? CrashVerdict::Quarantined
                                           : CrashVerdict::Suspect;
}

auto CrashRegistry::recordSuccess(RequestDigest Digest) -> void {
  if (verdict(Digest) == CrashVerdict::Suspect)
    release(Digest);
}

auto CrashRegistry::release(RequestDigest Digest) -> void {
  auto &Report = m_Reports[Digest];
  Report.m_Digest = Digest;
  Report.m_Backends.clear();
  Report.m_LostAlone = false;
  ++Report.m_Releases;
}

auto CrashRegistry::merge(const CrashReport &Report) -> void {
  auto &Own = m_Reports[Report.m_Digest];
  Own.m_Digest = Report.m_Digest;
  if (Report.m_Releases > Own.m_Releases) {
    Own = Report;
    return;
  }
  if (Report.m_Releases < Own.m_Releases)
    return;
  Own.m_Backends.insert(Report.m_Backends.begin(), Report.m_Backends.end());
  Own.m_LostAlone = Own.m_LostAlone || Report.m_LostAlone;
}

auto CrashRegistry::reports() const -> std::vector<CrashReport> {
  auto Result = std::vector<CrashReport>();
  for (const auto &[Digest, Report] : m_Reports)
    Result.push_back(Report);
  return Result;
}

} // namespace dotterel
