//===- StoreRelay.h - Store access through a few hosts ----------*- C++ -*-===//
///
/// \file
/// In each data centre two hosts watch the store and relay changes to the
/// others.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_STORERELAY_H
#define DOTTEREL_PEERS_STORERELAY_H

#include "dotterel/peers/LoadExchange.h"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace dotterel {

struct StoreRelayOptions {
  /// Number of hosts of a data centre that watch the store themselves.
  std::size_t m_RelayCount = 2;
  /// Interval between queries to a relay.
  Duration m_QueryInterval = Milliseconds(500);
  /// A host without a confirmation for this time watches the store itself.
  Duration m_FallbackTimeout = Milliseconds(1600);
  /// A relay whose confirmation is older than that of another relay by more
  /// than this is behind.
  Duration m_MaxRelayLag = Milliseconds(1000);
  /// Number of consecutive replies of one relay with a different set of servers
  /// that are tolerated before all servers are read: a relayed change may still
  /// be in transit.
  std::uint32_t m_AllowedMismatches = 1;
  /// Maximum size of the records in one message, so that it fits into one
  /// packet of an ordinary network.
  std::size_t m_MaxMessageBytes = 1200;
};

/// Access to the host's state, and actions on it.
struct StoreRelayHooks {
  /// Returns the age of the older one of the confirmations of configuration and
  /// servers.
  std::function<Duration()> m_ConfirmationAge;
  std::function<ConfigRevision()> m_ConfigRevision;
  std::function<std::uint64_t()> m_BackendsDigest;
  /// Returns the newest history of the store that this host has observed.
  std::function<StoreEra()> m_StoreEra;
  /// Gets the history that another host has observed.
  std::function<void(StoreEra)> m_OnStoreEra;
  std::function<void(MonotonicTime)> m_OnConfigurationConfirmed;
  /// Gets a time at which the servers known to this host matched the store.
  std::function<void(MonotonicTime)> m_OnBackendsConfirmed;
  std::function<void()> m_RefreshConfiguration;
  std::function<void()> m_RefreshBackends;
  std::function<void(const KeyChange &)> m_OnBackendChange;
  /// Gets whether this host follows relays instead of watching the store.
  std::function<void(bool)> m_OnFollowingChange;
};

/// Relays changes of the store and confirmations within a data centre. A
/// confirmation is sent in the reply to a query and is dated from before the
/// query was sent, so that no delay, pause or repetition makes it appear
/// newer than it is. It counts only for a host that holds the configuration of
/// the relay and has observed the same history of the store.
class StoreRelay {
public:
  StoreRelay(Scheduler &Scheduler, DatagramPort &Port,
             const HostRegistry &Registry, const LoadExchange &Exchange,
             StoreRelayHooks Hooks, const StoreRelayOptions &Options);
  StoreRelay(const StoreRelay &) = delete;
  auto operator=(const StoreRelay &) -> StoreRelay & = delete;
  ~StoreRelay();

  auto start() -> void;

  /// Processes a query, a reply or changes received from \p Address.
  auto receive(const HostMessage &Message, const std::string &Address) -> void;

  /// Sends a change that this host has observed in the store to the hosts of
  /// the data centre, in one message with others of the same moment.
  auto relayChange(const KeyChange &Change) -> void;

  [[nodiscard]] auto following() const -> bool { return m_Following; }

private:
  auto queryRelays() -> void;
  auto sendReply(const RelayQuery &Query, const std::string &Address) -> void;
  auto handleReply(const HostId &Relay, const RelayReply &Reply) -> void;
  auto sendPending() -> void;
  auto sendChanges(RelayedChanges Changes) -> void;
  [[nodiscard]] auto message(decltype(HostMessage::m_Content) Content) const
      -> std::string;

  Scheduler &m_Scheduler;
  DatagramPort &m_Port;
  const HostRegistry &m_Registry;
  const LoadExchange &m_Exchange;
  StoreRelayHooks m_Hooks;
  StoreRelayOptions m_Options;
  bool m_Following = false;
  std::map<HostId, std::uint32_t> m_Mismatches; ///< Consecutive, by relay.
  /// Changes to be relayed, by key: only the last change of a key is sent.
  std::map<std::string, KeyChange> m_Pending;
  MonotonicTime m_NewestConfirmation;
  std::optional<RepeatingTimer> m_Timer;
  std::optional<TimerId> m_FlushTimer;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_STORERELAY_H
