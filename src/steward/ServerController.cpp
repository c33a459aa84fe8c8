#include "dotterel/steward/ServerController.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <utility>

namespace dotterel {

namespace {

constexpr auto RunningState = "running";
constexpr auto StoppedState = "stopped";

/// Engines that serve the same models are one group.
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

auto ServerKeeper::fresh(const BackendId &Server) const -> bool {
  auto At = m_Services.m_Engines.reportedAt(Server);
  return At != MonotonicTime() &&
         m_Services.m_Scheduler.now() - At < m_Options.m_FreshReport;
}

auto ServerKeeper::stopping(const BackendId &Server) const -> bool {
  return m_Services.m_Configuration.current()->m_Stopping.contains(Server);
}

auto ServerKeeper::stateOf(const Backend &Server) const -> ServerState {
  auto Pursued = m_Pursuits.find(Server.m_Id);
  if (Pursued != m_Pursuits.end())
    return Pursued->second.m_Wanted == Directive{RunningState}
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
  if (!fresh(Server.m_Id))
    return ServerState::Unavailable;
  return stopping(Server.m_Id) ? ServerState::Draining : ServerState::Running;
}

auto ServerKeeper::loadOf(const Backend &Server) const -> double {
  auto Load = m_Services.m_Engines.load(Server.m_Id);
  if (Server.m_Stopped || !Load || !fresh(Server.m_Id))
    return 0;
  auto Slots = static_cast<double>(Load->m_Running) / Load->m_Slots;
  auto QueueSeconds = static_cast<double>(Load->m_QueuedPrefillTokens) /
                      Load->m_PrefillTokensPerSecond;
  auto FullSeconds =
      std::chrono::duration<double>(m_Options.m_FullQueue).count();
  return std::max(Slots, QueueSeconds / FullSeconds);
}

auto ServerKeeper::step() -> void {
  const auto &Configuration = m_Services.m_Configuration.current();
  if (!m_Services.m_Duty.held() || !Configuration) {
    m_Pursuits.clear();
    m_Planners.clear();
    return;
  }
  auto Servers = m_Services.m_Engines.all();
  std::erase_if(Servers, [this](const Backend &Server) {
    return Server.m_Region != m_Options.m_Region || !Server.m_Service.empty();
  });
  m_Drains.keepOnly(Configuration->m_Stopping);
  update(Servers);
  if (m_Changing)
    return;
  if (!Configuration->presetInForce().m_ServerOrders) {
    m_Planners.clear();
    takeBack(Servers);
    carryOut();
    return;
  }
  planGroups(Servers);
  if (!m_Changing)
    for (const auto &Server : Servers)
      stopIdle(Server);
  carryOut();
}

auto ServerKeeper::takeBack(const std::vector<Backend> &Servers) -> void {
  std::erase_if(m_Pursuits, [](const auto &Item) {
    return Item.second.m_Wanted == Directive{StoppedState};
  });
  for (const auto &Server : Servers)
    if (stateOf(Server) == ServerState::Draining)
      pursue(Server.m_Id, RunningState);
}

auto ServerKeeper::update(const std::vector<Backend> &Servers) -> void {
  auto Now = m_Services.m_Scheduler.now();
  auto Started = std::set<BackendId>();
  for (const auto &Server : Servers) {
    auto Found = m_Pursuits.find(Server.m_Id);
    if (Found == m_Pursuits.end())
      continue;
    const auto &Pursued = Found->second;
    if (Pursued.m_Wanted == Directive{StoppedState}) {
      if (Server.m_Stopped)
        m_Pursuits.erase(Found);
      continue;
    }
    auto Runs = !Server.m_Stopped && fresh(Server.m_Id) &&
                senderOf(Server.m_Id).isInForce(Pursued.m_Wanted);
    if (Runs && stopping(Server.m_Id))
      Started.insert(Server.m_Id);
    else if (Runs)
      m_Pursuits.erase(Found);
    else if (Now - Pursued.m_Since > m_Options.m_StartLimit) {
      logWarning("server.unavailable", {{"backend", Server.m_Id}});
      m_UnavailableUntil[Server.m_Id] = Now + m_Options.m_UnavailablePause;
      m_Pursuits.erase(Found);
    }
  }
  // A started server gets work again only now that no order to stop it can be
  // under way any more.
  if (!Started.empty() && !m_Changing)
    change({}, Started);
}

auto ServerKeeper::planGroups(const std::vector<Backend> &Servers) -> void {
  auto Groups = std::map<std::string, std::vector<Backend>>();
  for (const auto &Server : Servers)
    Groups[groupOf(Server)].push_back(Server);
  for (const auto &[Name, Members] : Groups)
    if (loadKnown(Members))
      plan(Name, Members);
}

auto ServerKeeper::loadKnown(const std::vector<Backend> &Group) const -> bool {
  auto Listed =
      std::count_if(Group.begin(), Group.end(),
                    [](const Backend &Server) { return !Server.m_Stopped; });
  auto Reporting =
      std::count_if(Group.begin(), Group.end(), [this](const Backend &Server) {
        return !Server.m_Stopped && fresh(Server.m_Id);
      });
  return Reporting * 2 >= Listed;
}

auto ServerKeeper::plan(const std::string &Group,
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
      pursue(Decision.m_Server, RunningState);
  }
  if (!Drain.empty() && !m_Changing)
    change(Drain, {});
}

auto ServerKeeper::stopIdle(const Backend &Server) -> void {
  if (stateOf(Server) != ServerState::Draining)
    return;
  auto Load = m_Services.m_Engines.load(Server.m_Id);
  auto View =
      DrainStatus{.m_Revision = m_Services.m_Configuration.revision(),
                  .m_Running = Load->m_Running,
                  .m_ReportedAt = m_Services.m_Engines.reportedAt(Server.m_Id)};
  if (m_Drains.isIdle(Server.m_Id, View, m_Services.m_InForce,
                      m_Services.m_Scheduler.now()))
    pursue(Server.m_Id, StoppedState);
}

auto ServerKeeper::change(const std::set<BackendId> &Drain,
                          const std::set<BackendId> &Release) -> void {
  m_Changing = true;
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
        // A change that failed is decided on anew.
        m_Changing = false;
        if (Result.m_Kind != ChangeResult::Kind::Accepted)
          logWarning("server.drain_unstored", {{"reason", Result.m_Reason}});
      });
}

auto ServerKeeper::pursue(const BackendId &Server, const char *Wanted) -> void {
  m_Pursuits[Server] = {.m_Wanted = Directive{Wanted},
                        .m_Since = m_Services.m_Scheduler.now()};
}

auto ServerKeeper::carryOut() -> void {
  auto Now = m_Services.m_Scheduler.now();
  for (auto &[Server, Pursued] : m_Pursuits) {
    if (Now - Pursued.m_SentAt < m_Options.m_OrderInterval)
      continue;
    Pursued.m_SentAt = Now;
    senderOf(Server).reconcile(Pursued.m_Wanted);
  }
}

auto ServerKeeper::senderOf(const BackendId &Server) -> OrderSender & {
  auto &Slot = m_Senders[Server];
  // The platform is not known to check fencing numbers.
  if (!Slot)
    Slot = std::make_unique<OrderSender>(
        m_Services.m_Store, m_Services.m_Duty, m_Services.m_Platform,
        m_Services.m_Gone,
        OrderSenderOptions{.m_Target = Server,
                           .m_Key = "server-orders/" + Server.text(),
                           .m_Self = m_Options.m_Self});
  return *Slot;
}

} // namespace dotterel
