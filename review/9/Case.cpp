// A request that crashes its servers is forgotten when the hosts restart: see
// claim.txt.
#include "../standins-2/Sim.h"

using namespace sim;

namespace {

constexpr auto HostCount = 3;
constexpr auto RunnerCount = 3;
constexpr auto OtherCallers = 4;
/// Time after which a crashed runner is back.
constexpr auto CrashTime = 2.0;
constexpr auto WorkTime = 0.06;
/// Time between two requests that crash their runner: all runners are back.
constexpr auto RetryInterval = 3.0;
/// Of the deployment; the rule counts from its end on.
constexpr auto ContactTime = 4.0;
/// The most retries that the rule allows.
constexpr auto AllowedRetries = 3;
constexpr auto DeadlineMs = 6000;
constexpr auto CrashingBody = "this filing crashes its server";

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  if (ArgumentCount != 4)
    return 2;
  auto Trouble = std::string(Arguments[3]) != "0";
  Record::open(Arguments[2] + std::string("/record.txt"));
  startTime();
  auto Folder = TemporaryFolder();
  Record::line(Trouble ? "TROUBLE=1: all hosts are killed at once, twice"
                       : "TROUBLE=0: no host is killed");

  auto Mutex = std::mutex();
  /// Times at which the request reached a runner, and crashed it.
  auto Crashes = std::vector<double>();
  auto Running = std::map<std::string, std::set<std::string>>();
  auto Broken = 0;
  auto Platform = std::make_unique<Store>();
  auto Api = Cloud();
  Platform->put("op/config", configuration());
  auto Runners = std::vector<std::unique_ptr<Runner>>();
  for (auto Number = 1; Number <= RunnerCount; ++Number)
    Runners.push_back(std::make_unique<Runner>(
        *Platform, "desk-" + std::to_string(Number), "desk",
        [&](Runner &Self, const Request &Call,
            Stream &) -> std::optional<Response> {
          auto Id = Call.header("x-request-id");
          if (Call.m_Body == CrashingBody) {
            auto Lock = std::lock_guard(Mutex);
            Crashes.push_back(seconds());
            auto Beside = Running[Self.id()].size();
            Broken += static_cast<int>(Beside);
            Running[Self.id()].clear();
            Record::line("request " + Id + " reaches " + Self.id() +
                         ", which crashes; other filings it was running: " +
                         std::to_string(Beside));
            Self.crash(CrashTime);
            return Response{.m_Drop = true};
          }
          {
            auto Lock = std::lock_guard(Mutex);
            Running[Self.id()].insert(Id);
          }
          pause(WorkTime);
          auto Lock = std::lock_guard(Mutex);
          if (Running[Self.id()].erase(Id) == 0)
            return Response{.m_Drop = true};
          return Response{.m_Headers = Self.ownHeaders(Call),
                          .m_Body = "filed"};
        }));

  auto Hosts = std::vector<std::unique_ptr<Host>>();
  for (auto Number = 1; Number <= HostCount; ++Number)
    Hosts.push_back(std::make_unique<Host>(Arguments[1], Folder.path(), Number,
                                           *Platform, Api));
  auto End = [&](int Status) {
    for (auto &Each : Hosts)
      Each->kill();
    Record::line(Status == 1   ? "BUDGET is broken"
                 : Status == 0 ? "BUDGET holds"
                               : "the case could not run");
    Folder.remove();
    std::_Exit(Status);
  };
  auto StartAll = [&] {
    for (auto &Each : Hosts)
      Each->start();
    for (auto &Each : Hosts)
      if (!Each->waitReady(15)) {
        Record::line("a host is not ready");
        End(2);
      }
    // In touch: nothing has happened for longer than contact_ms.
    pause(ContactTime + 1);
  };
  auto NextHost = 0;
  auto Ask = [&](const std::string &Body) {
    auto Number = NextHost++ % HostCount;
    auto Connection = Client(Hosts[Number]->callerPort());
    auto Id = randomId();
    if (!Connection.connected() ||
        !Connection.send("POST", "/filing/f", Id, "key-of-a", DeadlineMs, Body))
      return -1;
    auto Got = Connection.receive();
    if (Body == CrashingBody)
      Record::line("request " + Id + " sent to host " +
                   std::to_string(Number + 1) + ", answered " +
                   std::to_string(Got.m_Status));
    return Got.m_Status;
  };

  StartAll();
  // Other callers' filings, about as many as on the sheet.
  auto Busy = std::atomic<bool>(true);
  auto Others = std::vector<std::thread>();
  for (auto Number = 0; Number < OtherCallers; ++Number)
    Others.emplace_back([&, Number] {
      while (Busy) {
        auto Connection = Client(Hosts[Number % HostCount]->callerPort());
        if (Connection.connected() &&
            Connection.send("POST", "/filing/f", randomId(), "key-of-a",
                            DeadlineMs, "other filing " + randomId()))
          Connection.receive();
        pause(0.02);
      }
    });
  for (auto Retry = 0; Retry < 5; ++Retry) {
    Ask(CrashingBody);
    pause(RetryInterval);
  }
  if (Crashes.size() < 3) {
    Record::line("the request has not crashed three runners");
    End(2);
  }
  auto CountFrom = Crashes[2] + ContactTime;
  auto Before = Broken;
  for (auto Round = 1; Round <= 2; ++Round) {
    if (Trouble) {
      Record::line("all hosts are killed, and start again after 1 s");
      for (auto &Each : Hosts)
        Each->signal(SIGKILL);
      for (auto &Each : Hosts)
        Each->kill();
      pause(1);
      StartAll();
    }
    for (auto Retry = 0; Retry < 4; ++Retry) {
      Ask(CrashingBody);
      pause(RetryInterval);
    }
  }
  Busy = false;
  for (auto &Each : Others)
    Each.join();
  auto Retries = 0;
  for (auto Time : Crashes)
    Retries += Time > CountFrom ? 1 : 0;
  Record::line("the request crashed its third runner at " +
               std::to_string(Crashes[2]) + " s; later than " +
               std::to_string(CountFrom) + " s it reached runners in " +
               std::to_string(Retries) + " retries, allowed are " +
               std::to_string(AllowedRetries));
  Record::line(
      "other filings broken off by the crashes: " + std::to_string(Before) +
      " before, " + std::to_string(Broken - Before) + " by these retries");
  End(Retries > AllowedRetries ? 1 : 0);
}
