//===- MemberTable.h - Known processes and their liveness -------*- C++ -*-===//
///
/// \file
/// Merges the records that arrive by gossip and judges who is live.
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
  /// A process whose heartbeat has not risen for this long is not live.
  Duration m_SuspectAfter = Seconds(5);
  /// A process whose heartbeat has not risen for this long is forgotten.
  Duration m_ForgetAfter = Seconds(120);
  /// Records in one view, the own one included; bounds a message's size.
  std::size_t m_ViewSize = 8;
};

/// Known processes.
///
/// \invariant A record is replaced only by one that is newerThan() it.
class MemberTable {
public:
  MemberTable(Member Self, const MemberTableOptions &Options);

  [[nodiscard]] auto self() -> Member & { return m_Self; }
  [[nodiscard]] auto self() const -> const Member & { return m_Self; }

  /// Raises the own heartbeat and forgets processes that have been silent.
  auto beat(MonotonicTime Now) -> void;

  /// Takes \p Record in if it is newer. Complexity: logarithmic.
  auto merge(const Member &Record, MonotonicTime Now) -> void;

  /// Live processes other than the own one. Complexity: linear.
  [[nodiscard]] auto live(MonotonicTime Now) const -> std::vector<Member>;

  /// Live processes of a role that are not leaving, other than the own one.
  /// Complexity: linear.
  [[nodiscard]] auto serving(ProcessRole Role, MonotonicTime Now) const
      -> std::vector<Member>;

  /// The live process \p Process, if known. Complexity: logarithmic.
  [[nodiscard]] auto findLive(const ProcessId &Process, MonotonicTime Now) const
      -> const Member *;

  /// When the heartbeat of \p Process last rose; the clock's epoch if unknown.
  [[nodiscard]] auto lastHeard(const ProcessId &Process) const -> MonotonicTime;

  /// The own record and a random choice of live ones, bounded in number.
  [[nodiscard]] auto view(Random &Random, MonotonicTime Now) const
      -> std::vector<Member>;

private:
  struct Entry {
    Member m_Record;
    MonotonicTime m_Heard;
  };

  Member m_Self;
  MemberTableOptions m_Options;
  std::map<ProcessId, Entry> m_Entries;
};

/// The live gates ordered by their claim to \p Subject: a pure function of the
/// set, so that processes with equal views agree without talking.
auto rendezvousOrder(const std::string &Subject,
                     const std::vector<Member> &Members) -> std::vector<Member>;

} // namespace dotterel

#endif // DOTTEREL_MEMBERSHIP_MEMBERTABLE_H
