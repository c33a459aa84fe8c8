//===- Socket.h - Non-blocking TCP sockets ----------------------*- C++ -*-===//
///
/// \file
/// Declares an owning socket descriptor and functions to listen and connect.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_SOCKET_H
#define DOTTEREL_IO_SOCKET_H

#include "dotterel/base/Units.h"
#include "dotterel/io/SocketAddress.h"

#include <utility>

namespace dotterel {

/// Owns a socket descriptor and closes it on destruction.
class Socket {
public:
  Socket() = default;
  explicit Socket(int Fd) : m_Fd(Fd) {}
  Socket(Socket &&Other) noexcept : m_Fd(std::exchange(Other.m_Fd, -1)) {}
  auto operator=(Socket &&Other) noexcept -> Socket & {
    std::swap(m_Fd, Other.m_Fd);
    return *this;
  }
  Socket(const Socket &) = delete;
  auto operator=(const Socket &) -> Socket & = delete;
  ~Socket();

  [[nodiscard]] auto fd() const -> int { return m_Fd; }

  /// Disables Nagle's algorithm, and enables keep-alive probes that end an idle
  /// connection to an unreachable peer within seconds.
  auto setTcpOptions() const -> void;

  /// Ends the connection when sent data is not acknowledged for \p Limit; zero:
  /// never. The system applies it also to a peer that acknowledges everything,
  /// but whose receive window stays closed because it does not read.
  auto setUserTimeout(Duration Limit) const -> void;

  /// Returns whether the peer has not acknowledged everything that was sent.
  [[nodiscard]] auto hasUnacknowledged() const -> bool;

  /// Returns whether the peer has acknowledged nothing for DeadPeerTime, though
  /// data or probes of a closed window were sent. False if it acknowledges but
  /// does not read.
  [[nodiscard]] auto peerUnresponsive() const -> bool;

  /// Makes close() reset the connection: the system discards what it has not
  /// sent, and the peer does not take what it got for complete.
  auto resetOnClose() const -> void;

private:
  int m_Fd = -1;
};

/// Time without an acknowledgement of what was sent after which a peer counts
/// as dead. Longer than the loss of a few consecutive packets, shorter than the
/// timeouts of callers.
inline constexpr auto DeadPeerTime = Milliseconds(2500);

/// As Socket::resetOnClose(), for a socket of another owner, if the system
/// still has bytes to send on it.
auto resetOnCloseIfUnsent(int Fd) -> void;

/// Returns a non-blocking socket that listens on \p Address.
/// \throws IoError 401 when the address cannot be bound.
auto listenOn(const SocketAddress &Address) -> Socket;

/// Returns the address that \p Listener is bound to.
auto boundAddress(const Socket &Listener) -> SocketAddress;

/// Starts a non-blocking connect to \p Address. The connection has the user
/// timeout DeadPeerTime.
/// \throws IoError 403 when the connect cannot be started.
auto beginConnect(const SocketAddress &Address) -> Socket;

} // namespace dotterel

#endif // DOTTEREL_IO_SOCKET_H
