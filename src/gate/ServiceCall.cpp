#include "dotterel/gate/ServiceCall.h"

#include <cctype>
#include <fmt/format.h>
#include <utility>
#include <xxhash.h>

namespace dotterel {

namespace {

/// Number of checks for the outcome of an earlier request with the same key,
/// before the caller receives the error in_doubt.
constexpr auto MaxOutcomeChecks = 10U;
constexpr auto OutcomeCheckInterval = Milliseconds(150);

/// Percent-encodes all characters but the unreserved ones and those in
/// \p Unescaped.
auto percentEncode(const std::string &Text, std::string_view Unescaped)
    -> std::string {
  auto Result = std::string();
  for (auto Character : Text) {
    auto Code = static_cast<unsigned char>(Character);
    auto Unreserved = std::isalnum(Code) != 0 || Character == '-' ||
                      Character == '.' || Character == '_' ||
                      Character == '~' ||
                      Unescaped.find(Character) != std::string_view::npos;
    if (Unreserved)
      Result += Character;
    else
      Result += fmt::format("%{:02X}", Code);
  }
  return Result;
}

/// Returns the header fields of a response that are forwarded to the caller.
auto responseHeaders(const HttpHeaders &Source, const RequestId &Request)
    -> HttpHeaders {
  auto Result =
      HttpHeaders{{.m_Name = "x-request-id", .m_Value = Request.text()}};
  for (const auto *Name : {"content-type", "etag", "cache-control", "location",
                           "last-modified", "content-language"})
    if (auto Value = findHeader(Source, Name))
      Result.push_back({.m_Name = Name, .m_Value = *Value});
  return Result;
}

} // namespace

ServiceCall::ServiceCall(GateServices &Services, ServiceInput Input,
                         std::function<void()> OnEnd)
    : m_Services(Services), m_Input(std::move(Input)),
      m_OnEnd(std::move(OnEnd)),
      // Random rather than derived from the request id, part of which the
      // caller chooses.
      m_ClaimId(AttemptId{Services.m_Random.hex()}) {}

auto ServiceCall::start() -> void {
  m_Input.m_Exchange->onDisconnect(
      [Self = shared_from_this()] { Self->onCallerDisconnect(); });
  if (atMostOnce())
    claim();
  else
    dispatch();
}

auto ServiceCall::makeClaim() const -> Claim {
  const auto &Body = m_Input.m_Exchange->request().m_Body;
  return {.m_Identity = m_Input.m_Idempotency->identity(
              m_Input.m_Caller.m_Organisation, m_Input.m_Route.m_Id),
          .m_Attempt = m_ClaimId,
          .m_IssuedAt = m_Input.m_Idempotency->issuedAt(),
          .m_Content = ContentDigest{XXH3_64bits(Body.data(), Body.size())}};
}

auto ServiceCall::claim() -> void {
  m_Services.m_Claims.claim(
      makeClaim(), [Self = shared_from_this()](const ClaimReply &Reply) {
        Self->onClaim(Reply);
      });
}

auto ServiceCall::onClaim(const ClaimReply &Reply) -> void {
  if (Reply.m_Verdict == ClaimVerdict::Granted)
    m_MayHoldClaim = true;
  if (m_Ended) {
    // The caller disconnected while the claim was in flight; nothing was sent.
    releaseClaim();
    return;
  }
  switch (Reply.m_Verdict) {
  case ClaimVerdict::Granted:
    dispatch();
    return;
  case ClaimVerdict::InDoubt:
    scheduleClaimRetry();
    return;
  case ClaimVerdict::Mismatch:
    refuse(Refusal(RefusalCode::IdempotencyKeyReused));
    return;
  case ClaimVerdict::Unavailable:
    // The claim may still be recorded in the log. It is released, so that it
    // does not block a later claim.
    m_MayHoldClaim = true;
    releaseClaim();
    refuse(Refusal(RefusalCode::ClaimUnavailable));
    return;
  case ClaimVerdict::Finished:
    break;
  }
  auto Headers = HttpHeaders{
      {.m_Name = "x-request-id", .m_Value = m_Input.m_Request.text()},
      {.m_Name = "idempotent-replayed", .m_Value = "true"}};
  if (!Reply.m_Response.m_ContentType.empty())
    Headers.push_back(
        {.m_Name = "Content-Type", .m_Value = Reply.m_Response.m_ContentType});
  if (!Reply.m_Response.m_Body) {
    refuse(Refusal(RefusalCode::InDoubt,
                   "it ran, but its answer was too large to keep"));
    return;
  }
  m_Services.m_Decisions.record(m_Input.m_Request, "request.replayed",
                                {{"route", m_Input.m_Route.m_Id}});
  m_Input.m_Exchange->respond({.m_Status = Reply.m_Response.m_Status,
                               .m_Headers = std::move(Headers),
                               .m_Body = *Reply.m_Response.m_Body});
  finish();
}

auto ServiceCall::scheduleClaimRetry() -> void {
  // The earlier request may be about to complete, or its outcome may not yet be
  // recorded in the log.
  if (++m_OutcomeChecks > MaxOutcomeChecks) {
    refuse(Refusal(RefusalCode::InDoubt));
    return;
  }
  m_Services.m_Scheduler.schedule(OutcomeCheckInterval,
                                  [Self = shared_from_this()] {
                                    if (!Self->m_Ended)
                                      Self->claim();
                                  });
}

auto ServiceCall::dispatch() -> void {
  if (auto Reason = recheckAuthorization(m_Services, m_Input.m_Caller)) {
    refuse(*Reason);
    return;
  }
  auto Cheap =
      m_Input.m_Route.m_CheapServers &&
      m_Services.m_Configuration.current()->presetInForce().m_CheapServers;
  auto Server = m_Services.m_Engines.pickService(m_Input.m_Route.m_Service,
                                                 Cheap, m_TriedServers,
                                                 m_Services.m_Scheduler.now());
  auto Opening = m_Services.m_Engines.timeToOpen(m_Input.m_Route.m_Service,
                                                 m_Services.m_Scheduler.now());
  if (!Server && !m_MayHaveRun && Opening) {
    auto Reason = Refusal(RefusalCode::QueueFull, Execution::NotRun,
                          "the service's servers take no requests for a while");
    // Randomised, so that callers refused at the same time do not return at the
    // same time.
    constexpr auto Spread = 0.5;
    if (*Opening < Duration::max())
      Reason.setRetryAfter(std::chrono::duration_cast<Duration>(
          *Opening * (1 + Spread * m_Services.m_Random.unit())));
    refuse(Reason);
    return;
  }
  if (!Server) {
    refuse(m_TriedServers.empty() ? Refusal(RefusalCode::NoBackend)
           : m_MayHaveRun
               ? Refusal(RefusalCode::BackendFailed, Execution::MayHaveRun)
               : Refusal(RefusalCode::BackendUnreachable));
    return;
  }
  send(*Server);
}

auto ServiceCall::url(const Backend &Server) const -> std::string {
  auto Url = Server.m_Url + percentEncode(m_Input.m_Path, "/");
  auto Separator = '?';
  for (const auto &Item : forwardedQuery(m_Input.m_Exchange->request())) {
    Url += Separator + percentEncode(Item.m_Name, "") + '=' +
           percentEncode(Item.m_Value, "");
    Separator = '&';
  }
  return Url;
}

auto ServiceCall::send(const Backend &Server) -> void {
  const auto &Request = m_Input.m_Exchange->request();
  ++m_Attempts;
  m_Server = Server.m_Id;
  m_Attempt =
      AttemptId{fmt::format("{}.{}", m_Input.m_Request.text(), m_Attempts)};
  m_Services.m_Decisions.record(
      m_Input.m_Request, "route.chosen",
      {{"organisation", m_Input.m_Caller.m_Organisation},
       {"route", m_Input.m_Route.m_Id},
       {"backend", Server.m_Id},
       {"attempt", m_Attempts},
       {"at_most_once", atMostOnce()},
       {"reason", "round robin among the nearest backend servers"}});
  auto Call = HttpCall();
  Call.m_Method = Request.m_Method;
  Call.m_Url = url(Server);
  Call.m_Headers = forwardedHeaders(Request, bearerToken(Request));
  Call.m_Headers.push_back(
      {.m_Name = "x-request-id", .m_Value = m_Attempt.text()});
  Call.m_Body = Request.m_Body;
  Call.m_Timeout = m_Input.m_Route.m_Timeout;
  // libcurl resends a request on its own when a reused connection turns out to
  // be closed.
  Call.m_DedicatedConnection = atMostOnce();
  Call.m_OnDone = [Self = shared_from_this()](const HttpCallResult &Result) {
    Self->onDone(Result);
  };
  m_Call = m_Services.m_Backends.start(m_Server, SendPurpose::Execute,
                                       std::move(Call));
}

auto ServiceCall::onDone(const HttpCallResult &Result) -> void {
  m_Call.reset();
  if (Result.m_Outcome == HttpOutcome::Complete)
    recordRateLimit(m_Services, m_Server, Result.m_Headers);
  if (Result.m_Outcome == HttpOutcome::Complete && isResponseToAttempt(Result))
    onResponse(Result);
  else
    onFailure(Result);
}

auto ServiceCall::isResponseToAttempt(const HttpCallResult &Result) const
    -> bool {
  return nameInResponse(Result.m_Headers, {.m_Name = "x-request-id",
                                           .m_Value = m_Attempt.text()}) !=
         ResponseName::Other;
}

auto ServiceCall::onResponse(const HttpCallResult &Result) -> void {
  m_Services.m_Engines.outliers().recordSuccess(m_Server);
  m_Services.m_BackendRetries.recordSuccess(m_Server.text());
  m_Services.m_OrganisationRetries.recordSuccess(
      m_Input.m_Caller.m_Organisation.text());
  if (m_MayHoldClaim) {
    auto Outcome = ClaimOutcome{.m_Identity = makeClaim().m_Identity,
                                .m_Attempt = m_ClaimId};
    Outcome.m_Response.m_Status = Result.m_Status;
    Outcome.m_Response.m_ContentType =
        findHeader(Result.m_Headers, "content-type").value_or("");
    if (Result.m_Body.size() <= m_Services.m_Limits.m_MaxRecordedBodyBytes)
      Outcome.m_Response.m_Body = Result.m_Body;
    m_Services.m_Claims.record(Outcome, [](bool) {});
  }
  sendResponse(
      {.m_Status = Result.m_Status,
       .m_Headers = responseHeaders(Result.m_Headers, m_Input.m_Request),
       .m_Body = Result.m_Body});
}

auto ServiceCall::onFailure(const HttpCallResult &Result) -> void {
  auto RequestSent = Result.m_Outcome != HttpOutcome::NotSent;
  m_MayHaveRun = m_MayHaveRun || RequestSent;
  m_TriedServers.insert(m_Server);
  m_Services.m_Metrics.countBackendFailure();
  m_Services.m_Engines.outliers().recordFailure(m_Server,
                                                m_Services.m_Scheduler.now());
  m_Services.m_Decisions.record(
      m_Input.m_Request, "attempt.failed",
      {{"backend", m_Server},
       {"attempt", m_Attempt},
       {"reason", Result.m_Detail.empty()
                      ? "the response has the x-request-id of another request"
                      : Result.m_Detail}});
  if (m_Ended)
    return;
  auto CanRetry = m_Attempts < m_Services.m_Limits.m_MaxAttempts;
  if (RequestSent && atMostOnce())
    CanRetry = false;
  else if (RequestSent)
    CanRetry = CanRetry &&
               m_Services.m_OrganisationRetries.spend(
                   m_Input.m_Caller.m_Organisation.text()) &&
               m_Services.m_BackendRetries.spend(m_Server.text());
  if (CanRetry) {
    m_Services.m_Metrics.countRetry();
    dispatch();
    return;
  }
  refuse(m_MayHaveRun
             ? Refusal(RefusalCode::BackendFailed, Execution::MayHaveRun)
             : Refusal(RefusalCode::BackendUnreachable));
}

auto ServiceCall::releaseClaim() -> void {
  if (!m_MayHoldClaim || m_MayHaveRun)
    return;
  m_MayHoldClaim = false;
  m_Services.m_Claims.record({.m_Identity = makeClaim().m_Identity,
                              .m_Attempt = m_ClaimId,
                              .m_Released = true},
                             [](bool) {});
}

auto ServiceCall::sendResponse(HttpResponse Response) -> void {
  auto Send = [Self = shared_from_this(),
               Response = std::move(Response)]() mutable {
    // If the caller has disconnected, the usage is billed all the same, since
    // the request ran.
    if (Self->m_Ended)
      return;
    Self->m_Services.m_Metrics.countCompleteResponse("service");
    Self->m_Services.m_Decisions.record(Self->m_Input.m_Request,
                                        "request.completed",
                                        {{"backend", Self->m_Server},
                                         {"attempts", Self->m_Attempts},
                                         {"status", Response.m_Status}});
    Self->m_Input.m_Exchange->respond(std::move(Response));
    Self->finish();
  };
  if (m_Input.m_Caller.m_Organisation.empty()) {
    Send();
    return;
  }
  m_Services.m_Usage.record({.m_Organisation = m_Input.m_Caller.m_Organisation,
                             .m_Model = ModelId{m_Input.m_Route.m_Id.text()}},
                            {.m_Requests = 1}, std::move(Send));
}

auto ServiceCall::refuse(const Refusal &Reason) -> void {
  if (m_Ended)
    return;
  releaseClaim();
  const auto &Definition = definitionOf(Reason.code());
  m_Services.m_Metrics.countRefusal(std::string(Definition.m_Name));
  m_Services.m_Decisions.record(
      m_Input.m_Request, "request.refused",
      {{"code", Definition.m_Name}, {"attempts", m_Attempts}});
  m_Input.m_Exchange->respond(Reason.response(m_Input.m_Request));
  finish();
}

auto ServiceCall::onCallerDisconnect() -> void {
  if (m_Ended)
    return;
  m_Services.m_Decisions.record(m_Input.m_Request, "caller.left",
                                {{"backend", m_Server}});
  // An at-most-once request continues, so that its outcome is recorded for the
  // caller's next attempt.
  if (m_Call && !atMostOnce()) {
    m_Services.m_Backends.cancel(*m_Call);
    m_Call.reset();
  }
  finish();
}

auto ServiceCall::onConfigurationChange() -> void {
  // A request in flight cannot be undone, so its response is delivered.
  if (m_Ended || m_Call ||
      isKeyGranted(*m_Services.m_Configuration.current(), m_Input.m_Caller))
    return;
  if (m_Attempts == 0)
    refuse(Refusal(RefusalCode::KeyWithdrawn, Execution::NotRun));
}

auto ServiceCall::finish() -> void {
  m_Ended = true;
  m_Input.m_Exchange->onDisconnect(nullptr);
  auto Self = shared_from_this();
  m_OnEnd();
}

} // namespace dotterel
