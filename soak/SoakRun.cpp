#include "SoakRun.h"

#include "dotterel/io/PooledHttpClient.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>
#include <utility>

namespace dotterel::soak {

namespace {

using Json = nlohmann::json;

constexpr auto RequestDeadline = Milliseconds(2000);
constexpr auto StreamDeadline = Milliseconds(5000);
/// Callers time out slightly after their deadline.
constexpr auto CallerTimeoutMargin = Milliseconds(600);
/// Callers of streams for each host, the lengths of their streams, and the time
/// until they connect again.
constexpr auto StreamCallersPerHost = std::size_t{3};
/// Callers for each host that resume a stream that breaks off, and how often
/// they try to for one stream.
constexpr auto ResumingCallersPerHost = std::size_t{3};
constexpr auto MaxResumptions = 8;
constexpr auto MinEvents = 4;
constexpr auto MaxEvents = 46;
constexpr auto ReconnectDelay = Milliseconds(100);
constexpr auto MaxResumptionDelay = Milliseconds(600);
/// Maximum interval between the starts of two faults or planned changes.
constexpr auto MaxFaultInterval = Milliseconds(900);
constexpr auto MaxServerChangeInterval = Milliseconds(1200);
/// Interval between the replacements of two servers in a release.
constexpr auto MinReleaseStep = Milliseconds(300);
constexpr auto MaxReleaseStep = Milliseconds(1500);
/// Number of times that all hosts are killed in a series, and the interval
/// between two of them.
constexpr auto MaxKillsInSeries = 3;
constexpr auto MinKillInterval = Milliseconds(600);
constexpr auto MaxKillInterval = Milliseconds(2000);
constexpr auto WithoutNoticeShare = 0.3;
/// Share of a server's refusals that it sends again later.
constexpr auto RefusalCopyShare = 0.5;
/// Time for which a restarted server's old entry stays in the store.
constexpr auto MinOldEntryTime = Milliseconds(300);
constexpr auto MaxOldEntryTime = Milliseconds(3000);
constexpr auto MinFaultDuration = Milliseconds(200);
constexpr auto MaxFaultDuration = Milliseconds(3500);
/// A share of the faults lasts longer than the bound within which a withdrawn
/// key must stop working.
constexpr auto LongFaultShare = 0.2;
constexpr auto LongFaultDuration = Milliseconds(7500);
/// Execution times: of most requests, of some, and of all requests while a
/// server is slow.
constexpr auto ShortWorkTime = Milliseconds(5);
constexpr auto LongWorkShare = 0.2;
constexpr auto LongWorkTime = Milliseconds(400);
constexpr auto SlowWorkTime = Milliseconds(600);
/// Number of keys in force, and of withdrawn keys that callers still use.
constexpr auto KeyCount = std::size_t{4};
constexpr auto OldKeyCount = std::size_t{3};
/// Time allowed for programs to start, also on a busy machine.
constexpr auto StartTimeout = Seconds(30);
/// Time beyond its grace period within which a host must have stopped.
constexpr auto StopMargin = Seconds(2);

auto drawDuration(Random &Source, Duration Min, Duration Max) -> Duration {
  return Min + Duration(Source.below(
                   static_cast<std::uint64_t>((Max - Min).count())));
}

auto route(const char *Name, const char *Kind,
           Duration Timeout = Milliseconds(3000), bool Resumable = false)
    -> Json {
  return {{"name", Name},
          {"host", "soak.example"},
          {"path_prefix", fmt::format("/{}/", Name)},
          {"kind", Kind},
          {"timeout_ms", toMilliseconds(Timeout)},
          {"target_latency_ms", 400},
          {"service", "desk"},
          {"max_attempts", 3},
          {"resumable", Resumable},
          {"public", false}};
}

} // namespace

SoakRun::SoakRun(const SoakOptions &Options)
    : m_Options(Options), m_Random(Options.m_Seed),
      m_WorkRandom(Options.m_Seed), m_ServerRandom(Options.m_Seed),
      m_Promises(m_Bounds), m_Store(m_Loop), m_Fleet(m_Loop),
      m_Client(makePooledHttpClient(m_Loop, {})), m_StartedAt(m_Loop.now()) {
  for (auto Index = std::size_t{0}; Index < Options.m_Servers; ++Index)
    addServer();
  for (auto Index = std::size_t{0}; Index < KeyCount; ++Index)
    m_Keys.push_back(fmt::format("key-{}", ++m_LastKeyNumber));
  writeConfiguration();
  m_Hosts.resize(Options.m_Hosts);
  for (auto Index = std::size_t{0}; Index < Options.m_Hosts; ++Index)
    startHost(Index);
  m_HostCheckTimer.emplace(m_Loop, Milliseconds(50), [this] { checkHosts(); });
}

SoakRun::~SoakRun() {
  for (auto Index = std::size_t{0}; Index < m_Hosts.size(); ++Index) {
    saveLog(Index);
    ::unlink(m_Hosts[Index].m_SettingsPath.c_str());
  }
}

auto SoakRun::saveLog(std::size_t Index) -> void {
  if (m_Options.m_LogFolder.empty() || !m_Hosts[Index].m_Process)
    return;
  auto File = std::ofstream(fmt::format(
      "{}/host-{}-{}.log", m_Options.m_LogFolder, Index, m_SavedLogs++));
  File << m_Hosts[Index].m_Process->log();
}

auto SoakRun::recordEvent(const std::string &Event) -> void {
  m_EventLog.push_back(
      fmt::format("{} {}", toMilliseconds(m_Loop.now() - m_StartedAt), Event));
}

auto SoakRun::addServer() -> void {
  auto Id = fmt::format("i-{}", m_Servers.size());
  auto Version = fmt::format("v{}", m_Version);
  auto Process = std::make_unique<test::FakeServer>(m_Loop, Id);
  Process->m_Version = Version;
  Process->m_OnArrival = [this, &Server = *Process](const HttpHeaders &Headers,
                                                    bool Executed) {
    const auto &Id = Server.m_Id;
    Server.m_WorkTime = m_SlowServers.contains(Id)            ? SlowWorkTime
                        : m_WorkRandom.unit() < LongWorkShare ? LongWorkTime
                                                              : ShortWorkTime;
    m_Promises.requestArrived(Id, Headers, Executed, m_Loop.now());
    if (Executed && Server.m_ResponsesToTruncate > 0)
      m_Promises.responseCut(findHeader(Headers, "X-Request-Id").value_or(""));
  };
  auto Link = std::make_unique<FaultProxy>(m_Loop, Process->address());
  Link->setRefusalCopies(
      [this] { return m_ServerRandom.unit() < RefusalCopyShare; });
  m_Servers.push_back({.m_Id = Id,
                       .m_Process = std::move(Process),
                       .m_Link = std::move(Link),
                       .m_Version = Version});
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
                    {"version", Target.m_Version},
                    {"slots", 8},
                    {"state", State},
                    {"sequence", ++m_Sequence}});
}

