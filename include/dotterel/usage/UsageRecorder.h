//===- UsageRecorder.h - Counts usage at a gate -----------------*- C++ -*-===//
///
/// \file
/// Counts usage in segments, and copies each count to another host before the
/// caller receives the end of the response.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_USAGE_USAGERECORDER_H
#define DOTTEREL_USAGE_USAGERECORDER_H

#include "dotterel/usage/SegmentWriter.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dotterel {

struct UsageRecorderOptions {
  SegmentWriterOptions m_Writer;
  Duration m_FlushInterval = Seconds(5);
  /// Maximum time that a response waits until its count is copied.
  Duration m_CopyTimeout = Milliseconds(800);
};

/// Copies a segment to another host, and calls the callback with whether the
/// other host has received it.
using SegmentCopier =
    std::function<void(const UsageSegment &, std::function<void(bool)>)>;

/// Records the usage of one incarnation of a process that serves callers.
///
/// \invariant Each count is in exactly one segment of this incarnation.
class UsageRecorder {
public:
  UsageRecorder(Scheduler &Scheduler, KeyValueStore &Store,
                IncarnationId Incarnation, SegmentCopier Copier,
                const UsageRecorderOptions &Options);

  UsageRecorder(const UsageRecorder &) = delete;
  auto operator=(const UsageRecorder &) -> UsageRecorder & = delete;
  ~UsageRecorder();

  /// Adds \p Figures to the open segment. Calls \p Done when another host has
  /// received the count, or after UsageRecorderOptions::m_CopyTimeout. After a
  /// timeout, the count is lost if this process is killed before the next
  /// flush.
  auto record(const UsageKey &Key, const UsageFigures &Figures,
              std::function<void()> Done) -> void;

  /// Writes the open segment to the store, unless it is empty, and opens a new
  /// one.
  auto flush() -> void;

  /// Writes the open segment if its window has ended, even if it is empty: the
  /// segment shows that this host has no more counts for the window.
  auto flushEndedWindow() -> void;

  /// Flushes, and calls \p Done once the store holds all counts.
  auto drain(std::function<void()> Done) -> void;

  /// Returns the number of segments that the store has not confirmed.
  [[nodiscard]] auto unconfirmed() const -> std::size_t {
    return m_Writing.size() + (m_OpenSegment.m_Totals.empty() ? 0 : 1);
  }

  /// Returns the segments that ended at least \p Age ago and that the store has
  /// not confirmed.
  [[nodiscard]] auto overdue(Duration Age) const -> std::vector<UsageSegment>;

  /// Records that the store holds a segment, as another host reports that has
  /// written it. \returns whether that ends the write of the segment.
  auto recordStored(const UsageSegment &Segment) -> bool;

  /// Returns the number of records so far that were not copied in time.
  [[nodiscard]] auto uncopied() const -> std::uint64_t { return m_Uncopied; }

private:
  /// A record whose response waits until the count is copied.
  struct PendingRecord {
    std::function<void()> m_Done;
    TimerId m_Deadline;
  };

  auto openSegment() -> void;
  auto writeOpenSegment() -> void;
  auto startCopy() -> void;
  auto copyOpenSegment() -> void;
  /// Ends the wait of a record, if it still waits, and calls its callback.
  auto complete(std::uint64_t Id) -> void;
  /// Calls the callbacks of drain() if the store holds all counts; flushes the
  /// open segment if that is what is left.
  auto finishDrain() -> void;

  Scheduler &m_Scheduler;
  IncarnationId m_Incarnation;
  SegmentCopier m_Copier;
  UsageRecorderOptions m_Options;
  SegmentWriter m_Writer;
  UsageSegment m_OpenSegment;
  std::uint64_t m_LastSegment = 0;
  struct EndedSegment {
    UsageSegment m_Segment;
    MonotonicTime m_EndedAt;
  };
  std::map<std::uint64_t, EndedSegment> m_Writing; ///< By segment number.
  std::map<std::uint64_t, PendingRecord> m_Pending;
  std::uint64_t m_LastRecordId = 0;
  std::vector<std::uint64_t> m_AwaitingCopy;
  bool m_Copying = false;
  std::uint64_t m_Uncopied = 0;
  std::vector<std::function<void()>> m_OnDrained;
  RepeatingTimer m_FlushTimer;
  std::shared_ptr<bool> m_Alive;
};

} // namespace dotterel

#endif // DOTTEREL_USAGE_USAGERECORDER_H
