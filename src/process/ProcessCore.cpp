#include "dotterel/process/ProcessCore.h"

#include "dotterel/base/Log.h"
#include "dotterel/settings/CommonSettings.h"
#include "dotterel/store/HttpStore.h"
#include "dotterel/supervision/FunctionComponent.h"

#include <cstdlib>
#include <utility>

namespace dotterel {

namespace {

/// Number of announcements that a process leaves, before its RPC server stops.
constexpr auto LeaveAnnouncements = 2;

auto storeOptions(const Settings &Values) -> HttpStoreOptions {
  return {.m_BaseUrl = Values.text("store-url"),
          .m_CallTimeout = Values.milliseconds("store-timeout-ms")};
}

auto discoveryOptions(const Settings &Values) -> DiscoveryOptions {
  return {.m_PlatformUrl = Values.text("platform-url"),
          .m_ListInterval = Values.milliseconds("platform-poll-ms"),
          .m_LoadInterval = Values.milliseconds("load-poll-ms")};
}

} // namespace

ProcessCore::ProcessCore(const Settings &Values, ProcessRole Role,
                         PeerService &Service,
                         const EngineTableOptions &Engines)
    : m_Values(Values), m_Random(systemSeed()),
      m_Client(makeHttpClient(m_Loop)),
      m_Store(makeHttpStore(*m_Client, storeOptions(Values))),
      m_Peers(makePeerCaller(m_Kj, {})),
      m_Members(initialMember(Values, Role, m_Loop.wallNow()), {}),
      m_Freshness({.m_MaxAge = Values.milliseconds("freshness-bound-ms")}),
      m_ConfigurationStore(m_Loop, *m_Store, m_Configuration, m_Freshness),
      m_Gossip(
          m_Loop, m_Random, m_Members, *m_Peers, m_Configuration, m_Freshness,
          m_Crashes,
          {.m_SelfReadAge = Values.milliseconds("freshness-bound-ms") / 2}),
      m_Engines(locationFrom(Values), Engines),
      m_Backends(m_Loop, *m_Client, m_Engines),
      m_Discovery(m_Loop, *m_Client, m_Backends, m_Engines,
                  discoveryOptions(Values)),
      m_Service(Service) {
  m_Discovery.onHostList([this](std::vector<ListedProcess> Listed) {
    m_Gossip.setListed(std::move(Listed));
  });
}

auto ProcessCore::addPeers(Supervisor &Tree) -> void {
  Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "peer-server",
      .m_Start =
          [this] {
            m_PeerServer.emplace(
                m_Kj, m_Service,
                SocketAddress::parse(m_Values.text("rpc-listen")));
            m_Members.self().m_Address = m_PeerServer->address().text();
          },
      .m_Reset = [this] { m_PeerServer.reset(); }}));
  Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "gossip",
      .m_Start =
          [this] {
            m_GossipTimer.emplace(m_Loop,
                                  m_Values.milliseconds("gossip-interval-ms"),
                                  [this] { m_Gossip.runRound(); });
          },
      .m_Reset = [this] { m_GossipTimer.reset(); },
      .m_Stop =
          [this](std::function<void()> Done) {
            announceLeaving(std::move(Done), LeaveAnnouncements);
          }}));
}

auto ProcessCore::addReaders(Supervisor &Tree) -> void {
  Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
      .m_Name = "configuration-reader",
      .m_Start =
          [this] {
            m_ConfigTimer.emplace(m_Loop,
                                  m_Values.milliseconds("config-poll-ms"),
                                  [this] { readConfiguration(); });
            readConfiguration();
          },
      .m_Reset = [this] { m_ConfigTimer.reset(); }}));
  Tree.add(std::make_unique<FunctionComponent>(
      FunctionComponentOptions{.m_Name = "discovery",
                               .m_Start = [this] { m_Discovery.start(); },
                               .m_Reset = [this] { m_Discovery.stop(); }}));
}

auto ProcessCore::readConfiguration() -> void {
  if (m_ReadPending || !m_Gossip.readsStore())
    return;
  m_ReadPending = true;
  m_ConfigurationStore.refresh([this](bool) { m_ReadPending = false; });
}

auto ProcessCore::announceLeaving(std::function<void()> Done, int Remaining)
    -> void {
  m_Members.self().m_Leaving = true;
  m_Members.advanceHeartbeat(m_Loop.now());
  m_Gossip.announce([this, Done = std::move(Done), Remaining]() mutable {
    if (Remaining > 1)
      announceLeaving(std::move(Done), Remaining - 1);
    else
      Done();
  });
}

auto ProcessCore::run(Supervisor &Tree) -> int {
  Tree.onEscalation([this, &Tree](const std::string &Name) {
    logError("process.failed", {{"process", Tree.name()}, {"component", Name}});
    m_Failed = true;
    m_Loop.stop();
  });
  m_Loop.onTermination([this, &Tree] {
    if (std::exchange(m_ShuttingDown, true))
      return;
    Tree.stop([this, &Tree] {
      logInfo("process.stopped", {{"process", Tree.name()}});
      m_Loop.stop();
    });
  });
  Tree.start();
  m_Loop.run();
  return m_Failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace dotterel
