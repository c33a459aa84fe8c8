//===- Member.h - Record of one process -------------------------*- C++ -*-===//
///
/// \file
/// The record that processes exchange about each other.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_MEMBERSHIP_MEMBER_H
#define DOTTEREL_MEMBERSHIP_MEMBER_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <cstdint>
#include <string>

namespace dotterel {

using ProcessId = TextId<struct ProcessTag>;

enum class ProcessRole : std::uint8_t { Gate, Steward };

/// Where a process runs.
struct Location {
  HostId m_Host;
  DataCentreId m_DataCentre;
  RegionId m_Region;

  auto operator==(const Location &) const -> bool = default;
};

/// The state of a process that it reported at one heartbeat.
struct Member {
  ProcessId m_Process;
  Location m_Location;
  ProcessRole m_Role = ProcessRole::Gate;
  std::string m_Address; ///< Address of its RPC server, `IP:PORT`.
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Heartbeat = 0;
  bool m_Leaving = false;
  ConfigRevision m_ConfigRevision;
  /// Whether the newest read of the store by the process failed, within the
  /// freshness bound.
  bool m_StoreLost = false;
  std::uint64_t m_PrefillTokensPerSecond = 0;
  std::uint64_t m_DecodeTokensPerSecond = 0;

  /// Returns whether this record replaces \p Other of the same process.
  [[nodiscard]] auto newerThan(const Member &Other) const -> bool {
    if (m_Incarnation != Other.m_Incarnation)
      return m_Incarnation > Other.m_Incarnation;
    return m_Heartbeat > Other.m_Heartbeat;
  }
};

} // namespace dotterel

#endif // DOTTEREL_MEMBERSHIP_MEMBER_H
