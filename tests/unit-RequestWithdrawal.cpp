#include "support/ByteServer.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <sys/socket.h>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto BodyBytes = 256 * KibiByte;

/// A server that accepts a connection and reads from it only when it is told
/// to, as one does whose link is slow. Its receive window is small.
class StalledServer {
public:
  StalledServer() : m_Listener(listenOn(SocketAddress::parse("127.0.0.1:0"))) {
    auto Bytes = 4096;
    ::setsockopt(m_Listener.fd(), SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof Bytes);
  }

  [[nodiscard]] auto url() const -> std::string {
    return "http://" + boundAddress(m_Listener).text() + "/";
  }

  /// Returns the number of bytes that arrive until the connection ends.
  auto readAll() -> std::size_t {
    auto Peer = Socket(::accept(m_Listener.fd(), nullptr, nullptr));
    REQUIRE(Peer.fd() >= 0);
    auto Limit = timeval{.tv_sec = 10};
    ::setsockopt(Peer.fd(), SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
    auto Buffer = std::array<char, 4096>();
    auto Total = std::size_t{0};
    while (true) {
      auto Count = ::recv(Peer.fd(), Buffer.data(), Buffer.size(), 0);
      CHECK((Count >= 0 || errno == ECONNRESET));
      if (Count <= 0)
        return Total;
      Total += static_cast<std::size_t>(Count);
    }
  }

private:
  Socket m_Listener;
};

auto makeClient(EventLoop &Loop, bool Pooled) -> std::unique_ptr<HttpClient> {
  return Pooled ? makePooledHttpClient(Loop, {}) : makeHttpClient(Loop);
}

auto runFor(EventLoop &Loop, Duration Time) -> void {
  Loop.schedule(Time, [&Loop] { Loop.stop(); });
  Loop.run();
}

} // namespace

// Guards against requests that reach their server long after they were
// cancelled, because the system goes on to send what a closed socket has
// buffered.
TEST_CASE("http clients: what has not been sent of a request is withdrawn when "
          "its call is cancelled or times out") {
  for (auto Pooled : {true, false})
    for (auto Cancels : {true, false}) {
      CAPTURE(Pooled);
      CAPTURE(Cancels);
      auto Loop = EventLoop();
      auto Server = StalledServer();
      auto Client = makeClient(Loop, Pooled);
      auto Ended = false;
      auto Id = Client->start(
          {.m_Method = "POST",
           .m_Url = Server.url(),
           .m_Body = std::string(BodyBytes, 'x'),
           .m_Timeout = Cancels ? Duration(Seconds(30)) : Milliseconds(100),
           .m_OnDone = [&Ended](const HttpCallResult & /*Result*/) {
             Ended = true;
           }});
      runFor(Loop, Milliseconds(50));
      if (Cancels)
        Client->cancel(Id);
      else
        while (!Ended)
          runFor(Loop, Milliseconds(10));
      CHECK(Server.readAll() < BodyBytes / 2);
    }
}
