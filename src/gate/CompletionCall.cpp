#include "dotterel/gate/CompletionCall.h"

#include "dotterel/base/Errors.h"
#include "dotterel/gate/BackendLossDetector.h"
#include "dotterel/gate/Dispatcher.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

constexpr auto StatusOk = 200U;
/// Names the attempt to an engine, which repeats it in its response.
constexpr auto RequestIdHeader = "x-request-id";

auto seconds(Duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

auto enginePath(CompletionShape Shape) -> const char * {
  return Shape == CompletionShape::Chat ? "/v1/chat/completions"
                                        : "/v1/completions";
}

auto workClassName(WorkClass Class) -> const char * {
  switch (Class) {
  case WorkClass::Interactive:
    return "interactive";
  case WorkClass::Standard:
    return "standard";
  case WorkClass::Batch:
    return "batch";
  }
  return "";
}

/// Formats the metrics on which the routing decision is based, for the log.
/// Lists at most MaxShownEngines engines.
auto describeCandidates(const std::vector<Candidate> &Engines,
                        const Work &Request) -> std::string {
  constexpr auto MaxShownEngines = std::size_t{8};
  auto Text = std::string();
  for (auto Index = std::size_t{0};
       Index < std::min(MaxShownEngines, Engines.size()); ++Index) {
    const auto &Engine = Engines[Index];
    Text +=
        fmt::format("{}{}:first={}ms,running={}/{},queued={:.0f},cached={}",
                    Index == 0 ? "" : ";", Engine.m_Id.text(),
                    toMilliseconds(expectedTimeToFirstToken(Engine, Request)),
                    Engine.m_Running, Engine.m_Slots,
                    Engine.m_QueuedPrefillTokens, Engine.m_CachedTokens);
  }
  return Text;
}

} // namespace

CompletionCall::CompletionCall(GateServices &Services, CompletionInput Input,
                               std::function<void()> OnEnd)
    : m_Services(Services), m_Input(std::move(Input)),
      m_OnEnd(std::move(OnEnd)),
      m_Format(m_Input.m_Request, m_Input.m_Completion.m_Model,
               m_Input.m_Completion.m_Shape),
      m_Digest(digestRequest(m_Input.m_Completion.m_Model,
                             m_Input.m_Completion.m_Prompt)),
      m_PieceDigests(prefixBlockDigests(m_Input.m_Completion.m_Prompt)),
      m_ArrivalTime(Services.m_Scheduler.now()) {
  m_PromptTokens = estimateTokens(m_Input.m_Completion.m_Prompt);
}

auto CompletionCall::start() -> void {
  m_Input.m_Exchange->onDisconnect(
      [Self = shared_from_this()] { Self->onCallerDisconnect(); });
  if (!m_Services.m_Engines.serves(m_Input.m_Completion.m_Model)) {
    refuse(Refusal(RefusalCode::UnknownModel));
    return;
  }
  if (m_Services.m_Crashes.verdict(m_Digest) == CrashVerdict::Quarantined) {
    refuse(Refusal(RefusalCode::Quarantined, Execution::NotRun,
                   fmt::format("digest {:016x}", m_Digest.number())));
    return;
  }
  auto Limit =
      m_Services.m_Configuration.current()->presetInForce().m_QueueLimit;
  if (m_Services.m_Dispatcher.waitingCount() >= Limit) {
    refuse(Refusal(RefusalCode::QueueFull));
    return;
  }
  m_Services.m_Demand.addPrefill(m_PromptTokens);
  m_Services.m_Demand.addDecode(m_Input.m_Completion.m_MaxTokens);
  enqueue();
}

auto CompletionCall::deadline() const -> MonotonicTime {
  const auto &Preset = m_Services.m_Configuration.current()->presetInForce();
  switch (m_Input.m_Completion.m_Class) {
  case WorkClass::Interactive:
    return m_ArrivalTime + Preset.m_InteractiveDeadline;
  case WorkClass::Standard:
    return m_ArrivalTime + Preset.m_StandardDeadline;
  case WorkClass::Batch:
    break;
  }
  return m_ArrivalTime + Preset.m_BatchDeadline;
}

auto CompletionCall::query() const -> EngineQuery {
  const auto &Completion = m_Input.m_Completion;
  auto Suspect =
      m_Services.m_Crashes.verdict(m_Digest) == CrashVerdict::Suspect;
  return {
      .m_Request = m_Input.m_Request,
      .m_Model = Completion.m_Model,
      .m_Work = {.m_PrefillTokens = m_PromptTokens + m_Position,
                 .m_DecodeTokens = Completion.m_MaxTokens - m_Position},
      .m_PrefixBlocks = m_PieceDigests,
      .m_CheapAllowed =
          m_Services.m_Configuration.current()->presetInForce().m_CheapServers,
      .m_Alone = Suspect,
      .m_Tried = m_TriedEngines,
      .m_LostIn = m_LostIn,
      .m_Stream = m_Origin};
}

