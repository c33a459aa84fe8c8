//===- DatagramPort.h - Datagrams between hosts -----------------*- C++ -*-===//
///
/// \file
/// Unreliable datagrams between the hosts of the system.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_PEERS_DATAGRAMPORT_H
#define DOTTEREL_PEERS_DATAGRAMPORT_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace dotterel {

/// Sends and receives datagrams. They may be lost, repeated or reordered.
class DatagramPort {
public:
  virtual ~DatagramPort() = default;

  /// Sends \p Bytes to \p Address, IP:PORT. A datagram that cannot be sent is
  /// dropped.
  virtual auto send(const std::string &Address, std::string_view Bytes)
      -> void = 0;

  /// Returns the number of datagrams dropped by this port, not by the network.
  [[nodiscard]] virtual auto dropped() const -> std::uint64_t = 0;

  /// Sets the callback for received datagrams. \p Callback gets the sender's
  /// address and the bytes.
  virtual auto
  onReceive(std::function<void(const std::string &, std::string_view)> Callback)
      -> void = 0;

  /// Returns the address, IP:PORT, under which other hosts reach this port.
  [[nodiscard]] virtual auto address() const -> std::string = 0;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_DATAGRAMPORT_H
