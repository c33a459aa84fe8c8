#include "dotterel/serving/ServedRequest.h"

#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

constexpr auto FirstServerError = 500U;

/// Returns whether the server closed an idle kept-alive connection before it
/// read the request, which is not a failure of the server. A connection that
/// closes after the response has begun is one.
auto closedWhileIdle(const AttemptResult &Result) -> bool {
  return Result.m_ReusedConnection && Result.m_Head.m_Status == 0;
}

auto successful(unsigned Status) -> bool {
  return Status >= 200 && Status < 300;
}

/// Returns whether a response to a streaming request consists of events: its
/// content type is that of event streams or is not stated.
auto consistsOfEvents(const ResponseHead &Head) -> bool {
  constexpr auto EventStream = std::string_view("text/event-stream");
  auto Type = findHeader(Head.m_Headers, "Content-Type");
  return !Type ||
         sameHeaderName(std::string_view(*Type).substr(0, EventStream.size()),
                        EventStream);
}

/// Describes, for the log, what tells whether the response is one to this
/// attempt.
auto describeConnection(const std::string &Address, const AttemptResult &Result)
    -> std::string {
  auto Text = std::string();
  if (Result.m_ReusedConnection)
    Text += fmt::format(":reused={}", Address);
  if (Result.m_Unnamed)
    Text += ":unnamed";
  if (Result.m_SkippedResponses > 0)
    Text += fmt::format(":skipped={}", Result.m_SkippedResponses);
  return Text;
}

} // namespace

auto ServedRequest::countUsage() -> void {
  if (std::exchange(m_UsageCounted, true) ||
      m_Parameters.m_Organisation.empty())
    return;
  m_Context.m_CountUsage(m_Parameters.m_Organisation);
}

auto ServedRequest::recordPrefill(const BackendId &Engine) -> void {
  const auto &Prompt = m_Exchange->request().m_Prompt;
  if (!Prompt || !m_Parameters.m_Service->m_Engine)
    return;
  m_Context.m_Caches.touch(Engine,
                           m_Parameters.m_Service->m_Engine->m_CacheCapacity,
                           Prompt->m_Parts);
  // Short prompts are cheaper to prefill again than to report.
  if (Prompt->m_PromptTokens >= m_Context.m_Options.m_MinReportedTokens)
    m_Context.m_Reads.push_back(
        {.m_Engine = Engine, .m_Parts = Prompt->m_Parts});
}

auto ServedRequest::recordReport(const Attempt &Source,
                                 const ServerReport &Report,
                                 bool StatesRateLimit) -> void {
  auto Now = m_Context.m_Scheduler.now();
  if (Report.m_Load)
    m_Context.m_Loads.recordReport(Source.m_Backend, *Report.m_Load, Now);
  // Like the limit, the factor holds for that server and this moment.
  if (StatesRateLimit && Report.m_Load && Report.m_Load->m_WorkFactor)
    m_Context.m_Speeds.recordFactor(Source.m_Backend,
                                    *Report.m_Load->m_WorkFactor, Now);
  if (StatesRateLimit)
    m_Context.m_RateLimits.recordResponse(Source.m_Backend, Report.m_RateLimit,
                                          Now);
}

auto ServedRequest::recordWork(const Attempt &Done) -> void {
  const auto *Server = m_Context.m_Directory.find(Done.m_Backend);
  if (Server == nullptr || Done.m_UsualTime <= Duration::zero())
    return;
  auto Now = m_Context.m_Scheduler.now();
  // The time of the network, and of a fetch, is similar within a kind.
  auto Kind =
      fmt::format("{}/{}/{}/{}/{}", Server->m_Service.text(),
                  nameOf(Done.m_Purpose), static_cast<int>(Server->m_Stage),
                  static_cast<int>(m_Context.m_Distance.to(Done.m_DataCentre)),
                  Done.m_FetchedParts);
  m_Context.m_Speeds.recordWork(Kind, Done.m_Backend, Done.m_UsualTime,
                                Now - Done.m_StartedAt, Now);
}

auto ServedRequest::recordNotice(const Attempt &Source,
                                 const ServerNotice &Notice, bool FromAddress)
    -> void {
  if (Notice.empty())
    return;
  auto Now = m_Context.m_Scheduler.now();
  m_Context.m_Access.recordNotice(Source.target(), Notice, Now);
  if (!FromAddress)
    return;
  for (const auto &[Id, Record] : m_Context.m_Directory.all())
    if (Record.m_Address == Source.m_Address && Id != Source.m_Backend)
      m_Context.m_Access.recordNotice(targetOf(Record), Notice, Now);
}

