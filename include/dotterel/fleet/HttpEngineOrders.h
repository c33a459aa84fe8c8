//===- HttpEngineOrders.h - Orders to engines over HTTP ---------*- C++ -*-===//
///
/// \file
/// Sends orders to engines through their HTTP interface.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_HTTPENGINEORDERS_H
#define DOTTEREL_FLEET_HTTPENGINEORDERS_H

#include "dotterel/fleet/BackendClient.h"
#include "dotterel/fleet/Order.h"
#include "dotterel/routing/EngineTable.h"

#include <memory>

namespace dotterel {

/// Returns a channel for orders to the engines in \p Engines. Both arguments
/// must outlive the channel.
auto makeHttpEngineOrders(BackendClient &Backends, const EngineTable &Engines)
    -> std::unique_ptr<OrderChannel>;

} // namespace dotterel

#endif // DOTTEREL_FLEET_HTTPENGINEORDERS_H
