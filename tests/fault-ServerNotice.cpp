#include "dotterel/fleet/BackendClient.h"
#include "support/ServingFakes.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Servers that say that they leave, or that they want nothing for a while. The
// two paths of requests, of hosts and of gates, share ServerAccess.

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto Leaving = ServerNotice{.m_Leaving = true};

auto complete(ServerNotice Notice = {}) -> AttemptResult {
  return {.m_Outcome = AttemptOutcome::Complete,
          .m_Head = {.m_Status = 200},
          .m_Report = {.m_Notice = Notice}};
}

auto refusedWith(ServerNotice Notice) -> AttemptResult {
  return {.m_Outcome = AttemptOutcome::NotExecuted,
          .m_Head = {.m_Status = 503},
          .m_Report = {.m_Notice = Notice}};
}

auto prefilled(ServerNotice Notice = {}) -> AttemptResult {
  auto Result = complete(Notice);
  Result.m_Cache = CacheHandle{.m_Address = "p:1", .m_Handle = "handle"};
  return Result;
}

auto longPrompt() -> PromptShape {
  return {.m_Model = ModelId{"m"},
          .m_Parts = {{.m_Id = "doc", .m_Tokens = TokenCount{12'000}},
                      {.m_Id = "own", .m_Tokens = TokenCount{3000}}},
          .m_PromptTokens = TokenCount{15'000},
          .m_OutputLimit = TokenCount{100}};
}

/// A host, with what the tests need to drive its requests.
struct HostTest : ServingFixture {
  auto advance(Duration Time) -> void {
    m_Scheduler.advance(Time);
    m_Core.recordConfirmation(m_Scheduler.now());
  }

  auto latest() const -> const BackendId & {
    return m_Transport.m_Sent.back().m_Attempt.m_Backend;
  }

  /// Serves \p Count requests, and returns the servers that they reached. The
  /// responses contain \p Notice if they come from \p From.
  auto reached(int Count, const BackendId &From = {}, ServerNotice Notice = {})
      -> std::set<BackendId> {
    auto Result = std::set<BackendId>();
    for (auto Index = 0; Index < Count; ++Index) {
      auto Before = m_Transport.m_Sent.size();
      serve("safe");
      if (m_Transport.m_Sent.size() == Before)
        continue;
      Result.insert(latest());
      m_Transport.end(complete(latest() == From ? Notice : ServerNotice()));
      advance(Milliseconds(1));
    }
    return Result;
  }

  /// Has \p Server state \p Notice.
  auto state(const BackendId &Server, const ServerNotice &Notice) -> void {
    m_Core.access().recordNotice(targetOf(*m_Core.directory().find(Server)),
                                 Notice, m_Scheduler.now());
  }

  auto stateAll(const std::vector<std::string> &Servers,
                const ServerNotice &Notice) -> void {
    for (const auto &Id : Servers)
      state(BackendId{Id}, Notice);
  }
};

const auto Desk = std::vector<std::string>{"d1", "d2", "d3"};

} // namespace

TEST_CASE("fault: a host starts nothing at a server that has said in any "
          "response that it leaves, whatever the list says later") {
  auto Test = HostTest();
  auto D1 = BackendId{"d1"};
  CHECK(Test.reached(40).contains(D1));
  auto Record = *Test.m_Core.directory().find(D1);

  SUBCASE("in a response") { Test.reached(40, D1, Leaving); }
  SUBCASE("in a refusal") {
    while (true) {
      Test.serve("safe");
      if (Test.latest() == D1)
        break;
      Test.m_Transport.end(complete());
    }
    Test.m_Transport.end(refusedWith(Leaving));
    // The retry is already on its way to another server.
    CHECK(Test.latest() != D1);
    Test.m_Transport.end(complete());
  }
  SUBCASE("in the head of a response that breaks off") {
    while (true) {
      Test.serve("unsafe");
      if (Test.latest() == D1)
        break;
      Test.m_Transport.end(complete());
    }
    Test.m_Transport.end({.m_Outcome = AttemptOutcome::Failed,
                          .m_Report = {.m_Notice = Leaving}});
  }
  CHECK(!Test.reached(60).contains(D1));
  Test.advance(Seconds(600));
  CHECK(!Test.reached(60).contains(D1));

  // Its registration is removed and comes back, in an older copy too.
  Test.m_Core.directory().remove(D1);
  Test.m_Core.directory().put(Record);
  CHECK(!Test.reached(60).contains(D1));
  auto Older = Record;
  Older.m_Slots = 3;
  Test.m_Core.directory().put(Older);
  CHECK(!Test.reached(60).contains(D1));

  // It starts again under its id.
  Record.m_StartedAt = 1'000;
  Test.m_Core.directory().put(Record);
  // Without a start so far, only the address told that server apart.
  Record.m_Address = "d1:2";
  Test.m_Core.directory().put(Record);
  CHECK(Test.reached(60).contains(D1));
}

TEST_CASE("fault: an older copy of a registration does not bring a server back "
          "that has left") {
  auto Test = HostTest();
  auto D1 = BackendId{"d1"};
  auto Record = *Test.m_Core.directory().find(D1);
  Record.m_StartedAt = 1'000;
  auto Older = Record;
  Record.m_StartedAt = 2'000;
  Test.m_Core.directory().put(Record);
  Test.state(D1, Leaving);
  Test.m_Core.directory().put(Older); // From a restored store.
  CHECK(!Test.reached(60).contains(D1));
  Record.m_StartedAt = 3'000;
  Test.m_Core.directory().put(Record);
  CHECK(Test.reached(60).contains(D1));
}

TEST_CASE("fault: a response from an unexpected server at an address says of "
          "the server registered there that it leaves") {
  auto Test = HostTest();
  auto D1 = BackendId{"d1"};
  auto Record = *Test.m_Core.directory().find(D1);
  auto Successor = Record;
  Successor.m_Id = BackendId{"d4"};
  while (true) {
    Test.serve("safe");
    if (Test.latest() == D1)
      break;
    Test.m_Transport.end(complete());
  }
  Test.m_Core.directory().put(Successor);
  Test.m_Transport.end({.m_Outcome = AttemptOutcome::WrongServer,
                        .m_Head = {.m_Status = 421},
                        .m_Report = {.m_Notice = Leaving}});
  Test.m_Transport.end(complete());
  auto Reached = Test.reached(60);
  CHECK(!Reached.contains(Successor.m_Id));
  CHECK(Reached.size() == 2);
}

TEST_CASE("fault: if all servers of a service leave, its requests are refused "
          "at once as not run") {
  auto Test = HostTest();
  Test.stateAll(Desk, Leaving);
  auto View = Test.serve("unsafe");
  REQUIRE(View->m_Refusal);
  CHECK(View->m_Refusal->code() == RefusalCode::NoBackend);
  CHECK(View->m_Refusal->execution() == Execution::NotRun);
  CHECK(View->m_RetryAfter);
  CHECK(Test.m_Transport.m_Sent.empty());
}

// Guards against the use of servers in backoff when no other is left.
TEST_CASE("fault: a host sends nothing to a server that pauses, also if no "
          "other is left, and tells callers when it may be back") {
  auto Test = HostTest();
  Test.stateAll({"d2", "d3"}, Leaving);
  auto View = Test.serve("unsafe");
  REQUIRE(Test.m_Transport.m_Sent.size() == 1);
  // The retry finds no server.
  Test.m_Transport.end(refusedWith({.m_Pause = Milliseconds(400)}));
  CHECK(Test.m_Transport.m_Sent.size() == 1);
  REQUIRE(View->m_Refusal);
  CHECK(View->m_Refusal->code() == RefusalCode::QueueFull);
  CHECK(View->m_Refusal->execution() == Execution::NotRun);
  REQUIRE(View->m_RetryAfter);
  CHECK(*View->m_RetryAfter >= Milliseconds(400));

  auto Times = std::set<Duration>();
  for (auto Count = 0; Count < 20; ++Count) {
    Test.advance(Milliseconds(15));
    auto Refused = Test.serve("safe");
    REQUIRE(Refused->m_RetryAfter);
    Times.insert(*Refused->m_RetryAfter);
    CHECK(*Refused->m_RetryAfter >= Milliseconds(100));
  }
  CHECK(Test.m_Transport.m_Sent.size() == 1);
  CHECK(Times.size() >= 15); // Callers do not return at the same time.
  // A caller that returns when it was told to, finds the server open.
  Test.advance(Milliseconds(200));
  Test.serve("safe");
  CHECK(Test.m_Transport.m_Sent.size() == 2);
}

TEST_CASE("fault: a pause holds for the host that it was stated to, and "
          "survives the server's absence from the list") {
  auto Paused = HostTest();
  auto Other = HostTest();
  auto D1 = BackendId{"d1"};
  Paused.state(D1, {.m_Pause = Seconds(20)});
  auto Record = *Paused.m_Core.directory().find(D1);
  CHECK(!Paused.reached(60).contains(D1));
  CHECK(Other.reached(60).contains(D1));
  Paused.m_Core.directory().remove(D1);
  Paused.m_Core.directory().put(Record);
  CHECK(!Paused.reached(60).contains(D1));
  Paused.advance(Seconds(21));
  CHECK(Paused.reached(60).contains(D1));
}

TEST_CASE("fault: a server can say both at once") {
  auto Test = HostTest();
  auto D1 = BackendId{"d1"};
  Test.state(D1, {.m_Leaving = true, .m_Pause = Milliseconds(100)});
  Test.advance(Seconds(1));
  CHECK(!Test.reached(60).contains(D1));
}

TEST_CASE("fault: a prefilled prompt is not passed on to a decode engine that "
          "has said meanwhile that it leaves or pauses") {
  for (auto Notice : {Leaving, ServerNotice{.m_Pause = Seconds(5)}}) {
    auto Test = HostTest();
    Test.serve("stream", "k", longPrompt());
    REQUIRE(Test.m_Transport.m_Sent.back().m_Attempt.m_Purpose ==
            AttemptPurpose::Prefill);
    Test.state(BackendId{"g1"}, Notice);
    Test.m_Transport.end(prefilled());
    CHECK(Test.latest() == BackendId{"g2"});
    CHECK(Test.m_Transport.m_Sent.back().m_Attempt.m_Cache);
  }
}

TEST_CASE("fault: a prefilled prompt waits for the end of a short pause") {
  auto Test = HostTest();
  Test.stateAll({"g1", "g2"}, {.m_Pause = Seconds(1)});
  Test.stateAll({"g1"}, Leaving);
  auto View = Test.serve("stream", "k", longPrompt());
  CHECK(View->m_Refusal); // No engine could decode it in time.
  Test.advance(Milliseconds(1300));
  Test.serve("stream", "k", longPrompt());
  auto Sent = Test.m_Transport.m_Sent.size();
  Test.state(BackendId{"g2"}, {.m_Pause = Milliseconds(200)});
  Test.m_Transport.end(prefilled());
  CHECK(Test.m_Transport.m_Sent.size() == Sent);
  Test.advance(Milliseconds(260));
  CHECK(Test.m_Transport.m_Sent.size() == Sent + 1);
  CHECK(Test.latest() == BackendId{"g2"});
}

TEST_CASE("fault: a stream is not resumed at a server that leaves") {
  auto Test = HostTest();
  for (auto Count = 0; Count < 30; ++Count) {
    Test.serve("stream");
    Test.m_Transport.end(complete());
  }
  auto View = Test.serve("resumable");
  auto First = Test.latest();
  auto &Sent = Test.m_Transport.m_Sent.back();
  Sent.m_Listener->onBegin({.m_Status = 200}, {.m_Notice = Leaving});
  Sent.m_Listener->onData("id: 1\ndata: x\n\n");
  // A leaving server's streams end where they are.
  CHECK(!Sent.m_Cancelled);
  Test.m_Transport.end({.m_Outcome = AttemptOutcome::Failed});
  CHECK(Test.latest() != First);
  CHECK(Test.m_Transport.m_Sent.back().m_Attempt.m_ResumeAfter == "1");
}

TEST_CASE("fault: a KV cache is released at an engine that leaves, but not "
          "during a pause of it") {
  for (auto Notice : {Leaving, ServerNotice{.m_Pause = Seconds(5)}}) {
    auto Test = HostTest();
    auto View = Test.serve("stream", "k", longPrompt());
    REQUIRE(Test.latest().text().starts_with("p"));
    Test.stateAll({"g1", "g2"}, {.m_Pause = Milliseconds(200)});
    Test.m_Transport.end(prefilled(Notice));
    View->m_OnDisconnect();
    CHECK(Test.m_Transport.m_Released.empty() == (Notice != Leaving));
    // The response to a release counts as any other.
    for (const auto &Done : Test.m_Transport.m_OnReleased)
      Done({.m_Pause = Seconds(5)});
    if (Notice == Leaving)
      CHECK(Test.m_Core.access().pausedCount(Test.m_Scheduler.now()) == 3);
  }
}

namespace {

/// Records the calls of a gate. The test responds to them.
class RecordingClient final : public HttpClient {
public:
  auto start(HttpCall Call) -> HttpCallId override {
    m_Calls.push_back(std::move(Call));
    return HttpCallId{m_Calls.size()};
  }
  auto cancel(HttpCallId /*Call*/) -> void override { ++m_Cancelled; }

  /// Responds to the latest call.
  auto respond(unsigned Status, HttpHeaders Headers,
               HttpOutcome Outcome = HttpOutcome::Complete) -> void {
    auto Call = std::move(m_Calls.back());
    if (Call.m_OnHeaders)
      Call.m_OnHeaders(Status, Headers);
    if (Call.m_OnDone)
      Call.m_OnDone({.m_Outcome = Outcome,
                     .m_Status = Status,
                     .m_Headers = std::move(Headers)});
  }

  std::vector<HttpCall> m_Calls;
  int m_Cancelled = 0;
};

/// A gate's table with two engines and two servers of a plain service.
struct GateTest {
  GateTest() {
    list();
    for (const auto *Id : {"e1", "e2"})
      m_Engines.updateLoad(BackendId{Id}, {.m_Incarnation = "1", .m_Slots = 8},
                           m_Scheduler.now());
  }

  auto list() -> void {
    m_Engines.updateList(
        {{.m_Id = BackendId{"e1"}, .m_Models = {ModelId{"m"}}, .m_Url = "e1"},
         {.m_Id = BackendId{"e2"}, .m_Models = {ModelId{"m"}}, .m_Url = "e2"},
         {.m_Id = BackendId{"s1"}, .m_Service = "desk", .m_Url = "s1"},
         {.m_Id = BackendId{"s2"}, .m_Service = "desk", .m_Url = "s2"}});
  }

  auto engines() -> std::set<BackendId> {
    auto Result = std::set<BackendId>();
    for (const auto &Item :
         m_Engines.candidates({.m_Model = ModelId{"m"}}, m_Scheduler.now()))
      Result.insert(Item.m_Id);
    return Result;
  }

  auto servers() -> std::set<BackendId> {
    auto Result = std::set<BackendId>();
    for (auto Count = 0; Count < 10; ++Count)
      if (auto Picked =
              m_Engines.pickService("desk", true, {}, m_Scheduler.now()))
        Result.insert(Picked->m_Id);
    return Result;
  }

  /// Returns whether a call was sent.
  auto send(const std::string &Server, SendPurpose Purpose) -> bool {
    auto Before = m_Client.m_Calls.size();
    auto Ended = std::make_shared<std::optional<HttpOutcome>>();
    auto Call = HttpCall();
    Call.m_OnHeaders = [](unsigned, const HttpHeaders &) {};
    Call.m_OnDone = [Ended](const HttpCallResult &Result) {
      *Ended = Result.m_Outcome;
    };
    m_Backends.start(BackendId{Server}, Purpose, std::move(Call));
    auto Sent = m_Client.m_Calls.size() > Before;
    CHECK(!*Ended); // No callback runs inside start().
    m_Scheduler.advance(Milliseconds(1));
    CHECK(Ended->has_value() == !Sent);
    if (!Sent)
      CHECK(*Ended == HttpOutcome::NotSent);
    return Sent;
  }

  VirtualScheduler m_Scheduler;
  RecordingClient m_Client;
  EngineTable m_Engines{{.m_Host = HostId{"g"}}, {}};
  BackendClient m_Backends{m_Scheduler, m_Client, m_Engines};
};

const auto LeavingHeaders =
    HttpHeaders{{.m_Name = "X-Server-Leaving", .m_Value = "1"}};

auto pauseHeaders(const std::string &Seconds) -> HttpHeaders {
  return {{.m_Name = "Retry-After", .m_Value = Seconds}};
}

} // namespace

TEST_CASE("fault: a gate starts nothing at a server that has said in any "
          "response that it leaves, until it has started again") {
  for (auto Purpose :
       {SendPurpose::Execute, SendPurpose::Order, SendPurpose::Probe})
    for (auto Outcome : {HttpOutcome::Complete, HttpOutcome::Broken}) {
      auto Test = GateTest();
      REQUIRE(Test.send("e1", Purpose));
      Test.m_Client.respond(200, LeavingHeaders, Outcome);
      REQUIRE(Test.send("s1", Purpose));
      Test.m_Client.respond(503, LeavingHeaders, Outcome);
      CHECK(Test.engines() == std::set{BackendId{"e2"}});
      CHECK(Test.servers() == std::set{BackendId{"s2"}});
      CHECK(!Test.send("e1", SendPurpose::Execute));
      CHECK(!Test.send("e1", SendPurpose::Order));
      CHECK(Test.send("e1", SendPurpose::Probe));

      Test.m_Engines.updateList({});
      Test.list();
      Test.m_Engines.updateLoad(BackendId{"e1"},
                                {.m_Incarnation = "1", .m_Slots = 8},
                                Test.m_Scheduler.now());
      CHECK(!Test.engines().contains(BackendId{"e1"}));
      CHECK(!Test.servers().contains(BackendId{"s1"}));
      Test.m_Engines.updateLoad(BackendId{"e1"},
                                {.m_Incarnation = "2", .m_Slots = 8},
                                Test.m_Scheduler.now());
      CHECK(Test.engines().contains(BackendId{"e1"}));
    }
}

TEST_CASE("fault: a gate sends nothing, probes included, to a server that "
          "pauses, also if no other is left") {
  auto Test = GateTest();
  for (const auto *Id : {"e1", "e2", "s1", "s2"}) {
    REQUIRE(Test.send(Id, SendPurpose::Execute));
    Test.m_Client.respond(503, pauseHeaders("2"));
  }
  CHECK(Test.engines().empty());
  CHECK(Test.servers().empty());
  auto Opening = Test.m_Engines.timeToOpen("desk", Test.m_Scheduler.now());
  REQUIRE(Opening);
  CHECK(*Opening > Milliseconds(1900));
  CHECK(*Opening <= Milliseconds(2500));
  Test.m_Scheduler.advance(Milliseconds(1900));
  for (const auto *Id : {"e1", "e2", "s1", "s2"})
    for (auto Purpose :
         {SendPurpose::Execute, SendPurpose::Order, SendPurpose::Probe})
      CHECK(!Test.send(Id, Purpose));
  Test.m_Scheduler.advance(Milliseconds(700));
  CHECK(Test.engines().size() == 2);
  CHECK(Test.servers().size() == 2);
}

TEST_CASE("fault: a call that was not permitted can be cancelled") {
  auto Test = GateTest();
  auto Calls = 0;
  auto Call = HttpCall();
  Call.m_OnDone = [&Calls](const HttpCallResult &) { ++Calls; };
  auto Id = Test.m_Backends.start(BackendId{"unknown"}, SendPurpose::Execute,
                                  std::move(Call));
  Test.m_Backends.cancel(Id);
  Test.m_Scheduler.advance(Milliseconds(10));
  CHECK(Calls == 0);
  CHECK(Test.m_Client.m_Calls.empty());
  CHECK(Test.m_Client.m_Cancelled == 0);
}
