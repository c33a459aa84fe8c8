#include "dotterel/steward/StewardProcess.h"

#include "dotterel/base/Log.h"
#include "dotterel/fleet/HttpEngineOrders.h"
#include "dotterel/fleet/HttpPlatformOrders.h"
#include "dotterel/lease/Campaigners.h"
#include "dotterel/lease/DutyLease.h"
#include "dotterel/membership/HostList.h"
#include "dotterel/process/ProcessCore.h"
#include "dotterel/settings/CommonSettings.h"
#include "dotterel/steward/RoleController.h"
#include "dotterel/steward/ServerController.h"
#include "dotterel/supervision/FunctionComponent.h"
#include "dotterel/usage/WindowSealer.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

namespace {

constexpr auto StepInterval = Milliseconds(500);
/// Large enough to track all engines of a region, for which a duty's holder is
/// responsible.
constexpr auto MaxEnginesPerModel = std::size_t{10'000};
constexpr auto ReportTimeout = Seconds(5);
constexpr auto StatusOk = 200U;

/// The components of a steward, in the order of their construction.
class StewardProcess final : public PeerService {
public:
  explicit StewardProcess(const Settings &Values);

  auto run() -> int { return m_Core.run(m_Tree); }

  auto onExchange(const PeerView &View) -> PeerView override {
    return m_Core.m_Gossip.handleExchange(View);
  }
  auto onFetchConfiguration(const std::vector<std::uint64_t> &Known)
      -> ConfigurationDelta override {
    return m_Core.m_Configuration.delta(Known);
  }
  // Claims and usage are handled by gates only.
  auto onClaim(const Claim & /*Request*/, std::function<void(ClaimReply)> Done)
      -> void override {
    Done({});
  }
  auto onOutcome(const ClaimOutcome & /*Outcome*/,
                 std::function<void(bool)> Done) -> void override {
    Done(false);
  }
  auto onUsage(const UsageSegment & /*Segment*/) -> void override {}

private:
  auto addComponents() -> void;
  auto addDuty(const char *Name, DutyLease &Duty, std::function<void()> Step)
      -> void;
  auto eligibleFor(const DutyId &Duty, DutyScope Scope) const -> bool;
  auto hasEnded(const SenderId &Sender) const -> bool;
  auto appliedByAllGates(ConfigRevision Revision) const -> bool;
  auto report(const UsageReport &Report, std::function<void(bool)> Done)
      -> void;

  const Settings &m_Values;
  ProcessCore m_Core;
  EventLoop &m_Loop = m_Core.m_Loop;
  std::unique_ptr<OrderChannel> m_Orders;
  std::unique_ptr<OrderChannel> m_PlatformOrders;
  DutyLease m_UsageDuty;
  DutyLease m_RoleDuty;
  DutyLease m_ServerDuty;
  WindowSealer m_Sealer;
  RoleController m_Roles;
  ServerController m_Servers;
  std::map<std::string, std::unique_ptr<RepeatingTimer>> m_DutyTimers;
  Supervisor m_Tree;
};

auto leaseOptions(const Settings &Values) -> DutyLeaseOptions {
  auto Term = Seconds(Values.integer("lease-seconds"));
  constexpr auto MarginParts = 5;
  constexpr auto RenewParts = 5;
  return {.m_Term = Term,
          .m_ClockDriftMargin = Duration(Term) / MarginParts,
          .m_RenewInterval = Duration(Term) / RenewParts,
          .m_CampaignInterval = Duration(Term) / RenewParts};
}

auto roleDuty(const Settings &Values) -> DutyId {
  return DutyId{"engine-roles/" + Values.text("region")};
}

auto serverDuty(const Settings &Values) -> DutyId {
  return DutyId{"backend-servers/" + Values.text("region")};
}

auto senderIdOf(const Member &Self) -> SenderId {
  return SenderId{
      fmt::format("{}#{}", Self.m_Process.text(), Self.m_Incarnation)};
}

auto serverControllerOptions(const Settings &Values, const Member &Self)
    -> ServerControllerOptions {
  return {.m_Region = RegionId{Values.text("region")},
          .m_Self = senderIdOf(Self),
          .m_Planner = {.m_LeadTime = Values.milliseconds("server-lead-ms"),
                        .m_DrainDelay =
                            Values.milliseconds("server-stop-patience-ms")},
          .m_Drain = {.m_ReportLag = Values.milliseconds("load-report-lag-ms")},
          .m_StartTimeout = Values.milliseconds("server-start-limit-ms")};
}

StewardProcess::StewardProcess(const Settings &Values)
    : m_Values(Values), m_Core(Values, ProcessRole::Steward, *this,
                               {.m_MaxEnginesPerModel = MaxEnginesPerModel}),
      m_Orders(makeHttpEngineOrders(m_Core.m_Backends, m_Core.m_Engines)),
      m_PlatformOrders(makeHttpPlatformOrders(
          *m_Core.m_Client, m_Core.m_Engines, Values.text("platform-url"))),
      m_UsageDuty(m_Loop, *m_Core.m_Store, DutyId{"usage-reports"},
                  m_Core.m_Members.self().m_Process, leaseOptions(Values)),
      m_RoleDuty(m_Loop, *m_Core.m_Store, roleDuty(Values),
                 m_Core.m_Members.self().m_Process, leaseOptions(Values)),
      m_ServerDuty(m_Loop, *m_Core.m_Store, serverDuty(Values),
                   m_Core.m_Members.self().m_Process, leaseOptions(Values)),
      m_Sealer(
          m_Loop, *m_Core.m_Store, m_UsageDuty,
          [this](const UsageReport &Report, std::function<void(bool)> Done) {
            report(Report, std::move(Done));
          },
          {.m_WindowLength = Seconds(Values.integer("usage-window-seconds")),
           .m_Grace = Values.milliseconds("usage-grace-ms")}),
      m_Roles(m_Loop, *m_Core.m_Store, m_RoleDuty, *m_Orders, m_Core.m_Engines,
              m_Core.m_Members, m_Core.m_Configuration,
              [this](const SenderId &Sender) { return hasEnded(Sender); },
              {.m_Region = RegionId{Values.text("region")},
               .m_Self = senderIdOf(m_Core.m_Members.self())}),
      m_Servers(
          {.m_Scheduler = m_Loop,
           .m_Store = *m_Core.m_Store,
           .m_Duty = m_ServerDuty,
           .m_Platform = *m_PlatformOrders,
           .m_Engines = m_Core.m_Engines,
           .m_Configuration = m_Core.m_Configuration,
           .m_ConfigurationStore = m_Core.m_ConfigurationStore,
           .m_AppliedByAllGates =
               [this](ConfigRevision Revision) {
                 return appliedByAllGates(Revision);
               },
           .m_HasEnded =
               [this](const SenderId &Sender) { return hasEnded(Sender); }},
          serverControllerOptions(Values, m_Core.m_Members.self())),
      m_Tree(m_Loop, "steward", {}) {
  m_Core.m_Discovery.setLoadPollingPredicate(
      [this] { return m_RoleDuty.held() || m_ServerDuty.held(); });
  m_UsageDuty.setEligible([this] {
    return eligibleFor(DutyId{"usage-reports"}, DutyScope::Everywhere);
  });
  m_RoleDuty.setEligible(
      [this] { return eligibleFor(roleDuty(m_Values), DutyScope::Region); });
  m_ServerDuty.setEligible(
      [this] { return eligibleFor(serverDuty(m_Values), DutyScope::Region); });
  addComponents();
}

auto StewardProcess::eligibleFor(const DutyId &Duty, DutyScope Scope) const
    -> bool {
  return isCampaigner(
      Duty, Scope, m_Core.m_Members.self(),
      m_Core.m_Members.serving(ProcessRole::Steward, m_Loop.now()));
}

auto StewardProcess::hasEnded(const SenderId &Sender) const -> bool {
  auto Hash = Sender.text().rfind('#');
  auto Process = ProcessId{Sender.text().substr(0, Hash)};
  auto Incarnation = std::stoull(Sender.text().substr(Hash + 1));
  const auto *Known = m_Core.m_Members.findLive(Process, m_Loop.now());
  // A host runs one steward: a higher incarnation proves that an earlier one
  // has ended.
  if (Process == m_Core.m_Members.self().m_Process)
    return Incarnation < m_Core.m_Members.self().m_Incarnation;
  if (Known != nullptr)
    return Known->m_Incarnation > Incarnation;
  return !m_Core.m_Gossip.listed().empty() &&
         !m_Core.m_Gossip.listed().contains(Process);
}

auto StewardProcess::appliedByAllGates(ConfigRevision Revision) const -> bool {
  auto Has = [&](const Member *Gate) {
    return Gate != nullptr && Gate->m_ConfigRevision >= Revision;
  };
  auto Now = m_Loop.now();
  // A leaving gate still serves requests; a listed gate that is unresponsive
  // may do so.
  for (const auto &Item : m_Core.m_Members.live(Now))
    if (Item.m_Role == ProcessRole::Gate && !Has(&Item))
      return false;
  const auto &Listed = m_Core.m_Gossip.listed();
  return !Listed.empty() &&
         std::all_of(Listed.begin(), Listed.end(), [&](const auto &Process) {
           return !isGate(Process) ||
                  Has(m_Core.m_Members.findLive(Process, Now));
         });
}

auto StewardProcess::report(const UsageReport &Report,
                            std::function<void(bool)> Done) -> void {
  auto Call = HttpCall();
  Call.m_Method = "POST";
  Call.m_Url = m_Values.text("platform-url") + "/platform/v1/usage";
  Call.m_Headers = {{.m_Name = "Content-Type", .m_Value = "application/json"}};
  Call.m_Body =
      nlohmann::json{{"window", Report.m_Window.number()},
                     {"fencing", Report.m_Fencing.number()},
                     {"entries", nlohmann::json::parse(Report.m_Entries)}}
          .dump();
  Call.m_Timeout = ReportTimeout;
  Call.m_DedicatedConnection = true;
  Call.m_OnDone = [Done = std::move(Done)](const HttpCallResult &Result) {
    Done(Result.m_Outcome == HttpOutcome::Complete &&
         Result.m_Status == StatusOk);
  };
  m_Core.m_Client->start(std::move(Call));
}

auto StewardProcess::addComponents() -> void {
  m_Core.addPeers(m_Tree);
  m_Core.addReaders(m_Tree);
  addDuty("usage-duty", m_UsageDuty, [this] { m_Sealer.step(); });
  addDuty("role-duty", m_RoleDuty, [this] { m_Roles.step(); });
  addDuty("server-duty", m_ServerDuty, [this] { m_Servers.step(); });
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "start-message",
      .m_Start =
          [this] {
            logInfo("steward.listening",
                    {{"rpc", m_Core.m_Members.self().m_Address}});
          },
      .m_Reset = [] {}}));
}

