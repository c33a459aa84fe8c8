/// \file
/// Runners with stages that orders change. One leaves an order unanswered and
/// carries it out late, and the host that gave it is killed.
#include "Bed.h"
#include "RunnerServer.h"

#include "dotterel/base/Log.h"

#include <map>
#include <optional>
#include <set>

namespace review {

namespace {

constexpr auto Heartbeat = Milliseconds(1200);
constexpr auto SwitchTime = Milliseconds(1000);
constexpr auto Slots = 12;

struct CarriedOut {
  std::string m_Runner;
  std::string m_Holder;
  std::uint64_t m_Token = 0;
  bool m_Late = false;
};

struct History {
  std::vector<CarriedOut> m_Orders;
};

class Engine final : public HttpHandler {
public:
  Engine(Bed &Test, History &Seen, int Number, const char *Stage)
      : m_Test(Test), m_Seen(Seen), m_Id(fmt::format("i-{}", Number)),
        m_Stage(Stage) {
    // No outgoing connection uses this address, so the port stays free.
    open(fmt::format("127.0.1.{}:0", 1 + Number));
    m_Address = m_Server->address();
    scheduleBeat();
  }

  auto handle(HttpExchangePtr Exchange) -> void override {
    const auto &Request = Exchange->request();
    const auto &Headers = Request.m_Headers;
    auto Id = findHeader(Headers, "X-Request-Id").value_or("");
    if (findHeader(Headers, "X-Expect-Instance").value_or(m_Id) != m_Id) {
      refuse(Exchange, 421, Id);
      return;
    }
    if (Request.m_Path == "/dotterelpoint/order") {
      takeOrder(Exchange);
      return;
    }
    if (Request.m_Path.starts_with("/dotterelpoint/")) {
      Exchange->respond({.m_Status = 200, .m_Body = "{}"});
      return;
    }
    // There are no requests in this test.
    refuse(Exchange, 503, Id);
  }
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

  /// How long the next order is left unanswered before it is carried out.
  std::optional<Duration> m_DelayNextOrder;
  std::function<void(const std::string &Holder)> m_OnDelayed;

private:
  static auto refuse(const HttpExchangePtr &Exchange, unsigned Status,
                     const std::string &Id) -> void {
    Exchange->respond(
        {.m_Status = Status,
         .m_Headers = {{"X-Request-Id", Id}, {"X-Not-Executed", "1"}}});
  }
  auto open(const std::string &Address) -> void {
    m_Born = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
    m_Sequence = m_Orders = 0;
    m_Server = std::make_unique<RunnerServer>(m_Test.m_Loop, *this, Address);
  }
  auto beat() -> void {
    m_Test.m_Store.put("servers/" + m_Id,
                       {{"service", "llm"},
                        {"address", m_Address},
                        {"zone", "z1"},
                        {"version", "1"},
                        {"slots", Slots},
                        {"state", "ready"},
                        {"stage", m_Stage},
                        {"models", {{{"name", "m"},
                                     {"version", 1},
                                     {"adapters", Json::array()}}}},
                        {"cold_remaining_ms", 0},
                        {"born", m_Born},
                        {"sequence", ++m_Sequence}});
  }
  auto scheduleBeat() -> void {
    if (m_Server)
      beat();
    m_Test.m_Loop.schedule(Heartbeat, [this] { scheduleBeat(); });
  }

