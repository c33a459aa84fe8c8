#include "dotterel/io/PooledHttpClient.h"

#include "dotterel/base/Errors.h"
#include "dotterel/io/Socket.h"
#include "dotterel/io/detail/BrokenResponseLog.h"
#include "dotterel/io/detail/CarriedCalls.h"
#include "dotterel/io/detail/ResponseReader.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterel {

namespace {

constexpr auto ReadBlockBytes = std::size_t{32} << 10U;
/// Fraction of the peer's stated idle timeout for which a connection is reused,
/// so that the peer does not close it while a call is on its way.
constexpr auto IdleTimeoutFraction = 0.6;
constexpr auto SweepInterval = Milliseconds(250);
/// Size of a body from which its receiver may be slower than the network. A
/// smaller one fits into the receiver's buffer.
constexpr auto LargeBodyBytes = std::size_t{4} << 10U;

/// Address and target of a URL `http://IP:PORT/target`.
struct CallTarget {
  std::string m_Address;
  std::string m_Target;
};

auto splitUrl(const std::string &Url) -> CallTarget {
  constexpr auto Scheme = std::string_view("http://");
  auto HostBegin = Url.starts_with(Scheme) ? Scheme.size() : 0;
  auto Slash = std::min(Url.find('/', HostBegin), Url.size());
  auto Target = Url.substr(Slash);
  return {.m_Address = Url.substr(HostBegin, Slash - HostBegin),
          .m_Target = Target.empty() ? "/" : Target};
}

/// Returns the head of the request that a call sends.
auto encodeHead(const HttpCall &Call, const CallTarget &Target) -> std::string {
  auto Text = std::string();
  Text += fmt::format("{} {} HTTP/1.1\r\n", Call.m_Method, Target.m_Target);
  if (!findHeader(Call.m_Headers, "Host"))
    Text += fmt::format("Host: {}\r\n", Target.m_Address);
  for (const auto &Header : Call.m_Headers)
    Text += fmt::format("{}: {}\r\n", Header.m_Name, Header.m_Value);
  if (!Call.m_Body.empty() || Call.m_Method == "POST" || Call.m_Method == "PUT")
    Text += fmt::format("Content-Length: {}\r\n", Call.m_Body.size());
  Text += "\r\n";
  return Text;
}

class PooledClient;

/// A connection that carries at most one call at a time.
class PooledConnection {
public:
  PooledConnection(PooledClient &Client, std::string Address, Socket Peer);
  PooledConnection(const PooledConnection &) = delete;
  auto operator=(const PooledConnection &) -> PooledConnection & = delete;
  ~PooledConnection() = default;

  auto begin(HttpCallId Id, HttpCall Call, std::string Head) -> void;

  /// Closes the connection without calling the call's callbacks.
  auto close() -> void;

  /// Ends the call because all calls together buffer too much.
  auto onBufferLimit() -> void {
    finish(HttpOutcome::Broken, "the answers are over the client's limit");
  }

  /// Ends the call because its timeout has expired.
  auto onTimeout() -> void;

  /// Ends the call if its large body is sent to a peer that has vanished.
  auto endIfUnresponsive() -> void {
    if (m_SendsLargeBody && !m_Closed && m_Socket.hasUnacknowledged() &&
        m_Socket.peerUnresponsive())
      finish(HttpOutcome::Broken, "the peer does not respond");
  }

