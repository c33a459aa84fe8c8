#include "dotterel/io/KjLoop.h"

#include <cerrno>
#include <cstdint>
#include <fcntl.h>
#include <memory>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

#include <kj/debug.h>

namespace dotterel {

namespace {

/// Turns per pass, so that promises cannot starve the other watchers.
constexpr auto TurnsPerPass = 200U;

/// A stream over a non-blocking socket.
class SocketStream final : public kj::AsyncIoStream {
public:
  SocketStream(EventLoop &Loop, int Fd)
      : m_Fd(Fd), m_Reader(Loop, Fd, EV_READ, [this](int) { readable(); }),
        m_Writer(Loop, Fd, EV_WRITE, [this](int) { writable(); }) {
    m_Reader.enable(false);
    m_Writer.enable(false);
  }

  ~SocketStream() noexcept(false) {
    m_Reader.enable(false);
    m_Writer.enable(false);
    ::close(m_Fd);
  }

  auto tryRead(void *Buffer, std::size_t Least, std::size_t Most)
      -> kj::Promise<std::size_t> override {
    return readMore(static_cast<char *>(Buffer), Least, Most, 0);
  }

  auto write(const void *Buffer, std::size_t Size)
      -> kj::Promise<void> override {
    return writeMore(static_cast<const char *>(Buffer), Size);
  }

  auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces)
      -> kj::Promise<void> override {
    // Copied, since the list of pieces may end with this call.
    auto Joined = kj::heap<std::vector<char>>();
    for (auto Piece : Pieces)
      Joined->insert(Joined->end(), Piece.begin(), Piece.end());
    auto *Data = Joined->data();
    return writeMore(Data, Joined->size()).attach(kj::mv(Joined));
  }

  auto whenWriteDisconnected() -> kj::Promise<void> override {
    return kj::NEVER_DONE;
  }

  auto shutdownWrite() -> void override { ::shutdown(m_Fd, SHUT_WR); }
  auto abortRead() -> void override { ::shutdown(m_Fd, SHUT_RD); }

private:
  auto readMore(char *Buffer, std::size_t Least, std::size_t Most,
                std::size_t Got) -> kj::Promise<std::size_t> {
    while (Got < Most) {
      auto Count = ::read(m_Fd, Buffer + Got, Most - Got);
      if (Count > 0) {
        Got += static_cast<std::size_t>(Count);
        continue;
      }
      if (Count == 0)
        return Got;
      if (errno == EINTR)
        continue;
      if (errno != EAGAIN)
        return KJ_EXCEPTION(DISCONNECTED, "read failed", errno);
      break;
    }
    if (Got >= Least)
      return Got;
    auto Pair = kj::newPromiseAndFulfiller<void>();
    m_Readable = kj::mv(Pair.fulfiller);
    m_Reader.enable(true);
    return Pair.promise.then([this, Buffer, Least, Most, Got] {
      return readMore(Buffer, Least, Most, Got);
    });
  }

  auto writeMore(const char *Data, std::size_t Size) -> kj::Promise<void> {
    while (Size > 0) {
      auto Count = ::send(m_Fd, Data, Size, MSG_NOSIGNAL);
      if (Count >= 0) {
        Data += Count;
        Size -= static_cast<std::size_t>(Count);
        continue;
      }
      if (errno == EINTR)
        continue;
      if (errno != EAGAIN)
        return KJ_EXCEPTION(DISCONNECTED, "write failed", errno);
      auto Pair = kj::newPromiseAndFulfiller<void>();
      m_Writable = kj::mv(Pair.fulfiller);
      m_Writer.enable(true);
      return Pair.promise.then(
          [this, Data, Size] { return writeMore(Data, Size); });
    }
    return kj::READY_NOW;
  }

  auto readable() -> void {
    m_Reader.enable(false);
    m_Readable->fulfill();
  }

  auto writable() -> void {
    m_Writer.enable(false);
    m_Writable->fulfill();
  }

