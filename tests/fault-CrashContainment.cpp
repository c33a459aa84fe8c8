#include "support/FaultyStore.h"
#include "support/PeerNetwork.h"

#include "dotterel/admission/WaitingQueue.h"
#include "dotterel/base/Log.h"
#include "dotterel/gate/BackendLossDetector.h"
#include "dotterel/gate/CompletionCall.h"
#include "dotterel/gate/Dispatcher.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto NetworkDelay = Milliseconds(1);

enum class EngineState : std::uint8_t {
  Running,
  Closing, ///< Accepts a connection and closes it without a response.
  Gone,    ///< Accepts no connection.
};

/// Engines behind an HTTP client.
class FakeEngines final : public HttpClient {
public:
  explicit FakeEngines(VirtualScheduler &Scheduler) : m_Scheduler(Scheduler) {}

  auto start(HttpCall Call) -> HttpCallId override {
    auto Id = HttpCallId{++m_LastId};
    auto Engine = Call.m_Url.substr(0, Call.m_Url.find('/'));
    auto IsProbe = Call.m_Url.ends_with("/load");
    m_Calls.emplace(Id, std::move(Call));
    if (!IsProbe)
      m_Sent[Engine].push_back(Id);
    if (m_States[Engine] != EngineState::Running)
      fail(Id, Engine, IsProbe);
    else if (IsProbe)
      end(Id, m_ProbeDelay, loadResult(Engine));
    return Id;
  }

  auto cancel(HttpCallId Call) -> void override { m_Calls.erase(Call); }

  /// Ends the engine, which breaks its connections.
  auto lose(const std::string &Engine, EngineState State = EngineState::Gone)
      -> void {
    m_States[Engine] = State;
    for (auto Id : m_Sent[Engine])
      if (m_Calls.contains(Id))
        end(Id, NetworkDelay, {.m_Outcome = HttpOutcome::Broken});
  }

  auto restart(const std::string &Engine) -> void {
    m_States[Engine] = EngineState::Running;
    ++m_Incarnations[Engine];
  }

  /// Sends one token and the end of the response to each call on the engine.
  auto respond(const std::string &Engine) -> void {
    for (auto Id : m_Sent[Engine]) {
      auto Found = m_Calls.find(Id);
      if (Found == m_Calls.end())
        continue;
      auto Attempt = findHeader(Found->second.m_Headers, "x-request-id");
      auto Event = [&Attempt](int Position, const char *Choice) {
        return fmt::format(R"(data: {{"id":"{}","position":{},)"
                           R"("choices":[{}]}})"
                           "\n\n",
                           *Attempt, Position, Choice);
      };
      Found->second.m_OnData(
          Event(0, R"({"delta":{"content":"x"},"finish_reason":null})") +
          Event(1, R"({"delta":{},"finish_reason":"stop"})") +
          "data: [DONE]\n\n");
      end(Id, NetworkDelay, {.m_Outcome = HttpOutcome::Complete});
    }
  }

  [[nodiscard]] auto sentTo(const std::string &Engine) -> std::size_t {
    return m_Sent[Engine].size();
  }

  [[nodiscard]] auto load(const std::string &Engine) -> EngineLoad {
    return parseLoad(loadResult(Engine).m_Body);
  }

  /// Time until a probe of an engine ends, with or without a response.
  Duration m_ProbeDelay = NetworkDelay;

private:
  auto end(HttpCallId Id, Duration Delay, HttpCallResult Result) -> void {
    m_Scheduler.schedule(Delay, [this, Id, Result = std::move(Result)] {
      auto Node = m_Calls.extract(Id);
      if (!Node.empty())
        Node.mapped().m_OnDone(Result);
    });
  }