auto ServedRequest::onBegin(const ResponseHead &Head,
                            const ServerReport &Report) -> void {
  auto Now = m_Context.m_Scheduler.now();
  m_Context.m_Loads.recordActivity(m_Attempt->m_Backend, Now);
  m_Context.m_Loads.prefillDone(m_Attempt->m_Backend,
                                m_Attempt->m_PendingTokens);
  recordReport(*m_Attempt, Report, true);
  recordNotice(*m_Attempt, Report.m_Notice, false);
  m_Attempt->m_Begun = true;
  m_Attempt->m_PendingTokens = 0;
  // A resumed stream keeps the response head of its first server.
  if (!std::exchange(m_Streaming, true)) {
    m_EventStream = consistsOfEvents(Head);
    recordOrigin();
    m_Exchange->beginStream(Head);
  }
}

auto ServedRequest::onData(std::string_view Data) -> void {
  m_Context.m_Loads.recordActivity(m_Attempt->m_Backend,
                                   m_Context.m_Scheduler.now());
  if (!std::exchange(m_FirstDataReceived, true)) {
    countUsage();
    m_Context.m_Metrics.observeFirstByte(m_Parameters.m_Route->m_Kind,
                                         m_Context.m_Scheduler.now() -
                                             m_ArrivedAt);
    m_AttemptLog +=
        fmt::format(" first={}ms",
                    toMilliseconds(m_Context.m_Scheduler.now() - m_ArrivedAt));
    recordPrefill(m_Attempt->m_Backend);
    recordWork(*m_Attempt);
  }
  forward(Data);
}

auto ServedRequest::forward(std::string_view Data) -> void {
  if (m_Parameters.m_Route->m_Resumable) {
    m_Exchange->write(m_Events.feed(Data));
  } else {
    // Forwarded at once, since no other server will send the event again.
    m_Events.track(Data);
    m_Exchange->write(Data);
  }
  if (!m_Done &&
      m_Exchange->unsentBytes() > m_Context.m_Options.m_MaxUnsentBytes) {
    cancelAttempt();
    finish("cut", "the caller does not read the response fast enough");
  }
  if (!m_Done && eventTooLong())
    failAttempt("an event is over the limit");
}

auto ServedRequest::eventTooLong() const -> bool {
  const auto &Options = m_Context.m_Options;
  if (m_EventStream)
    return m_Events.incompleteBytes() > Options.m_MaxEventBytes;
  // A response without events is buffered only if it could be resumed.
  return m_Events.incompleteEvent().size() > Options.m_MaxUnsentBytes;
}

auto ServedRequest::failAttempt(std::string Detail) -> void {
  m_Context.m_Transport.cancel(m_Attempt->m_Id);
  onEnd({.m_Outcome = AttemptOutcome::Failed, .m_Detail = std::move(Detail)});
}

auto ServedRequest::reportBroken(const Attempt &Ended) -> void {
  // A server that is to leave ends without a crash.
  const auto *Server = m_Context.m_Directory.find(Ended.m_Backend);
  if (Server != nullptr && Server->m_Draining)
    return;
  m_Context.m_Crashes.attemptBroken({.m_Id = Ended.m_Backend,
                                     .m_StartedAt = Ended.m_ServerStartedAt,
                                     .m_Address = Ended.m_Address,
                                     .m_DataCentre = Ended.m_DataCentre},
                                    m_Digests, Ended.m_StartedAt);
}

