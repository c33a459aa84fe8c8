//===- OrderRecord.h - Intent of an order in the store ----------*- C++ -*-===//
///
/// \file
/// The record that every order goes through.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_ORDERRECORD_H
#define DOTTEREL_FLEET_ORDERRECORD_H

#include "dotterel/fleet/Order.h"

#include <set>
#include <string>

namespace dotterel {

/// One life of a steward: `host/steward#incarnation`.
using SenderId = TextId<struct SenderTag>;

/// The newest order of one kind about one backend server.
///
/// \invariant A different order replaces this one only when m_Senders is empty
/// or the target checks fencing numbers.
struct OrderRecord {
  OrderId m_Order; ///< Empty: none was given yet.
  Directive m_Directive;
  /// The target's incarnation when the order was intended.
  std::string m_Incarnation;
  bool m_Done = false; ///< Some sender saw it accepted.
  /// Processes that may have copies of the order under way.
  std::set<SenderId> m_Senders;

  [[nodiscard]] auto settled() const -> bool { return m_Senders.empty(); }
};

auto encodeOrderRecord(const OrderRecord &Value) -> std::string;

/// \throws ProtocolError 301 for a malformed document.
auto decodeOrderRecord(const std::string &Document) -> OrderRecord;

} // namespace dotterel

#endif // DOTTEREL_FLEET_ORDERRECORD_H
