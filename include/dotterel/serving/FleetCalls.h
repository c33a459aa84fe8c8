//===- FleetCalls.h - Orders and reports to the platform --------*- C++ -*-===//
///
/// \file
/// Calls to the platform that only the holder of the fleet duty makes.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_FLEETCALLS_H
#define DOTTEREL_SERVING_FLEETCALLS_H

#include "dotterel/fleet/Order.h"
#include "dotterel/serving/BackendRecord.h"
#include "dotterel/usage/WindowSealer.h"

#include <functional>

namespace dotterel {

/// Time after which a call without a response ends, and nothing of it is sent
/// any more.
inline constexpr auto FleetCallTimeout = Milliseconds(1500);

/// Order for a number of servers of a service in a data centre.
struct ServerOrder {
  ServiceId m_Service;
  DataCentreId m_DataCentre;
  std::uint32_t m_Count = 0;
  /// Whether the servers are of the reclaimable kind.
  bool m_Reclaimable = false;

  auto operator==(const ServerOrder &) const -> bool = default;
};

/// Order for an engine to change its stage.
struct StageOrder {
  BackendId m_Backend;
  std::string m_Address;
  EngineStage m_Stage = EngineStage::Decode;
};

/// Response to an order for an engine.
struct StageOrderReply {
  OrderOutcome m_Outcome = OrderOutcome::NotSent;
  ServerNotice m_Notice;
};

class FleetCalls {
public:
  virtual ~FleetCalls() = default;

  virtual auto orderServers(const ServerOrder &Order, FencingNumber Fencing,
                            std::function<void(OrderOutcome)> Done) -> void = 0;
  virtual auto orderStage(SendPermit Permit, const StageOrder &Order,
                          FencingNumber Fencing,
                          std::function<void(const StageOrderReply &)> Done)
      -> void = 0;
  virtual auto reportUsage(const UsageReport &Report,
                           std::function<void(OrderOutcome)> Done) -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_FLEETCALLS_H
