#include "dotterel/usage/SegmentReplicas.h"

#include <utility>

namespace dotterel {

auto ReplicaHolder::keep(const UsageSegment &Segment) -> void {
  // What the gate itself has written needs no copy, and no write of ours.
  std::erase_if(m_Copies, [&](const auto &Entry) {
    return Entry.first.m_Incarnation == Segment.m_Id.m_Incarnation &&
           Entry.first.m_Number < Segment.m_ConfirmedBelow &&
           !Entry.second.m_Writing;
  });
  auto &Item = m_Copies[Segment.m_Id];
  if (Item.m_Writing)
    return;
  Item.m_Segment = Segment;
  Item.m_Renewed = m_Scheduler.now();
}

auto ReplicaHolder::writeOld() -> void {
  auto Now = m_Scheduler.now();
  for (auto &[Id, Item] : m_Copies)
    if (!Item.m_Writing && Now - Item.m_Renewed >= m_Options.m_WriteAfter)
      writeOne(Item);
}

auto ReplicaHolder::writeOne(Copy &Item) -> void {
  Item.m_Writing = true;
  auto Id = Item.m_Segment.m_Id;
  m_Writer.write(Item.m_Segment, [this, Id](const UsageTotals &) {
    m_Copies.erase(Id);
    if (m_Copies.empty() && m_OnDrained)
      std::exchange(m_OnDrained, nullptr)();
  });
}

auto ReplicaHolder::drain(std::function<void()> Done) -> void {
  if (m_Copies.empty()) {
    Done();
    return;
  }
  m_OnDrained = std::move(Done);
  for (auto &[Id, Item] : m_Copies)
    if (!Item.m_Writing)
      writeOne(Item);
}

} // namespace dotterel
