#include "dotterel/io/PooledHttpClient.h"
#include "dotterel/io/Socket.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <vector>

using namespace dotterel;

namespace {

constexpr auto KibiByte = std::size_t{1} << 10U;
constexpr auto MebiByte = std::size_t{1} << 20U;
/// Bytes that the system may buffer between a client that reads no more and its
/// server.
constexpr auto SocketBufferBytes = 12 * MebiByte;

/// A server on loopback that sends raw bytes once a request has arrived.
class ByteServer {
public:
  struct Script {
    std::string m_Begin; ///< Sent once.
    std::string m_Block; ///< Sent again and again. Empty: sent never.
    /// Whether the connection is reset, not closed, after m_Begin. Used if
    /// m_Block is empty.
    bool m_Reset = false;
    /// Time between two blocks.
    Duration m_Pause = Duration::zero();
    /// Whether the connection stays open after m_Begin.
    bool m_KeepOpen = false;
  };
  /// The server closes a connection that has taken so many bytes.
  static constexpr auto MaxSentBytes = 64 * MebiByte;

  ByteServer(EventLoop &Loop, Script Script)
      : m_Loop(Loop), m_Script(std::move(Script)),
        m_Listener(listenOn(SocketAddress::parse("127.0.0.1:0"))),
        m_AcceptWatcher(Loop, m_Listener.fd(), EV_READ,
                        [this](int) { accept(); }) {}

  [[nodiscard]] auto url() const -> std::string {
    return "http://" + boundAddress(m_Listener).text() + "/";
  }
  [[nodiscard]] auto sentBytes() const -> std::size_t { return m_SentBytes; }
  [[nodiscard]] auto open() const -> std::size_t { return m_Peers.size(); }
  auto setScript(Script Script) -> void { m_Script = std::move(Script); }
  /// Sends \p Bytes on every open connection.
  auto sendToAll(const std::string &Bytes) -> void {
    for (auto &[Fd, Peer] : m_Peers)
      ::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

private:
  struct Peer {
    Socket m_Socket;
    std::string m_Unsent;
    bool m_Requested = false;
    std::unique_ptr<FdWatcher> m_Read;
    std::unique_ptr<FdWatcher> m_Write;
  };

  auto accept() -> void {
    auto Fd = ::accept4(m_Listener.fd(), nullptr, nullptr, SOCK_NONBLOCK);
    if (Fd < 0)
      return;
    auto &Created = m_Peers[Fd];
    Created.m_Socket = Socket(Fd);
    Created.m_Read = std::make_unique<FdWatcher>(
        m_Loop, Fd, EV_READ, [this, Fd](int) { readable(Fd); });
    Created.m_Write = std::make_unique<FdWatcher>(
        m_Loop, Fd, EV_WRITE, [this, Fd](int) { writable(Fd); });
    Created.m_Write->enable(false);
  }

  auto readable(int Fd) -> void {
    auto Buffer = std::array<char, 4096>();
    auto Count = ::recv(Fd, Buffer.data(), Buffer.size(), 0);
    if (Count <= 0) {
      close(Fd);
      return;
    }
    auto &Peer = m_Peers.at(Fd);
    if (std::exchange(Peer.m_Requested, true) && !m_Script.m_Block.empty())
      return;
    Peer.m_Unsent = m_Script.m_Begin;
    Peer.m_Write->enable(true);
  }

  auto writable(int Fd) -> void {
    auto &Peer = m_Peers.at(Fd);
    if (Peer.m_Unsent.empty()) {
      if (m_Script.m_Block.empty()) {
        Peer.m_Write->enable(false);
        if (m_Script.m_KeepOpen)
          return;
        if (m_Script.m_Reset)
          Peer.m_Socket.resetOnClose();
        close(Fd);
        return;
      }
      while (Peer.m_Unsent.size() < std::max(m_BlockBytes, std::size_t{1})) {
        Peer.m_Unsent += m_Script.m_Block;
        if (m_Script.m_Pause > Duration::zero())
          break;
      }
    }
    auto Count =
        ::send(Fd, Peer.m_Unsent.data(), Peer.m_Unsent.size(), MSG_NOSIGNAL);
    if (Count < 0 || m_SentBytes > MaxSentBytes) {
      close(Fd);
      return;
    }
    m_SentBytes += static_cast<std::size_t>(Count);
    Peer.m_Unsent.erase(0, static_cast<std::size_t>(Count));
    if (m_Script.m_Pause > Duration::zero()) {
      Peer.m_Write->enable(false);
      m_Loop.schedule(m_Script.m_Pause, [this, Fd] {
        if (auto Found = m_Peers.find(Fd); Found != m_Peers.end())
          Found->second.m_Write->enable(true);
      });
    }
  }

  /// Destroys the connection in the next iteration, since one of its watchers
  /// may be running.
  auto close(int Fd) -> void {
    auto Found = m_Peers.find(Fd);
    Found->second.m_Read->enable(false);
    Found->second.m_Write->enable(false);
    Found->second.m_Socket = Socket();
    auto Closed = std::make_shared<Peer>(std::move(Found->second));
    m_Peers.erase(Found);
    m_Loop.schedule(Duration::zero(), [Closed] {});
  }

  EventLoop &m_Loop;
  Script m_Script;
  Socket m_Listener;
  std::size_t m_BlockBytes = 64 * KibiByte;
  std::size_t m_SentBytes = 0;
  std::map<int, Peer> m_Peers;
  FdWatcher m_AcceptWatcher;
};

struct Exchange {
  EventLoop m_Loop;
  ByteServer m_Server;
  std::unique_ptr<HttpClient> m_Client;

