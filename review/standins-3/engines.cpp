/// \file
/// Runners that read prompts and generate, with stages that orders change.
/// Modes:
/// - parts: a request that crashes each runner that runs it comes again and
///   again, with the same path, caller and body; the last part of its prompt
///   belongs to each request itself.
/// - late: a runner leaves an order unanswered and carries it out late, and the
///   host that gave it is killed.
#include "Bed.h"
#include "RunnerServer.h"

#include "dotterel/base/Log.h"

#include <map>
#include <optional>
#include <set>

namespace review {

namespace {

/// The runner is back after some seconds.
constexpr auto RestartTime = Milliseconds(2500);
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
  std::vector<MonotonicTime> m_Crashes;
  std::vector<MonotonicTime> m_Arrivals; ///< Runs of the deadly request.
  std::vector<CarriedOut> m_Orders;
  int m_SoundServed = 0;
  int m_SoundFailed = 0;
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
    if (m_Busy) {
      refuse(Exchange, 503, Id);
      return;
    }
    auto Prefill = findHeader(Headers, "X-Stage").value_or("") == "prefill";
    if (Prefill != (m_Stage == "prefill")) {
      refuse(Exchange, 421, Id);
      return;
    }
    if (Prefill) {
      Exchange->respond(
          {.m_Status = 200,
           .m_Headers = {{"X-Request-Id", Id},
                         {"Content-Type", "application/json"}},
           .m_Body = Json{{"kv_handle", fmt::format("h{}{}", m_Id, ++m_Handle)},
                          {"tokens", 400},
                          {"version", 1}}
                         .dump()});
      return;
    }
    run(Exchange, Id);
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

  auto run(const HttpExchangePtr &Exchange, const std::string &Id) -> void {
    auto Deadly = Exchange->request().m_Path == "/review/deadly";
    if (Deadly) {
      m_Seen.m_Arrivals.push_back(m_Test.m_Loop.now());
      m_Test.m_Record.line(
          "{} runs {} with parts {}", m_Id, Id,
          findHeader(Exchange->request().m_Headers, "X-Prompt-Prefix")
              .value_or(""));
      if (withTrouble()) {
        m_Test.m_Loop.schedule(Milliseconds(20),
                               [this, Start = m_Born, Kept = Exchange] {
                                 if (m_Born == Start && m_Server)
                                   crash();
                               });
        return;
      }
    }
    Exchange->startStream(200, {{"X-Request-Id", Id},
                                {"X-Response-Stamp", "stamp-" + Id},
                                {"X-Weight-Versions", "1"},
                                {"Content-Type", "text/event-stream"}});
    send(Exchange, 1);
  }
  auto send(const HttpExchangePtr &Exchange, int Number) -> void {
    constexpr auto Last = 3;
    Exchange->write(fmt::format("id: {0}\ndata: {0}\n\n", Number));
    if (Number == Last) {
      Exchange->finish();
      return;
    }
    m_Test.m_Loop.schedule(Milliseconds(20), [=, this, Start = m_Born] {
      if (m_Born == Start && m_Server)
        send(Exchange, Number + 1);
    });
  }
  auto crash() -> void {
    m_Seen.m_Crashes.push_back(m_Test.m_Loop.now());
    m_Test.m_Record.line("{} crashes", m_Id);
    m_Server.reset();
    m_Test.m_Loop.schedule(RestartTime, [this] {
      open(m_Address);
      m_Test.m_Record.line("{} is back", m_Id);
      beat();
    });
  }

