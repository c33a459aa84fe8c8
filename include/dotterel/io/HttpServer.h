//===- HttpServer.h - HTTP server on the event loop -------------*- C++ -*-===//
///
/// \file
/// Adapts libmicrohttpd, without threads, to the event loop.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_HTTPSERVER_H
#define DOTTEREL_IO_HTTPSERVER_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/HttpMessage.h"
#include "dotterel/io/SocketAddress.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct MHD_Daemon;

namespace dotterel {

/// One request and the answer to it. Exactly one of respond() and
/// startStream() may be called, once.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual auto request() const -> const HttpRequest & = 0;

  /// Sends a complete answer.
  virtual auto respond(HttpResponse Response) -> void = 0;

  /// Starts an answer of unknown length. \pre the answer has not begun.
  virtual auto startStream(unsigned Status, HttpHeaders Headers) -> void = 0;

  /// Appends to a started stream; dropped when the caller has left.
  virtual auto write(std::string_view Data) -> void = 0;

  /// Ends a started stream so that the caller sees it as whole.
  virtual auto finish() -> void = 0;

  /// Ends a started stream so that the caller sees it as broken.
  virtual auto abort() -> void = 0;

  /// Bytes written to a stream that the caller has not taken yet.
  [[nodiscard]] virtual auto backlog() const -> std::size_t = 0;

  /// Sets what is called once when the caller leaves before the answer ends.
  virtual auto onDisconnect(std::function<void()> Callback) -> void = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Receives each complete request.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;

  /// Handles a request now or later through \p Exchange.
  virtual auto handle(HttpExchangePtr Exchange) -> void = 0;

  /// The answer to a body over the limit.
  virtual auto bodyTooLarge(std::size_t Limit) -> HttpResponse = 0;
};

struct HttpServerOptions {
  SocketAddress m_Address;
  std::size_t m_MaximumBodyBytes = std::size_t{8} << 20U;
  unsigned m_MaximumConnections = 1000;
  unsigned m_IdleTimeoutSeconds = 30;
};

/// Listens and hands complete requests to a handler.
class HttpServer {
public:
  /// \throws IoError 401 when the address cannot be bound.
  HttpServer(EventLoop &Loop, HttpHandler &Handler,
             const HttpServerOptions &Options);
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;
  ~HttpServer();

  /// The bound address, with the port the system chose when 0 was asked for.
  [[nodiscard]] auto address() const -> SocketAddress { return m_Bound; }

  /// Closes the listening socket; open connections go on.
  auto stopListening() -> void;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
  SocketAddress m_Bound;
};

} // namespace dotterel

#endif // DOTTEREL_IO_HTTPSERVER_H
