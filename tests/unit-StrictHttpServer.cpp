#include "dotterel/io/EventLoop.h"
#include "dotterel/io/PooledHttpClient.h"
#include "dotterel/io/Socket.h"
#include "dotterel/io/StrictHttpServer.h"

#include <array>
#include <doctest/doctest.h>
#include <linux/filter.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace dotterel;

namespace {

/// More than the buffers of a loopback connection hold.
constexpr auto LargeBodyBytes = std::size_t{32} << 20U;

/// Responds to each request with its path, to /large with a large body, and to
/// /stream with the head of a response at once.
class EchoHandler final : public HttpHandler {
public:
  explicit EchoHandler(EventLoop &Loop) : m_Loop(Loop) {}

  auto handle(HttpExchangePtr Exchange) -> void override {
    auto Body = Exchange->request().m_Path;
    if (Body == "/large")
      Body.assign(LargeBodyBytes, 'x');
    if (Body == "/stream") {
      Exchange->startStream(200, {});
      m_Loop.schedule(m_Delay, [Exchange, Body] {
        Exchange->write(Body);
        Exchange->finish();
      });
      return;
    }
    m_Loop.schedule(m_Delay, [Exchange, Body] {
      Exchange->respond({.m_Status = 200, .m_Body = Body});
    });
  }
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

  Duration m_Delay = Duration::zero();

private:
  EventLoop &m_Loop;
};

/// Keeps the last exchange and does not respond.
class HoldingHandler final : public HttpHandler {
public:
  auto handle(HttpExchangePtr Exchange) -> void override {
    m_Held = std::move(Exchange);
  }
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

  HttpExchangePtr m_Held;
};

/// A server on the loopback interface, whose loop runs only when the test says
/// so: meanwhile the process is busy.
struct Server {
  explicit Server(const CallerLimits &Limits = {})
      : m_Handler(m_Loop),
        m_Server(m_Loop, m_Handler,
                 {.m_Address = SocketAddress::parse("127.0.0.1:0"),
                  .m_Limits = Limits}) {}

  auto runFor(Duration Time) -> void {
    m_Loop.schedule(Time, [this] { m_Loop.stop(); });
    m_Loop.run();
  }

  EventLoop m_Loop;
  EchoHandler m_Handler;
  StrictHttpServer m_Server;
};

/// Makes a socket drop all packets that arrive from now on.
auto dropPackets(int Fd) -> void {
  auto Drop = sock_filter{.code = BPF_RET | BPF_K, .jt = 0, .jf = 0, .k = 0};
  auto Program = sock_fprog{.len = 1, .filter = &Drop};
  REQUIRE(::setsockopt(Fd, SOL_SOCKET, SO_ATTACH_FILTER, &Program,
                       sizeof(Program)) == 0);
}

/// A blocking connection of a caller.
class Caller {
public:
  explicit Caller(Server &Target, int ReceiveBufferBytes = 0)
      : m_Target(Target), m_Fd(::socket(AF_INET, SOCK_STREAM, 0)) {
    if (ReceiveBufferBytes > 0)
      REQUIRE(::setsockopt(m_Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
                           sizeof(ReceiveBufferBytes)) == 0);
    auto Raw = Target.m_Server.address().raw();
    REQUIRE(::connect(m_Fd, reinterpret_cast<const sockaddr *>(&Raw),
                      sizeof(Raw)) == 0);
  }
  Caller(const Caller &) = delete;
  auto operator=(const Caller &) -> Caller & = delete;
  ~Caller() { ::close(m_Fd); }

