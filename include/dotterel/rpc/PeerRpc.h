//===- PeerRpc.h - Peer calls over Cap'n Proto ------------------*- C++ -*-===//
///
/// \file
/// Implements the peer calls with Cap'n Proto RPC.
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
  /// A call without a response within this time fails, and its connection is
  /// closed.
  Duration m_CallTimeout = Milliseconds(1500);
};

/// Returns a caller that keeps one open connection per address.
auto makePeerCaller(KjLoop &Loop, const PeerCallerOptions &Options)
    -> std::unique_ptr<PeerCaller>;

/// Accepts peer calls and passes them to a service.
class PeerServer {
public:
  /// \throws IoError 401 if it cannot listen on \p Address.
  PeerServer(KjLoop &Loop, PeerService &Service, const SocketAddress &Address);
  PeerServer(const PeerServer &) = delete;
  auto operator=(const PeerServer &) -> PeerServer & = delete;
  ~PeerServer();

  /// Returns the address that the server listens on.
  [[nodiscard]] auto address() const -> SocketAddress { return m_Bound; }

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
  SocketAddress m_Bound;
};

} // namespace dotterel

#endif // DOTTEREL_RPC_PEERRPC_H
