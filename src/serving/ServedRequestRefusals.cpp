#include "dotterel/serving/ServedRequest.h"

#include <algorithm>
#include <fmt/format.h>

namespace dotterel {

namespace {

/// Minimum part of a retry-after time that remains when it is randomised.
constexpr auto MinRetryAfterPart = 0.7;

} // namespace

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
                     Found == m_Digests.m_Content ||
                             Found == m_Digests.m_ContentAnywhere
                         ? "the request"
                         : "a part of the prompt",
                     Found->number()));
  return true;
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
  auto Denials = denialsOf(view(), m_Parameters.m_Service->m_Id,
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

} // namespace dotterel
