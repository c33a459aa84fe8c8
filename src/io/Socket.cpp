#include "dotterel/io/Socket.h"

#include "dotterel/base/Errors.h"

#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dotterel {

namespace {

/// Connections that may wait to be accepted; the kernel bounds it further.
constexpr auto AcceptBacklog = 1024;

/// Unacknowledged data for so long means that the peer is out of reach: longer
/// than some lost packets in a row, shorter than any caller's patience.
constexpr auto UnacknowledgedMilliseconds = 2500U;
/// Idle time before a probe, and between probes.
constexpr auto ProbeSeconds = 1;
/// Unanswered probes that end a connection.
constexpr auto ProbeCount = 3;

auto setOption(int Fd, int Level, int Name, int Value) -> void {
  // An option that the system lacks leaves the default, which is only slower.
  static_cast<void>(::setsockopt(Fd, Level, Name, &Value, sizeof(Value)));
}

auto tcpSocket() -> Socket {
  return Socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
}

} // namespace

Socket::~Socket() {
  if (m_Fd >= 0)
    ::close(m_Fd);
}

auto Socket::tune() const -> void {
  setOption(m_Fd, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(m_Fd, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(UnacknowledgedMilliseconds));
  setOption(m_Fd, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(m_Fd, IPPROTO_TCP, TCP_KEEPIDLE, ProbeSeconds);
  setOption(m_Fd, IPPROTO_TCP, TCP_KEEPINTVL, ProbeSeconds);
  setOption(m_Fd, IPPROTO_TCP, TCP_KEEPCNT, ProbeCount);
}

auto Socket::resetOnClose() const -> void {
  auto Value = linger{.l_onoff = 1, .l_linger = 0};
  static_cast<void>(
      ::setsockopt(m_Fd, SOL_SOCKET, SO_LINGER, &Value, sizeof(Value)));
}

auto listenOn(const SocketAddress &Address) -> Socket {
  auto Listener = tcpSocket();
  setOption(Listener.fd(), SOL_SOCKET, SO_REUSEADDR, 1);
  const auto &Raw = Address.raw();
  if (Listener.fd() < 0 ||
      ::bind(Listener.fd(), reinterpret_cast<const sockaddr *>(&Raw),
             sizeof(Raw)) != 0 ||
      ::listen(Listener.fd(), AcceptBacklog) != 0)
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
  auto Created = tcpSocket();
  if (Created.fd() < 0)
    throw IoError(403, fmt::format("no socket: {}", std::strerror(errno)));
  Created.tune();
  const auto &Raw = Address.raw();
  if (::connect(Created.fd(), reinterpret_cast<const sockaddr *>(&Raw),
                sizeof(Raw)) != 0 &&
      errno != EINPROGRESS)
    throw IoError(403, fmt::format("cannot connect to {}: {}", Address.text(),
                                   std::strerror(errno)));
  return Created;
}

} // namespace dotterel
