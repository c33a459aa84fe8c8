//===- Socket.h - Non-blocking TCP sockets ----------------------*- C++ -*-===//
///
/// \file
/// Descriptor ownership and the socket options that this project uses.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_SOCKET_H
#define DOTTEREL_IO_SOCKET_H

#include "dotterel/io/SocketAddress.h"

#include <utility>

namespace dotterel {

/// Owns a descriptor.
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

  /// Sends no delayed segments, and notices a silent peer within seconds.
  auto tune() const -> void;

  /// Makes close() reset the connection, so that a cut answer cannot look
  /// complete.
  auto resetOnClose() const -> void;

private:
  int m_Fd = -1;
};

/// \throws IoError 401 when the address cannot be bound.
auto listenOn(const SocketAddress &Address) -> Socket;

/// The address that \p Listener is bound to.
auto boundAddress(const Socket &Listener) -> SocketAddress;

/// Begins to connect. \throws IoError 403 when no connection can be begun.
auto beginConnect(const SocketAddress &Address) -> Socket;

} // namespace dotterel

#endif // DOTTEREL_IO_SOCKET_H
