#include "dotterel/usage/SegmentReplicas.h"

#include <utility>

namespace dotterel {

auto SegmentReplicas::update(const UsageSegment &Segment) -> void {
  // Segments that the gate has written itself need neither a replica nor a
  // write by this host.
  std::erase_if(m_Replicas, [&](const auto &Entry) {
    return Entry.first.m_Incarnation == Segment.m_Id.m_Incarnation &&
           Entry.first.m_Number < Segment.m_ConfirmedBelow &&
           !Entry.second.m_Writing;
  });
  auto &Item = m_Replicas[Segment.m_Id];
  if (Item.m_Writing)
    return;
  Item.m_Segment = Segment;
  Item.m_UpdatedAt = m_Scheduler.now();
}

auto SegmentReplicas::writeStale() -> void {
  auto Now = m_Scheduler.now();
  for (auto &[Id, Item] : m_Replicas)
    if (!Item.m_Writing && Now - Item.m_UpdatedAt >= m_Options.m_WriteAfter)
      write(Item);
}

auto SegmentReplicas::write(Replica &Item) -> void {
  Item.m_Writing = true;
  auto Id = Item.m_Segment.m_Id;
  m_Writer.write(Item.m_Segment, [this, Id](const auto &) {
    m_Replicas.erase(Id);
    if (m_Replicas.empty() && m_OnDrained)
      std::exchange(m_OnDrained, nullptr)();
  });
}

auto SegmentReplicas::drain(std::function<void()> Done) -> void {
  if (m_Replicas.empty()) {
    Done();
    return;
  }
  m_OnDrained = std::move(Done);
  for (auto &[Id, Item] : m_Replicas)
    if (!Item.m_Writing)
      write(Item);
}

} // namespace dotterel
