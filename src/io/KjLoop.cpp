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

/// Number of kj turns in one iteration of the libev loop. Bounded, so that
/// promises cannot starve the other watchers.
constexpr auto MaxTurnsPerIteration = 200U;

/// Implements a kj stream over a non-blocking socket.
class SocketStream final : public kj::AsyncIoStream {
public:
  SocketStream(EventLoop &Loop, int Fd)
      : m_Fd(Fd), m_ReadWatcher(Loop, Fd, EV_READ, [this](int) { readable(); }),
        m_WriteWatcher(Loop, Fd, EV_WRITE, [this](int) { writable(); }) {
    m_ReadWatcher.enable(false);
    m_WriteWatcher.enable(false);
  }

  ~SocketStream() noexcept(false) {
    m_ReadWatcher.enable(false);
    m_WriteWatcher.enable(false);
    ::close(m_Fd);
  }

  auto tryRead(void *Buffer, std::size_t MinBytes, std::size_t MaxBytes)
      -> kj::Promise<std::size_t> override {
    return readMore(static_cast<char *>(Buffer), MinBytes, MaxBytes, 0);
  }

  auto write(const void *Buffer, std::size_t Size)
      -> kj::Promise<void> override {
    return writeMore(static_cast<const char *>(Buffer), Size);
  }

  auto write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> Pieces)
      -> kj::Promise<void> override {
    // The list of pieces is only valid during this call.
    auto Copy = kj::heap<std::vector<char>>();
    for (auto Piece : Pieces)
      Copy->insert(Copy->end(), Piece.begin(), Piece.end());
    auto *Data = Copy->data();
    return writeMore(Data, Copy->size()).attach(kj::mv(Copy));
  }

  auto whenWriteDisconnected() -> kj::Promise<void> override {
    return kj::NEVER_DONE;
  }

  auto shutdownWrite() -> void override { ::shutdown(m_Fd, SHUT_WR); }
  auto abortRead() -> void override { ::shutdown(m_Fd, SHUT_RD); }

private:
  auto readMore(char *Buffer, std::size_t MinBytes, std::size_t MaxBytes,
                std::size_t ReadBytes) -> kj::Promise<std::size_t> {
    while (ReadBytes < MaxBytes) {
      auto Count = ::read(m_Fd, Buffer + ReadBytes, MaxBytes - ReadBytes);
      if (Count > 0) {
        ReadBytes += static_cast<std::size_t>(Count);
        continue;
      }
      if (Count == 0)
        return ReadBytes;
      if (errno == EINTR)
        continue;
      if (errno != EAGAIN)
        return KJ_EXCEPTION(DISCONNECTED, "read failed", errno);
      break;
    }
    if (ReadBytes >= MinBytes)
      return ReadBytes;
    auto Pair = kj::newPromiseAndFulfiller<void>();
    m_ReadableFulfiller = kj::mv(Pair.fulfiller);
    m_ReadWatcher.enable(true);
    return Pair.promise.then([this, Buffer, MinBytes, MaxBytes, ReadBytes] {
      return readMore(Buffer, MinBytes, MaxBytes, ReadBytes);
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
      m_WritableFulfiller = kj::mv(Pair.fulfiller);
      m_WriteWatcher.enable(true);
      return Pair.promise.then(
          [this, Data, Size] { return writeMore(Data, Size); });
    }
    return kj::READY_NOW;
  }

  auto readable() -> void {
    m_ReadWatcher.enable(false);
    m_ReadableFulfiller->fulfill();
  }

  auto writable() -> void {
    m_WriteWatcher.enable(false);
    m_WritableFulfiller->fulfill();
  }

  int m_Fd;
  FdWatcher m_ReadWatcher;
  FdWatcher m_WriteWatcher;
  kj::Own<kj::PromiseFulfiller<void>> m_ReadableFulfiller;
  kj::Own<kj::PromiseFulfiller<void>> m_WritableFulfiller;
};

/// Returns a promise that resolves when a non-blocking connect has succeeded or
/// failed.
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
    if (Self->m_KjEventLoop != nullptr && Self->m_KjEventLoop->isRunnable())
      Self->m_KjEventLoop->run(MaxTurnsPerIteration);
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
  // An active idle watcher keeps libev from blocking while kj events are
  // pending.
  if (Runnable)
    ev_idle_start(m_Loop.raw(), &m_Idle);
  else
    ev_idle_stop(m_Loop.raw(), &m_Idle);
}

auto KjLoop::Port::attach(kj::EventLoop &KjEventLoop) -> void {
  m_KjEventLoop = &KjEventLoop;
}

KjLoop::KjLoop(EventLoop &Loop)
    : m_Loop(Loop), m_Port(Loop), m_KjEventLoop(m_Port),
      m_Scope(m_KjEventLoop) {
  m_Port.attach(m_KjEventLoop);
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
