//===- Order.h - Orders and their channel -----------------------*- C++ -*-===//
///
/// \file
/// What a steward orders about a backend server, and how orders reach the
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

/// What an order asks for: a role's name for an engine, `running` or `stopped`
/// for the platform.
using Directive = TextId<struct DirectiveTag>;

/// An order about one backend server. Two with one id are the same order.
struct BackendOrder {
  OrderId m_Id;
  Directive m_Directive;
  /// Store revision of the intent: higher for each later order, whoever
  /// gives it.
  FencingNumber m_Fencing;
};

enum class OrderAnswer : std::uint8_t {
  Accepted,
  Refused, ///< The target has seen a higher number.
  NotSent, ///< No byte left.
  Unknown, ///< It may have arrived, or may yet.
};

/// What the target says of the orders it had.
struct TargetState {
  std::string m_Incarnation;
  OrderId m_LastOrder; ///< Empty when there was none.
  /// What is in force, where that can change without an order, as when the
  /// platform reclaims a server. Then the same may have to be ordered anew.
  std::optional<Directive> m_InForce;
};

/// The way to what executes orders.
class OrderChannel {
public:
  virtual ~OrderChannel() = default;

  virtual auto send(const BackendId &Target, const BackendOrder &Order,
                    std::function<void(OrderAnswer)> Done) -> void = 0;
  virtual auto readBack(const BackendId &Target,
                        std::function<void(std::optional<TargetState>)> Done)
      -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_ORDER_H
