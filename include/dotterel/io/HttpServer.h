//===- HttpServer.h - HTTP server on the event loop -------------*- C++ -*-===//
///
/// \file
/// Declares the HTTP server that runs libmicrohttpd on the event loop, without
/// threads, and the interfaces between HTTP servers and request handlers.
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

class MemoryBudget;

/// One request and its response. Exactly one of respond() and startStream() may
/// be called, once.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual auto request() const -> const HttpRequest & = 0;

  /// Sends a complete response.
  virtual auto respond(HttpResponse Response) -> void = 0;

  /// Starts a streamed response of unknown length.
  /// \pre The response has not been started.
  virtual auto startStream(unsigned Status, HttpHeaders Headers) -> void = 0;

  /// Appends to a started stream. Dropped when the caller has disconnected.
  virtual auto write(std::string_view Data) -> void = 0;

  /// Ends a started stream as a complete response.
  virtual auto finish() -> void = 0;

  /// Ends a started stream so that the caller sees an incomplete response.
  virtual auto abort() -> void = 0;

  /// Returns the number of bytes that were written to the stream and are still
  /// buffered in this process.
  [[nodiscard]] virtual auto backlog() const -> std::size_t = 0;

  /// Sets the function that is called once if the caller disconnects before the
  /// response ends.
  virtual auto onDisconnect(std::function<void()> Callback) -> void = 0;
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;

/// Handles complete requests.
class HttpHandler {
public:
  virtual ~HttpHandler() = default;

  /// Handles a request. It may respond through \p Exchange during the call or
  /// later.
  virtual auto handle(HttpExchangePtr Exchange) -> void = 0;

  /// Returns the response to a request whose body exceeds \p Limit bytes.
  virtual auto bodyTooLarge(std::size_t Limit) -> HttpResponse = 0;

  /// Returns the response to a request that was not read since the memory for
  /// callers is in use. It must say that the request is not run.
  virtual auto outOfMemory() -> HttpResponse {
    constexpr auto Unavailable = 503U;
    return {.m_Status = Unavailable,
            .m_Headers = {{.m_Name = "Retry-After", .m_Value = "1"}}};
  }
};

struct HttpServerOptions {
  SocketAddress m_Address;
  std::size_t m_MaxBodyBytes = std::size_t{8} << 20U;
  unsigned m_MaxConnections = 1000;
  unsigned m_IdleTimeoutSeconds = 30;
  /// Bounds the bytes held for callers. Null: no bound.
  MemoryBudget *m_Memory = nullptr;
};

/// Listens on an address and passes complete requests to a handler.
class HttpServer {
public:
  /// \throws IoError 401 when the address cannot be bound.
  HttpServer(EventLoop &Loop, HttpHandler &Handler,
             const HttpServerOptions &Options);
  HttpServer(const HttpServer &) = delete;
  auto operator=(const HttpServer &) -> HttpServer & = delete;
  ~HttpServer();

  /// Returns the bound address, with the port that the system chose if the
  /// requested port was 0.
  [[nodiscard]] auto address() const -> SocketAddress { return m_Bound; }

  /// Closes each connection from now on when its response ends, unless another
  /// request has arrived by then.
  auto closeAfterResponses() -> void;

  /// Closes the listening socket. Open connections stay open.
  auto stopListening() -> void;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
  SocketAddress m_Bound;
};

} // namespace dotterel

#endif // DOTTEREL_IO_HTTPSERVER_H
