#include "dotterel/fakes/FakeService.h"

#include "dotterel/fakes/detail/JsonReply.h"

#include <utility>

namespace dotterel {

using detail::jsonReply;

namespace {

using Json = nlohmann::json;

constexpr auto MaxRecordedRequests = std::size_t{5000};

/// Uses up one occurrence of a fault; \returns whether one was left.
auto consumeFault(std::int64_t &Count) -> bool {
  if (Count == 0)
    return false;
  --Count;
  return true;
}

} // namespace

auto FakeService::handle(HttpExchangePtr Exchange) -> void {
  Exchange = detail::withNotice(std::move(Exchange), m_Faults.m_Notice);
  const auto &Request = Exchange->request();
  if (Request.m_Path == "/seen") {
    Exchange->respond(jsonReply(
        200, {{"executions", m_Executions}, {"requests", m_RecordedRequests}}));
    return;
  }
  if (Request.m_Path == "/faults") {
    auto Body = Json::parse(Request.m_Body, nullptr, false);
    if (!Body.is_object()) {
      Exchange->respond(jsonReply(400, {{"error", "malformed"}}));
      return;
    }
    auto &F = m_Faults;
    F.m_DelayMs = Body.value("delay_ms", F.m_DelayMs);
    F.m_LoseResponses = Body.value("lose_answers", F.m_LoseResponses);
    F.m_BreakResponses = Body.value("break_answers", F.m_BreakResponses);
    F.m_CrossResponses = Body.value("cross_answers", F.m_CrossResponses);
    F.m_Notice.set(Body);
    Exchange->respond(jsonReply(200, Json::object()));
    return;
  }
  execute(Exchange);
}

auto FakeService::bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse {
  return detail::tooLargeResponse();
}

auto FakeService::execute(const HttpExchangePtr &Exchange) -> void {
  const auto &Request = Exchange->request();
  if (!m_Faults.m_Notice.m_Pause.empty()) {
    detail::refuseForPause(*Exchange, m_Faults.m_Notice);
    return;
  }
  auto Identity =
      findHeader(Request.m_Headers, "idempotency-key").value_or("none");
  ++m_Executions[Identity];
  auto Attempt = findHeader(Request.m_Headers, "x-request-id").value_or("");
  if (m_RecordedRequests.size() < MaxRecordedRequests) {
    auto Headers = Json::object();
    for (const auto &Header : Request.m_Headers)
      Headers[Header.m_Name] = Header.m_Value;
    auto Query = Json::object();
    for (const auto &Item : Request.m_Query)
      Query[Item.m_Name] = Item.m_Value;
    m_RecordedRequests.push_back({{"path", Request.m_Path},
                                  {"headers", Headers},
                                  {"query", Query},
                                  {"body", Request.m_Body}});
  }
  if (consumeFault(m_Faults.m_LoseResponses))
    return;
  if (consumeFault(m_Faults.m_BreakResponses)) {
    Exchange->startStream(200, {});
    Exchange->abort();
    return;
  }
  auto Response = jsonReply(200, {{"path", Request.m_Path},
                                  {"identity", Identity},
                                  {"execution", m_Executions[Identity]}});
  Response.m_Headers.push_back(
      {.m_Name = "x-request-id",
       .m_Value =
           consumeFault(m_Faults.m_CrossResponses) ? "another" : Attempt});
  m_Scheduler.schedule(Milliseconds(m_Faults.m_DelayMs),
                       [Exchange, Response = std::move(Response)] {
                         Exchange->respond(Response);
                       });
}

} // namespace dotterel
