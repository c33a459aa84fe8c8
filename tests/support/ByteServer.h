//===- ByteServer.h - Server that sends raw bytes ---------------*- C++ -*-===//
///
/// \file
/// A server on loopback for tests of HTTP clients, whose responses need not be
/// valid, and a client connected to it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_BYTESERVER_H
#define DOTTEREL_TESTS_SUPPORT_BYTESERVER_H

#include "dotterel/io/PooledHttpClient.h"
#include "dotterel/io/Socket.h"

#include <array>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace dotterel::test {

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
  static constexpr auto WriteBytes = 64 * KibiByte;

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
      Peer.m_Unsent = m_Script.m_Block;
      while (m_Script.m_Pause == Duration::zero() &&
             Peer.m_Unsent.size() < WriteBytes)
        Peer.m_Unsent += m_Script.m_Block;
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

  auto close(int Fd) -> void {
    auto Found = m_Peers.find(Fd);
    Found->second.m_Read->enable(false);
    Found->second.m_Write->enable(false);
    Found->second.m_Socket = Socket();
    // One of the watchers may be running.
    m_Closed.push_back(std::move(Found->second));
    m_Peers.erase(Found);
  }

  EventLoop &m_Loop;
  Script m_Script;
  Socket m_Listener;
  std::size_t m_SentBytes = 0;
  std::map<int, Peer> m_Peers; ///< By file descriptor.
  std::vector<Peer> m_Closed;
  FdWatcher m_AcceptWatcher;
};

/// A client and a server on one event loop.
struct Exchange {
  EventLoop m_Loop;
  ByteServer m_Server;
  std::unique_ptr<HttpClient> m_Client;

  /// Uses libcurl.
  struct WithCurl {};
  Exchange(ByteServer::Script Script, WithCurl)
      : m_Server(m_Loop, std::move(Script)), m_Client(makeHttpClient(m_Loop)) {}
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

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_BYTESERVER_H
