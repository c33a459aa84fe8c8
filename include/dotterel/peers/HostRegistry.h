//===- HostRegistry.h - The system's hosts, by the store --------*- C++ -*-===//
///
/// \file
/// Hosts find each other through keys that live as long as their leases.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_HOSTREGISTRY_H
#define DOTTEREL_PEERS_HOSTREGISTRY_H

#include "dotterel/membership/Member.h"
#include "dotterel/store/KeyspaceMirror.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dotterel {

/// A host as it registered.
struct HostRecord {
  HostId m_Host;
  DataCentreId m_DataCentre;
  std::string m_Address; ///< Of its datagram port, IP:PORT.
};

struct HostRegistryOptions {
  Seconds m_Term{12};
  Duration m_RenewInterval = Milliseconds(3500);
  Duration m_RetryDelay = Milliseconds(1500);
  /// Hosts come and go rarely, so their watch may wait for long.
  Duration m_Wait = Milliseconds(10000);
  /// Pause between two looks: when all hosts come back at once, each of them
  /// would else be told of each other in a call of its own.
  Duration m_Pause = Milliseconds(5000);
  /// Hosts whose leases ran out in an outage of the store are kept until they
  /// have registered again.
  Duration m_HoldAfterOutage = Milliseconds(10000);
};

/// Registers the own host and follows the others.
class HostRegistry {
public:
  HostRegistry(Scheduler &Scheduler, KeyValueStore &Store, StoreWatch &Watch,
               Random &Random, HostRecord Self,
               const HostRegistryOptions &Options);
  HostRegistry(const HostRegistry &) = delete;
  auto operator=(const HostRegistry &) -> HostRegistry & = delete;
  ~HostRegistry();

  auto start() -> void;

  /// Removes the own key, best effort.
  auto leave() -> void;

  /// Called after each change of the other hosts.
  auto onChange(std::function<void()> Callback) -> void {
    m_OnChange = std::move(Callback);
  }

  /// All registered hosts but this one.
  [[nodiscard]] auto others() const -> const std::map<HostId, HostRecord> & {
    return m_Others;
  }
  [[nodiscard]] auto self() const -> const HostRecord & { return m_Self; }

private:
  auto enter() -> void;
  auto write(LeaseId Lease) -> void;
  auto renew() -> void;
  auto again(Duration Delay, void (HostRegistry::*Step)()) -> void;
  auto take(const KeyChange &Change) -> void;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  HostRecord m_Self;
  HostRegistryOptions m_Options;
  KeyspaceMirror m_Mirror;
  std::map<HostId, HostRecord> m_Others;
  LeaseId m_Lease;
  std::optional<TimerId> m_Timer;
  std::function<void()> m_OnChange;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_HOSTREGISTRY_H
