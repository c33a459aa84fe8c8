#include "dotterel/gate/BackendLossDetector.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <algorithm>
#include <utility>

namespace dotterel {

namespace {

constexpr auto ProbeTimeout = Milliseconds(500);

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
  logWarning("backend.lost",
             {{"backend", Id}, {"running", Item.m_Running.size()}});
  auto Running = std::vector<RunningRequest>();
  for (const auto &[Digest, Request] : Item.m_Running)
    Running.push_back(Request);
  m_Crashes.recordLoss(
      Id, Server != nullptr ? Server->m_DataCentre : DataCentreId{}, Running,
      Item.m_NoticedAt);
  m_Announce(NotifyCallers);
}

} // namespace dotterel
