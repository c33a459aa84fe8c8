//===- PlatformHosts.h - Hosts as real processes ----------------*- C++ -*-===//
///
/// \file
/// Starts hosts as processes that are connected to fakes of the platform's
/// servers.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_PLATFORMHOSTS_H
#define DOTTEREL_TESTS_SUPPORT_PLATFORMHOSTS_H

#include "Cluster.h"
#include "PlatformFakes.h"
#include "dotterel/io/PooledHttpClient.h"

#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>
#include <utility>
#include <vector>

namespace dotterel::test {

/// Hosts as real processes, connected to fakes of the platform's servers.
struct Platform {
  explicit Platform(int Hosts = 1, Duration RouteTimeout = Seconds(3),
                    std::vector<std::string> Versions = {"v1", "v1"},
                    std::size_t MaxBodyBytes = 10000)
      : m_RouteTimeout(RouteTimeout), m_MaxBodyBytes(MaxBodyBytes),
        m_Versions(std::move(Versions)) {
    for (auto Number = 0; Number < static_cast<int>(m_Versions.size());
         ++Number) {
      auto Id = fmt::format("i-{}", Number);
      m_Servers.push_back(std::make_unique<FakeServer>(m_Loop, Id));
      registerServer(Number, "ready");
    }
    configure(1, {"key-1", "key-2"});
    for (auto Number = 0; Number < Hosts; ++Number)
      startHost(Number);
    for (auto Number = 0; Number < Hosts; ++Number)
      waitFor("readiness", [&] { return ready(Number); });
  }

  ~Platform() {
    for (const auto &Path : m_SettingsPaths)
      ::unlink(Path.c_str());
  }

  auto registerServer(int Number, const std::string &State) -> void {
    m_Store.put(
        fmt::format("servers/i-{}", Number),
        {{"service", "desk"},
         {"address", m_Servers[static_cast<std::size_t>(Number)]->address()},
         {"zone", "z1"},
         {"version", m_Versions[static_cast<std::size_t>(Number)]},
         {"slots", 4},
         {"state", State},
         {"sequence", ++m_Sequence}});
  }

  auto configure(int Version, const std::vector<std::string> &Keys) -> void {
    auto Route = [this](const char *Name, const char *Kind) {
      return Json{{"name", Name},
                  {"host", "h.example"},
                  {"path_prefix", fmt::format("/{}/", Name)},
                  {"kind", Kind},
                  {"timeout_ms", toMilliseconds(m_RouteTimeout)},
                  {"target_latency_ms", 400},
                  {"service", "desk"},
                  {"max_attempts", 2},
                  {"public", false}};
    };
    auto Resumable = Route("resumable", "streaming");
    Resumable["resumable"] = true;
    m_Store.put("op/config",
                {{"version", Version},
                 {"routes",
                  {Route("safe", "safe"), Route("once", "unsafe"),
                   Route("stream", "streaming"), Resumable}},
                 {"services", {{{"name", "desk"}}}},
                 {"limits",
                  {{"max_header_bytes", 4096},
                   {"max_body_bytes", m_MaxBodyBytes},
                   {"header_timeout_ms", 1000},
                   {"idle_timeout_ms", 5000}}},
                 {"tenants", {{{"name", "org"}, {"api_keys", Keys}}}}});
  }

  auto startHost(int Number) -> void {
    auto Path = fmt::format("/tmp/dotterel-settings-{}-{}", ::getpid(), Number);
    auto File = std::ofstream(Path);
    File << fmt::format(
        "node_name=host-{}\nzone=z1\nregion=r1\nzones.z1=r1\n"
        "listen.front=127.0.0.1:0\nlisten.ready=127.0.0.1:0\nip=127.0.0.1\n"
        "internal_ports=0,0\nplatform.address={}\ncloud.address={}\n"
        "bounds.revoke_ms=5000\nbounds.grace_s=8\nbounds.drain_ms=3000\n"
        "bounds.usage_window_s=2\nbounds.usage_late_s=6\n",
        Number, m_Store.address(), m_Fleet.address());
    File.close();
    m_SettingsPaths.push_back(Path);
    m_Hosts.emplace_back();
    m_Callers.emplace_back();
    m_Readiness.emplace_back();
    startProcess(Number);
  }

