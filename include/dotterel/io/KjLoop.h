//===- KjLoop.h - Cap'n Proto's promises on the event loop ------*- C++ -*-===//
///
/// \file
/// Runs kj's event loop as a guest of the libev loop.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_KJLOOP_H
#define DOTTEREL_IO_KJLOOP_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/SocketAddress.h"

#include <kj/async-io.h>
#include <kj/async.h>

namespace dotterel {

/// Makes kj promises usable on this thread while it lives.
class KjLoop {
public:
  explicit KjLoop(EventLoop &Loop);
  KjLoop(const KjLoop &) = delete;
  auto operator=(const KjLoop &) -> KjLoop & = delete;
  ~KjLoop() noexcept;

  [[nodiscard]] auto loop() -> EventLoop & { return m_Loop; }

  /// A stream over \p Fd, which it closes at its end.
  auto wrap(int Fd) -> kj::Own<kj::AsyncIoStream>;

  /// Connects; fails with a kj exception of type DISCONNECTED.
  auto connect(const SocketAddress &Address)
      -> kj::Promise<kj::Own<kj::AsyncIoStream>>;

  /// Resolves after \p Delay.
  auto delay(Duration Delay) -> kj::Promise<void>;

private:
  class Port final : public kj::EventPort {
  public:
    explicit Port(EventLoop &Loop);
    ~Port();
    auto wait() -> bool override;
    auto poll() -> bool override;
    auto setRunnable(bool Runnable) -> void override;
    auto attach(kj::EventLoop &Guest) -> void;

  private:
    EventLoop &m_Loop;
    kj::EventLoop *m_Guest = nullptr;
    ev_idle m_Idle{};
    ev_prepare m_Prepare{};
  };

  EventLoop &m_Loop;
  Port m_Port;
  kj::EventLoop m_Guest;
  kj::WaitScope m_Scope;
};

} // namespace dotterel

#endif // DOTTEREL_IO_KJLOOP_H
