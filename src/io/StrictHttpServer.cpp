#include "dotterel/io/StrictHttpServer.h"

#include "dotterel/io/detail/StrictHttpConnection.h"

#include <algorithm>
#include <sys/socket.h>

namespace dotterel {

namespace {

/// Interval at which connections are checked for expired timeouts: a fraction
/// of the shortest timeout that operators set.
constexpr auto SweepInterval = Milliseconds(200);
/// Connections that are accepted in one event. Bounded, so that callers with
/// open connections are not delayed.
constexpr auto MaxAcceptsPerEvent = 64;

} // namespace

StrictHttpServer::Impl::Impl(EventLoop &Loop, HttpHandler &Handler,
                             const StrictHttpServerOptions &Options)
    : m_Loop(Loop), m_Handler(Handler), m_Options(Options),
      m_Listener(listenOn(Options.m_Address)) {
  m_Watcher = std::make_unique<FdWatcher>(Loop, m_Listener.fd(), EV_READ,
                                          [this](int) { accept(); });
  m_SweepTimer = std::make_unique<RepeatingTimer>(Loop, SweepInterval,
                                                  [this] { sweep(); });
}

StrictHttpServer::Impl::~Impl() = default;

auto StrictHttpServer::Impl::accept() -> bool {
  for (auto Index = 0; Index < MaxAcceptsPerEvent; ++Index) {
    if (m_Connections.size() >= m_Options.m_MaxConnections) {
      m_Watcher->enable(false);
      return true;
    }
    auto Peer = Socket(::accept4(m_Listener.fd(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (Peer.fd() < 0)
      return true;
    Peer.setTcpOptions();
    auto Created = std::make_unique<Connection>(*this, std::move(Peer));
    auto *Key = Created.get();
    m_Connections.emplace(Key, std::move(Created));
  }
  return false;
}

auto StrictHttpServer::Impl::sweep() -> void {
  auto Now = m_Loop.now();
  auto Targets = std::vector<Connection *>();
  Targets.reserve(m_Connections.size());
  for (auto &[Key, Current] : m_Connections)
    Targets.push_back(Key);
  for (auto *Target : Targets) {
    Target->closeIfUnresponsive(Now);
    Target->closeIfTimedOut(Now);
  }
}

auto StrictHttpServer::Impl::retire(Connection &Target) -> void {
  auto Found = m_Connections.find(&Target);
  if (Found == m_Connections.end())
    return;
  if (m_Retired.empty())
    m_Loop.schedule(Duration::zero(), [this] { m_Retired.clear(); });
  m_Retired.push_back(std::move(Found->second));
  m_Connections.erase(Found);
  if (m_Listener.fd() >= 0)
    m_Watcher->enable(true);
}

StrictHttpServer::StrictHttpServer(EventLoop &Loop, HttpHandler &Handler,
                                   const StrictHttpServerOptions &Options)
    : m_Impl(std::make_unique<Impl>(Loop, Handler, Options)) {}

StrictHttpServer::~StrictHttpServer() = default;

auto StrictHttpServer::address() const -> SocketAddress {
  return boundAddress(m_Impl->m_Listener);
}

auto StrictHttpServer::setLimits(const CallerLimits &Limits) -> void {
  m_Impl->m_Options.m_Limits = Limits;
}

auto StrictHttpServer::closeAfterResponses() -> void {
  m_Impl->m_CloseAfterResponses = true;
}

auto StrictHttpServer::closeIdle() -> void {
  m_Impl->m_CloseIdle = true;
  auto Targets = std::vector<Impl::Connection *>();
  for (auto &[Key, Current] : m_Impl->m_Connections)
    Targets.push_back(Key);
  for (auto *Target : Targets)
    Target->closeIfIdle(ShutdownReason);
}

auto StrictHttpServer::stopListening() -> void {
  if (m_Impl->m_Listener.fd() < 0)
    return;
  // Connections that are established but not accepted may hold requests.
  while (!m_Impl->accept()) {
  }
  m_Impl->m_Watcher->enable(false);
  m_Impl->m_Listener = Socket();
}

auto StrictHttpServer::busyConnections() const -> std::size_t {
  return static_cast<std::size_t>(std::count_if(
      m_Impl->m_Connections.begin(), m_Impl->m_Connections.end(),
      [](const auto &Item) { return Item.second->hasRequest(); }));
}

} // namespace dotterel
