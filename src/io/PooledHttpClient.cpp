#include "dotterel/io/PooledHttpClient.h"

#include "dotterel/base/Errors.h"
#include "dotterel/io/Socket.h"
#include "dotterel/io/detail/ResponseReader.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <sys/socket.h>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterel {

namespace {

constexpr auto ReadBlockBytes = std::size_t{32} << 10U;
/// Share of the peer's stated idle time for which a connection is used: a call
/// must not cross the peer's close.
constexpr auto IdleShare = 0.6;
constexpr auto SweepInterval = Milliseconds(250);

/// Address and target of `http://IP:PORT/target`.
struct CallTarget {
  std::string m_Address;
  std::string m_Target;
};

auto splitUrl(const std::string &Url) -> CallTarget {
  constexpr auto Scheme = std::string_view("http://");
  auto From = Url.starts_with(Scheme) ? Scheme.size() : 0;
  auto Slash = std::min(Url.find('/', From), Url.size());
  auto Target = Url.substr(Slash);
  return {.m_Address = Url.substr(From, Slash - From),
          .m_Target = Target.empty() ? "/" : Target};
}

auto encodeRequest(const HttpCall &Call, const CallTarget &Target)
    -> std::string {
  auto Text = std::string();
  Text.reserve(Call.m_Body.size() + 512);
  Text += fmt::format("{} {} HTTP/1.1\r\n", Call.m_Method, Target.m_Target);
  if (!findHeader(Call.m_Headers, "Host"))
    Text += fmt::format("Host: {}\r\n", Target.m_Address);
  for (const auto &Header : Call.m_Headers)
    Text += fmt::format("{}: {}\r\n", Header.m_Name, Header.m_Value);
  if (!Call.m_Body.empty() || Call.m_Method == "POST" || Call.m_Method == "PUT")
    Text += fmt::format("Content-Length: {}\r\n", Call.m_Body.size());
  Text += "\r\n";
  Text += Call.m_Body;
  return Text;
}

class PooledClient;

/// One connection, with at most one call on it.
class Link {
public:
  Link(PooledClient &Client, std::string Address, Socket Peer);
  Link(const Link &) = delete;
  auto operator=(const Link &) -> Link & = delete;
  ~Link() = default;

  auto begin(HttpCallId Id, HttpCall Call, std::string Request) -> void;

  /// Closes the connection without a word to the call's owner.
  auto drop() -> void;

  /// Ends the call that waits for too long.
  auto expire() -> void;

  [[nodiscard]] auto address() const -> const std::string & {
    return m_Address;
  }
  [[nodiscard]] auto idleUntil() const -> MonotonicTime { return m_IdleUntil; }
  [[nodiscard]] auto dead() const -> bool { return m_Dead; }

private:
  auto readable() -> void;
  auto writable() -> void;
  auto takeAnswer(detail::AnswerReader::State State) -> void;
  auto finish(HttpOutcome Outcome, const char *Detail) -> void;
  auto armTimeout(Duration Delay) -> void;
  auto onHeaders(unsigned Status, const HttpHeaders &Headers) -> void;
  auto onData(std::string_view Data) -> void;

  PooledClient &m_Client;
  std::string m_Address;
  Socket m_Socket;
  bool m_Connected = false;
  bool m_Used = false;
  bool m_Dead = false;
  HttpCallId m_Id;
  std::optional<HttpCall> m_Call;
  HttpCallResult m_Result;
  std::string m_Out;
  std::size_t m_Sent = 0;
  std::size_t m_Received = 0;
  MonotonicTime m_Deadline;
  MonotonicTime m_IdleUntil;
  std::optional<TimerId> m_Timer;
  std::unique_ptr<detail::AnswerReader> m_Reader;
  FdWatcher m_ReadWatcher;
  FdWatcher m_WriteWatcher;
};

class PooledClient final : public HttpClient {
public:
  PooledClient(EventLoop &Loop, const PooledHttpClientOptions &Options)
      : m_Loop(Loop), m_Options(Options),
        m_Sweep(Loop, SweepInterval, [this] { sweep(); }) {}
  PooledClient(const PooledClient &) = delete;
  auto operator=(const PooledClient &) -> PooledClient & = delete;
  ~PooledClient() override = default;

