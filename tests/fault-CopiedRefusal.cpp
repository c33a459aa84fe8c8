#include "dotterel/io/PooledHttpClient.h"
#include "platform/EngineTransport.h"
#include "platform/PlatformFleetCalls.h"
#include "support/RawServer.h"
#include "support/ServingFakes.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto EventTimeout = Seconds(20);
/// Time between a copy and the response that it precedes.
constexpr auto CopyLead = Milliseconds(20);

auto run(EventLoop &Loop, const std::function<bool()> &Condition) -> void {
  auto Until = Loop.now() + EventTimeout;
  while (!Condition()) {
    REQUIRE(Loop.now() < Until);
    Loop.schedule(Milliseconds(2), [&Loop] { Loop.stop(); });
    Loop.run();
  }
}

auto named(const std::string &Id) -> std::string {
  return "X-Request-Id: " + Id + "\r\n";
}

auto refusal(const std::string &Id) -> std::string {
  return rawResponse(421, named(Id) + "X-Not-Executed: 1\r\n");
}

/// A backend server that refuses what is meant for another one, and sends a
/// copy of each refusal before its next response on the same connection.
class CopyingServer {
public:
  CopyingServer(EventLoop &Loop, std::string Id)
      : m_Loop(Loop), m_Id(std::move(Id)),
        m_Server(Loop, [this](int Connection, const std::string &Head) {
          handle(Connection, Head);
        }) {}

  [[nodiscard]] auto address() const -> std::string {
    return m_Server.address();
  }
  [[nodiscard]] auto waiting() const -> std::size_t { return m_Held.size(); }
  /// Sends the refusals that were held back, and holds back no more.
  auto sendRefusals() -> void {
    m_Hold = false;
    for (const auto &[Connection, Id] : std::exchange(m_Held, {}))
      refuse(Connection, Id);
  }

  int m_Executions = 0;

private:
  auto handle(int Connection, const std::string &Head) -> void {
    auto Id = headerIn(Head, "X-Request-Id");
    if (headerIn(Head, "X-Expect-Instance") != m_Id) {
      if (m_Hold)
        m_Held.emplace_back(Connection, Id);
      else
        refuse(Connection, Id);
      return;
    }
    ++m_Executions;
    if (auto Found = m_Copies.find(Connection); Found != m_Copies.end()) {
      m_Server.send(Connection, refusal(Found->second));
      m_Copies.erase(Found);
    }
    m_Loop.schedule(CopyLead, [this, Connection, Id] {
      m_Server.send(
          Connection,
          rawResponse(200, named(Id) + "X-Response-Stamp: s\r\n", "done"));
    });
  }

  auto refuse(int Connection, const std::string &Id) -> void {
    m_Copies[Connection] = Id;
    m_Server.send(Connection, refusal(Id));
  }

  EventLoop &m_Loop;
  std::string m_Id;
  bool m_Hold = true;
  std::vector<std::pair<int, std::string>> m_Held;
  std::map<int, std::string> m_Copies; ///< Id refused, by connection.
  RawServer m_Server;
};

/// A host's core with the transport of the platform.
struct CopiedRefusalFixture {
  CopiedRefusalFixture()
      : m_Core(m_Loop, m_Random, m_Transport, m_Distance, m_Metrics,
               [](const OrganisationId &) {}, {}) {
    auto Configuration = ServingConfiguration();
    Configuration.m_Revision = ConfigRevision{1};
    Configuration.m_Routes = {{.m_Id = RouteId{"unsafe"},
                               .m_Host = "h",
                               .m_PathPrefix = "/unsafe/",
                               .m_Kind = RequestKind::Unsafe,
                               .m_Timeout = Seconds(3),
                               .m_LatencyTarget = Milliseconds(500),
                               .m_Shares = {{.m_Service = ServiceId{"desk"}}},
                               .m_MaxAttempts = 2}};
    Configuration.m_Services.emplace(ServiceId{"desk"},
                                     ServiceSpec{.m_Id = ServiceId{"desk"}});
    m_Core.apply(std::move(Configuration));
    m_Core.recordConfirmation(m_Loop.now());
  }

  auto put(const std::string &Id, const std::string &Address,
           const std::string &DataCentre) -> void {
    m_Core.directory().put({.m_Id = BackendId{Id},
                            .m_Service = ServiceId{"desk"},
                            .m_Address = Address,
                            .m_DataCentre = DataCentreId{DataCentre},
                            .m_Slots = 8});
  }

  auto serve(const std::string &Id) -> std::shared_ptr<CallerView> {
    auto View = std::make_shared<CallerView>();
    m_Core.serve(std::make_shared<FakeExchange>(
        CallerRequest{.m_Id = RequestId{Id},
                      .m_Host = "h",
                      .m_Path = "/unsafe/x",
                      .m_TimeLeft = Seconds(2),
                      .m_Method = "GET",
                      .m_Target = "/unsafe/x",
                      .m_Headers = {{.m_Name = "X-Request-Id", .m_Value = Id}}},
        View));
    return View;
  }

