//===- SegmentReplicas.h - Replicas of usage segments -----------*- C++ -*-===//
///
/// \file
/// Keeps replicas of other gates' usage segments and writes those that their
/// gates no longer update.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_USAGE_SEGMENTREPLICAS_H
#define DOTTEREL_USAGE_SEGMENTREPLICAS_H

#include "dotterel/usage/SegmentWriter.h"

#include <map>

namespace dotterel {

struct SegmentReplicasOptions {
  SegmentWriterOptions m_Writer;
  /// Time without an update after which a replica is written to the store. By
  /// then the gate has flushed the segment itself, unless it has crashed or is
  /// disconnected. The store keeps only one of the two writes.
  Duration m_WriteAfter = Seconds(12);
};

/// Replicas of the open segments of other gates.
class SegmentReplicas {
public:
  SegmentReplicas(Scheduler &Scheduler, KeyValueStore &Store,
                  const SegmentReplicasOptions &Options)
      : m_Scheduler(Scheduler), m_Options(Options),
        m_Writer(Scheduler, Store, Options.m_Writer) {}

  /// Adds a replica, or replaces an earlier replica of the same segment.
  /// Removes the replicas of segments that the gate has already written.
  auto update(const UsageSegment &Segment) -> void;

  /// Writes the replicas that were not updated for
  /// SegmentReplicasOptions::m_WriteAfter.
  auto writeStale() -> void;

  /// Writes all replicas, and calls \p Done when the store has all of them.
  auto drain(std::function<void()> Done) -> void;

  [[nodiscard]] auto size() const -> std::size_t { return m_Replicas.size(); }

private:
  struct Replica {
    UsageSegment m_Segment;
    MonotonicTime m_UpdatedAt;
    bool m_Writing = false;
  };

  auto write(Replica &Item) -> void;

  Scheduler &m_Scheduler;
  SegmentReplicasOptions m_Options;
  SegmentWriter m_Writer;
  std::map<SegmentId, Replica> m_Replicas;
  std::function<void()> m_OnDrained;
};

} // namespace dotterel

#endif // DOTTEREL_USAGE_SEGMENTREPLICAS_H
