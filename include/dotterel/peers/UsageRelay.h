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
#include <map>
#include <optional>
#include <string>
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

/// Access to the usage that this host records.
struct UsageRelayHooks {
  /// Returns the segments that the store has not confirmed for a time.
  std::function<std::vector<UsageSegment>(Duration)> m_Overdue;
  /// Gets a segment that another host has written. Returns whether it is one of
  /// this host.
  std::function<bool(const UsageSegment &)> m_OnStored;
};

/// Hands over the segments of this host and writes those of other hosts. A
/// segment is stored once, regardless of which host writes it: see
/// SegmentWriter. The host that has written a segment returns it, with the
/// totals that the store holds, to the host that it is from.
class UsageRelay {
public:
  UsageRelay(Scheduler &Scheduler, KeyValueStore &Store, DatagramPort &Port,
             Random &Random, const HostRegistry &Registry,
             UsageRelayHooks Hooks, const UsageRelayOptions &Options);

  auto start() -> void;

  /// Processes a segment received from \p Address: writes one of another host,
  /// and takes one of this host as written.
  auto receive(const UsageSegment &Segment, const std::string &Address) -> void;

private:
  auto handOverOverdue() -> void;
  auto send(const UsageSegment &Segment, const std::string &Address) -> void;

  DatagramPort &m_Port;
  Scheduler &m_Scheduler;
  Random &m_Random;
  const HostRegistry &m_Registry;
  UsageRelayHooks m_Hooks;
  UsageRelayOptions m_Options;
  SegmentWriter m_Writer;
  /// Segments of other hosts, by incarnation and number, with the totals that
  /// the store holds once they are written.
  std::map<std::pair<IncarnationId, std::uint64_t>, std::optional<UsageTotals>>
      m_AcceptedSegments;
  std::optional<RepeatingTimer> m_Timer;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_USAGERELAY_H
