//===- EarlyServer.h - Server that responds during an upload ----*- C++ -*-===//
///
/// \file
/// A server on loopback that sends the bytes of a test as its response, also
/// before it has read the whole request, and ends the connection as the test
/// says.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_EARLYSERVER_H
#define DOTTEREL_TESTS_SUPPORT_EARLYSERVER_H

#include "RawServer.h"

#include <charconv>
#include <cstdint>
#include <limits>
#include <optional>

namespace dotterel::test {

/// What a server does with a connection after its response.
enum class ConnectionEnd : std::uint8_t {
  KeepOpen,
  HalfClose,         ///< Sends no more, and reads until the client closes.
  HalfCloseAndReset, ///< Sends an orderly end, then resets the connection.
  Reset,
};

class EarlyServer {
public:
  struct Script {
    /// Returns the bytes of the response to a request with this head.
    std::function<std::string(const std::string &)> m_Response;
    /// Number of bytes of the body that are read before the response is sent.
    /// The rest is read only after HalfClose and KeepOpen.
    std::size_t m_ReadBytes = std::numeric_limits<std::size_t>::max();
    ConnectionEnd m_End = ConnectionEnd::KeepOpen;
    /// Time between the response and the end of the connection.
    Duration m_Pause = Duration::zero();
    /// Called before the response is sent and after the connection has ended.
    std::function<void()> m_Before;
    std::function<void()> m_After;
  };

  EarlyServer(EventLoop &Loop, Script Script)
      : m_Loop(Loop), m_Script(std::move(Script)),
        m_Listener(listenOn(SocketAddress::parse("127.0.0.1:0"))),
        m_AcceptWatcher(Loop, m_Listener.fd(), EV_READ,
                        [this](int) { accept(); }) {
    // Connections inherit it: the rest of an upload stays with its sender.
    auto Bytes = int{ReceiveBufferBytes};
    ::setsockopt(m_Listener.fd(), SOL_SOCKET, SO_RCVBUF, &Bytes, sizeof(Bytes));
  }

  [[nodiscard]] auto address() const -> std::string {
    return boundAddress(m_Listener).text();
  }
  /// Returns the number of requests whose head has arrived.
  [[nodiscard]] auto requests() const -> int { return m_Requests; }
  /// Returns the number of connections that were accepted.
  [[nodiscard]] auto connections() const -> int { return m_LastNumber; }
  auto setScript(Script Script) -> void { m_Script = std::move(Script); }

private:
  static constexpr auto ReceiveBufferBytes = 4096;

  struct Peer {
    Socket m_Socket;
    std::string m_Head;
    std::optional<std::size_t> m_BodyBytes; ///< Set once the head has arrived.
    std::size_t m_ReadBytes = 0;            ///< Of the body.
    bool m_Responded = false;
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
    // A head is read alone, so that unread bytes of the body remain.
    auto Count = ::recv(Peer.m_Socket.fd(), Buffer.data(),
                        Peer.m_BodyBytes ? Buffer.size() : 1, 0);
    if (Count <= 0) {
      close(Number);
      return;
    }
    auto Bytes =
        std::string_view(Buffer.data(), static_cast<std::size_t>(Count));
    if (Peer.m_BodyBytes) {
      Peer.m_ReadBytes += Bytes.size();
    } else {
      Peer.m_Head += Bytes;
      if (!Peer.m_Head.ends_with("\r\n\r\n"))
        return;
      ++m_Requests;
      auto Length = headerIn(Peer.m_Head, "Content-Length");
      auto Size = std::size_t{0};
      std::from_chars(Length.data(), Length.data() + Length.size(), Size);
      Peer.m_BodyBytes = Size;
    }
    if (!Peer.m_Responded &&
        Peer.m_ReadBytes >= std::min(*Peer.m_BodyBytes, m_Script.m_ReadBytes))
      respond(Number);
    else if (Peer.m_Responded && Peer.m_ReadBytes == *Peer.m_BodyBytes)
      expectNext(Peer);
  }

  static auto expectNext(Peer &Peer) -> void {
    Peer.m_Head.clear();
    Peer.m_BodyBytes.reset();
    Peer.m_ReadBytes = 0;
    Peer.m_Responded = false;
  }

  auto respond(int Number) -> void {
    auto &Peer = m_Peers.at(Number);
    Peer.m_Responded = true;
    if (m_Script.m_Before)
      m_Script.m_Before();
    auto Bytes = m_Script.m_Response(Peer.m_Head);
    ::send(Peer.m_Socket.fd(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
    if (m_Script.m_End == ConnectionEnd::KeepOpen) {
      if (Peer.m_ReadBytes == *Peer.m_BodyBytes)
        expectNext(Peer);
      if (m_Script.m_After)
        m_Script.m_After();
      return;
    }
    if (m_Script.m_Pause == Duration::zero()) {
      end(Number);
      return;
    }
    Peer.m_Watcher->enable(false);
    m_Loop.schedule(m_Script.m_Pause, [this, Number] {
      if (m_Peers.contains(Number))
        end(Number);
    });
  }

  auto end(int Number) -> void {
    auto &Peer = m_Peers.at(Number);
    if (m_Script.m_End != ConnectionEnd::Reset)
      ::shutdown(Peer.m_Socket.fd(), SHUT_WR);
    if (m_Script.m_End == ConnectionEnd::HalfClose) {
      Peer.m_Watcher->enable(true);
    } else {
      Peer.m_Socket.resetOnClose();
      close(Number);
    }
    if (m_Script.m_After)
      m_Script.m_After();
  }

  auto close(int Number) -> void {
    auto &Peer = m_Peers.at(Number);
    Peer.m_Watcher->enable(false);
    // The watcher may be running.
    m_Closed.push_back(std::move(Peer.m_Watcher));
    m_Peers.erase(Number);
  }

  EventLoop &m_Loop;
  Script m_Script;
  Socket m_Listener;
  int m_LastNumber = 0;
  int m_Requests = 0;
  std::map<int, Peer> m_Peers;
  std::vector<std::unique_ptr<FdWatcher>> m_Closed;
  FdWatcher m_AcceptWatcher;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_EARLYSERVER_H
