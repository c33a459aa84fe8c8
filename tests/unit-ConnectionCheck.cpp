#include "dotterel/io/ConnectionCheck.h"
#include "dotterel/io/Socket.h"

#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <poll.h>
#include <string>

using namespace dotterel;

namespace {

const auto AnyPort = SocketAddress::parse("127.0.0.1:0");

/// Runs the check until it has ended.
auto accepts(const std::string &Address, Duration Timeout) -> bool {
  auto Loop = EventLoop();
  auto Checker = ConnectionChecker(Loop);
  auto Result = std::optional<bool>();
  Checker.check(Address, Timeout, [&](bool Accepted) {
    Result = Accepted;
    Loop.stop();
  });
  CHECK_FALSE(Result);
  Loop.run();
  CHECK(Checker.pending() == 0);
  return Result.value();
}

} // namespace

TEST_CASE("connection check: a listening socket accepts, a closed port does "
          "not") {
  auto Listener = listenOn(AnyPort);
  auto Address = boundAddress(Listener).text();
  CHECK(accepts(Address, Seconds(10)));
  Listener = Socket();
  CHECK_FALSE(accepts(Address, Seconds(10)));
}

TEST_CASE("connection check: a check that cannot be started does not report a "
          "server as lost") {
  CHECK(accepts("nowhere", Seconds(10)));
}

// Guards against taking a server for lost because this process was paused: the
// time is over, but the connection was established.
TEST_CASE("connection check: an established connection counts although the "
          "time is over") {
  auto Listener = listenOn(AnyPort);
  auto Loop = EventLoop();
  auto Checker = ConnectionChecker(Loop);
  auto Result = std::optional<bool>();
  Checker.check(boundAddress(Listener).text(), Duration::zero(),
                [&](bool Accepted) {
                  Result = Accepted;
                  Loop.stop();
                });
  auto Entry = pollfd{.fd = Listener.fd(), .events = POLLIN};
  REQUIRE(::poll(&Entry, 1, -1) == 1);
  Loop.run();
  CHECK(Result.value());
}

TEST_CASE("connection check: checks are dropped with their owner, also inside "
          "a callback") {
  auto Listener = listenOn(AnyPort);
  auto Address = boundAddress(Listener).text();
  auto Loop = EventLoop();
  auto Checker = std::make_unique<ConnectionChecker>(Loop);
  auto Calls = 0;
  for (auto Index = 0; Index < 3; ++Index)
    Checker->check(Address, Seconds(10), [&](bool) {
      ++Calls;
      Checker.reset();
      // Ends after everything that is already due.
      Loop.schedule(Milliseconds(1), [&] { Loop.stop(); });
    });
  Loop.run();
  CHECK(Calls == 1);
}
