//===- StrictHttpConnection.h - One caller's connection ---------*- C++ -*-===//
///
/// \file
/// Declares the parts of the strict HTTP server: its state, a connection, and
/// the exchange of the request that a connection carries.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_DETAIL_STRICTHTTPCONNECTION_H
#define DOTTEREL_IO_DETAIL_STRICTHTTPCONNECTION_H

#include "dotterel/base/LogThrottle.h"
#include "dotterel/io/MemoryBudget.h"
#include "dotterel/io/Socket.h"
#include "dotterel/io/StrictHttpServer.h"
#include "dotterel/io/detail/RequestReader.h"

#include <cassert>
#include <fmt/format.h>
#include <http_parser.h>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterel {

using detail::RequestReader;

inline constexpr auto ShutdownReason = "idle at a graceful stop";

inline auto reasonPhrase(unsigned Status) -> const char * {
  return http_status_str(static_cast<http_status>(Status));
}

class StrictHttpServer::Impl {
public:
  class Connection;
  class Exchange;

  Impl(EventLoop &Loop, HttpHandler &Handler,
       const StrictHttpServerOptions &Options);
  Impl(const Impl &) = delete;
  auto operator=(const Impl &) -> Impl & = delete;
  ~Impl();

  /// Destroys \p Target once none of its callbacks is on the stack.
  auto retire(Connection &Target) -> void;

  EventLoop &m_Loop;
  HttpHandler &m_Handler;
  StrictHttpServerOptions m_Options;
  LogThrottle m_RejectionLog;
  LogThrottle m_UnresponsiveLog;
  bool m_CloseAfterResponses = false;
  bool m_CloseIdle = false;
  Socket m_Listener;
  std::unique_ptr<FdWatcher> m_Watcher;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> m_Connections;
  std::vector<std::unique_ptr<Connection>> m_Retired;
  std::unique_ptr<RepeatingTimer> m_SweepTimer;

  /// Accepts connections that wait, up to a bound. \returns whether none is
  /// left or no more are allowed.
  auto accept() -> bool;

private:
  auto sweep() -> void;
};

class StrictHttpServer::Impl::Connection final : public MemoryHolder {
public:
  Connection(Impl &Server, Socket Peer)
      : m_Server(Server), m_Socket(std::move(Peer)),
        m_Reader(Server.m_Options.m_Limits),
        m_WaitingSince(Server.m_Loop.now()),
        m_Memory(Server.m_Options.m_Memory, *this),
        m_ReadWatcher(Server.m_Loop, m_Socket.fd(), EV_READ,
                      [this](int) { readable(); }),
        m_WriteWatcher(Server.m_Loop, m_Socket.fd(), EV_WRITE,
                       [this](int) { flush(); }) {
    m_WriteWatcher.enable(false);
  }
  Connection(const Connection &) = delete;
  auto operator=(const Connection &) -> Connection & = delete;
  ~Connection() override;

  [[nodiscard]] auto hasExchange() const -> bool {
    return m_Exchange != nullptr;
  }
  /// Returns whether a request is being read, handled or responded to.
  [[nodiscard]] auto hasRequest() const -> bool {
    return hasExchange() || unsentBytes() > 0 ||
           (!m_Lingering && (m_NextRequestPending || m_Reader.started()));
  }
  [[nodiscard]] auto unsentBytes() const -> std::size_t {
    return m_SendBuffer.size() - m_SentBytes;
  }
  [[nodiscard]] auto isHttp10() const -> bool { return m_Reader.isHttp10(); }

  auto send(std::string_view Data) -> void {
    if (m_Closed)
      return;
    m_SendBuffer.append(Data);
    flush();
  }
  /// Sends a whole response, without a copy where possible.
  auto sendWhole(std::string Data) -> void {
    if (m_Closed || unsentBytes() > 0) {
      send(Data);
      return;
    }
    m_SendBuffer = std::move(Data);
    flush();
  }

  /// Ends the exchange after its complete response, and reads the next request
  /// or closes the connection.
  auto finishResponse(bool KeepAlive) -> void {
    m_Exchange.reset();
    if (m_Closed)
      return;
    if (!KeepAlive) {
      closeAfterFlush("response");
      return;
    }
    m_WaitingSince = m_Server.m_Loop.now();
    m_Reader.setLimits(m_Server.m_Options.m_Limits);
    m_NextRequestPending = true;
    // A caller that does not read its responses gets no further ones.
    if (unsentBytes() == 0)
      scheduleNextRequest();
  }

  /// Closes the connection so that the caller sees an incomplete response.
  auto abort() -> void {
    if (isHttp10())
      m_Socket.resetOnClose();
    // The buffered bytes belong to the aborted response and are still sent.
    flush();
    close();
  }

  /// Closes the connection if no request has arrived on it.
  auto closeIfIdle(const char *Reason) -> void;
  auto closeIfTimedOut(MonotonicTime Now) -> void;
  /// Closes the connection if its peer has vanished while data was on its way.
  auto closeIfUnresponsive(MonotonicTime Now) -> void;
  auto close() -> void;
  auto giveUpMemory() -> void override;

private:
  [[nodiscard]] auto isIdle() const -> bool {
    return !m_Closed && !hasExchange() && !m_Lingering && !m_CloseWhenSent &&
           m_Reader.state() == RequestReader::State::Head &&
           !m_Reader.started();
  }
  /// Returns whether a request is being handled, or responded to in full.
  [[nodiscard]] auto isBusy() const -> bool {
    return hasExchange() || m_NextRequestPending;
  }
  [[nodiscard]] auto timedOut(MonotonicTime Now) const -> bool;
  auto readable() -> void;
  auto handleReaderState(RequestReader::State State) -> void;
  auto dispatch() -> void;
  /// Reads the next request in the next iteration of the event loop, so that
  /// the handler is not called again inside its own call.
  auto scheduleNextRequest() -> void;
  auto refuse(unsigned Status, const std::string &Reason) -> void;
  auto refuseForMemory() -> void;
  /// Sends the response to a request that was not read completely, and closes
  /// the connection.
  auto sendRefusal(const HttpResponse &Response) -> void;
  /// Counts the bytes of the request that is being read. \returns whether they
  /// fit; if not, the request is refused.
  auto accountRequest() -> bool;
  auto accountResponse() -> void;
  auto readRequest(std::string_view Data) -> void;
  /// Frees the part of the send buffer that was sent.
  auto releaseSentBytes() -> void;
  auto flush() -> void;
  /// Closes the connection once all bytes are sent. \p Reason is for the log.
  auto closeAfterFlush(const char *Reason) -> void;
  auto startLinger() -> void;

