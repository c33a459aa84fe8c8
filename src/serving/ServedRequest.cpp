#include "dotterel/serving/ServedRequest.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

constexpr auto FirstServerError = 500U;
/// The lowest rank that engines know.
constexpr auto LowestRank = 9U;

/// Whether the server closed a kept connection before it read the request,
/// which tells of no fault. Once its answer has begun it is one.
auto closedWhileIdle(const AttemptResult &Result) -> bool {
  return Result.m_ReusedConnection && Result.m_Head.m_Status == 0;
}

auto successful(unsigned Status) -> bool {
  return Status >= 200 && Status < 300;
}

} // namespace

ServedRequest::ServedRequest(ServingContext &Context,
                             CallerExchangePtr Exchange, RequestTerms Terms,
                             std::function<void()> Ended)
    : m_Context(Context), m_Exchange(std::move(Exchange)),
      m_Terms(std::move(Terms)), m_Ended(std::move(Ended)),
      m_ArrivedAt(Context.m_Scheduler.now()) {
  auto Limit = m_Terms.m_Route->m_Timeout;
  if (auto Left = m_Exchange->request().m_TimeLeft)
    Limit = std::min(Limit, *Left);
  m_Deadline = m_ArrivedAt + Limit;
}

ServedRequest::~ServedRequest() {
  if (m_SilenceTimer)
    m_Context.m_Scheduler.cancel(*m_SilenceTimer);
  if (m_Timer)
    m_Context.m_Scheduler.cancel(*m_Timer);
  m_Exchange->onDisconnect(nullptr);
  dropAttempt();
}

auto ServedRequest::start() -> void {
  m_Context.m_Retries.recordRequest(m_Terms.m_Service->m_Id, m_ArrivedAt);
  m_Exchange->onDisconnect([this] { callerLeft(); });
  m_Timer = m_Context.m_Scheduler.schedule(
      m_Deadline - m_ArrivedAt + m_Context.m_Options.m_ExpirySlack, [this] {
        m_Timer.reset();
        expire();
      });
  place();
}

auto ServedRequest::timeLeft() const -> Duration {
  return m_Deadline - m_Context.m_Scheduler.now();
}

auto ServedRequest::returnTime(Duration Wanted) -> Duration {
  const auto &Options = m_Context.m_Options;
  auto Most =
      std::chrono::duration_cast<Duration>(timeLeft() * Options.m_ReturnShare);
  Most = std::max(Most, Options.m_ShortestReturn);
  auto Chosen = std::clamp(Wanted, Options.m_ShortestReturn, Most);
  // Spread, so that callers refused together do not return together.
  constexpr auto Least = 0.7;
  return std::chrono::duration_cast<Duration>(
      Chosen * (Least + (1 - Least) * m_Context.m_Random.unit()));
}

auto ServedRequest::place() -> void {
  if (++m_Placements > m_Context.m_Options.m_MostPlacements) {
    refuse(RefusalCode::BackendUnreachable, "no server could be reached",
           returnTime(m_Context.m_Options.m_ShortestReturn));
    return;
  }
  auto Prompt = m_Terms.m_Service->m_Engine && m_Exchange->request().m_Prompt;
  if (Prompt)
    placePrompt();
  else
    placePlain();
}

auto ServedRequest::placePlain() -> void {
  const auto *Target =
      m_Context.m_ServerChoice.choose(m_Context.view(), m_Terms.m_Service->m_Id,
                                      m_Excluded, m_Context.m_Scheduler.now());
  if (Target == nullptr) {
    refuse(RefusalCode::NoBackend, "no server of the service is registered",
           returnTime(timeLeft()));
    return;
  }
  send(*Target, AttemptPurpose::Serve, 0, {});
}

