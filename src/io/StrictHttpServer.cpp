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
#include <sys/socket.h>
#include <unordered_map>
#include <utility>

namespace dotterel {

namespace {

using detail::RequestReader;

constexpr auto ReadBlockBytes = std::size_t{32} << 10U;
/// How often connections are looked through for expired time-outs: a fraction
/// of the shortest time-out that operators set.
constexpr auto SweepInterval = Milliseconds(200);
/// After a refusal in the middle of a body, the rest is read and dropped for so
/// long: closing with unread bytes would reset the answer on its way.
constexpr auto LingerTime = Milliseconds(1000);
/// Bytes of requests behind the current one that are kept.
constexpr auto PipelineBytes = std::size_t{64} << 10U;
/// New connections that are accepted in a row, so that callers with open
/// connections are not held up.
constexpr auto AcceptBurst = 64;

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

  /// Destroys \p Target once no callback of it is on the stack.
  auto retire(Connection &Target) -> void;

  EventLoop &m_Loop;
  HttpHandler &m_Handler;
  StrictHttpServerOptions m_Options;
  bool m_Closing = false;
  Socket m_Listener;
  std::unique_ptr<FdWatcher> m_Watcher;
  std::unordered_map<Connection *, std::unique_ptr<Connection>> m_Connections;
  std::vector<std::unique_ptr<Connection>> m_Retired;
  std::unique_ptr<RepeatingTimer> m_Sweep;

private:
  auto accept() -> void;
  auto sweep() -> void;
};

class StrictHttpServer::Impl::Connection {
public:
  Connection(Impl &Server, Socket Peer)
      : m_Server(Server), m_Socket(std::move(Peer)),
        m_Reader(Server.m_Options.m_Limits), m_Since(Server.m_Loop.now()),
        m_ReadWatcher(Server.m_Loop, m_Socket.fd(), EV_READ,
                      [this](int) { readable(); }),
        m_WriteWatcher(Server.m_Loop, m_Socket.fd(), EV_WRITE,
                       [this](int) { flush(); }) {
    m_WriteWatcher.enable(false);
  }
  Connection(const Connection &) = delete;
  auto operator=(const Connection &) -> Connection & = delete;
  ~Connection() = default;

  [[nodiscard]] auto busy() const -> bool { return m_Open != nullptr; }
  /// Whether a request is being read, handled or answered.
  [[nodiscard]] auto occupied() const -> bool {
    return busy() || (!m_Lingering && (m_Next || m_Reader.begun()));
  }
  [[nodiscard]] auto pending() const -> std::size_t {
    return m_Out.size() - m_Sent;
  }
  [[nodiscard]] auto legacyVersion() const -> bool {
    return m_Reader.legacyVersion();
  }

  auto send(std::string_view Data) -> void {
    if (m_Dead)
      return;
    m_Out.append(Data);
    flush();
  }

  /// The exchange's answer is whole.
  auto answered(bool KeepAlive) -> void {
    m_Open.reset();
    if (m_Dead)
      return;
    if (!KeepAlive) {
      closeAfterFlush();
      return;
    }
    m_Since = m_Server.m_Loop.now();
    m_Reader.setLimits(m_Server.m_Options.m_Limits);
    // Not from inside the handler's call.
    m_Next = m_Server.m_Loop.schedule(Duration::zero(), [this] {
      m_Next.reset();
      m_ReadWatcher.enable(true);
      proceed(m_Reader.next());
    });
  }

  /// Ends the connection so that what was sent looks cut.
  auto cut() -> void {
    if (legacyVersion())
      m_Socket.resetOnClose();
    // What is buffered belongs to the cut answer and is still sent.
    flush();
    dead();
  }

  auto closeIfIdle() -> void {
    if (!busy() && !m_Lingering &&
        m_Reader.state() == RequestReader::State::Head && !m_Reader.begun())
      closeAfterFlush();
  }

  auto sweep(MonotonicTime Now) -> void;
  auto dead() -> void;

private:
  auto readable() -> void;
  auto proceed(RequestReader::State State) -> void;
  auto dispatch() -> void;
  auto refuse(unsigned Status, const std::string &Reason) -> void;
  auto flush() -> void;
  auto closeAfterFlush() -> void;
  auto startLinger() -> void;

  Impl &m_Server;
  Socket m_Socket;
  RequestReader m_Reader;
  MonotonicTime m_Since; ///< Of the newest change of what is waited for.
  std::shared_ptr<Exchange> m_Open;
  std::string m_Out;
  std::size_t m_Sent = 0;
  bool m_CloseWhenSent = false;
  bool m_Lingering = false;
  bool m_Dead = false;
  std::optional<TimerId> m_Next;
  FdWatcher m_ReadWatcher;
  FdWatcher m_WriteWatcher;
};

class StrictHttpServer::Impl::Exchange final : public HttpExchange {
public:
  Exchange(Connection &Owner, HttpRequest Request, bool KeepAlive,
           const bool &Closing)
      : m_Connection(&Owner), m_Request(std::move(Request)),
        m_KeepAlive(KeepAlive), m_Closing(Closing) {}

