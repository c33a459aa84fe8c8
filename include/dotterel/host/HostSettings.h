//===- HostSettings.h - What a host is told about itself --------*- C++ -*-===//
///
/// \file
/// Place, addresses, limits and promised bounds of a serving host.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_HOST_HOSTSETTINGS_H
#define DOTTEREL_HOST_HOSTSETTINGS_H

#include "dotterel/base/Units.h"
#include "dotterel/membership/Member.h"

#include <cstdint>
#include <map>
#include <string>

namespace dotterel {

/// Bounds that the deployment's operators have been promised.
struct ServiceBounds {
  /// A withdrawn key stops working within this time.
  Duration m_KeyWithdrawal = Seconds(5);
  /// Whether that binds hosts that have lost the store as well.
  bool m_StrictWithdrawal = true;
  /// A leaving backend server gets nothing new after this time.
  Duration m_Drain = Seconds(3);
  /// Time from SIGTERM to SIGKILL.
  Duration m_ShutdownGrace = Seconds(8);
  /// Extra attempts allowed, as a share of a service's requests in a window.
  double m_RetryRatio = 0.2;
  Duration m_RetryWindow = Seconds(10);
  /// Extra attempts allowed in a window on top, over all hosts.
  double m_RetryExtra = 0;
  /// Shortest time between two holders' acts when they take turns.
  Duration m_DutyTerm = Seconds(3);
  Duration m_UsageWindow = Seconds(5);
  /// Time after a window's end within which its report is due.
  Duration m_UsageDue = Seconds(10);

  auto operator==(const ServiceBounds &) const -> bool = default;
};

struct HostSettings {
  Location m_Location;
  std::string m_CallerAddress;    ///< IP:PORT to listen on for callers.
  std::string m_ReadinessAddress; ///< IP:PORT that the balancer asks.
  std::string m_PeerAddress;      ///< IP:PORT for datagrams between hosts.
  std::string m_StoreAddress;
  std::string m_FleetAddress; ///< Takes usage reports and server orders.
  std::uint32_t m_MemoryMegabytes = 256;
  std::uint32_t m_MaximumDescriptors = 1024;
  std::map<DataCentreId, RegionId> m_Regions;
  ServiceBounds m_Bounds;

  auto operator==(const HostSettings &) const -> bool = default;
};

} // namespace dotterel

#endif // DOTTEREL_HOST_HOSTSETTINGS_H
