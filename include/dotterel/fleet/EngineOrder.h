//===- EngineOrder.h - Orders to engines ------------------------*- C++ -*-===//
///
/// \file
/// What a steward orders an engine to do, and how orders reach it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_ENGINEORDER_H
#define DOTTEREL_FLEET_ENGINEORDER_H

#include "dotterel/fleet/Backend.h"

#include <functional>
#include <optional>
#include <string>

namespace dotterel {

/// An order to take a role. Two orders with one id are the same order.
struct EngineOrder {
  OrderId m_Id;
  EngineRole m_Role = EngineRole::Mixed;
  /// Store revision of the intent: higher for each later order, whoever
  /// gives it.
  FencingNumber m_Fencing;
};

enum class OrderAnswer : std::uint8_t {
  Accepted,
  Refused, ///< The engine has seen a higher number.
  NotSent, ///< No byte left.
  Unknown, ///< It may have arrived, or may yet.
};

/// What an engine says of itself.
struct EngineState {
  std::string m_Incarnation;
  OrderId m_LastOrder; ///< Empty when there was none.
};

/// The way to the engines.
class EngineOrders {
public:
  virtual ~EngineOrders() = default;

  virtual auto send(const BackendId &Engine, const EngineOrder &Order,
                    std::function<void(OrderAnswer)> Done) -> void = 0;
  virtual auto readBack(const BackendId &Engine,
                        std::function<void(std::optional<EngineState>)> Done)
      -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_ENGINEORDER_H
