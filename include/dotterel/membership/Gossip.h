//===- Gossip.h - Exchange of views between processes -----------*- C++ -*-===//
///
/// \file
/// Spreads membership, configuration revisions, freshness evidence, crash
/// reports and leaving backend servers.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_MEMBERSHIP_GOSSIP_H
#define DOTTEREL_MEMBERSHIP_GOSSIP_H

#include "dotterel/base/Random.h"
#include "dotterel/base/Scheduler.h"
#include "dotterel/config/ConfigurationHolder.h"
#include "dotterel/config/Freshness.h"
#include "dotterel/membership/HostList.h"
#include "dotterel/membership/MemberTable.h"
#include "dotterel/poison/CrashRegistry.h"
#include "dotterel/rpc/Peer.h"

#include <functional>
#include <memory>
#include <set>
#include <vector>

namespace dotterel {

struct GossipOptions {
  /// Processes of each data centre that read the store for the others.
  std::size_t m_RelaysPerDataCentre = 2;
  /// Age of the evidence from which a process reads the store itself.
  Duration m_SelfReadAge = Seconds(2);
  /// An announcement waits no longer than this for the other gates.
  Duration m_AnnounceTimeout = Milliseconds(500);
};

/// One process's part in the gossip.
class Gossip {
public:
  Gossip(Scheduler &Scheduler, Random &Random, MemberTable &Members,
         PeerCaller &Peers, ConfigurationHolder &Configuration,
         FreshnessTracker &Freshness, CrashRegistry &Crashes,
         const GossipOptions &Options);

  /// Beats, and exchanges views with a relay of the own data centre and one
  /// other process.
  auto round() -> void;

  /// Takes over the platform's list.
  auto setListed(std::vector<ListedProcess> Listed) -> void;

  /// Listed processes that are not leaving.
  [[nodiscard]] auto listed() const -> const std::set<ProcessId> & {
    return m_ListedIds;
  }
  [[nodiscard]] auto listed() -> std::set<ProcessId> & { return m_ListedIds; }

  /// Whether this process reads the store at this moment.
  [[nodiscard]] auto readsStore() const -> bool;

  /// Exchanges with all live gates at once, and calls \p Done when all have
  /// answered or the time is up.
  auto announce(std::function<void()> Done) -> void;

  /// Answers a peer's exchange.
  auto answer(const PeerView &View) -> PeerView;

  /// Says which backend servers are known to leave, and hears of others'.
  auto
  setLeavingBackends(std::function<std::vector<BackendId>()> Tell,
                     std::function<void(const std::vector<BackendId> &)> Hear)
      -> void;

private:
  auto exchangeWith(const std::string &Address, std::function<void()> Done = {})
      -> void;
  auto absorb(const PeerView &View) -> void;
  auto catchUp(const std::string &Address, ConfigRevision Theirs,
               std::function<void()> Done) -> void;
  [[nodiscard]] auto ownView() -> PeerView;
  [[nodiscard]] auto relayAddress() const -> std::string;
  [[nodiscard]] auto randomAddress() -> std::string;
  [[nodiscard]] auto relays() const -> std::vector<Member>;

  Scheduler &m_Scheduler;
  Random &m_Random;
  MemberTable &m_Members;
  PeerCaller &m_Peers;
  ConfigurationHolder &m_Configuration;
  FreshnessTracker &m_Freshness;
  CrashRegistry &m_Crashes;
  GossipOptions m_Options;
  std::vector<ListedProcess> m_Listed;
  std::set<ProcessId> m_ListedIds;
  std::function<std::vector<BackendId>()> m_TellLeaving;
  std::function<void(const std::vector<BackendId> &)> m_HearLeaving;
};

} // namespace dotterel

#endif // DOTTEREL_MEMBERSHIP_GOSSIP_H
