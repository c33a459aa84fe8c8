//===- ProcessCore.h - What gates and stewards share ------------*- C++ -*-===//
///
/// \file
/// Loop, store, peers, membership, configuration and discovery of a process.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PROCESS_PROCESSCORE_H
#define DOTTEREL_PROCESS_PROCESSCORE_H

#include "dotterel/config/ConfigurationStore.h"
#include "dotterel/fleet/Discovery.h"
#include "dotterel/io/KjLoop.h"
#include "dotterel/membership/Gossip.h"
#include "dotterel/rpc/PeerRpc.h"
#include "dotterel/settings/Settings.h"
#include "dotterel/store/KeyValueStore.h"
#include "dotterel/supervision/Supervisor.h"

#include <memory>
#include <optional>

namespace dotterel {

/// The parts that every process of the system has. They are built in the order
/// of their declaration; a process adds its own behind them.
class ProcessCore {
public:
  /// \p Service answers the peers' calls and must outlive the core's run.
  ProcessCore(const Settings &Values, ProcessRole Role, PeerService &Service,
              const EngineTableOptions &Engines);
  ProcessCore(const ProcessCore &) = delete;
  auto operator=(const ProcessCore &) -> ProcessCore & = delete;

  /// Adds the peer server and the gossip to the tree. They stop last, the
  /// gossip after telling the others that this process leaves.
  auto addPeers(Supervisor &Tree) -> void;

  /// Adds the readers of configuration and platform lists to the tree.
  auto addReaders(Supervisor &Tree) -> void;

  /// Runs \p Tree until SIGTERM or SIGINT, or until a component keeps failing;
  /// \returns the exit code.
  auto run(Supervisor &Tree) -> int;

  const Settings &m_Values;
  EventLoop m_Loop;
  KjLoop m_Kj{m_Loop};
  Random m_Random;
  std::unique_ptr<HttpClient> m_Client;
  std::unique_ptr<KeyValueStore> m_Store;
  std::unique_ptr<PeerCaller> m_Peers;
  MemberTable m_Members;
  ConfigurationHolder m_Configuration;
  FreshnessTracker m_Freshness;
  CrashRegistry m_Crashes{CrashRegistryOptions{}};
  ConfigurationStore m_ConfigurationStore;
  Gossip m_Gossip;
  EngineTable m_Engines;
  Discovery m_Discovery;

private:
  auto readConfiguration() -> void;
  auto leave(std::function<void()> Done, int Left) -> void;

  PeerService &m_Service;
  std::optional<PeerServer> m_PeerServer;
  std::optional<RepeatingTimer> m_GossipTimer;
  std::optional<RepeatingTimer> m_ConfigTimer;
  bool m_Reading = false;
  bool m_ShuttingDown = false;
  bool m_Failed = false;
};

} // namespace dotterel

#endif // DOTTEREL_PROCESS_PROCESSCORE_H
