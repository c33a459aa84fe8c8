//===- StoreRelay.h - Few hosts read the store for the others ---*- C++ -*-===//
///
/// \file
/// In each data centre two hosts watch the store; the others learn from them.
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
  /// Hosts of a data centre that watch the store themselves.
  std::size_t m_Relays = 2;
  /// Pause between questions to a relay.
  Duration m_AskInterval = Milliseconds(500);
  /// Without evidence for so long, a host watches the store itself.
  Duration m_FallBackAfter = Milliseconds(1600);
  /// A relay whose evidence is older than another's by so much is behind.
  Duration m_BehindAfter = Milliseconds(1000);
  /// Replies of one relay in a row that show other servers than ours before all
  /// are read: a change that was passed on may still be on its way.
  std::uint32_t m_MismatchesAllowed = 1;
  /// Size of the records in one message, so that it fits into one packet of an
  /// ordinary network.
  std::size_t m_MessageBytes = 1200;
};

/// The host's own state, and what is to be done with it.
struct StoreRelayHooks {
  /// Age of the older one of the evidence of configuration and of servers.
  std::function<Duration()> m_EvidenceAge;
  std::function<ConfigRevision()> m_Config;
  std::function<std::uint64_t()> m_BackendsDigest;
  std::function<void(MonotonicTime)> m_OnEvidence;
  /// The servers known here were those of the store at that time.
  std::function<void(MonotonicTime)> m_OnBackendsEvidence;
  std::function<void()> m_RefreshConfiguration;
  std::function<void()> m_RefreshBackends;
  std::function<void(const KeyChange &)> m_OnBackendChange;
  /// Gets whether this host is to follow relays rather than watch the store.
  std::function<void(bool)> m_OnFollow;
};

/// Evidence travels in answers to questions and is dated from before the
/// question was sent, so that no delay, pause or repetition makes it look newer
/// than it is. It counts only for a host that holds the relay's configuration.
class StoreRelay {
public:
  StoreRelay(Scheduler &Scheduler, DatagramPort &Port,
             const HostRegistry &Registry, const LoadExchange &Exchange,
             StoreRelayHooks Hooks, const StoreRelayOptions &Options);
  StoreRelay(const StoreRelay &) = delete;
  auto operator=(const StoreRelay &) -> StoreRelay & = delete;
  ~StoreRelay();

  auto start() -> void;

  /// Takes a question, a reply or a change that came from \p Address.
  auto receive(const HostMessage &Message, const std::string &Address) -> void;

  /// Tells the data centre of a change that this host has seen in the store, in
  /// one message with others of the same moment.
  auto passOn(const KeyChange &Change) -> void;

  [[nodiscard]] auto following() const -> bool { return m_Following; }

private:
  auto step() -> void;
  auto reply(const RelayQuestion &Question, const std::string &Address) -> void;
  auto take(const HostId &Relay, const RelayReply &Reply) -> void;
  auto flush() -> void;
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
  std::map<HostId, std::uint32_t> m_Mismatches; ///< In a row, by relay.
  /// Waiting to be passed on, by key: only the last state counts.
  std::map<std::string, KeyChange> m_Pending;
  MonotonicTime m_NewestEvidence;
  std::optional<RepeatingTimer> m_Timer;
  std::optional<TimerId> m_FlushTimer;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_STORERELAY_H
