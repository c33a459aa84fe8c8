//===- OpenOrders.h - Orders to engines that may be executed ----*- C++ -*-===//
///
/// \file
/// Decides which engines may be sent an order, if engines do not check fencing
/// tokens, and what the next holder of the duty has to know about it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_OPENORDERS_H
#define DOTTEREL_FLEET_OPENORDERS_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/fleet/OrderCopies.h"
#include "dotterel/serving/BackendRecord.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace dotterel {

/// The store's record of the engines with open orders: orders that were sent
/// and may still be executed.
struct OpenOrderRecord {
  StoreEra m_Era; ///< History of the store that the record was written in.
  std::set<BackendId> m_Engines;

  auto operator==(const OpenOrderRecord &) const -> bool = default;
};

auto encodeOpenOrders(const OpenOrderRecord &Record) -> std::string;

/// \throws ProtocolError 301 if \p Document is not a valid record.
auto decodeOpenOrders(const std::string &Document) -> OpenOrderRecord;

struct OpenOrdersOptions {
  /// Maximum time after the end of a call at which an engine executes an order
  /// that it has not answered.
  Duration m_MaxDelay = Seconds(12);
  /// Time after the beginning of a grant for which orders of earlier grants may
  /// still be executed.
  Duration m_MaxDelayOfEarlierGrants = Milliseconds(13500);
};

/// The open orders of one duty holder and those that earlier holders have left.
///
/// \invariant An engine with an open order of an earlier grant is sent none.
/// \invariant An engine with an open order of this grant is sent only copies of
/// that order.
class OpenOrders {
public:
  explicit OpenOrders(const OpenOrdersOptions &Options) : m_Options(Options) {}

  /// Starts a grant that was observed at \p Now. Until inherit() is called, any
  /// engine may have an open order of an earlier grant.
  auto beginGrant(MonotonicTime Now) -> void;

  /// Records which engines have open orders of earlier grants; empty if that is
  /// unknown, so that any may.
  auto inherit(const std::optional<std::set<BackendId>> &Engines) -> void;

  /// Returns whether inherit() was called under this grant.
  [[nodiscard]] auto inherited() const -> bool { return m_Inherited; }

  /// Returns how long \p Engine must not be ordered to change to \p Stage;
  /// empty if it may be.
  [[nodiscard]] auto heldUntil(const BackendId &Engine, EngineStage Stage,
                               MonotonicTime Now) const
      -> std::optional<MonotonicTime>;

  /// Returns whether an open order of an earlier grant, not of this one, is
  /// what \p Engine waits for.
  [[nodiscard]] auto heldByEarlierGrant(const BackendId &Engine,
                                        MonotonicTime Now) const -> bool;

  auto recordSent(const BackendId &Engine, EngineStage Stage) -> void;
  auto recordOutcome(const BackendId &Engine, OrderOutcome Outcome,
                     MonotonicTime Now) -> void;

  /// Returns the engines that have open orders; empty if any may, since what
  /// earlier grants have left is unknown.
  [[nodiscard]] auto engines(MonotonicTime Now) const
      -> std::optional<std::set<BackendId>>;

private:
  struct Order {
    EngineStage m_Stage = EngineStage::None;
    OrderCopies m_Copies;
  };

  /// Returns whether orders of earlier grants may still be executed.
  [[nodiscard]] auto awaitsEarlierGrants(MonotonicTime Now) const -> bool {
    return Now < m_InheritedUntil;
  }

  OpenOrdersOptions m_Options;
  bool m_Inherited = false;
  /// Engines with open orders of earlier grants; empty: any may have some.
  std::optional<std::set<BackendId>> m_InheritedEngines;
  MonotonicTime m_InheritedUntil;
  std::map<BackendId, Order> m_Orders; ///< Sent under this grant.
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_OPENORDERS_H
