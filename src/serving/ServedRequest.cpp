#include "dotterel/serving/ServedRequest.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

constexpr auto FirstServerError = 500U;
/// The lowest scheduling rank that engines support.
constexpr auto LowestRank = 9U;
/// Minimum part of a retry-after time that remains when it is randomised.
constexpr auto MinRetryAfterPart = 0.7;

/// Returns whether the server closed an idle kept-alive connection before it
/// read the request, which is not a failure of the server. A connection that
/// closes after the response has begun is one.
auto closedWhileIdle(const AttemptResult &Result) -> bool {
  return Result.m_ReusedConnection && Result.m_Head.m_Status == 0;
}

auto sendPurpose(AttemptPurpose Purpose) -> SendPurpose {
  return Purpose == AttemptPurpose::Prefill ? SendPurpose::Prefill
                                            : SendPurpose::Execute;
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

} // namespace

ServedRequest::ServedRequest(ServingContext &Context,
                             CallerExchangePtr Exchange,
                             RequestParameters Parameters,
                             std::function<void()> Ended)
    : m_Context(Context), m_Exchange(std::move(Exchange)),
      m_Parameters(std::move(Parameters)), m_OnEnded(std::move(Ended)),
      m_Digests(digestsOf(m_Exchange->request(), *m_Parameters.m_Service,
                          m_Parameters.m_Organisation)),
      m_ArrivedAt(Context.m_Scheduler.now()) {
  auto Limit = m_Parameters.m_Route->m_Timeout;
  if (auto Left = m_Exchange->request().m_TimeLeft)
    Limit = std::min(Limit, *Left);
  m_Deadline = m_ArrivedAt + Limit;
}

ServedRequest::~ServedRequest() {
  if (m_ActivityTimer)
    m_Context.m_Scheduler.cancel(*m_ActivityTimer);
  if (m_DeadlineTimer)
    m_Context.m_Scheduler.cancel(*m_DeadlineTimer);
  m_Exchange->onDisconnect(nullptr);
  cancelAttempt();
}

auto ServedRequest::start() -> void {
  m_Context.m_Retries.recordRequest(m_Parameters.m_Service->m_Id, m_ArrivedAt);
  m_Exchange->onDisconnect([this] { handleDisconnect(); });
  m_DeadlineTimer = m_Context.m_Scheduler.schedule(
      m_Deadline - m_ArrivedAt + m_Context.m_Options.m_DeadlineGrace, [this] {
        m_DeadlineTimer.reset();
        handleDeadline();
      });
  place();
}

auto ServedRequest::timeLeft() const -> Duration {
  return m_Deadline - m_Context.m_Scheduler.now();
}

auto ServedRequest::retryAfter(Duration Wanted) -> Duration {
  const auto &Options = m_Context.m_Options;
  auto MaxTime = std::chrono::duration_cast<Duration>(
      timeLeft() * Options.m_MaxRetryAfterShare);
  MaxTime = std::max(MaxTime, Options.m_MinRetryAfter);
  auto Chosen = std::clamp(Wanted, Options.m_MinRetryAfter, MaxTime);
  // Randomised, so that callers refused at the same time do not retry at the
  // same time.
  return std::chrono::duration_cast<Duration>(
      Chosen * (MinRetryAfterPart +
                (1 - MinRetryAfterPart) * m_Context.m_Random.unit()));
}

auto ServedRequest::retryAfterOpening(Duration Opening) -> Duration {
  return retryAfter(std::chrono::duration_cast<Duration>(
      std::min(Opening, timeLeft()) / MinRetryAfterPart));
}

auto ServedRequest::refuseIfQuarantined() -> bool {
  auto Found = m_Context.m_Crashes.quarantined(m_Digests, m_Trial.get());
  if (Found && !m_Trial && !m_TrialFailed) {
    m_Trial = m_Context.m_Crashes.beginTrial(m_Digests);
    if (m_Trial)
      Found = m_Context.m_Crashes.quarantined(m_Digests, m_Trial.get());
  }
  if (!Found)
    return false;
  refuse(RefusalCode::Quarantined,
         fmt::format("{} (digest {}) was running on several servers when they "
                     "crashed",
                     *Found == m_Digests.m_Content ? "the request"
                                                   : "a part of the prompt",
                     Found->number()));
  return true;
}

auto ServedRequest::place() -> void {
  if (refuseIfQuarantined())
    return;
  if (++m_Placements > m_Context.m_Options.m_MaxPlacements) {
    refuse(RefusalCode::BackendUnreachable, "no server could be reached",
           retryAfter(m_Context.m_Options.m_MinRetryAfter));
    return;
  }
  auto Prompt =
      m_Parameters.m_Service->m_Engine && m_Exchange->request().m_Prompt;
  if (Prompt)
    placePrompt();
  else
    placePlain();
}

