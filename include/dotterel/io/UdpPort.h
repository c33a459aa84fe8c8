//===- UdpPort.h - Datagrams over UDP ---------------------------*- C++ -*-===//
///
/// \file
/// Declares the port that exchanges datagrams between hosts over UDP.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_UDPPORT_H
#define DOTTEREL_IO_UDPPORT_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/Socket.h"
#include "dotterel/peers/DatagramPort.h"

#include <cstdint>
#include <memory>
#include <optional>

namespace dotterel {

/// Sends and receives datagrams on a UDP socket.
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
  [[nodiscard]] auto dropped() const -> std::uint64_t override {
    return m_Dropped;
  }

private:
  auto readable() -> void;
  auto recordDropped(int ErrorNumber) -> void;

  EventLoop &m_Loop;
  Socket m_Socket;
  std::unique_ptr<FdWatcher> m_Watcher;
  std::uint64_t m_Dropped = 0;
  std::optional<MonotonicTime> m_LoggedAt;
  std::function<void(const std::string &, std::string_view)> m_OnReceive;
};

} // namespace dotterel

#endif // DOTTEREL_IO_UDPPORT_H
