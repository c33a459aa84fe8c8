//===- FakeService.h - Fake of a plain service ------------------*- C++ -*-===//
///
/// \file
/// A service that counts executions for each idempotency key, with
/// configurable faults. For tests and the demo only.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FAKES_FAKESERVICE_H
#define DOTTEREL_FAKES_FAKESERVICE_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/fakes/detail/NoticeExchange.h"
#include "dotterel/io/HttpServer.h"

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace dotterel {

/// Faults to simulate. `POST /faults` sets them; each member's comment names
/// its JSON member.
struct ServiceFaults {
  std::int64_t m_DelayMs = 0; ///< `delay_ms`: of each response.
  /// `lose_answers`: number lost after execution.
  std::int64_t m_LoseResponses = 0;
  /// `break_answers`: number aborted after execution.
  std::int64_t m_BreakResponses = 0;
  /// `cross_answers`: number with another request's id.
  std::int64_t m_CrossResponses = 0;
  detail::FakeNotice m_Notice;
};

/// A plain service that executes every request.
class FakeService final : public HttpHandler {
public:
  explicit FakeService(Scheduler &Scheduler) : m_Scheduler(Scheduler) {}

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t Limit) -> HttpResponse override;

private:
  using Json = nlohmann::json;

  auto execute(const HttpExchangePtr &Exchange) -> void;

  Scheduler &m_Scheduler;
  ServiceFaults m_Faults;
  std::map<std::string, std::uint64_t> m_Executions;
  Json m_RecordedRequests = Json::array();
};

} // namespace dotterel

#endif // DOTTEREL_FAKES_FAKESERVICE_H