auto ServedRequest::placePlain() -> void {
  const auto *Target = m_Context.m_ServerChoice.choose(
      m_Context.view(), m_Parameters.m_Service->m_Id, m_Excluded,
      m_Context.m_Scheduler.now());
  if (Target == nullptr) {
    refuseWithoutServer("no server of the service is registered");
    return;
  }
  send(*Target, AttemptPurpose::Serve, 0, {});
}

auto ServedRequest::placePrompt() -> void {
  const auto &Prompt = *m_Exchange->request().m_Prompt;
  auto Plan = m_Context.m_Placement.plan(
      m_Context.view(), m_Context.m_Caches, m_Context.m_Speed,
      *m_Parameters.m_Service, Prompt, m_Excluded, m_Context.m_Scheduler.now());
  if (!Plan.possible()) {
    refuseWithoutServer("no engine of the service is registered");
    return;
  }
  m_Estimate = Plan.m_Estimate;
  if (m_Placements == 1)
    m_Context.m_Demand.addPrefill(static_cast<std::uint64_t>(Plan.m_NewTokens));
  auto MaxWait = std::chrono::duration_cast<Duration>(
      timeLeft() * m_Context.m_Options.m_MaxWaitShare);
  if (!m_Streaming && Plan.m_Estimate > MaxWait) {
    refuse(RefusalCode::QueueFull,
           fmt::format(
               "the first event is expected after {} ms, {} ms are left",
               toMilliseconds(Plan.m_Estimate), toMilliseconds(timeLeft())),
           retryAfter(Plan.m_Estimate - MaxWait));
    return;
  }
  // A resumed stream does not go through a prefill engine again: its engine
  // prefills the parts that it has not cached.
  if (Plan.m_Prefill != nullptr && !m_Streaming) {
    send(*Plan.m_Prefill, AttemptPurpose::Prefill, Plan.m_NewTokens,
         Plan.m_FetchFrom);
    return;
  }
  const auto *Target = Plan.m_Serve;
  if (Target == nullptr)
    Target = m_Context.m_Placement.chooseDecodeEngine(
        m_Context.view(), m_Context.m_Speed, *m_Parameters.m_Service,
        *Plan.m_Prefill, m_Excluded, m_Context.m_Scheduler.now());
  if (Target == nullptr) {
    refuseWithoutServer("no engine generates");
    return;
  }
  send(*Target, AttemptPurpose::Serve, Plan.m_NewTokens, Plan.m_FetchFrom);
}

auto ServedRequest::chargeAttempt() -> bool {
  m_Charged =
      m_CountedAttempts > 0 && !std::exchange(m_ChargedInAdvance, false);
  if (m_Charged && !m_Context.m_Retries.tryAcquire(m_Parameters.m_Service->m_Id,
                                                   m_Context.m_Scheduler.now()))
    return false;
  ++m_CountedAttempts;
  return true;
}

auto ServedRequest::refundAttempt() -> void {
  --m_CountedAttempts;
  if (std::exchange(m_Charged, false))
    m_Context.m_Retries.refund(m_Parameters.m_Service->m_Id);
}

auto ServedRequest::admit(const BackendRecord &Target, AttemptPurpose Purpose)
    -> SendDecision {
  const auto *Record = m_Context.m_Directory.find(Target.m_Id);
  auto Listed = targetOf(Record != nullptr ? *Record : Target);
  return m_Context.m_Access.admit(
      targetOf(Target), sendPurpose(Purpose),
      {.m_Listed = Record != nullptr ? &Listed : nullptr,
       .m_CallerPresent = !m_Done,
       .m_Quarantined =
           m_Context.m_Crashes.quarantined(m_Digests, m_Trial.get())
               .has_value(),
       .m_TimeLeft = timeLeft()},
      m_Context.m_Scheduler.now());
}

auto ServedRequest::handleDenial(const BackendRecord &Target,
                                 AttemptPurpose Purpose, SendDenial Denial)
    -> void {
  m_Context.m_Metrics.countSendDenial(Denial);
  logInfo("send.denied", {{"request", m_Exchange->request().m_Id},
                          {"backend", Target.m_Id},
                          {"purpose", nameOf(Purpose)},
                          {"reason", nameOf(Denial)}});
  switch (Denial) {
  case SendDenial::CallerLeft:
    return;
  case SendDenial::TimeOver:
    handleDeadline();
    return;
  case SendDenial::Quarantined:
    if (refuseIfQuarantined())
      return;
    break;
  default:
    m_Excluded.insert(Target.m_Id);
    break;
  }
  if (m_Cache)
    sendToDecodeEngine(m_PrefillAttempt);
  else
    place();
}