  auto start(HttpCall Call) -> HttpCallId override;
  auto cancel(HttpCallId Call) -> void override;

  auto release(Link &Target, Duration Idle) -> void;
  auto retire(Link &Target) -> void;
  auto forget(HttpCallId Call) -> void { m_Active.erase(Call.number()); }

  [[nodiscard]] auto loop() -> EventLoop & { return m_Loop; }
  [[nodiscard]] auto options() const -> const PooledHttpClientOptions & {
    return m_Options;
  }

private:
  auto takeIdle(const std::string &Address) -> Link *;
  auto sweep() -> void;

  EventLoop &m_Loop;
  PooledHttpClientOptions m_Options;
  std::unordered_map<Link *, std::unique_ptr<Link>> m_Links;
  std::map<std::string, std::deque<Link *>> m_Idle; ///< Newest use last.
  std::unordered_map<std::uint64_t, Link *> m_Active;
  std::vector<std::unique_ptr<Link>> m_Retired;
  /// Calls that could not begin and whose owners are told on the next turn.
  std::unordered_map<std::uint64_t, TimerId> m_Failing;
  std::uint64_t m_LastId = 0;
  RepeatingTimer m_Sweep;
};

Link::Link(PooledClient &Client, std::string Address, Socket Peer)
    : m_Client(Client), m_Address(std::move(Address)),
      m_Socket(std::move(Peer)),
      m_ReadWatcher(Client.loop(), m_Socket.fd(), EV_READ,
                    [this](int) { readable(); }),
      m_WriteWatcher(Client.loop(), m_Socket.fd(), EV_WRITE,
                     [this](int) { writable(); }) {
  m_ReadWatcher.enable(false);
}

auto Link::begin(HttpCallId Id, HttpCall Call, std::string Request) -> void {
  m_Id = Id;
  m_Call = std::move(Call);
  m_Result = HttpCallResult();
  m_Result.m_Reused = m_Used;
  m_Out = std::move(Request);
  m_Sent = 0;
  m_Received = 0;
  m_Reader = std::make_unique<detail::AnswerReader>(
      m_Call->m_Method == "HEAD", m_Call->m_Echo,
      detail::AnswerReader::Events{
          .m_OnHeaders =
              [this](unsigned Status, const HttpHeaders &Headers) {
                onHeaders(Status, Headers);
              },
          .m_OnData = [this](std::string_view Data) { onData(Data); }});
  m_Deadline = m_Client.loop().now() + m_Call->m_Timeout;
  armTimeout(m_Connected
                 ? m_Call->m_Timeout
                 : std::min(m_Call->m_Timeout, m_Call->m_ConnectTimeout));
  // The first write waits for the loop, so that no callback runs in start().
  m_WriteWatcher.enable(true);
}

auto Link::armTimeout(Duration Delay) -> void {
  if (m_Timer)
    m_Client.loop().cancel(*m_Timer);
  m_Timer = m_Client.loop().schedule(Delay, [this] {
    m_Timer.reset();
    expire();
  });
}

auto Link::expire() -> void {
  finish(m_Sent > 0 ? HttpOutcome::TimedOut : HttpOutcome::NotSent,
         m_Connected ? "no answer in time" : "no connection in time");
}

auto Link::writable() -> void {
  if (!m_Connected) {
    auto Failure = 0;
    auto Size = socklen_t{sizeof(Failure)};
    ::getsockopt(m_Socket.fd(), SOL_SOCKET, SO_ERROR, &Failure, &Size);
    if (Failure != 0) {
      finish(HttpOutcome::NotSent, "connection refused or unreachable");
      return;
    }
    m_Connected = true;
    m_ReadWatcher.enable(true);
    armTimeout(m_Deadline - m_Client.loop().now());
  }
  while (m_Sent < m_Out.size()) {
    auto Count = ::send(m_Socket.fd(), m_Out.data() + m_Sent,
                        m_Out.size() - m_Sent, MSG_NOSIGNAL);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0 && errno == EAGAIN)
      return;
    if (Count < 0) {
      // An answer that came before the failure is still read.
      if (m_Sent > 0) {
        m_WriteWatcher.enable(false);
        return;
      }
      finish(HttpOutcome::NotSent, "the connection had ended");
      return;
    }
    m_Sent += static_cast<std::size_t>(Count);
  }
  m_WriteWatcher.enable(false);
}

