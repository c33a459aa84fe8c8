#include "dotterel/usage/UsageRecorder.h"

#include "dotterel/usage/UsageKeys.h"

#include <utility>

namespace dotterel {

UsageRecorder::UsageRecorder(Scheduler &Scheduler, KeyValueStore &Store,
                             IncarnationId Incarnation, SegmentCopier Copier,
                             const UsageRecorderOptions &Options)
    : m_Scheduler(Scheduler), m_Incarnation(std::move(Incarnation)),
      m_Copier(std::move(Copier)), m_Options(Options),
      m_Writer(Scheduler, Store, Options.m_Writer),
      m_FlushTimer(Scheduler, Options.m_FlushInterval, [this] { flush(); }),
      m_Alive(std::make_shared<bool>(true)) {
  openSegment();
}

UsageRecorder::~UsageRecorder() {
  for (const auto &[Id, Item] : m_Pending)
    m_Scheduler.cancel(Item.m_Deadline);
}

auto UsageRecorder::openSegment() -> void {
  m_OpenSegment = {};
  m_OpenSegment.m_Id = {.m_Window = windowAt(m_Scheduler.wallNow(),
                                             m_Options.m_Writer.m_WindowLength),
                        .m_Incarnation = m_Incarnation,
                        .m_Number = ++m_LastSegment};
}

auto UsageRecorder::record(const UsageKey &Key, const UsageFigures &Figures,
                           std::function<void()> Done) -> void {
  flushEndedWindow();
  m_OpenSegment.m_Totals[Key] += Figures;
  auto Id = ++m_LastRecordId;
  auto Deadline = m_Scheduler.schedule(m_Options.m_CopyTimeout, [this, Id] {
    ++m_Uncopied;
    complete(Id);
  });
  m_Pending[Id] = {.m_Done = std::move(Done), .m_Deadline = Deadline};
  m_AwaitingCopy.push_back(Id);
  startCopy();
}

auto UsageRecorder::startCopy() -> void {
  if (m_Copying || m_AwaitingCopy.empty())
    return;
  m_Copying = true;
  copyOpenSegment();
}

auto UsageRecorder::copyOpenSegment() -> void {
  auto RecordIds = std::exchange(m_AwaitingCopy, {});
  m_OpenSegment.m_ConfirmedBelow = m_Writing.empty()
                                       ? m_OpenSegment.m_Id.m_Number
                                       : m_Writing.begin()->first;
  m_Copier(m_OpenSegment, [this, Alive = std::weak_ptr(m_Alive),
                           RecordIds = std::move(RecordIds)](bool Received) {
    if (Alive.expired())
      return;
    m_Copying = false;
    // Records that were not copied wait for their deadline; the next flush
    // stores their counts.
    if (Received)
      for (auto Id : RecordIds)
        complete(Id);
    startCopy();
  });
}

auto UsageRecorder::complete(std::uint64_t Id) -> void {
  auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end())
    return;
  auto Item = std::move(Found->second);
  m_Pending.erase(Found);
  m_Scheduler.cancel(Item.m_Deadline);
  Item.m_Done();
}

auto UsageRecorder::flush() -> void {
  if (m_OpenSegment.m_Totals.empty()) {
    openSegment();
    return;
  }
  writeOpenSegment();
}

auto UsageRecorder::writeOpenSegment() -> void {
  auto Segment = std::move(m_OpenSegment);
  openSegment();
  auto Number = Segment.m_Id.m_Number;
  m_Writing[Number] = {.m_Segment = Segment, .m_EndedAt = m_Scheduler.now()};
  auto Totals = Segment.m_Totals;
  m_Writer.write(std::move(Segment),
                 [this, Totals, Number](const auto &Stored) {
                   m_Writing.erase(Number);
                   // If another host has written an earlier copy of the
                   // segment, the counts missing from it are added to the open
                   // segment.
                   addTotals(m_OpenSegment.m_Totals,
                             subtractTotals(Totals, Stored.value_or(Totals)));
                   finishDrain();
                 });
}

auto UsageRecorder::flushEndedWindow() -> void {
  if (m_OpenSegment.m_Id.m_Window !=
      windowAt(m_Scheduler.wallNow(), m_Options.m_Writer.m_WindowLength))
    writeOpenSegment();
}

auto UsageRecorder::overdue(Duration Age) const -> std::vector<UsageSegment> {
  auto Result = std::vector<UsageSegment>();
  for (const auto &[Number, Item] : m_Writing)
    if (m_Scheduler.now() - Item.m_EndedAt >= Age)
      Result.push_back(Item.m_Segment);
  return Result;
}

auto UsageRecorder::recordStored(const UsageSegment &Segment) -> bool {
  return m_Writer.recordStored(Segment);
}

auto UsageRecorder::finishDrain() -> void {
  if (!m_Writing.empty())
    return;
  if (m_OnDrained.empty())
    return;
  if (!m_OpenSegment.m_Totals.empty()) {
    flush();
    return;
  }
  for (auto &Done : std::exchange(m_OnDrained, {}))
    Done();
}

auto UsageRecorder::drain(std::function<void()> Done) -> void {
  m_OnDrained.push_back(std::move(Done));
  finishDrain();
}

} // namespace dotterel
