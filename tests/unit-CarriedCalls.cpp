#include "dotterel/io/PooledHttpClient.h"
#include "dotterel/io/detail/CarriedCalls.h"
#include "support/RawServer.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <optional>
#include <rapidcheck.h>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;
using detail::CarriedCalls;

namespace {

auto echoed(const std::string &Value) -> HttpHeader {
  return {.m_Name = "X-Id", .m_Value = Value};
}

/// A server that numbers the calls it gets, and sends a copy of each response
/// before the next one on the same connection.
class NumberingServer {
public:
  explicit NumberingServer(EventLoop &Loop)
      : m_Server(Loop, [this](int Connection, const std::string &Head) {
          auto Last = std::exchange(
              m_Last[Connection],
              rawResponse(200, "X-Id: " + headerIn(Head, "X-Id") + "\r\n",
                          headerIn(Head, "X-Number")));
          m_Server.send(Connection, Last + m_Last[Connection]);
        }) {}

  [[nodiscard]] auto url() const -> std::string {
    return "http://" + m_Server.address() + "/";
  }
  [[nodiscard]] auto connections() const -> int {
    return m_Server.connections();
  }

private:
  std::map<int, std::string> m_Last;
  RawServer m_Server;
};

/// Makes one call after the other, and returns the bodies of the responses.
auto callAll(EventLoop &Loop, HttpClient &Client, const std::string &Url,
             const std::vector<std::string> &Ids) -> std::vector<std::string> {
  auto Bodies = std::vector<std::string>();
  for (auto Index = std::size_t{0}; Index < Ids.size(); ++Index) {
    Client.start({.m_Url = Url,
                  .m_Headers = {{.m_Name = "X-Id", .m_Value = Ids[Index]},
                                {.m_Name = "X-Number",
                                 .m_Value = std::to_string(Index)}},
                  .m_EchoedHeader = echoed(Ids[Index]),
                  .m_OnDone = [&](const HttpCallResult &Result) {
                    Bodies.push_back(Result.m_Body);
                    Loop.stop();
                  }});
    Loop.run();
  }
  return Bodies;
}

} // namespace

TEST_CASE(
    "carried calls: the response to a second call with the same id cannot "
    "be told from a late one") {
  auto Carried = CarriedCalls();
  CHECK(Carried.distinguishes(echoed("a")));
  Carried.add(echoed("a"));
  CHECK_FALSE(Carried.distinguishes(echoed("a")));
  CHECK(Carried.distinguishes(echoed("b")));
  CHECK(Carried.size() == 1);
  Carried.add(echoed("b"));
  CHECK_FALSE(Carried.distinguishes(echoed("a")));
}

TEST_CASE("carried calls: calls with and without an id share no connection") {
  auto Unnamed = CarriedCalls();
  Unnamed.add({});
  CHECK(Unnamed.distinguishes({}));
  CHECK_FALSE(Unnamed.distinguishes(echoed("a")));
  auto Named = CarriedCalls();
  Named.add(echoed("a"));
  CHECK_FALSE(Named.distinguishes({}));
  CHECK(Named.distinguishes(echoed("b")));
}

// Guards against a response without an id that passes for that to a request: a
// copied response had taken its place.
TEST_CASE("pooled client: the late response to a call without an id does not "
          "pass for that to the next call") {
  auto Loop = EventLoop();
  auto Copies = std::map<int, std::string>();
  auto Late = std::map<int, std::string>();
  std::unique_ptr<RawServer> Server;
  Server = std::make_unique<RawServer>(
      Loop, [&](int Connection, const std::string &Head) {
        auto Id = headerIn(Head, "X-Id");
        if (Id.empty()) {
          // The copy stands where the response is due.
          Server->send(Connection, std::exchange(Copies[Connection], {}));
          Late[Connection] = rawResponse(503, "X-Not-Executed: 1\r\n");
          return;
        }
        auto Own = rawResponse(200, "X-Id: " + Id + "\r\n", "own");
        Copies[Connection] = Own;
        Server->send(Connection, std::exchange(Late[Connection], {}) + Own);
      });
  auto Client = makePooledHttpClient(Loop, {});
  auto Call = [&](const std::string &Id) {
    auto Status = 0U;
    auto Call = HttpCall{.m_Url = "http://" + Server->address() + "/",
                         .m_Timeout = Milliseconds(200)};
    if (!Id.empty()) {
      Call.m_Headers = {{.m_Name = "X-Id", .m_Value = Id}};
      Call.m_EchoedHeader = echoed(Id);
    }
    Call.m_OnDone = [&](const HttpCallResult &Result) {
      Status = Result.m_Status;
      Loop.stop();
    };
    Client->start(std::move(Call));
    Loop.run();
    return Status;
  };
  CHECK(Call("a") == 200);
  Call("");
  CHECK(Call("b") == 200);
}

// Guards against copies of earlier responses that pass for the response to a
// call, since its id was sent on the same connection before.
TEST_CASE("pooled client: a call gets its own response also if the server "
          "copies its responses, for any order of repeated ids") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Calls) {
    constexpr auto DifferentIds = 4;
    auto Ids = std::vector<std::string>();
    for (auto Call : Calls)
      Ids.push_back(std::to_string(Call % DifferentIds));
    auto Loop = EventLoop();
    auto Server = NumberingServer(Loop);
    auto Client = makePooledHttpClient(Loop, {});
    auto Bodies = callAll(Loop, *Client, Server.url(), Ids);
    for (auto Index = std::size_t{0}; Index < Ids.size(); ++Index)
      RC_ASSERT(Bodies[Index] == std::to_string(Index));
  }));
}

TEST_CASE("pooled client: calls with different ids share a connection up to a "
          "number of calls") {
  auto Loop = EventLoop();
  std::unique_ptr<RawServer> Server;
  Server = std::make_unique<RawServer>(Loop, [&](int Connection,
                                                 const std::string &Head) {
    Server->send(Connection,
                 rawResponse(200, "X-Id: " + headerIn(Head, "X-Id") + "\r\n"));
  });
  auto Client = makePooledHttpClient(Loop, {.m_MaxCallsPerConnection = 10});
  auto Ids = std::vector<std::string>();
  for (auto Number = 0; Number < 30; ++Number)
    Ids.push_back(std::to_string(Number));
  callAll(Loop, *Client, "http://" + Server->address() + "/", Ids);
  CHECK(Server->connections() == 3);
}
