#include "dotterel/io/ConnectionCheck.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/io/Socket.h"

#include <optional>
#include <poll.h>
#include <sys/socket.h>
#include <utility>

namespace dotterel {

namespace {

/// Returns whether the connect has ended without an error.
auto connected(int Fd) -> bool {
  auto Failure = 0;
  auto Size = socklen_t{sizeof(Failure)};
  return ::getsockopt(Fd, SOL_SOCKET, SO_ERROR, &Failure, &Size) == 0 &&
         Failure == 0;
}

auto writable(int Fd) -> bool {
  auto Entry = pollfd{.fd = Fd, .events = POLLOUT};
  return ::poll(&Entry, 1, 0) > 0;
}

} // namespace

struct ConnectionChecker::Check {
  Check(EventLoop &Loop, std::function<void(bool)> Done)
      : m_Loop(Loop), m_Done(std::move(Done)) {}
  Check(const Check &) = delete;
  auto operator=(const Check &) -> Check & = delete;
  ~Check() {
    if (m_Timer)
      m_Loop.cancel(*m_Timer);
  }

  EventLoop &m_Loop;
  std::function<void(bool)> m_Done;
  Socket m_Socket;
  std::optional<FdWatcher> m_Watcher; ///< Destroyed before the socket.
  std::optional<TimerId> m_Timer;
};

ConnectionChecker::ConnectionChecker(EventLoop &Loop) : m_Loop(Loop) {}
ConnectionChecker::~ConnectionChecker() = default;

auto ConnectionChecker::check(const std::string &Address, Duration Timeout,
                              std::function<void(bool)> Done) -> void {
  auto Id = ++m_LastId;
  auto &Item =
      *m_Checks.emplace(Id, std::make_unique<Check>(m_Loop, std::move(Done)))
           .first->second;
  try {
    Item.m_Socket = beginConnect(SocketAddress::parse(Address));
  } catch (const Error &Failure) {
    logWarning("io.check-not-started",
               {{"address", Address}, {"reason", Failure.what()}});
    finishLater(Id, true);
    return;
  }
  auto Fd = Item.m_Socket.fd();
  Item.m_Watcher.emplace(m_Loop, Fd, EV_WRITE, [this, Id, Fd](int) {
    finishLater(Id, connected(Fd));
  });
  // After a pause of the process, the timer may run before the watcher although
  // the connection was established in time.
  Item.m_Timer = m_Loop.schedule(
      Timeout, [this, Id, Fd] { finish(Id, writable(Fd) && connected(Fd)); });
}

auto ConnectionChecker::finishLater(std::uint64_t Id, bool Accepted) -> void {
  // The watcher may not be destroyed inside its own callback.
  auto &Item = *m_Checks.at(Id);
  if (Item.m_Watcher)
    Item.m_Watcher->enable(false);
  if (Item.m_Timer)
    m_Loop.cancel(*Item.m_Timer);
  Item.m_Timer = m_Loop.schedule(
      Duration::zero(), [this, Id, Accepted] { finish(Id, Accepted); });
}

auto ConnectionChecker::finish(std::uint64_t Id, bool Accepted) -> void {
  auto Ended = std::move(m_Checks.extract(Id).mapped());
  auto Done = std::move(Ended->m_Done);
  Ended.reset();
  Done(Accepted);
}

} // namespace dotterel
