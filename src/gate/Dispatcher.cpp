#include "dotterel/gate/Dispatcher.h"

#include <utility>

namespace dotterel {

auto Dispatcher::submit(DispatchRequest Request) -> void {
  auto Id = Request.m_Waiting.m_Request;
  m_Queue.push(Request.m_Waiting);
  m_Requests.emplace(std::move(Id), std::move(Request));
  pump();
}

auto Dispatcher::withdraw(const RequestId &Request) -> void {
  if (m_Requests.erase(Request) > 0)
    m_Queue.remove(Request);
  m_Engines.unreserve(Request);
}

auto Dispatcher::pump() -> void {
  expire();
  auto Now = m_Scheduler.now();
  // The queue pops the item that it last asked about.
  auto Engines = std::vector<Candidate>();
  auto Fits = [&](const Waiting &Item) {
    const auto &Query = m_Requests.at(Item.m_Request).m_Query;
    Engines = m_Engines.candidates(Query, Now);
    if (!Engines.empty())
      return true;
    if (Query.m_Alone)
      m_Engines.reserve(Query, Now);
    return false;
  };
  while (auto Next = m_Queue.pop(Now, Fits)) {
    auto Request = std::move(m_Requests.extract(Next->m_Request).mapped());
    // Moved out, since the call may let other requests go.
    Request.m_OnGo(std::exchange(Engines, {}));
  }
}

auto Dispatcher::pumpSoon() -> void {
  if (m_PumpDue)
    return;
  m_PumpDue = true;
  m_Scheduler.schedule(Duration::zero(), [this] {
    m_PumpDue = false;
    pump();
  });
}

auto Dispatcher::expire() -> void {
  for (auto &Item : m_Queue.expire(m_Scheduler.now())) {
    auto Node = m_Requests.extract(Item.m_Request);
    if (Node.empty())
      continue;
    m_Engines.unreserve(Item.m_Request);
    Node.mapped().m_OnExpired();
  }
}

} // namespace dotterel