  auto takeOrder(const HttpExchangePtr &Exchange) -> void {
    auto Body = Json::parse(Exchange->request().m_Body.text());
    auto Text = Body.dump();
    auto Holder = Body.at("holder").get<std::string>();
    if (m_DelayNextOrder) {
      auto Delay = *std::exchange(m_DelayNextOrder, std::nullopt);
      m_Test.m_Record.line("{} leaves an order unanswered: {}", m_Id, Text);
      m_Test.m_Loop.schedule(Delay, [this, Body, Start = m_Born,
                                     Kept = Exchange] {
        if (m_Born == Start)
          carryOut(Body, true);
      });
      m_OnDelayed(Holder);
      return;
    }
    auto Status = carryOut(Body, false);
    Exchange->respond({.m_Status = Status});
  }
  auto carryOut(const Json &Body, bool Late) -> unsigned {
    // What the order expected is checked when it is carried out.
    if (auto Expected = Body.find("precondition");
        Expected != Body.end() && *Expected != m_Orders) {
      m_Test.m_Record.line("{} refuses{}: another sequence: {}", m_Id,
                           Late ? ", late" : "", Body.dump());
      return 409;
    }
    if (m_Busy)
      return 409;
    m_Test.m_Record.line("{} carries out{}: {}", m_Id, Late ? ", late" : "",
                         Body.dump());
    m_Seen.m_Orders.push_back(
        {.m_Runner = m_Id,
         .m_Holder = Body.at("holder").get<std::string>(),
         .m_Token = Body.at("fencing_token").get<std::uint64_t>(),
         .m_Late = Late});
    auto Stage = Body.at("stage").get<std::string>();
    if (Stage == m_Stage)
      return 200;
    ++m_Orders;
    m_Busy = true;
    m_Test.m_Loop.schedule(SwitchTime, [this, Stage] {
      m_Busy = false;
      m_Stage = Stage;
      beat();
    });
    return 202;
  }

  Bed &m_Test;
  History &m_Seen;
  std::string m_Id;
  std::string m_Stage;
  std::string m_Address;
  std::int64_t m_Born = 0;
  int m_Sequence = 0;
  int m_Orders = 0; ///< Accepted since the start.
  bool m_Busy = false;
  std::unique_ptr<RunnerServer> m_Server;
};

auto engineService() -> Json {
  return {{"name", "llm"},
          {"engine",
           {{"slots", Slots},
            {"kv_capacity_tokens", 400000},
            {"kv_token_bytes", 18432.0},
            {"link_mbps", 370000.0},
            {"kv_hold_s", 5},
            {"role_switch_s", 1}}}};
}

auto late(const std::string &RecordPath) -> int {
  constexpr auto EngineCount = 4;
  /// Orders may be carried out 2 to 12 s late.
  constexpr auto Delay = Milliseconds(11000);
  auto Test = Bed(RecordPath);
  auto Fleet = test::FakeFleet(Test.m_Loop);
  Test.m_FleetAddress = Fleet.address();
  auto Seen = History();
  auto Engines = std::vector<std::unique_ptr<Engine>>();
  auto Killed = std::string();
  for (auto Number = 0; Number < EngineCount; ++Number) {
    Engines.push_back(std::make_unique<Engine>(Test, Seen, Number, "decode"));
    if (!withTrouble())
      continue;
    Engines.back()->m_DelayNextOrder = Delay;
    Engines.back()->m_OnDelayed = [&](const std::string &Holder) {
      for (auto &Engine : Engines)
        Engine->m_DelayNextOrder.reset();
      Test.m_Loop.schedule(Milliseconds(1000), [&, Holder] {
        auto Number = static_cast<std::size_t>(
            std::stoi(Holder.substr(Holder.rfind('-') + 1)));
        Test.m_Record.line("{} is killed", Holder);
        Killed = Holder;
        Test.m_Hosts.at(Number)->kill();
      });
    };
  }
  Test.m_Store.put("op/config",
                   configuration(1, {route("review", "streaming", "llm", 5000, 1)},
                                 {engineService()}));
  for (auto Number = 0; Number < 3; ++Number)
    Test.startHost("z1", false);
  Test.runFor(Seconds(26));
  if (Seen.m_Orders.empty())
    throw NotRun("no order was carried out");
  auto Highest = std::map<std::string, std::uint64_t>();
  auto Lower = 0;
  for (const auto &Order : Seen.m_Orders) {
    auto &Token = Highest[Order.m_Runner];
    if (Order.m_Token < Token) {
      ++Lower;
      Test.m_Record.line("{}: token {} of {} after token {}", Order.m_Runner,
                         Order.m_Token, Order.m_Holder, Token);
    }
    Token = std::max(Token, Order.m_Token);
  }
  Test.m_Record.line("{} orders carried out, {} with a lower token after a "
                     "higher one",
                     Seen.m_Orders.size(), Lower);
  return Lower > 0 ? Broken : Held;
}

} // namespace

} // namespace review

auto main(int Count, char **Arguments) -> int {
  using namespace review;
  if (Count < 2)
    return CouldNotRun;
  setLogLevel("error");
  try {
    return late(Arguments[1]);
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "could not run: {}\n", Failure.what());
    return CouldNotRun;
  }
}
