#include "FaultProxy.h"

#include <array>
#include <cerrno>
#include <deque>
#include <sys/socket.h>

namespace dotterel::soak {

namespace {

/// Added to each piece by LinkFault::Delay; well inside the deadlines of the
/// soak's callers.
constexpr auto AddedDelay = Milliseconds(150);
/// Bytes read at once.
constexpr auto BlockSize = std::size_t{16384};
/// Bytes that one direction holds before its sender has to wait.
constexpr auto MostHeld = std::size_t{1} << 20U;

} // namespace

auto nameOf(LinkFault Fault) -> const char * {
  switch (Fault) {
  case LinkFault::None:
    return "none";
  case LinkFault::Delay:
    return "delay";
  case LinkFault::Silence:
    return "silence";
  case LinkFault::CutRequests:
    return "cut-requests";
  case LinkFault::CutAnswers:
    return "cut-answers";
  case LinkFault::Reset:
    return "reset";
  }
  return "";
}

/// One connection: two sockets and the bytes between them.
class FaultProxy::Link {
public:
  Link(FaultProxy &Owner, Socket Client)
      : m_Owner(Owner), m_Requests(*this, std::move(Client)),
        m_Answers(*this, beginConnect(SocketAddress::parse(Owner.m_Target))) {
    m_Requests.m_Peer = &m_Answers;
    m_Answers.m_Peer = &m_Requests;
  }
  ~Link() {
    *m_Alive = false;
    if (!m_Reset)
      return;
    m_Requests.m_Socket.resetOnClose();
    m_Answers.m_Socket.resetOnClose();
  }
  Link(const Link &) = delete;
  auto operator=(const Link &) -> Link & = delete;

  auto reset() -> void { m_Reset = true; }

  /// Sends what may go on now.
  auto pump() -> void {
    m_Requests.pump();
    m_Answers.pump();
  }

private:
  struct Piece {
    std::string m_Bytes;
    MonotonicTime m_DueAt;
  };

  /// One end, and the bytes that it has sent and its peer has not got.
  struct End {
    End(Link &Owner, Socket Own)
        : m_Link(Owner), m_Socket(std::move(Own)),
          m_Reader(Owner.m_Owner.m_Loop, m_Socket.fd(), EV_READ,
                   [this](int) { readable(); }),
          m_Writer(Owner.m_Owner.m_Loop, m_Socket.fd(), EV_WRITE,
                   [this](int) { m_Peer->pump(); }) {
      m_Writer.enable(false);
    }

    auto readable() -> void {
      auto Block = std::array<char, BlockSize>();
      auto Count = ::recv(m_Socket.fd(), Block.data(), Block.size(), 0);
      if (Count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (Count < 0) {
        m_Link.fail();
        return;
      }
      m_Reader.enable(Count > 0 && m_Size < MostHeld);
      m_Ended = Count == 0;
      auto Now = m_Link.m_Owner.m_Loop.now();
      auto Late = m_Link.m_Owner.m_Fault == LinkFault::Delay;
      if (Count > 0) {
        m_Size += static_cast<std::size_t>(Count);
        m_Held.push_back({.m_Bytes = std::string(
                              Block.data(), static_cast<std::size_t>(Count)),
                          .m_DueAt = Late ? Now + AddedDelay : Now});
      }
      pump();
    }

    auto pump() -> void {
      if (!m_Link.passes(*this))
        return;
      auto Now = m_Link.m_Owner.m_Loop.now();
      while (!m_Held.empty()) {
        auto &Next = m_Held.front();
        if (Next.m_DueAt > Now) {
          m_Link.pumpLater(Next.m_DueAt - Now);
          return;
        }
        auto Sent = ::send(m_Peer->m_Socket.fd(), Next.m_Bytes.data(),
                           Next.m_Bytes.size(), MSG_NOSIGNAL);
        if (Sent < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
          m_Peer->m_Writer.enable(true);
          return;
        }
        if (Sent < 0) {
          m_Link.fail();
          return;
        }
        m_Size -= static_cast<std::size_t>(Sent);
        Next.m_Bytes.erase(0, static_cast<std::size_t>(Sent));
        if (Next.m_Bytes.empty())
          m_Held.pop_front();
      }
      m_Peer->m_Writer.enable(false);
      m_Reader.enable(!m_Ended);
      if (m_Ended)
        m_Link.finish();
    }

    Link &m_Link;
    Socket m_Socket;
    End *m_Peer = nullptr;
    std::deque<Piece> m_Held;
    std::size_t m_Size = 0;
    bool m_Ended = false;
    FdWatcher m_Reader;
    FdWatcher m_Writer;
  };

  [[nodiscard]] auto passes(const End &From) const -> bool {
    switch (m_Owner.m_Fault) {
    case LinkFault::Silence:
      return false;
    case LinkFault::CutRequests:
      return &From != &m_Requests;
    case LinkFault::CutAnswers:
      return &From != &m_Answers;
    default:
      return true;
    }
  }

  auto pumpLater(Duration Delay) -> void {
    later(Delay, [this] { pump(); });
  }

  // Ends are called from their own watchers, so the link goes a little later.
  auto finish() -> void {
    later(Duration::zero(), [this] { m_Owner.remove(this); });
  }

  auto fail() -> void {
    m_Reset = true;
    finish();
  }

  auto later(Duration Delay, std::function<void()> Step) -> void {
    m_Owner.m_Loop.schedule(Delay, [Alive = m_Alive, Step = std::move(Step)] {
      if (*Alive)
        Step();
    });
  }

  FaultProxy &m_Owner;
  bool m_Reset = false;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
  End m_Requests;
  End m_Answers;
};

FaultProxy::FaultProxy(EventLoop &Loop, std::string Target)
    : m_Loop(Loop), m_Target(std::move(Target)),
      m_Listener(listenOn(SocketAddress::parse("127.0.0.1:0"))),
      m_Watcher(std::make_unique<FdWatcher>(Loop, m_Listener.fd(), EV_READ,
                                            [this](int) { accept(); })) {}

FaultProxy::~FaultProxy() = default;

auto FaultProxy::address() const -> std::string {
  return boundAddress(m_Listener).text();
}

auto FaultProxy::accept() -> void {
  while (true) {
    auto Client = Socket(::accept4(m_Listener.fd(), nullptr, nullptr,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (Client.fd() < 0)
      return;
    if (m_Fault == LinkFault::Reset) {
      Client.resetOnClose();
      continue;
    }
    m_Links.push_back(std::make_unique<Link>(*this, std::move(Client)));
  }
}

auto FaultProxy::setFault(LinkFault Fault) -> void {
  m_Fault = Fault;
  if (Fault != LinkFault::Reset) {
    for (const auto &Current : m_Links)
      Current->pump();
    return;
  }
  for (const auto &Current : m_Links)
    Current->reset();
  m_Links.clear();
}

auto FaultProxy::remove(const Link *Ended) -> void {
  m_Links.remove_if(
      [Ended](const auto &Current) { return Current.get() == Ended; });
}

} // namespace dotterel::soak
