/// \file
/// A small HTTP server for runners that crash. Its destructor closes all its
/// sockets at once, like the end of a process.
#ifndef REVIEW_STANDINS_3_RUNNER_SERVER_H
#define REVIEW_STANDINS_3_RUNNER_SERVER_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/HttpServer.h"
#include "dotterel/io/Socket.h"

#include <fmt/format.h>
#include <memory>
#include <set>
#include <string>
#include <sys/socket.h>

namespace review {

using namespace dotterel;

class RunnerServer {
public:
  RunnerServer(EventLoop &Loop, HttpHandler &Handler, const std::string &Address)
      : m_Loop(Loop), m_Handler(Handler),
        m_Listener(listenOn(SocketAddress::parse(Address))),
        m_Watcher(Loop, m_Listener.fd(), EV_READ, [this](int) { accept(); }) {}
  RunnerServer(const RunnerServer &) = delete;
  auto operator=(const RunnerServer &) -> RunnerServer & = delete;
  ~RunnerServer() {
    for (const auto &Item : m_Open) {
      Item->m_Server = nullptr;
      Item->close();
    }
  }
  [[nodiscard]] auto address() const -> std::string {
    return boundAddress(m_Listener).text();
  }

private:
  struct Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  class Exchange final : public HttpExchange {
  public:
    Exchange(ConnectionPtr Owner, HttpRequest Request)
        : m_Owner(std::move(Owner)), m_Request(std::move(Request)) {}
    [[nodiscard]] auto request() const -> const HttpRequest & override {
      return m_Request;
    }
    auto respond(HttpResponse Response) -> void override {
      m_Owner->send(head(Response.m_Status, Response.m_Headers) +
                    fmt::format("Content-Length: {}\r\n\r\n{}",
                                Response.m_Body.size(), Response.m_Body));
      end();
    }
    auto startStream(unsigned Status, HttpHeaders Headers) -> void override {
      m_Owner->send(head(Status, Headers) +
                    "Transfer-Encoding: chunked\r\n\r\n");
    }
    auto write(std::string_view Data) -> void override {
      m_Owner->send(fmt::format("{:x}\r\n{}\r\n", Data.size(), Data));
    }
    auto finish() -> void override {
      m_Owner->send("0\r\n\r\n");
      end();
    }
    auto abort() -> void override { m_Owner->close(); }
    [[nodiscard]] auto backlog() const -> std::size_t override { return 0; }
    auto onDisconnect(std::function<void()> Callback) -> void override {
      m_Owner->m_OnDisconnect = std::move(Callback);
    }

  private:
    static auto head(unsigned Status, const HttpHeaders &Headers)
        -> std::string {
      auto Text = fmt::format("HTTP/1.1 {} Status\r\n", Status);
      for (const auto &Header : Headers)
        Text += fmt::format("{}: {}\r\n", Header.m_Name, Header.m_Value);
      return Text;
    }
    auto end() -> void {
      m_Owner->m_OnDisconnect = nullptr;
      m_Owner->m_Busy = false;
    }

    ConnectionPtr m_Owner;
    HttpRequest m_Request;
  };

  struct Connection : std::enable_shared_from_this<Connection> {
    Connection(RunnerServer &Server, Socket Peer)
        : m_Server(&Server), m_Loop(Server.m_Loop), m_Socket(std::move(Peer)) {}

    auto start() -> void {
      m_Watcher = std::make_unique<FdWatcher>(
          m_Loop, m_Socket.fd(), EV_READ,
          [this](int) { std::shared_ptr(shared_from_this())->readable(); });
    }
    auto send(const std::string &Text) -> void {
      if (m_Watcher)
        static_cast<void>(
            ::send(m_Socket.fd(), Text.data(), Text.size(), MSG_NOSIGNAL));
    }
    auto close() -> void {
      if (!m_Watcher)
        return;
      m_Watcher->enable(false);
      // The watcher may be running.
      m_Loop.schedule(Duration::zero(),
                      [Ended = std::shared_ptr<FdWatcher>(std::move(m_Watcher)),
                       Kept = shared_from_this()] {});
      m_Socket = Socket();
      if (m_Server != nullptr)
        m_Server->m_Open.erase(shared_from_this());
      if (auto Callback = std::exchange(m_OnDisconnect, nullptr);
          Callback && m_Server != nullptr)
        Callback();
    }
    auto readable() -> void {
      char Buffer[8192];
      auto Count = ::recv(m_Socket.fd(), Buffer, sizeof(Buffer), 0);
      if (Count < 0 && errno == EAGAIN)
        return;
      if (Count <= 0) {
        close();
        return;
      }
      m_Input.append(Buffer, static_cast<std::size_t>(Count));
      if (!m_Busy)
        parse();
    }
    auto parse() -> void {
      auto HeadEnd = m_Input.find("\r\n\r\n");
      if (HeadEnd == std::string::npos)
        return;
      auto Request = HttpRequest();
      auto Head = std::string_view(m_Input).substr(0, HeadEnd + 2);
      auto First = Head.substr(0, Head.find("\r\n"));
      auto Space = First.find(' ');
      Request.m_Method = First.substr(0, Space);
      Request.m_Target =
          First.substr(Space + 1, First.rfind(' ') - Space - 1);
      Request.m_Path = Request.m_Target.substr(0, Request.m_Target.find('?'));
      Head.remove_prefix(First.size() + 2);
      while (!Head.empty()) {
        auto Line = Head.substr(0, Head.find("\r\n"));
        Head.remove_prefix(Line.size() + 2);
        auto Colon = Line.find(": ");
        if (Colon != std::string_view::npos)
          Request.m_Headers.push_back(
              {.m_Name = std::string(Line.substr(0, Colon)),
               .m_Value = std::string(Line.substr(Colon + 2))});
      }
      auto Length = static_cast<std::size_t>(std::stoul(
          findHeader(Request.m_Headers, "Content-Length").value_or("0")));
      if (m_Input.size() < HeadEnd + 4 + Length)
        return;
      Request.m_Body = m_Input.substr(HeadEnd + 4, Length);
      m_Input.erase(0, HeadEnd + 4 + Length);
      m_Busy = true;
      m_Server->m_Handler.handle(
          std::make_shared<Exchange>(shared_from_this(), std::move(Request)));
    }

    RunnerServer *m_Server; ///< Null once it has ended.
    EventLoop &m_Loop;
    Socket m_Socket;
    std::unique_ptr<FdWatcher> m_Watcher; ///< Null once closed.
    std::string m_Input;
    bool m_Busy = false;
    std::function<void()> m_OnDisconnect;
  };

  auto accept() -> void {
    auto Peer = Socket(::accept4(m_Listener.fd(), nullptr, nullptr,
                                 SOCK_NONBLOCK | SOCK_CLOEXEC));
    if (Peer.fd() < 0)
      return;
    Peer.setTcpOptions();
    auto Created = std::make_shared<Connection>(*this, std::move(Peer));
    m_Open.insert(Created);
    Created->start();
  }

  EventLoop &m_Loop;
  HttpHandler &m_Handler;
  Socket m_Listener;
  std::set<ConnectionPtr> m_Open;
  FdWatcher m_Watcher;
};

} // namespace review

#endif // REVIEW_STANDINS_3_RUNNER_SERVER_H
