//===- RawServer.h - Server whose responses a test writes -------*- C++ -*-===//
///
/// \file
/// A server on loopback for requests without a body. The test writes the bytes
/// that it sends on each connection, also without a request.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_RAWSERVER_H
#define DOTTEREL_TESTS_SUPPORT_RAWSERVER_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/Socket.h"
#include "dotterel/io/SocketAddress.h"

#include <array>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <utility>
#include <vector>

namespace dotterel::test {

class RawServer {
public:
  /// Called with the number of a connection, from 1, and the head of a request.
  using OnRequest = std::function<void(int, const std::string &)>;

  RawServer(EventLoop &Loop, OnRequest Callback)
      : m_Loop(Loop), m_OnRequest(std::move(Callback)),
        m_Listener(listenOn(SocketAddress::parse("127.0.0.1:0"))),
        m_AcceptWatcher(Loop, m_Listener.fd(), EV_READ,
                        [this](int) { accept(); }) {}

  [[nodiscard]] auto address() const -> std::string {
    return boundAddress(m_Listener).text();
  }
  /// Returns the number of connections that were accepted.
  [[nodiscard]] auto connections() const -> int { return m_LastNumber; }

  /// Sends \p Bytes if the connection is still open.
  auto send(int Connection, const std::string &Bytes) -> void {
    if (auto Found = m_Peers.find(Connection); Found != m_Peers.end())
      ::send(Found->second.m_Socket.fd(), Bytes.data(), Bytes.size(),
             MSG_NOSIGNAL);
  }

private:
  struct Peer {
    Socket m_Socket;
    std::string m_Received;
    std::unique_ptr<FdWatcher> m_Watcher;
  };

  auto accept() -> void {
    auto Fd = ::accept4(m_Listener.fd(), nullptr, nullptr, SOCK_NONBLOCK);
    if (Fd < 0)
      return;
    auto Number = ++m_LastNumber;
    auto &Created = m_Peers[Number];
    Created.m_Socket = Socket(Fd);
    Created.m_Watcher = std::make_unique<FdWatcher>(
        m_Loop, Fd, EV_READ, [this, Number](int) { read(Number); });
  }

  auto read(int Number) -> void {
    auto &Peer = m_Peers.at(Number);
    auto Buffer = std::array<char, 4096>();
    auto Count = ::recv(Peer.m_Socket.fd(), Buffer.data(), Buffer.size(), 0);
    if (Count <= 0) {
      Peer.m_Watcher->enable(false);
      // The watcher is running.
      m_Closed.push_back(std::move(Peer.m_Watcher));
      m_Peers.erase(Number);
      return;
    }
    constexpr auto End = std::string_view("\r\n\r\n");
    Peer.m_Received.append(Buffer.data(), static_cast<std::size_t>(Count));
    auto Position = Peer.m_Received.find(End);
    if (Position == std::string::npos)
      return;
    auto Head = Peer.m_Received.substr(0, Position + 2);
    Peer.m_Received.erase(0, Position + End.size());
    m_OnRequest(Number, Head);
  }

  EventLoop &m_Loop;
  OnRequest m_OnRequest;
  Socket m_Listener;
  int m_LastNumber = 0;
  std::map<int, Peer> m_Peers;
  std::vector<std::unique_ptr<FdWatcher>> m_Closed;
  FdWatcher m_AcceptWatcher;
};

/// Returns the value of a header of a request's head, or an empty string.
inline auto headerIn(const std::string &Head, const std::string &Name)
    -> std::string {
  auto Begin = Head.find("\r\n" + Name + ": ");
  if (Begin == std::string::npos)
    return {};
  Begin += Name.size() + 4;
  return Head.substr(Begin, Head.find("\r\n", Begin) - Begin);
}

/// Returns the bytes of a response; \p Headers end with a line break each.
inline auto rawResponse(unsigned Status, const std::string &Headers,
                        const std::string &Body = "") -> std::string {
  return fmt::format("HTTP/1.1 {} -\r\n{}Content-Length: {}\r\n\r\n{}", Status,
                     Headers, Body.size(), Body);
}

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_RAWSERVER_H
