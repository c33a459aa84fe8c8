//===- SocketAddress.h - IPv4 address and port ------------------*- C++ -*-===//
///
/// \file
/// Declares an IPv4 address with a port, in the form that settings and messages
/// use.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_SOCKETADDRESS_H
#define DOTTEREL_IO_SOCKETADDRESS_H

#include <cstdint>
#include <netinet/in.h>
#include <string>
#include <string_view>

namespace dotterel {

/// An IPv4 address and port. Text form: `127.0.0.1:8080`.
class SocketAddress {
public:
  SocketAddress() = default;
  explicit SocketAddress(const sockaddr_in &Raw) : m_Address(Raw) {}

  /// Parses the text form.
  /// \throws ProtocolError 301 when \p Text is not `IP:PORT`.
  static auto parse(std::string_view Text) -> SocketAddress;

  [[nodiscard]] auto text() const -> std::string;
  [[nodiscard]] auto port() const -> std::uint16_t;
  [[nodiscard]] auto raw() const -> const sockaddr_in & { return m_Address; }

  /// Returns the same IP address with the port \p Port.
  [[nodiscard]] auto withPort(std::uint16_t Port) const -> SocketAddress;

private:
  sockaddr_in m_Address{};
};

} // namespace dotterel

#endif // DOTTEREL_IO_SOCKETADDRESS_H
