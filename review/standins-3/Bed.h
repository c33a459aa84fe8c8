/// \file
/// Test bed for the scripts of review/11 to review/15: starts hosts with the
/// command of the deploy file on loopback addresses, before stand-ins of the
/// store, the platform and the runners.
#ifndef REVIEW_STANDINS_3_BED_H
#define REVIEW_STANDINS_3_BED_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/PooledHttpClient.h"
#include "dotterel/io/StrictHttpServer.h"
#include "support/PlatformFakes.h"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace review {

using namespace dotterel;
using Json = nlohmann::json;

/// Exit codes of a script.
inline constexpr auto Held = 0;
inline constexpr auto Broken = 1;
inline constexpr auto CouldNotRun = 2;

/// The bounds of the small deployments.
inline constexpr auto ContactTime = Milliseconds(4000);

inline auto withTrouble() -> bool {
  const auto *Value = std::getenv("TROUBLE");
  return Value == nullptr || std::string(Value) != "0";
}

/// Thrown if the case could not run.
struct NotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Writes what was sent, answered and run, with the time in ms.
class Record {
public:
  Record(EventLoop &Loop, const std::string &Path)
      : m_Loop(Loop), m_Start(Loop.now()), m_File(Path) {}

  template <typename... Arguments>
  auto line(fmt::format_string<Arguments...> Format, Arguments &&...Values)
      -> void {
    m_File << fmt::format("{:6} ", toMilliseconds(m_Loop.now() - m_Start))
           << fmt::format(Format, std::forward<Arguments>(Values)...) << '\n';
    m_File.flush();
  }

private:
  EventLoop &m_Loop;
  MonotonicTime m_Start;
  std::ofstream m_File;
};

/// A host's process. The destructor kills it.
class Host {
public:
  Host(int Number, const std::string &Folder, const std::string &Store,
       const std::string &Fleet, bool RequireFence, const std::string &Zone)
      : m_Ip(fmt::format("127.0.0.{}", 10 + Number)),
        m_Settings(fmt::format("{}/host-{}.conf", Folder, Number)),
        m_Log(fmt::format("{}/host-{}.log", Folder, Number)) {
    auto File = std::ofstream(m_Settings);
    File << fmt::format(
        "node_name=front-{zone}-{number}\nrole=host\nmachine_class=front\n"
        "serves=front\nip={ip}\nzone={zone}\nregion=r-{zone}\n"
        "zones.z1=r-z1\nzones.z2=r-z2\nlisten.front={ip}:0\n"
        "listen.ready={ip}:0\ninternal_ports=0,0\nbootstrap=true\n"
        "limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\n"
        "limits.max_fds=4100\nlimits.link_mbps=1000.0\ndiscovery=platform\n"
        "entry=vip\nheartbeat_ms=1200\nbounds.seed_lag_s=3\n"
        "bounds.addr_reuse_s=2\nbounds.contact_ms=4000\nbounds.ack_ms=5000\n"
        "bounds.catch_up_s=4\nbounds.drain_ms=3000\nbounds.grace_s=8\n"
        "bounds.lost_slack_ms=200\nbounds.config_apply_ms=3000\n"
        "bounds.rollback_slack_ms=250\nbounds.max_skew_ms=6000\n"
        "bounds.strict_revoke=true\nbounds.revoke_ms=5000\n"
        "bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n"
        "bounds.budget_extra=58\nbounds.require_fence={fence}\n"
        "bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.usage_window_s=5\n"
        "bounds.usage_tolerance=0.05\nbounds.usage_late_s=10\n"
        "bounds.recovery_s=12\nbounds.transit_ms=400\n"
        "bounds.retry_after_s=8.9\nplatform.address={store}\n"
        "platform.form=kv\nplatform.writes_per_s=400\n"
        "platform.reads_per_s=2000\nplatform.history_s=20\n"
        "platform.value_bytes=1048576\nplatform.min_ttl_ms=1000\n"
        "cloud.address={fleet}\ncloud.rate_per_s=50.0\n"
        "cloud.duty_per_s=50.0\n",
        fmt::arg("zone", Zone), fmt::arg("number", Number),
        fmt::arg("ip", m_Ip), fmt::arg("fence", RequireFence),
        fmt::arg("store", Store), fmt::arg("fleet", Fleet));
    File.close();
    start();
  }
  Host(const Host &) = delete;
  auto operator=(const Host &) -> Host & = delete;
  ~Host() {
    if (m_Pid > 0) {
      ::kill(m_Pid, SIGKILL);
      ::waitpid(m_Pid, nullptr, 0);
    }
  }

  auto start() -> void {
    m_Pid = ::fork();
    if (m_Pid != 0)
      return;
    // The host ends with the script.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    auto Fd = ::open(m_Log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(Fd, 1);
    ::dup2(Fd, 2);
    ::setenv("DOTTERELPOINT_NODE_FILE", m_Settings.c_str(), 1);
    auto Metrics = "--metrics-listen=" + m_Ip + ":0";
    const auto *Other = std::getenv("REVIEW_HOST");
    const auto *Program = Other != nullptr ? Other : "target/dotterel-host";
    ::execl(Program, Program, Metrics.c_str(), nullptr);
    ::_exit(127);
  }