  auto fail(HttpCallId Id, const std::string &Engine, bool IsProbe) -> void {
    // Kept connections are open until they are used. libcurl writes the request
    // to one, and sends it again on a new connection.
    auto Written = m_States[Engine] == EngineState::Closing ||
                   !m_Calls.at(Id).m_DedicatedConnection;
    end(Id, IsProbe ? m_ProbeDelay : NetworkDelay,
        {.m_Outcome = Written ? HttpOutcome::Broken : HttpOutcome::NotSent});
  }

  auto loadResult(const std::string &Engine) -> HttpCallResult {
    constexpr auto StatusOk = 200U;
    return {.m_Outcome = HttpOutcome::Complete,
            .m_Status = StatusOk,
            .m_Body = fmt::format(
                R"({{"incarnation":"{}","role":"mixed","running":0,"slots":8,)"
                R"("queued_prefill_tokens":0,"prefill_tokens_per_second":1000,)"
                R"("decode_tokens_per_second":50}})",
                m_Incarnations[Engine])};
  }

  VirtualScheduler &m_Scheduler;
  std::map<std::string, EngineState> m_States;
  std::map<std::string, int> m_Incarnations;
  std::map<std::string, std::vector<HttpCallId>> m_Sent;
  std::map<HttpCallId, HttpCall> m_Calls;
  std::uint64_t m_LastId = 0;
};

class RecordedExchange final : public HttpExchange {
public:
  [[nodiscard]] auto request() const -> const HttpRequest & override {
    return m_Request;
  }
  auto respond(HttpResponse Response) -> void override {
    m_Response = std::move(Response);
  }
  auto startStream(unsigned /*Status*/, HttpHeaders /*Headers*/)
      -> void override {}
  auto write(std::string_view /*Data*/) -> void override {}
  auto finish() -> void override {}
  auto abort() -> void override {}
  [[nodiscard]] auto backlog() const -> std::size_t override { return 0; }
  auto onDisconnect(std::function<void()> /*Callback*/) -> void override {}

  HttpRequest m_Request;
  HttpResponse m_Response{.m_Status = 0};
};

/// The parts of a gate that run completions, without its network. The gate
/// stands in data centre `a`.
struct Gate {
  /// \p DataCentres are those of the engines e0, e1 and so on.
  explicit Gate(const std::vector<std::string> &DataCentres) {
    m_Configuration.apply(initialConfiguration());
    auto Listed = std::vector<Backend>();
    for (const auto &DataCentre : DataCentres) {
      auto Name = fmt::format("e{}", Listed.size());
      Listed.push_back({.m_Id = BackendId{Name},
                        .m_Models = {ModelId{"m"}},
                        .m_DataCentre = DataCentreId{DataCentre},
                        .m_Region = RegionId{"r"},
                        .m_Url = Name});
    }
    m_Engines.updateList(Listed);
    for (const auto &Server : Listed)
      reportLoad(Server.m_Id.text());
  }

  auto reportLoad(const std::string &Engine) -> void {
    m_Engines.updateLoad(BackendId{Engine}, m_Client.load(Engine),
                         m_Scheduler.now());
  }

  auto start(const std::string &Text) -> std::shared_ptr<RecordedExchange> {
    auto Exchange = std::make_shared<RecordedExchange>();
    m_Calls.push_back(std::make_shared<CompletionCall>(
        m_Services,
        CompletionInput{.m_Request = RequestId{Text},
                        .m_Completion = {.m_Model = ModelId{"m"},
                                         .m_Prompt = Text,
                                         .m_MaxTokens = 8,
                                         .m_EngineBody = "{}"},
                        .m_Exchange = Exchange},
        [] {}));
    m_Calls.back()->start();
    return Exchange;
  }

  /// Restarts an engine, and advances the time until it gets the waiting
  /// requests and has completed them.
  auto recover(const std::string &Engine) -> void {
    m_Client.restart(Engine);
    m_Scheduler.advance(Seconds(3));
    reportLoad(Engine);
    // Requests that run alone follow one another.
    for (auto Count = 0; Count < 3; ++Count) {
      m_Dispatcher.dispatchReady();
      m_Client.respond(Engine);
      m_Scheduler.advance(Seconds(1));
    }
  }

