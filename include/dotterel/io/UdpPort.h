//===- UdpPort.h - Datagrams over UDP ---------------------------*- C++ -*-===//
///
/// \file
/// Datagrams between hosts, over UDP.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_UDPPORT_H
#define DOTTEREL_IO_UDPPORT_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/Socket.h"
#include "dotterel/peers/DatagramPort.h"

#include <memory>

namespace dotterel {

class UdpPort final : public DatagramPort {
public:
  /// \throws IoError 401 when \p Address cannot be bound.
  UdpPort(EventLoop &Loop, const SocketAddress &Address);

  auto send(const std::string &Address, std::string_view Bytes)
      -> void override;
  auto
  onReceive(std::function<void(const std::string &, std::string_view)> Callback)
      -> void override;
  [[nodiscard]] auto address() const -> std::string override;

private:
  auto readable() -> void;

  Socket m_Socket;
  std::unique_ptr<FdWatcher> m_Watcher;
  std::function<void(const std::string &, std::string_view)> m_OnReceive;
};

} // namespace dotterel

#endif // DOTTEREL_IO_UDPPORT_H
