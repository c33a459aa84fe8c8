#include "dotterel/steward/StewardProcess.h"

#include "dotterel/base/Log.h"
#include "dotterel/config/ConfigurationStore.h"
#include "dotterel/fleet/Discovery.h"
#include "dotterel/fleet/HttpEngineOrders.h"
#include "dotterel/io/KjLoop.h"
#include "dotterel/lease/DutyLease.h"
#include "dotterel/membership/Gossip.h"
#include "dotterel/rpc/PeerRpc.h"
#include "dotterel/settings/CommonSettings.h"
#include "dotterel/steward/RoleKeeper.h"
#include "dotterel/store/HttpStore.h"
#include "dotterel/supervision/FunctionComponent.h"
#include "dotterel/usage/WindowSealer.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>

namespace dotterel {

namespace {

constexpr auto StepInterval = Milliseconds(500);
/// Stewards that campaign for one duty.
constexpr auto Campaigners = std::size_t{3};
/// A duty's holder looks after all engines of its region.
constexpr auto MostEnginesOfModel = std::size_t{10'000};
constexpr auto ReportTimeout = Seconds(5);
constexpr auto StatusOk = 200U;

/// Everything in a steward, in the order in which it is built.
class StewardProcess final : public PeerService {
public:
  explicit StewardProcess(const Settings &Values);

  auto run() -> int;

  auto onExchange(const PeerView &View) -> PeerView override {
    return m_Gossip.answer(View);
  }
  auto onFetchConfiguration(const std::vector<std::uint64_t> &Known)
      -> ConfigurationDelta override {
    return m_Configuration.delta(Known);
  }
  // Claims and usage are the gates'.
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
  auto addRpc() -> void;
  auto addReaders() -> void;
  auto addDuty(const char *Name, DutyLease &Duty, std::function<void()> Step)
      -> void;
  auto eligibleFor(const DutyId &Duty) const -> bool;
  auto gone(const SenderId &Sender) const -> bool;
  auto report(const UsageReport &Report, std::function<void(bool)> Done)
      -> void;
  auto readConfiguration() -> void;
  auto shutDown() -> void;

  const Settings &m_Values;
  EventLoop m_Loop;
  KjLoop m_Kj{m_Loop};
  Random m_Random{systemSeed()};
  std::unique_ptr<HttpClient> m_Client = makeHttpClient(m_Loop);
  std::unique_ptr<KeyValueStore> m_Store;
  std::unique_ptr<PeerCaller> m_Peers = makePeerCaller(m_Kj, {});
  MemberTable m_Members;
  ConfigurationHolder m_Configuration;
  FreshnessTracker m_Freshness;
  CrashRegistry m_Crashes{CrashRegistryOptions{}};
  ConfigurationStore m_ConfigurationStore;
  Gossip m_Gossip;
  EngineTable m_Engines;
  Discovery m_Discovery;
  std::unique_ptr<EngineOrders> m_Orders;
  DutyLease m_UsageDuty;
  DutyLease m_RoleDuty;
  WindowSealer m_Sealer;
  RoleKeeper m_Roles;
  std::optional<PeerServer> m_PeerServer;
  std::optional<RepeatingTimer> m_GossipTimer;
  std::optional<RepeatingTimer> m_ConfigTimer;
  std::map<std::string, std::unique_ptr<RepeatingTimer>> m_DutyTimers;
  bool m_Reading = false;
  bool m_ShuttingDown = false;
  bool m_Failed = false;
  Supervisor m_Tree;
};

auto leaseOptions(const Settings &Values) -> DutyLeaseOptions {
  auto Term = Seconds(Values.integer("lease-seconds"));
  constexpr auto MarginParts = 5;
  constexpr auto RenewParts = 5;
  return {.m_Term = Term,
          .m_Margin = Duration(Term) / MarginParts,
          .m_RenewInterval = Duration(Term) / RenewParts,
          .m_CampaignInterval = Duration(Term) / RenewParts};
}

auto roleDuty(const Settings &Values) -> DutyId {
  return DutyId{"engine-roles/" + Values.text("region")};
}

auto senderIdOf(const Member &Self) -> SenderId {
  return SenderId{
      fmt::format("{}#{}", Self.m_Process.text(), Self.m_Incarnation)};
}

StewardProcess::StewardProcess(const Settings &Values)
    : m_Values(Values),
      m_Store(makeHttpStore(*m_Client, {.m_BaseUrl = Values.text("store-url"),
                                        .m_CallTimeout = Values.milliseconds(
                                            "store-timeout-ms")})),
      m_Members(selfFrom(Values, ProcessRole::Steward, m_Loop.wallNow()), {}),
      m_Freshness({.m_Bound = Values.milliseconds("freshness-bound-ms")}),
      m_ConfigurationStore(m_Loop, *m_Store, m_Configuration, m_Freshness),
      m_Gossip(
          m_Loop, m_Random, m_Members, *m_Peers, m_Configuration, m_Freshness,
          m_Crashes,
          {.m_SelfReadAge = Values.milliseconds("freshness-bound-ms") / 2}),
      m_Engines(locationFrom(Values),
                {.m_EnginesPerModel = MostEnginesOfModel}),
      m_Discovery(m_Loop, *m_Client, m_Engines,
                  {.m_PlatformUrl = Values.text("platform-url"),
                   .m_ListInterval = Values.milliseconds("platform-poll-ms"),
                   .m_LoadInterval = Values.milliseconds("load-poll-ms")}),
      m_Orders(makeHttpEngineOrders(*m_Client, m_Engines)),
      m_UsageDuty(m_Loop, *m_Store, DutyId{"usage-reports"},
                  m_Members.self().m_Process, leaseOptions(Values)),
      m_RoleDuty(m_Loop, *m_Store, roleDuty(Values), m_Members.self().m_Process,
                 leaseOptions(Values)),
      m_Sealer(
          m_Loop, *m_Store, m_UsageDuty,
          [this](const UsageReport &Report, std::function<void(bool)> Done) {
            report(Report, std::move(Done));
          },
          {.m_WindowLength = Seconds(Values.integer("usage-window-seconds")),
           .m_Grace = Values.milliseconds("usage-grace-ms")}),
      m_Roles(m_Loop, *m_Store, m_RoleDuty, *m_Orders, m_Engines, m_Members,
              m_Configuration,
              [this](const SenderId &Sender) { return gone(Sender); },
              {.m_Region = RegionId{Values.text("region")},
               .m_Self = senderIdOf(m_Members.self())}),
      m_Tree(m_Loop, "steward", {}) {
  m_Discovery.onHosts([this](std::vector<ListedProcess> Listed) {
    m_Gossip.setListed(std::move(Listed));
  });
  m_Discovery.setLoadWanted([this] { return m_RoleDuty.held(); });
  m_UsageDuty.setEligible(
      [this] { return eligibleFor(DutyId{"usage-reports"}); });
  m_RoleDuty.setEligible([this] { return eligibleFor(roleDuty(m_Values)); });
  addComponents();
}

auto StewardProcess::eligibleFor(const DutyId &Duty) const -> bool {
  const auto &Self = m_Members.self();
  auto Stewards = std::vector<Member>{Self};
  for (auto &Item : m_Members.live(m_Loop.now()))
    if (Item.m_Role == ProcessRole::Steward && !Item.m_Leaving)
      Stewards.push_back(std::move(Item));
  auto Ordered = rendezvousOrder("duty/" + Duty.text(), Stewards);
  auto End = Ordered.begin() +
             static_cast<std::ptrdiff_t>(std::min(Campaigners, Ordered.size()));
  return std::any_of(Ordered.begin(), End, [&](const Member &Item) {
    return Item.m_Process == Self.m_Process;
  });
}

auto StewardProcess::gone(const SenderId &Sender) const -> bool {
  auto Hash = Sender.text().rfind('#');
  auto Process = ProcessId{Sender.text().substr(0, Hash)};
  auto Incarnation = std::stoull(Sender.text().substr(Hash + 1));
  const auto *Known = m_Members.findLive(Process, m_Loop.now());
  // A host runs one steward: a later life of it proves the earlier one's end.
  if (Process == m_Members.self().m_Process)
    return Incarnation < m_Members.self().m_Incarnation;
  if (Known != nullptr)
    return Known->m_Incarnation > Incarnation;
  return !m_Gossip.listed().empty() && !m_Gossip.listed().contains(Process);
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
  Call.m_OneConnection = true;
  Call.m_OnDone = [Done = std::move(Done)](const HttpCallResult &Result) {
    Done(Result.m_Outcome == HttpOutcome::Complete &&
         Result.m_Status == StatusOk);
  };
  m_Client->start(std::move(Call));
}

auto StewardProcess::addComponents() -> void {
  addRpc();
  addReaders();
  addDuty("usage-duty", m_UsageDuty, [this] { m_Sealer.step(); });
  addDuty("role-duty", m_RoleDuty, [this] { m_Roles.step(); });
  m_Tree.onEscalation([this](const std::string &Name) {
    logError("steward.failed", {{"component", Name}});
    m_Failed = true;
    m_Loop.stop();
  });
}

auto StewardProcess::addRpc() -> void {
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "peer-server",
      .m_Start =
          [this] {
            m_PeerServer.emplace(
                m_Kj, *this, SocketAddress::parse(m_Values.text("rpc-listen")));
            m_Members.self().m_Address = m_PeerServer->address().text();
            logInfo("steward.listening", {{"rpc", m_Members.self().m_Address}});
          },
      .m_Reset = [this] { m_PeerServer.reset(); }}));
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "gossip",
      .m_Start =
          [this] {
            m_GossipTimer.emplace(m_Loop,
                                  m_Values.milliseconds("gossip-interval-ms"),
                                  [this] { m_Gossip.round(); });
          },
      .m_Reset = [this] { m_GossipTimer.reset(); },
      .m_Stop =
          [this](std::function<void()> Done) {
            m_Members.self().m_Leaving = true;
            m_Members.beat(m_Loop.now());
            m_Gossip.announce(std::move(Done));
          }}));
}