  [[nodiscard]] auto verdict(const std::string &Text) const -> CrashVerdict {
    return m_Crashes.verdict(digestRequest(ModelId{"m"}, Text));
  }

  VirtualScheduler m_Scheduler;
  Random m_Random{1};
  FakeEngines m_Client{m_Scheduler};
  InMemoryStore m_StoreModel{m_Scheduler};
  FaultyStore m_Store{m_Scheduler, m_StoreModel};
  PeerNetwork m_Network{m_Scheduler};
  NetworkCaller m_Peers{m_Network, "gate"};
  MemberTable m_Members{{.m_Process = ProcessId{"gate"}}, {}};
  ConfigurationHolder m_Configuration;
  FreshnessTracker m_Freshness{{}};
  std::set<ProcessId> m_Listed;
  CrashRegistry m_Crashes{{}};
  EngineTable m_Engines{
      {.m_DataCentre = DataCentreId{"a"}, .m_Region = RegionId{"r"}}, {}};
  std::unique_ptr<RoutingPolicy> m_Routing =
      makeRoutingPolicy("least-connections");
  std::unique_ptr<WaitingQueue> m_Queue =
      makeWaitingQueue("fair", {.m_Utilisation = [] { return 0.0; }});
  Dispatcher m_Dispatcher{m_Scheduler, m_Engines, *m_Queue};
  BackendClient m_Backends{m_Scheduler, m_Client, m_Engines};
  BackendLossDetector m_LossDetector{
      m_Scheduler, m_Backends, m_Engines, m_Crashes,
      [this](std::function<void()> Done) {
        m_Scheduler.schedule(NetworkDelay, std::move(Done));
      }};
  ClaimRouter m_Claims{m_Scheduler, m_Store, m_Members, m_Peers, {}};
  UsageRecorder m_Usage{
      m_Scheduler,
      m_Store,
      IncarnationId{"gate-1"},
      [this](const UsageSegment & /*Segment*/, std::function<void(bool)> Done) {
        m_Scheduler.schedule(NetworkDelay,
                             [Done = std::move(Done)] { Done(true); });
      },
      {}};
  RetryBudget m_OrganisationRetries{RetryBudgetOptions{}};
  RetryBudget m_BackendRetries{RetryBudgetOptions{}};
  GateMetrics m_Metrics;
  DecisionLog m_Decisions{100};
  DemandMeter m_Demand{Seconds(10)};
  GateServices m_Services{.m_Scheduler = m_Scheduler,
                          .m_Random = m_Random,
                          .m_Backends = m_Backends,
                          .m_Configuration = m_Configuration,
                          .m_Freshness = m_Freshness,
                          .m_Members = m_Members,
                          .m_ListedProcesses = m_Listed,
                          .m_Engines = m_Engines,
                          .m_Routing = *m_Routing,
                          .m_Dispatcher = m_Dispatcher,
                          .m_LossDetector = m_LossDetector,
                          .m_Claims = m_Claims,
                          .m_Usage = m_Usage,
                          .m_Crashes = m_Crashes,
                          .m_OrganisationRetries = m_OrganisationRetries,
                          .m_BackendRetries = m_BackendRetries,
                          .m_Metrics = m_Metrics,
                          .m_Decisions = m_Decisions,
                          .m_Demand = m_Demand,
                          .m_Limits = {},
                          .m_KeySecret = "secret"};
  std::vector<std::shared_ptr<CompletionCall>> m_Calls;
};

constexpr auto StatusOk = 200U;

} // namespace

