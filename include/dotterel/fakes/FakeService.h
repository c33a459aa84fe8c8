//===- FakeService.h - Stand-in of a plain service --------------*- C++ -*-===//
///
/// \file
/// A service that counts executions by identity, with faults that can be
/// switched. For tests and the demo only.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FAKES_FAKESERVICE_H
#define DOTTEREL_FAKES_FAKESERVICE_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/io/HttpServer.h"

#include <map>
#include <string>

#include <nlohmann/json.hpp>

namespace dotterel {

/// Faults; set by `POST /faults` with members of these names.
struct ServiceFaults {
  std::int64_t m_DelayMs = 0;      ///< `delay_ms`: of each answer.
  std::int64_t m_LoseAnswers = 0;  ///< `lose_answers`: so many, after running.
  std::int64_t m_BreakAnswers = 0; ///< `break_answers`: closes after running.
  std::int64_t m_CrossAnswers = 0; ///< `cross_answers`: with another's id.
};

/// A plain service.
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
  Json m_Seen = Json::array();
};

} // namespace dotterel

#endif // DOTTEREL_FAKES_FAKESERVICE_H
