/// \file
/// Hosts are stopped by SIGTERM and started again, in turn, while callers send
/// requests on connections that they keep. The load balancer of the platform
/// sends new connections to a host until it has failed two readiness checks. A
/// caller closes a connection some time after the host has ended it.
#include "Bed.h"

#include "dotterel/base/Log.h"
#include "dotterel/base/Random.h"

#include <arpa/inet.h>
#include <map>
#include <sys/socket.h>

namespace review {

namespace {

constexpr auto RunnerCount = 3;
constexpr auto Heartbeat = Milliseconds(1200);
constexpr auto WorkTime = Milliseconds(20);
constexpr auto HostCount = 6;
/// Callers of each host, and the mean time between the requests of one.
constexpr auto CallerCount = 250;
constexpr auto ThinkTime = Milliseconds(1500);
constexpr auto BodyBytes = std::size_t{800};
/// Longest time after which a caller closes a connection that the host ended.
constexpr auto LongestClose = Milliseconds(900);
/// Two readiness checks, one a second, and the time between hosts.
constexpr auto BalancerLag = Milliseconds(2000);
constexpr auto Gap = Milliseconds(1300);
constexpr auto Grace = Milliseconds(8000);
constexpr auto Length = Seconds(85);

struct History {
  int m_Served = 0;
  int m_Other = 0;
  int m_Stops = 0;
  int m_Crashes = 0;
  int m_Overdue = 0;
};

class Runner final : public HttpHandler {
public:
  Runner(Bed &Test, int Number)
      : m_Test(Test), m_Id(fmt::format("i-{}", Number)),
        m_Server(Test.m_Loop, *this,
                 {.m_Address = SocketAddress::parse("127.0.0.1:0")}) {
    beat();
  }
  auto handle(HttpExchangePtr Exchange) -> void override {
    auto Id = findHeader(Exchange->request().m_Headers, "X-Request-Id");
    m_Test.m_Loop.schedule(WorkTime, [Exchange, Id] {
      Exchange->respond({.m_Status = 200,
                         .m_Headers = {{"X-Request-Id", Id.value_or("")},
                                       {"X-Response-Stamp", "stamp"}},
                         .m_Body = std::string(BodyBytes, 'x')});
    });
  }
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

private:
  auto beat() -> void {
    m_Test.m_Store.put("servers/" + m_Id,
                       {{"service", "desk"},
                        {"address", m_Server.address().text()},
                        {"zone", "z1"},
                        {"version", "1"},
                        {"slots", 64},
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

/// Which hosts get new connections, and where they listen.
struct Balancer {
  std::vector<bool> m_InRotation;
};

/// A caller that keeps its connection for many requests. It opens a new one
/// some time after the host has announced the end of the old one.
class Caller {
public:
  Caller(Bed &Test, History &Seen, Balancer &Balancer, Random &Random,
         std::size_t Host, std::string Name)
      : m_Test(Test), m_Seen(Seen), m_Balancer(Balancer), m_Random(Random),
        m_Host(Host), m_Name(std::move(Name)) {
    later(Duration(ThinkTime) * 2 * m_Random.unit(), &Caller::open);
  }
  Caller(const Caller &) = delete;
  auto operator=(const Caller &) -> Caller & = delete;
  ~Caller() { close(); }

private:
  auto later(std::chrono::duration<double> Delay, void (Caller::*Step)())
      -> void {
    m_Test.m_Loop.schedule(std::chrono::duration_cast<Duration>(Delay),
                           [this, Step] { (this->*Step)(); });
  }
  auto close() -> void {
    m_Read.reset();
    m_Write.reset();
    if (m_Fd >= 0)
      ::close(std::exchange(m_Fd, -1));
  }
  auto open() -> void {
    close();
    if (!m_Balancer.m_InRotation[m_Host]) {
      later(Milliseconds(200), &Caller::open);
      return;
    }
    m_Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto Target = SocketAddress::parse(m_Test.m_Callers[m_Host]);
    ::connect(m_Fd, reinterpret_cast<const sockaddr *>(&Target.raw()),
              sizeof(Target.raw()));
    m_Write = std::make_unique<FdWatcher>(m_Test.m_Loop, m_Fd, EV_WRITE,
                                          [this](int) { send(); });
    m_Read = std::make_unique<FdWatcher>(m_Test.m_Loop, m_Fd, EV_READ,
                                         [this](int) { readable(); });
  }
  auto send() -> void {
    if (m_Fd < 0)
      return;
    m_Write->enable(false);
    m_Answer.clear();
    m_Waiting = true;
    auto Text = fmt::format("GET /review/x HTTP/1.1\r\nHost: h.example\r\n"
                            "X-Request-Id: {}-{}\r\nX-Deadline-Ms: 6000\r\n"
                            "Authorization: Bearer key-1\r\n\r\n",
                            m_Name, ++m_Requests);
    static_cast<void>(::send(m_Fd, Text.data(), Text.size(), MSG_NOSIGNAL));
  }
  auto readable() -> void {
    char Buffer[4096];
    auto Count = ::recv(m_Fd, Buffer, sizeof(Buffer), 0);
    if (Count < 0 && errno == EAGAIN)
      return;
    if (Count <= 0) {
      m_Read->enable(false);
      // Closed by the host while idle, or after its announcement.
      if (!m_Closing) {
        m_Seen.m_Other += m_Waiting ? 1 : 0;
        m_Waiting = false;
        m_Closing = true;
        later(Duration(LongestClose) * m_Random.unit(), &Caller::reopen);
      }
      return;
    }
    m_Answer.append(Buffer, static_cast<std::size_t>(Count));
    auto HeadEnd = m_Answer.find("\r\n\r\n");
    if (!m_Waiting || HeadEnd == std::string::npos ||
        m_Answer.size() < HeadEnd + 4 + BodyBytes)
      return;
    m_Waiting = false;
    ++m_Seen.m_Served;
    if (m_Answer.find("Connection: close") == std::string::npos) {
      later(Duration(ThinkTime) * 2 * m_Random.unit(), &Caller::sendNext);
      return;
    }
    m_Closing = true;
    later(Duration(LongestClose) * m_Random.unit(), &Caller::reopen);
  }
  auto sendNext() -> void {
    if (!m_Closing)
      send();
  }
  auto reopen() -> void {
    m_Closing = false;
    open();
  }

  Bed &m_Test;
  History &m_Seen;
  Balancer &m_Balancer;
  Random &m_Random;
  std::size_t m_Host;
  std::string m_Name;
  int m_Fd = -1;
  int m_Requests = 0;
  std::string m_Answer;
  bool m_Waiting = false;
  bool m_Closing = false;
  std::unique_ptr<FdWatcher> m_Write;
  std::unique_ptr<FdWatcher> m_Read;
};

auto run(const std::string &RecordPath) -> int {
  auto Test = Bed(RecordPath);
  auto Fleet = test::FakeFleet(Test.m_Loop);
  Test.m_FleetAddress = Fleet.address();
  auto Seen = History();
  auto Runners = std::vector<std::unique_ptr<Runner>>();
  for (auto Number = 0; Number < RunnerCount; ++Number)
    Runners.push_back(std::make_unique<Runner>(Test, Number));
  Test.m_Store.put("op/config",
                   configuration(1, {route("review", "safe", "desk", 6000, 1)},
                                 {{{"name", "desk"}}}));
  for (auto Number = 0; Number < HostCount; ++Number)
    Test.startHost();
  for (auto Number = std::size_t{0}; Number < HostCount; ++Number)
    Test.waitUntilReady(Number);
  Test.m_Record.line("traffic starts");
  auto Rotation = Balancer{std::vector<bool>(HostCount, true)};
  auto Numbers = Random(1);
  auto Callers = std::vector<std::unique_ptr<Caller>>();
  for (auto Number = std::size_t{0}; Number < HostCount; ++Number)
    for (auto Name = 0; Name < CallerCount; ++Name)
      Callers.push_back(
          std::make_unique<Caller>(Test, Seen, Rotation, Numbers, Number,
                                   fmt::format("r{}-{}", Number, Name)));
  auto End = Test.m_Loop.now() + Length;
  auto Stop = [&](std::size_t Number) -> void {
    auto &Target = *Test.m_Hosts[Number];
    ++Seen.m_Stops;
    Test.m_Record.line("host {} gets SIGTERM", Number);
    Target.signal(SIGTERM);
    auto SentAt = Test.m_Loop.now();
    Test.m_Loop.schedule(BalancerLag,
                         [&, Number] { Rotation.m_InRotation[Number] = false; });
    auto Watch = std::make_shared<std::function<void()>>();
    *Watch = [&, Number, SentAt, Watch] {
      auto &Target = *Test.m_Hosts[Number];
      auto Status = Target.status();
      if (!Status && Test.m_Loop.now() - SentAt < Grace) {
        Test.m_Loop.schedule(Milliseconds(20), *Watch);
        return;
      }
      auto Text = std::string("within the grace period with exit code 0");
      if (!Status) {
        ++Seen.m_Overdue;
        Text = "not within the grace period: SIGKILL";
        Target.kill();
      } else if (*Status != 0) {
        ++Seen.m_Crashes;
        Text = WIFSIGNALED(*Status)
                   ? fmt::format("by signal {}", WTERMSIG(*Status))
                   : fmt::format("with exit code {}", WEXITSTATUS(*Status));
      }
      Test.m_Record.line("host {} ends {} ms after SIGTERM, {}", Number,
                         toMilliseconds(Test.m_Loop.now() - SentAt), Text);
      Target.start();
      Test.m_Loop.schedule(Milliseconds(1500), [&, Number] {
        Test.m_Callers[Number] =
            Test.m_Hosts[Number]->logField("host.listening", "callers");
        Rotation.m_InRotation[Number] = true;
      });
    };
    (*Watch)();
  };
  for (auto Number = std::size_t{0}; Test.m_Loop.now() < End;
       Number = (Number + 1) % HostCount) {
    if (withTrouble())
      Stop(Number);
    Test.runFor(Gap);
  }
  Test.runFor(Grace + Seconds(1));
  Test.m_Record.line("{} answers, {} connections without one", Seen.m_Served,
                     Seen.m_Other);
  if (Seen.m_Served == 0)
    throw NotRun("no request was served");
  auto EndedAlone = 0;
  for (auto &Target : Test.m_Hosts)
    EndedAlone += Target->status() ? 1 : 0;
  Test.m_Record.line("{} stops; {} ended with a crash, {} not within the grace "
                     "period; {} processes ended by themselves",
                     Seen.m_Stops, Seen.m_Crashes, Seen.m_Overdue, EndedAlone);
  return Seen.m_Crashes > 0 || EndedAlone > 0 ? Broken : Held;
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