  [[nodiscard]] auto address() const -> const std::string & {
    return m_Address;
  }
  [[nodiscard]] auto idleUntil() const -> MonotonicTime { return m_IdleUntil; }
  [[nodiscard]] auto bufferedBytes() const -> std::size_t {
    return m_BufferedBytes;
  }
  [[nodiscard]] auto closed() const -> bool { return m_Closed; }
  [[nodiscard]] auto carriedCalls() const -> const detail::CarriedCalls & {
    return m_CarriedCalls;
  }

private:
  /// Reads once. \returns whether bytes were read.
  auto readable() -> bool;
  /// Reads all that has arrived. \returns whether the call goes on.
  auto readAvailable() -> bool;
  auto writable() -> void;
  /// Sends as much of the call as the socket takes, like send().
  auto sendRest() -> ssize_t;
  auto handleReaderState(detail::ResponseReader::State State) -> void;
  auto finish(HttpOutcome Outcome, const char *Detail) -> void;
  auto armTimeout(Duration Delay) -> void;
  auto onHeaders(unsigned Status, const HttpHeaders &Headers) -> void;
  auto onData(std::string_view Data) -> void;
  [[nodiscard]] auto maxBodyBytes() const -> std::size_t;
  /// Stops counting the body as buffered by a call in progress.
  auto releaseBuffer() -> void;

  PooledClient &m_Client;
  std::string m_Address;
  Socket m_Socket;
  bool m_Connected = false;
  bool m_CarriedCall = false;
  bool m_SendsLargeBody = false;
  detail::CarriedCalls m_CarriedCalls;
  bool m_Closed = false;
  HttpCallId m_Id;
  std::optional<HttpCall> m_Call;
  HttpCallResult m_Result;
  /// What is still to be sent of the call: its head, then its body.
  std::string m_Head;
  SharedBytes m_Body;
  std::size_t m_SentBytes = 0; ///< Of head and body.
  std::size_t m_RequestBytes = 0;
  bool m_WriteFailed = false;
  std::size_t m_BufferedBytes = 0; ///< Of m_Result's body.
  MonotonicTime m_Deadline;
  MonotonicTime m_IdleUntil;
  std::optional<TimerId> m_Timer;
  std::unique_ptr<detail::ResponseReader> m_Reader;
  FdWatcher m_ReadWatcher;
  FdWatcher m_WriteWatcher;
};

class PooledClient final : public HttpClient {
public:
  PooledClient(EventLoop &Loop, const PooledHttpClientOptions &Options)
      : m_Loop(Loop), m_Options(Options),
        m_SweepTimer(Loop, SweepInterval, [this] { sweep(); }) {}
  PooledClient(const PooledClient &) = delete;
  auto operator=(const PooledClient &) -> PooledClient & = delete;
  ~PooledClient() override = default;

  auto start(HttpCall Call) -> HttpCallId override;
  auto cancel(HttpCallId Call) -> void override;

  auto returnToPool(PooledConnection &Target, Duration Idle) -> void;
  auto retire(PooledConnection &Target) -> void;
  auto removeActive(HttpCallId Call) -> void { m_Active.erase(Call.number()); }
  /// Counts bytes that a call buffers. Ends the call that buffers most if the
  /// limit is exceeded.
  auto addBuffered(std::size_t Bytes) -> void;
  auto removeBuffered(std::size_t Bytes) -> void { m_BufferedBytes -= Bytes; }

  [[nodiscard]] auto brokenResponses() const -> std::uint64_t override {
    return m_BrokenResponses.count();
  }
  auto recordBroken(const HttpCall &Call, const std::string &Address,
                    const HttpCallResult &Result) -> void {
    m_BrokenResponses.record(detail::requestIdOf(Call), Address, Result,
                             m_Loop.now());
  }

  [[nodiscard]] auto loop() -> EventLoop & { return m_Loop; }
  [[nodiscard]] auto options() const -> const PooledHttpClientOptions & {
    return m_Options;
  }

private:
  /// Returns the most recently used idle connection on which the response to
  /// \p Call can be told from those to earlier calls, or null.
  auto acquireIdle(const std::string &Address, const HttpCall &Call)
      -> PooledConnection *;
  auto sweep() -> void;

