//===- OrderSender.h - Orders about one server ------------------*- C++ -*-===//
///
/// \file
/// A protocol that prevents conflicting orders to an engine or the platform,
/// even if a sender was paused and even if the target ignores fencing tokens.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_ORDERSENDER_H
#define DOTTEREL_FLEET_ORDERSENDER_H

#include "dotterel/fleet/OrderRecord.h"
#include "dotterel/lease/DutyLease.h"
#include "dotterel/store/KeyValueStore.h"

#include <functional>
#include <memory>

namespace dotterel {

struct OrderSenderOptions {
  BackendId m_Target;
  std::string m_Key; ///< Key of the record in the store.
  bool m_ChecksFencing = false;
  SenderId m_Self;
};

/// Sends orders about one backend server, one at a time:
/// 1. Reads the target's state and the record.
/// 2. Records the intent: writes the order, with this process as a sender, in
///    a transaction that fails if another process has acquired the duty.
/// 3. Checks by the clock that the duty is still held, and sends the order.
/// 4. Records the result. Removes this process from the senders once no copy
///    that it sent can be in flight any more.
///
/// An order that may have copies in flight and was not accepted is sent again;
/// a different order waits for it, unless the target checks fencing tokens.
class OrderSender {
public:
  /// \p HasEnded returns whether a sender's process is known to have ended.
  OrderSender(KeyValueStore &Store, const DutyLease &Duty,
              OrderChannel &Channel,
              std::function<bool(const SenderId &)> HasEnded,
              const OrderSenderOptions &Options);
  OrderSender(const OrderSender &) = delete;
  auto operator=(const OrderSender &) -> OrderSender & = delete;
  ~OrderSender() { *m_Alive = false; }

  /// Performs one step towards \p Wanted, if the duty is held and no step is in
  /// progress. An earlier order that may still take effect is completed first.
  auto reconcile(const Directive &Wanted) -> void;

  /// Returns whether, in the newest step, \p Wanted was in force, either
  /// without any order or by an order of which no copy can be in flight. No
  /// other order can be in flight then.
  [[nodiscard]] auto isInForce(const Directive &Wanted) const -> bool {
    return m_DirectiveInForce == Wanted;
  }

private:
  /// The inputs of one step.
  struct Step {
    Directive m_Wanted;
    TargetState m_State;
    OrderRecord m_Record;
    StoreRevision m_Revision; ///< Revision of the record.
  };
  using StepPtr = std::shared_ptr<Step>;

  auto readRecord(const StepPtr &Current) -> void;
  auto decide(const StepPtr &Current) -> void;
  /// Removes senders of which no copy can be in flight any more.
  auto removeCompletedSenders(Step &Current) -> void;
  auto recordIntent(const StepPtr &Current) -> void;
  auto send(const StepPtr &Current, FencingNumber Fencing) -> void;
  auto recordResult(const OrderId &Order, bool Accepted, int AttemptsLeft)
      -> void;
  auto write(const OrderRecord &Record, StoreRevision Revision, bool Guarded,
             StoreCallback<TransactionResult> Done) -> void;
  auto finishStep() -> void { m_Busy = false; }

  KeyValueStore &m_Store;
  const DutyLease &m_Duty;
  OrderChannel &m_Channel;
  std::function<bool(const SenderId &)> m_HasEnded;
  OrderSenderOptions m_Options;
  bool m_Busy = false;
  Directive m_DirectiveInForce; ///< Empty if none.
  std::uint64_t m_LastOrder = 0;
  // Copies of the newest order that this process sent. The counts are lost when
  // the process ends, like its entry among the record's senders.
  OrderId m_SentOrder;
  std::uint32_t m_CopiesSent = 0;
  std::uint32_t m_CopiesPending = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_ORDERSENDER_H