auto ServedRequest::completeAttempt(const AttemptResult &Result) -> Attempt {
  auto Ended = *m_Attempt;
  m_Attempt.reset();
  auto Now = m_Context.m_Scheduler.now();
  m_Context.m_Loads.prefillDone(Ended.m_Backend, Ended.m_PendingTokens);
  m_Context.m_Loads.endAttempt(Ended.m_Backend);
  recordNotice(Ended, Result.m_Report.m_Notice,
               Result.m_Outcome == AttemptOutcome::WrongServer);
  if (Result.m_Head.m_Status != 0) {
    m_Context.m_Loads.recordActivity(Ended.m_Backend, Now);
    recordReport(Ended, Result.m_Report,
                 Result.m_Outcome != AttemptOutcome::WrongServer &&
                     !Ended.m_Begun);
  }
  m_Context.m_Metrics.countAttempt(Ended.m_Purpose, Result.m_Outcome);
  m_Context.m_Metrics.countSkippedResponses(Result.m_SkippedResponses);
  m_AttemptLog += fmt::format(
      " {}@{}:{}:{}:{}ms:tokens={:.0f}{}{}{}", nameOf(Ended.m_Purpose),
      Ended.m_Backend.text(), nameOf(Result.m_Outcome), Result.m_Head.m_Status,
      toMilliseconds(Now - Ended.m_StartedAt), Ended.m_PlannedTokens,
      Ended.m_FetchedParts ? ":fetched" : "",
      Ended.m_Slowdown != 1 ? fmt::format(":slowdown={:.2f}", Ended.m_Slowdown)
                            : std::string(),
      describeConnection(Ended.m_Address, Result));
  m_MayHaveReached = m_MayHaveReached || Ended.m_Begun ||
                     (Result.m_Outcome != AttemptOutcome::NotSent &&
                      Result.m_Outcome != AttemptOutcome::NotExecuted &&
                      Result.m_Outcome != AttemptOutcome::WrongServer);
  switch (Result.m_Outcome) {
  case AttemptOutcome::Complete:
    m_Context.m_Loads.recordAcceptance(Ended.m_Backend);
    if (Result.m_Head.m_Status < FirstServerError)
      m_Context.m_Health.recordSuccess(Ended.m_Backend);
    else
      m_Context.m_Health.recordFailure(Ended.m_Backend, Now);
    // A response that ends with its connection also ends when the server
    // crashes.
    if (Result.m_EndedByClose)
      reportBroken(Ended);
    else if (Ended.m_Purpose == AttemptPurpose::Serve &&
             successful(Result.m_Head.m_Status))
      m_Context.m_Crashes.attemptSucceeded(m_Digests);
    break;
  case AttemptOutcome::NotExecuted:
  case AttemptOutcome::WrongServer:
    m_Context.m_Loads.recordRefusal(Ended.m_Backend, Now);
    break;
  case AttemptOutcome::NotSent:
  case AttemptOutcome::Failed:
  case AttemptOutcome::TimedOut:
    if (!closedWhileIdle(Result))
      m_Context.m_Health.recordFailure(Ended.m_Backend, Now);
    // Also if an idle connection was closed: the check tells whether the server
    // has ended.
    if (Result.m_Outcome == AttemptOutcome::Failed) {
      // A trial is not retried, since it may have crashed its server.
      m_TrialFailed = m_TrialFailed || m_Trial != nullptr;
      m_Trial.reset();
      reportBroken(Ended);
    }
    break;
  }
  return Ended;
}

auto ServedRequest::onEnd(AttemptResult Result) -> void {
  // Without a length the end of the connection is the only sign that a stream
  // is complete, and a length can be that of a truncated stream.
  if (Result.m_Outcome == AttemptOutcome::Complete && m_EventStream &&
      m_Events.insideEvent()) {
    Result.m_Outcome = AttemptOutcome::Failed;
    Result.m_Detail = "the stream ended inside an event";
  }
  auto Ended = completeAttempt(Result);
  if (Ended.m_Purpose == AttemptPurpose::Prefill)
    prefillEnded(Ended, Result);
  else
    serveEnded(Ended, std::move(Result));
}

auto ServedRequest::prefillEnded(const Attempt &Ended,
                                 const AttemptResult &Result) -> void {
  if (Result.m_Outcome == AttemptOutcome::Complete && Result.m_Cache) {
    auto Elapsed = m_Context.m_Scheduler.now() - Ended.m_StartedAt;
    m_Context.m_Speed.record(
        Ended.m_PendingTokens,
        std::chrono::duration_cast<Duration>(Elapsed / Ended.m_Slowdown));
    recordPrefill(Ended.m_Backend);
    recordWork(Ended);
    // The first accepted prefill does not count against the budget.
    if (!std::exchange(m_PrefillAccepted, true))
      refundAttempt();
    m_Cache = Result.m_Cache;
    m_PrefillAttempt = Ended;
    sendToDecodeEngine(m_PrefillAttempt);
    return;
  }
  if (Result.m_Outcome == AttemptOutcome::NotSent)
    refundAttempt();
  // A prefill does not count as an execution of the request.
  m_Excluded.insert(Ended.m_Backend);
  if (timeLeft() <= Duration::zero()) {
    handleDeadline();
    return;
  }
  place();
}