  [[nodiscard]] auto request() const -> const HttpRequest & override {
    return m_Request;
  }

  auto respond(HttpResponse Response) -> void override {
    if (!begin())
      return;
    auto Head = head(Response.m_Status, Response.m_Headers);
    Head += fmt::format("Content-Length: {}\r\n\r\n", Response.m_Body.size());
    if (m_Request.m_Method != "HEAD")
      Head += Response.m_Body;
    m_Connection->send(Head);
    end();
  }

  auto startStream(unsigned Status, HttpHeaders Headers) -> void override {
    if (!begin())
      return;
    m_Streaming = true;
    if (m_Connection->legacyVersion())
      m_KeepAlive = false;
    auto Head = head(Status, Headers);
    if (!m_Connection->legacyVersion())
      Head += "Transfer-Encoding: chunked\r\n";
    m_Connection->send(Head + "\r\n");
  }

  auto write(std::string_view Data) -> void override {
    if (m_Connection == nullptr || Data.empty())
      return;
    if (m_Connection->legacyVersion()) {
      m_Connection->send(Data);
      return;
    }
    m_Connection->send(fmt::format("{:x}\r\n{}\r\n", Data.size(), Data));
  }

  auto finish() -> void override {
    if (m_Connection == nullptr)
      return;
    if (!m_Connection->legacyVersion())
      m_Connection->send("0\r\n\r\n");
    end();
  }

  auto abort() -> void override {
    if (m_Connection == nullptr)
      return;
    m_OnDisconnect = nullptr;
    std::exchange(m_Connection, nullptr)->cut();
  }

  [[nodiscard]] auto backlog() const -> std::size_t override {
    return m_Connection == nullptr ? 0 : m_Connection->pending();
  }

  auto onDisconnect(std::function<void()> Callback) -> void override {
    m_OnDisconnect = std::move(Callback);
  }

  /// The connection has ended before the answer did.
  auto disconnected() -> void {
    m_Connection = nullptr;
    if (auto Callback = std::exchange(m_OnDisconnect, nullptr))
      Callback();
  }

private:
  auto begin() -> bool {
    assert(!m_Begun && "one answer for each request");
    m_Begun = true;
    return m_Connection != nullptr;
  }

  auto head(unsigned Status, const HttpHeaders &Headers) -> std::string {
    auto Result =
        fmt::format("HTTP/1.1 {} {}\r\n", Status, reasonPhrase(Status));
    for (const auto &Header : Headers)
      Result += fmt::format("{}: {}\r\n", Header.m_Name, Header.m_Value);
    if (m_Closing)
      m_KeepAlive = false;
    if (!m_KeepAlive)
      Result += "Connection: close\r\n";
    return Result;
  }

  auto end() -> void {
    m_OnDisconnect = nullptr;
    std::exchange(m_Connection, nullptr)->answered(m_KeepAlive);
  }

