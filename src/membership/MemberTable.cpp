#include "dotterel/membership/MemberTable.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace dotterel {

MemberTable::MemberTable(Member Self, const MemberTableOptions &Options)
    : m_Self(std::move(Self)), m_Options(Options) {}

auto MemberTable::advanceHeartbeat(MonotonicTime Now) -> void {
  ++m_Self.m_Heartbeat;
  std::erase_if(m_Entries, [&](const auto &Item) {
    return Now - Item.second.m_HeartbeatAt > m_Options.m_RemovalTimeout;
  });
}

auto MemberTable::merge(const Member &Record, MonotonicTime Now) -> void {
  if (Record.m_Process == m_Self.m_Process)
    return;
  auto Found = m_Entries.find(Record.m_Process);
  if (Found == m_Entries.end()) {
    m_Entries.emplace(Record.m_Process,
                      Entry{.m_Record = Record, .m_HeartbeatAt = Now});
    return;
  }
  if (!Record.newerThan(Found->second.m_Record))
    return;
  Found->second = Entry{.m_Record = Record, .m_HeartbeatAt = Now};
}

auto MemberTable::live(MonotonicTime Now) const -> std::vector<Member> {
  auto Live = std::vector<Member>();
  for (const auto &[Process, Item] : m_Entries)
    if (Now - Item.m_HeartbeatAt <= m_Options.m_LivenessTimeout)
      Live.push_back(Item.m_Record);
  return Live;
}

auto MemberTable::serving(ProcessRole Role, MonotonicTime Now) const
    -> std::vector<Member> {
  auto Serving = live(Now);
  std::erase_if(Serving, [Role](const Member &Item) {
    return Item.m_Role != Role || Item.m_Leaving;
  });
  return Serving;
}

auto MemberTable::findLive(const ProcessId &Process, MonotonicTime Now) const
    -> const Member * {
  auto Found = m_Entries.find(Process);
  if (Found == m_Entries.end() ||
      Now - Found->second.m_HeartbeatAt > m_Options.m_LivenessTimeout)
    return nullptr;
  return &Found->second.m_Record;
}

auto MemberTable::lastHeartbeatAt(const ProcessId &Process) const
    -> MonotonicTime {
  auto Found = m_Entries.find(Process);
  return Found == m_Entries.end() ? MonotonicTime()
                                  : Found->second.m_HeartbeatAt;
}

auto MemberTable::view(Random &Random, MonotonicTime Now) const
    -> std::vector<Member> {
  auto Others = live(Now);
  auto OtherCount = std::min(m_Options.m_MaxViewRecords - 1, Others.size());
  auto View = std::vector<Member>{m_Self};
  for (auto Index = std::size_t{0}; Index < OtherCount; ++Index) {
    auto Pick = Index + Random.below(Others.size() - Index);
    std::swap(Others[Index], Others[Pick]);
    View.push_back(Others[Index]);
  }
  return View;
}

auto rendezvousOrder(const std::string &Subject,
                     const std::vector<Member> &Members)
    -> std::vector<Member> {
  auto Weighted = std::vector<std::pair<std::uint64_t, Member>>();
  for (const auto &Candidate : Members) {
    const auto &Name = Candidate.m_Process.text();
    auto Seed = XXH3_64bits(Subject.data(), Subject.size());
    Weighted.emplace_back(XXH3_64bits_withSeed(Name.data(), Name.size(), Seed),
                          Candidate);
  }
  std::sort(Weighted.begin(), Weighted.end(),
            [](const auto &A, const auto &B) { return A.first > B.first; });
  auto Ordered = std::vector<Member>();
  Ordered.reserve(Weighted.size());
  for (auto &[Weight, Candidate] : Weighted)
    Ordered.push_back(std::move(Candidate));
  return Ordered;
}

} // namespace dotterel
