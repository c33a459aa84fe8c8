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

auto whole(const Reply &Answer) -> bool {
  return Answer.m_Outcome == HttpOutcome::Complete && Answer.m_Status == 200;
}

auto answered(const std::vector<std::shared_ptr<Reply>> &Slots) -> bool {
  return std::all_of(Slots.begin(), Slots.end(),
                     [](const auto &Slot) { return Slot->m_Status != 0; });
}

/// Requests that differ from each other, sent to the gates in turn.
class Callers {
public:
  Callers(Cluster &Test, std::size_t Gates)
      : m_Test(Test), m_Gates(Gates), m_Key(Test.grant("ghent")) {}

  auto start(int Tokens) -> void {
    auto Text = fmt::format("request {}", m_Slots.size());
    m_Slots.push_back(m_Test.start(m_Test.chat(
        m_Slots.size() % m_Gates, m_Key,
        {{"max_tokens", Tokens},
         {"messages", Json::array({{{"role", "user"}, {"content", Text}}})}})));
  }

  auto checkAllWhole() -> void {
    m_Test.waitFor("all answers", [this] { return answered(m_Slots); });
    for (const auto &Slot : m_Slots) {
      CAPTURE(Slot->m_Body);
      CHECK(whole(*Slot));
    }
  }

private:
  Cluster &m_Test;
  std::size_t m_Gates;
  std::string m_Key;
  std::vector<std::shared_ptr<Reply>> m_Slots;
};

/// Orders that the platform received, in order of arrival, by backend server.
auto platformOrders(Cluster &Test) -> std::map<std::string, std::vector<Json>> {
  auto Orders = std::map<std::string, std::vector<Json>>();
  auto Answer = Test.get(Test.m_PlatformUrl + "/platform/v1/orders");
  for (const auto &Order : Answer.at("orders"))
    Orders[Order.at("backend").get<std::string>()].push_back(Order);
  return Orders;
}

/// Backend servers that the platform runs.
auto running(Cluster &Test) -> int {
  auto Answer = Test.get(Test.m_PlatformUrl + "/platform/v1/backends");
  auto Number = 0;
  for (const auto &Item : Answer.at("backends"))
    Number += Item.value("state", "running") == "running" ? 1 : 0;
  return Number;
}

} // namespace

TEST_CASE("e2e: backend servers follow the load down and up, with the duty's "
          "holder stopped past its lease; orders never conflict and no request "
          "is cut") {
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
    Test.m_BackendExtras[fmt::format("runner{}", Index)] = {
        {"region", "ghent-region"}};
  Test.publishBackends();
  auto Clients = Callers(Test, 2);
  REQUIRE(Test.order(0, "presets",
                     {{"id", "ordinary"},
                      {"server_orders", true},
                      {"least_servers", 2},
                      {"role_changes", false}})
              .m_Status == 200);
  Test.waitFor("a first order", [&] {
    Clients.start(20);
    Test.pass(Milliseconds(100));
    return !platformOrders(Test).empty();
  });
  for (auto &Steward : Test.m_Stewards)
    if (Steward->log().find("event=order.sent") != std::string::npos) {
      Steward->signal(SIGSTOP);
      for (auto Count = 0; Count < 50; ++Count) {
        Clients.start(20);
        Test.pass(Milliseconds(100));
      }
      Steward->signal(SIGCONT);
    }
  Test.waitFor("the lull's two servers", [&] {
    Clients.start(20);
    Test.pass(Milliseconds(100));
    return running(Test) == 2;
  });
  Test.waitFor("the surge's servers", [&] {
    for (auto Count = 0; Count < 8; ++Count)
      Clients.start(100);
    Test.pass(Milliseconds(200));
    return running(Test) >= 4;
  });
  Clients.checkAllWhole();
  for (const auto &Item : platformOrders(Test)) {
    CAPTURE(Item.first);
    CHECK_FALSE(ordersConflict(Item.second));
  }
}

TEST_CASE("e2e: a data centre's engines lost at once under load quarantine "
          "nobody, and every request is answered") {
  auto Test = Cluster({.m_Gates = 2, .m_Runners = 9, .m_Services = 0});
  auto Clients = Callers(Test, 2);
  for (auto Count = 0; Count < 36; ++Count)
    Clients.start(150);
  constexpr auto Lost = std::array<std::size_t, 3>{0, 3, 6};
  Test.waitFor("work on every engine of the data centre", [&] {
    return std::all_of(Lost.begin(), Lost.end(), [&](std::size_t Index) {
      return !Test.seen(Test.m_RunnerUrls[Index])["requests"].empty();
    });
  });
  for (auto Index : Lost)
    Test.m_Runners[Index]->signal(SIGKILL);
  Clients.checkAllWhole();
  for (const auto &Url : Test.m_AdminUrls)
    CHECK(Test.get(Url + "/admin/v1/status").at("quarantined").empty());
}
