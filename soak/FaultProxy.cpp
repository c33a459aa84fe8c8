#include "FaultProxy.h"

#include <array>
#include <cerrno>
#include <deque>
#include <sys/socket.h>
#include <utility>

namespace dotterel::soak {

namespace {

/// Delay that LinkFault::Delay adds to each block of bytes; well below the
/// deadlines of the soak's callers.
constexpr auto ExtraDelay = Milliseconds(150);
/// Maximum bytes of one read.
constexpr auto ReadBufferBytes = std::size_t{16384};
/// Maximum bytes buffered for one direction; above it the proxy stops reading
/// from the sender.
constexpr auto MaxBufferedBytes = std::size_t{1} << 20U;

auto isRefusal(const std::string &Bytes) -> bool {
  return Bytes.starts_with("HTTP/1.1 421 ") ||
         Bytes.starts_with("HTTP/1.1 503 ");
}

} // namespace

auto linkFaultName(LinkFault Fault) -> const char * {
  switch (Fault) {
  case LinkFault::None:
    return "none";
  case LinkFault::Delay:
    return "delay";
  case LinkFault::DropAll:
    return "silence";
  case LinkFault::DropRequests:
    return "cut-requests";
  case LinkFault::DropResponses:
    return "cut-answers";
  case LinkFault::Reset:
    return "reset";
  }
  return "";
}

/// A forwarded connection: two sockets and the bytes buffered between them.
class FaultProxy::Connection {
public:
  Connection(FaultProxy &Owner, Socket Client)
      : m_Owner(Owner), m_Requests(*this, std::move(Client)),
        m_Responses(*this, beginConnect(SocketAddress::parse(Owner.m_Target))) {
    m_Requests.m_Peer = &m_Responses;
    m_Responses.m_Peer = &m_Requests;
  }
  ~Connection() {
    *m_AliveFlag = false;
    if (!m_Reset)
      return;
    m_Requests.m_Socket.resetOnClose();
    m_Responses.m_Socket.resetOnClose();
  }
  Connection(const Connection &) = delete;
  auto operator=(const Connection &) -> Connection & = delete;

  auto reset() -> void { m_Reset = true; }

  /// Sends the buffered bytes that are due, unless the fault holds them back.
  auto forwardBuffered() -> void {
    m_Requests.forwardBuffered();
    m_Responses.forwardBuffered();
  }

private:
  struct Piece {
    std::string m_Bytes;
    MonotonicTime m_DueAt;
  };

  /// One end of the connection, with the bytes that were read from it and not
  /// yet sent to its peer.
  struct End {
    End(Connection &Owner, Socket Own)
        : m_Connection(Owner), m_Socket(std::move(Own)),
          m_Reader(Owner.m_Owner.m_Loop, m_Socket.fd(), EV_READ,
                   [this](int) { readable(); }),
          m_Writer(Owner.m_Owner.m_Loop, m_Socket.fd(), EV_WRITE,
                   [this](int) { m_Peer->forwardBuffered(); }) {
      m_Writer.enable(false);
    }

    auto readable() -> void {
      auto Block = std::array<char, ReadBufferBytes>();
      auto Count = ::recv(m_Socket.fd(), Block.data(), Block.size(), 0);
      if (Count < 0 && (errno == EAGAIN || errno == EINTR))
        return;
      if (Count < 0) {
        m_Connection.fail();
        return;
      }
      m_Reader.enable(Count > 0 && m_BufferedBytes < MaxBufferedBytes);
      m_EndOfInput = Count == 0;
      auto Now = m_Connection.m_Owner.m_Loop.now();
      auto Delayed = m_Connection.m_Owner.m_Fault == LinkFault::Delay;
      if (Count > 0) {
        auto Bytes = std::string(Block.data(), static_cast<std::size_t>(Count));
        m_Connection.copyRefusal(*this, Bytes);
        buffer(std::move(Bytes), Delayed ? Now + ExtraDelay : Now);
      }
      forwardBuffered();
    }

    auto buffer(std::string Bytes, MonotonicTime DueAt) -> void {
      m_BufferedBytes += Bytes.size();
      m_Buffered.push_back({.m_Bytes = std::move(Bytes), .m_DueAt = DueAt});
    }

