#include "dotterel/io/HttpServer.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/base/LogThrottle.h"
#include "dotterel/io/MemoryBudget.h"

#include <algorithm>
#include <array>
#include <cassert>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <http_parser.h>
#include <microhttpd.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace dotterel {

namespace {

/// Bounds of what is read and dropped after a refusal in the middle of a body.
constexpr auto LingerTimeout = Milliseconds(1000);
constexpr auto LingerSweepInterval = Milliseconds(50);
constexpr auto MaxLingerBytes = std::size_t{8} << 20U;
/// Maximum number of descriptors that linger, beside those of connections.
constexpr auto MaxLingering = std::size_t{64};
constexpr auto StreamBlockBytes = std::size_t{16} << 10U;

auto appendHeader(void *Target, enum MHD_ValueKind /*Kind*/, const char *Key,
                  const char *Value) -> MHD_Result {
  auto *Headers = static_cast<HttpHeaders *>(Target);
  Headers->push_back({.m_Name = Key, .m_Value = Value ? Value : ""});
  return MHD_YES;
}

} // namespace

class HttpServer::Impl {
public:
  class Exchange;

  Impl(EventLoop &Loop, HttpHandler &Handler, const HttpServerOptions &Options);
  Impl(const Impl &) = delete;
  auto operator=(const Impl &) -> Impl & = delete;
  ~Impl();

  /// Runs the daemon in the next iteration of the event loop, so that a handler
  /// can respond inside the daemon's own callback.
  auto scheduleRun() -> void;

  EventLoop &m_Loop;
  HttpHandler &m_Handler;
  HttpServerOptions m_Options;
  /// Reads and drops what still comes on a connection that was refused, for a
  /// bounded time and number of bytes. Takes ownership of \p Fd.
  auto linger(int Fd) -> void;

  struct Lingering {
    std::unique_ptr<FdWatcher> m_Watcher;
    std::size_t m_Bytes = 0;
    MonotonicTime m_Until;
  };

  MHD_Daemon *m_Daemon = nullptr;
  LogThrottle m_RefusalLog;
  std::unordered_map<int, Lingering> m_Lingering;
  std::unique_ptr<RepeatingTimer> m_LingerTimer;
  int m_ListenFd = -1;
  bool m_CloseAfterResponses = false;
  std::unique_ptr<FdWatcher> m_Watcher;
  std::optional<TimerId> m_RunTimer;
  std::optional<TimerId> m_TimeoutTimer;
  std::unordered_set<Exchange *> m_Exchanges;

private:
  auto run() -> void;
  auto drop(int Fd) -> void;
  auto endLingering(bool All) -> void;
  static auto onAccess(void *Self, MHD_Connection *Connection, const char *Url,
                       const char *Method, const char *Version,
                       const char *Upload, std::size_t *UploadSize,
                       void **Context) -> MHD_Result;
  static auto onCompleted(void *Self, MHD_Connection *Connection,
                          void **Context, enum MHD_RequestTerminationCode Code)
      -> void;
};

