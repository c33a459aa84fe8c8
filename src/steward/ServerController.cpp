#include "dotterel/steward/ServerController.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <utility>

namespace dotterel {

namespace {

constexpr auto RunningState = "running";
constexpr auto StoppedState = "stopped";

/// Returns the name of the server's group: engines that serve the same models
/// form a group.
auto groupOf(const Backend &Server) -> std::string {
  auto Names = std::vector<std::string>();
  for (const auto &Model : Server.m_Models)
    Names.push_back(Model.text());
  std::sort(Names.begin(), Names.end());
  auto Group = std::string();
  for (const auto &Name : Names)
    Group += (Group.empty() ? "" : ",") + Name;
  return Group;
}

} // namespace

auto ServerController::hasFreshReport(const BackendId &Server) const -> bool {
  auto At = m_Services.m_Engines.reportedAt(Server);
  return At != MonotonicTime() &&
         m_Services.m_Scheduler.now() - At < m_Options.m_MaxReportAge;
}

auto ServerController::isStopping(const BackendId &Server) const -> bool {
  return m_Services.m_Configuration.current()->m_Stopping.contains(Server);
}

auto ServerController::stateOf(const Backend &Server) const -> ServerState {
  auto Pending = m_PendingOrders.find(Server.m_Id);
  if (Pending != m_PendingOrders.end())
    return Pending->second.m_Directive == Directive{RunningState}
               ? ServerState::Starting
               : ServerState::Leaving;
  auto Until = m_UnavailableUntil.find(Server.m_Id);
  if (Until != m_UnavailableUntil.end() &&
      m_Services.m_Scheduler.now() < Until->second)
    return ServerState::Unavailable;
  if (Server.m_Stopped)
    return ServerState::Stopped;
  const auto &Drained = m_Services.m_Configuration.current()->m_Drained;
  if (Server.m_Leaving || Drained.contains(Server.m_Id))
    return ServerState::Leaving;
  if (!hasFreshReport(Server.m_Id))
    return ServerState::Unavailable;
  return isStopping(Server.m_Id) ? ServerState::Draining : ServerState::Running;
}

auto ServerController::loadOf(const Backend &Server) const -> double {
  auto Load = m_Services.m_Engines.load(Server.m_Id);
  if (Server.m_Stopped || !Load || !hasFreshReport(Server.m_Id))
    return 0;
  auto Slots = static_cast<double>(Load->m_Running) / Load->m_Slots;
  auto QueueSeconds = static_cast<double>(Load->m_QueuedPrefillTokens) /
                      Load->m_PrefillTokensPerSecond;
  auto FullSeconds =
      std::chrono::duration<double>(m_Options.m_FullQueueTime).count();
  return std::max(Slots, QueueSeconds / FullSeconds);
}

auto ServerController::step() -> void {
  const auto &Configuration = m_Services.m_Configuration.current();
  if (!m_Services.m_Duty.held() || !Configuration) {
    m_PendingOrders.clear();
    m_Planners.clear();
    return;
  }
  auto Servers = m_Services.m_Engines.all();
  std::erase_if(Servers, [this](const Backend &Server) {
    return Server.m_Region != m_Options.m_Region || !Server.m_Service.empty();
  });
  m_Drains.keepOnly(Configuration->m_Stopping);
  updateOrders(Servers);
  if (m_StoringDrains)
    return;
  if (!Configuration->presetInForce().m_ServerOrders) {
    m_Planners.clear();
    cancelDrains(Servers);
    sendOrders();
    return;
  }
  planGroups(Servers);
  if (!m_StoringDrains)
    for (const auto &Server : Servers)
      stopIdle(Server);
  sendOrders();
}

auto ServerController::cancelDrains(const std::vector<Backend> &Servers)
    -> void {
  std::erase_if(m_PendingOrders, [](const auto &Item) {
    return Item.second.m_Directive == Directive{StoppedState};
  });
  for (const auto &Server : Servers)
    if (stateOf(Server) == ServerState::Draining)
      requestState(Server.m_Id, RunningState);
}

auto ServerController::updateOrders(const std::vector<Backend> &Servers)
    -> void {
  auto Now = m_Services.m_Scheduler.now();
  auto Started = std::set<BackendId>();
  for (const auto &Server : Servers) {
    auto Found = m_PendingOrders.find(Server.m_Id);
    if (Found == m_PendingOrders.end())
      continue;
    const auto &Pending = Found->second;
    if (Pending.m_Directive == Directive{StoppedState}) {
      if (Server.m_Stopped)
        m_PendingOrders.erase(Found);
      continue;
    }
    auto Runs = !Server.m_Stopped && hasFreshReport(Server.m_Id) &&
                senderOf(Server.m_Id).isInForce(Pending.m_Directive);
    if (Runs && isStopping(Server.m_Id))
      Started.insert(Server.m_Id);
    else if (Runs)
      m_PendingOrders.erase(Found);
    else if (Now - Pending.m_Since > m_Options.m_StartTimeout) {
      logWarning("server.unavailable", {{"backend", Server.m_Id}});
      m_UnavailableUntil[Server.m_Id] = Now + m_Options.m_UnavailableRetryDelay;
      m_PendingOrders.erase(Found);
    }
  }
  // A started server gets requests only from here on, when no order to stop it
  // can still be in flight.
  if (!Started.empty() && !m_StoringDrains)
    storeDrains({}, Started);
}

auto ServerController::planGroups(const std::vector<Backend> &Servers) -> void {
  auto Groups = std::map<std::string, std::vector<Backend>>();
  for (const auto &Server : Servers)
    Groups[groupOf(Server)].push_back(Server);
  for (const auto &[Name, Members] : Groups)
    if (mostServersReport(Members))
      plan(Name, Members);
}

auto ServerController::mostServersReport(
    const std::vector<Backend> &Group) const -> bool {
  auto Listed =
      std::count_if(Group.begin(), Group.end(),
                    [](const Backend &Server) { return !Server.m_Stopped; });
  auto Reporting =
      std::count_if(Group.begin(), Group.end(), [this](const Backend &Server) {
        return !Server.m_Stopped && hasFreshReport(Server.m_Id);
      });
  return Reporting * 2 >= Listed;
}

auto ServerController::plan(const std::string &Group,
                            const std::vector<Backend> &Members) -> void {
  auto Servers = std::vector<GroupServer>();
  for (const auto &Server : Members)
    Servers.push_back({.m_Id = Server.m_Id,
                       .m_DataCentre = Server.m_DataCentre,
                       .m_Cheap = Server.m_Cheap,
                       .m_State = stateOf(Server),
                       .m_Load = loadOf(Server)});
  const auto &Preset = m_Services.m_Configuration.current()->presetInForce();
  auto &Planner =
      m_Planners.try_emplace(Group, m_Options.m_Planner).first->second;
  auto Decisions = Planner.plan(std::move(Servers),
                                {.m_MinServers = Preset.m_MinServers,
                                 .m_CheapAllowed = Preset.m_CheapServers},
                                m_Services.m_Scheduler.now());
  auto Drain = std::set<BackendId>();
  for (const auto &Decision : Decisions) {
    logInfo("server.planned", {{"group", Group},
                               {"action", actionName(Decision.m_Action)},
                               {"backend", Decision.m_Server},
                               {"needed", Decision.m_Needed},
                               {"serving", Decision.m_Serving},
                               {"load", Decision.m_Load},
                               {"forecast", Decision.m_Forecast}});
    if (Decision.m_Action == ServerAction::Drain)
      Drain.insert(Decision.m_Server);
    else
      requestState(Decision.m_Server, RunningState);
  }
  if (!Drain.empty() && !m_StoringDrains)
    storeDrains(Drain, {});
}

auto ServerController::stopIdle(const Backend &Server) -> void {
  if (stateOf(Server) != ServerState::Draining)
    return;
  auto Load = m_Services.m_Engines.load(Server.m_Id);
  auto View =
      DrainStatus{.m_Revision = m_Services.m_Configuration.revision(),
                  .m_Running = Load->m_Running,
                  .m_ReportedAt = m_Services.m_Engines.reportedAt(Server.m_Id)};
  if (m_Drains.isIdle(Server.m_Id, View, m_Services.m_AppliedByAllGates,
                      m_Services.m_Scheduler.now()))
    requestState(Server.m_Id, StoppedState);
}

auto ServerController::storeDrains(const std::set<BackendId> &Drain,
                                   const std::set<BackendId> &Release) -> void {
  m_StoringDrains = true;
  auto Edit = [Drain, Release](Configuration &Target) {
    Target.m_Stopping.insert(Drain.begin(), Drain.end());
    for (const auto &Server : Release)
      Target.m_Stopping.erase(Server);
  };
  m_Services.m_ConfigurationStore.change(
      Edit, {.m_Guard = m_Services.m_Duty.guard()},
      [this, Alive = m_Alive](const ChangeResult &Result) {
        if (!*Alive)
          return;
        // A failed change is decided again by a later step.
        m_StoringDrains = false;
        if (Result.m_Kind != ChangeResult::Kind::Accepted)
          logWarning("server.drain_unstored", {{"reason", Result.m_Reason}});
      });
}

auto ServerController::requestState(const BackendId &Server, const char *State)
    -> void {
  m_PendingOrders[Server] = {.m_Directive = Directive{State},
                             .m_Since = m_Services.m_Scheduler.now()};
}

auto ServerController::sendOrders() -> void {
  auto Now = m_Services.m_Scheduler.now();
  for (auto &[Server, Pending] : m_PendingOrders) {
    if (Now - Pending.m_SentAt < m_Options.m_OrderInterval)
      continue;
    Pending.m_SentAt = Now;
    senderOf(Server).reconcile(Pending.m_Directive);
  }
}

auto ServerController::senderOf(const BackendId &Server) -> OrderSender & {
  auto &Slot = m_Senders[Server];
  // It is unknown whether the platform checks fencing tokens.
  if (!Slot)
    Slot = std::make_unique<OrderSender>(
        m_Services.m_Store, m_Services.m_Duty, m_Services.m_Platform,
        m_Services.m_HasEnded,
        OrderSenderOptions{.m_Target = Server,
                           .m_Key = "server-orders/" + Server.text(),
                           .m_Self = m_Options.m_Self});
  return *Slot;
}

} // namespace dotterel