auto ServedRequest::placePrompt() -> void {
  const auto &Prompt = *m_Exchange->request().m_Prompt;
  auto Plan = m_Context.m_Placement.plan(
      m_Context.view(), m_Context.m_Caches, m_Context.m_Speed,
      *m_Terms.m_Service, Prompt, m_Excluded, m_Context.m_Scheduler.now());
  if (!Plan.possible()) {
    refuse(RefusalCode::NoBackend, "no engine of the service is registered",
           returnTime(timeLeft()));
    return;
  }
  m_Estimate = Plan.m_Estimate;
  if (m_Placements == 1)
    m_Context.m_Demand.addPrefill(static_cast<std::uint64_t>(Plan.m_NewTokens));
  auto Feasible = std::chrono::duration_cast<Duration>(
      timeLeft() * m_Context.m_Options.m_FeasibleShare);
  if (!m_Streaming && Plan.m_Estimate > Feasible) {
    refuse(RefusalCode::QueueFull,
           fmt::format(
               "the first event is expected after {} ms, {} ms are left",
               toMilliseconds(Plan.m_Estimate), toMilliseconds(timeLeft())),
           returnTime(Plan.m_Estimate - Feasible));
    return;
  }
  // A stream that goes on is not read apart again: its engine reads what it
  // lacks.
  if (Plan.m_Prefill != nullptr && !m_Streaming) {
    send(*Plan.m_Prefill, AttemptPurpose::Prefill, Plan.m_NewTokens,
         Plan.m_FetchFrom);
    return;
  }
  const auto *Target = Plan.m_Serve;
  if (Target == nullptr)
    Target = m_Context.m_Placement.chooseDecode(
        m_Context.view(), m_Context.m_Speed, *m_Terms.m_Service,
        *Plan.m_Prefill, m_Excluded, m_Context.m_Scheduler.now());
  if (Target == nullptr) {
    refuse(RefusalCode::NoBackend, "no engine generates",
           returnTime(timeLeft()));
    return;
  }
  send(*Target, AttemptPurpose::Serve, Plan.m_NewTokens, Plan.m_FetchFrom);
}

auto ServedRequest::payFor() -> bool {
  m_Paid = m_Arrivals > 0 && !std::exchange(m_Prepaid, false);
  if (m_Paid && !m_Context.m_Retries.take(m_Terms.m_Service->m_Id,
                                          m_Context.m_Scheduler.now()))
    return false;
  ++m_Arrivals;
  return true;
}

auto ServedRequest::takeBack() -> void {
  --m_Arrivals;
  if (std::exchange(m_Paid, false))
    m_Context.m_Retries.refund(m_Terms.m_Service->m_Id);
}

auto ServedRequest::send(const BackendRecord &Target, AttemptPurpose Purpose,
                         double Tokens, const std::string &FetchFrom) -> void {
  if (!payFor()) {
    refuse(m_Runs > 0 ? RefusalCode::BackendFailed : RefusalCode::QueueFull,
           "no retry is left in the budget", returnTime(timeLeft()));
    return;
  }
  const auto &Request = m_Exchange->request();
  auto Sent = BackendAttempt{.m_Request = &Request,
                             .m_Backend = Target.m_Id,
                             .m_Address = Target.m_Address,
                             .m_Purpose = Purpose,
                             .m_TimeLeft = timeLeft(),
                             .m_Organisation = m_Terms.m_Organisation,
                             .m_FetchFrom = FetchFrom,
                             .m_ResumeAfter = m_Events.lastId().empty()
                                                  ? Request.m_ResumeAfter
                                                  : m_Events.lastId()};
  if (m_Terms.m_Service->m_Engine)
    Sent.m_Rank = std::min(LowestRank, m_Terms.m_Priority);
  auto Current = Attempt{.m_Backend = Target.m_Id,
                         .m_Address = Target.m_Address,
                         .m_DataCentre = Target.m_DataCentre,
                         .m_Purpose = Purpose,
                         .m_Tokens = Tokens,
                         .m_Planned = Tokens,
                         .m_Fetched = !FetchFrom.empty(),
                         .m_Since = m_Context.m_Scheduler.now()};
  if (Purpose == AttemptPurpose::Serve) {
    Sent.m_Cache = std::exchange(m_Cache, std::nullopt);
    Current.m_Cache = Sent.m_Cache;
  }
  m_Context.m_Loads.begin(Target.m_Id, Tokens, Current.m_Since);
  Current.m_Id = m_Context.m_Transport.send(
      Sent, m_Terms.m_Route->m_Kind == RequestKind::Stream, *this);
  m_Attempt = Current;
  armSilence();
}

auto ServedRequest::armSilence() -> void {
  if (m_SilenceTimer)
    m_Context.m_Scheduler.cancel(*m_SilenceTimer);
  m_SilenceTimer.reset();
  // A reader with long prompts before it is rightly silent.
  if (m_Attempt->m_Purpose == AttemptPurpose::Prefill ||
      !m_Terms.m_Route->repeatable())
    return;
  m_SilenceTimer = m_Context.m_Scheduler.schedule(
      m_Context.m_Options.m_SilenceInterval, [this] {
        m_SilenceTimer.reset();
        watchSilence();
      });
}