  explicit Exchange(ByteServer::Script Script,
                    const PooledHttpClientOptions &Options = {})
      : m_Server(m_Loop, std::move(Script)),
        m_Client(makePooledHttpClient(m_Loop, Options)) {}

  auto run(const std::function<bool()> &Condition) -> void {
    constexpr auto EventTimeout = Seconds(60);
    auto Until = m_Loop.now() + EventTimeout;
    while (!Condition()) {
      REQUIRE(m_Loop.now() < Until);
      m_Loop.schedule(Milliseconds(2), [this] { m_Loop.stop(); });
      m_Loop.run();
    }
  }

  auto start(HttpCall Call) -> std::shared_ptr<std::optional<HttpCallResult>> {
    auto Slot = std::make_shared<std::optional<HttpCallResult>>();
    if (Call.m_Url.empty())
      Call.m_Url = m_Server.url();
    Call.m_EchoedHeader = {.m_Name = "X-Id", .m_Value = "7"};
    Call.m_OnDone = [Slot](HttpCallResult Result) {
      *Slot = std::move(Result);
    };
    m_Client->start(std::move(Call));
    return Slot;
  }

  auto call(HttpCall Call) -> HttpCallResult {
    auto Slot = start(std::move(Call));
    run([&] { return Slot->has_value(); });
    return **Slot;
  }
};

const auto ChunkedHead =
    std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");

} // namespace

TEST_CASE("pooled client: closes a connection on which endless bytes arrive "
          "that belong to no body") {
  struct Endless {
    std::string m_Name;
    std::string m_Begin;
    std::string m_Block;
  };
  const auto Cases = std::vector<Endless>{
      {"line feeds", "", "\r\n"},
      {"status line", "HTTP/1.1 200 ", "x"},
      {"one header", "HTTP/1.1 200 OK\r\nA: ", "x"},
      {"header name", "HTTP/1.1 200 OK\r\n", "x"},
      {"many headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"interim responses with headers", "",
       "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
      {"empty responses to another call", "",
       "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n"},
      {"chunk extension", ChunkedHead + "1;a=", "x"},
      {"chunk extensions", ChunkedHead,
       "1;a=" + std::string(KibiByte, 'x') + "\r\ny\r\n"},
      {"chunk length", ChunkedHead, "0"},
      {"trailers", ChunkedHead + "0\r\n", "A: b\r\n"}};
  for (const auto &Case : Cases) {
    CAPTURE(Case.m_Name);
    auto Test = Exchange({.m_Begin = Case.m_Begin, .m_Block = Case.m_Block});
    auto Result = Test.call({.m_Timeout = Seconds(30)});
    CHECK(Result.m_Outcome == HttpOutcome::Broken);
    Test.run([&] { return Test.m_Server.open() == 0; });
    CHECK(Test.m_Server.sentBytes() < SocketBufferBytes);
  }
}

TEST_CASE("pooled client: closes a connection on which an endless body "
          "arrives, of the call or of another one") {
  struct Endless {
    std::string m_Name;
    std::string m_Begin;
    std::string m_Block;
  };
  const auto Cases = std::vector<Endless>{
      {"no length", "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n", "x"},
      {"chunks", ChunkedHead, "2\r\nxy\r\n"},
      {"another call's, no length", "HTTP/1.1 200 OK\r\nX-Id: 6\r\n\r\n", "x"},
      {"other calls' responses", "",
       "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 1000\r\n\r\n" +
           std::string(1000, 'x')}};
  for (const auto &Case : Cases)
    for (auto Streamed : {false, true}) {
      CAPTURE(Case.m_Name);
      CAPTURE(Streamed);
      auto Test = Exchange({.m_Begin = Case.m_Begin, .m_Block = Case.m_Block});
      auto Call =
          HttpCall{.m_Timeout = Seconds(30), .m_MaxResponseBytes = MebiByte};
      auto Delivered = std::size_t{0};
      if (Streamed)
        Call.m_OnData = [&Delivered](std::string_view Data) {
          Delivered += Data.size();
        };
      auto Result = Test.call(std::move(Call));
      CHECK(Result.m_Outcome == HttpOutcome::Broken);
      CHECK(Delivered + Result.m_Body.size() <= MebiByte);
      Test.run([&] { return Test.m_Server.open() == 0; });
      CHECK(Test.m_Server.sentBytes() < 4 * MebiByte + SocketBufferBytes);
    }
}

TEST_CASE("pooled client: endless bodies of several calls are bounded together "
          "and do not break a small response") {
  constexpr auto Calls = std::size_t{4};
  auto Test = Exchange(
      {.m_Begin = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n", .m_Block = "x"},
      {.m_MaxBufferedBytes = MebiByte});
  auto Small = ByteServer(
      Test.m_Loop,
      {.m_Begin = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 20\r\n\r\n",
       .m_Block = "x",
       .m_Pause = Milliseconds(5)});
  auto SmallResult =
      Test.start({.m_Url = Small.url(), .m_Timeout = Seconds(30)});
  auto Results = std::vector<std::shared_ptr<std::optional<HttpCallResult>>>();
  for (auto Index = std::size_t{0}; Index < Calls; ++Index)
    Results.push_back(Test.start({.m_Timeout = Seconds(30)}));
  auto Received = std::size_t{0};
  for (const auto &Result : Results) {
    Test.run([&] { return Result->has_value(); });
    CHECK((*Result)->m_Outcome == HttpOutcome::Broken);
    Received += (*Result)->m_Body.size();
  }
  CHECK(Received <= Calls * MebiByte);
  Test.run([&] { return SmallResult->has_value(); });
  CHECK((*SmallResult)->m_Outcome == HttpOutcome::Complete);
  Test.run([&] { return Test.m_Server.open() == 0; });
  CHECK(Test.m_Server.sentBytes() < Calls * SocketBufferBytes);
  // The buffers of the calls that ended are free again.
  Test.m_Server.setScript({.m_Begin = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n" +
                                      std::string(MebiByte, 'x')});
  for (auto Index = 0; Index < 2; ++Index)
    CHECK(Test.call({}).m_Outcome == HttpOutcome::Complete);
}

TEST_CASE("pooled client: the client's limit applies to a buffered body, and "
          "not to a streamed one") {
  for (auto Streamed : {false, true}) {
    CAPTURE(Streamed);
    auto Test = Exchange({.m_Begin = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n" +
                                     std::string(2 * MebiByte, 'x')},
                         {.m_MaxResponseBytes = MebiByte});
    auto Call = HttpCall();
    if (Streamed)
      Call.m_OnData = [](std::string_view) {};
    CHECK(Test.call(std::move(Call)).m_Outcome ==
          (Streamed ? HttpOutcome::Complete : HttpOutcome::Broken));
  }
}

TEST_CASE("pooled client: a response that trickles in ends at the call's "
          "timeout") {
  for (const auto *Begin :
       {"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n"}) {
    CAPTURE(std::string(Begin));
    auto Test = Exchange(
        {.m_Begin = Begin, .m_Block = "x", .m_Pause = Milliseconds(5)});
    auto Result = Test.call({.m_Timeout = Milliseconds(200)});
    CHECK(Result.m_Outcome == HttpOutcome::TimedOut);
    Test.run([&] { return Test.m_Server.open() == 0; });
  }
}

TEST_CASE("pooled client: closes an idle connection on which bytes arrive") {
  auto Test = Exchange(
      {.m_Begin = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 1\r\n\r\na",
       .m_KeepOpen = true});
  CHECK(Test.call({}).m_Outcome == HttpOutcome::Complete);
  CHECK(Test.m_Server.open() == 1);
  Test.m_Server.sendToAll(std::string(100, 'x'));
  Test.run([&] { return Test.m_Server.open() == 0; });
}

TEST_CASE("pooled client: a response without a length is complete when its "
          "connection is closed, and never when it is reset") {
  const auto Response = std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nabc");
  for (auto Reset : {false, true}) {
    CAPTURE(Reset);
    auto Test = Exchange({.m_Begin = Response, .m_Reset = Reset});
    auto Result = Test.call({});
    CHECK(Result.m_Outcome ==
          (Reset ? HttpOutcome::Broken : HttpOutcome::Complete));
    if (!Reset)
      CHECK(Result.m_Body == "abc");
  }
}
