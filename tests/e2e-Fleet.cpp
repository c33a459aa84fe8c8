#include "support/Cluster.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <string>

using namespace dotterel;
using namespace dotterel::test;

namespace {

auto isComplete(const Reply &Response) -> bool {
  return Response.m_Outcome == HttpOutcome::Complete &&
         Response.m_Status == 200;
}

auto allEnded(const std::vector<std::shared_ptr<Reply>> &Replies) -> bool {
  return std::all_of(
      Replies.begin(), Replies.end(),
      [](const auto &PendingReply) { return PendingReply->m_Status != 0; });
}

/// Sends requests with different prompts to the gates in turn.
class Callers {
public:
  Callers(Cluster &Test, std::size_t Gates)
      : m_Test(Test), m_Gates(Gates), m_Key(Test.grantKey("ghent")) {}

  auto start(int Tokens) -> void {
    auto Text = fmt::format("request {}", m_Replies.size());
    m_Replies.push_back(m_Test.start(m_Test.chatCall(
        m_Replies.size() % m_Gates, m_Key,
        {{"max_tokens", Tokens},
         {"messages", Json::array({{{"role", "user"}, {"content", Text}}})}})));
  }

  auto checkAllComplete() -> void {
    m_Test.waitFor("all responses", [this] { return allEnded(m_Replies); });
    for (const auto &PendingReply : m_Replies) {
      CAPTURE(PendingReply->m_Body);
      CHECK(isComplete(*PendingReply));
    }
  }

private:
  Cluster &m_Test;
  std::size_t m_Gates;
  std::string m_Key;
  std::vector<std::shared_ptr<Reply>> m_Replies;
};

/// Returns the orders that the platform received, by backend server, in order
/// of arrival.
auto platformOrders(Cluster &Test) -> std::map<std::string, std::vector<Json>> {
  auto Orders = std::map<std::string, std::vector<Json>>();
  auto Response = Test.get(Test.m_PlatformUrl + "/platform/v1/orders");
  for (const auto &Order : Response.at("orders"))
    Orders[Order.at("backend").get<std::string>()].push_back(Order);
  return Orders;
}

/// Returns the number of backend servers in the state running.
auto runningServers(Cluster &Test) -> int {
  auto Response = Test.get(Test.m_PlatformUrl + "/platform/v1/backends");
  auto Number = 0;
  for (const auto &Item : Response.at("backends"))
    Number += Item.value("state", "running") == "running" ? 1 : 0;
  return Number;
}

} // namespace

TEST_CASE("e2e: backend servers are stopped and started with the load; orders "
          "never conflict and no request is aborted, though the duty's holder "
          "is paused beyond its lease") {
  auto Test =
      Cluster({.m_Gates = 2,
               .m_Runners = 6,
               .m_Services = 0,
               .m_Stewards = 2,
               .m_GateFlags = {"--region=ghent-region"},
               .m_StewardFlags = {
                   "--region=ghent-region", "--server-stop-patience-ms=1000",
                   "--server-lead-ms=0", "--load-report-lag-ms=500"}});
  for (auto Index = 0; Index < 6; ++Index)
    Test.m_ExtraBackendMembers[fmt::format("runner{}", Index)] = {
        {"region", "ghent-region"}};
  Test.publishBackends();
  auto Clients = Callers(Test, 2);
  REQUIRE(Test.callAsOperator(0, "presets",
                              {{"id", "ordinary"},
                               {"server_orders", true},
                               {"least_servers", 2},
                               {"role_changes", false}})
              .m_Status == 200);
  Test.waitFor("a first order", [&] {
    Clients.start(20);
    Test.runLoopFor(Milliseconds(100));
    return !platformOrders(Test).empty();
  });
  for (auto &Steward : Test.m_Stewards)
    if (Steward->log().find("event=order.sent") != std::string::npos) {
      Steward->signal(SIGSTOP);
      for (auto Count = 0; Count < 50; ++Count) {
        Clients.start(20);
        Test.runLoopFor(Milliseconds(100));
      }
      Steward->signal(SIGCONT);
    }
  Test.waitFor("two running servers at low load", [&] {
    Clients.start(20);
    Test.runLoopFor(Milliseconds(100));
    return runningServers(Test) == 2;
  });
  Test.waitFor("four running servers at high load", [&] {
    for (auto Count = 0; Count < 8; ++Count)
      Clients.start(100);
    Test.runLoopFor(Milliseconds(200));
    return runningServers(Test) >= 4;
  });
  Clients.checkAllComplete();
  for (const auto &Item : platformOrders(Test)) {
    CAPTURE(Item.first);
    CHECK_FALSE(ordersConflict(Item.second));
  }
}

TEST_CASE(
    "e2e: the loss of all engines of a data centre under load quarantines "
    "no request, and every request is completed") {
  auto Test = Cluster({.m_Gates = 2, .m_Runners = 9, .m_Services = 0});
  auto Clients = Callers(Test, 2);
  for (auto Count = 0; Count < 36; ++Count)
    Clients.start(150);
  constexpr auto LostEngines = std::array<std::size_t, 3>{0, 3, 6};
  Test.waitFor("work on every engine of the data centre", [&] {
    return std::all_of(
        LostEngines.begin(), LostEngines.end(), [&](std::size_t Index) {
          return !Test.seen(Test.m_RunnerUrls[Index])["requests"].empty();
        });
  });
  for (auto Index : LostEngines)
    Test.m_Runners[Index]->signal(SIGKILL);
  Clients.checkAllComplete();
  for (const auto &Url : Test.m_AdminUrls)
    CHECK(Test.get(Url + "/admin/v1/status").at("quarantined").empty());
}
