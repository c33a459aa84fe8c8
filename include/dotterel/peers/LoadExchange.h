//===- LoadExchange.h - Hosts tell each other their loads -------*- C++ -*-===//
///
/// \file
/// Spreads what each host has under way, so that all of them judge engines by
/// the same load.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_LOADEXCHANGE_H
#define DOTTEREL_PEERS_LOADEXCHANGE_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/peers/DatagramPort.h"
#include "dotterel/peers/HostMessage.h"
#include "dotterel/peers/HostRegistry.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace dotterel {

struct LoadExchangeOptions {
  /// Pause between messages inside a data centre: shorter than a prompt is
  /// read in, so that a queue is seen while it stands.
  Duration m_LocalInterval = Milliseconds(100);
  /// Pause between summaries to other data centres, whose bytes are billed.
  Duration m_RemoteInterval = Milliseconds(200);
  /// A host that was silent for so long relays nothing.
  Duration m_RelayLapse = Milliseconds(600);
  /// What a host or data centre said of its demand counts for so long.
  Duration m_DemandLapse = Milliseconds(2000);
  /// Hosts of another data centre that get each summary.
  std::size_t m_RemoteTargets = 2;
};

/// Each host sends its loads to the hosts of its data centre. One of these, the
/// first by name that was heard of late, sends the data centre's sum to the
/// others, where the receivers pass it on. The messages of a host grow with its
/// data centre, not with the installation.
class LoadExchange {
public:
  /// What the own host has under way; the reads since the call before.
  using Source = std::function<LoadSummary()>;
  /// Gets what \p Origin, a host or a data centre, has under way.
  using Sink =
      std::function<void(const std::string &Origin, const LoadSummary &)>;

  LoadExchange(Scheduler &Scheduler, DatagramPort &Port,
               const HostRegistry &Registry, Source Source, Sink Sink,
               const LoadExchangeOptions &Options);

  auto start() -> void;

  /// Takes a message that came from \p Address as \p Bytes.
  auto receive(const HostMessage &Message, const std::string &Address,
               std::string_view Bytes) -> void;

  /// Prompt tokens per second that all hosts together have to have read; empty
  /// while a data centre with registered hosts has not been heard of late.
  [[nodiscard]] auto demand() const -> std::optional<double>;

  /// Hosts of the own data centre, this one included, that were heard of late,
  /// by name.
  [[nodiscard]] auto present() const -> std::vector<HostId>;

private:
  struct Heard {
    MonotonicTime m_At;
    LoadSummary m_Loads;
  };

  struct RemoteDemand {
    MonotonicTime m_At;
    double m_Demand = 0;
  };

  auto sendLocal() -> void;
  auto sendRemote() -> void;
  auto sendToOwn(std::string_view Bytes) -> void;
  [[nodiscard]] auto fromOwn(const std::string &Address) const -> bool;
  [[nodiscard]] auto relays() const -> bool;
  [[nodiscard]] auto message(LoadSummary Loads) const -> std::string;

  Scheduler &m_Scheduler;
  DatagramPort &m_Port;
  const HostRegistry &m_Registry;
  Source m_Source;
  Sink m_Sink;
  LoadExchangeOptions m_Options;
  std::map<HostId, Heard> m_Local;
  std::map<DataCentreId, RemoteDemand> m_Remote;
  LoadSummary m_Own;
  std::vector<PromptRead> m_Reads; ///< To be told to other data centres.
  std::optional<RepeatingTimer> m_LocalTimer;
  std::optional<RepeatingTimer> m_RemoteTimer;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_LOADEXCHANGE_H
