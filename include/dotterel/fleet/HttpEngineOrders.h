//===- HttpEngineOrders.h - Orders to engines over HTTP ---------*- C++ -*-===//
///
/// \file
/// Sends orders to engines by their HTTP interface.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_HTTPENGINEORDERS_H
#define DOTTEREL_FLEET_HTTPENGINEORDERS_H

#include "dotterel/fleet/Order.h"
#include "dotterel/io/HttpClient.h"
#include "dotterel/routing/EngineTable.h"

#include <memory>

namespace dotterel {

/// Orders to the engines in \p Engines; both arguments must outlive it.
auto makeHttpEngineOrders(HttpClient &Client, const EngineTable &Engines)
    -> std::unique_ptr<OrderChannel>;

} // namespace dotterel

#endif // DOTTEREL_FLEET_HTTPENGINEORDERS_H
