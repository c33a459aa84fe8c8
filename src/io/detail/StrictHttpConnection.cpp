#include "dotterel/io/detail/StrictHttpConnection.h"

#include "dotterel/base/Log.h"

#include <array>
#include <cerrno>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace dotterel {

namespace {

constexpr auto ReadBlockBytes = std::size_t{32} << 10U;
/// Time for which further bytes are read and dropped before the connection is
/// closed, for example after a refusal in the middle of a body. Closing a
/// socket with unread bytes resets the connection and may lose the response.
constexpr auto LingerTimeout = Milliseconds(1000);
/// Interval between checks whether a peer still acknowledges.
constexpr auto PeerCheckInterval = Milliseconds(1000);
/// Maximum number of bytes that are dropped so.
constexpr auto MaxLingerBytes = std::size_t{8} << 20U;
/// Maximum number of buffered bytes of pipelined requests. Further ones stay in
/// the socket, where they slow their caller.
constexpr auto MaxPipelinedBytes = std::size_t{8} << 10U;

} // namespace

StrictHttpServer::Impl::Connection::~Connection() {
  // The system goes on sending what the caller has not read.
  if (m_PeerCheckAt)
    m_Socket.setUserTimeout(m_Server.m_Options.m_Limits.m_IdleTimeout);
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
  auto Count = ::recv(m_Socket.fd(), Buffer.data(),
                      isBusy() ? MaxPipelinedBytes : Buffer.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (Count <= 0) {
    close();
    return;
  }
  // After a response that ends the connection nothing more is handled.
  if (m_Lingering || m_CloseWhenSent) {
    // Once, since the rest of a rejected body may follow in many pieces.
    if (!std::exchange(m_DropLogged, true))
      logWarning("request.dropped",
                 {{"bytes", static_cast<std::int64_t>(Count)},
                  {"reason", m_CloseReason}});
    m_LingerBytes += static_cast<std::size_t>(Count);
    if (m_LingerBytes > MaxLingerBytes)
      close();
    return;
  }
  if (!m_Reader.started()) {
    m_WaitingSince = m_Server.m_Loop.now();
    m_Reader.setLimits(m_Server.m_Options.m_Limits);
  }
  auto Data = std::string_view(Buffer.data(), static_cast<std::size_t>(Count));
  if (isBusy()) {
    m_Reader.feed(Data);
    // Stops reading from a caller that keeps sending while its request is being
    // handled.
    if (m_Reader.bufferedBytes() > MaxPipelinedBytes)
      m_ReadWatcher.enable(false);
    return;
  }
  if (m_Reader.state() == RequestReader::State::Body)
    m_WaitingSince = m_Server.m_Loop.now();
  readRequest(Data);
}

auto StrictHttpServer::Impl::Connection::readRequest(std::string_view Data)
    -> void {
  auto State = m_Reader.feed(Data);
  if (accountRequest())
    handleReaderState(State);
}

auto StrictHttpServer::Impl::Connection::accountRequest() -> bool {
  if (m_Reader.state() == RequestReader::State::Rejected)
    return true;
  if (m_Memory.setRequest(m_Reader.heldBytes(), m_Server.m_Loop.now()))
    return true;
  refuseForMemory();
  return false;
}

auto StrictHttpServer::Impl::Connection::accountResponse() -> void {
  m_Memory.setResponse(unsentBytes());
}

auto StrictHttpServer::Impl::Connection::giveUpMemory() -> void {
  refuseForMemory();
}

auto StrictHttpServer::Impl::Connection::scheduleNextRequest() -> void {
  m_NextRequestTimer = m_Server.m_Loop.schedule(Duration::zero(), [this] {
    m_NextRequestTimer.reset();
    m_NextRequestPending = false;
    m_ReadWatcher.enable(true);
    auto State = m_Reader.next();
    if (!accountRequest())
      return;
    handleReaderState(State);
    // The head of the response may have been sent before the connection was
    // to be closed.
    if (m_Server.m_CloseIdle)
      closeIfIdle(ShutdownReason);
  });
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
  auto Request = std::move(m_Reader.request());
  auto Guard = m_Memory.complete();
  Request.m_Body.keep(Guard);
  m_Exchange = std::make_shared<Exchange>(
      *this, std::move(Request), std::move(Guard), m_Reader.keepAlive(),
      m_Server.m_CloseAfterResponses);
  // Keeps the exchange alive, because the connection may end inside the
  // handler's call.
  auto Current = m_Exchange;
  m_Server.m_Handler.handle(std::move(Current));
}

auto StrictHttpServer::Impl::Connection::refuse(unsigned Status,
                                                const std::string &Reason)
    -> void {
  auto Suppressed = m_Server.m_RejectionLog.admit(m_Server.m_Loop.now());
  if (Suppressed)
    logWarning(
        "http.rejected",
        {{"status", Status}, {"reason", Reason}, {"not_logged", *Suppressed}});
  sendRefusal(
      {.m_Status = Status,
       .m_Headers = {{.m_Name = "Content-Type", .m_Value = "text/plain"}},
       .m_Body = fmt::format("{}\n", Reason)});
}

auto StrictHttpServer::Impl::Connection::refuseForMemory() -> void {
  if (auto Suppressed = m_Server.m_RejectionLog.admit(m_Server.m_Loop.now())) {
    const auto &Memory = *m_Server.m_Options.m_Memory;
    logWarning("memory.refused", {{"bytes", m_Reader.heldBytes()},
                                  {"in_use", Memory.usedBytes()},
                                  {"budget", Memory.limitBytes()},
                                  {"not_logged", *Suppressed}});
  }
  sendRefusal(m_Server.m_Handler.outOfMemory());
}

auto StrictHttpServer::Impl::Connection::sendRefusal(
    const HttpResponse &Response) -> void {
  m_Reader.discard();
  m_Memory.releaseRequest();
  auto Text = fmt::format("HTTP/1.1 {} {}\r\n", Response.m_Status,
                          reasonPhrase(Response.m_Status));
  for (const auto &Header : Response.m_Headers)
    Text += fmt::format("{}: {}\r\n", Header.m_Name, Header.m_Value);
  send(Text + fmt::format("Content-Length: {}\r\nConnection: close\r\n\r\n{}",
                          Response.m_Body.size(), Response.m_Body));
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
      releaseSentBytes();
      accountResponse();
      return;
    }
    if (Count < 0) {
      // The read watcher detects the end of the connection, outside of the
      // handler's call.
      std::string().swap(m_SendBuffer);
      m_SentBytes = 0;
      accountResponse();
      m_WriteWatcher.enable(false);
      m_ReadWatcher.enable(true);
      return;
    }
    m_SentBytes += static_cast<std::size_t>(Count);
    if (!m_PeerCheckAt)
      m_PeerCheckAt = m_Server.m_Loop.now() + DeadPeerTime;
    // A caller that reads its response is not idle.
    if (!hasExchange() && !m_Lingering &&
        (m_NextRequestPending || !m_Reader.started()))
      m_WaitingSince = m_Server.m_Loop.now();
  }
  std::string().swap(m_SendBuffer);
  m_SentBytes = 0;
  accountResponse();
  m_WriteWatcher.enable(false);
  if (m_CloseWhenSent) {
    if (!m_Lingering)
      startLinger();
  } else if (m_NextRequestPending && !m_NextRequestTimer) {
    scheduleNextRequest();
  }
}

