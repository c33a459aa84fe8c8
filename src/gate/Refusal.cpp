#include "dotterel/gate/Refusal.h"

#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

namespace {

/// Value of the Retry-After header of retryable refusals.
constexpr auto RetryAfterSeconds = 1;

auto executionName(Execution Value) -> std::string_view {
  switch (Value) {
  case Execution::NotRun:
    return "not_run";
  case Execution::MayHaveRun:
    return "may_have_run";
  case Execution::Ran:
    return "ran";
  }
  return {};
}

} // namespace

auto refusalDefinitions() -> const std::vector<RefusalDefinition> & {
  using enum RefusalCode;
  constexpr auto NotRun = Execution::NotRun;
  constexpr auto DependsOnCase = std::optional<Execution>();
  static const auto Definitions = std::vector<RefusalDefinition>{
      {MalformedRequest, "malformed_request", 400, NotRun, false,
       "the request cannot be understood"},
      {BodyTooLarge, "body_too_large", 413, NotRun, false,
       "the body is larger than this gate takes"},
      {MethodNotAllowed, "method_not_allowed", 405, NotRun, false,
       "this path does not take this method"},
      {UnknownRoute, "unknown_route", 404, NotRun, false,
       "there is nothing at this path"},
      {UnknownModel, "unknown_model", 404, NotRun, false,
       "no backend server serves this model"},
      {KeyMissing, "key_missing", 401, NotRun, false,
       "send the organisation's key as Authorization: Bearer KEY"},
      {KeyUnknown, "key_unknown", 401, NotRun, false,
       "this key is not granted, or was withdrawn"},
      {KeyWithdrawn, "key_withdrawn", 401, DependsOnCase, false,
       "the key was withdrawn while the request was in progress"},
      {KeyInRequest, "key_in_request", 400, NotRun, false,
       "the key stands in the path, query or body, where a backend server "
       "would see it"},
      {IdempotencyKeyMissing, "idempotency_key_missing", 400, NotRun, false,
       "this route runs a request at most once and needs an Idempotency-Key"},
      {IdempotencyKeyMalformed, "idempotency_key_malformed", 400, NotRun, false,
       "the Idempotency-Key has no accepted shape"},
      {IdempotencyKeyExpired, "idempotency_key_expired", 400, NotRun, false,
       "the time in the Idempotency-Key is too old or in the future"},
      {IdempotencyKeyReused, "idempotency_key_reused", 422, NotRun, false,
       "the Idempotency-Key was used with another body"},
      {NotReady, "not_ready", 503, NotRun, true,
       "this gate has no configuration yet"},
      {ShuttingDown, "shutting_down", 503, DependsOnCase, true,
       "this host is about to exit; another one can take the request"},
      {ConfigurationStale, "configuration_stale", 503, NotRun, true,
       "this gate cannot tell whether the key is still granted"},
      {QueueFull, "queue_full", 429, NotRun, true,
       "too many requests are waiting"},
      {OverLimit, "over_limit", 429, NotRun, true,
       "the organisation has used up its limit"},
      {DeadlineExceeded, "deadline_exceeded", 503, DependsOnCase, true,
       "the request could not be served within its class's deadline"},
      {NoBackend, "no_backend", 503, NotRun, true,
       "no backend server can take the request"},
      {Quarantined, "quarantined", 422, DependsOnCase, false,
       "this request was running on each of several backend servers when they "
       "were lost; an operator can release it"},
      {ClaimUnavailable, "claim_unavailable", 503, NotRun, true,
       "the right to run the request once could not be recorded"},
      {InDoubt, "in_doubt", 409, Execution::MayHaveRun, false,
       "an earlier request with this Idempotency-Key is in progress, or its "
       "outcome is unknown"},
      {BackendFailed, "backend_failed", 502, DependsOnCase, true,
       "the backend server failed during the request"},
      {BackendUnreachable, "backend_unreachable", 502, NotRun, true,
       "no backend server could be reached"},
      {SlowReader, "slow_reader", 503, Execution::Ran, true,
       "the caller did not take the answer fast enough"},
      {MemoryFull, "memory_full", 503, NotRun, true,
       "the memory that this gate has for requests is in use"},
      {StreamUnknown, "stream_unknown", 503, NotRun, false,
       "it is not known which software version began this stream"},
  };
  return Definitions;
}

auto definitionOf(RefusalCode Code) -> const RefusalDefinition & {
  const auto &Definition = refusalDefinitions()[static_cast<std::size_t>(Code)];
  assert(Definition.m_Code == Code &&
         "refusalDefinitions() must follow the order of RefusalCode");
  return Definition;
}

Refusal::Refusal(RefusalCode Code, std::string Detail)
    : Refusal(Code, definitionOf(Code).m_Execution.value(), std::move(Detail)) {
}

Refusal::Refusal(RefusalCode Code, Execution Execution, std::string Detail)
    : m_Code(Code), m_Execution(Execution), m_Detail(std::move(Detail)) {}

auto Refusal::retryAfterSeconds() const -> std::int64_t {
  return m_RetryAfter ? std::chrono::ceil<Seconds>(*m_RetryAfter).count()
                      : RetryAfterSeconds;
}

auto Refusal::document(const RequestId &Request) const -> std::string {
  const auto &Definition = definitionOf(m_Code);
  auto Error = nlohmann::json{{"code", Definition.m_Name},
                              {"message", Definition.m_Message},
                              {"execution", executionName(m_Execution)},
                              {"retry", Definition.m_Retryable},
                              {"request_id", Request.text()}};
  if (!m_Detail.empty())
    Error["detail"] = m_Detail;
  if (Definition.m_Retryable)
    Error["retry_after_seconds"] = retryAfterSeconds();
  constexpr auto Compact = -1;
  return nlohmann::json{{"error", Error}}.dump(
      Compact, ' ', false, nlohmann::json::error_handler_t::replace);
}

auto Refusal::response(const RequestId &Request) const -> HttpResponse {
  const auto &Definition = definitionOf(m_Code);
  auto Response = HttpResponse{
      .m_Status = Definition.m_Status,
      .m_Headers = {{.m_Name = "Content-Type", .m_Value = "application/json"},
                    {.m_Name = "x-request-id", .m_Value = Request.text()}},
      .m_Body = document(Request)};
  if (Definition.m_Retryable)
    Response.m_Headers.push_back(
        {.m_Name = "Retry-After",
         .m_Value = std::to_string(retryAfterSeconds())});
  return Response;
}

} // namespace dotterel
