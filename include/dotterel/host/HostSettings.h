//===- HostSettings.h - Settings of a serving host --------------*- C++ -*-===//
///
/// \file
/// Location, addresses, limits and promised bounds of a serving host.
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

/// Service bounds that are promised to the operators of the deployment.
struct ServiceBounds {
  /// Maximum time until a withdrawn key stops working.
  Duration m_KeyWithdrawal = Seconds(5);
  /// Whether that bound also applies to hosts that cannot reach the store.
  bool m_StrictWithdrawal = true;
  /// Maximum time until a leaving backend server gets no new requests.
  Duration m_Drain = Seconds(3);
  /// Time from SIGTERM to SIGKILL.
  Duration m_ShutdownGrace = Seconds(8);
  /// Maximum extra attempts, as a share of a service's requests in a window.
  double m_RetryRatio = 0.2;
  Duration m_RetryWindow = Seconds(10);
  /// Extra attempts allowed in a window in addition to that share, over all
  /// hosts.
  double m_RetryExtra = 0;
  /// Minimum time between actions of two holders of the duty that alternate.
  Duration m_DutyTerm = Seconds(3);
  /// Whether the platform and the engines refuse orders whose fencing token is
  /// lower than one that they have received.
  bool m_ChecksFencing = false;
  Duration m_UsageWindow = Seconds(5);
  /// Maximum time between the end of a window and its report.
  Duration m_UsageDue = Seconds(10);

  /// Windows in which the limits of organisations must hold.
  Duration m_LimitWindow = Seconds(8);
  /// Amount by which a window may exceed a limit: this share of the limit, and
  /// a fixed amount in the limit's unit.
  double m_LimitOvershoot = 0;
  double m_LimitSlack = 0;

  auto operator==(const ServiceBounds &) const -> bool = default;
};

struct HostSettings {
  Location m_Location;
  std::string m_CallerAddress;    ///< IP:PORT to listen on for callers.
  std::string m_ReadinessAddress; ///< IP:PORT for readiness checks.
  std::string m_PeerAddress;      ///< IP:PORT for datagrams between hosts.
  std::string m_StoreAddress;
  std::string m_FleetAddress; ///< Receives usage reports and server orders.
  std::uint32_t m_MemoryMegabytes = 256;
  std::uint32_t m_MaxDescriptors = 1024;
  std::map<DataCentreId, RegionId> m_Regions;
  ServiceBounds m_Bounds;

  auto operator==(const HostSettings &) const -> bool = default;
};

} // namespace dotterel

#endif // DOTTEREL_HOST_HOSTSETTINGS_H
