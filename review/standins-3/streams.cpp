/// \file
/// Model runners of a route whose streams may be resumed; half of them read
/// prompts. Two of those that generate turn slow for a while, now and then. They
/// go on with a request whose connection closes; the others drop it.
#include "Bed.h"

#include "dotterel/base/Log.h"

#include <map>
#include <optional>
#include <set>

namespace review {

namespace {

constexpr auto RunnerCount = 16;
constexpr auto SlowRunners = 2;
constexpr auto Slots = 12;
constexpr auto Heartbeat = Milliseconds(1200);
constexpr auto EventCount = 8;
/// The sheet allows pauses of 300 ms.
constexpr auto EventInterval = Milliseconds(200);
/// A slow runner works this many times as long, for this long, at this period.
constexpr auto Slowdown = 4;
constexpr auto SlowTime = Milliseconds(5000);
constexpr auto SlowPeriod = Milliseconds(10000);
constexpr auto RequestInterval = Milliseconds(1000);
constexpr auto Length = Seconds(88);
/// The rule's figure.
constexpr auto MostOverlap = Milliseconds(400);

/// One run of a request at one runner.
struct Run {
  std::string m_Runner;
  MonotonicTime m_Begun;
  std::optional<MonotonicTime> m_Ended; ///< When it had made its last event.
};

struct History {
  std::map<std::string, std::vector<Run>> m_Runs; ///< By request.
  int m_Served = 0;
  int m_Failed = 0;
};

class Runner final : public HttpHandler {
public:
  Runner(Bed &Test, History &Seen, int Number)
      : m_Test(Test), m_Seen(Seen), m_Id(fmt::format("i-{}", Number)),
        m_Stage(Number % 2 == 0 ? "prefill" : "decode"),
        m_TurnsSlow(Number % 2 == 1 && Number < 2 * SlowRunners),
        m_Started(Test.m_Loop.now()),
        m_Born(std::chrono::duration_cast<std::chrono::milliseconds>(
                   std::chrono::system_clock::now().time_since_epoch())
                   .count()),
        m_Server(Test.m_Loop, *this,
                 {.m_Address = SocketAddress::parse("127.0.0.1:0")}) {
    beat();
  }