auto Link::readable() -> void {
  auto Block = std::array<char, ReadBlockBytes>();
  auto Count = ::recv(m_Socket.fd(), Block.data(), Block.size(), 0);
  if (Count < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (!m_Call) {
    // Closed by the peer, or bytes that belong to no call.
    drop();
    return;
  }
  if (Count <= 0) {
    auto State = m_Reader->end(Count == 0);
    if (State != detail::AnswerReader::State::Complete) {
      finish(m_Sent > 0 ? HttpOutcome::Broken : HttpOutcome::NotSent,
             "the connection ended before the answer did");
      return;
    }
    takeAnswer(State);
    return;
  }
  takeAnswer(m_Reader->feed(
      std::string_view(Block.data(), static_cast<std::size_t>(Count))));
}

auto Link::onHeaders(unsigned Status, const HttpHeaders &Headers) -> void {
  m_Result.m_Status = Status;
  m_Result.m_Headers = Headers;
  if (!m_Dead && m_Call->m_OnHeaders)
    m_Call->m_OnHeaders(Status, Headers);
}

auto Link::onData(std::string_view Data) -> void {
  if (m_Dead)
    return;
  m_Received += Data.size();
  if (m_Call->m_OnData)
    m_Call->m_OnData(Data);
  else if (m_Received <= m_Call->m_MaximumAnswerBytes)
    m_Result.m_Body.append(Data);
}

auto Link::takeAnswer(detail::AnswerReader::State State) -> void {
  if (m_Dead || !m_Call)
    return;
  if (m_Received > m_Call->m_MaximumAnswerBytes) {
    finish(HttpOutcome::Broken, "the answer is over the limit");
    return;
  }
  if (State == detail::AnswerReader::State::Broken)
    finish(HttpOutcome::Broken, "the bytes are no answer");
  else if (State == detail::AnswerReader::State::Complete)
    finish(HttpOutcome::Complete, "");
}

auto Link::finish(HttpOutcome Outcome, const char *Detail) -> void {
  if (m_Timer)
    m_Client.loop().cancel(*m_Timer);
  m_Timer.reset();
  auto Call = std::move(*m_Call);
  m_Call.reset();
  m_Client.forget(m_Id);
  m_Result.m_Outcome = Outcome;
  m_Result.m_Detail = Detail;
  auto Result = std::move(m_Result);
  auto Keep = Outcome == HttpOutcome::Complete && m_Reader->reusable() &&
              m_Sent == m_Out.size() && !Call.m_OneConnection;
  if (Keep) {
    m_Used = true;
    auto Idle = m_Client.options().m_IdleTime;
    if (auto Stated = m_Reader->keepAliveTime())
      Idle = std::min(
          Idle, std::chrono::duration_cast<Duration>(*Stated * IdleShare));
    m_IdleUntil = m_Client.loop().now() + Idle;
    m_Client.release(*this, Idle);
  } else {
    drop();
  }
  if (Call.m_OnDone)
    Call.m_OnDone(std::move(Result));
}

auto Link::drop() -> void {
  if (m_Dead)
    return;
  m_Dead = true;
  m_ReadWatcher.enable(false);
  m_WriteWatcher.enable(false);
  if (m_Timer)
    m_Client.loop().cancel(*m_Timer);
  m_Timer.reset();
  // The call is kept until the link is destroyed: one of its callbacks may be
  // running. The peer sees the end of a cancelled call at once.
  m_Socket = Socket();
  m_Client.retire(*this);
}

auto PooledClient::takeIdle(const std::string &Address) -> Link * {
  auto Now = m_Loop.now();
  // Dropping a link may remove the address's entry, so it is looked up anew.
  while (true) {
    auto Found = m_Idle.find(Address);
    if (Found == m_Idle.end() || Found->second.empty())
      return nullptr;
    auto *Newest = Found->second.back();
    Found->second.pop_back();
    if (Newest->idleUntil() > Now)
      return Newest;
    Newest->drop();
  }
}

auto PooledClient::start(HttpCall Call) -> HttpCallId {
  auto Id = HttpCallId{++m_LastId};
  auto Target = splitUrl(Call.m_Url);
  auto *Chosen = Call.m_OneConnection ? nullptr : takeIdle(Target.m_Address);
  if (Chosen == nullptr) {
    try {
      auto Created = std::make_unique<Link>(
          *this, Target.m_Address,
          beginConnect(SocketAddress::parse(Target.m_Address)));
      Chosen = Created.get();
      m_Links.emplace(Chosen, std::move(Created));
    } catch (const Error &Failure) {
      auto Timer = m_Loop.schedule(
          Duration::zero(), [this, Id, Done = std::move(Call.m_OnDone),
                             Text = std::string(Failure.what())] {
            m_Failing.erase(Id.number());
            if (Done)
              Done({.m_Outcome = HttpOutcome::NotSent, .m_Detail = Text});
          });
      m_Failing.emplace(Id.number(), Timer);
      return Id;
    }
  }
  auto Request = encodeRequest(Call, Target);
  m_Active.emplace(Id.number(), Chosen);
  Chosen->begin(Id, std::move(Call), std::move(Request));
  return Id;
}

auto PooledClient::cancel(HttpCallId Call) -> void {
  if (auto Failing = m_Failing.find(Call.number());
      Failing != m_Failing.end()) {
    m_Loop.cancel(Failing->second);
    m_Failing.erase(Failing);
    return;
  }
  auto Found = m_Active.find(Call.number());
  if (Found == m_Active.end())
    return;
  auto *Target = Found->second;
  m_Active.erase(Found);
  Target->drop();
}

auto PooledClient::release(Link &Target, Duration Idle) -> void {
  auto &Links = m_Idle[Target.address()];
  if (Idle <= Duration::zero() || Links.size() >= m_Options.m_IdlePerAddress) {
    Target.drop();
    return;
  }
  Links.push_back(&Target);
}

auto PooledClient::retire(Link &Target) -> void {
  if (auto Idle = m_Idle.find(Target.address()); Idle != m_Idle.end()) {
    std::erase(Idle->second, &Target);
    if (Idle->second.empty())
      m_Idle.erase(Idle);
  }
  auto Found = m_Links.find(&Target);
  if (Found == m_Links.end())
    return;
  if (m_Retired.empty())
    m_Loop.schedule(Duration::zero(), [this] { m_Retired.clear(); });
  m_Retired.push_back(std::move(Found->second));
  m_Links.erase(Found);
}

auto PooledClient::sweep() -> void {
  auto Now = m_Loop.now();
  auto Expired = std::vector<Link *>();
  for (const auto &[Address, Links] : m_Idle)
    for (auto *Current : Links)
      if (Current->idleUntil() <= Now)
        Expired.push_back(Current);
  for (auto *Current : Expired)
    Current->drop();
}

} // namespace

auto makePooledHttpClient(EventLoop &Loop,
                          const PooledHttpClientOptions &Options)
    -> std::unique_ptr<HttpClient> {
  return std::make_unique<PooledClient>(Loop, Options);
}

} // namespace dotterel
