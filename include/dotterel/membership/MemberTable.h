//===- MemberTable.h - Known processes and their liveness -------*- C++ -*-===//
///
/// \file
/// Merges the records received by gossip and determines which processes are
/// live.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_MEMBERSHIP_MEMBERTABLE_H
#define DOTTEREL_MEMBERSHIP_MEMBERTABLE_H

#include "dotterel/base/Random.h"
#include "dotterel/membership/Member.h"

#include <cstddef>
#include <map>
#include <vector>

namespace dotterel {

struct MemberTableOptions {
  /// A process whose heartbeat has not increased for this long is not live.
  Duration m_LivenessTimeout = Seconds(5);
  /// A process whose heartbeat has not increased for this long is removed.
  Duration m_RemovalTimeout = Seconds(120);
  /// Maximum number of records in one view, including the own one; bounds the
  /// size of a message.
  std::size_t m_MaxViewRecords = 8;
};

/// The table of known processes.
///
/// \invariant A record is replaced only by one that is newerThan() it.
class MemberTable {
public:
  MemberTable(Member Self, const MemberTableOptions &Options);

  [[nodiscard]] auto self() -> Member & { return m_Self; }
  [[nodiscard]] auto self() const -> const Member & { return m_Self; }

  /// Increments the own heartbeat and removes processes whose heartbeats have
  /// not increased for too long.
  auto advanceHeartbeat(MonotonicTime Now) -> void;

  /// Adds \p Record, or replaces an older record of the same process.
  /// Complexity: logarithmic.
  auto merge(const Member &Record, MonotonicTime Now) -> void;

  /// Returns the live processes other than the own one. Complexity: linear.
  [[nodiscard]] auto live(MonotonicTime Now) const -> std::vector<Member>;

  /// Returns the live processes of a role that are not leaving, other than the
  /// own one. Complexity: linear.
  [[nodiscard]] auto serving(ProcessRole Role, MonotonicTime Now) const
      -> std::vector<Member>;

  /// Returns the live process \p Process, or null if there is none. Complexity:
  /// logarithmic.
  [[nodiscard]] auto findLive(const ProcessId &Process, MonotonicTime Now) const
      -> const Member *;

  /// Returns when the heartbeat of \p Process last increased; the epoch of the
  /// clock if the process is unknown.
  [[nodiscard]] auto lastHeartbeatAt(const ProcessId &Process) const
      -> MonotonicTime;

  /// Returns the own record and a random selection of live ones, limited in
  /// number.
  [[nodiscard]] auto view(Random &Random, MonotonicTime Now) const
      -> std::vector<Member>;

private:
  struct Entry {
    Member m_Record;
    MonotonicTime m_HeartbeatAt;
  };

  Member m_Self;
  MemberTableOptions m_Options;
  std::map<ProcessId, Entry> m_Entries;
};

/// Returns \p Members ordered by rendezvous hashing for \p Subject. The order
/// depends only on the set, so that processes with equal views agree without
/// communication.
auto rendezvousOrder(const std::string &Subject,
                     const std::vector<Member> &Members) -> std::vector<Member>;

} // namespace dotterel

#endif // DOTTEREL_MEMBERSHIP_MEMBERTABLE_H
