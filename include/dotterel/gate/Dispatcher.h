//===- Dispatcher.h - Dispatches queued requests ----------------*- C++ -*-===//
///
/// \file
/// Queues requests until an engine has capacity for them.
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

/// A request that waits for an engine.
struct DispatchRequest {
  WaitingRequest m_Waiting;
  EngineQuery m_Query;
  /// Called once, with at least one candidate, when the request is dispatched.
  std::function<void(const std::vector<Candidate> &)> m_OnDispatch;
  /// Called once if the deadline passes before the request is dispatched.
  std::function<void()> m_OnExpired;
};

/// Dispatches requests in the order of a waiting queue.
class Dispatcher {
public:
  Dispatcher(Scheduler &Scheduler, EngineTable &Engines, WaitingQueue &Queue)
      : m_Scheduler(Scheduler), m_Engines(Engines), m_Queue(Queue) {}

  auto submit(DispatchRequest Request) -> void;

  /// Removes a request and its engine reservation; neither callback is called.
  auto withdraw(const RequestId &Request) -> void;

  /// Dispatches all requests for which an engine has capacity. To be called
  /// whenever the capacity may have changed.
  auto dispatchReady() -> void;

  /// Schedules one dispatchReady() for the next iteration of the event loop,
  /// however often it is called before.
  auto scheduleDispatch() -> void;

  [[nodiscard]] auto waitingCount() const -> std::size_t {
    return m_Requests.size();
  }

private:
  auto expireRequests() -> void;

  Scheduler &m_Scheduler;
  EngineTable &m_Engines;
  WaitingQueue &m_Queue;
  std::unordered_map<RequestId, DispatchRequest> m_Requests;
  bool m_DispatchScheduled = false;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_DISPATCHER_H
