/// \file
/// Callers that send HEAD on a route of streams, and another request on the same
/// connection after that.
#include "Bed.h"

#include "dotterel/base/Log.h"

#include <arpa/inet.h>
#include <sys/socket.h>

namespace review {

namespace {

constexpr auto RunnerCount = 3;
constexpr auto Heartbeat = Milliseconds(1200);
constexpr auto CallerCount = 10;

/// Answers with three events, to HEAD with the same headers alone.
class Runner final : public HttpHandler {
public:
  Runner(Bed &Test, int Number)
      : m_Test(Test), m_Id(fmt::format("i-{}", Number)),
        m_Server(Test.m_Loop, *this,
                 {.m_Address = SocketAddress::parse("127.0.0.1:0")}) {
    beat();
  }
  auto handle(HttpExchangePtr Exchange) -> void override {
    const auto &Request = Exchange->request();
    auto Id = findHeader(Request.m_Headers, "X-Request-Id").value_or("");
    m_Test.m_Record.line("{} runs {} ({})", m_Id, Id, Request.m_Method);
    auto Events = std::string();
    for (auto Number = 1; Number <= 3; ++Number)
      Events += fmt::format("id: {0}\ndata: {0}\n\n", Number);
    Exchange->respond({.m_Status = 200,
                       .m_Headers = {{"X-Request-Id", Id},
                                     {"X-Response-Stamp", "stamp-" + Id},
                                     {"Content-Type", "text/event-stream"}},
                       .m_Body = Events});
  }
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

private:
  auto beat() -> void {
    m_Test.m_Store.put("servers/" + m_Id,
                       {{"service", "llm"},
                        {"address", m_Server.address().text()},
                        {"zone", "z1"},
                        {"version", "1"},
                        {"slots", 12},
                        {"state", "ready"},
                        {"cold_remaining_ms", 0},
                        {"born", 1},
                        {"sequence", ++m_Sequence}});
    m_Test.m_Loop.schedule(Heartbeat, [this] { beat(); });
  }

  Bed &m_Test;
  std::string m_Id;
  int m_Sequence = 0;
  StrictHttpServer m_Server;
};

/// A connection whose bytes are kept as they arrive.
class Caller {
public:
  Caller(Bed &Test, const std::string &Address)
      : m_Test(Test),
        m_Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto Target = SocketAddress::parse(Address);
    if (::connect(m_Fd, reinterpret_cast<const sockaddr *>(&Target.raw()),
                  sizeof(Target.raw())) != 0)
      throw NotRun("no connection to the host");
    m_Watcher = std::make_unique<FdWatcher>(
        Test.m_Loop, m_Fd, EV_READ, [this](int) {
          char Buffer[4096];
          auto Count = ::recv(m_Fd, Buffer, sizeof(Buffer), MSG_DONTWAIT);
          if (Count > 0)
            m_Bytes.append(Buffer, static_cast<std::size_t>(Count));
          else
            m_Watcher->enable(false);
        });
  }
  Caller(const Caller &) = delete;
  auto operator=(const Caller &) -> Caller & = delete;
  ~Caller() {
    m_Watcher.reset();
    ::close(m_Fd);
  }

  /// Sends a request and returns all bytes that arrive within half a second.
  auto call(const char *Method, const std::string &Id) -> std::string {
    auto Text = fmt::format("{} /review/x HTTP/1.1\r\nHost: h.example\r\n"
                            "X-Request-Id: {}\r\nX-Deadline-Ms: 3000\r\n"
                            "Authorization: Bearer key-1\r\n\r\n",
                            Method, Id);
    m_Bytes.clear();
    static_cast<void>(::send(m_Fd, Text.data(), Text.size(), MSG_NOSIGNAL));
    m_Test.runFor(Milliseconds(500));
    return m_Bytes;
  }

private:
  Bed &m_Test;
  int m_Fd;
  std::string m_Bytes;
  std::unique_ptr<FdWatcher> m_Watcher;
};

/// Bytes that follow the head of an answer.
auto afterHead(const std::string &Answer) -> std::string {
  auto End = Answer.find("\r\n\r\n");
  return End == std::string::npos ? std::string() : Answer.substr(End + 4);
}

auto run(const std::string &RecordPath) -> int {
  auto Test = Bed(RecordPath);
  auto Fleet = test::FakeFleet(Test.m_Loop);
  Test.m_FleetAddress = Fleet.address();
  auto Runners = std::vector<std::unique_ptr<Runner>>();
  for (auto Number = 0; Number < RunnerCount; ++Number)
    Runners.push_back(std::make_unique<Runner>(Test, Number));
  Test.m_Store.put("op/config",
                   configuration(1, {route("review", "streaming", "llm", 3000, 1)},
                                 {{{"name", "llm"}}}));
  Test.startHost();
  Test.waitUntilReady(0);
  Test.runFor(Seconds(5));
  const auto *First = withTrouble() ? "HEAD" : "GET";
  auto Served = 0;
  auto Foreign = 0;
  for (auto Number = 0; Number < CallerCount; ++Number) {
    auto Current = Caller(Test, Test.m_Callers[0]);
    auto Answer = Current.call(First, fmt::format("a{}", Number));
    Test.m_Record.line("a{} {}: {}", Number, First, Json(Answer).dump());
    // A client reads no body after HEAD: what follows belongs to no answer, and
    // is taken for the beginning of the next one.
    auto Extra = withTrouble() ? afterHead(Answer) : std::string();
    auto Next = Current.call("GET", fmt::format("b{}", Number));
    Test.m_Record.line("b{} GET: {}", Number, Json(Extra + Next).dump());
    Served += Answer.starts_with("HTTP/1.1 200") ? 1 : 0;
    Foreign += (Extra + Next).starts_with("HTTP/1.1 200") ? 0 : 1;
  }
  if (Served == 0)
    throw NotRun("no request was served");
  Test.m_Record.line("{} callers, {} got bytes that are no answer before their "
                     "second answer",
                     CallerCount, Foreign);
  return Foreign > 0 ? Broken : Held;
}

} // namespace

} // namespace review

auto main(int Count, char **Arguments) -> int {
  using namespace review;
  if (Count < 2)
    return CouldNotRun;
  setLogLevel("error");
  try {
    return run(Arguments[1]);
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "could not run: {}\n", Failure.what());
    return CouldNotRun;
  }
}
