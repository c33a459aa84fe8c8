//===- Gossip.h - Exchange of views between processes -----------*- C++ -*-===//
///
/// \file
/// Distributes membership, configuration revisions, configuration
/// confirmations, crash reports and leaving backend servers.
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
#include <optional>
#include <set>
#include <vector>

namespace dotterel {

struct GossipOptions {
  /// Number of processes of each data centre that read the store for the
  /// others.
  std::size_t m_RelaysPerDataCentre = 2;
  /// Age of the newest confirmation above which a process reads the store
  /// itself.
  Duration m_SelfReadAge = Seconds(2);
  /// Maximum time that an announcement waits for the other gates.
  Duration m_AnnounceTimeout = Milliseconds(500);
};

/// The gossip protocol of one process.
class Gossip {
public:
  Gossip(Scheduler &Scheduler, Random &Random, MemberTable &Members,
         PeerCaller &Peers, ConfigurationHolder &Configuration,
         FreshnessTracker &Freshness, CrashRegistry &Crashes,
         const GossipOptions &Options);

  /// Advances the own heartbeat, and exchanges views with a relay of the own
  /// data centre and one other process.
  auto runRound() -> void;

  /// Replaces the known list of processes by the platform's current one.
  auto setListed(std::vector<ListedProcess> Listed) -> void;

  /// Returns the listed processes that are not leaving.
  [[nodiscard]] auto listed() const -> const std::set<ProcessId> & {
    return m_ListedIds;
  }
  [[nodiscard]] auto listed() -> std::set<ProcessId> & { return m_ListedIds; }

  /// Returns the other gates that may send requests to servers: those that are
  /// listed, also if this process cannot reach them, and live ones that are not
  /// listed yet. Nothing before a list has been set. Complexity: linear.
  [[nodiscard]] auto otherGates() const -> std::optional<std::set<ProcessId>>;

  /// Returns whether this process currently reads the store itself.
  [[nodiscard]] auto readsStore() const -> bool;

  /// Exchanges views with all live gates at once, and calls \p Done when all
  /// have responded or the timeout has expired.
  auto announce(std::function<void()> Done) -> void;

  /// Merges a peer's view and returns the own one.
  auto handleExchange(const PeerView &View) -> PeerView;

  /// Sets \p Receive, which is called for each digest that a peer reports
  /// evidence about, once that is merged.
  auto onCrashEvidence(std::function<void(RequestDigest)> Receive) -> void {
    m_OnCrashEvidence = std::move(Receive);
  }

  /// Sets \p Report, which returns the backend servers known to be leaving, and
  /// \p Receive, which gets those that peers report.
  auto setLeavingBackends(
      std::function<std::vector<BackendId>()> Report,
      std::function<void(const std::vector<BackendId> &)> Receive) -> void;

  /// Sets \p Report, which returns the request rates that servers have stated,
  /// and \p Receive, which gets those that peers report.
  auto setRateLimits(
      std::function<std::vector<RateLimitReport>()> Report,
      std::function<void(const std::vector<RateLimitReport> &)> Receive)
      -> void;

private:
  auto exchangeWith(const std::string &Address, std::function<void()> Done = {})
      -> void;
  auto mergeView(const PeerView &View) -> void;
  /// Passes on the request rates of a reply to an exchange that began at
  /// \p SentAt.
  auto mergeRateLimits(const PeerView &Reply, MonotonicTime SentAt) -> void;
  auto fetchNewerConfiguration(const std::string &Address,
                               ConfigRevision PeerRevision,
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
  std::function<void(RequestDigest)> m_OnCrashEvidence;
  std::function<std::vector<BackendId>()> m_LeavingBackendsSource;
  std::function<void(const std::vector<BackendId> &)> m_OnLeavingBackends;
  std::function<std::vector<RateLimitReport>()> m_RateLimitsSource;
  std::function<void(const std::vector<RateLimitReport> &)> m_OnRateLimits;
};

} // namespace dotterel

#endif // DOTTEREL_MEMBERSHIP_GOSSIP_H
