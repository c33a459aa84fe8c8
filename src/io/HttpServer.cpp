#include "dotterel/io/HttpServer.h"

#include "dotterel/base/Errors.h"

#include <algorithm>
#include <cassert>
#include <cstring>
#include <fmt/format.h>
#include <microhttpd.h>
#include <optional>
#include <sys/socket.h>
#include <unistd.h>
#include <unordered_set>
#include <utility>

namespace dotterel {

namespace {

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
  MHD_Daemon *m_Daemon = nullptr;
  int m_ListenFd = -1;
  bool m_CloseAfterResponses = false;
  std::unique_ptr<FdWatcher> m_Watcher;
  std::optional<TimerId> m_RunTimer;
  std::optional<TimerId> m_TimeoutTimer;
  std::unordered_set<Exchange *> m_Exchanges;

private:
  auto run() -> void;
  static auto onAccess(void *Self, MHD_Connection *Connection, const char *Url,
                       const char *Method, const char *Version,
                       const char *Upload, std::size_t *UploadSize,
                       void **Context) -> MHD_Result;
  static auto onCompleted(void *Self, MHD_Connection *Connection,
                          void **Context, enum MHD_RequestTerminationCode Code)
      -> void;
};

class HttpServer::Impl::Exchange final : public HttpExchange {
public:
  enum class State : std::uint8_t {
    Receiving,
    Waiting,
    Ready,
    Responding,
    Closed
  };

  Exchange(Impl &Server, MHD_Connection *Connection)
      : m_Server(&Server), m_Connection(Connection) {}

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

  auto receive(const char *Data, std::size_t Size) -> void {
    if (m_Request.m_Body.size() + Size > m_Server->m_Options.m_MaxBodyBytes)
      m_BodyTooLarge = true;
    if (!m_BodyTooLarge)
      m_Request.m_Body.append(Data, Size);
  }

  auto complete(const std::shared_ptr<Exchange> &Self) -> MHD_Result {
    if (m_BodyTooLarge) {
      auto Limit = m_Server->m_Options.m_MaxBodyBytes;
      m_State = State::Waiting;
      respond(m_Server->m_Handler.bodyTooLarge(Limit));
      return queueResponse();
    }
    m_State = State::Waiting;
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
                                              MHD_RESPMEM_MUST_COPY);
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
    auto Callback = std::exchange(m_OnDisconnect, nullptr);
    if (!Completed && Callback)
      Callback();
  }

  State m_State = State::Receiving;
  HttpRequest m_Request;

private:
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
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Buffer;
  std::size_t m_ReadBytes = 0;
  bool m_Streaming = false;
  bool m_Finished = false;
  bool m_Aborted = false;
  bool m_Suspended = false;
  bool m_BodyTooLarge = false;
  bool m_Pipelined = false;
  bool m_Disconnected = false;
  bool m_AnnouncesClose = false;
  std::unique_ptr<FdWatcher> m_Watcher;
  std::function<void()> m_OnDisconnect;
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
  run();
}

HttpServer::Impl::~Impl() {
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
  if (m_ListenFd >= 0)
    ::close(m_ListenFd);
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
    *Context = new std::shared_ptr<Exchange>(std::move(Created));
    return MHD_YES;
  }
  auto Current = *static_cast<std::shared_ptr<Exchange> *>(*Context);
  if (*UploadSize > 0) {
    Current->receive(Upload, *UploadSize);
    *UploadSize = 0;
    return MHD_YES;
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
