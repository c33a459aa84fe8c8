#include "dotterel/gate/BackendLossDetector.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

constexpr auto ProbeTimeout = Milliseconds(500);

auto verdictName(CrashVerdict Verdict) -> const char * {
  switch (Verdict) {
  case CrashVerdict::Clear:
    return "clear";
  case CrashVerdict::Suspect:
    return "suspect";
  case CrashVerdict::Quarantined:
    break;
  }
  return "quarantined";
}

/// Formats the requests that ran on a lost server, with their verdicts and the
/// time from sending to the loss, for the log. Lists at most MaxShownRequests.
auto describeRunning(const std::vector<RunningRequest> &Running,
                     const CrashRegistry &Crashes, MonotonicTime LostAt)
    -> std::string {
  constexpr auto MaxShownRequests = std::size_t{8};
  auto Text = std::string();
  for (auto Index = std::size_t{0};
       Index < std::min(MaxShownRequests, Running.size()); ++Index) {
    const auto &Request = Running[Index];
    Text += fmt::format(
        "{}{:016x}:{},alone={},age={}ms", Index == 0 ? "" : ";",
        Request.m_Digest.number(),
        verdictName(Crashes.verdict(Request.m_Digest)), Request.m_Alone,
        toMilliseconds(LostAt - Request.m_SentAt.value_or(LostAt)));
  }
  return Text;
}

} // namespace

auto BackendLossDetector::checkBackend(const BackendId &Id,
                                       std::function<void(bool)> Done) -> void {
  auto IsFirst = !m_Checks.contains(Id);
  auto &Item = m_Checks[Id];
  for (const auto &Request : m_Engines.runningOn(Id)) {
    auto &Known =
        Item.m_Running.emplace(Request.m_Digest, Request).first->second;
    Known.m_SentAt = std::min(Known.m_SentAt, Request.m_SentAt);
  }
  Item.m_Callbacks.push_back(std::move(Done));
  if (!IsFirst)
    return;
  Item.m_NoticedAt = m_Scheduler.now();
  m_Engines.setUnderCheck(Id, true);
  const auto *Server = m_Engines.find(Id);
  auto KnownLoad = m_Engines.load(Id);
  if (Server == nullptr || !KnownLoad) {
    m_Scheduler.schedule(Duration::zero(),
                         [this, Id] { finishCheck(Id, true); });
    return;
  }
  // A server that wants to hear nothing has just responded; whether it has
  // ended since is not asked.
  if (m_Engines.check(Id, SendPurpose::Probe, m_Scheduler.now()) !=
      SendDenial::None) {
    m_Scheduler.schedule(Duration::zero(),
                         [this, Id] { finishCheck(Id, false); });
    return;
  }
  auto Call = HttpCall();
  Call.m_Url = Server->m_Url + "/load";
  Call.m_Timeout = ProbeTimeout;
  Call.m_ConnectTimeout = ProbeTimeout;
  Call.m_OnDone = [this, Id, KnownLoad](const HttpCallResult &Result) {
    auto SameIncarnation = false;
    try {
      SameIncarnation =
          Result.m_Outcome == HttpOutcome::Complete &&
          parseLoad(Result.m_Body).m_Incarnation == KnownLoad->m_Incarnation;
    } catch (const ProtocolError &) {
      SameIncarnation = false;
    }
    finishCheck(Id, !SameIncarnation);
  };
  m_Backends.start(Id, SendPurpose::Probe, std::move(Call));
}

auto BackendLossDetector::finishCheck(const BackendId &Id, bool Lost) -> void {
  auto Item = std::move(m_Checks.extract(Id).mapped());
  m_Engines.setUnderCheck(Id, false);
  auto NotifyCallers = [Item, Lost] {
    for (const auto &Callback : Item.m_Callbacks)
      Callback(Lost);
  };
  if (!Lost) {
    NotifyCallers();
    return;
  }
  m_Engines.markUnreachable(Id, m_Scheduler.now());
  const auto *Server = m_Engines.find(Id);
  auto Loss = DetectedLoss{.m_Backend = Id, .m_NoticedAt = Item.m_NoticedAt};
  if (Server != nullptr)
    Loss.m_DataCentre = Server->m_DataCentre;
  for (const auto &[Digest, Request] : Item.m_Running)
    Loss.m_Running.push_back(Request);
  recordShared(Loss);
  if (std::none_of(Loss.m_Running.begin(), Loss.m_Running.end(),
                   [](const RunningRequest &Item) { return Item.m_Alone; })) {
    logLoss(Loss);
    m_Announce(NotifyCallers);
    return;
  }
  // Another gate may have run a suspect there too, and then either of them can
  // be the cause. That gate reports it once its own check has ended.
  m_Announce([] {});
  m_Scheduler.schedule(ProbeTimeout, [this, Loss, NotifyCallers] {
    recordAlone(Loss);
    logLoss(Loss);
    m_Announce(NotifyCallers);
  });
}

auto BackendLossDetector::recordShared(DetectedLoss Loss) -> void {
  for (auto &Request : Loss.m_Running)
    Request.m_Alone = false;
  m_Crashes.recordLoss(Loss.m_Backend, Loss.m_DataCentre, Loss.m_Running,
                       Loss.m_NoticedAt);
}

auto BackendLossDetector::recordAlone(const DetectedLoss &Loss) -> void {
  auto Alone = std::vector<RunningRequest>();
  for (const auto &Request : Loss.m_Running)
    if (Request.m_Alone && !ranOtherSuspect(Loss, Request.m_Digest))
      Alone.push_back(Request);
  if (!Alone.empty())
    m_Crashes.recordLoss(Loss.m_Backend, Loss.m_DataCentre, Alone,
                         Loss.m_NoticedAt);
}

auto BackendLossDetector::ranOtherSuspect(const DetectedLoss &Loss,
                                          RequestDigest Digest) const -> bool {
  auto Now = m_Scheduler.now();
  auto SinceLost = Now - Loss.m_NoticedAt;
  auto Reports = m_Crashes.reports(Now);
  return std::any_of(
      Reports.begin(), Reports.end(), [&](const CrashReport &Report) {
        auto Found = Report.m_Losses.find(Loss.m_Backend);
        if (Report.m_Digest == Digest || Found == Report.m_Losses.end())
          return false;
        // An earlier loss of a server that was restarted.
        if (std::chrono::abs(Found->second.m_SinceLost - SinceLost) >
            ProbeTimeout)
          return false;
        // It was a suspect when it was sent there, so it ran alone there.
        return std::any_of(Report.m_Losses.begin(), Report.m_Losses.end(),
                           [&](const auto &Item) {
                             return Item.second.m_SinceLost >
                                    Found->second.m_SinceSent;
                           });
      });
}

auto BackendLossDetector::logLoss(const DetectedLoss &Loss) const -> void {
  logWarning(
      "backend.lost",
      {{"backend", Loss.m_Backend},
       {"running", Loss.m_Running.size()},
       {"noticed_ms", toMilliseconds(m_Scheduler.now() - Loss.m_NoticedAt)},
       {"requests",
        describeRunning(Loss.m_Running, m_Crashes, Loss.m_NoticedAt)}});
}

} // namespace dotterel
