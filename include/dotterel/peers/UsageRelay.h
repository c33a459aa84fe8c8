//===- UsageRelay.h - Counts that another host writes -----------*- C++ -*-===//
///
/// \file
/// Hands usage segments to other hosts while this one cannot reach the store.
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
  /// A segment that the store has not confirmed for so long is handed on: a
  /// call to a slow store takes less.
  Duration m_HandOverAfter = Milliseconds(1500);
  /// Pause between two hand-overs of a segment.
  Duration m_Interval = Milliseconds(1000);
  /// Hosts that get it each time, chosen anew: some of them may be cut off too.
  std::size_t m_Targets = 2;
  /// Segments of others that are remembered, so that each is written once.
  std::size_t m_MostRemembered = 4096;
};

/// A segment stands in the store once, whoever writes it: see SegmentWriter.
class UsageRelay {
public:
  /// Segments that the store has not confirmed for a time.
  using Overdue = std::function<std::vector<UsageSegment>(Duration)>;

  UsageRelay(Scheduler &Scheduler, KeyValueStore &Store, DatagramPort &Port,
             Random &Random, const HostRegistry &Registry, Overdue Overdue,
             const UsageRelayOptions &Options);

  auto start() -> void;

  /// Writes a segment of another host.
  auto receive(const UsageSegment &Segment) -> void;

private:
  auto step() -> void;

  DatagramPort &m_Port;
  Scheduler &m_Scheduler;
  Random &m_Random;
  const HostRegistry &m_Registry;
  Overdue m_Overdue;
  UsageRelayOptions m_Options;
  SegmentWriter m_Writer;
  std::set<std::pair<IncarnationId, std::uint64_t>> m_Taken;
  std::optional<RepeatingTimer> m_Timer;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_USAGERELAY_H
