//===- KjLoop.h - kj promises on the event loop -----------------*- C++ -*-===//
///
/// \file
/// Runs the event loop of kj, Cap'n Proto's base library, inside the libev
/// loop.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_KJLOOP_H
#define DOTTEREL_IO_KJLOOP_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/SocketAddress.h"

#include <kj/async-io.h>
#include <kj/async.h>

namespace dotterel {

/// Provides the kj event loop of this thread during its own lifetime, which kj
/// promises need.
class KjLoop {
public:
  explicit KjLoop(EventLoop &Loop);
  KjLoop(const KjLoop &) = delete;
  auto operator=(const KjLoop &) -> KjLoop & = delete;
  ~KjLoop() noexcept;

  [[nodiscard]] auto loop() -> EventLoop & { return m_Loop; }

  /// Returns a stream over the connected TCP socket \p Fd, which the stream
  /// closes when it is destroyed. Makes the socket non-blocking and disables
  /// Nagle's algorithm on it.
  auto wrap(int Fd) -> kj::Own<kj::AsyncIoStream>;

  /// Connects to \p Address. The promise is rejected with a kj exception of
  /// type DISCONNECTED when that fails.
  auto connect(const SocketAddress &Address)
      -> kj::Promise<kj::Own<kj::AsyncIoStream>>;

  /// Returns a promise that resolves after \p Delay.
  auto delay(Duration Delay) -> kj::Promise<void>;

private:
  class Port final : public kj::EventPort {
  public:
    explicit Port(EventLoop &Loop);
    ~Port();
    auto wait() -> bool override;
    auto poll() -> bool override;
    auto setRunnable(bool Runnable) -> void override;
    auto attach(kj::EventLoop &KjEventLoop) -> void;

  private:
    EventLoop &m_Loop;
    kj::EventLoop *m_KjEventLoop = nullptr;
    ev_idle m_Idle{};
    ev_prepare m_Prepare{};
  };

  EventLoop &m_Loop;
  Port m_Port;
  kj::EventLoop m_KjEventLoop;
  kj::WaitScope m_Scope;
};

} // namespace dotterel

#endif // DOTTEREL_IO_KJLOOP_H
