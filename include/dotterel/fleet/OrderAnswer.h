//===- OrderAnswer.h - Meaning of the answers to orders ---------*- C++ -*-===//
///
/// \file
/// Maps the result of a call that orders or reports something to its outcome.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_ORDERANSWER_H
#define DOTTEREL_FLEET_ORDERANSWER_H

#include "dotterel/fleet/Order.h"
#include "dotterel/io/HttpClient.h"

#include <optional>

namespace dotterel {

/// Returns the outcome of an order. \p OutdatedTokenStatus is the only status
/// with which the target says that it has received a higher fencing token;
/// empty if it does not check tokens.
auto interpretOrderAnswer(const HttpCallResult &Result,
                          std::optional<unsigned> OutdatedTokenStatus)
    -> OrderOutcome;

} // namespace dotterel

#endif // DOTTEREL_FLEET_ORDERANSWER_H
