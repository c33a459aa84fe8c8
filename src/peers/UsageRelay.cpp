#include "dotterel/peers/UsageRelay.h"

#include "dotterel/base/Log.h"

#include <algorithm>

namespace dotterel {

UsageRelay::UsageRelay(Scheduler &Scheduler, KeyValueStore &Store,
                       DatagramPort &Port, Random &Random,
                       const HostRegistry &Registry, UsageRelayHooks Hooks,
                       const UsageRelayOptions &Options)
    : m_Port(Port), m_Scheduler(Scheduler), m_Random(Random),
      m_Registry(Registry), m_Hooks(std::move(Hooks)), m_Options(Options),
      m_Writer(Scheduler, Store, Options.m_Writer) {}

auto UsageRelay::start() -> void {
  m_Timer.emplace(m_Scheduler, m_Options.m_Interval,
                  [this] { handOverOverdue(); });
}

auto UsageRelay::send(const UsageSegment &Segment, const std::string &Address)
    -> void {
  const auto &Self = m_Registry.self();
  m_Port.send(Address, encodeHostMessage({.m_Sender = Self.m_Host,
                                          .m_DataCentre = Self.m_DataCentre,
                                          .m_Content = Segment}));
}

auto UsageRelay::handOverOverdue() -> void {
  auto Segments = m_Hooks.m_Overdue(m_Options.m_HandOverDelay);
  if (Segments.empty())
    return;
  auto Others = std::vector<HostId>();
  for (const auto &[Host, Record] : m_Registry.others())
    Others.push_back(Host);
  for (auto Left = std::min(m_Options.m_TargetCount, Others.size()); Left > 0;
       --Left) {
    auto Chosen = Others.begin() +
                  static_cast<std::ptrdiff_t>(m_Random.below(Others.size()));
    for (const auto &Segment : Segments) {
      logInfo("usage.handed-over", {{"window", Segment.m_Id.m_Window},
                                    {"segment", Segment.m_Id.m_Number},
                                    {"host", *Chosen}});
      send(Segment, m_Registry.others().at(*Chosen).m_Address);
    }
    Others.erase(Chosen);
  }
}

auto UsageRelay::receive(const UsageSegment &Segment,
                         const std::string &Address) -> void {
  if (m_Hooks.m_OnStored(Segment))
    return;
  const auto &Id = Segment.m_Id;
  auto Key = std::pair(Id.m_Incarnation, Id.m_Number);
  if (auto Found = m_AcceptedSegments.find(Key);
      Found != m_AcceptedSegments.end()) {
    // The first confirmation may have been lost.
    if (Found->second)
      send({.m_Id = Id, .m_Totals = *Found->second}, Address);
    return;
  }
  // A host that cannot write its own segments cannot write those of others.
  if (!m_Hooks.m_Overdue(m_Options.m_HandOverDelay).empty())
    return;
  m_AcceptedSegments.emplace(Key, std::nullopt);
  // Writing a segment twice is harmless, so any entry may be dropped.
  if (m_AcceptedSegments.size() > m_Options.m_MaxAcceptedSegments)
    m_AcceptedSegments.erase(m_AcceptedSegments.begin());
  m_Writer.write(Segment, [this, Id, Key, Address](const UsageTotals &Stored) {
    logInfo("usage.written-for-another", {{"window", Id.m_Window},
                                          {"incarnation", Id.m_Incarnation},
                                          {"segment", Id.m_Number}});
    if (auto Found = m_AcceptedSegments.find(Key);
        Found != m_AcceptedSegments.end())
      Found->second = Stored;
    send({.m_Id = Id, .m_Totals = Stored}, Address);
  });
}

} // namespace dotterel
