//===- ProcessCore.h - Components common to processes -----------*- C++ -*-===//
///
/// \file
/// Event loop, store, peers, membership, configuration and discovery of a
/// process.
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

/// Components common to gates and stewards. They are constructed in the order
/// of their declaration, before those that a process adds.
class ProcessCore {
public:
  /// Creates the components. \p Service handles the calls of peers and must
  /// outlive run().
  ProcessCore(const Settings &Values, ProcessRole Role, PeerService &Service,
              const EngineTableOptions &Engines);
  ProcessCore(const ProcessCore &) = delete;
  auto operator=(const ProcessCore &) -> ProcessCore & = delete;

  /// Adds the peer server and gossip to the tree. They stop last, gossip only
  /// after announcing to the peers that this process leaves.
  auto addPeers(Supervisor &Tree) -> void;

  /// Adds the configuration reader and the discovery of backend servers to the
  /// tree.
  auto addReaders(Supervisor &Tree) -> void;

  /// Runs \p Tree until SIGTERM or SIGINT, or until a component fails
  /// repeatedly.
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
  BackendClient m_Backends;
  Discovery m_Discovery;

private:
  auto readConfiguration() -> void;
  /// Announces \p Remaining times to the peers that this process leaves.
  auto announceLeaving(std::function<void()> Done, int Remaining) -> void;

  PeerService &m_Service;
  std::optional<PeerServer> m_PeerServer;
  std::optional<RepeatingTimer> m_GossipTimer;
  std::optional<RepeatingTimer> m_ConfigTimer;
  bool m_ReadPending = false;
  bool m_ShuttingDown = false;
  bool m_Failed = false;
};

} // namespace dotterel

#endif // DOTTEREL_PROCESS_PROCESSCORE_H
