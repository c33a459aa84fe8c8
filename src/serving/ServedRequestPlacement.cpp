#include "dotterel/serving/ServedRequest.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

/// The lowest scheduling rank that engines support.
constexpr auto LowestRank = 9U;

auto sendPurpose(AttemptPurpose Purpose) -> SendPurpose {
  return Purpose == AttemptPurpose::Prefill ? SendPurpose::Prefill
                                            : SendPurpose::Execute;
}

} // namespace

auto ServedRequest::view(const OffloadChoice &Offload) const -> ChoiceView {
  auto Result = m_Context.view(Offload);
  Result.m_Stream = m_Origin ? &*m_Origin : nullptr;
  return Result;
}

auto ServedRequest::place() -> void {
  if (refuseIfQuarantined())
    return;
  if (++m_Placements > m_Context.m_Options.m_MaxPlacements) {
    refuse(RefusalCode::BackendUnreachable, "no server could be reached",
           retryAfter(m_Context.m_Options.m_MinRetryAfter));
    return;
  }
  m_Offload = m_Placements == 1 && !m_Streaming
                  ? m_Context.m_Offloads.choose(
                        view(), m_Context.m_Speed, *m_Parameters.m_Service,
                        *m_Parameters.m_Route, m_Exchange->request(),
                        m_Context.m_Scheduler.now())
                  : OffloadChoice{};
  auto Prompt =
      m_Parameters.m_Service->m_Engine && m_Exchange->request().m_Prompt;
  if (Prompt)
    placePrompt();
  else
    placePlain();
}

auto ServedRequest::placePlain() -> void {
  const auto *Target = m_Context.m_ServerChoice.choose(
      view(m_Offload), m_Parameters.m_Service->m_Id, m_Excluded,
      m_Context.m_Scheduler.now());
  if (Target == nullptr) {
    refuseWithoutServer("no server of the service is registered");
    return;
  }
  // Only compared with the time of other requests to the service.
  constexpr auto UsualTime = Milliseconds(1);
  send(*Target, AttemptPurpose::Serve, 0, {}, UsualTime);
}

auto ServedRequest::placePrompt() -> void {
  const auto &Prompt = *m_Exchange->request().m_Prompt;
  auto MakePlan = [&] {
    return m_Context.m_Placement.plan(view(m_Offload), m_Context.m_Caches,
                                      m_Context.m_Speed,
                                      *m_Parameters.m_Service, Prompt,
                                      m_Excluded, m_Context.m_Scheduler.now());
  };
  auto MaxWait = std::chrono::duration_cast<Duration>(
      timeLeft() * m_Context.m_Options.m_MaxWaitShare);
  auto Plan = MakePlan();
  if (Plan.m_Estimate > MaxWait && m_Offload.active()) {
    // Rather served in any data centre than refused.
    m_Offload = {};
    Plan = MakePlan();
  }
  if (!Plan.possible()) {
    refuseWithoutServer("no engine of the service is registered");
    return;
  }
  m_Estimate = Plan.m_Estimate;
  if (m_Placements == 1)
    m_Context.m_Demand.addPrefill(static_cast<std::uint64_t>(Plan.m_NewTokens));
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
         Plan.m_FetchFrom, Plan.m_UsualTime);
    return;
  }
  const auto *Target = Plan.m_Serve;
  if (Target == nullptr)
    Target = m_Context.m_Placement.chooseDecodeEngine(
        view(m_Offload), m_Context.m_Speed, *m_Parameters.m_Service,
        *Plan.m_Prefill, m_Excluded, m_Context.m_Scheduler.now());
  if (Target == nullptr) {
    refuseWithoutServer("no engine generates");
    return;
  }
  send(*Target, AttemptPurpose::Serve, Plan.m_NewTokens, Plan.m_FetchFrom,
       Plan.m_Serve != nullptr ? Plan.m_UsualTime : Duration::zero());
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
  if (!view().mayServe(Record != nullptr ? *Record : Target))
    return {.m_Denial = SendDenial::OtherVersion};
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
                         double Tokens, const std::string &FetchFrom,
                         Duration UsualTime) -> void {
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
                         .m_Version = Target.m_Version,
                         .m_Purpose = Purpose,
                         .m_PendingTokens = Tokens,
                         .m_PlannedTokens = Tokens,
                         .m_FetchedParts = !FetchFrom.empty(),
                         .m_StartedAt = m_Context.m_Scheduler.now(),
                         .m_UsualTime = UsualTime,
                         .m_Slowdown = m_Context.m_Speeds.slowdown(
                             Target.m_Id, m_Context.m_Scheduler.now())};
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
      !m_Context.m_Loads.unresponsive(
          m_Attempt->m_Backend, Now,
          m_Context.m_Speeds.slowdown(m_Attempt->m_Backend, Now)) ||
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
  auto Others = candidates(view(), m_Parameters.m_Service->m_Id, Excluded, Now);
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

auto ServedRequest::sendToDecodeEngine(const Attempt &PrefillAttempt) -> void {
  if (refuseIfQuarantined())
    return;
  auto Record = BackendRecord{.m_Id = PrefillAttempt.m_Backend,
                              .m_DataCentre = PrefillAttempt.m_DataCentre};
  const auto *Target = m_Context.m_Placement.chooseDecodeEngine(
      view(m_Offload.forDecode(PrefillAttempt.m_DataCentre)), m_Context.m_Speed,
      *m_Parameters.m_Service, Record, m_Excluded, m_Context.m_Scheduler.now());
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
    if (Item->m_Stage == EngineStage::Decode && view().mayServe(*Item) &&
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

} // namespace dotterel
