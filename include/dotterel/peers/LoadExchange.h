//===- LoadExchange.h - Exchange of loads between hosts ---------*- C++ -*-===//
///
/// \file
/// Distributes the load in flight of each host, so that all hosts select
/// engines by the same load.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_LOADEXCHANGE_H
#define DOTTEREL_PEERS_LOADEXCHANGE_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/peers/DatagramPort.h"
#include "dotterel/peers/HostMessage.h"
#include "dotterel/peers/HostRegistry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

struct LoadExchangeOptions {
  /// Interval between messages within a data centre: shorter than the prefill
  /// of a prompt, so that a queue is reported while it exists.
  Duration m_LocalInterval = Milliseconds(100);
  /// Interval between summaries to other data centres, whose bytes are billed.
  Duration m_RemoteInterval = Milliseconds(200);
  /// A host from which nothing was received for this time is not live and does
  /// not act as a relay.
  Duration m_LivenessTimeout = Milliseconds(600);
  /// Maximum age of the demand that a host or data centre has reported.
  Duration m_MaxDemandAge = Milliseconds(2000);
  /// Number of hosts in each other data centre that receive each summary.
  std::size_t m_RemoteTargets = 2;
  /// Number of hosts that a host sends a summary of another data centre on to.
  std::size_t m_FanOut = 6;
};

/// Each host sends its loads to the hosts of its data centre. One of these, the
/// first live one by name, sends the sum of the data centre to the other data
/// centres. There, each summary goes to a few hosts, chosen anew each time, and
/// each of them distributes it along a tree of its own over the live hosts. So
/// no host sends much more of them than any other, and their number grows with
/// the data centres, not with the hosts.
///
/// \invariant Hosts with different views of the live hosts never send a summary
/// on in a circle: it only goes to hosts that are later in an order which does
/// not depend on the view.
class LoadExchange {
public:
  /// Returns the load in flight of this host, and the prompts prefilled since
  /// the previous call.
  using Source = std::function<LoadSummary()>;
  /// Receives the load in flight of \p Origin, a host or a data centre.
  using Sink =
      std::function<void(const std::string &Origin, const LoadSummary &)>;

  LoadExchange(Scheduler &Scheduler, DatagramPort &Port,
               const HostRegistry &Registry, Source Source, Sink Sink,
               const LoadExchangeOptions &Options);

  /// Returns the use of limited organisations by this host, or by its whole
  /// data centre; empty if no limit is set.
  using UseSource =
      std::function<std::optional<OrganisationUse>(bool WholeDataCentre)>;
  using UseSink =
      std::function<void(const HostId &Sender, const DataCentreId &DataCentre,
                         const OrganisationUse &Use)>;

  /// Sends the use of organisations along with the loads.
  auto exchangeUse(UseSource Source, UseSink Sink) -> void {
    m_UseSource = std::move(Source);
    m_UseSink = std::move(Sink);
  }

  auto start() -> void;

  /// Processes a message that was received from \p Address as \p Bytes.
  auto receive(const HostMessage &Message, const std::string &Address,
               std::string_view Bytes) -> void;

  /// Returns the demand of all hosts together in prompt tokens to prefill per
  /// second; empty while there is no recent report from a data centre with
  /// registered hosts.
  [[nodiscard]] auto prefillDemand() const -> std::optional<double>;

  /// Returns the live hosts of this data centre, including this one, ordered by
  /// name.
  [[nodiscard]] auto liveLocalHosts() const -> std::vector<HostId>;

private:
  struct ReceivedLoads {
    MonotonicTime m_ReceivedAt;
    LoadSummary m_Loads;
  };

  struct RemoteDemand {
    MonotonicTime m_ReceivedAt;
    double m_Demand = 0;
  };

  struct UnsentSpeed {
    MonotonicTime m_ReceivedAt;
    SpeedReport m_Report;
  };

  /// Adds what \p Loads, received now, reports for other data centres.
  auto keepForOthers(const LoadSummary &Loads) -> void;
  auto sendLocal() -> void;
  auto sendRemote() -> void;
  auto sendToLocalHosts(std::string_view Bytes) -> void;
  /// Sends a summary on to this host's children in the tree of \p Distributor.
  auto sendOn(const HostId &Distributor, std::string_view Bytes) -> void;
  /// Returns the hosts of each other data centre that receive the next summary.
  [[nodiscard]] auto chooseRemoteTargets() -> std::vector<std::string>;
  [[nodiscard]] auto isFromLocalHost(const std::string &Address) const -> bool;
  /// Returns whether no copy of the summary \p Number of \p Sender was received
  /// before.
  auto isFirstCopy(const HostId &Sender, std::uint64_t Number) -> bool;
  [[nodiscard]] auto isRelay() const -> bool;
  template <typename Content>
  [[nodiscard]] auto message(Content Loads) const -> std::string;
  /// Sends a summary of another data centre, received as \p Bytes, on in this
  /// one.
  template <typename Content>
  auto distribute(const HostMessage &Message, const std::string &Address,
                  std::string_view Bytes) -> void;
  auto receiveUse(const HostMessage &Message, const OrganisationUse &Use,
                  const std::string &Address, std::string_view Bytes) -> void;

  Scheduler &m_Scheduler;
  DatagramPort &m_Port;
  const HostRegistry &m_Registry;
  Source m_Source;
  Sink m_Sink;
  UseSource m_UseSource;
  UseSink m_UseSink;
  LoadExchangeOptions m_Options;
  /// Number of summaries that were sent to other data centres.
  std::uint64_t m_Round = 0;
  std::map<HostId, ReceivedLoads> m_LocalLoads;
  std::map<DataCentreId, RemoteDemand> m_RemoteDemands;
  /// Numbers of the latest summaries of each host that has sent some.
  std::map<HostId, std::vector<std::uint64_t>> m_RecentNumbers;
  LoadSummary m_OwnLoads;
  MonotonicTime m_OwnLoadsAt;            ///< When m_OwnLoads was collected.
  std::vector<PromptRead> m_UnsentReads; ///< To be sent to other data centres.
  /// To be sent to other data centres.
  std::map<BackendId, UnsentSpeed> m_UnsentSpeeds;
  std::optional<RepeatingTimer> m_LocalTimer;
  std::optional<RepeatingTimer> m_RemoteTimer;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_LOADEXCHANGE_H
