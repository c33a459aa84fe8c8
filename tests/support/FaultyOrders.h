//===- FaultyOrders.h - A channel of orders with faults ---------*- C++ -*-===//
///
/// \file
/// Brings orders to a target, or loses them, their answers, or time.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_FAULTYORDERS_H
#define DOTTEREL_TESTS_SUPPORT_FAULTYORDERS_H

#include "VirtualScheduler.h"
#include "dotterel/fleet/Order.h"

#include <functional>
#include <set>
#include <utility>
#include <vector>

namespace dotterel::test {

/// What orders reach in the end.
class OrderTarget {
public:
  virtual ~OrderTarget() = default;

  /// Executes an order. \returns false when it refuses the number.
  virtual auto receive(const BackendId &Id, const BackendOrder &Order)
      -> bool = 0;
  virtual auto stateOf(const BackendId &Id) -> TargetState = 0;
};

enum class SendFault : std::uint8_t { None, LoseOrder, LoseAnswer, Late };

/// One steward's way to the target. Frozen, it holds orders back as a process
/// that was paused between its clock check and the send.
class FaultyOrders final : public OrderChannel {
public:
  FaultyOrders(VirtualScheduler &Scheduler, OrderTarget &Target)
      : m_Scheduler(Scheduler), m_Target(Target) {}

  auto send(const BackendId &Id, const BackendOrder &Order,
            std::function<void(OrderAnswer)> Done) -> void override {
    if (m_Frozen)
      m_Held.push_back([this, Id, Order, Done] { deliver(Id, Order, Done); });
    else
      deliver(Id, Order, Done);
  }

  auto readBack(const BackendId &Id,
                std::function<void(std::optional<TargetState>)> Done)
      -> void override {
    m_Scheduler.schedule(Milliseconds(1), [this, Id, Done = std::move(Done)] {
      Done(m_Target.stateOf(Id));
    });
  }

  auto thaw() -> void {
    m_Frozen = false;
    for (auto &Item : std::exchange(m_Held, {}))
      Item();
  }

  bool m_Frozen = false;
  SendFault m_Next = SendFault::None;
  int m_OnWire = 0; ///< Copies that the target has not read yet.

private:
  auto deliver(const BackendId &Id, const BackendOrder &Order,
               const std::function<void(OrderAnswer)> &Done) -> void {
    auto Fault = std::exchange(m_Next, SendFault::None);
    constexpr auto GiveUp = Seconds(2);
    auto Arrival = Fault == SendFault::Late ? Duration(Seconds(30))
                                            : Duration(Milliseconds(1));
    if (Fault != SendFault::LoseOrder) {
      ++m_OnWire;
      m_Scheduler.schedule(Arrival, [this, Id, Order, Done, Fault] {
        --m_OnWire;
        auto Taken = m_Target.receive(Id, Order);
        if (Fault == SendFault::None)
          Done(Taken ? OrderAnswer::Accepted : OrderAnswer::Refused);
      });
    }
    if (Fault != SendFault::None)
      m_Scheduler.schedule(GiveUp, [Done] { Done(OrderAnswer::Unknown); });
  }

  VirtualScheduler &m_Scheduler;
  OrderTarget &m_Target;
  std::vector<std::function<void()>> m_Held;
};

/// Whether among orders that a target executed, in this order, one came back
/// after a different one: then the two conflict.
inline auto conflicted(const std::vector<BackendOrder> &Executed) -> bool {
  auto Left = std::set<OrderId>();
  for (auto Index = std::size_t{1}; Index < Executed.size(); ++Index) {
    if (Executed[Index].m_Id == Executed[Index - 1].m_Id)
      continue;
    Left.insert(Executed[Index - 1].m_Id);
    if (Left.contains(Executed[Index].m_Id))
      return true;
  }
  return false;
}

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_FAULTYORDERS_H
