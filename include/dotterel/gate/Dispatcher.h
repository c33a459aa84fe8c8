//===- Dispatcher.h - Lets waiting requests go ------------------*- C++ -*-===//
///
/// \file
/// Holds requests until an engine can take them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_DISPATCHER_H
#define DOTTEREL_GATE_DISPATCHER_H

#include "dotterel/admission/WaitingQueue.h"
#include "dotterel/base/Scheduler.h"
#include "dotterel/routing/EngineTable.h"

#include <functional>
#include <unordered_map>

namespace dotterel {

/// A request that asks for an engine.
struct DispatchRequest {
  Waiting m_Waiting;
  EngineQuery m_Query;
  /// Called once, with at least one candidate, when the request may go.
  std::function<void(const std::vector<Candidate> &)> m_OnGo;
  /// Called once when the deadline passed first.
  std::function<void()> m_OnExpired;
};

/// Lets requests go in the order of a waiting queue.
class Dispatcher {
public:
  Dispatcher(Scheduler &Scheduler, EngineTable &Engines, WaitingQueue &Queue)
      : m_Scheduler(Scheduler), m_Engines(Engines), m_Queue(Queue) {}

  auto submit(DispatchRequest Request) -> void;

  /// Forgets a request; neither callback follows.
  auto withdraw(const RequestId &Request) -> void;

  /// Lets go what can go. To be called whenever capacity may have changed.
  auto pump() -> void;

  /// The same at the loop's next turn, once for many calls.
  auto pumpSoon() -> void;

  [[nodiscard]] auto waiting() const -> std::size_t {
    return m_Requests.size();
  }

private:
  auto expire() -> void;

  Scheduler &m_Scheduler;
  EngineTable &m_Engines;
  WaitingQueue &m_Queue;
  std::unordered_map<RequestId, DispatchRequest> m_Requests;
  bool m_PumpDue = false;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_DISPATCHER_H
