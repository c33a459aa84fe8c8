#include "dotterel/io/UdpPort.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <sys/socket.h>

namespace dotterel {

namespace {

/// The largest payload of a datagram over IPv4.
constexpr auto LargestDatagram = std::size_t{65507};
/// Datagrams read in a row, so that callers are not held up.
constexpr auto ReadBurst = 64;
/// Pause between two log lines on datagrams that were dropped.
constexpr auto LogPause = Seconds(1);

} // namespace

UdpPort::UdpPort(EventLoop &Loop, const SocketAddress &Address)
    : m_Loop(Loop),
      m_Socket(
          ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
  const auto &Raw = Address.raw();
  if (m_Socket.fd() < 0 ||
      ::bind(m_Socket.fd(), reinterpret_cast<const sockaddr *>(&Raw),
             sizeof(Raw)) != 0)
    throw IoError(401, fmt::format("cannot bind {}: {}", Address.text(),
                                   std::strerror(errno)));
  m_Watcher = std::make_unique<FdWatcher>(Loop, m_Socket.fd(), EV_READ,
                                          [this](int) { readable(); });
}

auto UdpPort::send(const std::string &Address, std::string_view Bytes) -> void {
  auto Target = SocketAddress::parse(Address);
  const auto &Raw = Target.raw();
  // What the system does not take is lost like a datagram on its way.
  if (::sendto(m_Socket.fd(), Bytes.data(), Bytes.size(), 0,
               reinterpret_cast<const sockaddr *>(&Raw), sizeof(Raw)) < 0)
    drop(errno);
}

auto UdpPort::drop(int Reason) -> void {
  ++m_Dropped;
  auto Now = m_Loop.now();
  if (m_LoggedAt && Now - *m_LoggedAt < LogPause)
    return;
  m_LoggedAt = Now;
  logWarning("peer.datagrams-dropped",
             {{"total", m_Dropped}, {"reason", std::strerror(Reason)}});
}

auto UdpPort::onReceive(
    std::function<void(const std::string &, std::string_view)> Callback)
    -> void {
  m_OnReceive = std::move(Callback);
}

auto UdpPort::address() const -> std::string {
  return boundAddress(m_Socket).text();
}

auto UdpPort::readable() -> void {
  auto Block = std::array<char, LargestDatagram>();
  for (auto Index = 0; Index < ReadBurst; ++Index) {
    auto Raw = sockaddr_in{};
    auto Size = socklen_t{sizeof(Raw)};
    auto Count = ::recvfrom(m_Socket.fd(), Block.data(), Block.size(), 0,
                            reinterpret_cast<sockaddr *>(&Raw), &Size);
    if (Count < 0)
      return;
    if (m_OnReceive)
      m_OnReceive(
          SocketAddress(Raw).text(),
          std::string_view(Block.data(), static_cast<std::size_t>(Count)));
  }
}

} // namespace dotterel
