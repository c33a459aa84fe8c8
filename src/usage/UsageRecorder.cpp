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
  for (const auto &[Id, Item] : m_Held)
    m_Scheduler.cancel(Item.m_Deadline);
}

auto UsageRecorder::openSegment() -> void {
  m_Open = {};
  m_Open.m_Id = {.m_Window = windowAt(m_Scheduler.wallNow(),
                                      m_Options.m_Writer.m_WindowLength),
                 .m_Incarnation = m_Incarnation,
                 .m_Number = ++m_LastSegment};
}

auto UsageRecorder::record(const UsageKey &Key, const UsageFigures &Figures,
                           std::function<void()> Done) -> void {
  closeEnded();
  m_Open.m_Totals[Key] += Figures;
  auto Id = ++m_LastHeld;
  auto Deadline = m_Scheduler.schedule(m_Options.m_CopyDeadline, [this, Id] {
    ++m_Uncopied;
    release(Id);
  });
  m_Held[Id] = {.m_Done = std::move(Done), .m_Deadline = Deadline};
  m_ToCopy.push_back(Id);
  copySoon();
}

auto UsageRecorder::copySoon() -> void {
  if (m_Copying || m_ToCopy.empty())
    return;
  m_Copying = true;
  copy();
}

auto UsageRecorder::copy() -> void {
  auto Covered = std::exchange(m_ToCopy, {});
  m_Open.m_ConfirmedBelow =
      m_Writing.empty() ? m_Open.m_Id.m_Number : m_Writing.begin()->first;
  m_Copier(m_Open, [this, Alive = std::weak_ptr(m_Alive),
                    Covered = std::move(Covered)](bool Arrived) {
    if (Alive.expired())
      return;
    m_Copying = false;
    // Counts that did not arrive wait for their deadline or for the flush.
    if (Arrived)
      for (auto Id : Covered)
        release(Id);
    copySoon();
  });
}

auto UsageRecorder::release(std::uint64_t Id) -> void {
  auto Found = m_Held.find(Id);
  if (Found == m_Held.end())
    return;
  auto Item = std::move(Found->second);
  m_Held.erase(Found);
  m_Scheduler.cancel(Item.m_Deadline);
  Item.m_Done();
}

auto UsageRecorder::flush() -> void {
  if (m_Open.m_Totals.empty()) {
    openSegment();
    return;
  }
  write();
}

auto UsageRecorder::write() -> void {
  auto Segment = std::move(m_Open);
  openSegment();
  auto Number = Segment.m_Id.m_Number;
  m_Writing[Number] = {.m_Segment = Segment, .m_At = m_Scheduler.now()};
  auto Totals = Segment.m_Totals;
  m_Writer.write(std::move(Segment),
                 [this, Totals, Number](const UsageTotals &Stored) {
                   m_Writing.erase(Number);
                   // Another host wrote its earlier copy for us: what it lacks
                   // is counted in the open segment.
                   addTotals(m_Open.m_Totals, subtractTotals(Totals, Stored));
                   settle();
                 });
}

auto UsageRecorder::closeEnded() -> void {
  if (m_Open.m_Id.m_Window !=
      windowAt(m_Scheduler.wallNow(), m_Options.m_Writer.m_WindowLength))
    write();
}

auto UsageRecorder::overdue(Duration Age) const -> std::vector<UsageSegment> {
  auto Result = std::vector<UsageSegment>();
  for (const auto &[Number, Item] : m_Writing)
    if (m_Scheduler.now() - Item.m_At >= Age)
      Result.push_back(Item.m_Segment);
  return Result;
}

auto UsageRecorder::settle() -> void {
  if (!m_Writing.empty())
    return;
  if (m_OnDrained.empty())
    return;
  if (!m_Open.m_Totals.empty()) {
    flush();
    return;
  }
  for (auto &Done : std::exchange(m_OnDrained, {}))
    Done();
}

auto UsageRecorder::drain(std::function<void()> Done) -> void {
  m_OnDrained.push_back(std::move(Done));
  settle();
}

} // namespace dotterel
