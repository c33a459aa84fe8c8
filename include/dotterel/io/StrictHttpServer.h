//===- StrictHttpServer.h - HTTP/1.1 server for untrusted input -*- C++ -*-===//
///
/// \file
/// Declares an HTTP/1.1 server that rejects every ambiguous message and uses a
/// parser library. docs/DESIGN.md says why libmicrohttpd cannot be used here.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_STRICTHTTPSERVER_H
#define DOTTEREL_IO_STRICTHTTPSERVER_H

#include "dotterel/io/HttpServer.h"

#include <memory>

namespace dotterel {

/// Limits on the size of callers' requests and on the time to wait for them.
struct CallerLimits {
  std::size_t m_MaxHeaderBytes = std::size_t{16} << 10U;
  std::size_t m_MaxBodyBytes = std::size_t{4} << 20U;
  Duration m_HeaderTimeout = Seconds(5);
  Duration m_IdleTimeout = Seconds(30);
};

struct StrictHttpServerOptions {
  SocketAddress m_Address;
  CallerLimits m_Limits;
  /// Bounds the number of descriptors. Further connections wait in the accept
  /// queue.
  std::size_t m_MaxConnections = 2000;
  /// Bounds the bytes held for callers. Null: no bound.
  MemoryBudget *m_Memory = nullptr;
};

/// Listens on an address and passes complete requests to a handler. An
/// ambiguous message (two lengths, both a length and chunks, bare line ends,
/// folded or malformed headers) gets status 400 and its connection is closed,
/// so that no byte of it is parsed as another request.
///
/// \invariant A connection has at most one open exchange at a time. Pipelined
/// requests wait in the buffer.
class StrictHttpServer {
public:
  /// \throws IoError 401 when the address cannot be bound.
  StrictHttpServer(EventLoop &Loop, HttpHandler &Handler,
                   const StrictHttpServerOptions &Options);
  StrictHttpServer(const StrictHttpServer &) = delete;
  auto operator=(const StrictHttpServer &) -> StrictHttpServer & = delete;
  ~StrictHttpServer();

  [[nodiscard]] auto address() const -> SocketAddress;

  /// Sets the limits for requests whose headers have not been read yet.
  auto setLimits(const CallerLimits &Limits) -> void;

  /// Makes each response from now on close its connection.
  auto closeAfterResponses() -> void;

  /// Closes the connections that wait for a request. From now on, those that
  /// are busy are closed when their response ends, unless another request has
  /// arrived by then.
  auto closeIdle() -> void;

  /// Closes the listening socket. Open connections stay open.
  auto stopListening() -> void;

  /// Returns the number of connections with a complete or partial request whose
  /// response has not been sent completely.
  [[nodiscard]] auto busyConnections() const -> std::size_t;

  class Impl;

private:
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dotterel

#endif // DOTTEREL_IO_STRICTHTTPSERVER_H