auto ServedRequest::watchSilence() -> void {
  auto Now = m_Context.m_Scheduler.now();
  if (m_Done || !m_Attempt)
    return;
  auto Allowed = mayRepeat() && m_Runs + 1 < m_Terms.m_Route->m_MaximumAttempts;
  if (!Allowed || !m_Context.m_Loads.silent(m_Attempt->m_Backend, Now) ||
      !m_Context.m_Retries.take(m_Terms.m_Service->m_Id, Now)) {
    armSilence();
    return;
  }
  m_Prepaid = true;
  m_Context.m_Health.recordFailure(m_Attempt->m_Backend, Now);
  m_Excluded.insert(m_Attempt->m_Backend);
  ++m_Runs;
  dropAttempt();
  m_Events.dropRest();
  place();
}

auto ServedRequest::countRun() -> void {
  if (std::exchange(m_Counted, true) || m_Terms.m_Organisation.empty())
    return;
  m_Context.m_CountUsage(m_Terms.m_Organisation);
}

auto ServedRequest::noteRead(const BackendId &Engine) -> void {
  const auto &Prompt = m_Exchange->request().m_Prompt;
  if (!Prompt || !m_Terms.m_Service->m_Engine)
    return;
  m_Context.m_Caches.touch(Engine, m_Terms.m_Service->m_Engine->m_CacheCapacity,
                           Prompt->m_Parts);
  // Short prompts are cheaper to read again than to tell of.
  if (Prompt->m_PromptTokens >= m_Context.m_Options.m_ToldTokens)
    m_Context.m_Reads.push_back(
        {.m_Engine = Engine, .m_Parts = Prompt->m_Parts});
}

auto ServedRequest::onBegin(const AnswerHead &Head,
                            const std::optional<LoadReport> &Load) -> void {
  auto Now = m_Context.m_Scheduler.now();
  m_Context.m_Loads.heard(m_Attempt->m_Backend, Now);
  m_Context.m_Loads.prefillDone(m_Attempt->m_Backend, m_Attempt->m_Tokens);
  if (Load)
    m_Context.m_Loads.report(m_Attempt->m_Backend, *Load, Now);
  m_Attempt->m_Tokens = 0;
  // A stream that goes on keeps the head of its first server.
  if (!std::exchange(m_Streaming, true))
    m_Exchange->beginStream(Head);
}

auto ServedRequest::onData(std::string_view Data) -> void {
  m_Context.m_Loads.heard(m_Attempt->m_Backend, m_Context.m_Scheduler.now());
  if (!std::exchange(m_FirstSeen, true)) {
    countRun();
    m_Context.m_Metrics.observeFirstAnswer(
        m_Terms.m_Route->m_Kind, m_Context.m_Scheduler.now() - m_ArrivedAt);
    m_Trail +=
        fmt::format(" first={}ms",
                    toMilliseconds(m_Context.m_Scheduler.now() - m_ArrivedAt));
    noteRead(m_Attempt->m_Backend);
  }
  forward(Data);
}

auto ServedRequest::forward(std::string_view Data) -> void {
  if (m_Terms.m_Route->m_Resumable)
    m_Exchange->write(m_Events.feed(Data));
  else
    m_Exchange->write(Data);
  if (!m_Done &&
      m_Exchange->backlog() > m_Context.m_Options.m_MostBacklogBytes) {
    dropAttempt();
    finish("cut", "the caller does not take the answer");
  }
}

auto ServedRequest::settleAttempt(const AttemptResult &Result) -> Attempt {
  auto Ended = *m_Attempt;
  m_Attempt.reset();
  auto Now = m_Context.m_Scheduler.now();
  m_Context.m_Loads.prefillDone(Ended.m_Backend, Ended.m_Tokens);
  m_Context.m_Loads.end(Ended.m_Backend);
  if (Result.m_Load)
    m_Context.m_Loads.report(Ended.m_Backend, *Result.m_Load, Now);
  if (Result.m_Head.m_Status != 0)
    m_Context.m_Loads.heard(Ended.m_Backend, Now);
  m_Context.m_Metrics.countAttempt(Ended.m_Purpose, Result.m_End);
  m_Trail +=
      fmt::format(" {}@{}:{}:{}:{}ms:tokens={:.0f}{}", nameOf(Ended.m_Purpose),
                  Ended.m_Backend.text(), nameOf(Result.m_End),
                  Result.m_Head.m_Status, toMilliseconds(Now - Ended.m_Since),
                  Ended.m_Planned, Ended.m_Fetched ? ":fetched" : "");
  switch (Result.m_End) {
  case AttemptEnd::Whole:
    m_Context.m_Loads.accepted(Ended.m_Backend);
    if (Result.m_Head.m_Status < FirstServerError)
      m_Context.m_Health.recordSuccess(Ended.m_Backend);
    else
      m_Context.m_Health.recordFailure(Ended.m_Backend, Now);
    break;
  case AttemptEnd::NotExecuted:
  case AttemptEnd::WrongServer:
    m_Context.m_Loads.refused(Ended.m_Backend, Now);
    break;
  case AttemptEnd::NotSent:
  case AttemptEnd::Broken:
  case AttemptEnd::TimedOut:
    if (!closedWhileIdle(Result))
      m_Context.m_Health.recordFailure(Ended.m_Backend, Now);
    break;
  }
  return Ended;
}