    auto forwardBuffered() -> void {
      if (!m_Connection.forwards(*this))
        return;
      auto Now = m_Connection.m_Owner.m_Loop.now();
      while (!m_Buffered.empty()) {
        auto &Next = m_Buffered.front();
        if (Next.m_DueAt > Now) {
          m_Connection.forwardLater(Next.m_DueAt - Now);
          return;
        }
        auto Sent = ::send(m_Peer->m_Socket.fd(), Next.m_Bytes.data(),
                           Next.m_Bytes.size(), MSG_NOSIGNAL);
        if (Sent < 0 && (errno == EAGAIN || errno == ENOTCONN)) {
          m_Peer->m_Writer.enable(true);
          return;
        }
        if (Sent < 0) {
          m_Connection.fail();
          return;
        }
        m_BufferedBytes -= static_cast<std::size_t>(Sent);
        Next.m_Bytes.erase(0, static_cast<std::size_t>(Sent));
        if (Next.m_Bytes.empty())
          m_Buffered.pop_front();
      }
      m_Peer->m_Writer.enable(false);
      m_Reader.enable(!m_EndOfInput);
      if (m_EndOfInput)
        m_Connection.finish();
    }

    Connection &m_Connection;
    Socket m_Socket;
    End *m_Peer = nullptr;
    std::deque<Piece> m_Buffered;
    std::size_t m_BufferedBytes = 0;
    bool m_EndOfInput = false;
    FdWatcher m_Reader;
    FdWatcher m_Writer;
  };

  [[nodiscard]] auto forwards(const End &From) const -> bool {
    switch (m_Owner.m_Fault) {
    case LinkFault::DropAll:
      return false;
    case LinkFault::DropRequests:
      return &From != &m_Requests;
    case LinkFault::DropResponses:
      return &From != &m_Responses;
    default:
      return true;
    }
  }

  /// Keeps a refusal among the bytes from the target, and sends it again when
  /// the next request arrives.
  auto copyRefusal(const End &From, const std::string &Bytes) -> void {
    if (&From == &m_Responses) {
      if (m_Owner.m_CopiesRefusal && isRefusal(Bytes) &&
          m_Owner.m_CopiesRefusal())
        m_RefusalCopy = Bytes;
      return;
    }
    if (m_RefusalCopy.empty())
      return;
    ++m_Owner.m_CopiedRefusals;
    m_Responses.buffer(std::exchange(m_RefusalCopy, {}), m_Owner.m_Loop.now());
    m_Responses.forwardBuffered();
  }

  auto forwardLater(Duration Delay) -> void {
    scheduleIfAlive(Delay, [this] { forwardBuffered(); });
  }

  // Called from an end's own watcher, so the connection is destroyed by a later
  // event.
  auto finish() -> void {
    scheduleIfAlive(Duration::zero(), [this] { m_Owner.remove(this); });
  }

  auto fail() -> void {
    m_Reset = true;
    finish();
  }

  auto scheduleIfAlive(Duration Delay, std::function<void()> Step) -> void {
    m_Owner.m_Loop.schedule(Delay,
                            [Alive = m_AliveFlag, Step = std::move(Step)] {
                              if (*Alive)
                                Step();
                            });
  }

  FaultProxy &m_Owner;
  bool m_Reset = false;
  std::string m_RefusalCopy; ///< Empty: none to send.
  std::shared_ptr<bool> m_AliveFlag = std::make_shared<bool>(true);
  End m_Requests;
  End m_Responses;
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
    m_Connections.push_back(
        std::make_unique<Connection>(*this, std::move(Client)));
  }
}

auto FaultProxy::setFault(LinkFault Fault) -> void {
  m_Fault = Fault;
  if (Fault != LinkFault::Reset) {
    for (const auto &Current : m_Connections)
      Current->forwardBuffered();
    return;
  }
  resetConnections();
}

auto FaultProxy::resetConnections() -> void {
  for (const auto &Current : m_Connections)
    Current->reset();
  m_Connections.clear();
}

auto FaultProxy::remove(const Connection *Closed) -> void {
  m_Connections.remove_if(
      [Closed](const auto &Current) { return Current.get() == Closed; });
}

} // namespace dotterel::soak
