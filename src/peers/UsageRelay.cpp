#include "dotterel/peers/UsageRelay.h"

#include "dotterel/base/Log.h"

#include <algorithm>

namespace dotterel {

UsageRelay::UsageRelay(Scheduler &Scheduler, KeyValueStore &Store,
                       DatagramPort &Port, Random &Random,
                       const HostRegistry &Registry,
                       OverdueSegments OverdueSegments,
                       const UsageRelayOptions &Options)
    : m_Port(Port), m_Scheduler(Scheduler), m_Random(Random),
      m_Registry(Registry), m_OverdueSegments(std::move(OverdueSegments)),
      m_Options(Options), m_Writer(Scheduler, Store, Options.m_Writer) {}

auto UsageRelay::start() -> void {
  m_Timer.emplace(m_Scheduler, m_Options.m_Interval,
                  [this] { handOverOverdue(); });
}

auto UsageRelay::handOverOverdue() -> void {
  auto Segments = m_OverdueSegments(m_Options.m_HandOverDelay);
  if (Segments.empty())
    return;
  const auto &Self = m_Registry.self();
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
      m_Port.send(m_Registry.others().at(*Chosen).m_Address,
                  encodeHostMessage({.m_Sender = Self.m_Host,
                                     .m_DataCentre = Self.m_DataCentre,
                                     .m_Content = Segment}));
    }
    Others.erase(Chosen);
  }
}

auto UsageRelay::receive(const UsageSegment &Segment) -> void {
  const auto &Id = Segment.m_Id;
  // A host that cannot write its own segments cannot write those of others.
  if (!m_OverdueSegments(m_Options.m_HandOverDelay).empty())
    return;
  if (!m_AcceptedSegments.emplace(Id.m_Incarnation, Id.m_Number).second)
    return;
  // Writing a segment twice is harmless, so any entry may be dropped.
  if (m_AcceptedSegments.size() > m_Options.m_MaxAcceptedSegments)
    m_AcceptedSegments.erase(m_AcceptedSegments.begin());
  m_Writer.write(Segment, [Id](const UsageTotals &) {
    logInfo("usage.written-for-another", {{"window", Id.m_Window},
                                          {"incarnation", Id.m_Incarnation},
                                          {"segment", Id.m_Number}});
  });
}

} // namespace dotterel
