#include "Cluster.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <system_error>
#include <thread>
#include <unistd.h>

extern char **environ; // NOLINT: the name is POSIX's

namespace dotterel::test {

namespace {

constexpr auto DataCentres = std::array{"ghent", "liege", "ixelles"};

auto placementFlags(std::size_t Index) -> std::vector<std::string> {
  auto Zone = std::string(DataCentres[Index % DataCentres.size()]);
  return {fmt::format("--host=host{}", Index), "--data-centre=" + Zone,
          "--region=" + Zone + "-region"};
}

auto append(std::vector<std::string> &Target,
            const std::vector<std::string> &More) -> void {
  Target.insert(Target.end(), More.begin(), More.end());
}

} // namespace

Process::Process(const std::string &Program,
                 std::vector<std::string> Arguments) {
  const auto *Folder = std::getenv("DOTTEREL_BIN_DIR");
  auto Path = std::string(Folder != nullptr ? Folder : "build") + "/" + Program;
  auto Name = std::string("/tmp/dotterel-test-XXXXXX");
  auto Fd = ::mkstemp(Name.data());
  m_LogPath = Name;
  Arguments.insert(Arguments.begin(), Path);
  auto Pointers = std::vector<char *>();
  for (auto &Item : Arguments)
    Pointers.push_back(Item.data());
  Pointers.push_back(nullptr);
  auto Actions = posix_spawn_file_actions_t{};
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_adddup2(&Actions, Fd, STDERR_FILENO);
  posix_spawn_file_actions_adddup2(&Actions, Fd, STDOUT_FILENO);
  auto Code = ::posix_spawn(&m_Pid, Path.c_str(), &Actions, nullptr,
                            Pointers.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  ::close(Fd);
  REQUIRE_MESSAGE(Code == 0, "cannot start ", Path);
}

Process::~Process() {
  if (!m_Ended) {
    ::kill(m_Pid, SIGCONT);
    ::kill(m_Pid, SIGKILL);
    ::waitpid(m_Pid, &m_Status, 0);
  }
  ::unlink(m_LogPath.c_str());
}

auto Process::log() -> std::string {
  auto Stream = std::ifstream(m_LogPath);
  auto Text = std::stringstream();
  Text << Stream.rdbuf();
  return Text.str();
}

auto Process::field(const std::string &Event, const std::string &Name)
    -> std::string {
  auto Marker = "event=" + Event + " ";
  auto Prefix = " " + Name + "=";
  constexpr auto Pause = Milliseconds(20);
  for (auto Waited = Duration::zero(); Waited < EventTimeout; Waited += Pause) {
    auto Stream = std::istringstream(log());
    auto Line = std::string();
    while (std::getline(Stream, Line)) {
      auto At = Line.find(Prefix);
      if (Line.find(Marker) == std::string::npos || At == std::string::npos)
        continue;
      auto Start = At + Prefix.size();
      return Line.substr(Start, Line.find(' ', Start) - Start);
    }
    std::this_thread::sleep_for(Pause);
  }
  FAIL("no event ", Event, " in the log:\n", log());
  return {};
}

auto Process::signal(int Number) const -> void { ::kill(m_Pid, Number); }

auto Process::wait() -> int {
  if (!m_Ended)
    ::waitpid(m_Pid, &m_Status, 0);
  m_Ended = true;
  return WIFEXITED(m_Status) ? WEXITSTATUS(m_Status) : -1;
}

auto Process::running() -> bool {
  if (!m_Ended && ::waitpid(m_Pid, &m_Status, WNOHANG) == m_Pid)
    m_Ended = true;
  return !m_Ended;
}

auto Process::peakMemoryBytes() const -> std::size_t {
  auto Status = std::ifstream(fmt::format("/proc/{}/status", m_Pid));
  auto Line = std::string();
  while (std::getline(Status, Line))
    if (Line.starts_with("VmHWM:"))
      return std::stoull(Line.substr(Line.find(':') + 1)) << 10U;
  return 0;
}

auto Process::openDescriptors() const -> std::size_t {
  auto Failure = std::error_code();
  auto Entries = std::filesystem::directory_iterator(
      fmt::format("/proc/{}/fd", m_Pid), Failure);
  return static_cast<std::size_t>(std::distance(begin(Entries), end(Entries)));
}

auto Reply::error() const -> std::string {
  auto Body = json();
  if (!Body.is_object() || !Body.contains("error"))
    return fmt::format("status {} without an error", m_Status);
  const auto &Error = Body.at("error");
  return Error.value("code", "") + "/" + Error.value("execution", "");
}

auto ordersConflict(const std::vector<Json> &Orders) -> bool {
  auto EarlierIds = std::set<std::string>();
  auto Last = std::string();
  for (const auto &Order : Orders) {
    auto Id = Order.at("order").get<std::string>();
    if (Id != Last && !EarlierIds.insert(Id).second)
      return true;
    Last = Id;
  }
  return false;
}

Cluster::Cluster(const ClusterOptions &Options) : m_Options(Options) {
  m_Platform = std::make_unique<Process>(
      "dotterel-fakes", std::vector<std::string>{"--kind=platform"});
  m_PlatformUrl = "http://" + m_Platform->field("fake.listening", "address");
  for (auto Index = std::size_t{0}; Index < Options.m_Runners; ++Index)
    startRunner(Index);
  for (auto Index = std::size_t{0}; Index < Options.m_Services; ++Index) {
    m_Services.push_back(std::make_unique<Process>(
        "dotterel-fakes", std::vector<std::string>{"--kind=service"}));
    m_ServiceUrls.push_back(
        "http://" + m_Services.back()->field("fake.listening", "address"));
  }
  publishBackends();
  for (auto Index = std::size_t{0}; Index < Options.m_Gates; ++Index)
    startGate(Index);
  for (auto Index = std::size_t{0}; Index < Options.m_Stewards; ++Index)
    startSteward(Index);
  publishHosts();
  waitFor("all gates to list each other as live", [this] {
    for (const auto &Url : m_AdminUrls) {
      auto Status = get(Url + "/admin/v1/status");
      if (!Status.is_object() || !Status.value("hosts_listed", false))
        return false;
      for (const auto &Item : Status.at("members"))
        if (!Item.at("live").get<bool>())
          return false;
    }
    return true;
  });
  waitFor("all gates to be ready", [this] {
    for (const auto &Url : m_GateUrls)
      if (call({.m_Url = Url + "/readyz"}).m_Status != 200)
        return false;
    return true;
  });
}

Cluster::~Cluster() = default;

auto Cluster::startRunner(std::size_t Index) -> void {
  auto Arguments = std::vector<std::string>{
      "--kind=runner", fmt::format("--name=runner{}", Index)};
  append(Arguments, m_Options.m_RunnerFlags);
  m_Runners.resize(std::max(m_Runners.size(), Index + 1));
  m_RunnerUrls.resize(m_Runners.size());
  m_Runners[Index] =
      std::make_unique<Process>("dotterel-fakes", std::move(Arguments));
  m_RunnerUrls[Index] =
      "http://" + m_Runners[Index]->field("fake.listening", "address");
}

auto Cluster::startGate(std::size_t Index) -> void {
  auto Arguments = placementFlags(Index);
  append(Arguments,
         {"--listen=127.0.0.1:0",
          fmt::format("--store-url={}/as/gate{}", m_PlatformUrl, Index),
          "--platform-url=" + m_PlatformUrl, "--key-secret=secret",
          "--operator-token=token", "--drain-lag-ms=100",
          "--usage-window-seconds=2", "--usage-flush-ms=500",
          "--platform-poll-ms=200", "--load-poll-ms=100",
          "--gossip-interval-ms=200", "--config-poll-ms=200"});
  append(Arguments, m_Options.m_GateFlags);
  m_Gates.resize(std::max(m_Gates.size(), Index + 1));
  m_GateUrls.resize(m_Gates.size());
  m_AdminUrls.resize(m_Gates.size());
  m_GateRpc.resize(m_Gates.size());
  m_Gates[Index] =
      std::make_unique<Process>("dotterel-gate", std::move(Arguments));
  auto &Started = *m_Gates[Index];
  m_GateUrls[Index] = "http://" + Started.field("gate.listening", "callers");
  m_AdminUrls[Index] = "http://" + Started.field("gate.listening", "operators");
  m_GateRpc[Index] = Started.field("gate.listening", "rpc");
}

auto Cluster::startSteward(std::size_t Index) -> void {
  auto Arguments = placementFlags(Index);
  append(Arguments,
         {fmt::format("--store-url={}/as/steward{}", m_PlatformUrl, Index),
          "--platform-url=" + m_PlatformUrl, "--usage-window-seconds=2",
          "--usage-grace-ms=3000", "--lease-seconds=3",
          "--platform-poll-ms=200", "--load-poll-ms=100",
          "--gossip-interval-ms=200", "--config-poll-ms=200"});
  append(Arguments, m_Options.m_StewardFlags);
  m_Stewards.resize(std::max(m_Stewards.size(), Index + 1));
  m_StewardRpc.resize(m_Stewards.size());
  m_Stewards[Index] =
      std::make_unique<Process>("dotterel-steward", std::move(Arguments));
  m_StewardRpc[Index] = m_Stewards[Index]->field("steward.listening", "rpc");
}

auto Cluster::publishHosts() -> void {
  auto Hosts = Json::array();
  for (auto Index = std::size_t{0}; Index < m_Gates.size(); ++Index) {
    auto Name = fmt::format("host{}", Index);
    auto Processes =
        Json::array({{{"role", "gate"}, {"rpc", m_GateRpc[Index]}}});
    if (Index < m_StewardRpc.size())
      Processes.push_back({{"role", "steward"}, {"rpc", m_StewardRpc[Index]}});
    auto Leaving = std::find(m_LeavingHosts.begin(), m_LeavingHosts.end(),
                             Name) != m_LeavingHosts.end();
    Hosts.push_back({{"host", Name},
                     {"state", Leaving ? "leaving" : "live"},
                     {"processes", Processes}});
  }
  call({.m_Method = "PUT",
        .m_Url = m_PlatformUrl + "/platform/v1/hosts",
        .m_Body = Json{{"hosts", Hosts}}.dump()});
}

auto Cluster::publishBackends() -> void {
  auto Servers = Json::array();
  auto AddServer = [&](const std::string &Id, std::size_t Index, Json Entry) {
    auto Zone = std::string(DataCentres[Index % DataCentres.size()]);
    Entry["id"] = Id;
    Entry["data_centre"] = Zone;
    Entry["region"] = Zone + "-region";
    if (m_ExtraBackendMembers.contains(Id))
      Entry.update(m_ExtraBackendMembers.at(Id));
    Servers.push_back(std::move(Entry));
  };
  for (auto Index = std::size_t{0}; Index < m_RunnerUrls.size(); ++Index)
    AddServer(fmt::format("runner{}", Index), Index,
              {{"url", m_RunnerUrls[Index]}, {"models", {"namer"}}});
  for (auto Index = std::size_t{0}; Index < m_ServiceUrls.size(); ++Index)
    AddServer(fmt::format("desk{}", Index), Index,
              {{"url", m_ServiceUrls[Index]}, {"service", "desk"}});
  call({.m_Method = "PUT",
        .m_Url = m_PlatformUrl + "/platform/v1/backends",
        .m_Body = Json{{"backends", Servers}}.dump()});
}

auto Cluster::start(const Call &What) -> std::shared_ptr<Reply> {
  auto PendingReply = std::make_shared<Reply>();
  auto Request = HttpCall();
  Request.m_Method = What.m_Method;
  Request.m_Url = What.m_Url;
  Request.m_Headers = What.m_Headers;
  Request.m_Body = What.m_Body;
  Request.m_Timeout = What.m_Timeout;
  Request.m_OnDone = [PendingReply](const HttpCallResult &Result) {
    PendingReply->m_Headers = Result.m_Headers;
    PendingReply->m_Body = Result.m_Body;
    PendingReply->m_Outcome = Result.m_Outcome;
    // Set last: a status other than 0 marks the end of the call.
    constexpr auto NoResponse = 999U;
    PendingReply->m_Status =
        Result.m_Status != 0 ? Result.m_Status : NoResponse;
  };
  m_Client->start(std::move(Request));
  return PendingReply;
}

auto Cluster::call(const Call &What) -> Reply {
  auto PendingReply = start(What);
  waitFor("a response of " + What.m_Url,
          [&] { return PendingReply->m_Status != 0; });
  return *PendingReply;
}

auto Cluster::runLoopFor(Duration Span) -> void {
  m_Loop.schedule(Span, [this] { m_Loop.stop(); });
  m_Loop.run();
}

auto Cluster::waitFor(const std::string &What,
                      const std::function<bool()> &Condition) -> void {
  auto Start = m_Loop.now();
  while (!Condition()) {
    if (m_Loop.now() - Start > EventTimeout)
      FAIL("timed out while waiting for: ", What);
    runLoopFor(Milliseconds(5));
  }
}

auto Cluster::get(const std::string &Url) -> Json {
  return call({.m_Url = Url,
               .m_Headers = {{.m_Name = "Authorization",
                              .m_Value = "Bearer token"}}})
      .json();
}

auto Cluster::seen(const std::string &Url) -> Json {
  return get(Url + "/seen");
}

auto Cluster::setFaults(const std::string &Url, const Json &Faults) -> Json {
  return call({.m_Method = "POST",
               .m_Url = Url + "/faults",
               .m_Body = Faults.dump()})
      .json();
}

auto Cluster::callAsOperator(std::size_t Gate, const std::string &Path,
                             const Json &Body) -> Reply {
  return call(
      {.m_Method = "POST",
       .m_Url = m_AdminUrls.at(Gate) + "/admin/v1/" + Path,
       .m_Body = Body.dump(),
       .m_Headers = {{.m_Name = "Authorization", .m_Value = "Bearer token"}}});
}

auto Cluster::waitForRevision(std::uint64_t Revision) -> void {
  waitFor("the revision at all gates", [this, Revision] {
    for (auto Index = std::size_t{0}; Index < m_Gates.size(); ++Index) {
      if (!m_Gates[Index] || !m_Gates[Index]->running())
        continue;
      auto Status = get(m_AdminUrls[Index] + "/admin/v1/status");
      if (Status.value("revision", std::uint64_t{0}) < Revision)
        return false;
    }
    return true;
  });
}

auto Cluster::grantKey(const std::string &Organisation) -> std::string {
  auto Granted =
      callAsOperator(0, "keys/grant", {{"organisation", Organisation}});
  REQUIRE(Granted.m_Status == 200);
  waitForRevision(Granted.json().at("revision").get<std::uint64_t>());
  return Granted.json().at("key").get<std::string>();
}

auto Cluster::setRoute(const std::string &Id, const Json &Members) -> void {
  auto Body = Json{{"id", Id}, {"service", "desk"}};
  Body.update(Members);
  auto Set = callAsOperator(0, "routes", Body);
  REQUIRE(Set.m_Status == 200);
  waitForRevision(Set.json().at("revision").get<std::uint64_t>());
}

auto Cluster::chatCall(std::size_t Gate, const std::string &Key,
                       const Json &Members) -> Call {
  auto Body = Json{
      {"model", "namer"},
      {"max_tokens", 8},
      {"messages", Json::array({{{"role", "user"}, {"content", "a bird"}}})}};
  if (Members.is_object())
    Body.update(Members);
  return {
      .m_Method = "POST",
      .m_Url = m_GateUrls.at(Gate) + "/v1/chat/completions",
      .m_Body = Body.dump(),
      .m_Headers = {{.m_Name = "Authorization", .m_Value = "Bearer " + Key}}};
}

auto Cluster::serviceCall(std::size_t Gate, const std::string &Key,
                          const std::string &Path,
                          const std::string &IdempotencyKey) -> Call {
  auto What = Call{
      .m_Method = "POST",
      .m_Url = m_GateUrls.at(Gate) + Path,
      .m_Body = R"({"mark":"Dotterel"})",
      .m_Headers = {{.m_Name = "Authorization", .m_Value = "Bearer " + Key}}};
  if (!IdempotencyKey.empty())
    What.m_Headers.push_back(
        {.m_Name = "Idempotency-Key", .m_Value = IdempotencyKey});
  return What;
}

auto Cluster::makeIdempotencyKey() -> std::string {
  return fmt::format("{}-request-{:08}", std::time(nullptr), ++m_LastKeyNumber);
}

} // namespace dotterel::test