  auto send(const std::string &Bytes) const -> void {
    REQUIRE(::send(m_Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  auto request(const std::string &Path) const -> void {
    send("GET " + Path + " HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  /// Runs the server for a while and returns what has arrived by then.
  auto received() -> std::string {
    m_Target.runFor(Milliseconds(50));
    auto Text = std::string();
    auto Buffer = std::array<char, 65536>();
    while (true) {
      auto Count = ::recv(m_Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Count <= 0)
        return Text;
      Text.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
  }
  /// Returns how many of at most \p Limit bytes have arrived.
  [[nodiscard]] auto take(std::size_t Limit) const -> std::size_t {
    auto Buffer = std::vector<char>(Limit);
    auto Count = ::recv(m_Fd, Buffer.data(), Limit, MSG_DONTWAIT);
    return Count > 0 ? static_cast<std::size_t>(Count) : 0;
  }
  /// Drops all packets that arrive from now on, like a host that has vanished.
  auto vanish() const -> void { dropPackets(m_Fd); }
  /// Returns whether the server has ended the connection.
  auto ended() -> bool {
    m_Target.runFor(Milliseconds(50));
    auto Byte = '\0';
    auto Count = ::recv(m_Fd, &Byte, 1, MSG_DONTWAIT);
    return Count == 0 || (Count < 0 && errno == ECONNRESET);
  }

private:
  Server &m_Target;
  int m_Fd;
};

/// Responds once to whatever arrives on its only connection.
class OneResponseServer {
public:
  OneResponseServer() : m_Listener(::socket(AF_INET, SOCK_STREAM, 0)) {
    auto Address = SocketAddress::parse("127.0.0.1:0").raw();
    auto Size = socklen_t{sizeof(Address)};
    auto *Raw = reinterpret_cast<sockaddr *>(&Address);
    REQUIRE(::bind(m_Listener, Raw, Size) == 0);
    REQUIRE(::listen(m_Listener, 1) == 0);
    REQUIRE(::getsockname(m_Listener, Raw, &Size) == 0);
    m_Port = ntohs(Address.sin_port);
  }
  OneResponseServer(const OneResponseServer &) = delete;
  auto operator=(const OneResponseServer &) -> OneResponseServer & = delete;
  ~OneResponseServer() {
    ::close(m_Listener);
    ::close(m_Peer);
  }

  /// Makes the receive buffer of the connection small.
  auto setReceiveBuffer(int Bytes) const -> void {
    REQUIRE(::setsockopt(m_Listener, SOL_SOCKET, SO_RCVBUF, &Bytes,
                         sizeof(Bytes)) == 0);
  }
  /// Waits for a connection, but reads nothing.
  auto accept() -> void { m_Peer = ::accept(m_Listener, nullptr, nullptr); }
  /// Reads what has arrived, and returns how many bytes.
  auto take() const -> std::size_t {
    auto Buffer = std::vector<char>(std::size_t{1} << 20U);
    auto Count = ::recv(m_Peer, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
    return Count > 0 ? static_cast<std::size_t>(Count) : 0;
  }
  auto send(const std::string &Bytes) const -> void {
    REQUIRE(::send(m_Peer, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  /// Drops all packets that arrive from now on, like a host that has vanished.
  auto vanish() const -> void { dropPackets(m_Peer); }

  /// Waits for a connection and its request, and responds.
  auto respond(const std::string &Bytes) -> void {
    m_Peer = ::accept(m_Listener, nullptr, nullptr);
    auto Buffer = std::array<char, 4096>();
    REQUIRE(::recv(m_Peer, Buffer.data(), Buffer.size(), 0) > 0);
    REQUIRE(::send(m_Peer, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(Bytes.size()));
  }
  [[nodiscard]] auto url() const -> std::string {
    return "http://127.0.0.1:" + std::to_string(m_Port) + "/";
  }

private:
  int m_Listener;
  int m_Peer = -1;
  unsigned m_Port = 0;
};

auto contains(const std::string &Text, const std::string &Part) -> bool {
  return Text.find(Part) != std::string::npos;
}

} // namespace

// Guards against a request that gets neither a response nor a refusal: it
// arrived while the process was busy, and its connection was closed as idle
// before the request was read.
TEST_CASE("strict server: a request that has arrived is served though its "
          "connection is closed as idle by a graceful stop") {
  auto Test = Server();
  auto Kept = Caller(Test);
  Kept.request("/first");
  CHECK(contains(Kept.received(), "/first"));
  Kept.request("/second");
  Test.m_Server.closeIdle();
  CHECK(contains(Kept.received(), "/second"));
  // Connections without a request are closed.
  auto Idle = Caller(Test);
  CHECK_FALSE(Idle.ended());
  Test.m_Server.closeIdle();
  CHECK(Idle.ended());
}

// Guards against requests that arrive on a connection after the server has
// closed the idle ones: its response was in progress then, and had begun
// without "Connection: close".
TEST_CASE("strict server: a connection that is busy when idle ones are closed "
          "is closed when its response ends") {
  auto Test = Server();
  Test.m_Handler.m_Delay = Milliseconds(200);
  auto Busy = Caller(Test);
  auto WithNext = Caller(Test);
  Busy.request("/stream");
  WithNext.request("/stream");
  Test.runFor(Milliseconds(50));
  Test.m_Server.closeAfterResponses();
  Test.m_Server.closeIdle();
  // A request that has arrived by the end of the response gets one itself.
  WithNext.request("/next");
  Test.runFor(Milliseconds(200));
  auto Response = Busy.received();
  CHECK(contains(Response, "/stream"));
  CHECK_FALSE(contains(Response, "Connection: close"));
  CHECK(Busy.ended());
  Test.runFor(Milliseconds(200));
  Response = WithNext.received();
  CHECK(contains(Response, "/next"));
  CHECK(contains(Response, "Connection: close"));
  CHECK(WithNext.ended());
  CHECK(Test.m_Server.busyConnections() == 0);
}

// Guards against a response that is sent on a connection whose server was
// destroyed.
TEST_CASE("strict server: an exchange outlives its server") {
  auto Loop = EventLoop();
  auto Handler = HoldingHandler();
  auto Listening = std::make_unique<StrictHttpServer>(
      Loop, Handler,
      StrictHttpServerOptions{.m_Address =
                                  SocketAddress::parse("127.0.0.1:0")});
  auto Fd = ::socket(AF_INET, SOCK_STREAM, 0);
  auto Raw = Listening->address().raw();
  REQUIRE(::connect(Fd, reinterpret_cast<const sockaddr *>(&Raw),
                    sizeof(Raw)) == 0);
  const auto Request = std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  REQUIRE(::send(Fd, Request.data(), Request.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Request.size()));
  Loop.schedule(Milliseconds(50), [&] { Loop.stop(); });
  Loop.run();
  REQUIRE(Handler.m_Held);
  auto Disconnects = 0;
  Handler.m_Held->onDisconnect([&] { ++Disconnects; });
  Listening.reset();
  CHECK(Disconnects == 1);
  Handler.m_Held->respond({.m_Body = "late"});
  auto Byte = '\0';
  CHECK(::recv(Fd, &Byte, 1, MSG_DONTWAIT) <= 0);
  ::close(Fd);
}

// The same fault, with the idle timeout: after a busy period the timeouts are
// checked before the sockets are read.
TEST_CASE("strict server: a request that arrived in time is served though the "
          "idle timeout has expired before it is read") {
  auto Test = Server({.m_IdleTimeout = Milliseconds(300)});
  auto Kept = Caller(Test);
  Kept.request("/first");
  CHECK(contains(Kept.received(), "/first"));
  Kept.request("/second");
  std::this_thread::sleep_for(Milliseconds(600));
  CHECK(contains(Kept.received(), "/second"));
  Test.runFor(Milliseconds(700));
  CHECK(Kept.ended());
}

// The same fault, with the rest of a request.
TEST_CASE("strict server: a request whose rest arrived in time is served "
          "though the header timeout has expired before it is read") {
  auto Test = Server({.m_HeaderTimeout = Milliseconds(300)});
  auto Slow = Caller(Test);
  Slow.send("GET /slow HTTP/1.1\r\n");
  CHECK(Slow.received().empty());
  Slow.send("Host: h\r\n\r\n");
  std::this_thread::sleep_for(Milliseconds(600));
  auto Response = Slow.received();
  CHECK(contains(Response, "200"));
  CHECK(contains(Response, "/slow"));
  auto Late = Caller(Test);
  Late.send("GET /late HTTP/1.1\r\n");
  Test.runFor(Milliseconds(700));
  CHECK(contains(Late.received(), "408"));
}

// The same fault, with connections that the kernel has established but that
// were not accepted yet.
TEST_CASE("strict server: a request on a connection that waits to be accepted "
          "is served though the server stops listening") {
  auto Test = Server();
  auto Waiting = Caller(Test);
  Waiting.request("/waiting");
  Test.m_Server.stopListening();
  Test.m_Server.closeIdle();
  CHECK(contains(Waiting.received(), "/waiting"));
}

// Guards against a process that exits although a part of a response is still in
// its buffer.
TEST_CASE("strict server: a connection is busy until its response has been "
          "sent") {
  auto Test = Server();
  auto Slow = Caller(Test);
  Slow.request("/large");
  Test.runFor(Milliseconds(50));
  CHECK(Test.m_Server.busyConnections() == 1);
  auto Bytes = std::size_t{0};
  while (Bytes < LargeBodyBytes) {
    auto Part = Slow.received().size();
    REQUIRE(Part > 0);
    Bytes += Part;
  }
  Test.runFor(Milliseconds(50));
  CHECK(Test.m_Server.busyConnections() == 0);
}

// Guards against timeouts that count from the request: they would cut a
// response that the caller is reading.
TEST_CASE("strict server: a response is sent completely to a caller that reads "
          "it steadily for longer than the idle timeout") {
  for (auto Closing : {false, true}) {
    CAPTURE(Closing);
    auto Test = Server({.m_IdleTimeout = Milliseconds(300)});
    Test.m_Handler.m_Delay = Milliseconds(Closing ? 500 : 0);
    constexpr auto ReceiveBufferBytes = 1 << 18;
    auto Slow = Caller(Test, ReceiveBufferBytes);
    Slow.send(Closing ? "GET /large HTTP/1.1\r\nHost: h\r\nConnection: "
                        "close\r\n\r\n"
                      : "GET /large HTTP/1.1\r\nHost: h\r\n\r\n");
    Test.runFor(Milliseconds(510));
    auto Bytes = std::size_t{0};
    auto Reads = 0;
    while (Bytes < LargeBodyBytes) {
      auto Part = Slow.take(std::size_t{1} << 20U);
      // Nothing arrives any more.
      REQUIRE(++Reads < 1000);
      Bytes += Part;
      Test.runFor(Milliseconds(10));
    }
  }
}

// Guards against a system timeout that ends the connection of a caller which
// acknowledges everything but reads nothing for some seconds.
TEST_CASE(
    "strict server: a caller that reads nothing for some seconds gets the "
    "rest of its response") {
  constexpr auto Pause = DeadPeerTime * 2;
  constexpr auto SmallBufferBytes = 2048;
  constexpr auto MediumBodyBytes = std::size_t{12} << 10U;
  auto Test = Server();
  Test.m_Handler.m_Delay = Milliseconds(100);
  // What the system has taken over, what is still to be passed to it, and the
  // rest of a stream.
  auto Medium = Caller(Test, SmallBufferBytes);
  auto Large = Caller(Test, SmallBufferBytes);
  auto Stream = Caller(Test, SmallBufferBytes);
  Test.runFor(Milliseconds(20));
  Medium.request("/" + std::string(MediumBodyBytes, 'x'));
  Large.request("/large");
  Stream.request("/stream");
  Test.runFor(Pause);
  CHECK(Test.m_Server.busyConnections() == 1);
  auto Read = [&](Caller &From, std::size_t Expected) {
    auto Bytes = std::size_t{0};
    auto Silent = 0;
    while (Bytes < Expected && Silent < 100) {
      auto Part = From.take(std::size_t{1} << 20U);
      Silent = Part > 0 ? 0 : Silent + 1;
      Bytes += Part;
      Test.runFor(Milliseconds(10));
    }
    return Bytes;
  };
  CHECK(Read(Medium, MediumBodyBytes) >= MediumBodyBytes);
  CHECK(contains(Stream.received(), "/stream\r\n0\r\n\r\n"));
  // A sample of the rest: it takes long with a small buffer.
  constexpr auto SampleBytes = std::size_t{1} << 20U;
  CHECK(Read(Large, SampleBytes) >= SampleBytes);
}

// Guards against callers that hold their connections forever, since the system
// does not end them for a closed window.
TEST_CASE("strict server: a caller that never reads again, or that has "
          "vanished, loses its connection") {
  for (auto Vanished : {false, true}) {
    CAPTURE(Vanished);
    // Only the idle timeout may end a caller that acknowledges.
    auto Test =
        Server({.m_IdleTimeout = Vanished ? Duration(Seconds(600))
                                          : Duration(Milliseconds(400))});
    constexpr auto SmallBufferBytes = 2048;
    auto Large = Caller(Test, SmallBufferBytes);
    auto Streaming = Caller(Test);
    Test.m_Handler.m_Delay = Milliseconds(300);
    Large.request("/large");
    if (Vanished)
      Streaming.request("/stream");
    Test.runFor(Milliseconds(200));
    if (Vanished) {
      Large.vanish();
      Streaming.vanish();
    }
    constexpr auto Limit = 40;
    auto Rounds = 0;
    while (Test.m_Server.busyConnections() > 0 && ++Rounds < Limit)
      Test.runFor(Milliseconds(500));
    CHECK(Test.m_Server.busyConnections() == 0);
    if (Vanished)
      continue;
    while (Large.take(std::size_t{1} << 20U) > 0) {
    }
    CHECK(Large.ended());
  }
}

// Guards against a reset that destroys a response which the caller has not read
// yet, when its connection is closed as idle and it sends early.
TEST_CASE("strict server: a response in transit survives the closing of its "
          "connection as idle") {
  auto Test = Server();
  constexpr auto ReceiveBufferBytes = 8192;
  auto Early = Caller(Test, ReceiveBufferBytes);
  auto Path = "/" + std::string(std::size_t{14} << 10U, 'x');
  Early.request(Path);
  Test.runFor(Milliseconds(50));
  Test.m_Server.closeIdle();
  Test.runFor(Milliseconds(20));
  Early.request("/early");
  auto Text = std::string();
  for (auto Round = 0; Round < 5; ++Round)
    Text += Early.received();
  CHECK(Text.size() > Path.size());
}

// Guards against limits that hold for a kept connection as they were when its
// previous request ended.
TEST_CASE("strict server: new limits apply to the next request of a kept "
          "connection") {
  auto Test = Server({.m_MaxBodyBytes = 10});
  auto Kept = Caller(Test);
  Kept.request("/first");
  CHECK(contains(Kept.received(), "/first"));
  Test.m_Server.setLimits({.m_MaxBodyBytes = 1000});
  Kept.send("POST /second HTTP/1.1\r\nHost: h\r\nContent-Length: "
            "20\r\n\r\n01234567890123456789");
  CHECK(contains(Kept.received(), "/second"));
}

// The same fault on the other side: a response that has arrived is lost if the
// deadline of its call, or a timer that cancels the call, expires before the
// response is read.
TEST_CASE("event loop: a response that arrived in time is delivered though the "
          "loop was busy beyond the deadline of its call") {
  auto Loop = EventLoop();
  auto Client = makePooledHttpClient(Loop, {});
  auto Server = OneResponseServer();
  auto Result = HttpCallResult();
  auto Call = HttpCallId();
  auto Cancelled = false;
  Call = Client->start({.m_Url = Server.url(),
                        .m_Timeout = Milliseconds(200),
                        .m_OnDone = [&](HttpCallResult Ended) {
                          Result = std::move(Ended);
                          Loop.stop();
                        }});
  // The time after which the owner of the call gives up.
  Loop.schedule(Milliseconds(250), [&] {
    Cancelled = Result.m_Outcome != HttpOutcome::Complete;
    Client->cancel(Call);
    Loop.stop();
  });
  Loop.schedule(Milliseconds(100), [&Server] {
    Server.respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    std::this_thread::sleep_for(Milliseconds(400));
  });
  Loop.run();
  CHECK_FALSE(Cancelled);
  CHECK(Result.m_Outcome == HttpOutcome::Complete);
  CHECK(Result.m_Body == "ok");
}

// The same for a response that is read in several pieces.
TEST_CASE("pooled client: a large response that arrived in time is delivered "
          "though the deadline of its call has expired") {
  auto Loop = EventLoop();
  auto Client = makePooledHttpClient(Loop, {});
  auto Server = OneResponseServer();
  auto Result = HttpCallResult();
  Client->start({.m_Url = Server.url(),
                 .m_Timeout = Milliseconds(200),
                 .m_OnDone = [&](HttpCallResult Ended) {
                   Result = std::move(Ended);
                   Loop.stop();
                 }});
  constexpr auto BodyBytes = std::size_t{100'000};
  Loop.schedule(Milliseconds(100), [&Server] {
    Server.respond("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" +
                   std::string(BodyBytes, 'x'));
    std::this_thread::sleep_for(Milliseconds(400));
  });
  Loop.run();
  CHECK(Result.m_Outcome == HttpOutcome::Complete);
  CHECK(Result.m_Body.size() == BodyBytes);
}

// Guards against a system timeout that ends the call to a server which reads
// nothing of a long body for some seconds.
TEST_CASE("pooled client: a call to a server that pauses while it reads a long "
          "body is completed, and one to a server that vanishes ends") {
  for (auto Vanished : {false, true}) {
    for (auto BodyBytes : {std::size_t{16} << 10U, std::size_t{8} << 20U}) {
      CAPTURE(Vanished);
      CAPTURE(BodyBytes);
      auto Loop = EventLoop();
      auto Client = makePooledHttpClient(Loop, {});
      auto Server = OneResponseServer();
      constexpr auto SmallBufferBytes = 4096;
      Server.setReceiveBuffer(SmallBufferBytes);
      auto Result = HttpCallResult();
      auto Ended = false;
      Client->start({.m_Method = "POST",
                     .m_Url = Server.url(),
                     .m_Body = SharedBytes(std::string(BodyBytes, 'x')),
                     .m_Timeout = Seconds(60),
                     .m_OnDone = [&](HttpCallResult Done) {
                       Result = std::move(Done);
                       Ended = true;
                       Loop.stop();
                     }});
      auto RunFor = [&Loop](Duration Time) {
        Loop.schedule(Time, [&Loop] { Loop.stop(); });
        Loop.run();
      };
      RunFor(Milliseconds(50));
      Server.accept();
      RunFor(Milliseconds(50));
      if (Vanished)
        Server.vanish();
      RunFor(DeadPeerTime * 2);
      if (Vanished) {
        constexpr auto Limit = 40;
        for (auto Round = 0; !Ended && Round < Limit; ++Round)
          RunFor(Milliseconds(500));
        CHECK(Result.m_Outcome == HttpOutcome::Broken);
        continue;
      }
      REQUIRE_FALSE(Ended);
      auto Bytes = std::size_t{0};
      for (auto Silent = 0; Bytes < BodyBytes && Silent < 100; ++Silent) {
        auto Part = Server.take();
        Bytes += Part;
        if (Part > 0)
          Silent = 0;
        RunFor(Milliseconds(1));
      }
      CHECK(Bytes >= BodyBytes);
      Server.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      RunFor(Milliseconds(100));
      CHECK(Result.m_Outcome == HttpOutcome::Complete);
    }
  }
}
