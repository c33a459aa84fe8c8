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

#include <deque>
#include <functional>
#include <map>
#include <memory>
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
  /// Records that the store holds a segment. Returns whether this host was
  /// writing it.
  std::function<bool(const UsageSegment &)> m_RecordStored;
};

/// Hands over the segments of this host and writes those of other hosts. A
/// segment is stored once, regardless of which host writes it: see
/// SegmentWriter. The host that has written a segment tells the host that
/// recorded it. Such a statement is never answered, and counts only for the
/// history of the store that it names.
class UsageRelay {
public:
  UsageRelay(Scheduler &Scheduler, KeyValueStore &Store, DatagramPort &Port,
             Random &Random, const HostRegistry &Registry,
             UsageRelayHooks Hooks, const UsageRelayOptions &Options);

  auto start() -> void;

  /// Writes a segment of another host, received from \p Address.
  auto receive(const UsageSegment &Segment, const std::string &Address) -> void;

  /// Records a segment of this host that another one has written.
  auto receive(const StoredSegment &Stored) -> void;

private:
  auto handOverOverdue() -> void;
  auto send(decltype(HostMessage::m_Content) Content,
            const std::string &Address) -> void;
  auto sendStored(UsageSegment Segment, const std::string &Address) -> void;
  auto accept(const UsageSegment &Segment, const std::string &Address) -> void;

  KeyValueStore &m_Store;
  DatagramPort &m_Port;
  Scheduler &m_Scheduler;
  Random &m_Random;
  const HostRegistry &m_Registry;
  UsageRelayHooks m_Hooks;
  UsageRelayOptions m_Options;
  SegmentWriter m_Writer;
  using SegmentKey = std::pair<IncarnationId, std::uint64_t>;
  /// Segments of other hosts, with the totals that the store holds once they
  /// are written.
  std::map<SegmentKey, std::optional<UsageTotals>> m_AcceptedSegments;
  std::deque<SegmentKey> m_AcceptedOrder; ///< Oldest first.
  std::optional<RepeatingTimer> m_Timer;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_USAGERELAY_H
