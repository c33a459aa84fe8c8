#include "dotterel/gate/Dispatcher.h"

#include <utility>

namespace dotterel {

auto Dispatcher::submit(DispatchRequest Request) -> void {
  auto Id = Request.m_Waiting.m_Request;
  m_Queue.push(Request.m_Waiting);
  m_Requests.emplace(std::move(Id), std::move(Request));
  dispatchReady();
}

auto Dispatcher::withdraw(const RequestId &Request) -> void {
  if (m_Requests.erase(Request) > 0)
    m_Queue.remove(Request);
  m_Engines.unreserve(Request);
}

auto Dispatcher::dispatchReady() -> void {
  expireRequests();
  auto Now = m_Scheduler.now();
  // Candidates of the item that the queue passed to CanDispatch last, which is
  // the one that pop() returns.
  auto Engines = std::vector<Candidate>();
  auto CanDispatch = [&](const WaitingRequest &Item) {
    const auto &Query = m_Requests.at(Item.m_Request).m_Query;
    Engines = m_Engines.candidates(Query, Now);
    if (!Engines.empty())
      return true;
    if (Query.m_Alone)
      m_Engines.reserve(Query, Now);
    return false;
  };
  while (auto Next = m_Queue.pop(Now, CanDispatch)) {
    auto Request = std::move(m_Requests.extract(Next->m_Request).mapped());
    // Moved out, since the callback may dispatch other requests.
    Request.m_OnDispatch(std::exchange(Engines, {}));
  }
}

auto Dispatcher::scheduleDispatch() -> void {
  if (m_DispatchScheduled)
    return;
  m_DispatchScheduled = true;
  m_Scheduler.schedule(Duration::zero(), [this] {
    m_DispatchScheduled = false;
    dispatchReady();
  });
}

auto Dispatcher::expireRequests() -> void {
  for (auto &Item : m_Queue.expire(m_Scheduler.now())) {
    auto Node = m_Requests.extract(Item.m_Request);
    if (Node.empty())
      continue;
    m_Engines.unreserve(Item.m_Request);
    Node.mapped().m_OnExpired();
  }
}

} // namespace dotterel
