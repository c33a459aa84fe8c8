#include "dotterel/io/Socket.h"

#include "dotterel/base/Errors.h"

#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dotterel {

namespace {

/// Number of connections that may wait to be accepted. The kernel may lower it.
constexpr auto ListenBacklog = 1024;

/// Idle time before the first keep-alive probe, and interval between probes.
constexpr auto KeepAliveIntervalSeconds = 1;
/// Number of unacknowledged keep-alive probes that end a connection.
constexpr auto MaxKeepAliveProbes = 3;
/// Number of unacknowledged probes of a closed window from which a peer counts
/// as dead.
constexpr auto MaxWindowProbes = 3U;

auto setOption(int Fd, int Level, int Name, int Value) -> void {
  // Errors are ignored: without an option that the system lacks, the connection
  // works with the default and is only slower.
  static_cast<void>(::setsockopt(Fd, Level, Name, &Value, sizeof(Value)));
}

auto makeTcpSocket() -> Socket {
  return Socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

auto setResetOnClose(int Fd) -> void {
  auto Value = linger{.l_onoff = 1, .l_linger = 0};
  static_cast<void>(
      ::setsockopt(Fd, SOL_SOCKET, SO_LINGER, &Value, sizeof(Value)));
}

} // namespace

Socket::~Socket() {
  if (m_Fd >= 0)
    ::close(m_Fd);
}

auto Socket::setTcpOptions() const -> void {
  setOption(m_Fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(m_Fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(m_Fd, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIntervalSeconds);
  setOption(m_Fd, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(m_Fd, IPPROTO_TCP, TCP_KEEPCNT, MaxKeepAliveProbes);
}

auto Socket::setUserTimeout(Duration Limit) const -> void {
  setOption(m_Fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(toMilliseconds(Limit)));
}

auto Socket::hasUnacknowledged() const -> bool {
  auto Bytes = 0;
  return ::ioctl(m_Fd, SIOCOUTQ, &Bytes) == 0 && Bytes > 0;
}

auto Socket::peerUnresponsive() const -> bool {
  auto Info = tcp_info{};
  auto Size = socklen_t{sizeof(Info)};
  // A system that cannot tell leaves the peer to the other timeouts.
  if (::getsockopt(m_Fd, IPPROTO_TCP, TCP_INFO, &Info, &Size) != 0)
    return false;
  if (Info.tcpi_probes >= MaxWindowProbes)
    return true;
  // A peer that drops data for want of memory acknowledges each repetition, so
  // its newest acknowledgement is not older than the newest transmission.
  return Info.tcpi_unacked > 0 &&
         Info.tcpi_last_ack_recv >= Info.tcpi_last_data_sent &&
         Milliseconds(Info.tcpi_last_ack_recv - Info.tcpi_last_data_sent) >=
             DeadPeerTime;
}

auto Socket::resetOnClose() const -> void { setResetOnClose(m_Fd); }

auto resetOnCloseIfUnsent(int Fd) -> void {
  auto UnsentBytes = 0;
  if (::ioctl(Fd, SIOCOUTQ, &UnsentBytes) == 0 && UnsentBytes > 0)
    setResetOnClose(Fd);
}

auto listenOn(const SocketAddress &Address) -> Socket {
  auto Listener = makeTcpSocket();
  setOption(Listener.fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  const auto &Raw = Address.raw();
  if (Listener.fd() < 0 ||
      ::bind(Listener.fd(), reinterpret_cast<const sockaddr *>(&Raw),
             sizeof(Raw)) != 0 ||
      ::listen(Listener.fd(), ListenBacklog) != 0)
    throw IoError(401, fmt::format("cannot listen on {}: {}", Address.text(),
                                   std::strerror(errno)));
  return Listener;
}

auto boundAddress(const Socket &Listener) -> SocketAddress {
  auto Raw = sockaddr_in{};
  auto Size = socklen_t{sizeof(Raw)};
  ::getsockname(Listener.fd(), reinterpret_cast<sockaddr *>(&Raw), &Size);
  return SocketAddress(Raw);
}

auto beginConnect(const SocketAddress &Address) -> Socket {
  auto Created = makeTcpSocket();
  if (Created.fd() < 0)
    throw IoError(403, fmt::format("no socket: {}", std::strerror(errno)));
  Created.setTcpOptions();
  Created.setUserTimeout(DeadPeerTime);
  const auto &Raw = Address.raw();
  if (::connect(Created.fd(), reinterpret_cast<const sockaddr *>(&Raw),
                sizeof(Raw)) != 0 &&
      errno != EINPROGRESS)
    throw IoError(403, fmt::format("cannot connect to {}: {}", Address.text(),
                                   std::strerror(errno)));
  return Created;
}

} // namespace dotterel