  Connection *m_Connection;
  HttpRequest m_Request;
  bool m_KeepAlive;
  const bool &m_Closing;
  bool m_Begun = false;
  bool m_Streaming = false;
  std::function<void()> m_OnDisconnect;
};

auto StrictHttpServer::Impl::Connection::dead() -> void {
  if (m_Dead)
    return;
  m_Dead = true;
  m_ReadWatcher.enable(false);
  m_WriteWatcher.enable(false);
  if (m_Next)
    m_Server.m_Loop.cancel(*m_Next);
  if (auto Open = std::exchange(m_Open, nullptr))
    Open->disconnected();
  m_Server.retire(*this);
}

auto StrictHttpServer::Impl::Connection::readable() -> void {
  auto Block = std::array<char, ReadBlockBytes>();
  auto Count = ::recv(m_Socket.fd(), Block.data(), Block.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count <= 0) {
    dead();
    return;
  }
  if (m_Lingering)
    return;
  if (!m_Reader.begun())
    m_Since = m_Server.m_Loop.now();
  auto Data = std::string_view(Block.data(), static_cast<std::size_t>(Count));
  if (busy() || m_Next) {
    m_Reader.feed(Data);
    // A caller that sends on and on while its request runs is not read.
    if (m_Reader.buffered() > PipelineBytes)
      m_ReadWatcher.enable(false);
    return;
  }
  if (m_Reader.state() == RequestReader::State::Body)
    m_Since = m_Server.m_Loop.now();
  proceed(m_Reader.feed(Data));
}

auto StrictHttpServer::Impl::Connection::proceed(RequestReader::State State)
    -> void {
  if (m_Reader.takeContinue() && State == RequestReader::State::Body)
    send("HTTP/1.1 100 Continue\r\n\r\n");
  if (State == RequestReader::State::Complete)
    dispatch();
  if (State == RequestReader::State::Rejected)
    refuse(m_Reader.rejection().m_Status, m_Reader.rejection().m_Reason);
}

auto StrictHttpServer::Impl::Connection::dispatch() -> void {
  m_Open = std::make_shared<Exchange>(*this, std::move(m_Reader.request()),
                                      m_Reader.keepAlive(), m_Server.m_Closing);
  // The connection may end inside the handler's call.
  auto Current = m_Open;
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
  closeAfterFlush();
}

auto StrictHttpServer::Impl::Connection::flush() -> void {
  while (pending() > 0) {
    auto Count =
        ::send(m_Socket.fd(), m_Out.data() + m_Sent, pending(), MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN) {
      m_WriteWatcher.enable(true);
      return;
    }
    if (Count < 0) {
      // The read side reports the end, outside of the handler's call.
      m_Out.clear();
      m_Sent = 0;
      m_WriteWatcher.enable(false);
      m_ReadWatcher.enable(true);
      return;
    }
    m_Sent += static_cast<std::size_t>(Count);
  }
  m_Out.clear();
  m_Sent = 0;
  m_WriteWatcher.enable(false);
  if (m_CloseWhenSent && !m_Lingering)
    startLinger();
}

auto StrictHttpServer::Impl::Connection::closeAfterFlush() -> void {
  m_CloseWhenSent = true;
  if (pending() == 0 && !m_Lingering)
    startLinger();
}

auto StrictHttpServer::Impl::Connection::startLinger() -> void {
  m_Lingering = true;
  m_Since = m_Server.m_Loop.now();
  ::shutdown(m_Socket.fd(), SHUT_WR);
  m_ReadWatcher.enable(true);
}

auto StrictHttpServer::Impl::Connection::sweep(MonotonicTime Now) -> void {
  if (m_Dead || busy() || m_Next)
    return;
  auto Waited = Now - m_Since;
  const auto &Limits = m_Server.m_Options.m_Limits;
  if (m_Lingering) {
    if (Waited > LingerTime)
      dead();
    return;
  }
  // An answer that its caller does not take keeps no connection for ever.
  if (m_CloseWhenSent) {
    if (Waited > Limits.m_IdleTimeout)
      dead();
    return;
  }
  if (m_Reader.begun()) {
    if (Waited > Limits.m_HeaderTimeout)
      refuse(408, "the request did not come in time");
    return;
  }
  if (Waited > Limits.m_IdleTimeout)
    closeAfterFlush();
}

StrictHttpServer::Impl::Impl(EventLoop &Loop, HttpHandler &Handler,
                             const StrictHttpServerOptions &Options)
    : m_Loop(Loop), m_Handler(Handler), m_Options(Options),
      m_Listener(listenOn(Options.m_Address)) {
  m_Watcher = std::make_unique<FdWatcher>(Loop, m_Listener.fd(), EV_READ,
                                          [this](int) { accept(); });
  m_Sweep = std::make_unique<RepeatingTimer>(Loop, SweepInterval,
                                             [this] { sweep(); });
}

StrictHttpServer::Impl::~Impl() = default;

auto StrictHttpServer::Impl::accept() -> void {
  for (auto Index = 0; Index < AcceptBurst; ++Index) {
    if (m_Connections.size() >= m_Options.m_MaximumConnections) {
      m_Watcher->enable(false);
      return;
    }
    auto Peer = Socket(::accept4(m_Listener.fd(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (Peer.fd() < 0)
      return;
    Peer.tune();
    auto Created = std::make_unique<Connection>(*this, std::move(Peer));
    auto *Key = Created.get();
    m_Connections.emplace(Key, std::move(Created));
  }
}

auto StrictHttpServer::Impl::sweep() -> void {
  auto Now = m_Loop.now();
  auto Targets = std::vector<Connection *>();
  Targets.reserve(m_Connections.size());
  for (auto &[Key, Current] : m_Connections)
    Targets.push_back(Key);
  for (auto *Target : Targets)
    Target->sweep(Now);
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

auto StrictHttpServer::closeAfterAnswers() -> void { m_Impl->m_Closing = true; }

auto StrictHttpServer::closeIdle() -> void {
  auto Targets = std::vector<Impl::Connection *>();
  for (auto &[Key, Current] : m_Impl->m_Connections)
    Targets.push_back(Key);
  for (auto *Target : Targets)
    Target->closeIfIdle();
}

auto StrictHttpServer::stopListening() -> void {
  m_Impl->m_Watcher->enable(false);
  m_Impl->m_Listener = Socket();
}

auto StrictHttpServer::busyConnections() const -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(m_Impl->m_Connections.begin(), m_Impl->m_Connections.end(),
                    [](const auto &Item) { return Item.second->occupied(); }));
}

} // namespace dotterel
