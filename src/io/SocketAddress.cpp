#include "dotterel/io/SocketAddress.h"

#include "dotterel/base/Errors.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <fmt/format.h>

namespace dotterel {

auto SocketAddress::parse(std::string_view Text) -> SocketAddress {
  auto Colon = Text.rfind(':');
  auto Fail = [Text]() -> ProtocolError {
    return ProtocolError(301, fmt::format("not an IP:PORT: {}", Text));
  };
  if (Colon == std::string_view::npos)
    throw Fail();
  auto Port = std::uint16_t{0};
  const auto *First = Text.data() + Colon + 1;
  const auto *Last = Text.data() + Text.size();
  auto Parsed = std::from_chars(First, Last, Port);
  if (Parsed.ec != std::errc{} || Parsed.ptr != Last)
    throw Fail();
  auto Address = SocketAddress();
  Address.m_Address.sin_family = AF_INET;
  Address.m_Address.sin_port = htons(Port);
  auto Host = std::string(Text.substr(0, Colon));
  if (inet_pton(AF_INET, Host.c_str(), &Address.m_Address.sin_addr) != 1)
    throw Fail();
  return Address;
}

auto SocketAddress::text() const -> std::string {
  auto Host = std::array<char, INET_ADDRSTRLEN>{};
  inet_ntop(AF_INET, &m_Address.sin_addr, Host.data(), Host.size());
  return fmt::format("{}:{}", Host.data(), port());
}

auto SocketAddress::port() const -> std::uint16_t {
  return ntohs(m_Address.sin_port);
}

auto SocketAddress::withPort(std::uint16_t Port) const -> SocketAddress {
  auto Copy = *this;
  Copy.m_Address.sin_port = htons(Port);
  return Copy;
}

} // namespace dotterel
