#include "dotterel/serving/ServedRequest.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

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
  if (m_Lookup)
    m_Context.m_Origins->cancel(*m_Lookup);
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
  if (takesUpStream())
    takeUpStream();
  else
    place();
}

auto ServedRequest::cancelAttempt() -> void {
  releaseCache();
  if (!m_Attempt)
    return;
  auto Dropped = *m_Attempt;
  m_MayHaveReached = true;
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
  if (m_Lookup)
    m_Context.m_Origins->cancel(*m_Lookup);
  m_Lookup.reset();
  m_Exchange->onDisconnect(nullptr);
  cancelAttempt();
  if (m_Parameters.m_Charge && !m_MayHaveReached)
    m_Context.m_OrganisationLimits.refund(*m_Parameters.m_Charge,
                                          m_Context.m_Scheduler.now());
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