auto ServedRequest::onEnd(AttemptResult Result) -> void {
  auto Ended = settleAttempt(Result);
  if (Ended.m_Purpose == AttemptPurpose::Prefill)
    prefillEnded(Ended, Result);
  else
    serveEnded(Ended, std::move(Result));
}

auto ServedRequest::prefillEnded(const Attempt &Ended,
                                 const AttemptResult &Result) -> void {
  if (Result.m_End == AttemptEnd::Whole && Result.m_Cache) {
    m_Context.m_Speed.record(Ended.m_Tokens,
                             m_Context.m_Scheduler.now() - Ended.m_Since);
    noteRead(Ended.m_Backend);
    // The first prompt that an engine reads does not count.
    if (!std::exchange(m_PrefillAccepted, true))
      takeBack();
    m_Cache = Result.m_Cache;
    m_Reader = Ended;
    decodeElsewhere(m_Reader);
    return;
  }
  if (Result.m_End == AttemptEnd::NotSent)
    takeBack();
  // A prompt that was read is no run of the request.
  m_Excluded.insert(Ended.m_Backend);
  if (timeLeft() <= Duration::zero()) {
    expire();
    return;
  }
  place();
}

auto ServedRequest::decodeElsewhere(const Attempt &Reader) -> void {
  auto Record = BackendRecord{.m_Id = Reader.m_Backend,
                              .m_DataCentre = Reader.m_DataCentre};
  const auto *Target = m_Context.m_Placement.chooseDecode(
      m_Context.view(), m_Context.m_Speed, *m_Terms.m_Service, Record,
      m_Excluded, m_Context.m_Scheduler.now());
  if (Target == nullptr) {
    refuse(RefusalCode::NoBackend, "no engine generates",
           returnTime(timeLeft()));
    return;
  }
  send(*Target, AttemptPurpose::Serve, 0, {});
}

auto ServedRequest::serveEnded(const Attempt &Ended, AttemptResult Result)
    -> void {
  switch (Result.m_End) {
  case AttemptEnd::Whole:
    answered(Ended, std::move(Result));
    return;
  case AttemptEnd::NotSent:
  case AttemptEnd::NotExecuted:
  case AttemptEnd::WrongServer:
    m_Excluded.insert(Ended.m_Backend);
    retryUnrun(Ended, Result);
    return;
  case AttemptEnd::Broken:
  case AttemptEnd::TimedOut:
    ++m_Runs;
    retryAfterFailure(Ended, Result);
    return;
  }
}

auto ServedRequest::mayRepeat() const -> bool {
  return m_Terms.m_Route->repeatable() &&
         m_Runs < m_Terms.m_Route->m_MaximumAttempts &&
         timeLeft() > Duration::zero();
}

auto ServedRequest::answered(const Attempt &Ended, AttemptResult Result)
    -> void {
  auto Status = Result.m_Head.m_Status;
  if (m_Streaming) {
    if (!successful(Status)) {
      // Another server's failure cannot follow a begun answer.
      finish("cut", fmt::format("status {} after the first event", Status));
      return;
    }
    if (m_Terms.m_Route->m_Resumable && !m_Events.rest().empty())
      m_Exchange->write(m_Events.rest());
    m_Context.m_Metrics.observeWhole(m_Terms.m_Route->m_Kind,
                                     m_Context.m_Scheduler.now() - m_ArrivedAt);
    m_Exchange->finish();
    finish("served", {});
    return;
  }
  countRun();
  ++m_Runs;
  if (Status >= FirstServerError && mayRepeat() &&
      m_Context.m_Retries.take(m_Terms.m_Service->m_Id,
                               m_Context.m_Scheduler.now())) {
    m_Excluded.insert(Ended.m_Backend);
    m_Prepaid = true;
    place();
    return;
  }
  m_Context.m_Metrics.observeWhole(m_Terms.m_Route->m_Kind,
                                   m_Context.m_Scheduler.now() - m_ArrivedAt);
  m_Exchange->answer(Result.m_Head, std::move(Result.m_Body));
  finish(successful(Status) ? "served" : "server_failure",
         fmt::format("status {}", Status));
}

