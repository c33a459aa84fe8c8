//===- FaultyOrders.h - A channel of orders with faults ---------*- C++ -*-===//
///
/// \file
/// Delivers orders to a target; can lose or delay them, or lose their
/// responses.
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

/// The target that executes orders.
class OrderTarget {
public:
  virtual ~OrderTarget() = default;

  /// Executes an order. \returns false if it refuses the fencing token.
  virtual auto receive(const BackendId &Id, const BackendOrder &Order)
      -> bool = 0;
  virtual auto stateOf(const BackendId &Id) -> TargetState = 0;
};

enum class SendFault : std::uint8_t { None, LoseOrder, LoseResponse, Late };

/// One steward's channel to the target. While paused, it holds orders back like
/// a process that was paused between its clock check and the send.
class FaultyOrders final : public OrderChannel {
public:
  FaultyOrders(VirtualScheduler &Scheduler, OrderTarget &Target)
      : m_Scheduler(Scheduler), m_Target(Target) {}

  auto send(const BackendId &Id, const BackendOrder &Order,
            std::function<void(OrderOutcome)> Done) -> void override {
    if (m_Paused)
      m_HeldOrders.push_back(
          [this, Id, Order, Done] { deliver(Id, Order, Done); });
    else
      deliver(Id, Order, Done);
  }

  auto readState(const BackendId &Id,
                 std::function<void(std::optional<TargetState>)> Done)
      -> void override {
    m_Scheduler.schedule(Milliseconds(1), [this, Id, Done = std::move(Done)] {
      Done(m_Target.stateOf(Id));
    });
  }

  /// Ends the pause and sends the orders held back.
  auto resume() -> void {
    m_Paused = false;
    for (auto &Item : std::exchange(m_HeldOrders, {}))
      Item();
  }

  bool m_Paused = false;
  SendFault m_NextFault = SendFault::None;
  int m_InFlight = 0; ///< Copies that have not arrived yet.

private:
  auto deliver(const BackendId &Id, const BackendOrder &Order,
               const std::function<void(OrderOutcome)> &Done) -> void {
    auto Fault = std::exchange(m_NextFault, SendFault::None);
    constexpr auto Timeout = Seconds(2);
    auto Arrival = Fault == SendFault::Late ? Duration(Seconds(30))
                                            : Duration(Milliseconds(1));
    if (Fault != SendFault::LoseOrder) {
      ++m_InFlight;
      m_Scheduler.schedule(Arrival, [this, Id, Order, Done, Fault] {
        --m_InFlight;
        auto Accepted = m_Target.receive(Id, Order);
        if (Fault == SendFault::None)
          Done(Accepted ? OrderOutcome::Accepted : OrderOutcome::Refused);
      });
    }
    if (Fault != SendFault::None)
      m_Scheduler.schedule(Timeout, [Done] { Done(OrderOutcome::Unknown); });
  }

  VirtualScheduler &m_Scheduler;
  OrderTarget &m_Target;
  std::vector<std::function<void()>> m_HeldOrders;
};

/// Returns whether orders that a target executed conflict: a copy of one was
/// executed again after a different one. \p Executed is in order of execution.
inline auto hasConflict(const std::vector<BackendOrder> &Executed) -> bool {
  auto Superseded = std::set<OrderId>();
  for (auto Index = std::size_t{1}; Index < Executed.size(); ++Index) {
    if (Executed[Index].m_Id == Executed[Index - 1].m_Id)
      continue;
    Superseded.insert(Executed[Index - 1].m_Id);
    if (Superseded.contains(Executed[Index].m_Id))
      return true;
  }
  return false;
}

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_FAULTYORDERS_H
