//===- EventLoop.h - The process's one event loop ---------------*- C++ -*-===//
///
/// \file
/// Owns the libev loop on which everything in a process runs.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_EVENTLOOP_H
#define DOTTEREL_IO_EVENTLOOP_H

#include "dotterel/base/Scheduler.h"

#include <ev.h>
#include <functional>
#include <memory>
#include <unordered_map>

namespace dotterel {

/// The libev loop and a Scheduler on top of it.
///
/// \invariant Each live timer id has exactly one active watcher.
class EventLoop final : public Scheduler {
public:
  /// \throws IoError 402 when libev cannot start.
  EventLoop();
  EventLoop(const EventLoop &) = delete;
  auto operator=(const EventLoop &) -> EventLoop & = delete;
  ~EventLoop() override;

  /// Time that also passes while the machine sleeps.
  [[nodiscard]] auto now() const -> MonotonicTime override;
  [[nodiscard]] auto wallNow() const -> WallTime override;
  auto schedule(Duration Delay, std::function<void()> Callback)
      -> TimerId override;
  auto cancel(TimerId Timer) -> void override;

  /// Runs until stop() is called.
  auto run() -> void;
  auto stop() -> void;

  /// Calls \p Callback on SIGTERM and SIGINT.
  auto onTermination(std::function<void()> Callback) -> void;

  /// Calls \p Callback on SIGHUP.
  auto onReload(std::function<void()> Callback) -> void;

  [[nodiscard]] auto raw() const -> struct ev_loop * { return m_Loop; }

private:
  struct TimerEntry;
  static auto onTimer(struct ev_loop *Loop, ev_timer *Watcher, int Events)
      -> void;
  static auto onSignal(struct ev_loop *Loop, ev_signal *Watcher, int Events)
      -> void;

  struct ev_loop *m_Loop;
  std::unordered_map<std::uint64_t, std::unique_ptr<TimerEntry>> m_Timers;
  std::uint64_t m_LastTimer = 0;
  ev_signal m_Terminate{};
  ev_signal m_Interrupt{};
  ev_signal m_HangUp{};
  std::function<void()> m_OnTermination;
  std::function<void()> m_OnReload;
};

/// Watches one file descriptor while it lives.
class FdWatcher {
public:
  /// Calls \p Callback with libev's event bits when \p Fd is ready.
  FdWatcher(EventLoop &Loop, int Fd, int Events,
            std::function<void(int)> Callback);
  FdWatcher(const FdWatcher &) = delete;
  auto operator=(const FdWatcher &) -> FdWatcher & = delete;
  ~FdWatcher();

  /// Starts or stops the watching; the watcher may be kept for reuse.
  auto enable(bool Enabled) -> void;

private:
  EventLoop &m_Loop;
  ev_io m_Watcher{};
  std::function<void(int)> m_Callback;
};

} // namespace dotterel

#endif // DOTTEREL_IO_EVENTLOOP_H
