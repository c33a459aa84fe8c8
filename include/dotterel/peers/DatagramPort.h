//===- DatagramPort.h - Datagrams between hosts -----------------*- C++ -*-===//
///
/// \file
/// Unreliable messages between the system's own hosts.
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

  /// \p Address is IP:PORT. A datagram that cannot be sent is lost.
  virtual auto send(const std::string &Address, std::string_view Bytes)
      -> void = 0;

  /// Datagrams that were given up here, not on the way.
  [[nodiscard]] virtual auto dropped() const -> std::uint64_t = 0;

  /// \p Callback gets the sender's address and the bytes.
  virtual auto
  onReceive(std::function<void(const std::string &, std::string_view)> Callback)
      -> void = 0;

  /// IP:PORT under which other hosts reach this port.
  [[nodiscard]] virtual auto address() const -> std::string = 0;
};

} // namespace dotterel

#endif // DOTTEREL_PEERS_DATAGRAMPORT_H