auto StrictHttpServer::Impl::Connection::releaseSentBytes() -> void {
  if (m_SentBytes < ReadBlockBytes || m_SentBytes < unsentBytes())
    return;
  m_SendBuffer.substr(m_SentBytes).swap(m_SendBuffer);
  m_SentBytes = 0;
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
  if (m_NextRequestPending)
    return WaitTime > Limits.m_IdleTimeout;
  return WaitTime >
         (m_Reader.started() ? Limits.m_HeaderTimeout : Limits.m_IdleTimeout);
}

auto StrictHttpServer::Impl::Connection::closeIfUnresponsive(MonotonicTime Now)
    -> void {
  if (m_Closed || !m_PeerCheckAt || *m_PeerCheckAt > Now)
    return;
  if (!m_Socket.hasUnacknowledged()) {
    m_PeerCheckAt.reset();
    return;
  }
  m_PeerCheckAt = Now + PeerCheckInterval;
  if (!m_Socket.peerUnresponsive())
    return;
  if (auto Suppressed = m_Server.m_UnresponsiveLog.admit(Now))
    logInfo("caller.unresponsive",
            {{"unsent", unsentBytes()}, {"not_logged", *Suppressed}});
  m_PeerCheckAt.reset();
  m_Socket.resetOnClose();
  close();
}

auto StrictHttpServer::Impl::Connection::closeIfTimedOut(MonotonicTime Now)
    -> void {
  if (m_Closed || hasExchange() || m_NextRequestTimer || !timedOut(Now))
    return;
  if (m_Lingering || m_CloseWhenSent) {
    close();
    return;
  }
  // The caller has the idle timeout once more to begin to read.
  if (m_NextRequestPending) {
    closeAfterFlush("idle timeout");
    return;
  }
  if (!m_Reader.started()) {
    closeIfIdle("idle timeout");
    return;
  }
  // The rest of the request may have arrived since the socket was last read.
  readable();
  if (!m_Closed && !hasExchange() && !m_Lingering && !m_CloseWhenSent &&
      !m_NextRequestPending && m_Reader.started() && timedOut(Now))
    refuse(408, "the request did not come in time");
}

} // namespace dotterel
