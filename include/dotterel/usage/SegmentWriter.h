//===- SegmentWriter.h - Writes a usage segment once ------------*- C++ -*-===//
///
/// \file
/// Brings a segment into the store so that it is counted exactly once, by
/// whichever process writes it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_USAGE_SEGMENTWRITER_H
#define DOTTEREL_USAGE_SEGMENTWRITER_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/store/KeyValueStore.h"
#include "dotterel/usage/Usage.h"

#include <functional>
#include <memory>

namespace dotterel {

struct SegmentWriterOptions {
  Seconds m_WindowLength{60};
  /// Pause after a failed call, doubled after each further one up to the
  /// longest: all hosts try at once when the store is down.
  Duration m_RetryDelay = Milliseconds(200);
  Duration m_LongestRetryDelay = Milliseconds(1600);
};

/// Writes segments, retrying until the store has decided.
///
/// A segment stands under its own window's key while that window is open, or
/// else under a late key of a window that is still open. The transactions
/// compare each other's keys, so at most one of the two is ever written.
class SegmentWriter {
public:
  /// Gets the totals that the store holds for the segment: those given, or an
  /// earlier copy that another process wrote.
  using Done = std::function<void(const UsageTotals &)>;

  SegmentWriter(Scheduler &Scheduler, KeyValueStore &Store,
                const SegmentWriterOptions &Options)
      : m_Scheduler(Scheduler), m_Store(Store), m_Options(Options) {}
  SegmentWriter(const SegmentWriter &) = delete;
  auto operator=(const SegmentWriter &) -> SegmentWriter & = delete;
  ~SegmentWriter() { *m_Alive = false; }

  auto write(UsageSegment Segment, Done Done) -> void;

private:
  struct Job {
    UsageSegment m_Segment;
    Done m_Done;
    std::uint32_t m_Failures = 0; ///< In a row.
  };
  using JobPtr = std::shared_ptr<Job>;

  auto writeOnTime(const JobPtr &Item) -> void;
  auto inspect(const JobPtr &Item) -> void;
  auto writeLate(const JobPtr &Item) -> void;
  auto finishMoved(const JobPtr &Item) -> void;
  auto retry(const JobPtr &Item) -> void;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  SegmentWriterOptions m_Options;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_USAGE_SEGMENTWRITER_H
