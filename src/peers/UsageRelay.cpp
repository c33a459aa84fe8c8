#include "dotterel/peers/UsageRelay.h"

#include "dotterel/base/Log.h"

#include <algorithm>

namespace dotterel {

UsageRelay::UsageRelay(Scheduler &Scheduler, KeyValueStore &Store,
                       DatagramPort &Port, Random &Random,
                       const HostRegistry &Registry, Overdue Overdue,
                       const UsageRelayOptions &Options)
    : m_Port(Port), m_Scheduler(Scheduler), m_Random(Random),
      m_Registry(Registry), m_Overdue(std::move(Overdue)), m_Options(Options),
      m_Writer(Scheduler, Store, Options.m_Writer) {}

auto UsageRelay::start() -> void {
  m_Timer.emplace(m_Scheduler, m_Options.m_Interval, [this] { step(); });
}

auto UsageRelay::step() -> void {
  auto Segments = m_Overdue(m_Options.m_HandOverAfter);
  if (Segments.empty())
    return;
  const auto &Self = m_Registry.self();
  auto Others = std::vector<HostId>();
  for (const auto &[Host, Record] : m_Registry.others())
    Others.push_back(Host);
  for (auto Left = std::min(m_Options.m_Targets, Others.size()); Left > 0;
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
  // Who cannot write its own counts cannot write those of others.
  if (!m_Overdue(m_Options.m_HandOverAfter).empty())
    return;
  if (!m_Taken.emplace(Id.m_Incarnation, Id.m_Number).second)
    return;
  // Writing one twice is harmless, so any of them may be forgotten.
  if (m_Taken.size() > m_Options.m_MostRemembered)
    m_Taken.erase(m_Taken.begin());
  m_Writer.write(Segment, [Id](const UsageTotals &) {
    logInfo("usage.written-for-another", {{"window", Id.m_Window},
                                          {"incarnation", Id.m_Incarnation},
                                          {"segment", Id.m_Number}});
  });
}

} // namespace dotterel