auto ServedRequest::retryUnrun(const Attempt &Ended,
                               const AttemptResult &Result) -> void {
  if (timeLeft() <= Duration::zero()) {
    expire();
    return;
  }
  if (Result.m_End == AttemptEnd::NotSent)
    takeBack();
  // A prompt that was read is still there when its taker was full; when it is
  // not, the second taker says so.
  if (Ended.m_Cache && !std::exchange(m_CacheTried, true)) {
    m_Cache = Ended.m_Cache;
    decodeElsewhere(m_Reader);
    return;
  }
  m_CacheTried = false;
  place();
}

auto ServedRequest::retryAfterFailure(const Attempt &Ended,
                                      const AttemptResult &Result) -> void {
  if (mayRepeat()) {
    m_Events.dropRest();
    if (!closedWhileIdle(Result))
      m_Excluded.insert(Ended.m_Backend);
    place();
    return;
  }
  if (m_Streaming) {
    finish("cut", Result.m_Detail);
    return;
  }
  refuse(Result.m_End == AttemptEnd::TimedOut ? RefusalCode::DeadlineExceeded
                                              : RefusalCode::BackendFailed,
         Result.m_Detail);
}

auto ServedRequest::refuse(RefusalCode Code, std::string Detail,
                           std::optional<Duration> RetryAfter) -> void {
  if (m_Done)
    return;
  if (m_Streaming) {
    finish("cut", Detail);
    return;
  }
  auto Ran = m_Runs > 0 ? Execution::MayHaveRun : Execution::NotRun;
  m_Exchange->refuse(Refusal(Code, Ran, Detail), RetryAfter);
  if (RetryAfter)
    Detail += fmt::format("; return after {} ms", toMilliseconds(*RetryAfter));
  finish(std::string(shapeOf(Code).m_Name), Detail);
}

auto ServedRequest::dropAttempt() -> void {
  if (m_Cache) {
    m_Context.m_Transport.release(*m_Cache);
    m_Cache.reset();
  }
  if (!m_Attempt)
    return;
  auto Dropped = *m_Attempt;
  m_Attempt.reset();
  m_Context.m_Loads.prefillDone(Dropped.m_Backend, Dropped.m_Tokens);
  m_Context.m_Loads.end(Dropped.m_Backend);
  m_Context.m_Transport.cancel(Dropped.m_Id);
  m_Trail += fmt::format(
      " {}@{}:dropped:{}ms", nameOf(Dropped.m_Purpose),
      Dropped.m_Backend.text(),
      toMilliseconds(m_Context.m_Scheduler.now() - Dropped.m_Since));
}

auto ServedRequest::callerLeft() -> void {
  dropAttempt();
  finish("caller_left", {});
}

auto ServedRequest::expire() -> void {
  if (m_Done)
    return;
  if (m_Attempt && m_Attempt->m_Purpose == AttemptPurpose::Serve)
    ++m_Runs;
  dropAttempt();
  refuse(RefusalCode::DeadlineExceeded, "the time of the request is over");
}

auto ServedRequest::finish(const std::string &Outcome,
                           const std::string &Detail) -> void {
  if (std::exchange(m_Done, true))
    return;
  if (m_Timer)
    m_Context.m_Scheduler.cancel(*m_Timer);
  m_Timer.reset();
  if (m_SilenceTimer)
    m_Context.m_Scheduler.cancel(*m_SilenceTimer);
  m_SilenceTimer.reset();
  m_Exchange->onDisconnect(nullptr);
  dropAttempt();
  if (Outcome == "cut")
    m_Exchange->abort();
  m_Context.m_Metrics.countRequest(m_Terms.m_Route->m_Kind, Outcome);
  auto Good = Outcome == "served" || Outcome == "caller_left";
  logEvent(Good ? LogLevel::Info : LogLevel::Warning, "request.ended",
           {{"request", m_Exchange->request().m_Id},
            {"route", m_Terms.m_Route->m_Id},
            {"organisation", m_Terms.m_Organisation},
            {"config", m_Terms.m_Configuration->m_Revision},
            {"outcome", Outcome},
            {"detail", Detail},
            {"ms", toMilliseconds(m_Context.m_Scheduler.now() - m_ArrivedAt)},
            {"allowed_ms", toMilliseconds(m_Deadline - m_ArrivedAt)},
            {"estimate_ms", toMilliseconds(m_Estimate)},
            {"attempts", m_Trail}});
  // The owner destroys this request on the loop's next turn.
  m_Ended();
}

} // namespace dotterel
