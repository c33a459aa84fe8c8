// A request that crashes its servers is not recognised when its route moves to
// another service: see claim.txt.
#include "../standins-2/Sim.h"

using namespace sim;

namespace {

constexpr auto HostCount = 3;
/// Of each service.
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
/// Time until a version is in force: `config_apply_ms`, and one second.
constexpr auto ApplyTime = 4.0;
constexpr auto CrashingBody = "this filing crashes its server";

} // namespace

auto main(int ArgumentCount, char **Arguments) -> int {
  if (ArgumentCount != 4)
    return 2;
  auto Trouble = std::string(Arguments[3]) != "0";
  Record::open(Arguments[2] + std::string("/record.txt"));
  startTime();
  auto Folder = TemporaryFolder();
  Record::line(Trouble ? "TROUBLE=1: versions move the route to another service"
                       : "TROUBLE=0: versions leave the route where it is");

  auto Mutex = std::mutex();
  /// Times at which the request reached a runner, and crashed it.
  auto Crashes = std::vector<double>();
  auto Running = std::map<std::string, std::set<std::string>>();
  auto Broken = 0;
  auto Platform = std::make_unique<Store>();
  auto Api = Cloud();
  const auto Services = std::vector<std::string>{"desk", "ledger", "archive"};
  /// Writes a version in which the filings go to \p Service.
  auto Configure = [&](int Version, const std::string &Service) {
    auto Value = configuration(Version, false);
    Value["services"].clear();
    for (const auto &Name : Services)
      Value["services"].push_back({{"name", Name},
                                   {"health_path", "/health"},
                                   {"max_connections", 110}});
    for (auto &Route : Value["routes"])
      Route["service"] = Service;
    Platform->put("op/config", Value);
    Record::line("version " + std::to_string(Version) +
                 " sends filings to the service " + Service);
  };
  Configure(7, "desk");
  auto Runners = std::vector<std::unique_ptr<Runner>>();
  for (const auto &Service : Services)
    for (auto Number = 1; Number <= RunnerCount; ++Number)
      Runners.push_back(std::make_unique<Runner>(
          *Platform, Service + "-" + std::to_string(Number), Service,
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
  for (auto &Each : Hosts)
    Each->start();
  for (auto &Each : Hosts)
    if (!Each->waitReady(15)) {
      Record::line("a host is not ready");
      End(2);
    }
  // In touch: nothing has happened for longer than contact_ms.
  pause(ContactTime + 1);
  auto NextHost = 0;
  auto Ask = [&](const std::string &Body) {
    auto Number = NextHost++ % HostCount;
    auto Connection = Client(Hosts[Number]->callerPort());
    auto Id = randomId();
    if (!Connection.connected() ||
        !Connection.send("POST", "/filing/f", Id, "key-of-a", DeadlineMs, Body))
      return -1;
    auto Got = Connection.receive();
    Record::line("request " + Id + " sent to host " +
                 std::to_string(Number + 1) + ", answered " +
                 std::to_string(Got.m_Status));
    return Got.m_Status;
  };

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
  for (auto Round = std::size_t{1}; Round <= 2; ++Round) {
    Configure(7 + 5 * static_cast<int>(Round),
              Trouble ? Services[Round] : Services[0]);
    pause(ApplyTime);
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
