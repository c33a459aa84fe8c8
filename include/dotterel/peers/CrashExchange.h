//===- CrashExchange.h - Exchange of crash reports --------------*- C++ -*-===//
///
/// \file
/// Distributes the evidence about requests that crash backend servers, so that
/// all hosts quarantine the same ones.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_CRASHEXCHANGE_H
#define DOTTEREL_PEERS_CRASHEXCHANGE_H

#include "dotterel/base/Random.h"
#include "dotterel/peers/LoadExchange.h"
#include "dotterel/poison/CrashRegistry.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

struct CrashExchangeOptions {
  /// Time for which changes are collected into common messages.
  Duration m_CollectTime = Milliseconds(20);
  /// Number of hosts in each other data centre that receive each change.
  std::size_t m_RemoteTargets = 2;
  /// Maximum size of the reports in one message, so that it fits into one
  /// packet of an ordinary network.
  std::size_t m_MaxMessageBytes = 1200;
  /// Maximum number of changes that are sent per second, and at once.
  double m_MaxReportsPerSecond = 256;
  double m_MaxReportBurst = 64;
  /// Number of losses from which a change is sent again without waiting for
  /// the next exchange with random hosts.
  std::size_t m_MinUrgentLosses = 2;
  std::size_t m_UrgentRepeats = 2;
  Duration m_UrgentInterval = Milliseconds(150);

  /// Interval between exchanges with random hosts.
  Duration m_ExchangeInterval = Milliseconds(500);
  /// Age of a change up to which it is part of each exchange.
  Duration m_RecentAge = Seconds(3);
  /// Interval between exchanges that also contain all quarantined digests and
  /// the releases of m_ReleaseAge.
  Duration m_RepeatInterval = Seconds(2);
  Duration m_ReleaseAge = Seconds(10);
  /// Maximum number of reports in an exchange with one host.
  std::size_t m_MaxExchangeReports = 64;

  /// A host or data centre that was not heard for this time receives all
  /// evidence once it is heard again. Shorter than m_RecentAge, which covers
  /// shorter interruptions.
  Duration m_MaxSilence = Seconds(2);
  /// Number of exchanges for which it does, and of hosts that send to it.
  std::size_t m_CatchUpRounds = 3;
  std::size_t m_CatchUpSenders = 2;
};

/// Each host sends its changes to the hosts of its data centre and to a few
/// hosts of each other one, which forward what is new to them. The number of
/// messages of a host grows with its data centre, not with the installation.
/// Exchanges with random hosts make up for lost messages. Nothing is sent while
/// there is no evidence.
///
/// \invariant A message has all losses of a digest that this host knows of, up
/// to the size of a message. Their ages are measured at the same time, so
/// losses that are consecutive for the sender are consecutive for the receiver.
class CrashExchange {
public:
  /// Adds the evidence of another host. Returns whether it was new; see
  /// CrashRegistry::merge().
  using Merge = std::function<bool(const CrashReport &, MonotonicTime)>;

  CrashExchange(Scheduler &Scheduler, DatagramPort &Port, Random &Random,
                const HostRegistry &Hosts, const LoadExchange &Loads,
                const CrashRegistry &Crashes, Merge Merge,
                const CrashExchangeOptions &Options);
  CrashExchange(const CrashExchange &) = delete;
  auto operator=(const CrashExchange &) -> CrashExchange & = delete;
  ~CrashExchange();

  auto start() -> void;

  /// Sends the evidence of \p Digests, which this host has changed by its own
  /// observation.
  auto announce(const std::vector<RequestDigest> &Digests) -> void;

  /// Records that evidence about \p Digests was read from the store, where
  /// other hosts read it too.
  auto noteStored(const std::vector<RequestDigest> &Digests) -> void;

  /// Processes a message of any content that was received from \p Address.
  auto receive(const HostMessage &Message, const std::string &Address) -> void;

private:
  struct DigestState {
    MonotonicTime m_ChangedAt;
    bool m_Shared = false;        ///< Another host knows of the evidence.
    std::size_t m_MostLosses = 0; ///< Ever, also before a release.
  };
  struct PendingChange {
    MonotonicTime m_DueAt;
    bool m_ToRemote = false; ///< Also sent to other data centres.
    std::size_t m_Repeats = 0;
  };
  struct LocalHost {
    std::string m_Address;
    MonotonicTime m_HeardAt;
  };
  enum class Selection : std::uint8_t { Recent, Repeated, All };

  auto noteSender(const HostMessage &Message, const std::string &Address)
      -> void;
  auto mergeReport(const CrashReport &Report, const HostMessage &Message)
      -> void;
  /// Drops a change that is not urgent and that another host sends too.
  auto dropDuplicate(RequestDigest Digest, const HostMessage &Message) -> void;
  auto addPending(RequestDigest Digest, bool ToRemote) -> void;
  auto scheduleFlush(MonotonicTime DueAt) -> void;
  auto sendPending() -> void;
  auto refillBudget() -> void;
  auto exchangeWithRandomHosts() -> void;
  auto sendCatchUps() -> void;
  auto dropOldStates() -> void;
  /// Sorts \p Digests by how close they are to quarantine, the closest first,
  /// and in random order among equals.
  auto sortByUrgency(std::vector<RequestDigest> &Digests) -> void;
  [[nodiscard]] auto select(Selection Choice) -> std::vector<CrashReport>;
  /// Returns the report to send on a digest, or nothing if there is nothing
  /// that other hosts need to know.
  [[nodiscard]] auto reportToSend(RequestDigest Digest) const
      -> std::optional<CrashReport>;
  /// Encodes \p Reports into as many messages as are needed.
  [[nodiscard]] auto encode(std::vector<CrashReport> Reports) const
      -> std::vector<std::string>;
  auto send(const std::vector<std::string> &Messages,
            const std::vector<std::string> &Addresses) -> void;
  [[nodiscard]] auto localAddresses() const -> std::vector<std::string>;
  /// Returns the addresses of the registered hosts of each other data centre.
  [[nodiscard]] auto remoteAddresses() const
      -> std::map<DataCentreId, std::vector<std::string>>;
  /// Returns up to \p Count random elements of \p Addresses.
  [[nodiscard]] auto choose(std::vector<std::string> Addresses,
                            std::size_t Count) -> std::vector<std::string>;

  Scheduler &m_Scheduler;
  DatagramPort &m_Port;
  Random &m_Random;
  const HostRegistry &m_Hosts;
  const LoadExchange &m_Loads;
  const CrashRegistry &m_Crashes;
  Merge m_Merge;
  CrashExchangeOptions m_Options;
  std::map<RequestDigest, DigestState> m_Digests;
  std::map<RequestDigest, PendingChange> m_Pending;
  std::map<HostId, LocalHost> m_LocalHosts;
  std::map<DataCentreId, MonotonicTime> m_RemoteHeardAt;
  /// Remaining rounds.
  std::map<HostId, std::size_t> m_LocalCatchUps;
  std::map<DataCentreId, std::size_t> m_RemoteCatchUps;
  double m_Budget;
  MonotonicTime m_BudgetAt;
  std::optional<MonotonicTime> m_DeferralLoggedAt;
  MonotonicTime m_RepeatedAt;
  std::optional<RepeatingTimer> m_Timer;
  std::optional<TimerId> m_FlushTimer;
  MonotonicTime m_FlushAt;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_CRASHEXCHANGE_H