auto StewardProcess::addReaders() -> void {
  m_Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "configuration-reader",
      .m_Start =
          [this] {
            m_ConfigTimer.emplace(m_Loop,
                                  m_Values.milliseconds("config-poll-ms"),
                                  [this] { readConfiguration(); });
          },
      .m_Reset = [this] { m_ConfigTimer.reset(); }}));
  m_Tree.add(std::make_unique<FunctionComponent>(
      FunctionComponentOptions{.m_Name = "discovery",
                               .m_Start = [this] { m_Discovery.start(); },
                               .m_Reset = [this] { m_Discovery.stop(); }}));
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

auto StewardProcess::readConfiguration() -> void {
  if (m_Reading || !m_Gossip.readsStore())
    return;
  m_Reading = true;
  m_ConfigurationStore.refresh([this](bool) { m_Reading = false; });
}

auto StewardProcess::shutDown() -> void {
  if (std::exchange(m_ShuttingDown, true))
    return;
  m_Tree.stop([this] {
    logInfo("steward.stopped", {});
    m_Loop.stop();
  });
}

auto StewardProcess::run() -> int {
  m_Loop.onTermination([this] { shutDown(); });
  m_Tree.start();
  m_Loop.run();
  return m_Failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace

auto stewardSettings() -> Settings {
  auto Declared = commonSettings();
  auto Own = std::vector<Setting>{
      {.m_Name = "lease-seconds",
       .m_Kind = SettingKind::Integer,
       .m_Default = "10",
       .m_Help = "Term of a duty's lease, in seconds; the same everywhere.",
       .m_Least = 2,
       .m_Most = 120},
      {.m_Name = "usage-grace-ms",
       .m_Kind = SettingKind::Integer,
       .m_Default = "20000",
       .m_Help = "Wait after a usage window's end before it is closed, in "
                 "milliseconds.",
       .m_Least = 0,
       .m_Most = 3'600'000},
  };
  Declared.insert(Declared.end(), Own.begin(), Own.end());
  return {"dotterel-steward",
          "Holds duties that need one holder: usage reports, engine roles.",
          std::move(Declared)};
}

auto runSteward(const Settings &Values) -> int {
  setLogLevel(Values.text("log-level"));
  auto Process = StewardProcess(Values);
  return Process.run();
}

} // namespace dotterel