auto ServedRequest::serveEnded(const Attempt &Ended, AttemptResult Result)
    -> void {
  switch (Result.m_Outcome) {
  case AttemptOutcome::Complete:
    handleResponse(Ended, std::move(Result));
    return;
  case AttemptOutcome::NotSent:
  case AttemptOutcome::NotExecuted:
  case AttemptOutcome::WrongServer:
    m_Excluded.insert(Ended.m_Backend);
    retryNotExecuted(Ended, Result);
    return;
  case AttemptOutcome::Failed:
  case AttemptOutcome::TimedOut:
    ++m_Runs;
    retryAfterFailure(Ended, Result);
    return;
  }
}

auto ServedRequest::mayRepeat() const -> bool {
  return m_Parameters.m_Route->repeatable() &&
         m_Runs < m_Parameters.m_Route->m_MaxAttempts &&
         timeLeft() > Duration::zero();
}

auto ServedRequest::handleResponse(const Attempt &Ended, AttemptResult Result)
    -> void {
  auto Status = Result.m_Head.m_Status;
  if (m_Streaming) {
    if (!successful(Status)) {
      // The status of a failure cannot be sent after the response has begun.
      finish("cut", fmt::format("status {} after the first event", Status));
      return;
    }
    // Comment lines, or a response that does not consist of events.
    if (!m_Events.incompleteEvent().empty())
      m_Exchange->write(m_Events.incompleteEvent());
    m_Context.m_Metrics.observeCompleteResponse(m_Parameters.m_Route->m_Kind,
                                                m_Context.m_Scheduler.now() -
                                                    m_ArrivedAt);
    m_Exchange->finish();
    finish("served", {});
    return;
  }
  countUsage();
  ++m_Runs;
  auto Waited = Result.m_Report.m_Load && Result.m_Report.m_Load->m_Waiting > 0;
  // The response of an engine is as long as its output.
  if (successful(Status) && !Waited && !m_Parameters.m_Service->m_Engine)
    recordWork(Ended);
  if (Status >= FirstServerError && mayRepeat() &&
      m_Context.m_Retries.tryAcquire(m_Parameters.m_Service->m_Id,
                                     m_Context.m_Scheduler.now())) {
    m_Excluded.insert(Ended.m_Backend);
    m_ChargedInAdvance = true;
    place();
    return;
  }
  m_Context.m_Metrics.observeCompleteResponse(
      m_Parameters.m_Route->m_Kind, m_Context.m_Scheduler.now() - m_ArrivedAt);
  m_Exchange->sendResponse(Result.m_Head, std::move(Result.m_Body));
  finish(successful(Status) ? "served" : "server_failure",
         fmt::format("status {}", Status));
}

auto ServedRequest::retryNotExecuted(const Attempt &Ended,
                                     const AttemptResult &Result) -> void {
  if (timeLeft() <= Duration::zero()) {
    handleDeadline();
    return;
  }
  if (Result.m_Outcome == AttemptOutcome::NotSent)
    refundAttempt();
  // The prefilled KV cache is still available if the decode engine was full. If
  // it is not, the second engine refuses the request.
  if (Ended.m_Cache && !std::exchange(m_CacheReoffered, true)) {
    m_Cache = Ended.m_Cache;
    sendToDecodeEngine(m_PrefillAttempt);
    return;
  }
  m_CacheReoffered = false;
  place();
}

auto ServedRequest::retryAfterFailure(const Attempt &Ended,
                                      const AttemptResult &Result) -> void {
  if (mayRepeat()) {
    m_Events.discardIncompleteEvent();
    if (!closedWhileIdle(Result))
      m_Excluded.insert(Ended.m_Backend);
    place();
    return;
  }
  if (m_Streaming) {
    finish("cut", Result.m_Detail);
    return;
  }
  refuse(Result.m_Outcome == AttemptOutcome::TimedOut
             ? RefusalCode::DeadlineExceeded
             : RefusalCode::BackendFailed,
         Result.m_Detail);
}

} // namespace dotterel
