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

auto seconds(Duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

auto enginePath(CompletionShape Shape) -> const char * {
  return Shape == CompletionShape::Chat ? "/v1/chat/completions"
                                        : "/v1/completions";
}

auto className(WorkClass Class) -> const char * {
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

/// The figures that a choice was made by, for the log.
auto describe(const std::vector<Candidate> &Engines, const Work &Request)
    -> std::string {
  constexpr auto MostShown = std::size_t{8};
  auto Text = std::string();
  for (auto Index = std::size_t{0}; Index < std::min(MostShown, Engines.size());
       ++Index) {
    const auto &Engine = Engines[Index];
    Text += fmt::format("{}{}:first={}ms,running={}/{},queued={:.0f},cached={}",
                        Index == 0 ? "" : ";", Engine.m_Id.text(),
                        toMilliseconds(expectedFirstToken(Engine, Request)),
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
      m_Pieces(pieceDigests(m_Input.m_Completion.m_Prompt)),
      m_Arrived(Services.m_Scheduler.now()) {
  m_PromptTokens = estimateTokens(m_Input.m_Completion.m_Prompt);
}

auto CompletionCall::start() -> void {
  m_Input.m_Exchange->onDisconnect(
      [Self = shared_from_this()] { Self->onCallerLeft(); });
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
  if (m_Services.m_Dispatcher.waiting() >= Limit) {
    refuse(Refusal(RefusalCode::QueueFull));
    return;
  }
  m_Services.m_Demand.addPrefill(m_PromptTokens);
  m_Services.m_Demand.addDecode(m_Input.m_Completion.m_MaximumTokens);
  wait();
}

auto CompletionCall::deadline() const -> MonotonicTime {
  const auto &Preset = m_Services.m_Configuration.current()->presetInForce();
  switch (m_Input.m_Completion.m_Class) {
  case WorkClass::Interactive:
    return m_Arrived + Preset.m_InteractiveDeadline;
  case WorkClass::Standard:
    return m_Arrived + Preset.m_StandardDeadline;
  case WorkClass::Batch:
    break;
  }
  return m_Arrived + Preset.m_BatchDeadline;
}

auto CompletionCall::query() const -> EngineQuery {
  const auto &Completion = m_Input.m_Completion;
  auto Suspect =
      m_Services.m_Crashes.verdict(m_Digest) == CrashVerdict::Suspect;
  return {
      .m_Request = m_Input.m_Request,
      .m_Model = Completion.m_Model,
      .m_Work = {.m_PrefillTokens = m_PromptTokens + m_Position,
                 .m_DecodeTokens = Completion.m_MaximumTokens - m_Position},
      .m_Pieces = m_Pieces,
      .m_CheapAllowed =
          m_Services.m_Configuration.current()->presetInForce().m_CheapServers,
      .m_Alone = Suspect,
      .m_Tried = m_Tried};
}

auto CompletionCall::wait() -> void {
  auto Asked = query();
  auto Self = shared_from_this();
  auto Cost = static_cast<double>(Asked.m_Work.m_PrefillTokens +
                                  Asked.m_Work.m_DecodeTokens);
  auto Request = DispatchRequest{
      .m_Waiting = {.m_Request = m_Input.m_Request,
                    .m_Organisation = m_Input.m_Caller.m_Organisation,
                    .m_Weight = m_Input.m_Caller.m_Weight,
                    .m_Class = m_Input.m_Completion.m_Class,
                    .m_Cost = Cost,
                    .m_Since = m_Arrived,
                    .m_Deadline = deadline()},
      .m_Query = std::move(Asked),
      .m_OnGo =
          [Self](const std::vector<Candidate> &Engines) { Self->go(Engines); },
      .m_OnExpired =
          [Self] {
            Self->refuse(
                Refusal(RefusalCode::DeadlineExceeded, Self->executed()));
          }};
  m_Services.m_Dispatcher.submit(std::move(Request));
}

auto CompletionCall::go(const std::vector<Candidate> &Engines) -> void {
  // The key may have been withdrawn while the request waited.
  if (auto Reason = recheck(m_Services, m_Input.m_Caller)) {
    refuse(m_MayHaveRun ? Refusal(Reason->code(), executed()) : *Reason);
    return;
  }
  auto Asked = query();
  auto Chosen =
      m_Services.m_Routing.choose(Engines, Asked.m_Work, m_Services.m_Random);
  const auto &Engine = Engines[Chosen].m_Id;
  m_Services.m_Decisions.record(
      m_Input.m_Request, "route.chosen",
      {{"organisation", m_Input.m_Caller.m_Organisation},
       {"model", m_Input.m_Completion.m_Model},
       {"class", className(m_Input.m_Completion.m_Class)},
       {"engine", Engine},
       {"policy", m_Services.m_Routing.name()},
       {"attempt", m_Attempts + 1},
       {"position", m_Position},
       {"alone", Asked.m_Alone},
       {"waited_ms", toMilliseconds(m_Services.m_Scheduler.now() - m_Arrived)},
       {"candidates", describe(Engines, Asked.m_Work)}});
  run(Engine);
}

auto CompletionCall::run(const BackendId &Engine) -> void {
  const auto &Completion = m_Input.m_Completion;
  ++m_Attempts;
  m_Engine = Engine;
  m_Attempt =
      AttemptId{fmt::format("{}.{}", m_Input.m_Request.text(), m_Attempts)};
  m_Stream.emplace(m_Attempt, Completion.m_Shape, m_Position);
  auto Asked = query();
  m_Services.m_Engines.begin(Engine, {.m_Request = m_Input.m_Request,
                                      .m_Attempt = m_Attempt,
                                      .m_Digest = m_Digest,
                                      .m_Work = Asked.m_Work,
                                      .m_Pieces = m_Pieces,
                                      .m_Alone = Asked.m_Alone});
  auto Self = weak_from_this();
  auto Call = HttpCall();
  Call.m_Method = "POST";
  Call.m_Url =
      m_Services.m_Engines.find(Engine)->m_Url + enginePath(Completion.m_Shape);
  Call.m_Headers = {
      {.m_Name = "Content-Type", .m_Value = "application/json"},
      {.m_Name = "x-request-id", .m_Value = m_Attempt.text()},
      {.m_Name = "x-priority", .m_Value = className(Completion.m_Class)}};
  Call.m_Body = m_Position == 0 ? Completion.m_EngineBody
                                : Completion.resumeBody(m_Position);
  Call.m_Timeout = m_Services.m_Limits.m_RequestTimeout;
  Call.m_OnHeaders = [Self](unsigned Status, const HttpHeaders &) {
    if (auto Call = Self.lock())
      Call->onStatus(Status);
  };
  Call.m_OnData = [Self](std::string_view Data) {
    if (auto Call = Self.lock())
      Call->onData(Data);
  };
  Call.m_OnDone = [Self](const HttpCallResult &Result) {
    if (auto Call = Self.lock())
      Call->onDone(Result);
  };
  m_Call = m_Services.m_Client.start(std::move(Call));
  armStall();
}

auto CompletionCall::armStall() -> void {
  if (m_Stall)
    m_Services.m_Scheduler.cancel(*m_Stall);
  m_Stall = m_Services.m_Scheduler.schedule(m_Services.m_Limits.m_StallTimeout,
                                            [Self = weak_from_this()] {
                                              if (auto Call = Self.lock())
                                                Call->onStall();
                                            });
}

auto CompletionCall::onStall() -> void {
  m_Stall.reset();
  if (m_Ended || !m_Call)
    return;
  failAttempt(AttemptFailure::Invalid, "no progress");
}

auto CompletionCall::onStatus(unsigned Status) -> void {
  if (m_Ended || !m_Call || Status == StatusOk)
    return;
  constexpr auto BadRequest = 400U;
  if (Status == BadRequest) {
    refuse(Refusal(RefusalCode::MalformedRequest, "the engine refused it"));
    return;
  }
  failAttempt(AttemptFailure::Declined, fmt::format("status {}", Status));
}

auto CompletionCall::onData(std::string_view Data) -> void {
  if (m_Ended || !m_Call)
    return;
  armStall();
  try {
    m_Stream->feed(Data, [this](const EngineEvent &Event) { onEvent(Event); });
  } catch (const ProtocolError &Failure) {
    failAttempt(AttemptFailure::Invalid, Failure.what());
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
  if (m_LastToken)
    m_Services.m_Metrics.observeTokenGap(seconds(Now - *m_LastToken));
  else
    m_Services.m_Metrics.observeFirstToken(seconds(Now - m_Arrived));
  m_LastToken = Now;
  m_Position = m_Stream->position();
  m_MayHaveRun = true;
  m_Services.m_Engines.prefilled(m_Engine, m_Attempt);
  emit(Event.m_Text);
}

auto CompletionCall::emit(const std::string &Text) -> void {
  if (!m_Input.m_Completion.m_Stream) {
    m_Text += Text;
    return;
  }
  if (!m_Started) {
    m_Started = true;
    m_Input.m_Exchange->startStream(
        StatusOk,
        {{.m_Name = "Content-Type", .m_Value = "text/event-stream"},
         {.m_Name = "Cache-Control", .m_Value = "no-cache"},
         {.m_Name = "x-request-id", .m_Value = m_Input.m_Request.text()}});
  }
  if (m_Input.m_Exchange->backlog() > m_Services.m_Limits.m_BacklogBytes) {
    refuse(Refusal(RefusalCode::SlowReader));
    return;
  }
  m_Input.m_Exchange->write(m_Format.token(Text));
}

auto CompletionCall::onDone(const HttpCallResult &Result) -> void {
  if (m_Ended || !m_Call)
    return;
  m_Call.reset();
  if (Result.m_Outcome == HttpOutcome::Complete && m_Stream->whole()) {
    endAttempt();
    m_Services.m_Engines.outliers().recordSuccess(m_Engine);
    m_Services.m_Crashes.recordSuccess(m_Digest);
    m_Services.m_OrganisationRetries.recordSuccess(
        m_Input.m_Caller.m_Organisation.text());
    m_Services.m_BackendRetries.recordSuccess(m_Engine.text());
    complete();
    return;
  }
  failAttempt(Result.m_Outcome == HttpOutcome::NotSent
                  ? AttemptFailure::Unreachable
                  : AttemptFailure::Broken,
              Result.m_Outcome == HttpOutcome::Complete
                  ? "the answer ended without its end marker"
                  : Result.m_Detail);
}

auto CompletionCall::endAttempt() -> void {
  if (m_Stall)
    m_Services.m_Scheduler.cancel(*m_Stall);
  m_Stall.reset();
  if (m_Call)
    m_Services.m_Client.cancel(*m_Call);
  m_Call.reset();
  m_Services.m_Engines.end(m_Engine, m_Attempt);
  m_Services.m_Dispatcher.pumpSoon();
}

auto CompletionCall::failAttempt(AttemptFailure Kind, const std::string &Reason)
    -> void {
  auto Now = m_Services.m_Scheduler.now();
  auto Sent = Kind == AttemptFailure::Broken || Kind == AttemptFailure::Invalid;
  m_MayHaveRun = m_MayHaveRun || Sent;
  m_Tried.insert(m_Engine);
  m_Services.m_Metrics.countBackendFailure();
  m_Services.m_Engines.outliers().recordFailure(m_Engine, Now);
  m_Services.m_Decisions.record(m_Input.m_Request, "attempt.failed",
                                {{"engine", m_Engine},
                                 {"attempt", m_Attempt},
                                 {"position", m_Position},
                                 {"reason", Reason}});
  if (Kind == AttemptFailure::Unreachable) {
    // The engine gets no work for a while, so that these are few.
    m_Services.m_Engines.markUnreachable(m_Engine, Now);
    ++m_UnreachableAttempts;
  }
  if (Kind != AttemptFailure::Broken) {
    endAttempt();
    retry(Sent, false);
    return;
  }
  // Inspected before the flight ends, so that its digest is among the running.
  m_Services.m_Losses.inspect(m_Engine, [Self = shared_from_this()](bool Lost) {
    if (!Self->m_Ended)
      Self->retry(true, Lost);
  });
  endAttempt();
}

auto CompletionCall::retry(bool Sent, bool Lost) -> void {
  if (m_Services.m_Crashes.verdict(m_Digest) == CrashVerdict::Quarantined) {
    refuse(Refusal(RefusalCode::Quarantined, executed(),
                   fmt::format("digest {:016x}", m_Digest.number())));
    return;
  }
  auto Counted = m_Attempts - m_UnreachableAttempts;
  auto OutOfTries = Counted >= m_Services.m_Limits.m_MostAttempts;
  // What shared a lost server is not to blame, and what was not sent costs no
  // server anything: neither spends the budget.
  auto Free = Lost || !Sent;
  auto Affordable =
      Free || (m_Services.m_OrganisationRetries.spend(
                   m_Input.m_Caller.m_Organisation.text()) &&
               m_Services.m_BackendRetries.spend(m_Engine.text()));
  if (OutOfTries || !Affordable) {
    refuse(m_MayHaveRun ? Refusal(RefusalCode::BackendFailed, executed())
                        : Refusal(RefusalCode::BackendUnreachable));
    return;
  }
  m_Services.m_Metrics.countRetry();
  wait();
}

auto CompletionCall::executed() const -> Execution {
  if (m_Position > 0)
    return Execution::Ran;
  return m_MayHaveRun ? Execution::MayHaveRun : Execution::NotRun;
}

auto CompletionCall::complete() -> void {
  recordUsage([Self = shared_from_this()] {
    if (!Self->m_Ended)
      Self->deliver();
  });
}

auto CompletionCall::recordUsage(std::function<void()> Done) -> void {
  if (m_Recorded)
    return;
  m_Recorded = true;
  m_Services.m_Metrics.countTokens(m_PromptTokens, m_Position);
  m_Services.m_Usage.record({.m_Organisation = m_Input.m_Caller.m_Organisation,
                             .m_Model = m_Input.m_Completion.m_Model},
                            {.m_Requests = 1,
                             .m_PrefillTokens = TokenCount{m_PromptTokens},
                             .m_DecodeTokens = TokenCount{m_Position}},
                            std::move(Done));
}

auto CompletionCall::deliver() -> void {
  auto Usage =
      AnswerUsage{.m_Prompt = m_PromptTokens, .m_Completion = m_Position};
  if (m_Input.m_Completion.m_Stream) {
    if (!m_Started)
      emit({});
    auto &Exchange = *m_Input.m_Exchange;
    Exchange.write(m_Format.last(m_FinishReason));
    if (m_Input.m_Completion.m_IncludeUsage)
      Exchange.write(m_Format.usage(Usage));
    Exchange.write("data: [DONE]\n\n");
    Exchange.finish();
  } else {
    m_Input.m_Exchange->respond(
        {.m_Status = StatusOk,
         .m_Headers = {{.m_Name = "Content-Type",
                        .m_Value = "application/json"},
                       {.m_Name = "x-request-id",
                        .m_Value = m_Input.m_Request.text()}},
         .m_Body = m_Format.whole(m_Text, m_FinishReason, Usage)});
  }
  m_Services.m_Metrics.countAnswer("completion");
  m_Services.m_Decisions.record(
      m_Input.m_Request, "request.completed",
      {{"engine", m_Engine},
       {"attempts", m_Attempts},
       {"prompt_tokens", m_PromptTokens},
       {"completion_tokens", m_Position},
       {"took_ms", toMilliseconds(m_Services.m_Scheduler.now() - m_Arrived)}});
  finish();
}

auto CompletionCall::refuse(const Refusal &Reason) -> void {
  if (m_Ended)
    return;
  m_Services.m_Dispatcher.withdraw(m_Input.m_Request);
  if (!m_Attempt.empty())
    endAttempt();
  const auto &Shape = shapeOf(Reason.code());
  m_Services.m_Metrics.countRefusal(std::string(Shape.m_Name));
  m_Services.m_Decisions.record(m_Input.m_Request, "request.refused",
                                {{"code", Shape.m_Name},
                                 {"attempts", m_Attempts},
                                 {"position", m_Position}});
  if (m_Started) {
    // The caller sees both the error and that the answer is not whole.
    m_Input.m_Exchange->write(fmt::format("event: error\ndata: {}\n\n",
                                          Reason.document(m_Input.m_Request)));
    m_Input.m_Exchange->abort();
  } else {
    m_Input.m_Exchange->respond(Reason.response(m_Input.m_Request));
  }
  // Tokens that were given are billed; an answer that was never given is not.
  if (m_Started && m_Position > 0)
    recordUsage([] {});
  finish();
}

auto CompletionCall::onCallerLeft() -> void {
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
      stillGranted(*m_Services.m_Configuration.current(), m_Input.m_Caller))
    return;
  refuse(Refusal(RefusalCode::KeyWithdrawn, executed()));
}

auto CompletionCall::finish() -> void {
  m_Ended = true;
  m_Input.m_Exchange->onDisconnect(nullptr);
  // The owner may drop its reference to this call.
  auto Self = shared_from_this();
  m_OnEnd();
}

} // namespace dotterel
