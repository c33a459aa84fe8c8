//===- OrderCall.h - HTTP calls that carry orders ---------------*- C++ -*-===//
///
/// \file
/// What orders to engines and to the platform have in common over HTTP.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_DETAIL_ORDERCALL_H
#define DOTTEREL_FLEET_DETAIL_ORDERCALL_H

#include "dotterel/fleet/Order.h"
#include "dotterel/io/HttpClient.h"

#include <functional>
#include <string>

namespace dotterel::detail {

/// A call about orders, on a connection of its own.
auto orderCall(std::string Url) -> HttpCall;

/// Makes \p Call carry the JSON document \p Order and tell \p Done what became
/// of it: 200 is accepted, 409 refused, anything else unknown.
auto carryOrder(HttpCall &Call, std::string Order,
                std::function<void(OrderAnswer)> Done) -> void;

/// Whether the call was answered with 200.
auto answered(const HttpCallResult &Result) -> bool;

} // namespace dotterel::detail

#endif // DOTTEREL_FLEET_DETAIL_ORDERCALL_H
