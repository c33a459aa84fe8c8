#include "dotterel/gate/BackendLossDetector.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <utility>

namespace dotterel {

namespace {

constexpr auto ProbeTimeout = Milliseconds(500);

} // namespace

auto LossInspector::inspect(const BackendId &Id, std::function<void(bool)> Done)
    -> void {
  auto First = !m_Inspections.contains(Id);
  auto &Item = m_Inspections[Id];
  for (const auto &Request : m_Engines.runningOn(Id))
    Item.m_Running[Request.m_Digest] = Request.m_Alone;
  Item.m_Waiters.push_back(std::move(Done));
  if (!First)
    return;
  const auto *Server = m_Engines.find(Id);
  auto Known = m_Engines.load(Id);
  if (Server == nullptr || !Known) {
    m_Scheduler.schedule(Duration::zero(), [this, Id] { conclude(Id, true); });
    return;
  }
  auto Call = HttpCall();
  Call.m_Url = Server->m_Url + "/load";
  Call.m_Timeout = ProbeTimeout;
  Call.m_ConnectTimeout = ProbeTimeout;
  Call.m_OnDone = [this, Id, Known](const HttpCallResult &Result) {
    auto Same = false;
    try {
      Same = Result.m_Outcome == HttpOutcome::Complete &&
             parseLoad(Result.m_Body).m_Incarnation == Known->m_Incarnation;
    } catch (const ProtocolError &) {
      Same = false;
    }
    conclude(Id, !Same);
  };
  m_Client.start(std::move(Call));
}

auto LossInspector::conclude(const BackendId &Id, bool Lost) -> void {
  auto Item = std::move(m_Inspections.extract(Id).mapped());
  auto Finish = [Item, Lost] {
    for (const auto &Waiter : Item.m_Waiters)
      Waiter(Lost);
  };
  if (!Lost) {
    Finish();
    return;
  }
  m_Engines.markUnreachable(Id, m_Scheduler.now());
  const auto *Server = m_Engines.find(Id);
  logWarning("backend.lost",
             {{"backend", Id}, {"running", Item.m_Running.size()}});
  auto Running = std::vector<RunningRequest>();
  for (const auto &[Digest, Alone] : Item.m_Running)
    Running.push_back({.m_Digest = Digest, .m_Alone = Alone});
  m_Crashes.recordLoss(
      Id, Server != nullptr ? Server->m_DataCentre : DataCentreId{}, Running,
      m_Scheduler.now());
  m_Announce(Finish);
}

} // namespace dotterel