auto CompletionCall::enqueue() -> void {
  auto Query = query();
  auto Self = shared_from_this();
  auto Cost = static_cast<double>(Query.m_Work.m_PrefillTokens +
                                  Query.m_Work.m_DecodeTokens);
  auto Request = DispatchRequest{
      .m_Waiting = {.m_Request = m_Input.m_Request,
                    .m_Organisation = m_Input.m_Caller.m_Organisation,
                    .m_Weight = m_Input.m_Caller.m_Weight,
                    .m_Class = m_Input.m_Completion.m_Class,
                    .m_Cost = Cost,
                    .m_Since = m_ArrivalTime,
                    .m_Deadline = deadline()},
      .m_Query = std::move(Query),
      .m_OnDispatch =
          [Self](const std::vector<Candidate> &Engines) {
            Self->onDispatch(Engines);
          },
      .m_OnExpired =
          [Self] {
            Self->refuse(
                Refusal(RefusalCode::DeadlineExceeded, Self->executionState()));
          }};
  m_Services.m_Dispatcher.submit(std::move(Request));
}

auto CompletionCall::onDispatch(const std::vector<Candidate> &Engines) -> void {
  // The key may have been withdrawn while the request was queued.
  if (auto Reason = recheckAuthorization(m_Services, m_Input.m_Caller)) {
    refuse(m_MayHaveRun ? Refusal(Reason->code(), executionState()) : *Reason);
    return;
  }
  auto Query = query();
  auto ChosenIndex =
      m_Services.m_Routing.choose(Engines, Query.m_Work, m_Services.m_Random);
  const auto &Engine = Engines[ChosenIndex].m_Id;
  m_Services.m_Decisions.record(
      m_Input.m_Request, "route.chosen",
      {{"organisation", m_Input.m_Caller.m_Organisation},
       {"model", m_Input.m_Completion.m_Model},
       {"class", workClassName(m_Input.m_Completion.m_Class)},
       {"engine", Engine},
       {"policy", m_Services.m_Routing.name()},
       {"attempt", m_Attempts + 1},
       {"position", m_Position},
       {"alone", Query.m_Alone},
       {"waited_ms",
        toMilliseconds(m_Services.m_Scheduler.now() - m_ArrivalTime)},
       {"candidates", describeCandidates(Engines, Query.m_Work)}});
  startAttempt(Engine);
}

auto CompletionCall::startAttempt(const BackendId &Engine) -> void {
  const auto &Completion = m_Input.m_Completion;
  ++m_Attempts;
  m_Engine = Engine;
  m_Attempt =
      AttemptId{fmt::format("{}.{}", m_Input.m_Request.text(), m_Attempts)};
  m_Stream.emplace(m_Attempt, Completion.m_Shape, m_Position);
  const auto *Server = m_Services.m_Engines.find(Engine);
  m_EngineOrigin = {.m_Service = Server->m_Service,
                    .m_Version = Server->m_Version};
  auto Query = query();
  m_Services.m_Engines.begin(Engine,
                             {.m_Request = m_Input.m_Request,
                              .m_Attempt = m_Attempt,
                              .m_Digest = m_Digest,
                              .m_Work = Query.m_Work,
                              .m_PrefixBlocks = m_PieceDigests,
                              .m_Alone = Query.m_Alone,
                              .m_SentAt = m_Services.m_Scheduler.now()});
  auto Self = weak_from_this();
  auto Call = HttpCall();
  Call.m_Method = "POST";
  Call.m_Url = Server->m_Url + enginePath(Completion.m_Shape);
  Call.m_Headers = {
      {.m_Name = "Content-Type", .m_Value = "application/json"},
      {.m_Name = RequestIdHeader, .m_Value = m_Attempt.text()},
      {.m_Name = "x-priority", .m_Value = workClassName(Completion.m_Class)}};
  Call.m_Body = m_Position == 0 ? Completion.m_EngineBody
                                : Completion.resumeBody(m_Position);
  Call.m_Timeout = m_Services.m_Limits.m_RequestTimeout;
  // On a kept connection to an engine that is already lost, the call would
  // count as sent, and the loss as caused by this request.
  Call.m_DedicatedConnection = Query.m_Alone;
  Call.m_OnHeaders = [Self](unsigned Status, const HttpHeaders &Headers) {
    if (auto Call = Self.lock())
      Call->onHeaders(Status, Headers);
  };
  Call.m_OnData = [Self](std::string_view Data) {
    if (auto Call = Self.lock())
      Call->onData(Data);
  };
  Call.m_OnDone = [Self](const HttpCallResult &Result) {
    if (auto Call = Self.lock())
      Call->onDone(Result);
  };
  m_EngineCall = m_Services.m_Backends.start(Engine, SendPurpose::Execute,
                                             std::move(Call));
  restartStallTimer();
}

