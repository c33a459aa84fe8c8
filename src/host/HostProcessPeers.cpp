#include "dotterel/host/HostProcess.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <algorithm>
#include <tuple>
#include <utility>
#include <xxhash.h>

namespace dotterel {

namespace {

/// Number of hosts in the whole installation that campaign for the fleet duty.
constexpr auto MaxCampaigners = std::size_t{4};
/// Minimum interval between log lines on messages that cannot be read.
constexpr auto UnreadableLogInterval = Seconds(1);

} // namespace

auto HostProcess::neededEngines() const -> std::optional<double> {
  auto Demand = m_Exchange.prefillDemand();
  if (!Demand)
    return std::nullopt;
  constexpr auto MillisecondsPerSecond = 1000.0;
  return *Demand / (m_Core.prefillSpeed().prefillEngineTokensPerMs() *
                    MillisecondsPerSecond);
}

auto HostProcess::mayCampaign() const -> bool {
  // All hosts compute the same order. Hosts that are gone leave the registry,
  // so others take their places.
  auto Rank = [](const HostId &Host) {
    return XXH3_64bits(Host.text().data(), Host.text().size());
  };
  const auto &Others = m_Hosts.others();
  auto Own = Rank(m_Hosts.self().m_Host);
  return static_cast<std::size_t>(
             std::count_if(Others.begin(), Others.end(), [&](const auto &Item) {
               return Rank(Item.first) < Own;
             })) < MaxCampaigners;
}

auto HostProcess::receive(const std::string &Address, std::string_view Bytes)
    -> void {
  try {
    auto Message = decodeHostMessage(Bytes);
    // It also observes which hosts are heard.
    m_CrashExchange.receive(Message, Address);
    if (std::holds_alternative<LoadSummary>(Message.m_Content) ||
        std::holds_alternative<OrganisationUse>(Message.m_Content))
      m_Exchange.receive(Message, Address, Bytes);
    else if (const auto *Segment =
                 std::get_if<UsageSegment>(&Message.m_Content))
      m_UsageRelay.receive(*Segment, Address);
    else if (const auto *Stored =
                 std::get_if<StoredSegment>(&Message.m_Content))
      m_UsageRelay.receive(*Stored);
    else if (std::holds_alternative<StreamRecords>(Message.m_Content) ||
             std::holds_alternative<StreamQuery>(Message.m_Content) ||
             std::holds_alternative<StreamReply>(Message.m_Content))
      m_Origins.receive(Message, Address);
    else
      m_Relay.receive(Message, Address);
  } catch (const ProtocolError &Failure) {
    logUnreadable(Address, Failure.what());
  }
}

auto HostProcess::logUnreadable(const std::string &Address,
                                const std::string &Reason) -> void {
  // Hosts of a later version may send many messages that this one cannot read.
  ++m_UnreadableCount;
  auto Now = m_Loop.now();
  if (m_UnreadableLoggedAt &&
      Now - *m_UnreadableLoggedAt < UnreadableLogInterval)
    return;
  m_UnreadableLoggedAt = Now;
  logWarning("peer.unreadable",
             {{"address", Address},
              {"reason", Reason},
              {"messages", std::exchange(m_UnreadableCount, 0)}});
}

auto HostProcess::mergeStoredCrashes(const std::vector<CrashReport> &Reports)
    -> void {
  m_Core.crashes().merge(Reports, m_Loop.now());
  auto Digests = std::vector<RequestDigest>();
  for (const auto &Report : Reports)
    Digests.push_back(Report.m_Digest);
  m_CrashExchange.noteStored(Digests);
}

auto HostProcess::mergeCrashReport(const CrashReport &Report, MonotonicTime Now)
    -> bool {
  const auto &Known = m_Core.crashes().registry();
  auto Summary = [&] {
    auto Own = Known.report(Report.m_Digest, Now);
    return std::tuple(Known.verdict(Report.m_Digest),
                      Own ? Own->m_Losses.size() : 0,
                      Own ? Own->m_Releases : 0);
  };
  auto Before = Summary();
  m_Core.crashes().merge({Report}, Now);
  m_CrashStore.merged(Report.m_Digest);
  return Summary() != Before;
}

} // namespace dotterel