  /// Starts the process of a host, whose earlier one has ended, with empty
  /// memory.
  auto startProcess(int Number) -> void {
    auto Index = static_cast<std::size_t>(Number);
    m_Hosts[Index] = std::make_unique<Process>(
        "dotterel-host", std::vector<std::string>{
                             "--metrics-listen=127.0.0.1:0",
                             "--platform-settings=" + m_SettingsPaths[Index]});
    // The fake store responds only while the event loop of this process runs.
    auto &Started = *m_Hosts[Index];
    waitFor("a listening host", [&Started] {
      return Started.log().find("event=host.listening") != std::string::npos;
    });
    m_Callers[Index] = Started.field("host.listening", "callers");
    m_Readiness[Index] = Started.field("host.listening", "readiness");
  }

  auto kill(int Number) -> void {
    auto &Killed = *m_Hosts[static_cast<std::size_t>(Number)];
    Killed.signal(SIGKILL);
    waitFor("the end of a host", [&Killed] { return !Killed.running(); });
  }

  auto waitFor(const std::string &Event, const std::function<bool()> &Condition)
      -> void {
    auto Until = m_Loop.now() + EventTimeout;
    while (!Condition()) {
      REQUIRE_MESSAGE(m_Loop.now() < Until, "no ", Event);
      runFor(Milliseconds(10));
    }
  }

  auto runFor(Duration Span) -> void {
    m_Loop.schedule(Span, [this] { m_Loop.stop(); });
    m_Loop.run();
  }

  auto ready(int Host) -> bool {
    return call({.m_Url =
                     fmt::format("http://{}/dotterelpoint/readiness",
                                 m_Readiness[static_cast<std::size_t>(Host)])})
               .m_Status == 200;
  }

  auto start(const Call &Request) -> std::shared_ptr<Reply> {
    auto Slot = std::make_shared<Reply>();
    m_Client->start({.m_Method = Request.m_Method,
                     .m_Url = Request.m_Url,
                     .m_Headers = Request.m_Headers,
                     .m_Body = Request.m_Body,
                     .m_Timeout = Request.m_Timeout,
                     .m_DedicatedConnection = true,
                     .m_OnDone = [Slot](const HttpCallResult &Result) {
                       *Slot = {.m_Outcome = Result.m_Outcome,
                                .m_Status = Result.m_Status,
                                .m_Headers = Result.m_Headers,
                                .m_Body = Result.m_Body};
                       if (Result.m_Status == 0)
                         Slot->m_Status = 1;
                     }});
    return Slot;
  }

  auto call(const Call &Request) -> Reply {
    auto Slot = start(Request);
    waitFor("response", [&] { return Slot->m_Status != 0; });
    return *Slot;
  }

  auto request(const std::string &Route, const std::string &Key = "key-1",
               int Host = 0) -> Call {
    return {.m_Method = "POST",
            .m_Url =
                fmt::format("http://{}/{}/x?y=1",
                            m_Callers[static_cast<std::size_t>(Host)], Route),
            .m_Body = "body",
            .m_Headers = {{"Host", "h.example"},
                          {"X-Request-Id", fmt::format("q{}", ++m_LastRequest)},
                          {"X-Deadline-Ms", "2000"},
                          {"Authorization", "Bearer " + Key}}};
  }

  auto executions() const -> int {
    auto Sum = 0;
    for (const auto &Server : m_Servers)
      for (const auto &[Id, Count] : Server->m_Executions)
        Sum += Count;
    return Sum;
  }

  Duration m_RouteTimeout;
  std::size_t m_MaxBodyBytes;
  /// Software version of each server.
  std::vector<std::string> m_Versions;
  EventLoop m_Loop;
  FakeStore m_Store{m_Loop};
  FakeFleet m_Fleet{m_Loop};
  std::vector<std::unique_ptr<FakeServer>> m_Servers;
  std::unique_ptr<HttpClient> m_Client = makePooledHttpClient(m_Loop, {});
  std::vector<std::string> m_SettingsPaths;
  std::vector<std::unique_ptr<Process>> m_Hosts;
  std::vector<std::string> m_Callers;
  std::vector<std::string> m_Readiness;
  int m_Sequence = 0;
  int m_LastRequest = 0;
};

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_PLATFORMHOSTS_H