  EventLoop &m_Loop;
  PooledHttpClientOptions m_Options;
  std::unordered_map<PooledConnection *, std::unique_ptr<PooledConnection>>
      m_Connections;
  std::map<std::string, std::deque<PooledConnection *>>
      m_Idle; ///< Most recently used last.
  std::unordered_map<std::uint64_t, PooledConnection *> m_Active;
  std::vector<std::unique_ptr<PooledConnection>> m_Retired;
  /// Calls that could not be started. Their onDone runs in the next iteration
  /// of the event loop.
  std::unordered_map<std::uint64_t, TimerId> m_FailedStarts;
  std::uint64_t m_LastId = 0;
  std::size_t m_BufferedBytes = 0; ///< Of all calls in progress.
  detail::BrokenResponseLog m_BrokenResponses;
  RepeatingTimer m_SweepTimer;
};

PooledConnection::PooledConnection(PooledClient &Client, std::string Address,
                                   Socket Peer)
    : m_Client(Client), m_Address(std::move(Address)),
      m_Socket(std::move(Peer)),
      m_ReadWatcher(Client.loop(), m_Socket.fd(), EV_READ,
                    [this](int) { readable(); }),
      m_WriteWatcher(Client.loop(), m_Socket.fd(), EV_WRITE,
                     [this](int) { writable(); }) {
  m_ReadWatcher.enable(false);
}

auto PooledConnection::begin(HttpCallId Id, HttpCall Call, std::string Head)
    -> void {
  m_Id = Id;
  m_Call = std::move(Call);
  m_Result = HttpCallResult();
  m_Result.m_Reused = m_CarriedCall;
  m_CarriedCalls.add(m_Call->m_EchoedHeader);
  m_Head = std::move(Head);
  m_Body = std::exchange(m_Call->m_Body, {});
  m_RequestBytes = m_Head.size() + m_Body.size();
  // The system's timeout would also end the call to a peer that reads slowly.
  m_SendsLargeBody = m_Body.size() >= LargeBodyBytes;
  if (m_SendsLargeBody)
    m_Socket.setUserTimeout(Duration::zero());
  m_SentBytes = 0;
  m_WriteFailed = false;
  m_Reader = std::make_unique<detail::ResponseReader>(
      detail::ResponseReaderOptions{.m_HeadMethod = m_Call->m_Method == "HEAD",
                                    .m_EchoedHeader = m_Call->m_EchoedHeader,
                                    .m_RequireEcho = m_CarriedCall,
                                    .m_MaxBodyBytes = maxBodyBytes()},
      detail::ResponseReader::Callbacks{
          .m_OnHeaders =
              [this](unsigned Status, const HttpHeaders &Headers) {
                onHeaders(Status, Headers);
              },
          .m_OnData = [this](std::string_view Data) { onData(Data); }});
  m_Deadline = m_Client.loop().now() + m_Call->m_Timeout;
  armTimeout(m_Connected
                 ? m_Call->m_Timeout
                 : std::min(m_Call->m_Timeout, m_Call->m_ConnectTimeout));
  // The first write happens in the event loop, so that no callback runs inside
  // start().
  m_WriteWatcher.enable(true);
}

auto PooledConnection::armTimeout(Duration Delay) -> void {
  if (m_Timer)
    m_Client.loop().cancel(*m_Timer);
  m_Timer = m_Client.loop().schedule(Delay, [this] {
    m_Timer.reset();
    onTimeout();
  });
}

auto PooledConnection::onTimeout() -> void {
  // The response may have arrived since the socket was last read.
  if (m_Connected && !readAvailable())
    return;
  finish(m_SentBytes > 0 ? HttpOutcome::TimedOut : HttpOutcome::NotSent,
         m_Connected ? "no answer in time" : "no connection in time");
}

auto PooledConnection::writable() -> void {
  if (!m_Connected) {
    auto Failure = 0;
    auto Size = socklen_t{sizeof(Failure)};
    ::getsockopt(m_Socket.fd(), SOL_SOCKET, SO_ERROR, &Failure, &Size);
    if (Failure != 0) {
      finish(HttpOutcome::NotSent, "connection refused or unreachable");
      return;
    }
    m_Connected = true;
    m_ReadWatcher.enable(true);
    armTimeout(m_Deadline - m_Client.loop().now());
  }
  while (m_SentBytes < m_RequestBytes) {
    // A write to a connection that was reset takes the error that tells its end
    // from an orderly one.
    if (m_SentBytes > 0 && !readAvailable())
      return;
    auto Count = sendRest();
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN)
      return;
    if (Count < 0) {
      // A response that arrived before the failure is still read.
      if (m_SentBytes > 0) {
        m_WriteFailed = true;
        m_WriteWatcher.enable(false);
        return;
      }
      finish(HttpOutcome::NotSent, "the connection had ended");
      return;
    }
    m_SentBytes += static_cast<std::size_t>(Count);
  }
  m_WriteWatcher.enable(false);
  // The bytes may be large, and a server may work for long.
  m_Head.clear();
  m_Body = {};
}

