//===- OrderSender.h - Orders about one server ------------------*- C++ -*-===//
///
/// \file
/// The protocol by which an engine, or the platform, never gets conflicting
/// orders, also from a sender that was paused, and also when it ignores fencing
/// numbers.
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
  std::string m_Key; ///< Of the record in the store.
  bool m_ChecksFencing = false;
  SenderId m_Self;
};

/// Gives orders about one backend server, one at a time:
/// 1. read the target's state and the record
/// 2. intend: write the order, and the own name as a sender of it, in a
///    transaction that fails when the duty has passed on
/// 3. check the clock, send
/// 4. record the result, taking the own name off once no copy of the order can
///    be under way any more
///
/// An order that is not settled is repeated; a different one waits.
class OrderSender {
public:
  /// \p Gone says whether a sender's process is known to have ended.
  OrderSender(KeyValueStore &Store, const DutyLease &Duty,
              OrderChannel &Channel, std::function<bool(const SenderId &)> Gone,
              const OrderSenderOptions &Options);
  OrderSender(const OrderSender &) = delete;
  auto operator=(const OrderSender &) -> OrderSender & = delete;
  ~OrderSender() { *m_Alive = false; }

  /// Works towards \p Wanted, if the duty is held and no step is in progress.
  /// An earlier order that is not settled is brought to its end first.
  auto pursue(const Directive &Wanted) -> void;

  /// Whether, at the newest look, \p Wanted was in force by a settled order or
  /// without any, so that no other order can be under way.
  [[nodiscard]] auto reached(const Directive &Wanted) const -> bool {
    return m_Reached == Wanted;
  }

private:
  struct Step {
    Directive m_Wanted;
    TargetState m_State;
    OrderRecord m_Record;
    StoreRevision m_Revision; ///< Of the record.
  };
  using StepPtr = std::shared_ptr<Step>;

  auto readRecord(const StepPtr &Current) -> void;
  auto decide(const StepPtr &Current) -> void;
  auto dropSettledSenders(Step &Current) -> void;
  auto intend(const StepPtr &Current) -> void;
  auto send(const StepPtr &Current, FencingNumber Fencing) -> void;
  auto recordResult(const OrderId &Order, bool Accepted, int Tries) -> void;
  auto write(const OrderRecord &Record, StoreRevision Revision, bool Guarded,
             StoreCallback<TransactionResult> Done) -> void;
  auto finish() -> void { m_Busy = false; }

  KeyValueStore &m_Store;
  const DutyLease &m_Duty;
  OrderChannel &m_Channel;
  std::function<bool(const SenderId &)> m_Gone;
  OrderSenderOptions m_Options;
  bool m_Busy = false;
  Directive m_Reached; ///< Empty: none.
  std::uint64_t m_LastOrder = 0;
  // Own copies of the newest order. They live and end with this process, like
  // its name among the record's senders.
  OrderId m_SentOrder;
  std::uint32_t m_Sent = 0;
  std::uint32_t m_Unanswered = 0;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_ORDERSENDER_H