auto StewardProcess::addDuty(const char *Name, DutyLease &Duty,
                             std::function<void()> Step) -> void {
  auto Key = std::string(Name);
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = Key,
      .m_Start =
          [this, Key, &Duty, Step = std::move(Step)] {
            m_DutyTimers[Key] =
                std::make_unique<RepeatingTimer>(m_Loop, StepInterval, Step);
            Duty.start();
          },
      .m_Reset = [this, Key] { m_DutyTimers.erase(Key); },
      .m_Stop =
          [&Duty](std::function<void()> Done) {
            Duty.resign(std::move(Done));
          }}));
}

} // namespace

auto stewardSettings() -> Settings {
  auto Declared = commonSettings();
  auto Own = std::vector<Setting>{
      integerSetting("lease-seconds", "10",
                     "Term of a duty's lease, in seconds; the same everywhere.",
                     2, 120),
      integerSetting("usage-grace-ms", "20000",
                     "Wait after a usage window's end before it is closed, in "
                     "milliseconds.",
                     0, 3'600'000),
      integerSetting("server-lead-ms", "60000",
                     "How far ahead of the load backend servers are ordered, "
                     "in milliseconds.",
                     0, 3'600'000),
      integerSetting("server-stop-patience-ms", "120000",
                     "How long fewer backend servers must suffice before one "
                     "is drained, in milliseconds.",
                     0, 86'400'000),
      integerSetting("server-start-limit-ms", "120000",
                     "Time for a backend server to start before another one is "
                     "ordered, in milliseconds.",
                     1000, 3'600'000),
  };
  Declared.insert(Declared.end(), Own.begin(), Own.end());
  return {"dotterel-steward",
          "Holds duties that need one holder: usage reports, engine roles, "
          "backend servers.",
          std::move(Declared)};
}

auto runSteward(const Settings &Values) -> int {
  setLogLevel(Values.text("log-level"));
  auto Process = StewardProcess(Values);
  return Process.run();
}

} // namespace dotterel