auto CompletionCall::restartStallTimer() -> void {
  if (m_StallTimer)
    m_Services.m_Scheduler.cancel(*m_StallTimer);
  m_StallTimer = m_Services.m_Scheduler.schedule(
      m_Services.m_Limits.m_StallTimeout, [Self = weak_from_this()] {
        if (auto Call = Self.lock())
          Call->onStall();
      });
}

auto CompletionCall::onStall() -> void {
  m_StallTimer.reset();
  if (m_Ended || !m_EngineCall)
    return;
  failAttempt(AttemptFailure::InvalidStream,
              "no data from the engine within the stall timeout");
}

auto CompletionCall::onHeaders(unsigned Status, const HttpHeaders &Headers)
    -> void {
  if (m_Ended || !m_EngineCall)
    return;
  recordRateLimit(m_Services, m_Engine, Headers);
  // Only a response that names the attempt says what has become of it: another
  // one may be a late copy on a kept connection.
  if (nameInResponse(
          Headers, {.m_Name = RequestIdHeader, .m_Value = m_Attempt.text()}) !=
      ResponseName::Own) {
    failAttempt(AttemptFailure::InvalidStream,
                "the response does not name the attempt");
    return;
  }
  if (Status == StatusOk)
    return;
  constexpr auto BadRequest = 400U;
  if (Status == BadRequest) {
    refuse(Refusal(RefusalCode::MalformedRequest, "the engine refused it"));
    return;
  }
  failAttempt(AttemptFailure::Declined, fmt::format("status {}", Status));
}

auto CompletionCall::onData(std::string_view Data) -> void {
  if (m_Ended || !m_EngineCall)
    return;
  restartStallTimer();
  try {
    m_Stream->feed(Data, [this](const EngineEvent &Event) { onEvent(Event); });
  } catch (const ProtocolError &Failure) {
    failAttempt(AttemptFailure::InvalidStream, Failure.what());
  }
}

auto CompletionCall::onEvent(const EngineEvent &Event) -> void {
  if (m_Ended)
    return;
  if (Event.m_HasUsage)
    m_PromptTokens = Event.m_PromptTokens;
  if (!Event.m_FinishReason.empty())
    m_FinishReason = Event.m_FinishReason;
  if (m_Stream->position() == m_Position)
    return;
  auto Now = m_Services.m_Scheduler.now();
  if (m_LastTokenTime)
    m_Services.m_Metrics.observeTokenGap(seconds(Now - *m_LastTokenTime));
  else
    m_Services.m_Metrics.observeFirstToken(seconds(Now - m_ArrivalTime));
  m_LastTokenTime = Now;
  m_Position = m_Stream->position();
  m_MayHaveRun = true;
  if (!m_Origin)
    m_Origin = m_EngineOrigin;
  m_Services.m_Engines.markPrefilled(m_Engine, m_Attempt);
  sendText(Event.m_Text);
}

auto CompletionCall::sendText(const std::string &Text) -> void {
  if (!m_Input.m_Completion.m_Stream) {
    m_ResponseText += Text;
    return;
  }
  if (!m_StreamStarted) {
    m_StreamStarted = true;
    m_Input.m_Exchange->startStream(
        StatusOk,
        {{.m_Name = "Content-Type", .m_Value = "text/event-stream"},
         {.m_Name = "Cache-Control", .m_Value = "no-cache"},
         {.m_Name = "x-request-id", .m_Value = m_Input.m_Request.text()}});
  }
  if (m_Input.m_Exchange->backlog() > m_Services.m_Limits.m_MaxBacklogBytes) {
    refuse(Refusal(RefusalCode::SlowReader));
    return;
  }
  m_Input.m_Exchange->write(m_Format.tokenEvent(Text));
}

