#include "SoakRun.h"

#include "dotterel/io/PooledHttpClient.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

namespace dotterel::soak {

namespace {

using Json = nlohmann::json;

constexpr auto Deadline = Milliseconds(2000);
/// Callers give up a little after their deadline.
constexpr auto CallerPatience = Milliseconds(2600);
/// Two faults or planned changes begin at most so far apart.
constexpr auto LongestGap = Milliseconds(900);
constexpr auto ShortestFault = Milliseconds(200);
constexpr auto LongestFault = Milliseconds(3500);
/// Some outlast the bound within which withdrawn keys stop.
constexpr auto LongFaultShare = 0.2;
constexpr auto LongFault = Milliseconds(7500);
/// Work of most requests, of some, and of all while a server is slow.
constexpr auto ShortWork = Milliseconds(5);
constexpr auto LongWorkShare = 0.2;
constexpr auto LongWork = Milliseconds(400);
constexpr auto SlowWork = Milliseconds(600);
/// Keys in force at a time, and old ones that callers still try.
constexpr auto KeyCount = std::size_t{4};
constexpr auto OldKeyCount = std::size_t{3};
/// Time for programs to start, generous beside other work.
constexpr auto StartLimit = Seconds(30);
/// A host that was told to stop may end so much later than its grace.
constexpr auto StopReserve = Seconds(2);

auto route(const char *Name, const char *Kind) -> Json {
  return {{"name", Name},
          {"host", "soak.example"},
          {"path_prefix", fmt::format("/{}/", Name)},
          {"kind", Kind},
          {"timeout_ms", 3000},
          {"target_latency_ms", 400},
          {"service", "desk"},
          {"max_attempts", 3},
          {"public", false}};
}

} // namespace

SoakRun::SoakRun(const SoakOptions &Options)
    : m_Options(Options), m_Random(Options.m_Seed),
      m_WorkRandom(Options.m_Seed), m_Promises(m_Bounds), m_Store(m_Loop),
      m_Fleet(m_Loop), m_Client(makePooledHttpClient(m_Loop, {})),
      m_StartedAt(m_Loop.now()) {
  for (auto Index = std::size_t{0}; Index < Options.m_Servers; ++Index)
    addServer();
  for (auto Index = std::size_t{0}; Index < KeyCount; ++Index)
    m_Keys.push_back(fmt::format("key-{}", ++m_LastKey));
  writeConfiguration();
  m_Hosts.resize(Options.m_Hosts);
  for (auto Index = std::size_t{0}; Index < Options.m_Hosts; ++Index)
    startHost(Index);
  m_WatchTimer.emplace(m_Loop, Milliseconds(50), [this] { watchHosts(); });
}

SoakRun::~SoakRun() {
  for (auto Index = std::size_t{0}; Index < m_Hosts.size(); ++Index) {
    keepLog(Index);
    ::unlink(m_Hosts[Index].m_SettingsPath.c_str());
  }
}

auto SoakRun::keepLog(std::size_t Index) -> void {
  if (m_Options.m_LogFolder.empty() || !m_Hosts[Index].m_Process)
    return;
  auto File = std::ofstream(fmt::format(
      "{}/host-{}-{}.log", m_Options.m_LogFolder, Index, m_KeptLogs++));
  File << m_Hosts[Index].m_Process->log();
}

auto SoakRun::note(const std::string &What) -> void {
  m_Notes.push_back(
      fmt::format("{} {}", toMilliseconds(m_Loop.now() - m_StartedAt), What));
}

auto SoakRun::addServer() -> void {
  auto Id = fmt::format("i-{}", m_Servers.size());
  auto Process = std::make_unique<test::StandInServer>(m_Loop, Id);
  Process->m_OnArrival = [this, Id, &Server = *Process](
                             const HttpHeaders &Headers, bool Executed) {
    Server.m_WorkTime = m_Slow.contains(Id)                   ? SlowWork
                        : m_WorkRandom.unit() < LongWorkShare ? LongWork
                                                              : ShortWork;
    m_Promises.arrived(Id, Headers, Executed, m_Loop.now());
  };
  auto Link = std::make_unique<FaultProxy>(m_Loop, Process->address());
  m_Servers.push_back(
      {.m_Id = Id, .m_Process = std::move(Process), .m_Link = std::move(Link)});
  writeServer(m_Servers.size() - 1, "ready");
}

auto SoakRun::writeServer(std::size_t Index, const std::string &State) -> void {
  auto &Target = m_Servers[Index];
  Target.m_State = State;
  auto Key = "servers/" + Target.m_Id;
  if (State == "gone") {
    m_Store.remove(Key);
    return;
  }
  m_Store.put(Key, {{"service", "desk"},
                    {"address", Target.m_Link->address()},
                    {"zone", "z1"},
                    {"version", "v1"},
                    {"slots", 8},
                    {"state", State},
                    {"sequence", ++m_Sequence}});
}

auto SoakRun::writeConfiguration() -> void {
  m_Store.put("op/config",
              {{"version", ++m_ConfigVersion},
               {"routes", {route("safe", "safe"), route("once", "unsafe")}},
               {"services", {{{"name", "desk"}}}},
               {"limits",
                {{"max_header_bytes", 4096},
                 {"max_body_bytes", 10000},
                 {"header_timeout_ms", 1000},
                 {"idle_timeout_ms", 5000}}},
               {"tenants", {{{"name", "org"}, {"api_keys", m_Keys}}}}});
}

auto SoakRun::startHost(std::size_t Index) -> void {
  auto &Target = m_Hosts[Index];
  if (!Target.m_StoreLink)
    Target.m_StoreLink =
        std::make_unique<FaultProxy>(m_Loop, m_Store.address());
  Target.m_SettingsPath =
      fmt::format("/tmp/dotterel-soak-{}-{}", ::getpid(), Index);
  auto File = std::ofstream(Target.m_SettingsPath);
  File << fmt::format(
      "node_name=host-{}\nzone=z1\nregion=r1\nzones.z1=r1\n"
      "listen.front=127.0.0.1:0\nlisten.ready=127.0.0.1:0\nip=127.0.0.1\n"
      "internal_ports=0,0\nplatform.address={}\ncloud.address={}\n"
      "bounds.revoke_ms={}\nbounds.grace_s={}\nbounds.drain_ms={}\n"
      "bounds.usage_window_s={}\nbounds.usage_late_s={}\n"
      "bounds.retry_budget_ratio={}\nbounds.budget_window_s={}\n"
      "bounds.budget_extra={}\n",
      Index, Target.m_StoreLink->address(), m_Fleet.address(),
      toMilliseconds(m_Bounds.m_KeyWithdrawal),
      toMilliseconds(m_Bounds.m_Grace) / 1000, toMilliseconds(m_Bounds.m_Drain),
      toMilliseconds(m_Bounds.m_UsageWindow) / 1000,
      toMilliseconds(m_Bounds.m_UsageDue) / 1000, m_Bounds.m_RetryRatio,
      toMilliseconds(m_Bounds.m_RetryWindow) / 1000, m_Bounds.m_RetryExtra);
  File.close();
  keepLog(Index);
  Target.m_Callers.clear();
  Target.m_Readiness.clear();
  Target.m_Paused = false;
  Target.m_Stopping = false;
  Target.m_Killed = false;
  Target.m_Process = std::make_unique<test::Process>(
      "dotterel-host",
      std::vector<std::string>{"--platform-settings=" + Target.m_SettingsPath});
}

auto SoakRun::watchHosts() -> void {
  for (auto Index = std::size_t{0}; Index < m_Hosts.size(); ++Index) {
    auto &Target = m_Hosts[Index];
    if (Target.m_Callers.empty() &&
        Target.m_Process->log().find("event=host.listening") !=
            std::string::npos) {
      Target.m_Readiness =
          Target.m_Process->field("host.listening", "readiness");
      Target.m_Callers = Target.m_Process->field("host.listening", "callers");
    }
    if (Target.m_Process->running())
      continue;
    if (!Target.m_Stopping && !Target.m_Killed)
      m_Promises.broken("processes-stay",
                        fmt::format("host {} ended by itself:\n{}", Index,
                                    Target.m_Process->log()));
    if (Target.m_Stopping && !Target.m_Killed && Target.m_Process->wait() != 0)
      m_Promises.broken("processes-stay",
                        fmt::format("host {} stopped with an error", Index));
    if (Target.m_Killed)
      m_Promises.disturbHost(Index, m_Loop.now());
    startHost(Index);
  }
}

auto SoakRun::pass(Duration Span) -> void {
  m_Loop.schedule(Span, [this] { m_Loop.stop(); });
  m_Loop.run();
}

auto SoakRun::waitFor(Duration Limit, const std::function<bool()> &Condition)
    -> bool {
  auto Until = m_Loop.now() + Limit;
  while (!Condition()) {
    if (m_Loop.now() > Until)
      return false;
    pass(Milliseconds(20));
  }
  return true;
}

auto SoakRun::anyHost() -> std::size_t {
  return m_Random.below(m_Hosts.size());
}

auto SoakRun::sendRequest() -> void {
  auto Index = anyHost();
  if (m_Hosts[Index].m_Callers.empty())
    return;
  constexpr auto OldKeyShare = 0.1;
  constexpr auto OnceShare = 0.5;
  auto Old = !m_OldKeys.empty() && m_Random.unit() < OldKeyShare;
  const auto &Choices = Old ? m_OldKeys : m_Keys;
  send(Index, m_Random.unit() < OnceShare ? "once" : "safe",
       Choices[m_Random.below(Choices.size())], [](unsigned) {});
}

auto SoakRun::send(std::size_t Index, const std::string &Route,
                   const std::string &Key,
                   std::function<void(unsigned)> OnStatus) -> void {
  auto Id = fmt::format("q{}", ++m_LastRequest);
  auto Path = fmt::format("/{}/{}", Route, Id);
  m_Promises.sent(Id, {.m_Host = Index,
                       .m_SentAt = m_Loop.now(),
                       .m_Key = Key,
                       .m_Organisation = "org",
                       .m_Answer = Path + "|" + Id,
                       .m_MayRepeat = Route == "safe"});
  ++m_Waiting;
  m_Client->start({.m_Method = "POST",
                   .m_Url = "http://" + m_Hosts[Index].m_Callers + Path,
                   .m_Headers = {{"Host", "soak.example"},
                                 {"X-Request-Id", Id},
                                 {"X-Deadline-Ms",
                                  std::to_string(toMilliseconds(Deadline))},
                                 {"Authorization", "Bearer " + Key}},
                   .m_Body = Id,
                   .m_Timeout = CallerPatience,
                   .m_OnDone = [this, Id, OnStatus = std::move(OnStatus)](
                                   const HttpCallResult &Result) {
                     --m_Waiting;
                     m_Promises.answered(Id, Result, m_Loop.now());
                     OnStatus(Result.m_Status);
                   }});
}

auto SoakRun::endLater(std::function<void()> End) -> MonotonicTime {
  auto Span =
      ShortestFault + Milliseconds(m_Random.below(static_cast<std::uint64_t>(
                          (LongestFault - ShortestFault).count())));
  if (m_Random.unit() < LongFaultShare)
    Span = LongFault;
  m_Loop.schedule(Span, std::move(End));
  return m_Loop.now() + Span;
}

auto SoakRun::harmStoreLink() -> void {
  constexpr auto Faults =
      std::array{LinkFault::Delay, LinkFault::Silence, LinkFault::CutRequests,
                 LinkFault::CutAnswers, LinkFault::Reset};
  auto Index = anyHost();
  auto Fault = Faults[m_Random.below(Faults.size())];
  note(fmt::format("host {} and the store: {}", Index, nameOf(Fault)));
  auto &Link = *m_Hosts[Index].m_StoreLink;
  Link.setFault(Fault);
  m_Promises.disturbHost(Index,
                         endLater([&Link] { Link.setFault(LinkFault::None); }));
}

auto SoakRun::harmServerLink() -> void {
  constexpr auto Faults =
      std::array{LinkFault::Delay, LinkFault::Silence, LinkFault::CutRequests,
                 LinkFault::CutAnswers, LinkFault::Reset};
  auto Index = m_Random.below(m_Servers.size());
  auto Fault = Faults[m_Random.below(Faults.size())];
  note(fmt::format("server {}: {}", Index, nameOf(Fault)));
  auto &Link = *m_Servers[Index].m_Link;
  Link.setFault(Fault);
  m_Promises.disturbAll(endLater([&Link] { Link.setFault(LinkFault::None); }));
}

auto SoakRun::harmStore() -> void {
  auto Kind = m_Random.below(4);
  constexpr auto Names =
      std::array{"down", "deaf", "loses answers", "forgets its history"};
  note(fmt::format("the store: {}", Names[Kind]));
  if (Kind == 3) {
    m_Store.forgetHistory();
    m_Promises.disturbAll(m_Loop.now());
    return;
  }
  auto &Flag = Kind == 0   ? m_Store.m_Down
               : Kind == 1 ? m_Store.m_Deaf
                           : m_Store.m_LoseAnswers;
  Flag = true;
  m_Promises.disturbAll(endLater([&Flag] { Flag = false; }));
}

auto SoakRun::harmServer() -> void {
  constexpr auto MostCuts = 4;
  constexpr auto MostRefusals = 8;
  auto Index = m_Random.below(m_Servers.size());
  auto &Target = *m_Servers[Index].m_Process;
  auto Kind = m_Random.below(3);
  constexpr auto Names = std::array{"cuts answers", "refuses", "is slow"};
  note(fmt::format("server {} {}", Index, Names[Kind]));
  if (Kind == 0)
    Target.m_CutAnswers = MostCuts;
  else if (Kind == 1)
    Target.m_Refusals = MostRefusals;
  else
    m_Slow.insert(m_Servers[Index].m_Id);
  endLater([this, Index] { m_Slow.erase(m_Servers[Index].m_Id); });
}

auto SoakRun::pauseHost() -> void {
  auto Index = anyHost();
  auto &Target = m_Hosts[Index];
  if (Target.m_Paused || Target.m_Callers.empty())
    return;
  note(fmt::format("host {} is paused", Index));
  Target.m_Paused = true;
  Target.m_Process->signal(SIGSTOP);
  m_Promises.disturbHost(Index, endLater([this, Index] {
                           m_Hosts[Index].m_Process->signal(SIGCONT);
                           m_Hosts[Index].m_Paused = false;
                         }));
}

auto SoakRun::killHost() -> void {
  constexpr auto AllShare = 0.15;
  auto All = m_Random.unit() < AllShare;
  auto Chosen = anyHost();
  for (auto Index = std::size_t{0}; Index < m_Hosts.size(); ++Index) {
    if (!All && Index != Chosen)
      continue;
    note(fmt::format("host {} is killed", Index));
    m_Hosts[Index].m_Killed = true;
    m_Hosts[Index].m_Process->signal(SIGKILL);
    m_Promises.disturbHost(Index, m_Loop.now());
  }
}

auto SoakRun::stopHost() -> void {
  auto Index = anyHost();
  auto &Target = m_Hosts[Index];
  if (Target.m_Stopping || Target.m_Paused || Target.m_Callers.empty())
    return;
  note(fmt::format("host {} is told to stop", Index));
  Target.m_Stopping = true;
  Target.m_Process->signal(SIGTERM);
  m_Promises.stopping(Index, m_Loop.now());
  m_Loop.schedule(m_Bounds.m_Grace + StopReserve,
                  [this, Index, Old = Target.m_Process.get()] {
                    // Paused or killed hosts may take longer or are gone.
                    if (m_Hosts[Index].m_Process.get() == Old &&
                        m_Hosts[Index].m_Stopping && !m_FaultsOn)
                      m_Promises.broken(
                          "planned-stops-end",
                          fmt::format("host {} still runs", Index));
                  });
}

auto SoakRun::reloadHost() -> void {
  auto Index = anyHost();
  if (m_Hosts[Index].m_Callers.empty())
    return;
  note(fmt::format("host {} reloads", Index));
  m_Hosts[Index].m_Process->signal(SIGHUP);
}

auto SoakRun::changeKeys() -> void {
  auto Old = m_Keys.front();
  m_Keys.erase(m_Keys.begin());
  m_Keys.push_back(fmt::format("key-{}", ++m_LastKey));
  m_OldKeys.push_back(Old);
  if (m_OldKeys.size() > OldKeyCount)
    m_OldKeys.erase(m_OldKeys.begin());
  note(fmt::format("{} is withdrawn", Old));
  writeConfiguration();
  m_Promises.keyWithdrawn(Old, m_Loop.now());
  m_Promises.keyGiven(m_Keys.back(), m_Loop.now());
}

auto SoakRun::changeKeysInSilence() -> void {
  note("the store: deaf, and a key is withdrawn");
  m_Store.m_Deaf = true;
  m_Loop.schedule(LongFault, [this] { m_Store.m_Deaf = false; });
  m_Promises.disturbAll(m_Loop.now() + LongFault);
  changeKeys();
}

auto SoakRun::replaceServer() -> void {
  auto Ready = std::vector<std::size_t>();
  for (auto Index = std::size_t{0}; Index < m_Servers.size(); ++Index)
    if (m_Servers[Index].m_State == "ready")
      Ready.push_back(Index);
  if (Ready.size() < 2)
    return;
  addServer();
  auto Index = Ready[m_Random.below(Ready.size())];
  constexpr auto SilentShare = 0.3;
  auto Silent = m_Random.unit() < SilentShare;
  note(fmt::format("server {} leaves{}", Index,
                   Silent ? " without notice" : ""));
  writeServer(Index, Silent ? "gone" : "draining");
  m_Promises.serverLeaving(m_Servers[Index].m_Id, m_Loop.now());
  if (!Silent)
    m_Loop.schedule(m_Bounds.m_Drain + Seconds(2),
                    [this, Index] { writeServer(Index, "gone"); });
}

auto SoakRun::faults(Duration Span) -> void {
  m_FaultsOn = true;
  auto Until = m_Loop.now() + Span;
  const auto Steps =
      std::array{&SoakRun::harmStoreLink,      &SoakRun::harmServerLink,
                 &SoakRun::harmStore,          &SoakRun::harmServer,
                 &SoakRun::pauseHost,          &SoakRun::killHost,
                 &SoakRun::stopHost,           &SoakRun::reloadHost,
                 &SoakRun::changeKeys,         &SoakRun::replaceServer,
                 &SoakRun::changeKeysInSilence};
  while (m_Loop.now() < Until) {
    (this->*Steps[m_Random.below(Steps.size())])();
    pass(Milliseconds(
        m_Random.below(static_cast<std::uint64_t>(LongestGap.count()))));
  }
  heal();
}

auto SoakRun::plannedChanges(Duration Span) -> void {
  auto Until = m_Loop.now() + Span;
  const auto Steps = std::array{&SoakRun::stopHost, &SoakRun::reloadHost,
                                &SoakRun::changeKeys, &SoakRun::replaceServer};
  while (m_Loop.now() < Until) {
    (this->*Steps[m_Random.below(Steps.size())])();
    pass(Milliseconds(
        m_Random.below(static_cast<std::uint64_t>(LongestGap.count()))));
  }
}

auto SoakRun::heal() -> void {
  note("all faults end");
  // What is still scheduled to end finds nothing left to do.
  for (auto &Current : m_Hosts) {
    Current.m_StoreLink->setFault(LinkFault::None);
    Current.m_Process->signal(SIGCONT);
    Current.m_Paused = false;
  }
  for (auto &Current : m_Servers) {
    Current.m_Link->setFault(LinkFault::None);
    Current.m_Process->m_CutAnswers = 0;
    Current.m_Process->m_Refusals = 0;
    m_Slow.erase(Current.m_Id);
  }
  m_Store.m_Down = false;
  m_Store.m_Deaf = false;
  m_Store.m_LoseAnswers = false;
  m_FaultsOn = false;
  m_Promises.healed(m_Loop.now());
}

auto SoakRun::allServe() -> bool {
  struct Counts {
    std::size_t m_Good = 0;
    std::size_t m_Answers = 0;
  };
  // Answers may come after this has given up.
  auto Seen = std::make_shared<Counts>();
  for (auto Index = std::size_t{0}; Index < m_Hosts.size(); ++Index) {
    if (m_Hosts[Index].m_Callers.empty() || m_Hosts[Index].m_Stopping)
      return false;
    constexpr auto Good = 200U;
    send(Index, "safe", m_Keys.front(), [Seen](unsigned Status) {
      ++Seen->m_Answers;
      Seen->m_Good += Status == Good ? 1 : 0;
    });
  }
  waitFor(CallerPatience + Seconds(2),
          [&] { return Seen->m_Answers == m_Hosts.size(); });
  return Seen->m_Good == m_Hosts.size();
}

auto SoakRun::checkRecovery(const char *After) -> void {
  auto From = m_Loop.now();
  if (!waitFor(m_Bounds.m_Recovery + m_Bounds.m_Grace,
               [this] { return allServe(); }))
    m_Promises.broken("recovery",
                      fmt::format("not every host serves {} ms after {}",
                                  toMilliseconds(m_Loop.now() - From), After));
}

auto SoakRun::run() -> std::vector<std::string> {
  if (!waitFor(StartLimit, [this] { return allServe(); })) {
    m_Promises.broken("start", "not every host serves");
    return m_Promises.violations();
  }
  m_RequestTimer.emplace(m_Loop, m_Options.m_RequestInterval,
                         [this] { sendRequest(); });
  for (auto Round = std::size_t{0}; Round < m_Options.m_Rounds; ++Round) {
    faults(m_Options.m_FaultTime);
    checkRecovery("the faults");
    // From here on all hosts count as in touch.
    pass(m_Bounds.m_Contact + Milliseconds(200));
    plannedChanges(m_Options.m_PlannedTime);
    pass(m_Bounds.m_Drain + Seconds(1));
    checkRecovery("planned changes");
  }
  m_RequestTimer.reset();
  waitFor(CallerPatience + Seconds(2), [this] { return m_Waiting == 0; });
  for (const auto &[Window, Reports] : m_Fleet.m_Reports)
    if (Reports.size() > 1)
      m_Promises.broken("one-report",
                        fmt::format("window {} has {} different reports",
                                    Window, Reports.size()));
  m_Promises.finish();
  return m_Promises.violations();
}

auto SoakRun::statuses() const -> std::string {
  auto Text = std::string();
  for (const auto &[Status, Count] : m_Promises.statuses())
    Text += fmt::format("{}{}={}", Text.empty() ? "" : " ",
                        Status == 0 ? "none" : std::to_string(Status), Count);
  return Text;
}

} // namespace dotterel::soak
