#include "dotterel/io/StrictHttpServer.h"

#include "dotterel/base/Log.h"
#include "dotterel/io/Socket.h"
#include "dotterel/io/detail/RequestReader.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <fmt/format.h>
#include <http_parser.h>
#include <memory>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace dotterel {

namespace {

using detail::RequestReader;

constexpr auto ReadBlockBytes = std::size_t{32} << 10U;
/// Interval at which connections are checked for expired timeouts: a fraction
/// of the shortest timeout that operators set.
constexpr auto SweepInterval = Milliseconds(200);
/// Time for which further bytes are read and dropped before the connection is
/// closed, for example after a refusal in the middle of a body. Closing a
/// socket with unread bytes resets the connection and may lose the response.
constexpr auto LingerTimeout = Milliseconds(1000);
/// Maximum number of buffered bytes of pipelined requests.
constexpr auto MaxPipelinedBytes = std::size_t{64} << 10U;
/// Connections that are accepted in one event. Bounded, so that callers with
/// open connections are not delayed.
constexpr auto MaxAcceptsPerEvent = 64;

constexpr auto ShutdownReason = "idle at a graceful stop";

auto reasonPhrase(unsigned Status) -> const char * {
  return http_status_str(static_cast<http_status>(Status));
}

} // namespace

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

class StrictHttpServer::Impl::Connection {
public:
  Connection(Impl &Server, Socket Peer)
      : m_Server(Server), m_Socket(std::move(Peer)),
        m_Reader(Server.m_Options.m_Limits),
        m_WaitingSince(Server.m_Loop.now()),
        m_ReadWatcher(Server.m_Loop, m_Socket.fd(), EV_READ,
                      [this](int) { readable(); }),
        m_WriteWatcher(Server.m_Loop, m_Socket.fd(), EV_WRITE,
                       [this](int) { flush(); }) {
    m_WriteWatcher.enable(false);
  }
  Connection(const Connection &) = delete;
  auto operator=(const Connection &) -> Connection & = delete;
  ~Connection();

  [[nodiscard]] auto hasExchange() const -> bool {
    return m_Exchange != nullptr;
  }
  /// Returns whether a request is being read, handled or responded to.
  [[nodiscard]] auto hasRequest() const -> bool {
    return hasExchange() || unsentBytes() > 0 ||
           (!m_Lingering && (m_NextRequestTimer || m_Reader.started()));
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
    // Deferred, so that the handler is not called again inside its own call.
    m_NextRequestTimer = m_Server.m_Loop.schedule(Duration::zero(), [this] {
      m_NextRequestTimer.reset();
      m_ReadWatcher.enable(true);
      handleReaderState(m_Reader.next());
      // The head of the response may have been sent before the connection was
      // to be closed.
      if (m_Server.m_CloseIdle)
        closeIfIdle(ShutdownReason);
    });
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
  auto close() -> void;

private:
  [[nodiscard]] auto isIdle() const -> bool {
    return !m_Closed && !hasExchange() && !m_Lingering && !m_CloseWhenSent &&
           m_Reader.state() == RequestReader::State::Head &&
           !m_Reader.started();
  }
  [[nodiscard]] auto timedOut(MonotonicTime Now) const -> bool;
  auto readable() -> void;
  auto handleReaderState(RequestReader::State State) -> void;
  auto dispatch() -> void;
  auto refuse(unsigned Status, const std::string &Reason) -> void;
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
  std::optional<TimerId> m_NextRequestTimer;
  FdWatcher m_ReadWatcher;
  FdWatcher m_WriteWatcher;
};

class StrictHttpServer::Impl::Exchange final : public HttpExchange {
public:
  Exchange(Connection &Owner, HttpRequest Request, bool KeepAlive,
           const bool &CloseAfterResponses)
      : m_Connection(&Owner), m_Request(std::move(Request)),
        m_KeepAlive(KeepAlive), m_CloseAfterResponses(CloseAfterResponses) {}

  [[nodiscard]] auto request() const -> const HttpRequest & override {
    return m_Request;
  }

