//===- HttpPlatformOrders.h - Orders to the platform ------------*- C++ -*-===//
///
/// \file
/// Orders the platform, by its HTTP interface, to start and stop backend
/// servers.
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

/// Orders about the servers in \p Engines; the references must outlive it.
/// Shape of an order: `{"order":"5.1","backend":"e1","data_centre":"ghent",
/// "state":"running","fencing":12}`.
auto makeHttpPlatformOrders(HttpClient &Client, const EngineTable &Engines,
                            std::string PlatformUrl)
    -> std::unique_ptr<OrderChannel>;

} // namespace dotterel

#endif // DOTTEREL_FLEET_HTTPPLATFORMORDERS_H