auto ServedRequest::send(const BackendRecord &Target, AttemptPurpose Purpose,
                         double Tokens, const std::string &FetchFrom) -> void {
  if (!chargeAttempt()) {
    refuse(m_Runs > 0 ? RefusalCode::BackendFailed : RefusalCode::QueueFull,
           "no retry is left in the budget", retryAfter(timeLeft()));
    return;
  }
  auto Decision = admit(Target, Purpose);
  if (!Decision.m_Permit) {
    refundAttempt();
    handleDenial(Target, Purpose, Decision.m_Denial);
    return;
  }
  const auto &Request = m_Exchange->request();
  auto Sent = BackendAttempt{.m_Request = &Request,
                             .m_Backend = Target.m_Id,
                             .m_Address = Target.m_Address,
                             .m_Purpose = Purpose,
                             .m_TimeLeft = timeLeft(),
                             .m_Organisation = m_Parameters.m_Organisation,
                             .m_FetchFrom = FetchFrom,
                             .m_ResumeAfter = m_Events.lastId().empty()
                                                  ? Request.m_ResumeAfter
                                                  : m_Events.lastId()};
  if (m_Parameters.m_Service->m_Engine)
    Sent.m_Rank = std::min(LowestRank, m_Parameters.m_Priority);
  auto Current = Attempt{.m_Backend = Target.m_Id,
                         .m_Address = Target.m_Address,
                         .m_DataCentre = Target.m_DataCentre,
                         .m_ServerStartedAt = Target.m_StartedAt,
                         .m_Purpose = Purpose,
                         .m_PendingTokens = Tokens,
                         .m_PlannedTokens = Tokens,
                         .m_FetchedParts = !FetchFrom.empty(),
                         .m_StartedAt = m_Context.m_Scheduler.now()};
  if (Purpose == AttemptPurpose::Serve) {
    Sent.m_Cache = std::exchange(m_Cache, std::nullopt);
    Current.m_Cache = Sent.m_Cache;
  }
  m_Context.m_Loads.beginAttempt(Target.m_Id, Tokens, Current.m_StartedAt);
  Current.m_Id = m_Context.m_Transport.send(
      std::move(*Decision.m_Permit), Sent,
      m_Parameters.m_Route->m_Kind == RequestKind::Stream, *this);
  m_Attempt = Current;
  scheduleActivityCheck();
}

auto ServedRequest::scheduleActivityCheck() -> void {
  if (m_ActivityTimer)
    m_Context.m_Scheduler.cancel(*m_ActivityTimer);
  m_ActivityTimer.reset();
  // A prefill engine with long prompts in its queue may legitimately send
  // nothing for a long time.
  if (m_Attempt->m_Purpose == AttemptPurpose::Prefill ||
      !m_Parameters.m_Route->repeatable())
    return;
  m_ActivityCheckAt =
      m_Context.m_Scheduler.now() + m_Context.m_Options.m_ActivityCheckInterval;
  m_ActivityTimer = m_Context.m_Scheduler.schedule(
      m_Context.m_Options.m_ActivityCheckInterval, [this] {
        m_ActivityTimer.reset();
        checkActivity();
      });
}

auto ServedRequest::checkActivity() -> void {
  auto Now = m_Context.m_Scheduler.now();
  if (m_Done || !m_Attempt)
    return;
  auto Allowed =
      mayRepeat() && m_Runs + 1 < m_Parameters.m_Route->m_MaxAttempts;
  auto Delayed =
      Now - m_ActivityCheckAt >= m_Context.m_Options.m_MaxActivityCheckDelay;
  if (!Allowed || Delayed ||
      !m_Context.m_Loads.unresponsive(m_Attempt->m_Backend, Now) ||
      !hasAlternative(Now) ||
      !m_Context.m_Retries.tryAcquire(m_Parameters.m_Service->m_Id, Now)) {
    scheduleActivityCheck();
    return;
  }
  m_ChargedInAdvance = true;
  m_TakenFromServer = true;
  m_Context.m_Health.recordFailure(m_Attempt->m_Backend, Now);
  m_Excluded.insert(m_Attempt->m_Backend);
  ++m_Runs;
  cancelAttempt();
  m_Events.discardIncompleteEvent();
  place();
}