  Bed &m_Test;
  History &m_Seen;
  std::string m_Id;
  std::string m_Stage;
  std::string m_Address;
  std::int64_t m_Born = 0;
  int m_Sequence = 0;
  int m_Orders = 0; ///< Accepted since the start.
  int m_Handle = 0;
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

auto parts(const std::string &RecordPath) -> int {
  constexpr auto EngineCount = 18;
  constexpr auto Interval = Milliseconds(1000);
  constexpr auto Length = Seconds(24);
  constexpr auto MostRetries = 3;
  auto Test = Bed(RecordPath);
  auto Fleet = test::FakeFleet(Test.m_Loop);
  Test.m_FleetAddress = Fleet.address();
  auto Seen = History();
  auto Engines = std::vector<std::unique_ptr<Engine>>();
  for (auto Number = 0; Number < EngineCount; ++Number)
    Engines.push_back(std::make_unique<Engine>(
        Test, Seen, Number, Number % 2 == 0 ? "prefill" : "decode"));
  Test.m_Store.put("op/config",
                   configuration(1, {route("review", "streaming", "llm", 5000, 1)},
                                 {engineService()}));
  Test.startHost();
  Test.waitUntilReady(0);
  Test.runFor(Seconds(8));
  Test.m_Record.line("traffic starts");
  auto End = Test.m_Loop.now() + Length;
  auto Number = 0;
  auto Call = [&](const std::string &Path, const std::string &Id,
                  const std::string &LastPart, const std::string &Body,
                  std::function<void(const HttpCallResult &)> Done) {
    Test.m_Client->start(
        {.m_Method = "POST",
         .m_Url = fmt::format("http://{}{}", Test.m_Callers[0], Path),
         .m_Headers = {{"Host", "h.example"},
                       {"X-Request-Id", Id},
                       {"X-Deadline-Ms", "3000"},
                       {"X-Model", "m"},
                       {"X-Token-Counts", "383,3"},
                       {"X-Prompt-Prefix",
                        fmt::format("5c1e07a2:92,{}:291", LastPart)},
                       {"Authorization", "Bearer key-1"}},
         .m_Body = Body,
         .m_Timeout = Milliseconds(3500),
         .m_DedicatedConnection = true,
         .m_OnDone = std::move(Done)});
  };
  auto Sound = std::function<void()>();
  Sound = [&] {
    if (Test.m_Loop.now() >= End)
      return;
    ++Number;
    Call("/review/sound", fmt::format("s{:04}", Number),
         fmt::format("{:08x}", 0x1000 + Number),
         fmt::format("body {}", Number), [&](const HttpCallResult &Result) {
           auto Good = Result.m_Outcome == HttpOutcome::Complete &&
                       Result.m_Status == 200;
           ++(Good ? Seen.m_SoundServed : Seen.m_SoundFailed);
         });
    Test.m_Loop.schedule(Milliseconds(50), Sound);
  };
  auto Attempt = 0;
  auto Deadly = std::function<void()>();
  Deadly = [&] {
    if (Test.m_Loop.now() >= End)
      return;
    auto Id = fmt::format("d{:04}", ++Attempt);
    Test.m_Record.line("a caller sends {}", Id);
    Call("/review/deadly", Id, fmt::format("{:08x}", 0xd0000 + Attempt),
         "the same body", [&Test, Id](const HttpCallResult &Result) {
           Test.m_Record.line("{} ends: {}{}", Id, Result.m_Status,
                              Result.m_Outcome == HttpOutcome::Complete
                                  ? ""
                                  : ", cut");
         });
    Test.m_Loop.schedule(Interval, Deadly);
  };
  Sound();
  Deadly();
  Test.runFor(Length + Seconds(4));
  if (Test.m_Hosts[0]->ended())
    throw NotRun("the host has ended");
  if (Seen.m_SoundServed == 0)
    throw NotRun("no other request was served");
  auto Retries = 0;
  if (Seen.m_Crashes.size() >= 3) {
    auto Limit = Seen.m_Crashes[2] + ContactTime;
    for (auto At : Seen.m_Arrivals)
      Retries += At > Limit ? 1 : 0;
  }
  Test.m_Record.line("the request reached runners {} times and crashed {}; {} "
                     "arrivals later than {} ms after the third crash, {} are "
                     "allowed",
                     Seen.m_Arrivals.size(), Seen.m_Crashes.size(), Retries,
                     toMilliseconds(ContactTime), MostRetries);
  Test.m_Record.line("other requests: {} served, {} not", Seen.m_SoundServed,
                     Seen.m_SoundFailed);
  return Retries > MostRetries ? Broken : Held;
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
  if (Count < 3)
    return CouldNotRun;
  setLogLevel("error");
  try {
    auto Mode = std::string(Arguments[1]);
    return Mode == "parts" ? parts(Arguments[2]) : late(Arguments[2]);
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "could not run: {}\n", Failure.what());
    return CouldNotRun;
  }
}
