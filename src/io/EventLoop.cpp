#include "dotterel/io/EventLoop.h"

#include "dotterel/base/Errors.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <utility>

namespace dotterel {

struct EventLoop::TimerEntry {
  ev_timer m_Watcher;
  EventLoop *m_Owner;
  TimerId m_Id;
  std::function<void()> m_Callback;
};

EventLoop::EventLoop()
    : m_Loop(ev_loop_new(unsigned{EVFLAG_NOENV} | unsigned{EVBACKEND_EPOLL})) {
  if (m_Loop == nullptr)
    throw IoError(402, "libev cannot create an event loop");
  // A write to a connection that the peer has closed must fail with EPIPE and
  // not end the process.
  static_cast<void>(std::signal(SIGPIPE, SIG_IGN));
}

EventLoop::~EventLoop() {
  for (auto &[Id, Entry] : m_Timers)
    ev_timer_stop(m_Loop, &Entry->m_Watcher);
  if (m_OnTermination) {
    ev_signal_stop(m_Loop, &m_TerminateWatcher);
    ev_signal_stop(m_Loop, &m_InterruptWatcher);
  }
  if (m_OnReload)
    ev_signal_stop(m_Loop, &m_HangUpWatcher);
  ev_loop_destroy(m_Loop);
}

auto EventLoop::now() const -> MonotonicTime {
  auto Value = timespec{};
  // CLOCK_BOOTTIME also counts suspended time, so that a lease expires while
  // the machine is suspended.
  clock_gettime(CLOCK_BOOTTIME, &Value);
  return MonotonicTime(std::chrono::duration_cast<Duration>(
      Seconds(Value.tv_sec) + std::chrono::nanoseconds(Value.tv_nsec)));
}

auto EventLoop::wallNow() const -> WallTime {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::system_clock::now());
}

auto EventLoop::schedule(Duration Delay, std::function<void()> Callback)
    -> TimerId {
  auto Id = TimerId{++m_LastTimerId};
  auto Entry = std::make_unique<TimerEntry>();
  Entry->m_Owner = this;
  Entry->m_Id = Id;
  Entry->m_Callback = std::move(Callback);
  auto DelaySeconds =
      std::max(0.0, std::chrono::duration<double>(Delay).count());
  // libev starts timers from its cached time, which lags behind during a long
  // callback.
  ev_now_update(m_Loop);
  ev_timer_init(&Entry->m_Watcher, &EventLoop::onTimer, DelaySeconds, 0.0);
  Entry->m_Watcher.data = Entry.get();
  ev_timer_start(m_Loop, &Entry->m_Watcher);
  m_Timers.emplace(Id.number(), std::move(Entry));
  return Id;
}

auto EventLoop::cancel(TimerId Timer) -> void {
  auto Found = m_Timers.find(Timer.number());
  if (Found == m_Timers.end())
    return;
  ev_timer_stop(m_Loop, &Found->second->m_Watcher);
  m_Timers.erase(Found);
}

auto EventLoop::run() -> void { ev_run(m_Loop, 0); }

auto EventLoop::stop() -> void { ev_break(m_Loop, EVBREAK_ALL); }

auto EventLoop::onTermination(std::function<void()> Callback) -> void {
  m_OnTermination = std::move(Callback);
  ev_signal_init(&m_TerminateWatcher, &EventLoop::onSignal, SIGTERM);
  ev_signal_init(&m_InterruptWatcher, &EventLoop::onSignal, SIGINT);
  m_TerminateWatcher.data = this;
  m_InterruptWatcher.data = this;
  ev_signal_start(m_Loop, &m_TerminateWatcher);
  ev_signal_start(m_Loop, &m_InterruptWatcher);
}

auto EventLoop::onReload(std::function<void()> Callback) -> void {
  m_OnReload = std::move(Callback);
  ev_signal_init(&m_HangUpWatcher, &EventLoop::onSignal, SIGHUP);
  m_HangUpWatcher.data = this;
  ev_signal_start(m_Loop, &m_HangUpWatcher);
}

auto EventLoop::onTimer(struct ev_loop * /*Loop*/, ev_timer *Watcher,
                        int /*Events*/) -> void {
  auto *Entry = static_cast<TimerEntry *>(Watcher->data);
  auto Callback = std::move(Entry->m_Callback);
  Entry->m_Owner->m_Timers.erase(Entry->m_Id.number());
  Callback();
}

auto EventLoop::onSignal(struct ev_loop * /*Loop*/, ev_signal *Watcher,
                         int /*Events*/) -> void {
  auto &Self = *static_cast<EventLoop *>(Watcher->data);
  if (Watcher->signum == SIGHUP)
    Self.m_OnReload();
  else
    Self.m_OnTermination();
}

FdWatcher::FdWatcher(EventLoop &Loop, int Fd, int Events,
                     std::function<void(int)> Callback)
    : m_Loop(Loop), m_Callback(std::move(Callback)) {
  ev_io_init(
      &m_Watcher,
      [](struct ev_loop *, ev_io *Watcher, int Ready) {
        static_cast<FdWatcher *>(Watcher->data)->m_Callback(Ready);
      },
      Fd, Events);
  m_Watcher.data = this;
  // By default libev runs expired timers before the descriptors that became
  // ready with them. A timeout must not expire while the bytes it waits for lie
  // in the socket.
  ev_set_priority(&m_Watcher, EV_MAXPRI);
  ev_io_start(m_Loop.raw(), &m_Watcher);
}

FdWatcher::~FdWatcher() { ev_io_stop(m_Loop.raw(), &m_Watcher); }

auto FdWatcher::enable(bool Enabled) -> void {
  if (Enabled)
    ev_io_start(m_Loop.raw(), &m_Watcher);
  else
    ev_io_stop(m_Loop.raw(), &m_Watcher);
}

} // namespace dotterel