auto ServedRequest::hasAlternative(MonotonicTime Now) const -> bool {
  auto Excluded = m_Excluded;
  Excluded.insert(m_Attempt->m_Backend);
  auto Others =
      candidates(m_Context.view(), m_Parameters.m_Service->m_Id, Excluded, Now);
  return std::any_of(Others.begin(), Others.end(), [](const auto *Item) {
    return Item->m_Stage != EngineStage::Prefill;
  });
}

auto ServedRequest::placeLater() -> bool {
  if (!m_TakenFromServer || !mayRepeat())
    return false;
  m_Excluded.clear();
  m_Placements = 0;
  if (m_ActivityTimer)
    m_Context.m_Scheduler.cancel(*m_ActivityTimer);
  m_ActivityTimer = m_Context.m_Scheduler.schedule(
      m_Context.m_Options.m_ActivityCheckInterval, [this] {
        m_ActivityTimer.reset();
        place();
      });
  return true;
}

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
  if (StatesRateLimit)
    m_Context.m_RateLimits.recordResponse(Source.m_Backend, Report.m_RateLimit,
                                          Now);
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
  m_AttemptLog += fmt::format(
      " {}@{}:{}:{}:{}ms:tokens={:.0f}{}", nameOf(Ended.m_Purpose),
      Ended.m_Backend.text(), nameOf(Result.m_Outcome), Result.m_Head.m_Status,
      toMilliseconds(Now - Ended.m_StartedAt), Ended.m_PlannedTokens,
      Ended.m_FetchedParts ? ":fetched" : "");
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
    m_Context.m_Speed.record(Ended.m_PendingTokens,
                             m_Context.m_Scheduler.now() - Ended.m_StartedAt);
    recordPrefill(Ended.m_Backend);
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

auto ServedRequest::sendToDecodeEngine(const Attempt &PrefillAttempt) -> void {
  if (refuseIfQuarantined())
    return;
  auto Record = BackendRecord{.m_Id = PrefillAttempt.m_Backend,
                              .m_DataCentre = PrefillAttempt.m_DataCentre};
  const auto *Target = m_Context.m_Placement.chooseDecodeEngine(
      m_Context.view(), m_Context.m_Speed, *m_Parameters.m_Service, Record,
      m_Excluded, m_Context.m_Scheduler.now());
  if (Target == nullptr) {
    if (!waitForDecodeEngine())
      refuseWithoutServer("no engine generates");
    return;
  }
  send(*Target, AttemptPurpose::Serve, 0, {});
}

