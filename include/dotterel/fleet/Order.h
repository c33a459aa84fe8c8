//===- Order.h - Orders to backend servers ----------------------*- C++ -*-===//
///
/// \file
/// Orders that a steward sends about backend servers, and the channel to the
/// engine or the platform that executes them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_ORDER_H
#define DOTTEREL_FLEET_ORDER_H

#include "dotterel/base/Ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace dotterel {

/// The state that an order requests: the name of a role for an engine,
/// `running` or `stopped` for the platform.
using Directive = TextId<struct DirectiveTag>;

/// An order about one backend server. Orders with equal identifiers are copies
/// of the same order.
struct BackendOrder {
  OrderId m_Id;
  Directive m_Directive;
  /// Store revision of the order's record. It is higher for each later order,
  /// whichever process sends it.
  FencingNumber m_Fencing;
};

/// The outcome of sending an order.
enum class OrderOutcome : std::uint8_t {
  Accepted,
  Refused,   ///< The target has received a higher fencing token.
  Rejected,  ///< Not executed, and a copy would not be either.
  Busy,      ///< Not executed, because of the target's present state.
  Throttled, ///< Not executed; the target gets too many calls.
  /// The target answered that it cannot do it now. It may have been executed,
  /// or may still be.
  Unavailable,
  NotSent, ///< No byte was sent.
  Unknown, ///< No usable answer: it may have arrived or may still arrive.
};

auto nameOf(OrderOutcome Outcome) -> const char *;

/// Returns whether the target answered, so that it could be reached.
auto isAnswered(OrderOutcome Outcome) -> bool;

/// Returns whether the order may be executed after this outcome.
auto mayStillArrive(OrderOutcome Outcome) -> bool;

/// A target's report of the orders that it has received.
struct TargetState {
  std::string m_Incarnation;
  OrderId m_LastOrder; ///< Empty if there was none.
  /// The directive in force, if that can change without an order, for example
  /// when the platform reclaims a server. The same directive may then have to
  /// be ordered again.
  std::optional<Directive> m_InForce;
};

/// Interface through which orders are sent to their targets.
class OrderChannel {
public:
  virtual ~OrderChannel() = default;

  /// Sends \p Order and calls \p Done with the outcome.
  virtual auto send(const BackendId &Target, const BackendOrder &Order,
                    std::function<void(OrderOutcome)> Done) -> void = 0;
  /// Reads the state of \p Target; passes an empty value to \p Done if that
  /// fails.
  virtual auto readState(const BackendId &Target,
                         std::function<void(std::optional<TargetState>)> Done)
      -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_ORDER_H
