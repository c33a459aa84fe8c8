#include "HostileCrowd.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace dotterel::test {

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto TrickleInterval = std::chrono::milliseconds(100);
/// Small, so that what a caller does not read stays with the server.
constexpr auto ReceiveBufferBytes = 4096;

} // namespace

HostileCrowd::HostileCrowd(const std::string &Address,
                           HostileBehaviour Behaviour)
    : m_Behaviour(std::move(Behaviour)),
      m_Port(static_cast<unsigned>(
          std::stoul(Address.substr(Address.rfind(':') + 1)))),
      m_Callers(m_Behaviour.m_Callers), m_Thread([this] { run(); }) {}

HostileCrowd::~HostileCrowd() {
  m_Stop = true;
  m_Thread.join();
}

auto HostileCrowd::connect(Caller &Target) -> void {
  auto Address = sockaddr_in{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(m_Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  Target.m_Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (!m_Behaviour.m_Reads)
    ::setsockopt(Target.m_Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
                 sizeof(ReceiveBufferBytes));
  // A failure shows when the connection is used.
  static_cast<void>(::connect(Target.m_Fd,
                              reinterpret_cast<const sockaddr *>(&Address),
                              sizeof(Address)));
  ++Target.m_Connections;
  Target.m_Sent = Target.m_Trickled = 0;
}

auto HostileCrowd::disconnect(Caller &Target) -> void {
  ::close(std::exchange(Target.m_Fd, -1));
  if (Target.m_Connections < m_Behaviour.m_Connections)
    connect(Target);
}

auto HostileCrowd::send(Caller &Target, bool TrickleDue) -> void {
  auto Rest = std::string_view(m_Behaviour.m_Head);
  if (Target.m_Sent == totalBytes()) {
    if (!TrickleDue || m_Behaviour.m_Trickle.empty())
      return;
    Rest = std::string_view(m_Behaviour.m_Trickle)
               .substr(Target.m_Trickled % m_Behaviour.m_Trickle.size());
  } else if (Target.m_Sent < Rest.size()) {
    Rest.remove_prefix(Target.m_Sent);
  } else {
    auto At = (Target.m_Sent - Rest.size()) % m_Behaviour.m_Block.size();
    Rest = std::string_view(m_Behaviour.m_Block).substr(At);
  }
  auto Count = ::send(Target.m_Fd, Rest.data(), Rest.size(), MSG_NOSIGNAL);
  if (Count < 0) {
    if (errno != EAGAIN && errno != EINTR)
      disconnect(Target);
    return;
  }
  auto &Progress =
      Target.m_Sent == totalBytes() ? Target.m_Trickled : Target.m_Sent;
  Progress += static_cast<std::size_t>(Count);
  m_SentBytes += static_cast<std::size_t>(Count);
}

auto HostileCrowd::receive(Caller &Target) -> void {
  auto Buffer = std::array<char, 65536>();
  auto Count = ::recv(Target.m_Fd, Buffer.data(), Buffer.size(), 0);
  if (Count == 0 || (Count < 0 && errno != EAGAIN && errno != EINTR))
    disconnect(Target);
}

auto HostileCrowd::run() -> void {
  for (auto &Current : m_Callers)
    connect(Current);
  auto NextTrickle = Clock::now();
  while (!m_Stop) {
    auto TrickleDue = Clock::now() >= NextTrickle;
    if (TrickleDue)
      NextTrickle = Clock::now() + TrickleInterval;
    auto Polled = std::vector<pollfd>();
    for (const auto &Current : m_Callers) {
      auto Events = m_Behaviour.m_Reads ? POLLIN : 0;
      if (!done(Current) || TrickleDue)
        Events |= POLLOUT;
      Polled.push_back({.fd = Current.m_Fd,
                        .events = static_cast<short>(Events),
                        .revents = 0});
    }
    constexpr auto WaitMs = 20;
    ::poll(Polled.data(), Polled.size(), WaitMs);
    for (auto Index = std::size_t{0}; Index < Polled.size(); ++Index) {
      auto &Current = m_Callers[Index];
      auto Ready = static_cast<unsigned>(Polled[Index].revents);
      if (Current.m_Fd >= 0 && (Ready & unsigned{POLLIN | POLLHUP | POLLERR}))
        receive(Current);
      if (Current.m_Fd >= 0 && (Ready & unsigned{POLLOUT}))
        send(Current, TrickleDue);
    }
    m_SentAll =
        std::all_of(m_Callers.begin(), m_Callers.end(),
                    [this](const Caller &Current) { return done(Current); });
  }
  for (auto &Current : m_Callers)
    if (Current.m_Fd >= 0)
      ::close(Current.m_Fd);
}

} // namespace dotterel::test
