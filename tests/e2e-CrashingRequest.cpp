#include "support/PlatformHosts.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// Hosts before servers of which one request crashes each that executes it.
struct CrashingPlatform : Platform {
  CrashingPlatform()
      : Platform(2, Seconds(3), std::vector<std::string>(8, "v1")) {}

  /// Sends the request that crashes servers. Returns the status of its
  /// response once the entry of a crashed server is removed.
  auto sendCrashing(int Host) -> unsigned {
    auto Request = request("once", "key-1", Host);
    Request.m_Body = "crashing";
    Request.m_Headers.push_back({CrashHeader, "1"});
    auto Status = call(Request).m_Status;
    for (auto Number = std::size_t{0}; Number < m_Servers.size(); ++Number)
      if (m_Servers[Number]->crashed())
        m_Store.remove(fmt::format("servers/i-{}", Number));
    runFor(Seconds(1));
    return Status;
  }

  auto crashedServers() const -> int {
    return static_cast<int>(
        std::count_if(m_Servers.begin(), m_Servers.end(),
                      [](const auto &Server) { return Server->crashed(); }));
  }

  auto restartAll() -> void {
    for (auto Host : {0, 1})
      kill(Host);
    for (auto Host : {0, 1})
      startProcess(Host);
    for (auto Host : {0, 1})
      waitFor("readiness", [&] { return ready(Host); });
  }
};

} // namespace

// Guards against a request that crashes servers anew after each restart of all
// hosts, since these had kept the evidence in their memory alone.
TEST_CASE(
    "host: a request that crashed three servers is refused after all hosts "
    "were killed, and others are served") {
  auto Test = CrashingPlatform();
  for (auto Round = 0; Round < 3; ++Round)
    CHECK(Test.sendCrashing(Round % 2) == 502);
  CHECK(Test.sendCrashing(0) == 503);
  REQUIRE(Test.crashedServers() == 3);
  for (auto Restart = 0; Restart < 2; ++Restart) {
    Test.restartAll();
    for (auto Host : {0, 1}) {
      CHECK(Test.sendCrashing(Host) == 503);
      CHECK(Test.call(Test.request("once", "key-1", Host)).m_Status == 200);
    }
  }
  CHECK(Test.crashedServers() == 3);
}

// Guards against a request that crashes engines anew after a restart of all
// gates and stewards, since these had kept the evidence in their memory alone.
TEST_CASE(
    "e2e: after a restart of all gates and stewards a request that crashed "
    "its engines is refused until an operator releases it") {
  auto Test = Cluster({.m_Runners = 6, .m_Stewards = 1});
  auto Key = Test.grantKey("ghent");
  for (const auto &Url : Test.m_RunnerUrls)
    Test.setFaults(Url, {{"crash_on", "poison"}});
  auto Chat = [&Test, &Key](std::size_t Gate, const char *Text) {
    return Test.call(Test.chatCall(
        Gate, Key,
        {{"messages", Json::array({{{"role", "user"}, {"content", Text}}})}}));
  };
  auto LostEngines = [&Test] {
    return std::count_if(Test.m_Runners.begin(), Test.m_Runners.end(),
                         [](const auto &Item) { return !Item->running(); });
  };
  auto RestartAll = [&Test] {
    auto Kill = [&Test](auto &Processes) {
      for (auto &Item : Processes)
        Item->signal(SIGKILL);
      Test.waitFor("the end of all", [&Processes] {
        return std::none_of(Processes.begin(), Processes.end(),
                            [](auto &Item) { return Item->running(); });
      });
    };
    Kill(Test.m_Gates);
    Kill(Test.m_Stewards);
    for (auto Index = std::size_t{0}; Index < Test.m_Gates.size(); ++Index)
      Test.startGate(Index);
    for (auto Index = std::size_t{0}; Index < Test.m_Stewards.size(); ++Index)
      Test.startSteward(Index);
    Test.publishHosts();
  };
  auto WaitUntilServed = [&] {
    for (auto Gate = std::size_t{0}; Gate < Test.m_Gates.size(); ++Gate)
      Test.waitFor("a served request",
                   [&, Gate] { return Chat(Gate, "sound").m_Status == 200; });
  };
  CHECK(Chat(0, "poison").error().starts_with("quarantined/"));
  REQUIRE(LostEngines() == 2);
  // The gates write within a second of their last observation.
  Test.runLoopFor(Seconds(2));
  RestartAll();
  WaitUntilServed();
  for (auto Gate = std::size_t{0}; Gate < Test.m_Gates.size(); ++Gate)
    CHECK(Chat(Gate, "poison").error().starts_with("quarantined/"));
  CHECK(LostEngines() == 2);

  auto Digests =
      Test.get(Test.m_AdminUrls[0] + "/admin/v1/status")["quarantined"];
  REQUIRE(Digests.size() == 1);
  for (auto Index = std::size_t{0}; Index < Test.m_Runners.size(); ++Index)
    if (Test.m_Runners[Index]->running())
      Test.setFaults(Test.m_RunnerUrls[Index], {{"crash_on", ""}});
  CHECK(Test.callAsOperator(0, "quarantine/release", {{"digest", Digests[0]}})
            .m_Status == 200);
  Test.runLoopFor(Seconds(2));
  RestartAll();
  WaitUntilServed();
  for (auto Gate = std::size_t{0}; Gate < Test.m_Gates.size(); ++Gate)
    CHECK(Chat(Gate, "poison").m_Status == 200);
}