auto PooledConnection::sendRest() -> ssize_t {
  auto HeadLeft =
      std::string_view(m_Head).substr(std::min(m_SentBytes, m_Head.size()));
  auto BodySent = m_SentBytes - (m_Head.size() - HeadLeft.size());
  auto BodyLeft = std::string_view(m_Body.text()).substr(BodySent);
  auto Parts = std::array{iovec{.iov_base = const_cast<char *>(HeadLeft.data()),
                                .iov_len = HeadLeft.size()},
                          iovec{.iov_base = const_cast<char *>(BodyLeft.data()),
                                .iov_len = BodyLeft.size()}};
  auto Message = msghdr{};
  Message.msg_iov = Parts.data();
  Message.msg_iovlen = Parts.size();
  return ::sendmsg(m_Socket.fd(), &Message, MSG_NOSIGNAL);
}

auto PooledConnection::readAvailable() -> bool {
  auto Id = m_Id;
  while (readable() && !m_Closed && m_Call && m_Id == Id) {
  }
  return !m_Closed && m_Call && m_Id == Id;
}

auto PooledConnection::readable() -> bool {
  auto Buffer = std::array<char, ReadBlockBytes>();
  auto Count = ::recv(m_Socket.fd(), Buffer.data(), Buffer.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  if (!m_Call) {
    // The peer closed the connection or sent bytes that belong to no call.
    close();
    return false;
  }
  if (Count <= 0) {
    auto State = m_Reader->end(Count == 0 && !m_WriteFailed);
    if (State != detail::ResponseReader::State::Complete) {
      finish(m_SentBytes > 0 ? HttpOutcome::Broken : HttpOutcome::NotSent,
             "the connection ended before the answer did");
      return false;
    }
    m_Result.m_EndedByClose = true;
    handleReaderState(State);
    return false;
  }
  handleReaderState(m_Reader->feed(
      std::string_view(Buffer.data(), static_cast<std::size_t>(Count))));
  return true;
}

auto PooledConnection::onHeaders(unsigned Status, const HttpHeaders &Headers)
    -> void {
  m_Result.m_Status = Status;
  m_Result.m_Headers = Headers;
  if (!m_Closed && m_Call->m_OnHeaders)
    m_Call->m_OnHeaders(Status, Headers);
}

auto PooledConnection::onData(std::string_view Data) -> void {
  // The callback of an earlier piece may have cancelled the call, or the call
  // may have ended because all calls together buffer too much.
  if (m_Closed)
    return;
  if (m_Call->m_OnData) {
    m_Call->m_OnData(Data);
    return;
  }
  m_Result.m_Body.append(Data);
  m_BufferedBytes += Data.size();
  m_Client.addBuffered(Data.size());
}

auto PooledConnection::maxBodyBytes() const -> std::size_t {
  if (m_Call->m_OnData)
    return m_Call->m_MaxResponseBytes;
  return std::min(m_Call->m_MaxResponseBytes,
                  m_Client.options().m_MaxResponseBytes);
}

auto PooledConnection::releaseBuffer() -> void {
  m_Client.removeBuffered(std::exchange(m_BufferedBytes, 0));
}

auto PooledConnection::handleReaderState(detail::ResponseReader::State State)
    -> void {
  if (m_Closed || !m_Call)
    return;
  if (State == detail::ResponseReader::State::Broken)
    finish(HttpOutcome::Broken, m_Reader->brokenReason());
  else if (State == detail::ResponseReader::State::Complete)
    finish(HttpOutcome::Complete, "");
}

auto PooledConnection::finish(HttpOutcome Outcome, const char *Detail) -> void {
  if (m_Timer)
    m_Client.loop().cancel(*m_Timer);
  m_Timer.reset();
  auto Call = std::move(*m_Call);
  m_Call.reset();
  m_Client.removeActive(m_Id);
  releaseBuffer();
  m_Result.m_Outcome = Outcome;
  m_Result.m_Detail = Detail;
  m_Result.m_NamesCall = m_Reader->namesCall();
  m_Result.m_SkippedResponses = m_Reader->skippedResponses();
  if (Outcome == HttpOutcome::Broken && m_Reader->begun())
    m_Client.recordBroken(Call, m_Address, m_Result);
  auto Result = std::move(m_Result);
  auto Keep = Outcome == HttpOutcome::Complete && m_Reader->reusable() &&
              m_SentBytes == m_RequestBytes && !Call.m_DedicatedConnection;
  if (Keep) {
    m_CarriedCall = true;
    if (std::exchange(m_SendsLargeBody, false))
      m_Socket.setUserTimeout(DeadPeerTime);
    auto Idle = m_Client.options().m_IdleTimeout;
    if (auto PeerTimeout = m_Reader->keepAliveTimeout())
      Idle = std::min(Idle, std::chrono::duration_cast<Duration>(
                                *PeerTimeout * IdleTimeoutFraction));
    m_IdleUntil = m_Client.loop().now() + Idle;
    m_Client.returnToPool(*this, Idle);
  } else {
    if (Outcome != HttpOutcome::Complete)
      m_Socket.resetOnClose();
    close();
  }
  if (Call.m_OnDone)
    Call.m_OnDone(std::move(Result));
}

auto PooledConnection::close() -> void {
  if (m_Closed)
    return;
  m_Closed = true;
  releaseBuffer();
  m_ReadWatcher.enable(false);
  m_WriteWatcher.enable(false);
  if (m_Timer)
    m_Client.loop().cancel(*m_Timer);
  m_Timer.reset();
  // The call is kept until the connection object is destroyed, because one of
  // its callbacks may be running. The socket is closed at once, so that the
  // peer sees the cancellation, and without sending the rest of the request.
  if (m_Call)
    m_Socket.resetOnClose();
  m_Socket = Socket();
  m_Client.retire(*this);
}

auto PooledClient::acquireIdle(const std::string &Address, const HttpCall &Call)
    -> PooledConnection * {
  auto Found = m_Idle.find(Address);
  if (Found == m_Idle.end())
    return nullptr;
  auto Now = m_Loop.now();
  auto Expired = std::vector<PooledConnection *>();
  PooledConnection *Chosen = nullptr;
  for (auto *Current : Found->second)
    if (Current->idleUntil() <= Now)
      Expired.push_back(Current);
    else if (Current->carriedCalls().distinguishes(Call.m_EchoedHeader))
      Chosen = Current;
  std::erase(Found->second, Chosen);
  // Closing a connection may remove the address's entry.
  for (auto *Current : Expired)
    Current->close();
  return Chosen;
}

auto PooledClient::start(HttpCall Call) -> HttpCallId {
  auto Id = HttpCallId{++m_LastId};
  auto Target = splitUrl(Call.m_Url);
  auto *Connection = Call.m_DedicatedConnection
                         ? nullptr
                         : acquireIdle(Target.m_Address, Call);
  if (Connection == nullptr) {
    try {
      auto Created = std::make_unique<PooledConnection>(
          *this, Target.m_Address,
          beginConnect(SocketAddress::parse(Target.m_Address)));
      Connection = Created.get();
      m_Connections.emplace(Connection, std::move(Created));
    } catch (const Error &Failure) {
      auto Timer = m_Loop.schedule(
          Duration::zero(), [this, Id, Done = std::move(Call.m_OnDone),
                             Text = std::string(Failure.what())] {
            m_FailedStarts.erase(Id.number());
            if (Done)
              Done({.m_Outcome = HttpOutcome::NotSent, .m_Detail = Text});
          });
      m_FailedStarts.emplace(Id.number(), Timer);
      return Id;
    }
  }
  auto Head = encodeHead(Call, Target);
  m_Active.emplace(Id.number(), Connection);
  Connection->begin(Id, std::move(Call), std::move(Head));
  return Id;
}

auto PooledClient::cancel(HttpCallId Call) -> void {
  if (auto Failing = m_FailedStarts.find(Call.number());
      Failing != m_FailedStarts.end()) {
    m_Loop.cancel(Failing->second);
    m_FailedStarts.erase(Failing);
    return;
  }
  auto Found = m_Active.find(Call.number());
  if (Found == m_Active.end())
    return;
  auto *Target = Found->second;
  m_Active.erase(Found);
  Target->close();
}

auto PooledClient::addBuffered(std::size_t Bytes) -> void {
  m_BufferedBytes += Bytes;
  if (m_BufferedBytes <= m_Options.m_MaxBufferedBytes)
    return;
  auto Largest = std::max_element(m_Active.begin(), m_Active.end(),
                                  [](const auto &Left, const auto &Right) {
                                    return Left.second->bufferedBytes() <
                                           Right.second->bufferedBytes();
                                  });
  Largest->second->onBufferLimit();
}

auto PooledClient::returnToPool(PooledConnection &Target, Duration Idle)
    -> void {
  auto &Connections = m_Idle[Target.address()];
  if (Idle <= Duration::zero() ||
      Connections.size() >= m_Options.m_MaxIdlePerAddress ||
      Target.carriedCalls().size() >= m_Options.m_MaxCallsPerConnection) {
    Target.close();
    return;
  }
  Connections.push_back(&Target);
}

auto PooledClient::retire(PooledConnection &Target) -> void {
  if (auto Idle = m_Idle.find(Target.address()); Idle != m_Idle.end()) {
    std::erase(Idle->second, &Target);
    if (Idle->second.empty())
      m_Idle.erase(Idle);
  }
  auto Found = m_Connections.find(&Target);
  if (Found == m_Connections.end())
    return;
  if (m_Retired.empty())
    m_Loop.schedule(Duration::zero(), [this] { m_Retired.clear(); });
  m_Retired.push_back(std::move(Found->second));
  m_Connections.erase(Found);
}

auto PooledClient::sweep() -> void {
  auto Now = m_Loop.now();
  auto Expired = std::vector<PooledConnection *>();
  for (const auto &[Address, Connections] : m_Idle)
    for (auto *Current : Connections)
      if (Current->idleUntil() <= Now)
        Expired.push_back(Current);
  for (auto *Current : Expired)
    Current->close();
  auto Open = std::vector<PooledConnection *>();
  for (const auto &[Key, Current] : m_Connections)
    Open.push_back(Key);
  for (auto *Current : Open)
    Current->endIfUnresponsive();
}

} // namespace

auto makePooledHttpClient(EventLoop &Loop,
                          const PooledHttpClientOptions &Options)
    -> std::unique_ptr<HttpClient> {
  return std::make_unique<PooledClient>(Loop, Options);
}

} // namespace dotterel