class HttpServer::Impl::Exchange final : public HttpExchange,
                                         public MemoryHolder {
public:
  enum class State : std::uint8_t {
    Receiving,
    Waiting,
    Ready,
    Responding,
    Closed
  };

  Exchange(Impl &Server, MHD_Connection *Connection)
      : m_Server(&Server), m_Connection(Connection),
        m_Memory(Server.m_Options.m_Memory, *this) {}

  [[nodiscard]] auto request() const -> const HttpRequest & override {
    return m_Request;
  }

  auto respond(HttpResponse Response) -> void override {
    assert(!m_Streaming && "the response has been started already");
    if (m_State == State::Closed)
      return;
    m_Status = Response.m_Status;
    m_Headers = std::move(Response.m_Headers);
    m_Buffer = std::move(Response.m_Body);
    accountResponse();
    markReady();
  }

  auto startStream(unsigned Status, HttpHeaders Headers) -> void override {
    if (m_State == State::Closed)
      return;
    m_Streaming = true;
    m_Status = Status;
    m_Headers = std::move(Headers);
    markReady();
  }

  auto write(std::string_view Data) -> void override {
    if (m_State == State::Closed || Data.empty())
      return;
    m_Buffer.append(Data);
    accountResponse();
    resume();
  }

  auto finish() -> void override {
    if (m_State == State::Closed)
      return;
    m_Finished = true;
    resume();
  }

  auto abort() -> void override {
    if (m_State == State::Closed)
      return;
    m_Aborted = true;
    resume();
  }

  [[nodiscard]] auto backlog() const -> std::size_t override {
    return m_Buffer.size() - m_ReadBytes;
  }

  auto onDisconnect(std::function<void()> Callback) -> void override {
    m_OnDisconnect = std::move(Callback);
  }

  /// Checks the head of the request. \returns whether its body is to be read.
  auto begin() -> bool {
    auto Announced = std::size_t{0};
    if (auto Length = findHeader(m_Request.m_Headers, "Content-Length"))
      std::from_chars(Length->data(), Length->data() + Length->size(),
                      Announced);
    if (Announced > m_Server->m_Options.m_MaxBodyBytes)
      return refuseTooLarge();
    // Takes no memory until bytes arrive, and saves copies while it grows.
    m_Body.reserve(Announced);
    return accountRequest();
  }

  /// Reads a part of the body. \returns whether the rest is to be read.
  auto receive(const char *Data, std::size_t Size) -> bool {
    if (m_Refused)
      return false;
    if (m_Body.size() + Size > m_Server->m_Options.m_MaxBodyBytes)
      return refuseTooLarge();
    m_Body.append(Data, Size);
    return accountRequest();
  }

  auto giveUpMemory() -> void override {
    if (m_State == State::Receiving) {
      refuse(m_Server->m_Handler.outOfMemory());
    }
  }

  auto complete(const std::shared_ptr<Exchange> &Self) -> MHD_Result {
    if (m_Refused)
      return MHD_NO;
    m_State = State::Waiting;
    m_Request.m_Body = std::exchange(m_Body, {});
    m_Guard = m_Memory.complete();
    m_Request.m_Body.keep(m_Guard);
    m_Server->m_Handler.handle(Self);
    if (m_State == State::Ready)
      return queueResponse();
    suspend();
    return MHD_YES;
  }

  auto queueResponse() -> MHD_Result {
    m_State = State::Responding;
    auto *Response =
        m_Streaming
            ? MHD_create_response_from_callback(
                  MHD_SIZE_UNKNOWN, StreamBlockBytes, &Exchange::onRead, this,
                  nullptr)
            : MHD_create_response_from_buffer(m_Buffer.size(), m_Buffer.data(),
                                              MHD_RESPMEM_PERSISTENT);
    for (const auto &Header : m_Headers)
      MHD_add_response_header(Response, Header.m_Name.c_str(),
                              Header.m_Value.c_str());
    m_AnnouncesClose = m_Server->m_CloseAfterResponses;
    if (m_AnnouncesClose)
      MHD_add_response_header(Response, "Connection", "close");
    auto Result = MHD_queue_response(m_Connection, m_Status, Response);
    MHD_destroy_response(Response);
    return Result;
  }

  /// Aborts the response and resumes the connection, which the daemon requires
  /// before it stops.
  auto resumeForShutdown() -> void {
    m_Aborted = true;
    resume();
  }

  [[nodiscard]] auto disconnected() const -> bool { return m_Disconnected; }

  /// Returns whether the caller was told that the connection ends with the
  /// response.
  [[nodiscard]] auto announcesClose() const -> bool { return m_AnnouncesClose; }

  auto close(bool Completed) -> void {
    m_Watcher.reset();
    m_State = State::Closed;
    m_Memory.releaseRequest();
    m_Memory.setResponse(0);
    m_Connection = nullptr;
    auto Callback = std::exchange(m_OnDisconnect, nullptr);
    if (!Completed && Callback)
      Callback();
  }

  State m_State = State::Receiving;
  HttpRequest m_Request;

private:
  [[nodiscard]] auto fd() const -> int {
    return MHD_get_connection_info(m_Connection,
                                   MHD_CONNECTION_INFO_CONNECTION_FD)
        ->connect_fd;
  }

  auto accountRequest() -> bool {
    if (m_Memory.setRequest(m_Body.capacity(), m_Server->m_Loop.now()))
      return true;
    const auto &Memory = *m_Server->m_Options.m_Memory;
    if (auto Suppressed = m_Server->m_RefusalLog.admit(m_Server->m_Loop.now()))
      logWarning("memory.refused", {{"bytes", m_Body.capacity()},
                                    {"in_use", Memory.usedBytes()},
                                    {"budget", Memory.limitBytes()},
                                    {"not_logged", *Suppressed}});
    refuse(m_Server->m_Handler.outOfMemory());
    return false;
  }

  auto accountResponse() -> void { m_Memory.setResponse(backlog()); }

  auto refuseTooLarge() -> bool {
    refuse(
        m_Server->m_Handler.bodyTooLarge(m_Server->m_Options.m_MaxBodyBytes));
    return false;
  }

  /// Responds to a request that is not read further. libmicrohttpd cannot
  /// respond in the middle of a body, and closes its socket with the rest
  /// unread, which would reset the connection before the caller has read the
  /// response. So the response goes to the socket directly, and a second
  /// descriptor lingers on it.
  auto refuse(const HttpResponse &Response) -> void {
    if (std::exchange(m_Refused, true))
      return;
    // An assignment would keep the memory.
    std::string().swap(m_Body);
    m_Memory.releaseRequest();
    auto Text = fmt::format(
        "HTTP/1.1 {} {}\r\n", Response.m_Status,
        http_status_str(static_cast<http_status>(Response.m_Status)));
    for (const auto &Header : Response.m_Headers)
      Text += fmt::format("{}: {}\r\n", Header.m_Name, Header.m_Value);
    Text += fmt::format("Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                        Response.m_Body.size(), Response.m_Body);
    if (::send(fd(), Text.data(), Text.size(), MSG_NOSIGNAL | MSG_DONTWAIT) !=
        static_cast<ssize_t>(Text.size()))
      return;
    ::shutdown(fd(), SHUT_WR);
    m_Server->linger(::fcntl(fd(), F_DUPFD_CLOEXEC, 0));
  }

  auto markReady() -> void {
    assert((m_State == State::Waiting) && "a request has exactly one response");
    m_State = State::Ready;
    resume();
  }

  auto suspend() -> void {
    MHD_suspend_connection(m_Connection);
    m_Suspended = true;
    if (m_Watcher || m_Pipelined)
      return;
    // libmicrohttpd does not watch a suspended connection, so a disconnect of
    // the caller is detected here.
    auto Fd =
        MHD_get_connection_info(m_Connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    m_Watcher = std::make_unique<FdWatcher>(
        m_Server->m_Loop, Fd, EV_READ,
        [this, Fd](int) { checkForDisconnect(Fd); });
  }

  auto checkForDisconnect(int Fd) -> void {
    auto Byte = char{0};
    auto Count = ::recv(Fd, &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (Count < 0 && (errno == EAGAIN || errno == EINTR))
      return;
    m_Watcher->enable(false);
    // Data that arrives before the response ends is the start of the next
    // request.
    m_Pipelined = Count > 0;
    if (m_Pipelined)
      return;
    m_Disconnected = true;
    m_Aborted = true;
    auto Callback = std::exchange(m_OnDisconnect, nullptr);
    m_State = State::Closed;
    resume();
    if (Callback)
      Callback();
  }

  auto resume() -> void {
    if (!m_Suspended)
      return;
    m_Suspended = false;
    MHD_resume_connection(m_Connection);
    m_Server->scheduleRun();
  }

  static auto onRead(void *Self, std::uint64_t /*Position*/, char *Target,
                     std::size_t Capacity) -> ssize_t {
    return static_cast<Exchange *>(Self)->read(Target, Capacity);
  }

  auto read(char *Target, std::size_t Capacity) -> ssize_t {
    auto Available = m_Buffer.size() - m_ReadBytes;
    if (Available > 0) {
      auto Size = std::min(Capacity, Available);
      std::memcpy(Target, m_Buffer.data() + m_ReadBytes, Size);
      m_ReadBytes += Size;
      if (m_ReadBytes == m_Buffer.size()) {
        m_Buffer.clear();
        m_ReadBytes = 0;
      }
      accountResponse();
      return static_cast<ssize_t>(Size);
    }
    if (m_Aborted)
      return MHD_CONTENT_READER_END_WITH_ERROR;
    if (m_Finished)
      return MHD_CONTENT_READER_END_OF_STREAM;
    suspend();
    return 0;
  }

  Impl *m_Server;
  MHD_Connection *m_Connection;
  std::string m_Body; ///< Of the request, as far as it has been received.
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Buffer;
  std::size_t m_ReadBytes = 0;
  bool m_Streaming = false;
  bool m_Finished = false;
  bool m_Aborted = false;
  bool m_Suspended = false;
  bool m_Refused = false;
  bool m_Pipelined = false;
  bool m_Disconnected = false;
  bool m_AnnouncesClose = false;
  std::unique_ptr<FdWatcher> m_Watcher;
  std::function<void()> m_OnDisconnect;
  MemoryHolding m_Memory;
  std::shared_ptr<void> m_Guard; ///< Counts the bytes of the request.
};

HttpServer::Impl::Impl(EventLoop &Loop, HttpHandler &Handler,
                       const HttpServerOptions &Options)
    : m_Loop(Loop), m_Handler(Handler), m_Options(Options) {
  auto Address = Options.m_Address.raw();
  m_Daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TCP_FASTOPEN, 0,
      nullptr, nullptr, &Impl::onAccess, this, MHD_OPTION_SOCK_ADDR,
      reinterpret_cast<sockaddr *>(&Address), MHD_OPTION_CONNECTION_LIMIT,
      Options.m_MaxConnections, MHD_OPTION_CONNECTION_TIMEOUT,
      Options.m_IdleTimeoutSeconds, MHD_OPTION_NOTIFY_COMPLETED,
      &Impl::onCompleted, this, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
      MHD_OPTION_END);
  if (m_Daemon == nullptr)
    throw IoError(401,
                  fmt::format("cannot listen on {}: {}",
                              Options.m_Address.text(), std::strerror(errno)));
  auto EpollFd =
      MHD_get_daemon_info(m_Daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  m_Watcher = std::make_unique<FdWatcher>(Loop, EpollFd, EV_READ,
                                          [this](int) { run(); });
  m_LingerTimer = std::make_unique<RepeatingTimer>(
      Loop, LingerSweepInterval, [this] { endLingering(false); });
  run();
}

HttpServer::Impl::~Impl() {
  m_LingerTimer.reset();
  if (m_RunTimer)
    m_Loop.cancel(*m_RunTimer);
  if (m_TimeoutTimer)
    m_Loop.cancel(*m_TimeoutTimer);
  m_Watcher.reset();
  // libmicrohttpd refuses to stop while connections are suspended.
  for (auto *Current : m_Exchanges)
    Current->resumeForShutdown();
  if (m_RunTimer)
    m_Loop.cancel(*m_RunTimer);
  MHD_run(m_Daemon);
  MHD_stop_daemon(m_Daemon);
  endLingering(true);
  if (m_ListenFd >= 0)
    ::close(m_ListenFd);
}

auto HttpServer::Impl::linger(int Fd) -> void {
  if (Fd < 0)
    return;
  if (m_Lingering.size() >= MaxLingering) {
    ::close(Fd);
    return;
  }
  m_Lingering.emplace(
      Fd, Lingering{.m_Watcher = std::make_unique<FdWatcher>(
                        m_Loop, Fd, EV_READ, [this, Fd](int) { drop(Fd); }),
                    .m_Until = m_Loop.now() + LingerTimeout});
}

auto HttpServer::Impl::drop(int Fd) -> void {
  auto Buffer = std::array<char, StreamBlockBytes>();
  auto Count = ::recv(Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  auto &Current = m_Lingering.at(Fd);
  Current.m_Bytes += static_cast<std::size_t>(std::max<ssize_t>(Count, 0));
  if (Count > 0 && Current.m_Bytes < MaxLingerBytes)
    return;
  // Closed by the next sweep, outside of the watcher's own call.
  Current.m_Watcher->enable(false);
  Current.m_Until = MonotonicTime();
}

auto HttpServer::Impl::endLingering(bool All) -> void {
  auto Now = m_Loop.now();
  for (auto Current = m_Lingering.begin(); Current != m_Lingering.end();) {
    if (!All && Current->second.m_Until > Now) {
      ++Current;
      continue;
    }
    auto Fd = Current->first;
    Current = m_Lingering.erase(Current);
    ::close(Fd);
  }
}

auto HttpServer::Impl::scheduleRun() -> void {
  if (m_RunTimer)
    return;
  m_RunTimer = m_Loop.schedule(Duration::zero(), [this] {
    m_RunTimer.reset();
    run();
  });
}

auto HttpServer::Impl::run() -> void {
  MHD_run(m_Daemon);
  if (m_TimeoutTimer)
    m_Loop.cancel(*m_TimeoutTimer);
  m_TimeoutTimer.reset();
  MHD_UNSIGNED_LONG_LONG Timeout = 0;
  if (MHD_get_timeout(m_Daemon, &Timeout) != MHD_YES)
    return;
  m_TimeoutTimer = m_Loop.schedule(Milliseconds(Timeout), [this] {
    m_TimeoutTimer.reset();
    run();
  });
}

auto HttpServer::Impl::onAccess(void *Self, MHD_Connection *Connection,
                                const char *Url, const char *Method,
                                const char * /*Version*/, const char *Upload,
                                std::size_t *UploadSize, void **Context)
    -> MHD_Result {
  auto &Server = *static_cast<Impl *>(Self);
  if (*Context == nullptr) {
    auto Created = std::make_shared<Exchange>(Server, Connection);
    Created->m_Request.m_Method = Method;
    Created->m_Request.m_Path = Url;
    MHD_get_connection_values(Connection, MHD_HEADER_KIND, &appendHeader,
                              &Created->m_Request.m_Headers);
    MHD_get_connection_values(Connection, MHD_GET_ARGUMENT_KIND, &appendHeader,
                              &Created->m_Request.m_Query);
    Server.m_Exchanges.insert(Created.get());
    auto Begun = Created->begin();
    *Context = new std::shared_ptr<Exchange>(std::move(Created));
    return Begun ? MHD_YES : MHD_NO;
  }
  auto Current = *static_cast<std::shared_ptr<Exchange> *>(*Context);
  if (*UploadSize > 0) {
    auto Goes = Current->receive(Upload, *UploadSize);
    *UploadSize = 0;
    return Goes ? MHD_YES : MHD_NO;
  }
  if (Current->disconnected())
    return MHD_NO;
  if (Current->m_State == Exchange::State::Receiving)
    return Current->complete(Current);
  if (Current->m_State == Exchange::State::Ready)
    return Current->queueResponse();
  return MHD_YES;
}

auto HttpServer::Impl::onCompleted(void *Self, MHD_Connection *Connection,
                                   void **Context,
                                   enum MHD_RequestTerminationCode Code)
    -> void {
  auto *Owned = static_cast<std::shared_ptr<Exchange> *>(*Context);
  if (Owned == nullptr)
    return;
  auto &Server = *static_cast<Impl *>(Self);
  Server.m_Exchanges.erase(Owned->get());
  auto Completed = Code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
  // libmicrohttpd cannot close a connection after a response whose head was
  // sent without "Connection: close". Without a read side it closes it, after
  // the requests that have arrived.
  if (Completed && Server.m_CloseAfterResponses && !(*Owned)->announcesClose())
    ::shutdown(
        MHD_get_connection_info(Connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd,
        SHUT_RD);
  (*Owned)->close(Completed);
  delete Owned;
  *Context = nullptr;
}

HttpServer::HttpServer(EventLoop &Loop, HttpHandler &Handler,
                       const HttpServerOptions &Options)
    : m_Impl(std::make_unique<Impl>(Loop, Handler, Options)) {
  auto Port =
      MHD_get_daemon_info(m_Impl->m_Daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
  m_Bound = Options.m_Address.withPort(Port);
}

HttpServer::~HttpServer() = default;

auto HttpServer::closeAfterResponses() -> void {
  m_Impl->m_CloseAfterResponses = true;
}

auto HttpServer::stopListening() -> void {
  if (m_Impl->m_ListenFd < 0)
    m_Impl->m_ListenFd = MHD_quiesce_daemon(m_Impl->m_Daemon);
  if (m_Impl->m_ListenFd >= 0)
    ::close(m_Impl->m_ListenFd);
  m_Impl->m_ListenFd = -1;
}

} // namespace dotterel
