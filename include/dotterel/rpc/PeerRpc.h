//===- PeerRpc.h - Peer calls over Cap'n Proto ------------------*- C++ -*-===//
///
/// \file
/// Carries the peer calls by Cap'n Proto RPC.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_RPC_PEERRPC_H
#define DOTTEREL_RPC_PEERRPC_H

#include "dotterel/io/KjLoop.h"
#include "dotterel/rpc/Peer.h"

#include <cstdint>
#include <memory>

namespace dotterel {

struct PeerCallerOptions {
  /// A call without an answer by then fails and its connection is closed.
  Duration m_CallTimeout = Milliseconds(1500);
};

/// Makes peer calls over one kept connection per address.
auto makePeerCaller(KjLoop &Loop, const PeerCallerOptions &Options)
    -> std::unique_ptr<PeerCaller>;

/// Listens for peer calls and hands them to a service.
class PeerServer {
public:
  /// \throws IoError 401 when the address cannot be bound.
  PeerServer(KjLoop &Loop, PeerService &Service, const SocketAddress &Address);
  PeerServer(const PeerServer &) = delete;
  auto operator=(const PeerServer &) -> PeerServer & = delete;
  ~PeerServer();

  [[nodiscard]] auto address() const -> SocketAddress { return m_Bound; }

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
  SocketAddress m_Bound;
};

} // namespace dotterel

#endif // DOTTEREL_RPC_PEERRPC_H
