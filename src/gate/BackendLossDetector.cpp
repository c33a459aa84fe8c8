#include "dotterel/gate/BackendLossDetector.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <utility>

namespace dotterel {

namespace {

constexpr auto ProbeTimeout = Milliseconds(500);

} // namespace

auto BackendLossDetector::checkBackend(const BackendId &Id,
                                       std::function<void(bool)> Done) -> void {
  auto IsFirst = !m_Checks.contains(Id);
  auto &Item = m_Checks[Id];
  for (const auto &Request : m_Engines.runningOn(Id))
    Item.m_RanAloneByDigest[Request.m_Digest] = Request.m_Alone;
  Item.m_Callbacks.push_back(std::move(Done));
  if (!IsFirst)
    return;
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
             {{"backend", Id}, {"running", Item.m_RanAloneByDigest.size()}});
  auto Running = std::vector<RunningRequest>();
  for (const auto &[Digest, Alone] : Item.m_RanAloneByDigest)
    Running.push_back({.m_Digest = Digest, .m_Alone = Alone});
  m_Crashes.recordLoss(
      Id, Server != nullptr ? Server->m_DataCentre : DataCentreId{}, Running,
      m_Scheduler.now());
  m_Announce(NotifyCallers);
}

} // namespace dotterel