  auto signal(int Number) const -> void { ::kill(m_Pid, Number); }
  auto kill() -> void {
    ::kill(m_Pid, SIGKILL);
    ::waitpid(m_Pid, nullptr, 0);
    m_Pid = -1;
  }
  /// The wait status of the process if it has ended.
  auto status() -> std::optional<int> {
    auto Status = 0;
    if (m_Pid > 0 && ::waitpid(m_Pid, &Status, WNOHANG) == m_Pid) {
      m_Pid = -1;
      return Status;
    }
    return std::nullopt;
  }
  /// Whether the process has ended by itself.
  auto ended() -> bool {
    if (m_Pid > 0 && ::waitpid(m_Pid, nullptr, WNOHANG) == m_Pid)
      m_Pid = -1;
    return m_Pid < 0;
  }

  /// A field of the first log line of an event; empty if there is none.
  [[nodiscard]] auto logField(const std::string &Event,
                              const std::string &Name) const -> std::string {
    auto File = std::ifstream(m_Log);
    auto Line = std::string();
    while (std::getline(File, Line)) {
      if (Line.find("event=" + Event + " ") == std::string::npos)
        continue;
      auto At = Line.find(" " + Name + "=");
      if (At == std::string::npos)
        continue;
      auto Value = Line.substr(At + Name.size() + 2);
      return Value.substr(0, Value.find(' '));
    }
    return {};
  }
  [[nodiscard]] auto logHas(const std::string &Event) const -> bool {
    auto File = std::ifstream(m_Log);
    auto Text = std::stringstream();
    Text << File.rdbuf();
    return Text.str().find("event=" + Event) != std::string::npos;
  }

private:
  std::string m_Ip;
  std::string m_Settings;
  std::string m_Log;
  pid_t m_Pid = -1;
};

/// Store, platform and hosts.
struct Bed {
  explicit Bed(const std::string &RecordPath) : m_Record(m_Loop, RecordPath) {
    auto Template = std::string("/tmp/review-3-XXXXXX");
    if (::mkdtemp(Template.data()) == nullptr)
      throw NotRun("no temporary folder");
    m_Folder = Template;
  }
  ~Bed() {
    m_Hosts.clear();
    if (std::getenv("KEEP") == nullptr && m_Folder.starts_with("/tmp/review-3-"))
      for (auto Number = 0; Number < 8; ++Number)
        for (const auto *Kind : {"conf", "log"})
          ::unlink(
              fmt::format("{}/host-{}.{}", m_Folder, Number, Kind).c_str());
    ::rmdir(m_Folder.c_str());
  }

  auto runFor(Duration Span) -> void {
    m_Loop.schedule(Span, [this] { m_Loop.stop(); });
    m_Loop.run();
  }
  auto waitFor(const char *Event, Duration Limit,
               const std::function<bool()> &Condition) -> void {
    auto Until = m_Loop.now() + Limit;
    while (!Condition()) {
      if (m_Loop.now() > Until)
        throw NotRun(fmt::format("no {}", Event));
      runFor(Milliseconds(20));
    }
  }

  auto startHost(const std::string &Zone = "z1", bool RequireFence = true)
      -> void {
    auto Number = static_cast<int>(m_Hosts.size());
    m_Hosts.push_back(std::make_unique<Host>(Number, m_Folder,
                                             m_Store.address(), m_FleetAddress,
                                             RequireFence, Zone));
    auto &Started = *m_Hosts.back();
    waitFor("listening host", Seconds(10),
            [&] { return Started.logHas("host.listening"); });
    m_Callers.push_back(Started.logField("host.listening", "callers"));
    m_Readiness.push_back(Started.logField("host.listening", "readiness"));
  }
  auto waitUntilReady(std::size_t Number) -> void {
    waitFor("ready host", Seconds(10), [&] {
      auto Status = std::make_shared<unsigned>(0);
      auto Done = std::make_shared<bool>(false);
      m_Client->start(
          {.m_Method = "GET",
           .m_Url = fmt::format("http://{}/dotterelpoint/readiness",
                                m_Readiness[Number]),
           .m_Timeout = Milliseconds(500),
           .m_DedicatedConnection = true,
           .m_OnDone = [Status, Done](const HttpCallResult &Result) {
             *Status = Result.m_Status;
             *Done = true;
           }});
      while (!*Done)
        runFor(Milliseconds(10));
      return *Status == 200;
    });
  }

  EventLoop m_Loop;
  test::FakeStore m_Store{m_Loop};
  std::string m_FleetAddress;
  std::unique_ptr<HttpClient> m_Client = makePooledHttpClient(m_Loop, {});
  Record m_Record;
  std::string m_Folder;
  std::vector<std::unique_ptr<Host>> m_Hosts;
  std::vector<std::string> m_Callers;
  std::vector<std::string> m_Readiness;
};

inline auto route(const char *Name, const char *Kind, const char *Service,
                  int TimeoutMs, int Attempts) -> Json {
  return {{"name", Name},
          {"host", "h.example"},
          {"path_prefix", fmt::format("/{}/", Name)},
          {"kind", Kind},
          {"timeout_ms", TimeoutMs},
          {"target_latency_ms", 400},
          {"target_gap_ms", 300},
          {"service", Service},
          {"max_attempts", Attempts},
          {"priority", 1},
          {"public", false}};
}

inline auto configuration(int Version, Json Routes, Json Services) -> Json {
  return {{"version", Version},
          {"routes", std::move(Routes)},
          {"services", std::move(Services)},
          {"limits",
           {{"max_header_bytes", 16384},
            {"max_body_bytes", 1048576},
            {"header_timeout_ms", 2000},
            {"idle_timeout_ms", 20000}}},
          {"tenants", {{{"name", "org"}, {"api_keys", {"key-1"}}}}}};
}

} // namespace review

#endif // REVIEW_STANDINS_3_BED_H
