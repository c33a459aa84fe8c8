//===- SegmentWriter.h - Idempotent writes of usage segments ----*- C++ -*-===//
///
/// \file
/// Writes a usage segment to the store so that it is counted exactly once, even
/// if several processes write it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_USAGE_SEGMENTWRITER_H
#define DOTTEREL_USAGE_SEGMENTWRITER_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/store/KeyValueStore.h"
#include "dotterel/usage/Usage.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace dotterel {

struct SegmentWriterOptions {
  Seconds m_WindowLength{60};
  /// Delay before a retry. It doubles with each consecutive failure up to
  /// m_MaxRetryDelay, since all hosts retry at the same time while the store is
  /// unavailable.
  Duration m_RetryDelay = Milliseconds(200);
  Duration m_MaxRetryDelay = Milliseconds(1600);
  /// Number of windows whose stored segments are kept, to be stored again if
  /// the store is restored from a copy that lacks them.
  std::uint64_t m_KeptWindows = 12;
};

/// Writes segments and retries until the outcome is known.
///
/// A segment is written under the key of its own window while that window is
/// open, and otherwise under a late key of a window that is still open. The
/// first transaction requires that the segment's window is not closed, the
/// second that the segment was not written in its own window. So at most one of
/// the keys is ever written.
///
/// When the store is restored, recent segments are written again, but only to
/// their own windows: if one is closed there, it may have been reported with
/// the segment.
class SegmentWriter {
public:
  /// Receives the totals that the store holds for the segment: those passed to
  /// write(), or those of an earlier replica that another process has written.
  /// Empty if the segment was discarded.
  using DoneCallback = std::function<void(const std::optional<UsageTotals> &)>;

  SegmentWriter(Scheduler &Scheduler, KeyValueStore &Store,
                const SegmentWriterOptions &Options);
  SegmentWriter(const SegmentWriter &) = delete;
  auto operator=(const SegmentWriter &) -> SegmentWriter & = delete;
  ~SegmentWriter() { *m_Alive = false; }

  /// Writes \p Segment and calls \p Done once the store holds it. A segment
  /// that is more than WritableWindows windows old is discarded; \p Done then
  /// receives the segment's own totals.
  auto write(UsageSegment Segment, DoneCallback Done) -> void;

  /// Ends the write of \p Stored: another process reports that the store holds
  /// it with these totals. \returns false, and goes on writing, if that cannot
  /// be the segment that is being written.
  auto recordStored(const UsageSegment &Stored) -> bool;

private:
  struct Job {
    UsageSegment m_Segment;
    DoneCallback m_Done;
    std::uint32_t m_Failures = 0; ///< Number of consecutive failures.
    bool m_Again = false; ///< Whether the store had it before a restore.
    bool m_Ended = false;
  };
  using JobPtr = std::shared_ptr<Job>;

  auto writeToOwnWindow(const JobPtr &Item) -> void;
  /// Checks whether the segment's own window holds the segment already, or is
  /// closed.
  auto checkStored(const JobPtr &Item) -> void;
  auto writeToLaterWindow(const JobPtr &Item) -> void;
  auto readMovedRecord(const JobPtr &Item) -> void;
  auto retry(const JobPtr &Item) -> void;
  /// Passes the totals that the store holds to the job's callback.
  auto finish(const JobPtr &Item, const std::optional<UsageTotals> &Stored)
      -> void;
  /// Keeps a segment that its own window holds.
  auto keep(const UsageSegment &Segment) -> void;
  auto storeAgain() -> void;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  SegmentWriterOptions m_Options;
  /// Segments that are being written, by incarnation and number.
  std::map<std::pair<IncarnationId, std::uint64_t>, JobPtr> m_Jobs;
  std::deque<UsageSegment> m_Kept;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_USAGE_SEGMENTWRITER_H