// Guards against counting a second loss for a request that no engine has read:
// with several engines lost at once, those without requests of this gate are
// not known to be lost.
TEST_CASE("crash containment: a request that is sent to an engine already lost "
          "is not quarantined") {
  auto Test = Gate({"a", "b"});
  auto Caller = Test.start("request");
  REQUIRE(Test.m_Client.sentTo("e0") == 1);
  Test.m_Client.lose("e0");
  Test.m_Client.lose("e1");
  Test.m_Scheduler.advance(Milliseconds(100));
  CHECK(Test.m_Client.sentTo("e1") == 1);
  CHECK(Test.verdict("request") == CrashVerdict::Suspect);
  Test.recover("e1");
  CAPTURE(Caller->m_Response.m_Body);
  CHECK(Caller->m_Response.m_Status == StatusOk);
}

// Guards against blaming a request for the loss of an engine on which other
// requests had noticed it before.
TEST_CASE(
    "crash containment: an engine that is being checked gets no requests") {
  auto Test = Gate({"a", "a"});
  auto First = Test.start("first");
  auto Second = Test.start("second");
  REQUIRE(Test.m_Client.sentTo("e0") == 1);
  REQUIRE(Test.m_Client.sentTo("e1") == 1);
  constexpr auto LongCheck = Milliseconds(300);
  Test.m_Client.m_ProbeDelay = LongCheck;
  Test.m_Client.lose("e1", EngineState::Closing);
  Test.m_Scheduler.advance(Milliseconds(10));
  Test.m_Client.m_ProbeDelay = NetworkDelay;
  Test.m_Client.lose("e0");
  Test.m_Scheduler.advance(Milliseconds(100));
  Test.m_Dispatcher.dispatchReady();
  Test.m_Scheduler.advance(LongCheck);
  CHECK(Test.m_Client.sentTo("e1") == 1);
  CHECK(Test.verdict("first") == CrashVerdict::Suspect);
  Test.recover("e1");
  CHECK(First->m_Response.m_Status == StatusOk);
  CHECK(Second->m_Response.m_Status == StatusOk);
}

TEST_CASE("crash containment: a loss dates from the first broken connection, "
          "and requests sent later are not suspect") {
  auto Test = Gate({"a"});
  auto Begin = [&Test](const char *Name, RequestDigest Digest) {
    Test.m_Engines.begin(BackendId{"e0"}, {.m_Request = RequestId{Name},
                                           .m_Attempt = AttemptId{Name},
                                           .m_Digest = Digest,
                                           .m_Alone = true,
                                           .m_SentAt = Test.m_Scheduler.now()});
    Test.m_LossDetector.checkBackend(BackendId{"e0"}, [](bool) {});
    Test.m_Engines.end(BackendId{"e0"}, AttemptId{Name});
  };
  constexpr auto Earlier = RequestDigest{1};
  constexpr auto Later = RequestDigest{2};
  Test.m_Client.m_ProbeDelay = Milliseconds(300);
  Test.m_Client.lose("e0");
  Begin("earlier", Earlier);
  Test.m_Scheduler.advance(Milliseconds(10));
  Begin("later", Later);
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Test.m_Crashes.verdict(Earlier) == CrashVerdict::Suspect);
  CHECK(Test.m_Crashes.verdict(Later) == CrashVerdict::Clear);
}

// Guards against blaming a request for the loss of its data centre, whose
// engines are lost one after another.
TEST_CASE("crash containment: a request that lost an engine is retried in "
          "another data centre") {
  auto Test = Gate({"a", "a", "a", "b"});
  auto Caller = Test.start("request");
  for (const auto *Engine : {"e0", "e1", "e2"}) {
    Test.m_Client.lose(Engine);
    Test.m_Scheduler.advance(Milliseconds(100));
  }
  CHECK(Test.m_Client.sentTo("e3") == 1);
  Test.m_Client.respond("e3");
  Test.m_Scheduler.advance(Seconds(1));
  CAPTURE(Caller->m_Response.m_Body);
  CHECK(Caller->m_Response.m_Status == StatusOk);
  CHECK(Test.verdict("request") == CrashVerdict::Clear);
}