  int m_Fd;
  FdWatcher m_Reader;
  FdWatcher m_Writer;
  kj::Own<kj::PromiseFulfiller<void>> m_Readable;
  kj::Own<kj::PromiseFulfiller<void>> m_Writable;
};

/// Waits until a non-blocking connect has ended, one way or the other.
auto whenConnected(EventLoop &Loop, int Fd) -> kj::Promise<void> {
  auto Pair = kj::newPromiseAndFulfiller<void>();
  auto Fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
      kj::mv(Pair.fulfiller));
  auto Watcher = kj::heap<FdWatcher>(
      Loop, Fd, EV_WRITE, [Fulfiller](int) { (*Fulfiller)->fulfill(); });
  return Pair.promise.attach(kj::mv(Watcher));
}

} // namespace

KjLoop::Port::Port(EventLoop &Loop) : m_Loop(Loop) {
  ev_idle_init(&m_Idle, [](struct ev_loop *, ev_idle *, int) {});
  ev_prepare_init(&m_Prepare, [](struct ev_loop *, ev_prepare *Watcher, int) {
    auto *Self = static_cast<Port *>(Watcher->data);
    if (Self->m_Guest != nullptr && Self->m_Guest->isRunnable())
      Self->m_Guest->run(TurnsPerPass);
  });
  m_Prepare.data = this;
  ev_prepare_start(m_Loop.raw(), &m_Prepare);
}

KjLoop::Port::~Port() {
  ev_prepare_stop(m_Loop.raw(), &m_Prepare);
  ev_idle_stop(m_Loop.raw(), &m_Idle);
}

auto KjLoop::Port::wait() -> bool {
  ev_run(m_Loop.raw(), EVRUN_ONCE);
  return false;
}

auto KjLoop::Port::poll() -> bool {
  ev_run(m_Loop.raw(), EVRUN_NOWAIT);
  return false;
}

auto KjLoop::Port::setRunnable(bool Runnable) -> void {
  // An active idle watcher keeps libev from sleeping while promises are due.
  if (Runnable)
    ev_idle_start(m_Loop.raw(), &m_Idle);
  else
    ev_idle_stop(m_Loop.raw(), &m_Idle);
}

auto KjLoop::Port::attach(kj::EventLoop &Guest) -> void { m_Guest = &Guest; }

KjLoop::KjLoop(EventLoop &Loop)
    : m_Loop(Loop), m_Port(Loop), m_Guest(m_Port), m_Scope(m_Guest) {
  m_Port.attach(m_Guest);
}

KjLoop::~KjLoop() noexcept = default;

auto KjLoop::wrap(int Fd) -> kj::Own<kj::AsyncIoStream> {
  ::fcntl(Fd, F_SETFL, ::fcntl(Fd, F_GETFL) | O_NONBLOCK);
  auto One = 1;
  ::setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &One, sizeof One);
  return kj::heap<SocketStream>(m_Loop, Fd);
}

auto KjLoop::connect(const SocketAddress &Address)
    -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
  auto Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Fd < 0)
    return KJ_EXCEPTION(DISCONNECTED, "no socket", errno);
  auto Raw = Address.raw();
  auto Result =
      ::connect(Fd, reinterpret_cast<const sockaddr *>(&Raw), sizeof Raw);
  if (Result != 0 && errno != EINPROGRESS) {
    ::close(Fd);
    return KJ_EXCEPTION(DISCONNECTED, "connect failed", errno);
  }
  return whenConnected(m_Loop, Fd)
      .then([this, Fd]() -> kj::Promise<kj::Own<kj::AsyncIoStream>> {
        auto Error = 0;
        auto Size = socklen_t{sizeof Error};
        ::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Error, &Size);
        if (Error == 0)
          return wrap(Fd);
        ::close(Fd);
        return KJ_EXCEPTION(DISCONNECTED, "connect failed", Error);
      });
}

auto KjLoop::delay(Duration Delay) -> kj::Promise<void> {
  auto Pair = kj::newPromiseAndFulfiller<void>();
  auto Fulfiller = std::make_shared<kj::Own<kj::PromiseFulfiller<void>>>(
      kj::mv(Pair.fulfiller));
  auto Timer = m_Loop.schedule(Delay, [Fulfiller] { (*Fulfiller)->fulfill(); });
  return Pair.promise.attach(
      kj::defer([this, Timer] { m_Loop.cancel(Timer); }));
}

} // namespace dotterel
