//===- HostRegistry.h - Registered hosts of the system ----------*- C++ -*-===//
///
/// \file
/// Hosts discover each other through store keys that are bound to leases.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_HOSTREGISTRY_H
#define DOTTEREL_PEERS_HOSTREGISTRY_H

#include "dotterel/membership/Member.h"
#include "dotterel/routing/ServerRateLimits.h"
#include "dotterel/store/KeyspaceMirror.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dotterel {

/// The registration of a host.
struct HostRecord {
  HostId m_Host;
  DataCentreId m_DataCentre;
  std::string m_Address; ///< Address of its datagram port, IP:PORT.
};

struct HostRegistryOptions {
  Seconds m_LeaseTerm{12};
  Duration m_RenewInterval = Milliseconds(3500);
  Duration m_RetryDelay = Milliseconds(1500);
  /// Maximum duration of one watch; long, since hosts rarely join or leave.
  Duration m_WatchTimeout = Milliseconds(10000);
  /// Minimum interval between two watches: without it, when all hosts return at
  /// once, each of them would receive every other registration in a separate
  /// call.
  Duration m_MinWatchInterval = Milliseconds(5000);
  /// Delay of the first watch: hosts that start together usually have
  /// registered by then, and follow the relays as soon as they know them.
  Duration m_FirstWatchDelay = Milliseconds(1200);
  /// Hosts whose leases expired during an outage of the store are retained for
  /// this time, in which they register again.
  Duration m_RetentionAfterOutage = Milliseconds(10000);
  /// Time after a registration in which the others observe it.
  Duration m_ObservationTime = Milliseconds(6000);
  /// Part of the lease's term that is not used, for clocks of different rates.
  Duration m_ClockDriftMargin = Milliseconds(200);
  /// Part of its shares of request rates that a host uses once its registration
  /// may be over: the others have removed it, or the store is away for all.
  double m_LapsedPart = 1.0 / 3;
};

/// Registers this host and tracks the others.
class HostRegistry {
public:
  HostRegistry(Scheduler &Scheduler, KeyValueStore &Store, StoreWatch &Watch,
               Random &Random, HostRecord Self,
               const HostRegistryOptions &Options);
  HostRegistry(const HostRegistry &) = delete;
  auto operator=(const HostRegistry &) -> HostRegistry & = delete;
  ~HostRegistry();

  auto start() -> void;

  /// Removes this host's key; a failure is ignored.
  auto deregister() -> void;

  /// Sets the callback that is called after each change of the other hosts.
  auto onChange(std::function<void()> Callback) -> void {
    m_OnChange = std::move(Callback);
  }

  /// Returns all registered hosts except this one.
  [[nodiscard]] auto others() const -> const std::map<HostId, HostRecord> & {
    return m_Others;
  }
  /// Returns whether others() has been read from the store since the start.
  [[nodiscard]] auto complete() const -> bool { return m_Complete; }
  [[nodiscard]] auto self() const -> const HostRecord & { return m_Self; }
  /// Returns the time in which the others list this host. It begins when they
  /// have had the time to observe its registration, unless an earlier one is
  /// still in force. It ends with the lease as this host knows it, so before
  /// the others remove a host that the store turns away. Empty before the first
  /// registration.
  [[nodiscard]] auto term() const -> const SenderTerm & { return m_Term; }

private:
  auto acquireLease() -> void;
  auto writeRecord(std::uint64_t Step, LeaseId Lease, MonotonicTime GrantSentAt)
      -> void;
  /// Extends the term by a lease that was granted or renewed by a call sent at
  /// \p SentAt.
  auto extendTerm(MonotonicTime SentAt) -> void;
  auto handleRestore() -> void;
  auto renew() -> void;
  auto scheduleStep(Duration Delay, void (HostRegistry::*Step)()) -> void;
  auto applyChange(const KeyChange &Change) -> void;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  Random &m_Random;
  HostRecord m_Self;
  HostRegistryOptions m_Options;
  KeyspaceMirror m_Mirror;
  std::map<HostId, HostRecord> m_Others;
  bool m_Complete = false;
  LeaseId m_Lease;
  SenderTerm m_Term{.m_End = MonotonicTime::min()};
  bool m_Registering = false;
  /// Incremented by each step and by a restore of the store. A response to an
  /// earlier step is ignored.
  std::uint64_t m_Step = 0;
  std::optional<TimerId> m_Timer;
  std::function<void()> m_OnChange;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_HOSTREGISTRY_H
