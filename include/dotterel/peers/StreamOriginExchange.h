//===- StreamOriginExchange.h - Origins kept by several hosts ---*- C++ -*-===//
///
/// \file
/// Has a few other hosts keep the origin of each stream, so that a caller can
/// take it up again at any host after the one that served it has ended.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_STREAMORIGINEXCHANGE_H
#define DOTTEREL_PEERS_STREAMORIGINEXCHANGE_H

#include "dotterel/peers/DatagramPort.h"
#include "dotterel/peers/HostMessage.h"
#include "dotterel/peers/HostRegistry.h"
#include "dotterel/serving/StreamOrigins.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dotterel {

struct StreamOriginExchangeOptions {
  StreamMemoryOptions m_Memory;
  /// Number of hosts that keep the origin of a stream.
  std::size_t m_Keepers = 3;
  /// Number of hosts that are asked: more than keep it, since hosts that have
  /// been registered since then take the places of keepers.
  std::size_t m_AskedHosts = 5;
  /// Time for which records are collected before they are sent. What was not
  /// sent is lost with the host.
  Duration m_CollectTime = Milliseconds(50);
  /// Time after which hosts are asked again, since a datagram may be lost and
  /// a record may be on its way.
  Duration m_RepeatDelay = Milliseconds(120);
  /// Time after which a lookup ends without an answer.
  Duration m_LookupTimeout = Milliseconds(250);
};

/// Each host tells the keepers of a stream which software began it. All hosts
/// derive the keepers from the digest of the stream: the best one by rendezvous
/// hashing in each data centre first, then the second best ones. So the loss of
/// a data centre leaves keepers, and what a host receives does not grow with
/// the number of hosts.
///
/// \invariant An origin comes from the host that saw the stream begin, or from
/// one that it was told to: no host infers it.
class StreamOriginExchange final : public StreamOrigins {
public:
  StreamOriginExchange(Scheduler &Scheduler, DatagramPort &Port,
                       const HostRegistry &Hosts,
                       const StreamOriginExchangeOptions &Options);
  StreamOriginExchange(const StreamOriginExchange &) = delete;
  auto operator=(const StreamOriginExchange &)
      -> StreamOriginExchange & = delete;
  ~StreamOriginExchange() override;

  auto record(const RequestId &First, const StreamOrigin &Origin)
      -> void override;
  [[nodiscard]] auto known(const RequestId &First) const
      -> std::optional<StreamOrigin> override;
  auto ask(const RequestId &First, LookupCallback Done)
      -> StreamLookupId override;
  auto cancel(StreamLookupId Lookup) -> void override;

  /// Processes a message that was received from \p Address.
  auto receive(const HostMessage &Message, const std::string &Address) -> void;

  /// Returns the number of streams whose origin this host keeps.
  [[nodiscard]] auto kept() const -> std::size_t { return m_Memory.size(); }

private:
  struct Lookup {
    StreamDigest m_Stream;
    std::set<std::string> m_Asked;  ///< Addresses.
    std::set<std::string> m_Denied; ///< Addresses that do not know the origin.
    std::uint32_t m_Round = 0;
    LookupCallback m_Done;
    std::optional<TimerId> m_Timer;
  };

  /// Returns the addresses of the first \p Count keepers of a stream; empty for
  /// this host. Complexity: linear in the number of hosts, times its logarithm.
  [[nodiscard]] auto keepersOf(StreamDigest Stream, std::size_t Count) const
      -> std::vector<std::string>;
  auto flush() -> void;
  auto sendQuery(StreamLookupId Id, const Lookup &Current) -> void;
  auto handleTimer(StreamLookupId Id) -> void;
  auto answer(const StreamQuery &Query, const std::string &Address) -> void;
  auto handleReply(const StreamReply &Reply, const std::string &Address)
      -> void;
  auto end(StreamLookupId Id, std::optional<StreamOrigin> Origin) -> void;
  [[nodiscard]] auto message(decltype(HostMessage::m_Content) Content) const
      -> std::string;

  Scheduler &m_Scheduler;
  DatagramPort &m_Port;
  const HostRegistry &m_Hosts;
  StreamOriginExchangeOptions m_Options;
  StreamMemory m_Memory;
  std::map<std::string, StreamRecords> m_Unsent; ///< By address.
  std::optional<TimerId> m_FlushTimer;
  std::map<StreamLookupId, Lookup> m_Lookups;
  std::uint64_t m_LastLookup = 0;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_STREAMORIGINEXCHANGE_H