  Impl &m_Server;
  Socket m_Socket;
  RequestReader m_Reader;
  MonotonicTime m_WaitingSince; ///< Start of the current wait.
  std::shared_ptr<Exchange> m_Exchange;
  std::string m_SendBuffer;
  std::size_t m_SentBytes = 0;
  bool m_CloseWhenSent = false;
  bool m_Lingering = false;
  bool m_Closed = false;
  bool m_DropLogged = false;
  const char *m_CloseReason = "";
  /// Whether the response has ended, but the next request is not looked for.
  bool m_NextRequestPending = false;
  std::optional<TimerId> m_NextRequestTimer;
  std::size_t m_LingerBytes = 0;
  /// When to find out whether the peer has acknowledged what was sent; empty if
  /// it has acknowledged everything.
  std::optional<MonotonicTime> m_PeerCheckAt;
  MemoryHolding m_Memory;
  FdWatcher m_ReadWatcher;
  FdWatcher m_WriteWatcher;
};

class StrictHttpServer::Impl::Exchange final : public HttpExchange {
public:
  /// \p Guard counts the bytes of the request.
  Exchange(Connection &Owner, HttpRequest Request, std::shared_ptr<void> Guard,
           bool KeepAlive, const bool &CloseAfterResponses)
      : m_Connection(&Owner), m_Request(std::move(Request)),
        m_Guard(std::move(Guard)), m_KeepAlive(KeepAlive),
        m_CloseAfterResponses(CloseAfterResponses) {}

  [[nodiscard]] auto request() const -> const HttpRequest & override {
    return m_Request;
  }

  auto respond(HttpResponse Response) -> void override {
    if (!startResponse())
      return;
    auto Head = encodeHead(Response.m_Status, Response.m_Headers);
    Head += fmt::format("Content-Length: {}\r\n\r\n", Response.m_Body.size());
    if (m_Request.m_Method != "HEAD")
      Head += std::exchange(Response.m_Body, {});
    m_Connection->sendWhole(std::move(Head));
    endResponse();
  }

  auto startStream(unsigned Status, HttpHeaders Headers) -> void override {
    if (!startResponse())
      return;
    m_Streaming = true;
    if (m_Connection->isHttp10())
      m_KeepAlive = false;
    auto Head = encodeHead(Status, Headers);
    if (!m_Connection->isHttp10())
      Head += "Transfer-Encoding: chunked\r\n";
    m_Connection->send(Head + "\r\n");
  }

  auto write(std::string_view Data) -> void override {
    if (m_Connection == nullptr || Data.empty())
      return;
    if (m_Connection->isHttp10()) {
      m_Connection->send(Data);
      return;
    }
    m_Connection->send(fmt::format("{:x}\r\n{}\r\n", Data.size(), Data));
  }

  auto finish() -> void override {
    if (m_Connection == nullptr)
      return;
    if (!m_Connection->isHttp10())
      m_Connection->send("0\r\n\r\n");
    endResponse();
  }

  auto abort() -> void override {
    if (m_Connection == nullptr)
      return;
    m_OnDisconnect = nullptr;
    std::exchange(m_Connection, nullptr)->abort();
  }

  [[nodiscard]] auto backlog() const -> std::size_t override {
    return m_Connection == nullptr ? 0 : m_Connection->unsentBytes();
  }

  auto onDisconnect(std::function<void()> Callback) -> void override {
    m_OnDisconnect = std::move(Callback);
  }

  /// Called when the connection ends before the response does.
  auto disconnected() -> void {
    m_Connection = nullptr;
    if (auto Callback = std::exchange(m_OnDisconnect, nullptr))
      Callback();
  }

private:
  auto startResponse() -> bool {
    assert(!m_Started && "a request has exactly one response");
    m_Started = true;
    return m_Connection != nullptr;
  }

  auto encodeHead(unsigned Status, const HttpHeaders &Headers) -> std::string {
    auto Result =
        fmt::format("HTTP/1.1 {} {}\r\n", Status, reasonPhrase(Status));
    for (const auto &Header : Headers)
      Result += fmt::format("{}: {}\r\n", Header.m_Name, Header.m_Value);
    if (m_CloseAfterResponses)
      m_KeepAlive = false;
    if (!m_KeepAlive)
      Result += "Connection: close\r\n";
    return Result;
  }

  auto endResponse() -> void {
    m_OnDisconnect = nullptr;
    std::exchange(m_Connection, nullptr)->finishResponse(m_KeepAlive);
  }

  Connection *m_Connection;
  HttpRequest m_Request;
  std::shared_ptr<void> m_Guard;
  bool m_KeepAlive;
  const bool &m_CloseAfterResponses;
  bool m_Started = false;
  bool m_Streaming = false;
  std::function<void()> m_OnDisconnect;
};

} // namespace dotterel

#endif // DOTTEREL_IO_DETAIL_STRICTHTTPCONNECTION_H
