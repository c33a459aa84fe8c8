#include "dotterel/gate/ServiceCall.h"

#include <cctype>
#include <fmt/format.h>
#include <utility>
#include <xxhash.h>

namespace dotterel {

namespace {

/// Looks for the outcome of an earlier request under the same key, before the
/// caller is told that it is in doubt.
constexpr auto OutcomeLooks = 10U;
constexpr auto OutcomeLookInterval = Milliseconds(150);

/// Percent-encodes everything but the characters that stand for themselves,
/// and \p Kept.
auto percentEncode(const std::string &Text, std::string_view Kept)
    -> std::string {
  auto Result = std::string();
  for (auto Character : Text) {
    auto Code = static_cast<unsigned char>(Character);
    auto Plain = std::isalnum(Code) != 0 || Character == '-' ||
                 Character == '.' || Character == '_' || Character == '~' ||
                 Kept.find(Character) != std::string_view::npos;
    if (Plain)
      Result += Character;
    else
      Result += fmt::format("%{:02X}", Code);
  }
  return Result;
}

/// Header fields of an answer that are passed on to the caller.
auto answerHeaders(const HttpHeaders &Source, const RequestId &Request)
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
      // Random, since a request's id comes from its caller.
      m_Claim(AttemptId{Services.m_Random.hex()}) {}

auto ServiceCall::start() -> void {
  m_Input.m_Exchange->onDisconnect(
      [Self = shared_from_this()] { Self->onCallerLeft(); });
  if (atMostOnce())
    claim();
  else
    dispatch();
}

auto ServiceCall::claimMessage() const -> Claim {
  const auto &Body = m_Input.m_Exchange->request().m_Body;
  return {.m_Identity = m_Input.m_Idempotency->identity(
              m_Input.m_Caller.m_Organisation, m_Input.m_Route.m_Id),
          .m_Attempt = m_Claim,
          .m_IssuedAt = m_Input.m_Idempotency->issuedAt(),
          .m_Content = ContentDigest{XXH3_64bits(Body.data(), Body.size())}};
}

auto ServiceCall::claim() -> void {
  m_Services.m_Claims.claim(
      claimMessage(), [Self = shared_from_this()](const ClaimReply &Reply) {
        Self->onClaim(Reply);
      });
}

auto ServiceCall::onClaim(const ClaimReply &Reply) -> void {
  if (Reply.m_Verdict == ClaimVerdict::Granted)
    m_Claimed = true;
  if (m_Ended) {
    // The caller left while the claim was on its way; nothing was sent.
    release();
    return;
  }
  switch (Reply.m_Verdict) {
  case ClaimVerdict::Granted:
    dispatch();
    return;
  case ClaimVerdict::InDoubt:
    waitForOutcome();
    return;
  case ClaimVerdict::Mismatch:
    refuse(Refusal(RefusalCode::IdempotencyKeyReused));
    return;
  case ClaimVerdict::Unavailable:
    // The claim may still arrive in the log; it must not block a later one.
    m_Claimed = true;
    release();
    refuse(Refusal(RefusalCode::ClaimUnavailable));
    return;
  case ClaimVerdict::Finished:
    break;
  }
  auto Headers = HttpHeaders{
      {.m_Name = "x-request-id", .m_Value = m_Input.m_Request.text()},
      {.m_Name = "idempotent-replayed", .m_Value = "true"}};
  if (!Reply.m_Answer.m_ContentType.empty())
    Headers.push_back(
        {.m_Name = "Content-Type", .m_Value = Reply.m_Answer.m_ContentType});
  if (!Reply.m_Answer.m_Body) {
    refuse(Refusal(RefusalCode::InDoubt,
                   "it ran, but its answer was too large to keep"));
    return;
  }
  m_Services.m_Decisions.record(m_Input.m_Request, "request.replayed",
                                {{"route", m_Input.m_Route.m_Id}});
  m_Input.m_Exchange->respond({.m_Status = Reply.m_Answer.m_Status,
                               .m_Headers = std::move(Headers),
                               .m_Body = *Reply.m_Answer.m_Body});
  finish();
}

auto ServiceCall::waitForOutcome() -> void {
  // An earlier request may just be ending, or its outcome be on its way into
  // the log.
  if (++m_OutcomeLooks > OutcomeLooks) {
    refuse(Refusal(RefusalCode::InDoubt));
    return;
  }
  m_Services.m_Scheduler.schedule(OutcomeLookInterval,
                                  [Self = shared_from_this()] {
                                    if (!Self->m_Ended)
                                      Self->claim();
                                  });
}

auto ServiceCall::dispatch() -> void {
  if (auto Reason = recheck(m_Services, m_Input.m_Caller)) {
    refuse(*Reason);
    return;
  }
  auto Cheap =
      m_Input.m_Route.m_CheapServers &&
      m_Services.m_Configuration.current()->presetInForce().m_CheapServers;
  auto Server = m_Services.m_Engines.pickService(
      m_Input.m_Route.m_Service, Cheap, m_Tried, m_Services.m_Scheduler.now());
  if (!Server) {
    refuse(m_Tried.empty() ? Refusal(RefusalCode::NoBackend)
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
       {"reason", "next of the nearest"}});
  auto Call = HttpCall();
  Call.m_Method = Request.m_Method;
  Call.m_Url = url(Server);
  Call.m_Headers = forwardedHeaders(Request, presentedKey(Request));
  Call.m_Headers.push_back(
      {.m_Name = "x-request-id", .m_Value = m_Attempt.text()});
  Call.m_Body = Request.m_Body;
  Call.m_Timeout = m_Input.m_Route.m_Timeout;
  // libcurl re-sends by itself when a kept connection turns out dead.
  Call.m_OneConnection = atMostOnce();
  Call.m_OnDone = [Self = shared_from_this()](const HttpCallResult &Result) {
    Self->onDone(Result);
  };
  m_Call = m_Services.m_Client.start(std::move(Call));
}

auto ServiceCall::onDone(const HttpCallResult &Result) -> void {
  m_Call.reset();
  if (Result.m_Outcome == HttpOutcome::Complete && answerBelongs(Result))
    onAnswer(Result);
  else
    onFailure(Result);
}

auto ServiceCall::answerBelongs(const HttpCallResult &Result) const -> bool {
  auto Echoed = findHeader(Result.m_Headers, "x-request-id");
  return !Echoed || *Echoed == m_Attempt.text();
}

auto ServiceCall::onAnswer(const HttpCallResult &Result) -> void {
  m_Services.m_Engines.outliers().recordSuccess(m_Server);
  m_Services.m_BackendRetries.recordSuccess(m_Server.text());
  m_Services.m_OrganisationRetries.recordSuccess(
      m_Input.m_Caller.m_Organisation.text());
  if (m_Claimed) {
    auto Outcome = ClaimOutcome{.m_Identity = claimMessage().m_Identity,
                                .m_Attempt = m_Claim};
    Outcome.m_Answer.m_Status = Result.m_Status;
    Outcome.m_Answer.m_ContentType =
        findHeader(Result.m_Headers, "content-type").value_or("");
    if (Result.m_Body.size() <= m_Services.m_Limits.m_RecordedBodyBytes)
      Outcome.m_Answer.m_Body = Result.m_Body;
    m_Services.m_Claims.record(Outcome, [](bool) {});
  }
  deliver({.m_Status = Result.m_Status,
           .m_Headers = answerHeaders(Result.m_Headers, m_Input.m_Request),
           .m_Body = Result.m_Body});
}

auto ServiceCall::onFailure(const HttpCallResult &Result) -> void {
  auto Sent = Result.m_Outcome != HttpOutcome::NotSent;
  m_MayHaveRun = m_MayHaveRun || Sent;
  m_Tried.insert(m_Server);
  m_Services.m_Metrics.countBackendFailure();
  m_Services.m_Engines.outliers().recordFailure(m_Server,
                                                m_Services.m_Scheduler.now());
  m_Services.m_Decisions.record(
      m_Input.m_Request, "attempt.failed",
      {{"backend", m_Server},
       {"attempt", m_Attempt},
       {"reason", Result.m_Detail.empty() ? "an answer of another request"
                                          : Result.m_Detail}});
  if (m_Ended)
    return;
  auto Again = m_Attempts < m_Services.m_Limits.m_MostAttempts;
  if (Sent && atMostOnce())
    Again = false;
  else if (Sent)
    Again = Again &&
            m_Services.m_OrganisationRetries.spend(
                m_Input.m_Caller.m_Organisation.text()) &&
            m_Services.m_BackendRetries.spend(m_Server.text());
  if (Again) {
    m_Services.m_Metrics.countRetry();
    dispatch();
    return;
  }
  refuse(m_MayHaveRun
             ? Refusal(RefusalCode::BackendFailed, Execution::MayHaveRun)
             : Refusal(RefusalCode::BackendUnreachable));
}

auto ServiceCall::release() -> void {
  if (!m_Claimed || m_MayHaveRun)
    return;
  m_Claimed = false;
  m_Services.m_Claims.record({.m_Identity = claimMessage().m_Identity,
                              .m_Attempt = m_Claim,
                              .m_Released = true},
                             [](bool) {});
}

auto ServiceCall::deliver(HttpResponse Response) -> void {
  auto Send = [Self = shared_from_this(),
               Response = std::move(Response)]() mutable {
    // A caller that left is billed all the same: its call ran.
    if (Self->m_Ended)
      return;
    Self->m_Services.m_Metrics.countAnswer("service");
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
  release();
  const auto &Shape = shapeOf(Reason.code());
  m_Services.m_Metrics.countRefusal(std::string(Shape.m_Name));
  m_Services.m_Decisions.record(
      m_Input.m_Request, "request.refused",
      {{"code", Shape.m_Name}, {"attempts", m_Attempts}});
  m_Input.m_Exchange->respond(Reason.response(m_Input.m_Request));
  finish();
}

auto ServiceCall::onCallerLeft() -> void {
  if (m_Ended)
    return;
  m_Services.m_Decisions.record(m_Input.m_Request, "caller.left",
                                {{"backend", m_Server}});
  // A call that may not be repeated goes on, so that its outcome is recorded
  // for the caller's next try.
  if (m_Call && !atMostOnce()) {
    m_Services.m_Client.cancel(*m_Call);
    m_Call.reset();
  }
  finish();
}

auto ServiceCall::onConfigurationChange() -> void {
  // A call that was sent cannot be taken back; its answer is delivered.
  if (m_Ended || m_Call ||
      stillGranted(*m_Services.m_Configuration.current(), m_Input.m_Caller))
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
