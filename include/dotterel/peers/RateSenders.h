//===- RateSenders.h - Hosts that share servers' request rates --*- C++ -*-===//
///
/// \file
/// Derives from the registered hosts which of them share the request rates of
/// servers.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_RATESENDERS_H
#define DOTTEREL_PEERS_RATESENDERS_H

#include "dotterel/peers/HostRegistry.h"
#include "dotterel/routing/ServerRateLimits.h"

namespace dotterel {

/// Sets the senders of \p Limits to the registered hosts, and its term to the
/// one in which the others count this host among them. Has no effect before the
/// registered hosts have been read. Complexity: linear in their number.
auto updateSenders(const HostRegistry &Hosts, ServerRateLimits &Limits,
                   MonotonicTime Now) -> void;

} // namespace dotterel

#endif // DOTTEREL_PEERS_RATESENDERS_H