// Operators find the cause of a quarantine in the log.
TEST_CASE(
    "crash containment: the log tells which requests ran on a lost engine "
    "and their verdicts, on one line of bounded length") {
  auto Lines = std::vector<std::string>();
  setLogSink([&Lines](std::string_view Line) {
    if (Line.find("event=backend.lost") != std::string_view::npos)
      Lines.emplace_back(Line);
  });
  auto Test = Gate({"a"});
  constexpr auto RequestCount = std::uint64_t{1000};
  for (auto Number = RequestCount; Number > 0; --Number)
    Test.m_Engines.begin(
        BackendId{"e0"},
        {.m_Attempt = AttemptId{fmt::format("{}", Number)},
         .m_Digest = RequestDigest{Number},
         .m_SentAt = Test.m_Scheduler.now() - Milliseconds(250)});
  Test.m_Client.lose("e0");
  Test.m_LossDetector.checkBackend(BackendId{"e0"}, [](bool) {});
  Test.m_Scheduler.advance(Seconds(1));
  setLogSink({});
  REQUIRE(Lines.size() == 1);
  CHECK(Lines[0].find("running=1000") != std::string::npos);
  CHECK(Lines[0].find("0000000000000001:suspect,alone=false,age=250ms") !=
        std::string::npos);
  CHECK(Lines[0].size() < 1000);
}

// Guards against blaming a request for the crash that another gate's suspect
// causes: gates that have no engine of their own left use each other's.
TEST_CASE("crash containment: of two gates' suspects that were lost on one "
          "engine, none ran alone") {
  for (auto OtherWasSuspect : {true, false}) {
    CAPTURE(OtherWasSuspect);
    auto Test = Gate({"a", "b", "c"});
    auto Caller = Test.start("request");
    Test.m_Client.lose("e0");
    Test.m_Scheduler.advance(Milliseconds(100));
    auto Second = Test.m_Client.sentTo("e1") > 0 ? "e1" : "e2";
    REQUIRE(Test.m_Client.sentTo(Second) == 1);
    Test.m_Client.lose(Second);
    Test.m_Scheduler.advance(Milliseconds(200));
    // The other gate's report arrives after this gate's check.
    auto Other = CrashReport{.m_Digest = RequestDigest{1}};
    Other.m_Losses[BackendId{Second}] = {.m_SinceSent = Milliseconds(250),
                                         .m_SinceLost = Milliseconds(199)};
    if (OtherWasSuspect)
      Other.m_Losses[BackendId{"e0"}] = {.m_SinceSent = Milliseconds(400),
                                         .m_SinceLost = Milliseconds(299)};
    Test.m_Crashes.merge(Other, Test.m_Scheduler.now());
    Test.m_Scheduler.advance(Seconds(1));
    CHECK(
        Test.verdict("request") ==
        (OtherWasSuspect ? CrashVerdict::Suspect : CrashVerdict::Quarantined));
    CHECK((Caller->m_Response.m_Status == 0) == OtherWasSuspect);
  }
}

// A request must still be quarantined after the second engine that it crashes.
TEST_CASE("crash containment: a request that crashes its engines gets two") {
  auto Test = Gate({"a", "a", "b", "b"});
  auto Caller = Test.start("request");
  for (auto Count = 0; Count < 4; ++Count)
    for (const auto *Engine : {"e0", "e1", "e2", "e3"})
      if (Test.m_Client.sentTo(Engine) > 0) {
        Test.m_Client.lose(Engine);
        Test.m_Scheduler.advance(Milliseconds(100));
      }
  auto LostEngines = std::size_t{0};
  for (const auto *Engine : {"e0", "e1", "e2", "e3"})
    LostEngines += Test.m_Client.sentTo(Engine);
  CHECK(LostEngines == 2);
  CHECK(Test.verdict("request") == CrashVerdict::Quarantined);
  CHECK(Caller->m_Response.m_Body.find("quarantined") != std::string::npos);
}
