//===- EventLoop.h - Event loop of the process ------------------*- C++ -*-===//
///
/// \file
/// Declares the event loop, of which a process has one and on which all of its
/// code runs.
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

/// Owns a libev loop and implements Scheduler on it.
///
/// \invariant Each pending timer has exactly one active libev watcher.
class EventLoop final : public Scheduler {
public:
  /// Creates the libev loop and ignores SIGPIPE in the process.
  /// \throws IoError 402 when libev cannot create a loop.
  EventLoop();
  EventLoop(const EventLoop &) = delete;
  auto operator=(const EventLoop &) -> EventLoop & = delete;
  ~EventLoop() override;

  /// Returns the monotonic time, which also advances while the machine is
  /// suspended.
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
  std::uint64_t m_LastTimerId = 0;
  ev_signal m_TerminateWatcher{};
  ev_signal m_InterruptWatcher{};
  ev_signal m_HangUpWatcher{};
  std::function<void()> m_OnTermination;
  std::function<void()> m_OnReload;
};

/// Watches one file descriptor during its own lifetime. In each iteration of
/// the loop, the descriptors that were found ready are handled before the
/// timers that have expired.
class FdWatcher {
public:
  /// Starts to watch \p Fd for \p Events (EV_READ, EV_WRITE) and calls
  /// \p Callback with the libev event bits that are ready.
  FdWatcher(EventLoop &Loop, int Fd, int Events,
            std::function<void(int)> Callback);
  FdWatcher(const FdWatcher &) = delete;
  auto operator=(const FdWatcher &) -> FdWatcher & = delete;
  ~FdWatcher();

  /// Starts or stops watching. A stopped watcher can be started again.
  auto enable(bool Enabled) -> void;

private:
  EventLoop &m_Loop;
  ev_io m_Watcher{};
  std::function<void(int)> m_Callback;
};

} // namespace dotterel

#endif // DOTTEREL_IO_EVENTLOOP_H