auto ServedRequest::waitForDecodeEngine() -> bool {
  auto Shortest = Duration::max();
  for (const auto *Item :
       m_Context.m_Directory.usable(m_Parameters.m_Service->m_Id))
    if (Item->m_Stage == EngineStage::Decode &&
        !m_Excluded.contains(Item->m_Id))
      Shortest =
          std::min(Shortest, m_Context.m_Access.timeToOpen(
                                 targetOf(*Item), m_Context.m_Scheduler.now()));
  auto MaxWait = std::chrono::duration_cast<Duration>(
      timeLeft() * m_Context.m_Options.m_MaxPermitWaitShare);
  // Without a time an engine is excluded for another reason.
  if (Shortest <= Duration::zero() || Shortest > MaxWait)
    return false;
  if (m_ActivityTimer)
    m_Context.m_Scheduler.cancel(*m_ActivityTimer);
  m_ActivityTimer = m_Context.m_Scheduler.schedule(Shortest, [this] {
    m_ActivityTimer.reset();
    sendToDecodeEngine(m_PrefillAttempt);
  });
  return true;
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

auto ServedRequest::refuse(RefusalCode Code, std::string Detail,
                           std::optional<Duration> RetryAfter) -> void {
  if (m_Done)
    return;
  if (m_Streaming) {
    // Its server may have been healthy, so the caller keeps the stream as long
    // as another server may take it.
    if (Code != RefusalCode::Quarantined && placeLater())
      return;
    finish("cut", Detail);
    return;
  }
  auto Ran = m_Runs > 0 ? Execution::MayHaveRun : Execution::NotRun;
  m_Exchange->refuse(Refusal(Code, Ran, Detail), RetryAfter);
  if (RetryAfter)
    Detail += fmt::format("; retry after {} ms", toMilliseconds(*RetryAfter));
  finish(std::string(definitionOf(Code).m_Name), Detail);
}

auto ServedRequest::refuseWithoutServer(const char *Reason) -> void {
  auto Denials = denialsOf(m_Context.view(), m_Parameters.m_Service->m_Id,
                           m_Context.m_Scheduler.now());
  for (const auto &[Denial, Count] : Denials.m_Counts)
    if (Denial != SendDenial::None)
      m_Context.m_Metrics.countSendDenial(Denial);
  if (Denials.m_TimeToOpen) {
    refuse(m_Runs > 0 ? RefusalCode::BackendFailed : RefusalCode::QueueFull,
           Denials.text(), retryAfterOpening(*Denials.m_TimeToOpen));
    return;
  }
  refuse(RefusalCode::NoBackend, fmt::format("{}; {}", Reason, Denials.text()),
         retryAfter(timeLeft()));
}

auto ServedRequest::releaseCache() -> void {
  if (!m_Cache)
    return;
  auto Cache = *std::exchange(m_Cache, std::nullopt);
  auto Now = m_Context.m_Scheduler.now();
  auto Decision = m_Context.m_Access.admit(m_PrefillAttempt.target(),
                                           SendPurpose::Release, {}, Now);
  if (!Decision.m_Permit) {
    // The cache expires by itself.
    m_Context.m_Metrics.countSendDenial(Decision.m_Denial);
    return;
  }
  m_Context.m_Transport.release(
      std::move(*Decision.m_Permit), Cache,
      [&Context = m_Context, Lifetime = std::weak_ptr(m_Context.m_Lifetime),
       Source = m_PrefillAttempt](const ServerNotice &Notice) {
        if (!Lifetime.expired())
          Context.m_Access.recordNotice(Source.target(), Notice,
                                        Context.m_Scheduler.now());
      });
}

auto ServedRequest::cancelAttempt() -> void {
  releaseCache();
  if (!m_Attempt)
    return;
  auto Dropped = *m_Attempt;
  m_Attempt.reset();
  m_Context.m_Loads.prefillDone(Dropped.m_Backend, Dropped.m_PendingTokens);
  m_Context.m_Loads.endAttempt(Dropped.m_Backend);
  m_Context.m_Transport.cancel(Dropped.m_Id);
  m_AttemptLog += fmt::format(
      " {}@{}:dropped:{}ms", nameOf(Dropped.m_Purpose),
      Dropped.m_Backend.text(),
      toMilliseconds(m_Context.m_Scheduler.now() - Dropped.m_StartedAt));
}

auto ServedRequest::handleDisconnect() -> void {
  cancelAttempt();
  finish("caller_left", {});
}

auto ServedRequest::handleDeadline() -> void {
  if (m_Done)
    return;
  if (m_Attempt && m_Attempt->m_Purpose == AttemptPurpose::Serve)
    ++m_Runs;
  cancelAttempt();
  refuse(RefusalCode::DeadlineExceeded, "the time of the request is over");
}

auto ServedRequest::endForShutdown() -> void {
  if (m_Done)
    return;
  if (m_Attempt && m_Attempt->m_Purpose == AttemptPurpose::Serve)
    ++m_Runs;
  cancelAttempt();
  if (m_Streaming) {
    finish("cut", "the process exits");
    return;
  }
  refuse(RefusalCode::ShuttingDown, "the process exits",
         m_Runs > 0
             ? std::nullopt
             : std::optional(retryAfter(m_Context.m_Options.m_MinRetryAfter)));
}

auto ServedRequest::finish(const std::string &Outcome,
                           const std::string &Detail) -> void {
  if (std::exchange(m_Done, true))
    return;
  if (m_DeadlineTimer)
    m_Context.m_Scheduler.cancel(*m_DeadlineTimer);
  m_DeadlineTimer.reset();
  if (m_ActivityTimer)
    m_Context.m_Scheduler.cancel(*m_ActivityTimer);
  m_ActivityTimer.reset();
  m_Exchange->onDisconnect(nullptr);
  cancelAttempt();
  m_Trial.reset();
  if (Outcome == "cut")
    m_Exchange->abort();
  m_Context.m_Metrics.countRequest(m_Parameters.m_Route->m_Kind, Outcome);
  auto Good = Outcome == "served" || Outcome == "caller_left";
  logEvent(Good ? LogLevel::Info : LogLevel::Warning, "request.ended",
           {{"request", m_Exchange->request().m_Id},
            {"route", m_Parameters.m_Route->m_Id},
            {"organisation", m_Parameters.m_Organisation},
            {"config", m_Parameters.m_Configuration->m_Revision},
            {"outcome", Outcome},
            {"detail", Detail},
            {"ms", toMilliseconds(m_Context.m_Scheduler.now() - m_ArrivedAt)},
            {"allowed_ms", toMilliseconds(m_Deadline - m_ArrivedAt)},
            {"estimate_ms", toMilliseconds(m_Estimate)},
            {"attempts", m_AttemptLog}});
  // The owner destroys this request in the next iteration of the event loop.
  m_OnEnded();
}

} // namespace dotterel