  auto respond(HttpResponse Response) -> void override {
    if (!startResponse())
      return;
    auto Head = encodeHead(Response.m_Status, Response.m_Headers);
    Head += fmt::format("Content-Length: {}\r\n\r\n", Response.m_Body.size());
    if (m_Request.m_Method != "HEAD")
      Head += Response.m_Body;
    m_Connection->send(Head);
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
  bool m_KeepAlive;
  const bool &m_CloseAfterResponses;
  bool m_Started = false;
  bool m_Streaming = false;
  std::function<void()> m_OnDisconnect;
};

StrictHttpServer::Impl::Connection::~Connection() {
  // Also if the server is destroyed first, the exchange must not use its
  // connection any more.
  if (auto OpenExchange = std::exchange(m_Exchange, nullptr))
    OpenExchange->disconnected();
}

auto StrictHttpServer::Impl::Connection::close() -> void {
  if (m_Closed)
    return;
  m_Closed = true;
  m_ReadWatcher.enable(false);
  m_WriteWatcher.enable(false);
  if (m_NextRequestTimer)
    m_Server.m_Loop.cancel(*m_NextRequestTimer);
  if (auto OpenExchange = std::exchange(m_Exchange, nullptr))
    OpenExchange->disconnected();
  m_Server.retire(*this);
}

auto StrictHttpServer::Impl::Connection::readable() -> void {
  auto Buffer = std::array<char, ReadBlockBytes>();
  auto Count = ::recv(m_Socket.fd(), Buffer.data(), Buffer.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count <= 0) {
    close();
    return;
  }
  if (m_Lingering) {
    // Once, since the rest of a rejected body may follow in many pieces.
    if (!std::exchange(m_DropLogged, true))
      logWarning("request.dropped",
                 {{"bytes", static_cast<std::int64_t>(Count)},
                  {"reason", m_CloseReason}});
    return;
  }
  if (!m_Reader.started()) {
    m_WaitingSince = m_Server.m_Loop.now();
    m_Reader.setLimits(m_Server.m_Options.m_Limits);
  }
  auto Data = std::string_view(Buffer.data(), static_cast<std::size_t>(Count));
  if (hasExchange() || m_NextRequestTimer) {
    m_Reader.feed(Data);
    // Stops reading from a caller that keeps sending while its request is being
    // handled.
    if (m_Reader.bufferedBytes() > MaxPipelinedBytes)
      m_ReadWatcher.enable(false);
    return;
  }
  if (m_Reader.state() == RequestReader::State::Body)
    m_WaitingSince = m_Server.m_Loop.now();
  handleReaderState(m_Reader.feed(Data));
}

auto StrictHttpServer::Impl::Connection::handleReaderState(
    RequestReader::State State) -> void {
  if (m_Reader.consumeExpectContinue() && State == RequestReader::State::Body)
    send("HTTP/1.1 100 Continue\r\n\r\n");
  if (State == RequestReader::State::Complete)
    dispatch();
  if (State == RequestReader::State::Rejected)
    refuse(m_Reader.rejection().m_Status, m_Reader.rejection().m_Reason);
}

auto StrictHttpServer::Impl::Connection::dispatch() -> void {
  m_Exchange = std::make_shared<Exchange>(*this, std::move(m_Reader.request()),
                                          m_Reader.keepAlive(),
                                          m_Server.m_CloseAfterResponses);
  // Keeps the exchange alive, because the connection may end inside the
  // handler's call.
  auto Current = m_Exchange;
  m_Server.m_Handler.handle(std::move(Current));
}

auto StrictHttpServer::Impl::Connection::refuse(unsigned Status,
                                                const std::string &Reason)
    -> void {
  logWarning("http.rejected", {{"status", Status}, {"reason", Reason}});
  auto Body = fmt::format("{}\n", Reason);
  send(fmt::format("HTTP/1.1 {} {}\r\nContent-Type: text/plain\r\n"
                   "Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                   Status, reasonPhrase(Status), Body.size(), Body));
  closeAfterFlush("rejected");
}

auto StrictHttpServer::Impl::Connection::flush() -> void {
  while (unsentBytes() > 0) {
    auto Count = ::send(m_Socket.fd(), m_SendBuffer.data() + m_SentBytes,
                        unsentBytes(), MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN) {
      m_WriteWatcher.enable(true);
      return;
    }
    if (Count < 0) {
      // The read watcher detects the end of the connection, outside of the
      // handler's call.
      m_SendBuffer.clear();
      m_SentBytes = 0;
      m_WriteWatcher.enable(false);
      m_ReadWatcher.enable(true);
      return;
    }
    m_SentBytes += static_cast<std::size_t>(Count);
    // A caller that reads its response is not idle.
    if (!hasExchange() && !m_Lingering && !m_Reader.started())
      m_WaitingSince = m_Server.m_Loop.now();
  }
  m_SendBuffer.clear();
  m_SentBytes = 0;
  m_WriteWatcher.enable(false);
  if (m_CloseWhenSent && !m_Lingering)
    startLinger();
}

auto StrictHttpServer::Impl::Connection::closeAfterFlush(const char *Reason)
    -> void {
  if (!m_CloseWhenSent)
    m_WaitingSince = m_Server.m_Loop.now();
  m_CloseWhenSent = true;
  m_CloseReason = Reason;
  if (unsentBytes() == 0 && !m_Lingering)
    startLinger();
}

auto StrictHttpServer::Impl::Connection::startLinger() -> void {
  m_Lingering = true;
  m_WaitingSince = m_Server.m_Loop.now();
  ::shutdown(m_Socket.fd(), SHUT_WR);
  m_ReadWatcher.enable(true);
}

auto StrictHttpServer::Impl::Connection::closeIfIdle(const char *Reason)
    -> void {
  if (!isIdle())
    return;
  // A request may have arrived since the socket was last read.
  readable();
  if (m_Closed || !isIdle())
    return;
  // A reset would destroy a response that the caller has not received yet.
  auto InTransit = 0;
  if (unsentBytes() > 0 ||
      (::ioctl(m_Socket.fd(), TIOCOUTQ, &InTransit) == 0 && InTransit > 0)) {
    closeAfterFlush(Reason);
    return;
  }
  // A request that crosses the close is reset, so that its caller knows it was
  // not read.
  close();
}

auto StrictHttpServer::Impl::Connection::timedOut(MonotonicTime Now) const
    -> bool {
  auto WaitTime = Now - m_WaitingSince;
  const auto &Limits = m_Server.m_Options.m_Limits;
  if (m_Lingering)
    return WaitTime > LingerTimeout;
  // A caller that does not read its response must not keep the connection open
  // indefinitely.
  if (m_CloseWhenSent)
    return WaitTime > Limits.m_IdleTimeout;
  return WaitTime >
         (m_Reader.started() ? Limits.m_HeaderTimeout : Limits.m_IdleTimeout);
}

auto StrictHttpServer::Impl::Connection::closeIfTimedOut(MonotonicTime Now)
    -> void {
  if (m_Closed || hasExchange() || m_NextRequestTimer || !timedOut(Now))
    return;
  if (m_Lingering || m_CloseWhenSent) {
    close();
    return;
  }
  if (!m_Reader.started()) {
    closeIfIdle("idle timeout");
    return;
  }
  // The rest of the request may have arrived since the socket was last read.
  readable();
  if (!m_Closed && !hasExchange() && !m_Lingering && !m_CloseWhenSent &&
      !m_NextRequestTimer && m_Reader.started() && timedOut(Now))
    refuse(408, "the request did not come in time");
}

StrictHttpServer::Impl::Impl(EventLoop &Loop, HttpHandler &Handler,
                             const StrictHttpServerOptions &Options)
    : m_Loop(Loop), m_Handler(Handler), m_Options(Options),
      m_Listener(listenOn(Options.m_Address)) {
  m_Watcher = std::make_unique<FdWatcher>(Loop, m_Listener.fd(), EV_READ,
                                          [this](int) { accept(); });
  m_SweepTimer = std::make_unique<RepeatingTimer>(Loop, SweepInterval,
                                                  [this] { sweep(); });
}

StrictHttpServer::Impl::~Impl() = default;

auto StrictHttpServer::Impl::accept() -> bool {
  for (auto Index = 0; Index < MaxAcceptsPerEvent; ++Index) {
    if (m_Connections.size() >= m_Options.m_MaxConnections) {
      m_Watcher->enable(false);
      return true;
    }
    auto Peer = Socket(::accept4(m_Listener.fd(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (Peer.fd() < 0)
      return true;
    Peer.setTcpOptions();
    auto Created = std::make_unique<Connection>(*this, std::move(Peer));
    auto *Key = Created.get();
    m_Connections.emplace(Key, std::move(Created));
  }
  return false;
}

auto StrictHttpServer::Impl::sweep() -> void {
  auto Now = m_Loop.now();
  auto Targets = std::vector<Connection *>();
  Targets.reserve(m_Connections.size());
  for (auto &[Key, Current] : m_Connections)
    Targets.push_back(Key);
  for (auto *Target : Targets)
    Target->closeIfTimedOut(Now);
}

auto StrictHttpServer::Impl::retire(Connection &Target) -> void {
  auto Found = m_Connections.find(&Target);
  if (Found == m_Connections.end())
    return;
  if (m_Retired.empty())
    m_Loop.schedule(Duration::zero(), [this] { m_Retired.clear(); });
  m_Retired.push_back(std::move(Found->second));
  m_Connections.erase(Found);
  if (m_Listener.fd() >= 0)
    m_Watcher->enable(true);
}

StrictHttpServer::StrictHttpServer(EventLoop &Loop, HttpHandler &Handler,
                                   const StrictHttpServerOptions &Options)
    : m_Impl(std::make_unique<Impl>(Loop, Handler, Options)) {}

StrictHttpServer::~StrictHttpServer() = default;

auto StrictHttpServer::address() const -> SocketAddress {
  return boundAddress(m_Impl->m_Listener);
}

auto StrictHttpServer::setLimits(const CallerLimits &Limits) -> void {
  m_Impl->m_Options.m_Limits = Limits;
}

auto StrictHttpServer::closeAfterResponses() -> void {
  m_Impl->m_CloseAfterResponses = true;
}

auto StrictHttpServer::closeIdle() -> void {
  m_Impl->m_CloseIdle = true;
  auto Targets = std::vector<Impl::Connection *>();
  for (auto &[Key, Current] : m_Impl->m_Connections)
    Targets.push_back(Key);
  for (auto *Target : Targets)
    Target->closeIfIdle(ShutdownReason);
}

auto StrictHttpServer::stopListening() -> void {
  if (m_Impl->m_Listener.fd() < 0)
    return;
  // Connections that are established but not accepted may hold requests.
  while (!m_Impl->accept()) {
  }
  m_Impl->m_Watcher->enable(false);
  m_Impl->m_Listener = Socket();
}

auto StrictHttpServer::busyConnections() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      m_Impl->m_Connections.begin(), m_Impl->m_Connections.end(),
      [](const auto &Item) { return Item.second->hasRequest(); }));
}

} // namespace dotterel
