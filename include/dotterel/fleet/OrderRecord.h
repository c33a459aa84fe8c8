//===- OrderRecord.h - Record of an order in the store ----------*- C++ -*-===//
///
/// \file
/// The record that is stored before an order is sent.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_ORDERRECORD_H
#define DOTTEREL_FLEET_ORDERRECORD_H

#include "dotterel/fleet/Order.h"

#include <set>
#include <string>

namespace dotterel {

/// One incarnation of a steward process: `host/steward#incarnation`.
using SenderId = TextId<struct SenderTag>;

/// The newest order of one kind about one backend server.
///
/// \invariant A different order replaces this one only if m_Senders is empty or
/// the target checks fencing tokens.
struct OrderRecord {
  OrderId m_Order; ///< Empty if there was none yet.
  Directive m_Directive;
  /// The target's incarnation when the order was recorded.
  std::string m_Incarnation;
  bool m_Accepted = false; ///< Whether any sender saw it accepted.
  /// Processes that may have copies of the order in flight.
  std::set<SenderId> m_Senders;

  /// Returns whether no copy of the order can be in flight.
  [[nodiscard]] auto isComplete() const -> bool { return m_Senders.empty(); }
};

/// Encodes a record as a JSON document.
auto encodeOrderRecord(const OrderRecord &Value) -> std::string;

/// Decodes a record.
///
/// \throws ProtocolError 301 for a malformed document.
auto decodeOrderRecord(const std::string &Document) -> OrderRecord;

} // namespace dotterel

#endif // DOTTEREL_FLEET_ORDERRECORD_H
