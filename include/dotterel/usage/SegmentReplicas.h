//===- ReplicaHolder.h - Copies of other hosts' usage -----------*- C++ -*-===//
///
/// \file
/// Keeps copies of other gates' segments and writes those of gates that died.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_USAGE_REPLICAHOLDER_H
#define DOTTEREL_USAGE_REPLICAHOLDER_H

#include "dotterel/usage/SegmentWriter.h"

#include <map>

namespace dotterel {

struct ReplicaHolderOptions {
  SegmentWriterOptions m_Writer;
  /// A segment whose copy was not renewed for this long is written. Its gate
  /// has flushed it by then, unless it died or was cut off; the store keeps
  /// one of the two writes.
  Duration m_WriteAfter = Seconds(12);
};

/// Copies of segments.
class ReplicaHolder {
public:
  ReplicaHolder(Scheduler &Scheduler, KeyValueStore &Store,
                const ReplicaHolderOptions &Options)
      : m_Scheduler(Scheduler), m_Options(Options),
        m_Writer(Scheduler, Store, Options.m_Writer) {}

  /// Takes a copy in; a later copy of the same segment replaces an earlier one.
  auto keep(const UsageSegment &Segment) -> void;

  /// Writes what has not been renewed for long.
  auto writeOld() -> void;

  /// Writes everything that is held and calls \p Done.
  auto drain(std::function<void()> Done) -> void;

  [[nodiscard]] auto held() const -> std::size_t { return m_Copies.size(); }

private:
  struct Copy {
    UsageSegment m_Segment;
    MonotonicTime m_Renewed;
    bool m_Writing = false;
  };

  auto writeOne(Copy &Item) -> void;

  Scheduler &m_Scheduler;
  ReplicaHolderOptions m_Options;
  SegmentWriter m_Writer;
  std::map<SegmentId, Copy> m_Copies;
  std::function<void()> m_OnDrained;
};

} // namespace dotterel

#endif // DOTTEREL_USAGE_REPLICAHOLDER_H
