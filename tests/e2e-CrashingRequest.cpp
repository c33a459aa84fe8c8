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
