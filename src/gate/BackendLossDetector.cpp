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
  m_Client.start(std::move(Call));
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
  auto Running = std::vector<RunningRequest>();
  for (const auto &[Digest, Request] : Item.m_Running)
    Running.push_back(Request);
  m_Crashes.recordLoss(
      Id, Server != nullptr ? Server->m_DataCentre : DataCentreId{}, Running,
      Item.m_NoticedAt);
  logWarning(
      "backend.lost",
      {{"backend", Id},
       {"running", Running.size()},
       {"check_ms", toMilliseconds(m_Scheduler.now() - Item.m_NoticedAt)},
       {"requests", describeRunning(Running, m_Crashes, Item.m_NoticedAt)}});
  m_Announce(NotifyCallers);
}

} // namespace dotterel
