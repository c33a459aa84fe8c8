//===- HttpPlatformOrders.h - Orders to the platform ------------*- C++ -*-===//
///
/// \file
/// Orders the platform to start and stop backend servers, through its HTTP
/// interface.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_HTTPPLATFORMORDERS_H
#define DOTTEREL_FLEET_HTTPPLATFORMORDERS_H

#include "dotterel/fleet/Order.h"
#include "dotterel/io/HttpClient.h"
#include "dotterel/routing/EngineTable.h"

#include <memory>
#include <string>

namespace dotterel {

/// Returns a channel for orders that start and stop the servers in \p Engines.
/// The references must outlive the channel. Format of an order:
/// `{"order":"5.1","backend":"e1","data_centre":"ghent",
/// "state":"running","fencing":12}`.
auto makeHttpPlatformOrders(HttpClient &Client, const EngineTable &Engines,
                            std::string PlatformUrl)
    -> std::unique_ptr<OrderChannel>;

} // namespace dotterel

#endif // DOTTEREL_FLEET_HTTPPLATFORMORDERS_H
