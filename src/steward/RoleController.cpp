#include "dotterel/steward/RoleController.h"

#include "dotterel/base/Log.h"

#include <utility>

namespace dotterel {

RoleController::RoleController(Scheduler &Scheduler, KeyValueStore &Store,
                               const DutyLease &Duty, OrderChannel &Orders,
                               const EngineTable &Engines,
                               const MemberTable &Members,
                               ConfigurationHolder &Configuration,
                               std::function<bool(const SenderId &)> HasEnded,
                               const RoleControllerOptions &Options)
    : m_Scheduler(Scheduler), m_Store(Store), m_Duty(Duty), m_Orders(Orders),
      m_Engines(Engines), m_Members(Members), m_Configuration(Configuration),
      m_HasEnded(std::move(HasEnded)), m_Options(Options),
      m_Planner(Options.m_Planner) {}

auto RoleController::group() const -> std::vector<GroupEngine> {
  auto Members = std::vector<GroupEngine>();
  for (const auto &Server : m_Engines.all()) {
    auto Load = m_Engines.load(Server.m_Id);
    if (Server.m_Region != m_Options.m_Region || !Server.m_Service.empty() ||
        Server.m_Leaving || !Load)
      continue;
    // Converts the reported speeds, which apply to the present role.
    auto Factor = [&](EngineRole Favoured) {
      if (Load->m_Role == EngineRole::Mixed)
        return 1.0;
      return Load->m_Role == Favoured ? m_Options.m_Planner.m_FavouredFactor
                                      : m_Options.m_Planner.m_UnfavouredFactor;
    };
    Members.push_back(
        {.m_Id = Server.m_Id,
         .m_Role = Load->m_Role,
         .m_PrefillTokensPerSecond =
             Load->m_PrefillTokensPerSecond / Factor(EngineRole::Prefill),
         .m_DecodeTokensPerSecond = Load->m_DecodeTokensPerSecond *
                                    Load->m_Slots /
                                    Factor(EngineRole::Decode)});
  }
  return Members;
}

auto RoleController::demand() const -> GroupDemand {
  auto Sum = GroupDemand();
  for (const auto &Item : m_Members.live(m_Scheduler.now())) {
    if (Item.m_Location.m_Region != m_Options.m_Region)
      continue;
    Sum.m_Prefill += static_cast<double>(Item.m_PrefillTokensPerSecond);
    Sum.m_Decode += static_cast<double>(Item.m_DecodeTokensPerSecond);
  }
  return Sum;
}

auto RoleController::senderOf(const BackendId &Engine) -> OrderSender & {
  auto &Slot = m_Senders[Engine];
  if (!Slot) {
    const auto *Server = m_Engines.find(Engine);
    Slot = std::make_unique<OrderSender>(
        m_Store, m_Duty, m_Orders, m_HasEnded,
        OrderSenderOptions{.m_Target = Engine,
                           .m_Key = "orders/" + Engine.text(),
                           .m_ChecksFencing =
                               Server != nullptr && Server->m_ChecksFencing,
                           .m_Self = m_Options.m_Self});
  }
  return *Slot;
}

auto RoleController::step() -> void {
  if (!m_Duty.held()) {
    m_OrderedRoles.clear();
    return;
  }
  const auto &Configuration = m_Configuration.current();
  if (!Configuration || !Configuration->presetInForce().m_RoleChanges)
    return;
  auto Group = group();
  for (const auto &Engine : Group) {
    auto Ordered = m_OrderedRoles.find(Engine.m_Id);
    if (Ordered == m_OrderedRoles.end())
      continue;
    if (Engine.m_Role == Ordered->second)
      m_OrderedRoles.erase(Ordered);
    else
      senderOf(Engine.m_Id).reconcile(Directive{roleName(Ordered->second)});
  }
  // Changes one engine of the group at a time.
  if (!m_OrderedRoles.empty())
    return;
  auto Demand = demand();
  auto Change = m_Planner.plan(Group, Demand, m_Scheduler.now());
  if (!Change)
    return;
  logInfo("role.planned", {{"region", m_Options.m_Region},
                           {"engine", Change->m_Engine},
                           {"from", roleName(Change->m_From)},
                           {"to", roleName(Change->m_To)},
                           {"utilisation_before", Change->m_Before},
                           {"utilisation_after", Change->m_After},
                           {"prefill_tokens_per_second", Demand.m_Prefill},
                           {"decode_tokens_per_second", Demand.m_Decode}});
  m_OrderedRoles[Change->m_Engine] = Change->m_To;
  senderOf(Change->m_Engine).reconcile(Directive{roleName(Change->m_To)});
}

} // namespace dotterel
