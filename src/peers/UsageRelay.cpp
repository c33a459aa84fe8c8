#include "dotterel/peers/UsageRelay.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <utility>

namespace dotterel {

UsageRelay::UsageRelay(Scheduler &Scheduler, KeyValueStore &Store,
                       DatagramPort &Port, Random &Random,
                       const HostRegistry &Registry, UsageRelayHooks Hooks,
                       const UsageRelayOptions &Options)
    : m_Store(Store), m_Port(Port), m_Scheduler(Scheduler), m_Random(Random),
      m_Registry(Registry), m_Hooks(std::move(Hooks)), m_Options(Options),
      m_Writer(Scheduler, Store, Options.m_Writer) {
  m_Store.history().onRestored([this, Alive = std::weak_ptr(m_Alive)] {
    if (Alive.expired())
      return;
    // The restored store may lack what was written: what is handed over again
    // is written again.
    m_AcceptedSegments.clear();
    m_AcceptedOrder.clear();
  });
}

auto UsageRelay::start() -> void {
  m_Timer.emplace(m_Scheduler, m_Options.m_Interval,
                  [this] { handOverOverdue(); });
}

auto UsageRelay::send(decltype(HostMessage::m_Content) Content,
                      const std::string &Address) -> void {
  const auto &Self = m_Registry.self();
  m_Port.send(Address, encodeHostMessage({.m_Sender = Self.m_Host,
                                          .m_DataCentre = Self.m_DataCentre,
                                          .m_Content = std::move(Content)}));
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
  auto Found = m_AcceptedSegments.find(
      {Segment.m_Id.m_Incarnation, Segment.m_Id.m_Number});
  if (Found == m_AcceptedSegments.end()) {
    // A host that cannot write its own segments cannot write those of others.
    if (m_Hooks.m_Overdue(m_Options.m_HandOverDelay).empty())
      accept(Segment, Address);
    return;
  }
  // The first statement may have been lost.
  if (Found->second)
    sendStored({.m_Id = Segment.m_Id, .m_Totals = *Found->second}, Address);
}

auto UsageRelay::accept(const UsageSegment &Segment, const std::string &Address)
    -> void {
  const auto &Id = Segment.m_Id;
  auto Key = SegmentKey(Id.m_Incarnation, Id.m_Number);
  m_AcceptedSegments.emplace(Key, std::nullopt);
  m_AcceptedOrder.push_back(Key);
  // Writing a segment twice is harmless, so any entry may be dropped.
  if (m_AcceptedOrder.size() > m_Options.m_MaxAcceptedSegments) {
    m_AcceptedSegments.erase(m_AcceptedOrder.front());
    m_AcceptedOrder.pop_front();
  }
  m_Writer.write(Segment, [this, Id, Key, Address](const auto &Stored) {
    if (!Stored)
      return;
    logInfo("usage.written-for-another", {{"window", Id.m_Window},
                                          {"incarnation", Id.m_Incarnation},
                                          {"segment", Id.m_Number}});
    if (auto Found = m_AcceptedSegments.find(Key);
        Found != m_AcceptedSegments.end())
      Found->second = Stored;
    sendStored({.m_Id = Id, .m_Totals = *Stored}, Address);
  });
}

auto UsageRelay::sendStored(UsageSegment Segment, const std::string &Address)
    -> void {
  send(StoredSegment{.m_Segment = std::move(Segment),
                     .m_Era = m_Store.history().era()},
       Address);
}

auto UsageRelay::receive(const StoredSegment &Stored) -> void {
  const auto &Id = Stored.m_Segment.m_Id;
  if (Stored.m_Era != m_Store.history().era() ||
      !m_Hooks.m_RecordStored(Stored.m_Segment))
    return;
  logInfo("usage.stored-by-another",
          {{"window", Id.m_Window}, {"segment", Id.m_Number}});
}

} // namespace dotterel