  auto handle(HttpExchangePtr Exchange) -> void override {
    const auto &Headers = Exchange->request().m_Headers;
    auto Id = findHeader(Headers, "X-Request-Id").value_or("");
    if (findHeader(Headers, "X-Expect-Instance").value_or(m_Id) != m_Id) {
      Exchange->respond({.m_Status = 421,
                         .m_Headers = {{"X-Request-Id", Id},
                                       {"X-Not-Executed", "1"}}});
      return;
    }
    if (Exchange->request().m_Path.starts_with("/dotterelpoint/")) {
      // No stage has to change. Another order would be in progress.
      auto Order = Exchange->request().m_Path == "/dotterelpoint/order";
      Exchange->respond({.m_Status = Order ? 409U : 200U});
      return;
    }
    auto Prefill = findHeader(Headers, "X-Stage").value_or("") == "prefill";
    if (Prefill != (m_Stage == "prefill")) {
      Exchange->respond({.m_Status = 421,
                         .m_Headers = {{"X-Request-Id", Id},
                                       {"X-Not-Executed", "1"}}});
      return;
    }
    if (Prefill) {
      Exchange->respond(
          {.m_Status = 200,
           .m_Headers = {{"X-Request-Id", Id},
                         {"Content-Type", "application/json"}},
           .m_Body = Json{{"kv_handle", fmt::format("h{}{}", m_Id, ++m_Handles)},
                          {"tokens", 383},
                          {"version", 1}}
                         .dump()});
      return;
    }
    auto After = findHeader(Headers, "Last-Event-Id").value_or("0");
    auto &Runs = m_Seen.m_Runs[Id];
    auto Number = Runs.size();
    Runs.push_back({.m_Runner = m_Id, .m_Begun = m_Test.m_Loop.now()});
    m_Test.m_Record.line("{}{} begins to run {} after event {}", m_Id,
                         slow() ? ", slow," : "", Id, After);
    auto Dropped = std::make_shared<bool>(false);
    Exchange->onDisconnect([this, Id, Number, Dropped] {
      m_Test.m_Record.line("{}: the connection of {} closes", m_Id, Id);
      if (m_TurnsSlow)
        return;
      *Dropped = true;
      m_Seen.m_Runs[Id][Number].m_Ended = m_Test.m_Loop.now();
    });
    Exchange->startStream(200, {{"X-Request-Id", Id},
                                {"X-Response-Stamp", "stamp-" + Id},
                                {"X-Weight-Versions", "1"},
                                {"Content-Type", "text/event-stream"}});
    send(Exchange, Id, Number, std::stoi(After) + 1, Dropped);
  }
  auto bodyTooLarge(std::size_t /*Limit*/) -> HttpResponse override {
    return {.m_Status = 413};
  }

private:
  [[nodiscard]] auto slow() const -> bool {
    return m_TurnsSlow && withTrouble() &&
           (m_Test.m_Loop.now() - m_Started) % SlowPeriod < SlowTime;
  }
  auto beat() -> void {
    m_Test.m_Store.put("servers/" + m_Id,
                       {{"service", "llm"},
                        {"address", m_Server.address().text()},
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
    m_Test.m_Loop.schedule(Heartbeat, [this] { beat(); });
  }
  auto send(const HttpExchangePtr &Exchange, const std::string &Id,
            std::size_t Number, int Event,
            const std::shared_ptr<bool> &Dropped) -> void {
    auto Delay = Duration(EventInterval) * (slow() ? Slowdown : 1);
    m_Test.m_Loop.schedule(Delay, [=, this] {
      if (*Dropped)
        return;
      Exchange->write(fmt::format("id: {0}\ndata: {0}\n\n", Event));
      if (Event < EventCount) {
        send(Exchange, Id, Number, Event + 1, Dropped);
        return;
      }
      Exchange->onDisconnect(nullptr);
      Exchange->finish();
      m_Seen.m_Runs[Id][Number].m_Ended = m_Test.m_Loop.now();
      m_Test.m_Record.line("{} has made the last event of {}", m_Id, Id);
    });
  }

  Bed &m_Test;
  History &m_Seen;
  std::string m_Id;
  std::string m_Stage;
  bool m_TurnsSlow;
  int m_Handles = 0;
  MonotonicTime m_Started;
  std::int64_t m_Born;
  int m_Sequence = 0;
  StrictHttpServer m_Server;
};

auto run(const std::string &RecordPath) -> int {
  auto Test = Bed(RecordPath);
  auto Fleet = test::FakeFleet(Test.m_Loop);
  Test.m_FleetAddress = Fleet.address();
  auto Seen = History();
  auto Runners = std::vector<std::unique_ptr<Runner>>();
  for (auto Number = 0; Number < RunnerCount; ++Number)
    Runners.push_back(std::make_unique<Runner>(Test, Seen, Number));
  auto Route = route("review", "streaming", "llm", 5000, 2);
  Route["resumable"] = true;
  Test.m_Store.put("op/config",
                   configuration(1, {Route},
                                 {{{"name", "llm"},
                                   {"engine",
                                    {{"slots", Slots},
                                     {"kv_capacity_tokens", 400000},
                                     {"kv_token_bytes", 18432.0},
                                     {"link_mbps", 370000.0},
                                     {"kv_hold_s", 5},
                                     {"role_switch_s", 3}}}}}));
  Test.startHost();
  Test.waitUntilReady(0);
  Test.runFor(Seconds(5));
  Test.m_Record.line("traffic starts");
  auto Requests = 0;
  for (auto End = Test.m_Loop.now() + Length; Test.m_Loop.now() < End;) {
    auto Number = Requests++;
    auto Id = fmt::format("r{:04}", Number);
    Test.m_Record.line("a caller sends {}", Id);
    Test.m_Client->start(
        {.m_Method = "POST",
         .m_Url = fmt::format("http://{}/review/x", Test.m_Callers[0]),
         .m_Headers = {{"Host", "h.example"},
                       {"X-Request-Id", Id},
                       {"X-Deadline-Ms", "5000"},
                       {"X-Model", "m"},
                       {"X-Token-Counts", fmt::format("383,{}", EventCount)},
                       {"X-Prompt-Prefix",
                        fmt::format("5c1e07a2:92,{:08x}:291", 0x1000 + Number)},
                       {"Authorization", "Bearer key-1"}},
         .m_Body = std::string("body"),
         .m_Timeout = Milliseconds(5500),
         .m_DedicatedConnection = true,
         .m_OnDone = [&Test, &Seen, Id](const HttpCallResult &Result) {
           auto Good = Result.m_Outcome == HttpOutcome::Complete &&
                       Result.m_Status == 200;
           ++(Good ? Seen.m_Served : Seen.m_Failed);
           Test.m_Record.line("{} ends: {}{}", Id, Result.m_Status,
                              Good ? "" : ", cut");
         }});
    Test.runFor(RequestInterval);
  }
  Test.runFor(Seconds(7));
  if (Test.m_Hosts[0]->ended())
    throw NotRun("the host has ended");
  if (Seen.m_Served == 0)
    throw NotRun("no request was served");
  auto Overlaps = 0;
  for (const auto &[Id, Runs] : Seen.m_Runs)
    for (auto Index = std::size_t{1}; Index < Runs.size(); ++Index) {
      const auto &Before = Runs[Index - 1];
      auto Limit = Runs[Index].m_Begun + MostOverlap;
      if (Before.m_Ended && *Before.m_Ended <= Limit)
        continue;
      ++Overlaps;
      Test.m_Record.line("{} goes on at {}, and {} still works on it {} ms "
                         "later",
                         Id, Runs[Index].m_Runner, Before.m_Runner,
                         toMilliseconds(Before.m_Ended.value_or(
                                            Test.m_Loop.now()) -
                                        Runs[Index].m_Begun));
    }
  Test.m_Record.line("{} requests, {} served, {} ran at two runners at once",
                     Requests, Seen.m_Served, Overlaps);
  return Overlaps > 0 ? Broken : Held;
}

} // namespace

} // namespace review

auto main(int Count, char **Arguments) -> int {
  using namespace review;
  if (Count < 2)
    return CouldNotRun;
  setLogLevel("error");
  try {
    return run(Arguments[1]);
  } catch (const std::exception &Failure) {
    fmt::print(stderr, "could not run: {}\n", Failure.what());
    return CouldNotRun;
  }
}