auto SoakRun::writeConfiguration() -> void {
  m_Store.put("op/config",
              {{"version", ++m_ConfigVersion},
               {"routes",
                {route("safe", "safe"), route("once", "unsafe"),
                 route("stream", "streaming", StreamDeadline),
                 route("resumable", "streaming", StreamDeadline, true)}},
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
      toMilliseconds(m_Bounds.m_KeyWithdrawalBound),
      toMilliseconds(m_Bounds.m_StopGrace) / 1000,
      toMilliseconds(m_Bounds.m_Drain),
      toMilliseconds(m_Bounds.m_UsageWindow) / 1000,
      toMilliseconds(m_Bounds.m_UsageDue) / 1000, m_Bounds.m_RetryRatio,
      toMilliseconds(m_Bounds.m_RetryWindow) / 1000, m_Bounds.m_RetryExtra);
  File.close();
  saveLog(Index);
  Target.m_CallerAddress.clear();
  Target.m_ReadinessAddress.clear();
  Target.m_Paused = false;
  Target.m_Stopping = false;
  Target.m_Killed = false;
  Target.m_Process = std::make_unique<test::Process>(
      "dotterel-host",
      std::vector<std::string>{"--platform-settings=" + Target.m_SettingsPath});
}

auto SoakRun::checkHosts() -> void {
  for (auto Index = std::size_t{0}; Index < m_Hosts.size(); ++Index) {
    auto &Target = m_Hosts[Index];
    if (Target.m_CallerAddress.empty() &&
        Target.m_Process->log().find("event=host.listening") !=
            std::string::npos) {
      Target.m_ReadinessAddress =
          Target.m_Process->field("host.listening", "readiness");
      Target.m_CallerAddress =
          Target.m_Process->field("host.listening", "callers");
    }
    if (Target.m_Process->running())
      continue;
    if (!Target.m_Stopping && !Target.m_Killed)
      m_Promises.reportViolation(
          "processes-stay",
          fmt::format("host {} ended without being stopped:\n{}", Index,
                      Target.m_Process->log()));
    if (Target.m_Stopping && !Target.m_Killed && Target.m_Process->wait() != 0)
      m_Promises.reportViolation(
          "processes-stay",
          fmt::format("host {} stopped with an error", Index));
    if (Target.m_Killed)
      m_Promises.recordHostFault(Index, m_Loop.now());
    startHost(Index);
  }
}

auto SoakRun::runLoopFor(Duration Span) -> void {
  m_Loop.schedule(Span, [this] { m_Loop.stop(); });
  m_Loop.run();
}

auto SoakRun::waitFor(Duration Limit, const std::function<bool()> &Condition)
    -> bool {
  auto Until = m_Loop.now() + Limit;
  while (!Condition()) {
    if (m_Loop.now() > Until)
      return false;
    runLoopFor(Milliseconds(20));
  }
  return true;
}

auto SoakRun::randomHost() -> std::size_t {
  return m_Random.below(m_Hosts.size());
}

auto SoakRun::sendRequest() -> void {
  auto Index = randomHost();
  if (m_Hosts[Index].m_CallerAddress.empty())
    return;
  constexpr auto OldKeyShare = 0.1;
  constexpr auto UnsafeShare = 0.5;
  auto Old = !m_OldKeys.empty() && m_Random.unit() < OldKeyShare;
  const auto &Choices = Old ? m_OldKeys : m_Keys;
  auto Route = m_Random.unit() < UnsafeShare ? "once" : "safe";
  send(*m_Client,
       {.m_Host = Index,
        .m_Route = Route,
        .m_Key = Choices[m_Random.below(Choices.size())]},
       [](const HttpCallResult &) {});
}

auto SoakRun::resumesStreams(std::size_t Caller) const -> bool {
  return Caller >= m_Hosts.size() * StreamCallersPerHost;
}

auto SoakRun::reconnect(std::size_t Caller, const StreamProgress &Progress)
    -> void {
  auto Delay =
      Progress.m_FirstRequest.empty()
          ? ReconnectDelay
          : drawDuration(m_WorkRandom, ReconnectDelay, MaxResumptionDelay);
  m_Loop.schedule(Delay, [this, Caller, Progress] {
    sendStream(Caller, m_WorkRandom.below(m_Hosts.size()), Progress);
  });
}

auto SoakRun::sendStream(std::size_t Caller, std::size_t Host,
                         StreamProgress Progress) -> void {
  if (!m_Sending)
    return;
  if (m_Hosts[Host].m_CallerAddress.empty()) {
    reconnect(Caller, Progress);
    return;
  }
  if (Progress.m_Events == 0)
    Progress.m_Events =
        MinEvents +
        static_cast<int>(m_WorkRandom.below(MaxEvents - MinEvents + 1));
  auto Request =
      Work{.m_Host = Host,
           .m_Route = resumesStreams(Caller) ? "resumable" : "stream",
           .m_Key = m_Keys[m_WorkRandom.below(m_Keys.size())],
           .m_Id = newRequestId(),
           .m_Events = Progress.m_Events,
           .m_Received = Progress.m_Received,
           .m_Resumes = Progress.m_FirstRequest};
  send(*m_StreamClients[Caller], Request,
       [this, Caller, Request, Progress](const HttpCallResult &Result) {
         streamEnded(Caller, Request, Progress, Result);
       });
}

auto SoakRun::streamEnded(std::size_t Caller, const Work &Request,
                          StreamProgress Progress, const HttpCallResult &Result)
    -> void {
  constexpr auto Good = 200U;
  auto Received =
      static_cast<int>(parseEvents(Result.m_Body).m_Versions.size());
  if (!Request.m_Resumes.empty()) {
    ++m_Resumptions;
    m_Resumed += Received > 0 ? 1 : 0;
    ++Progress.m_Resumptions;
  }
  if (Result.m_Outcome == HttpOutcome::Complete && Result.m_Status == Good) {
    sendStream(Caller, Request.m_Host, {});
    return;
  }
  if (Received > 0 && Progress.m_FirstRequest.empty())
    Progress.m_FirstRequest = Request.m_Id;
  Progress.m_Received += Received;
  auto Resumes = resumesStreams(Caller) && Progress.m_Received > 0 &&
                 Progress.m_Received < Progress.m_Events &&
                 Progress.m_Resumptions < MaxResumptions;
  reconnect(Caller, Resumes ? Progress : StreamProgress());
}

auto SoakRun::newRequestId() -> std::string {
  return fmt::format("q{}", ++m_LastRequestNumber);
}

auto SoakRun::send(HttpClient &Client, const Work &Request,
                   std::function<void(const HttpCallResult &)> OnDone) -> void {
  auto Id = Request.m_Id.empty() ? newRequestId() : Request.m_Id;
  auto Path = fmt::format("/{}/{}", Request.m_Route, Id);
  auto Stream = Request.m_Events > 0;
  m_Promises.requestSent(
      Id, {.m_Host = Request.m_Host,
           .m_SentAt = m_Loop.now(),
           .m_Key = Request.m_Key,
           .m_Organisation = "org",
           .m_ExpectedBody = Stream ? test::fakeEvents(Request.m_Events,
                                                       Request.m_Received + 1)
                                    : Path + "|" + Id,
           .m_Resumes = Request.m_Resumes,
           .m_Idempotent =
               Request.m_Route == "safe" || Request.m_Route == "resumable"});
  ++m_RequestsInFlight;
  auto Deadline = Stream ? StreamDeadline : RequestDeadline;
  auto Headers =
      HttpHeaders{{"Host", "soak.example"},
                  {"X-Request-Id", Id},
                  {"X-Deadline-Ms", std::to_string(toMilliseconds(Deadline))},
                  {"Authorization", "Bearer " + Request.m_Key}};
  if (Stream)
    Headers.push_back(
        {test::EventCountHeader, std::to_string(Request.m_Events)});
  if (!Request.m_Resumes.empty()) {
    Headers.push_back({"Last-Event-Id", std::to_string(Request.m_Received)});
    Headers.push_back({"Resumes", Request.m_Resumes});
  }
  Client.start(
      {.m_Method = "POST",
       .m_Url = "http://" + m_Hosts[Request.m_Host].m_CallerAddress + Path,
       .m_Headers = std::move(Headers),
       .m_Body = Id,
       .m_Timeout = Deadline + CallerTimeoutMargin,
       .m_OnDone = [this, Id,
                    OnDone = std::move(OnDone)](const HttpCallResult &Result) {
         --m_RequestsInFlight;
         m_Promises.responseReceived(Id, Result, m_Loop.now());
         OnDone(Result);
       }});
}

auto SoakRun::endFaultLater(std::function<void()> End) -> MonotonicTime {
  auto Span =
      MinFaultDuration + Milliseconds(m_Random.below(static_cast<std::uint64_t>(
                             (MaxFaultDuration - MinFaultDuration).count())));
  if (m_Random.unit() < LongFaultShare)
    Span = LongFaultDuration;
  m_Loop.schedule(Span, std::move(End));
  return m_Loop.now() + Span;
}

auto SoakRun::injectStoreLinkFault() -> void {
  constexpr auto Faults =
      std::array{LinkFault::Delay, LinkFault::DropAll, LinkFault::DropRequests,
                 LinkFault::DropResponses, LinkFault::Reset};
  auto Index = randomHost();
  auto Fault = Faults[m_Random.below(Faults.size())];
  recordEvent(
      fmt::format("host {} and the store: {}", Index, linkFaultName(Fault)));
  auto &Link = *m_Hosts[Index].m_StoreLink;
  Link.setFault(Fault);
  m_Promises.recordHostFault(
      Index, endFaultLater([&Link] { Link.setFault(LinkFault::None); }));
}

auto SoakRun::injectServerLinkFault() -> void {
  constexpr auto Faults =
      std::array{LinkFault::Delay, LinkFault::DropAll, LinkFault::DropRequests,
                 LinkFault::DropResponses, LinkFault::Reset};
  auto Index = m_Random.below(m_Servers.size());
  auto Fault = Faults[m_Random.below(Faults.size())];
  recordEvent(fmt::format("server {}: {}", Index, linkFaultName(Fault)));
  auto &Link = *m_Servers[Index].m_Link;
  Link.setFault(Fault);
  m_Promises.recordGlobalFault(
      endFaultLater([&Link] { Link.setFault(LinkFault::None); }));
}

auto SoakRun::injectStoreFault() -> void {
  auto Kind = m_Random.below(4);
  constexpr auto Names =
      std::array{"down", "deaf", "loses responses", "drops its history"};
  recordEvent(fmt::format("the store: {}", Names[Kind]));
  if (Kind == 3) {
    m_Store.discardHistory();
    m_Promises.recordGlobalFault(m_Loop.now());
    return;
  }
  auto &Flag = Kind == 0   ? m_Store.m_Unavailable
               : Kind == 1 ? m_Store.m_Unresponsive
                           : m_Store.m_DropWriteResponses;
  Flag = true;
  m_Promises.recordGlobalFault(endFaultLater([&Flag] { Flag = false; }));
}

auto SoakRun::injectServerFault() -> void {
  constexpr auto MaxTruncatedResponses = 4;
  constexpr auto MaxRefusals = 8;
  auto Index = m_Random.below(m_Servers.size());
  auto &Target = *m_Servers[Index].m_Process;
  auto Kind = m_Random.below(3);
  constexpr auto Names = std::array{"cuts responses", "refuses", "is slow"};
  recordEvent(fmt::format("server {} {}", Index, Names[Kind]));
  if (Kind == 0)
    Target.m_ResponsesToTruncate = MaxTruncatedResponses;
  else if (Kind == 1)
    Target.m_RequestsToRefuse = MaxRefusals;
  else
    m_SlowServers.insert(m_Servers[Index].m_Id);
  endFaultLater([this, Index] { m_SlowServers.erase(m_Servers[Index].m_Id); });
}

auto SoakRun::pauseHost() -> void {
  auto Index = randomHost();
  auto &Target = m_Hosts[Index];
  if (Target.m_Paused || Target.m_CallerAddress.empty())
    return;
  recordEvent(fmt::format("host {} is paused", Index));
  Target.m_Paused = true;
  Target.m_Process->signal(SIGSTOP);
  m_Promises.recordHostFault(
      Index, endFaultLater([this, Index] { resumeHost(m_Hosts[Index]); }));
}

auto SoakRun::resumeHost(Host &Target) -> void {
  Target.m_Process->signal(SIGCONT);
  if (std::exchange(Target.m_Paused, false))
    Target.m_ResumedAt = m_Loop.now();
}

auto SoakRun::killHost() -> void {
  constexpr auto AllShare = 0.15;
  auto All = m_Random.unit() < AllShare;
  auto Chosen = randomHost();
  for (auto Index = std::size_t{0}; Index < m_Hosts.size(); ++Index)
    if (All || Index == Chosen)
      kill(Index);
}

auto SoakRun::kill(std::size_t Index) -> void {
  recordEvent(fmt::format("host {} is killed", Index));
  m_Hosts[Index].m_Killed = true;
  m_Hosts[Index].m_Process->signal(SIGKILL);
  m_Promises.recordHostFault(Index, m_Loop.now());
}

auto SoakRun::killAllHostsRepeatedly() -> void {
  if (!std::exchange(m_KillingAll, true))
    killAllHosts(1 + static_cast<int>(m_ServerRandom.below(MaxKillsInSeries)));
}

auto SoakRun::killAllHosts(int Remaining) -> void {
  m_KillingAll = Remaining > 0 && m_InjectingFaults;
  if (!m_KillingAll)
    return;
  for (auto Index = std::size_t{0}; Index < m_Hosts.size(); ++Index)
    kill(Index);
  m_Loop.schedule(
      drawDuration(m_ServerRandom, MinKillInterval, MaxKillInterval),
      [this, Remaining] { killAllHosts(Remaining - 1); });
}

auto SoakRun::stopHost() -> void {
  auto Index = randomHost();
  auto &Target = m_Hosts[Index];
  if (Target.m_Stopping || Target.m_Paused || Target.m_CallerAddress.empty())
    return;
  recordEvent(fmt::format("host {} is asked to stop", Index));
  Target.m_Stopping = true;
  Target.m_Process->signal(SIGTERM);
  m_Promises.hostStopping(Index, m_Loop.now());
  m_Loop.schedule(m_Bounds.m_StopGrace + StopMargin,
                  [this, Index, Stopped = Target.m_Process.get()] {
                    checkStopped(Index, Stopped);
                  });
}

auto SoakRun::checkStopped(std::size_t Index, const test::Process *Stopped)
    -> void {
  const auto &Target = m_Hosts[Index];
  // A killed host was replaced.
  if (Target.m_Process.get() != Stopped || !Target.m_Stopping ||
      m_InjectingFaults)
    return;
  // A host cannot stop while it is paused.
  auto Left = Target.m_ResumedAt + StopMargin - m_Loop.now();
  if (Left > Duration::zero()) {
    m_Loop.schedule(Left,
                    [this, Index, Stopped] { checkStopped(Index, Stopped); });
    return;
  }
  m_Promises.reportViolation("planned-stops-end",
                             fmt::format("host {} still runs", Index));
}

auto SoakRun::reloadHost() -> void {
  auto Index = randomHost();
  if (m_Hosts[Index].m_CallerAddress.empty())
    return;
  recordEvent(fmt::format("host {} reloads", Index));
  m_Hosts[Index].m_Process->signal(SIGHUP);
}

auto SoakRun::changeKeys() -> void {
  auto Old = m_Keys.front();
  m_Keys.erase(m_Keys.begin());
  m_Keys.push_back(fmt::format("key-{}", ++m_LastKeyNumber));
  m_OldKeys.push_back(Old);
  if (m_OldKeys.size() > OldKeyCount)
    m_OldKeys.erase(m_OldKeys.begin());
  recordEvent(fmt::format("{} is withdrawn", Old));
  writeConfiguration();
  m_Promises.keyWithdrawn(Old, m_Loop.now());
  m_Promises.keyAdded(m_Keys.back(), m_Loop.now());
}

auto SoakRun::changeKeysWhileStoreUnresponsive() -> void {
  recordEvent("the store: deaf, and a key is withdrawn");
  m_Store.m_Unresponsive = true;
  m_Loop.schedule(LongFaultDuration,
                  [this] { m_Store.m_Unresponsive = false; });
  m_Promises.recordGlobalFault(m_Loop.now() + LongFaultDuration);
  changeKeys();
}

auto SoakRun::replaceServer() -> void {
  auto Ready = readyServers();
  if (Ready.size() < 2)
    return;
  addServer();
  auto Index = Ready[m_Random.below(Ready.size())];
  withdrawServer(Index, m_Random.unit() < WithoutNoticeShare);
}

auto SoakRun::withdrawServer(std::size_t Index, bool WithoutNotice) -> void {
  recordEvent(fmt::format("server {} leaves{}", Index,
                          WithoutNotice ? " without notice" : ""));
  writeServer(Index, WithoutNotice ? "gone" : "draining");
  m_Promises.serverWithdrawn(m_Servers[Index].m_Id, m_Loop.now());
  if (!WithoutNotice)
    m_Loop.schedule(m_Bounds.m_Drain + Seconds(2),
                    [this, Index] { writeServer(Index, "gone"); });
}

auto SoakRun::readyServers() const -> std::vector<std::size_t> {
  auto Ready = std::vector<std::size_t>();
  for (auto Index = std::size_t{0}; Index < m_Servers.size(); ++Index)
    if (m_Servers[Index].m_State == "ready")
      Ready.push_back(Index);
  return Ready;
}

auto SoakRun::restartServer() -> void {
  auto Ready = readyServers();
  auto Index = Ready[m_ServerRandom.below(Ready.size())];
  auto &Target = m_Servers[Index];
  auto OldId =
      std::exchange(Target.m_Id, fmt::format("i-{}-{}", Index, ++m_Restarts));
  Target.m_Version = fmt::format("v{}", m_Version);
  recordEvent(fmt::format("server {} restarts as {} with {}", OldId,
                          Target.m_Id, Target.m_Version));
  Target.m_Process->m_Id = Target.m_Id;
  Target.m_Process->m_Version = Target.m_Version;
  Target.m_Link->resetConnections();
  m_Promises.recordGlobalFault(m_Loop.now());
  writeServer(Index, "ready");
  m_Loop.schedule(
      drawDuration(m_ServerRandom, MinOldEntryTime, MaxOldEntryTime),
      [this, OldId] { m_Store.remove("servers/" + OldId); });
}

auto SoakRun::startRelease() -> void {
  if (std::exchange(m_Releasing, true))
    return;
  recordEvent(fmt::format("release of v{}", ++m_Version));
  continueRelease();
}

auto SoakRun::continueRelease() -> void {
  auto Ready = readyServers();
  auto Old = std::find_if(Ready.begin(), Ready.end(), [this](auto Index) {
    return m_Servers[Index].m_Version != fmt::format("v{}", m_Version);
  });
  m_Releasing = Old != Ready.end() && m_Sending;
  if (!m_Releasing)
    return;
  addServer();
  withdrawServer(*Old, m_ServerRandom.unit() < WithoutNoticeShare);
  m_Loop.schedule(drawDuration(m_ServerRandom, MinReleaseStep, MaxReleaseStep),
                  [this] { continueRelease(); });
}

auto SoakRun::refuseRequests() -> void {
  constexpr auto MaxRefusals = 20;
  auto Index = m_ServerRandom.below(m_Servers.size());
  recordEvent(fmt::format("server {} refuses", Index));
  m_Servers[Index].m_Process->m_RequestsToRefuse = MaxRefusals;
}

auto SoakRun::changeServersRepeatedly() -> void {
  m_Loop.schedule(
      drawDuration(m_ServerRandom, Duration::zero(), MaxServerChangeInterval),
      [this] {
        if (!m_InjectingFaults)
          return;
        const auto Steps = std::array{
            &SoakRun::restartServer, &SoakRun::restartServer,
            &SoakRun::restartServer, &SoakRun::refuseRequests,
            &SoakRun::startRelease,  &SoakRun::killAllHostsRepeatedly};
        (this->*Steps[m_ServerRandom.below(Steps.size())])();
        changeServersRepeatedly();
      });
}

auto SoakRun::injectFaults(Duration Span) -> void {
  m_InjectingFaults = true;
  changeServersRepeatedly();
  auto Until = m_Loop.now() + Span;
  const auto Steps = std::array{&SoakRun::injectStoreLinkFault,
                                &SoakRun::injectServerLinkFault,
                                &SoakRun::injectStoreFault,
                                &SoakRun::injectServerFault,
                                &SoakRun::pauseHost,
                                &SoakRun::killHost,
                                &SoakRun::stopHost,
                                &SoakRun::reloadHost,
                                &SoakRun::changeKeys,
                                &SoakRun::replaceServer,
                                &SoakRun::changeKeysWhileStoreUnresponsive};
  while (m_Loop.now() < Until) {
    (this->*Steps[m_Random.below(Steps.size())])();
    runLoopFor(Milliseconds(
        m_Random.below(static_cast<std::uint64_t>(MaxFaultInterval.count()))));
  }
  endFaults();
}

auto SoakRun::makePlannedChanges(Duration Span) -> void {
  auto Until = m_Loop.now() + Span;
  const auto Steps = std::array{&SoakRun::stopHost, &SoakRun::reloadHost,
                                &SoakRun::changeKeys, &SoakRun::replaceServer};
  while (m_Loop.now() < Until) {
    (this->*Steps[m_Random.below(Steps.size())])();
    runLoopFor(Milliseconds(
        m_Random.below(static_cast<std::uint64_t>(MaxFaultInterval.count()))));
  }
}

auto SoakRun::endFaults() -> void {
  recordEvent("all faults end");
  // The ends of faults that are still scheduled then have no effect.
  for (auto &Current : m_Hosts) {
    Current.m_StoreLink->setFault(LinkFault::None);
    resumeHost(Current);
  }
  for (auto &Current : m_Servers) {
    Current.m_Link->setFault(LinkFault::None);
    Current.m_Process->m_ResponsesToTruncate = 0;
    Current.m_Process->m_RequestsToRefuse = 0;
    m_SlowServers.erase(Current.m_Id);
  }
  m_Store.m_Unavailable = false;
  m_Store.m_Unresponsive = false;
  m_Store.m_DropWriteResponses = false;
  m_InjectingFaults = false;
  m_Promises.faultsEnded(m_Loop.now());
}

auto SoakRun::allHostsServe() -> bool {
  struct Counts {
    std::size_t m_Good = 0;
    std::size_t m_Responses = 0;
  };
  // Shared, since responses may arrive after the wait below has timed out.
  auto Seen = std::make_shared<Counts>();
  for (auto Index = std::size_t{0}; Index < m_Hosts.size(); ++Index) {
    if (m_Hosts[Index].m_CallerAddress.empty() || m_Hosts[Index].m_Stopping)
      return false;
    constexpr auto Good = 200U;
    send(*m_Client,
         {.m_Host = Index, .m_Route = "safe", .m_Key = m_Keys.front()},
         [Seen](const HttpCallResult &Result) {
           ++Seen->m_Responses;
           Seen->m_Good += Result.m_Status == Good ? 1 : 0;
         });
  }
  waitFor(RequestDeadline + CallerTimeoutMargin + Seconds(2),
          [&] { return Seen->m_Responses == m_Hosts.size(); });
  return Seen->m_Good == m_Hosts.size();
}

auto SoakRun::checkRecovery(const char *After) -> void {
  auto From = m_Loop.now();
  if (!waitFor(m_Bounds.m_RecoveryLimit + m_Bounds.m_StopGrace,
               [this] { return allHostsServe(); }))
    m_Promises.reportViolation(
        "recovery", fmt::format("not every host serves requests {} ms after {}",
                                toMilliseconds(m_Loop.now() - From), After));
}

auto SoakRun::run() -> std::vector<std::string> {
  if (!waitFor(StartTimeout, [this] { return allHostsServe(); })) {
    m_Promises.reportViolation(
        "start", "not every host serves requests after the start");
    return m_Promises.violations();
  }
  m_RequestTimer.emplace(m_Loop, m_Options.m_RequestInterval,
                         [this] { sendRequest(); });
  m_Sending = true;
  for (auto Caller = std::size_t{0};
       Caller <
       m_Hosts.size() * (StreamCallersPerHost + ResumingCallersPerHost);
       ++Caller) {
    m_StreamClients.push_back(makePooledHttpClient(m_Loop, {}));
    sendStream(Caller, Caller % m_Hosts.size(), {});
  }
  for (auto Round = std::size_t{0}; Round < m_Options.m_Rounds; ++Round) {
    injectFaults(m_Options.m_FaultTime);
    checkRecovery("the faults");
    // After this no violation of a host is tolerated because of a past fault.
    runLoopFor(m_Bounds.m_ToleranceAfterFault + Milliseconds(200));
    makePlannedChanges(m_Options.m_PlannedTime);
    runLoopFor(m_Bounds.m_Drain + Seconds(1));
    checkRecovery("planned changes");
  }
  m_RequestTimer.reset();
  m_Sending = false;
  waitFor(StreamDeadline + CallerTimeoutMargin + Seconds(2),
          [this] { return m_RequestsInFlight == 0; });
  for (const auto &[Window, Reports] : m_Fleet.m_Reports)
    if (Reports.size() > 1)
      m_Promises.reportViolation(
          "one-report", fmt::format("window {} has {} different reports",
                                    Window, Reports.size()));
  m_Promises.checkAtEnd();
  return m_Promises.violations();
}

auto SoakRun::statuses() const -> std::string {
  auto Text = std::string();
  for (const auto &[Status, Count] : m_Promises.statuses())
    Text += fmt::format("{}{}={}", Text.empty() ? "" : " ",
                        Status == 0 ? "none" : std::to_string(Status), Count);
  auto Copies = 0;
  for (const auto &Current : m_Servers)
    Copies += Current.m_Link->copiedRefusals();
  Text += fmt::format(" copied-refusals={} resumed={}/{}", Copies, m_Resumed,
                      m_Resumptions);
  return Text;
}

} // namespace dotterel::soak