auto CompletionCall::onDone(const HttpCallResult &Result) -> void {
  if (m_Ended || !m_EngineCall)
    return;
  m_EngineCall.reset();
  if (Result.m_Outcome == HttpOutcome::Complete && m_Stream->isComplete()) {
    endAttempt();
    m_Services.m_Engines.outliers().recordSuccess(m_Engine);
    if (m_Services.m_Crashes.recordSuccess(m_Digest) &&
        m_Services.m_OnCrashEvidence)
      m_Services.m_OnCrashEvidence({m_Digest});
    m_Services.m_OrganisationRetries.recordSuccess(
        m_Input.m_Caller.m_Organisation.text());
    m_Services.m_BackendRetries.recordSuccess(m_Engine.text());
    complete();
    return;
  }
  failAttempt(Result.m_Outcome == HttpOutcome::NotSent
                  ? AttemptFailure::Unreachable
                  : AttemptFailure::ConnectionLost,
              Result.m_Outcome == HttpOutcome::Complete
                  ? "the response ended without its end marker"
                  : Result.m_Detail);
}

auto CompletionCall::endAttempt() -> void {
  if (m_StallTimer)
    m_Services.m_Scheduler.cancel(*m_StallTimer);
  m_StallTimer.reset();
  if (m_EngineCall)
    m_Services.m_Backends.cancel(*m_EngineCall);
  m_EngineCall.reset();
  m_Services.m_Engines.end(m_Engine, m_Attempt);
  m_Services.m_Dispatcher.scheduleDispatch();
}

auto CompletionCall::failAttempt(AttemptFailure Kind, const std::string &Reason)
    -> void {
  auto Now = m_Services.m_Scheduler.now();
  auto RequestSent = Kind == AttemptFailure::ConnectionLost ||
                     Kind == AttemptFailure::InvalidStream;
  m_MayHaveRun = m_MayHaveRun || RequestSent;
  m_TriedEngines.insert(m_Engine);
  m_Services.m_Metrics.countBackendFailure();
  m_Services.m_Engines.outliers().recordFailure(m_Engine, Now);
  m_Services.m_Decisions.record(m_Input.m_Request, "attempt.failed",
                                {{"engine", m_Engine},
                                 {"attempt", m_Attempt},
                                 {"position", m_Position},
                                 {"reason", Reason}});
  if (Kind == AttemptFailure::Unreachable) {
    // An unreachable engine receives no requests for a while, which limits the
    // number of these attempts.
    m_Services.m_Engines.markUnreachable(m_Engine, Now);
    ++m_UnreachableAttempts;
  }
  if (Kind != AttemptFailure::ConnectionLost) {
    endAttempt();
    retry(RequestSent, false);
    return;
  }
  const auto *Server = m_Services.m_Engines.find(m_Engine);
  auto DataCentre = Server != nullptr ? Server->m_DataCentre : DataCentreId{};
  // Called before endAttempt(), so that this request's digest is still among
  // those running on the engine.
  m_Services.m_LossDetector.checkBackend(
      m_Engine, [Self = shared_from_this(), DataCentre](bool ServerLost) {
        if (Self->m_Ended)
          return;
        if (ServerLost)
          Self->m_LostIn.insert(DataCentre);
        Self->retry(true, ServerLost);
      });
  endAttempt();
}

auto CompletionCall::retry(bool RequestSent, bool ServerLost) -> void {
  if (m_Services.m_Crashes.verdict(m_Digest) == CrashVerdict::Quarantined) {
    refuse(Refusal(RefusalCode::Quarantined, executionState(),
                   fmt::format("digest {:016x}", m_Digest.number())));
    return;
  }
  auto CountedAttempts = m_Attempts - m_UnreachableAttempts;
  auto AttemptsExhausted = CountedAttempts >= m_Services.m_Limits.m_MaxAttempts;
  // Two kinds of retries do not count against the retry budgets: those after
  // the loss of a server, which another request may have caused, and those of
  // requests that were not sent, which put no load on a server.
  auto BudgetExempt = ServerLost || !RequestSent;
  auto WithinBudget =
      BudgetExempt || (m_Services.m_OrganisationRetries.spend(
                           m_Input.m_Caller.m_Organisation.text()) &&
                       m_Services.m_BackendRetries.spend(m_Engine.text()));
  if (AttemptsExhausted || !WithinBudget || !canContinue()) {
    refuse(m_MayHaveRun ? Refusal(RefusalCode::BackendFailed, executionState())
                        : Refusal(RefusalCode::BackendUnreachable));
    return;
  }
  m_Services.m_Metrics.countRetry();
  enqueue();
}

auto CompletionCall::canContinue() const -> bool {
  return !m_Origin || m_Services.m_Engines.continues(
                          m_Input.m_Completion.m_Model, *m_Origin);
}

