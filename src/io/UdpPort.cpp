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

/// Maximum payload of a UDP datagram over IPv4.
constexpr auto MaxDatagramBytes = std::size_t{65507};
/// Datagrams that are read in one event. Bounded, so that other watchers of the
/// loop, such as those of callers, are not delayed.
constexpr auto MaxReadsPerEvent = 64;
/// Minimum interval between two log lines about dropped datagrams.
constexpr auto MinLogInterval = Seconds(1);

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
  // A datagram that the system does not accept is lost, like one that the
  // network drops.
  if (::sendto(m_Socket.fd(), Bytes.data(), Bytes.size(), 0,
               reinterpret_cast<const sockaddr *>(&Raw), sizeof(Raw)) < 0)
    recordDropped(errno);
}

auto UdpPort::recordDropped(int ErrorNumber) -> void {
  ++m_Dropped;
  auto Now = m_Loop.now();
  if (m_LoggedAt && Now - *m_LoggedAt < MinLogInterval)
    return;
  m_LoggedAt = Now;
  logWarning("peer.datagrams-dropped",
             {{"total", m_Dropped}, {"reason", std::strerror(ErrorNumber)}});
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
  auto Buffer = std::array<char, MaxDatagramBytes>();
  for (auto Index = 0; Index < MaxReadsPerEvent; ++Index) {
    auto Raw = sockaddr_in{};
    auto Size = socklen_t{sizeof(Raw)};
    auto Count = ::recvfrom(m_Socket.fd(), Buffer.data(), Buffer.size(), 0,
                            reinterpret_cast<sockaddr *>(&Raw), &Size);
    if (Count < 0)
      return;
    if (m_OnReceive)
      m_OnReceive(
          SocketAddress(Raw).text(),
          std::string_view(Buffer.data(), static_cast<std::size_t>(Count)));
  }
}

} // namespace dotterel
