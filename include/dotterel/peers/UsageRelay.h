//===- UsageRelay.h - Usage written by another host -------------*- C++ -*-===//
///
/// \file
/// Hands usage segments over to other hosts while this one cannot reach the
/// store.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_USAGERELAY_H
#define DOTTEREL_PEERS_USAGERELAY_H

#include "dotterel/base/Random.h"
#include "dotterel/peers/DatagramPort.h"
#include "dotterel/peers/HostMessage.h"
#include "dotterel/peers/HostRegistry.h"
#include "dotterel/usage/SegmentWriter.h"

#include <functional>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace dotterel {

struct UsageRelayOptions {
  SegmentWriterOptions m_Writer;
  /// A segment that the store has not confirmed for this time is handed over: a
  /// call to a slow store takes less.
  Duration m_HandOverDelay = Milliseconds(1500);
  /// Interval between two handovers of a segment.
  Duration m_Interval = Milliseconds(1000);
  /// Number of hosts that receive a segment each time. They are chosen again
  /// each time, since some of them may have lost the store too.
  std::size_t m_TargetCount = 2;
  /// Maximum number of segments of other hosts that are remembered, so that
  /// each is written once.
  std::size_t m_MaxAcceptedSegments = 4096;
};

/// Hands over the segments of this host and writes those of other hosts. A
/// segment is stored once, regardless of which host writes it: see
/// SegmentWriter.
class UsageRelay {
public:
  /// Returns the segments that the store has not confirmed for a time.
  using OverdueSegments = std::function<std::vector<UsageSegment>(Duration)>;

  UsageRelay(Scheduler &Scheduler, KeyValueStore &Store, DatagramPort &Port,
             Random &Random, const HostRegistry &Registry,
             OverdueSegments OverdueSegments, const UsageRelayOptions &Options);

  auto start() -> void;

  /// Writes a segment of another host.
  auto receive(const UsageSegment &Segment) -> void;

private:
  auto handOverOverdue() -> void;

  DatagramPort &m_Port;
  Scheduler &m_Scheduler;
  Random &m_Random;
  const HostRegistry &m_Registry;
  OverdueSegments m_OverdueSegments;
  UsageRelayOptions m_Options;
  SegmentWriter m_Writer;
  std::set<std::pair<IncarnationId, std::uint64_t>> m_AcceptedSegments;
  std::optional<RepeatingTimer> m_Timer;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_USAGERELAY_H
