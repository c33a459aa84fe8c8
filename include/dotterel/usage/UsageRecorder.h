//===- UsageRecorder.h - Counts usage at a gate -----------------*- C++ -*-===//
///
/// \file
/// Counts usage in segments, and copies each count to another host before the
/// caller gets the end of its answer.
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
  /// An answer waits no longer than this for its count to be copied.
  Duration m_CopyDeadline = Milliseconds(800);
};

/// Copies a segment to another host; answers whether it arrived.
using SegmentCopier =
    std::function<void(const UsageSegment &, std::function<void(bool)>)>;

/// Usage of one incarnation of a gate.
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

  /// Counts, and calls \p Done when the count is on another host, or when the
  /// deadline has passed without one: then a kill of this process can lose it
  /// until the next flush.
  auto record(const UsageKey &Key, const UsageFigures &Figures,
              std::function<void()> Done) -> void;

  /// Writes the open segment to the store and opens a new one.
  auto flush() -> void;

  /// Writes the open segment if its window has ended, also an empty one: then
  /// it is known that this host has counted all.
  auto closeEnded() -> void;

  /// Flushes and calls \p Done once everything stands in the store.
  auto drain(std::function<void()> Done) -> void;

  /// Segments that the store has not confirmed.
  [[nodiscard]] auto unconfirmed() const -> std::size_t {
    return m_Writing.size() + (m_Open.m_Totals.empty() ? 0 : 1);
  }

  /// Segments that the store has not confirmed within \p Age of their end.
  [[nodiscard]] auto overdue(Duration Age) const -> std::vector<UsageSegment>;

  /// Counts whose copy was not confirmed in time, so far.
  [[nodiscard]] auto uncopied() const -> std::uint64_t { return m_Uncopied; }

private:
  struct Held {
    std::function<void()> m_Done;
    TimerId m_Deadline;
  };

  auto openSegment() -> void;
  auto write() -> void;
  auto copySoon() -> void;
  auto copy() -> void;
  auto release(std::uint64_t Id) -> void;
  auto settle() -> void;

  Scheduler &m_Scheduler;
  IncarnationId m_Incarnation;
  SegmentCopier m_Copier;
  UsageRecorderOptions m_Options;
  SegmentWriter m_Writer;
  UsageSegment m_Open;
  std::uint64_t m_LastSegment = 0;
  struct Ended {
    UsageSegment m_Segment;
    MonotonicTime m_At;
  };
  std::map<std::uint64_t, Ended> m_Writing; ///< By number.
  std::map<std::uint64_t, Held> m_Held;
  std::uint64_t m_LastHeld = 0;
  std::vector<std::uint64_t> m_ToCopy;
  bool m_Copying = false;
  std::uint64_t m_Uncopied = 0;
  std::vector<std::function<void()>> m_OnDrained;
  RepeatingTimer m_FlushTimer;
  std::shared_ptr<bool> m_Alive;
};

} // namespace dotterel

#endif // DOTTEREL_USAGE_USAGERECORDER_H
