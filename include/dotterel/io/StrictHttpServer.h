//===- StrictHttpServer.h - HTTP/1.1 server for hostile input ---*- C++ -*-===//
///
/// \file
/// An HTTP/1.1 server that refuses every ambiguous message, on a parser
/// library. docs/DESIGN.md says why libmicrohttpd does not serve here.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_STRICTHTTPSERVER_H
#define DOTTEREL_IO_STRICTHTTPSERVER_H

#include "dotterel/io/HttpServer.h"

#include <memory>

namespace dotterel {

/// What callers may send, and how long they may take.
struct CallerLimits {
  std::size_t m_HeaderBytes = std::size_t{16} << 10U;
  std::size_t m_BodyBytes = std::size_t{4} << 20U;
  Duration m_HeaderTimeout = Seconds(5);
  Duration m_IdleTimeout = Seconds(30);
};

struct StrictHttpServerOptions {
  SocketAddress m_Address;
  CallerLimits m_Limits;
  /// Bounds descriptors; further connections wait in the accept queue.
  std::size_t m_MaximumConnections = 2000;
};

/// Listens and hands complete requests to a handler. A message with more than
/// one reading (two lengths, length and chunks, bare line ends, folded or
/// malformed headers) gets 400 and its connection is closed, so that no byte of
/// it is read as another request.
///
/// \invariant At most one exchange of a connection is open at a time; the
/// requests behind it wait in the buffer.
class StrictHttpServer {
public:
  /// \throws IoError 401 when the address cannot be bound.
  StrictHttpServer(EventLoop &Loop, HttpHandler &Handler,
                   const StrictHttpServerOptions &Options);
  StrictHttpServer(const StrictHttpServer &) = delete;
  auto operator=(const StrictHttpServer &) -> StrictHttpServer & = delete;
  ~StrictHttpServer();

  [[nodiscard]] auto address() const -> SocketAddress;

  /// Applies to requests whose headers have not been read yet.
  auto setLimits(const CallerLimits &Limits) -> void;

  /// From now on each answer closes its connection.
  auto closeAfterAnswers() -> void;

  /// Closes connections that wait for a request.
  auto closeIdle() -> void;

  /// Closes the listening socket; open connections go on.
  auto stopListening() -> void;

  /// Connections with a request, whole or in part, that has no complete answer
  /// yet.
  [[nodiscard]] auto busyConnections() const -> std::size_t;

  class Impl;

private:
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dotterel

#endif // DOTTEREL_IO_STRICTHTTPSERVER_H