  /// Serves requests at the other server, so that the retry budget allows a
  /// retry.
  auto fillRetryBudget() -> void {
    constexpr auto Requests = 40;
    put("i-other", m_Other.address(), "b");
    auto Views = std::vector<std::shared_ptr<CallerView>>();
    for (auto Number = 0; Number < Requests; ++Number)
      Views.push_back(serve("other" + std::to_string(Number)));
    run(m_Loop, [&] {
      return std::all_of(Views.begin(), Views.end(), [](const auto &View) {
        return View->m_Status == 200;
      });
    });
    m_Other.m_Executions = 0;
  }

  /// Serves a request that the server refuses for the id that had its address
  /// before, and then gets for its own.
  auto serveAtReusedAddress() -> std::shared_ptr<CallerView> {
    put("i-old", m_Server.address(), "a");
    auto View = serve("q1");
    run(m_Loop, [&] { return m_Server.waiting() == 1; });
    put("i-new", m_Server.address(), "a");
    m_Server.sendRefusals();
    run(m_Loop, [&] { return View->m_Status || View->m_Refusal; });
    return View;
  }

  EventLoop m_Loop;
  Random m_Random{7};
  std::unique_ptr<HttpClient> m_Client = makePooledHttpClient(m_Loop, {});
  platform::EngineTransport m_Transport{m_Loop, *m_Client};
  Distance m_Distance{
      {.m_Host = HostId{"h"},
       .m_DataCentre = DataCentreId{"a"},
       .m_Region = RegionId{"r"}},
      {{DataCentreId{"a"}, RegionId{"r"}}, {DataCentreId{"b"}, RegionId{"s"}}}};
  ServingMetrics m_Metrics;
  ServingCore m_Core;
  CopyingServer m_Server{m_Loop, "i-new"};
  CopyingServer m_Other{m_Loop, "i-other"};
};

} // namespace

// Guards against a second execution of a request that must run once: the copy
// of its refusal passes for the response of the server that executes it.
TEST_CASE("copied refusal: a request that is sent again to the address that "
          "refused it is executed once") {
  auto Test = CopiedRefusalFixture();
  Test.fillRetryBudget();
  auto View = Test.serveAtReusedAddress();
  CHECK(View->m_Status == 200);
  CHECK(Test.m_Server.m_Executions + Test.m_Other.m_Executions == 1);
}

// Guards against refusals that promise "not run" for a request that a server
// executes: the copy of its refusal passes for that server's response.
TEST_CASE("copied refusal: without another server the caller gets the response "
          "of the server that executes the request") {
  auto Test = CopiedRefusalFixture();
  auto View = Test.serveAtReusedAddress();
  CHECK(Test.m_Server.m_Executions == 1);
  CHECK(View->m_Status == 200);
  CHECK_FALSE(View->m_Refusal);
}

// Guards against an order whose outcome is taken from a copy of the response to
// an earlier order.
TEST_CASE("copied refusal: an order gets its own response") {
  auto Loop = EventLoop();
  auto Earlier = std::map<int, std::string>();
  auto Orders = 0;
  std::unique_ptr<RawServer> Server;
  Server = std::make_unique<RawServer>(
      Loop, [&](int Connection, const std::string &) {
        auto Own = rawResponse(++Orders == 1 ? 421 : 202, "");
        Server->send(Connection, std::exchange(Earlier[Connection], Own) + Own);
      });
  auto Client = makePooledHttpClient(Loop, {});
  auto Calls = platform::PlatformFleetCalls(
      *Client, {.m_Holder = HostId{"h"}, .m_ChecksFencing = true});
  auto Access = ServerAccess({}, {});
  auto Backend = BackendId{"i"};
  auto Target = SendTarget{.m_Backend = Backend, .m_Address = "a"};
  auto Outcomes = std::vector<OrderOutcome>();
  for (auto Number = std::uint64_t{1}; Number <= 2; ++Number) {
    auto Decision = Access.admit(Target, SendPurpose::Order,
                                 {.m_Listed = &Target}, Loop.now());
    REQUIRE(Decision.m_Permit);
    Calls.orderStage(std::move(*Decision.m_Permit),
                     {.m_Backend = Backend, .m_Address = Server->address()},
                     FencingNumber{Number}, [&](const StageOrderReply &Reply) {
                       Outcomes.push_back(Reply.m_Outcome);
                     });
    run(Loop, [&] { return Outcomes.size() == Number; });
  }
  CHECK(Outcomes[0] != OrderOutcome::Accepted);
  CHECK(Outcomes[1] == OrderOutcome::Accepted);
}