auto CompletionCall::executionState() const -> Execution {
  if (m_Position > 0)
    return Execution::Ran;
  return m_MayHaveRun ? Execution::MayHaveRun : Execution::NotRun;
}

auto CompletionCall::complete() -> void {
  recordUsage([Self = shared_from_this()] {
    if (!Self->m_Ended)
      Self->sendResponse();
  });
}

auto CompletionCall::recordUsage(std::function<void()> Done) -> void {
  if (m_UsageRecorded)
    return;
  m_UsageRecorded = true;
  m_Services.m_Metrics.countTokens(m_PromptTokens, m_Position);
  m_Services.m_Usage.record({.m_Organisation = m_Input.m_Caller.m_Organisation,
                             .m_Model = m_Input.m_Completion.m_Model},
                            {.m_Requests = 1,
                             .m_PrefillTokens = TokenCount{m_PromptTokens},
                             .m_DecodeTokens = TokenCount{m_Position}},
                            std::move(Done));
}

auto CompletionCall::sendResponse() -> void {
  auto Usage = CompletionUsage{.m_PromptTokens = m_PromptTokens,
                               .m_CompletionTokens = m_Position};
  if (m_Input.m_Completion.m_Stream) {
    if (!m_StreamStarted)
      sendText({});
    auto &Exchange = *m_Input.m_Exchange;
    Exchange.write(m_Format.finishEvent(m_FinishReason));
    if (m_Input.m_Completion.m_IncludeUsage)
      Exchange.write(m_Format.usageEvent(Usage));
    Exchange.write("data: [DONE]\n\n");
    Exchange.finish();
  } else {
    m_Input.m_Exchange->respond(
        {.m_Status = StatusOk,
         .m_Headers = {{.m_Name = "Content-Type",
                        .m_Value = "application/json"},
                       {.m_Name = "x-request-id",
                        .m_Value = m_Input.m_Request.text()}},
         .m_Body =
             m_Format.completeResponse(m_ResponseText, m_FinishReason, Usage)});
  }
  m_Services.m_Metrics.countCompleteResponse("completion");
  m_Services.m_Decisions.record(
      m_Input.m_Request, "request.completed",
      {{"engine", m_Engine},
       {"attempts", m_Attempts},
       {"prompt_tokens", m_PromptTokens},
       {"completion_tokens", m_Position},
       {"took_ms",
        toMilliseconds(m_Services.m_Scheduler.now() - m_ArrivalTime)}});
  finish();
}

auto CompletionCall::refuse(const Refusal &Reason) -> void {
  if (m_Ended)
    return;
  m_Services.m_Dispatcher.withdraw(m_Input.m_Request);
  if (!m_Attempt.empty())
    endAttempt();
  const auto &Definition = definitionOf(Reason.code());
  m_Services.m_Metrics.countRefusal(std::string(Definition.m_Name));
  m_Services.m_Decisions.record(m_Input.m_Request, "request.refused",
                                {{"code", Definition.m_Name},
                                 {"attempts", m_Attempts},
                                 {"position", m_Position}});
  if (m_StreamStarted) {
    // The stream carries the error, and aborting it shows the caller that the
    // response is incomplete.
    m_Input.m_Exchange->write(fmt::format("event: error\ndata: {}\n\n",
                                          Reason.document(m_Input.m_Request)));
    m_Input.m_Exchange->abort();
  } else {
    m_Input.m_Exchange->respond(Reason.response(m_Input.m_Request));
  }
  // Tokens already sent to the caller are billed. A response of which nothing
  // was sent is not billed.
  if (m_StreamStarted && m_Position > 0)
    recordUsage([] {});
  finish();
}

auto CompletionCall::onCallerDisconnect() -> void {
  if (m_Ended)
    return;
  m_Services.m_Dispatcher.withdraw(m_Input.m_Request);
  if (!m_Attempt.empty())
    endAttempt();
  m_Services.m_Decisions.record(
      m_Input.m_Request, "caller.left",
      {{"engine", m_Engine}, {"position", m_Position}});
  if (m_Position > 0)
    recordUsage([] {});
  finish();
}

auto CompletionCall::onConfigurationChange() -> void {
  if (m_Ended ||
      isKeyGranted(*m_Services.m_Configuration.current(), m_Input.m_Caller))
    return;
  refuse(Refusal(RefusalCode::KeyWithdrawn, executionState()));
}

auto CompletionCall::finish() -> void {
  m_Ended = true;
  m_Input.m_Exchange->onDisconnect(nullptr);
  // Keeps this call alive: m_OnEnd may release the owner's reference to it.
  auto Self = shared_from_this();
  m_OnEnd();
}

} // namespace dotterel
