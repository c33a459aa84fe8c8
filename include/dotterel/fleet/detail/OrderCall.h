//===- OrderCall.h - HTTP calls that carry orders ---------------*- C++ -*-===//
///
/// \file
/// Common parts of HTTP calls that carry orders to engines and the platform.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_DETAIL_ORDERCALL_H
#define DOTTEREL_FLEET_DETAIL_ORDERCALL_H

#include "dotterel/fleet/Order.h"
#include "dotterel/io/HttpClient.h"

#include <functional>
#include <string>

namespace dotterel::detail {

/// Returns a call to \p Url, on a connection of its own.
auto makeOrderCall(std::string Url) -> HttpCall;

/// Makes \p Call send the JSON document \p Order and pass the outcome to
/// \p Done. Status 200 means accepted, 409 refused; any other response is an
/// unknown outcome.
auto setOrder(HttpCall &Call, std::string Order,
              std::function<void(OrderOutcome)> Done) -> void;

/// Returns whether the response is complete and has status 200.
auto succeeded(const HttpCallResult &Result) -> bool;

} // namespace dotterel::detail

#endif // DOTTEREL_FLEET_DETAIL_ORDERCALL_H
