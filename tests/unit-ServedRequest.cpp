#include "support/ServingFakes.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace dotterel;
using namespace dotterel::test;

namespace {

auto complete(unsigned Status, std::string Body = "") -> AttemptResult {
  return {.m_Outcome = AttemptOutcome::Complete,
          .m_Head = {.m_Status = Status},
          .m_Body = std::move(Body)};
}

auto endedWith(AttemptOutcome Outcome) -> AttemptResult {
  return {.m_Outcome = Outcome};
}

auto longPrompt(const std::string &Shared = "doc") -> PromptShape {
  return {.m_Model = ModelId{"m"},
          .m_Parts = {{.m_Id = Shared, .m_Tokens = TokenCount{12'000}},
                      {.m_Id = "own", .m_Tokens = TokenCount{3000}}},
          .m_PromptTokens = TokenCount{15'000},
          .m_OutputLimit = TokenCount{100}};
}

auto shortPrompt() -> PromptShape {
  return {.m_Model = ModelId{"m"},
          .m_Parts = {{.m_Id = "own", .m_Tokens = TokenCount{200}}},
          .m_PromptTokens = TokenCount{200},
          .m_OutputLimit = TokenCount{40}};
}

/// A short prompt with parts that other prompts share.
auto sharedPrompt(const std::vector<std::string> &Shared,
                  const std::string &Own) -> PromptShape {
  auto Shape = shortPrompt();
  Shape.m_Parts.clear();
  for (const auto &Id : Shared)
    Shape.m_Parts.push_back({.m_Id = Id, .m_Tokens = TokenCount{50}});
  Shape.m_Parts.push_back({.m_Id = Own, .m_Tokens = TokenCount{50}});
  return Shape;
}

/// A fixture whose servers crash and start again.
struct CrashFixture : ServingFixture {
  CrashFixture() {
    for (const auto *Id : {"g3", "g4", "g5", "g6"}) {
      auto Engine = *m_Core.directory().find(BackendId{"g1"});
      Engine.m_Id = BackendId{Id};
      Engine.m_Address = fmt::format("{}:1", Id);
      m_Core.directory().put(Engine);
    }
  }

  auto advance(Duration Span) -> void {
    m_Scheduler.advance(Span);
    m_Core.recordConfirmation(m_Scheduler.now());
  }

  /// Breaks the latest attempt because its server crashes. The server is back a
  /// second later.
  auto crash(AttemptResult Result = {.m_Outcome = AttemptOutcome::Failed,
                                     .m_Head = {.m_Status = 200}}) -> void {
    auto Last = m_Transport.m_Sent.back().m_Attempt;
    m_Transport.m_LostAddresses.insert(Last.m_Address);
    advance(Milliseconds(100));
    m_Transport.end(std::move(Result));
    m_Transport.endChecks();
    m_Transport.m_LostAddresses.erase(Last.m_Address);
    advance(Seconds(1));
    auto Record = *m_Core.directory().find(Last.m_Backend);
    ++Record.m_StartedAt;
    m_Core.directory().put(Record);
  }

  /// Serves a request, and returns whether it reached a server.
  auto reachesServer(const std::string &Route,
                     std::optional<PromptShape> Prompt = std::nullopt) -> bool {
    auto Before = m_Transport.m_Sent.size();
    serve(Route, "k", std::move(Prompt));
    if (m_Transport.m_Sent.size() == Before)
      return false;
    m_Transport.end(complete(200));
    return true;
  }

  /// Has a part quarantined by crashes of servers that other requests cause.
  auto quarantinePart(const std::string &PartId) -> void {
    m_Transport.m_LostAddresses.insert("lost:1");
    for (auto StartedAt = 1U; StartedAt <= 3; ++StartedAt) {
      auto Digests = RequestDigests{
          .m_Content = RequestDigest{StartedAt},
          .m_Parts = {{.m_Id = PartId,
                       .m_Digest = digestPromptPart(ModelId{"llm"}, PartId)}}};
      m_Core.crashes().attemptBroken({.m_Id = BackendId{"lost"},
                                      .m_StartedAt = StartedAt,
                                      .m_Address = "lost:1"},
                                     Digests, m_Scheduler.now());
      m_Transport.endChecks();
      advance(Milliseconds(1));
    }
    m_Transport.m_LostAddresses.clear();
  }
};

/// Serves requests, so that the retry budget allows retries.
auto fillRetryBudget(ServingFixture &Test) -> void {
  constexpr auto Requests = 20;
  for (auto Index = 0; Index < Requests; ++Index) {
    Test.serve("stream", "k", shortPrompt());
    Test.m_Transport.end(complete(200));
  }
}

/// Whether the request may have been executed after an attempt with this
/// outcome.
auto mayHaveRun(AttemptOutcome Outcome) -> bool {
  return Outcome == AttemptOutcome::Failed ||
         Outcome == AttemptOutcome::TimedOut;
}

} // namespace

TEST_CASE("served request: forwards a server's response with its status") {
  auto Test = ServingFixture();
  auto View = Test.serve("unsafe");
  REQUIRE(Test.m_Transport.m_Sent.size() == 1);
  CHECK(Test.m_Transport.m_Sent[0].m_Attempt.m_Organisation.text() == "o");
  Test.m_Transport.end(complete(201, "done"));
  CHECK(*View->m_Status == 201);
  CHECK(View->m_Body == "done");
  CHECK(Test.m_Usage["o"] == 1);
}

// Guards against requests that the exit of the process cuts: they arrived too
// late to be finished before it.
TEST_CASE("serving core: during a shutdown, a request that may last longer "
          "than the process is refused and not sent") {
  auto Test = ServingFixture();
  Test.m_Core.beginShutdown(
      {.m_BalancerLag = Seconds(1), .m_Limit = Seconds(4)});
  auto Start = Test.m_Scheduler.now();
  auto ServedAt = [&](Duration Elapsed) {
    Test.m_Scheduler.advance(Start + Elapsed - Test.m_Scheduler.now());
    Test.m_Core.recordConfirmation(Test.m_Scheduler.now());
    auto Before = Test.m_Transport.m_Sent.size();
    auto View = Test.serve("unsafe");
    auto Sent = Test.m_Transport.m_Sent.size() > Before;
    if (Sent)
      Test.m_Transport.end(complete(200));
    CHECK(Sent != View->m_Refusal.has_value());
    if (View->m_Refusal) {
      CHECK(View->m_Refusal->code() == RefusalCode::ShuttingDown);
      CHECK(View->m_Refusal->execution() == Execution::NotRun);
      CHECK(View->m_RetryAfter == ServedRequestOptions().m_MinRetryAfter);
    }
    return Sent;
  };
  // The callers of the fixture wait for two seconds.
  CHECK(ServedAt(Milliseconds(900)));
  CHECK(ServedAt(Milliseconds(2000)));
  CHECK_FALSE(ServedAt(Milliseconds(2001)));
  CHECK_FALSE(ServedAt(Milliseconds(4500)));
  auto Closed = ServingFixture();
  Closed.m_Core.beginShutdown(
      {.m_BalancerLag = Seconds(1), .m_Limit = Seconds(4)});
  Closed.m_Core.endShutdown();
  CHECK(Closed.serve("unsafe")->m_Refusal.has_value());
}

// Guards against requests that end without a response because the process
// exits, and against refusals that say "not run" of a request that has run.
TEST_CASE(
    "serving core: at the end of a shutdown every request in flight ends, "
    "with a refusal that says whether it may have run") {
  auto Test = ServingFixture();
  Test.m_Core.beginShutdown(
      {.m_BalancerLag = Seconds(1), .m_Limit = Seconds(4)});
  auto Running = Test.serve("unsafe");
  auto Prefilling = Test.serve("stream", "k", longPrompt());
  REQUIRE(Test.m_Transport.m_Sent.size() == 2);
  REQUIRE(Test.m_Transport.m_Sent[1].m_Attempt.m_Purpose ==
          AttemptPurpose::Prefill);
  auto Streaming = Test.serve("stream", "k", shortPrompt());
  Test.m_Transport.m_Sent.back().m_Listener->onBegin({}, {});
  Test.m_Core.endShutdown();
  REQUIRE(Running->m_Refusal);
  CHECK(Running->m_Refusal->code() == RefusalCode::ShuttingDown);
  CHECK(Running->m_Refusal->execution() == Execution::MayHaveRun);
  CHECK_FALSE(Running->m_RetryAfter);
  REQUIRE(Prefilling->m_Refusal);
  CHECK(Prefilling->m_Refusal->execution() == Execution::NotRun);
  REQUIRE(Prefilling->m_RetryAfter);
  CHECK(*Prefilling->m_RetryAfter > Duration::zero());
  CHECK(*Prefilling->m_RetryAfter <= ServedRequestOptions().m_MinRetryAfter);
  CHECK(Streaming->m_Aborted);
  for (const auto &Sent : Test.m_Transport.m_Sent)
    CHECK(Sent.m_Cancelled);
  Test.destroyEnded();
  CHECK(Test.m_Core.active() == 0);
}

TEST_CASE("served request: a request that must not be repeated is sent again "
          "only if no attempt may have executed it, and a refusal states 'not "
          "run' only then, for any sequence of outcomes") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Script) {
    auto Test = ServingFixture();
    // Fills the retry budget, so that an exhausted budget cannot hide a wrong
    // attempt.
    for (auto Index = 0; Index < 50; ++Index) {
      Test.serve("unsafe");
      Test.m_Transport.end(complete(200));
    }
    Test.destroyEnded();
    auto Before = Test.m_Transport.m_Sent.size();
    auto View = Test.serve("unsafe");
    auto Ran = false;
    for (auto Step : Script) {
      if (Test.m_Transport.m_Sent.back().m_Ended)
        break;
      constexpr auto Outcomes =
          std::array{AttemptOutcome::NotSent, AttemptOutcome::NotExecuted,
                     AttemptOutcome::WrongServer, AttemptOutcome::Failed,
                     AttemptOutcome::TimedOut};
      auto Outcome = Outcomes[Step % Outcomes.size()];
      RC_ASSERT(!Ran);
      Ran = Ran || mayHaveRun(Outcome);
      Test.m_Transport.end(endedWith(Outcome));
    }
    RC_ASSERT(!(Ran && !Test.m_Transport.m_Sent.back().m_Ended));
    if (View->m_Refusal && Ran)
      RC_ASSERT(View->m_Refusal->execution() != Execution::NotRun);
    RC_ASSERT(Test.m_Transport.m_Sent.size() - Before <= 4);
  }));
}

TEST_CASE("served request: an unsafe request that exceeds its deadline may "
          "have run") {
  auto Test = ServingFixture();
  auto View = Test.serve("unsafe");
  Test.m_Scheduler.advance(Milliseconds(2100));
  CHECK_FALSE(View->m_Refusal);
  Test.m_Scheduler.advance(Milliseconds(100));
  REQUIRE(View->m_Refusal);
  CHECK(View->m_Refusal->execution() == Execution::MayHaveRun);
  CHECK(Test.m_Transport.m_Sent[0].m_Cancelled);
}

TEST_CASE("served request: a safe request is retried at another server after a "
          "failure, within the retry budget") {
  auto Test = ServingFixture();
  auto View = Test.serve("safe");
  Test.m_Transport.end(complete(500));
  REQUIRE(Test.m_Transport.m_Sent.size() == 2);
  CHECK(Test.m_Transport.m_Sent[0].m_Attempt.m_Backend !=
        Test.m_Transport.m_Sent[1].m_Attempt.m_Backend);
  Test.m_Transport.end(complete(200, "b"));
  CHECK(*View->m_Status == 200);
  // The retry budget of a host with two requests is exhausted: the failure is
  // forwarded.
  auto Second = Test.serve("safe");
  Test.m_Transport.end(complete(500));
  CHECK(Test.m_Transport.m_Sent.size() == 3);
  CHECK(*Second->m_Status == 500);
}

// Guards against retrying at the server that has just truncated its response on
// a reused connection, where the request then hung.
TEST_CASE("served request: after a truncated response the next attempt goes to "
          "another server, also if the connection was reused") {
  for (auto Round = 0; Round < 10; ++Round) {
    auto Test = ServingFixture();
    for (auto Index = 0; Index < 20; ++Index) {
      Test.serve("safe");
      Test.m_Transport.end(complete(200));
    }
    Test.serve("safe");
    auto Sent = Test.m_Transport.m_Sent.size();
    auto Result = endedWith(AttemptOutcome::Failed);
    Result.m_Head.m_Status = 200;
    Result.m_ReusedConnection = true;
    Test.m_Transport.end(Result);
    REQUIRE(Test.m_Transport.m_Sent.size() == Sent + 1);
    CHECK(Test.m_Transport.m_Sent[Sent].m_Attempt.m_Backend !=
          Test.m_Transport.m_Sent[Sent - 1].m_Attempt.m_Backend);
  }
}

TEST_CASE("served request: a caller's disconnect cancels the attempt") {
  auto Test = ServingFixture();
  auto View = Test.serve("safe");
  View->m_OnDisconnect();
  CHECK(Test.m_Transport.m_Sent[0].m_Cancelled);
  Test.destroyEnded();
  CHECK(Test.m_Core.active() == 0);
}

TEST_CASE("served request: a long prompt is prefilled on a prefill engine and "
          "its cache is handed over, not released") {
  auto Test = ServingFixture();
  auto View = Test.serve("stream", "k", longPrompt());
  REQUIRE(Test.m_Transport.m_Sent.size() == 1);
  CHECK(Test.m_Transport.m_Sent[0].m_Attempt.m_Purpose ==
        AttemptPurpose::Prefill);
  Test.m_Transport.end({.m_Outcome = AttemptOutcome::Complete,
                        .m_Cache = CacheHandle{"p1:1", "h1"}});
  REQUIRE(Test.m_Transport.m_Sent.size() == 2);
  auto &Serve = Test.m_Transport.m_Sent[1];
  CHECK(Serve.m_Attempt.m_Cache->m_Handle == "h1");
  Serve.m_Listener->onBegin({.m_Status = 200}, {});
  Serve.m_Listener->onData("id: 1\ndata: a\n\n");
  Test.m_Transport.end(complete(200));
  CHECK(View->m_Finished);
  CHECK(View->m_Body == "id: 1\ndata: a\n\n");
  CHECK(Test.m_Transport.m_Released.empty());
}

TEST_CASE("served request: a prefilled prompt is passed to a second engine if "
          "the first one is full, without a second prefill") {
  auto Test = ServingFixture();
  for (auto Index = 0; Index < 20; ++Index) {
    Test.serve("stream", "k", shortPrompt());
    Test.m_Transport.end(complete(200));
  }
  Test.serve("stream", "k", longPrompt());
  Test.m_Transport.end({.m_Outcome = AttemptOutcome::Complete,
                        .m_Cache = CacheHandle{"p1:1", "h1"}});
  auto First = Test.m_Transport.m_Sent.back().m_Attempt;
  Test.m_Transport.end(endedWith(AttemptOutcome::NotExecuted));
  auto Second = Test.m_Transport.m_Sent.back().m_Attempt;
  CHECK(Second.m_Purpose == AttemptPurpose::Serve);
  CHECK(Second.m_Backend != First.m_Backend);
  REQUIRE(Second.m_Cache);
  CHECK(Second.m_Cache->m_Handle == "h1");
}

TEST_CASE("served request: a truncated resumable stream resumes at another "
          "engine after its last complete event, without duplicate events") {
  auto Test = ServingFixture();
  for (auto Index = 0; Index < 20; ++Index) {
    Test.serve("stream", "k", shortPrompt());
    Test.m_Transport.end(complete(200));
  }
  auto View = Test.serve("resumable", "k", shortPrompt());
  auto &First = Test.m_Transport.m_Sent.back();
  auto FirstEngine = First.m_Attempt.m_Backend;
  First.m_Listener->onBegin({.m_Status = 200}, {});
  First.m_Listener->onData("id: 1\ndata: a\n\nid: 2\nda");
  Test.m_Transport.end(endedWith(AttemptOutcome::Failed));
  auto &Second = Test.m_Transport.m_Sent.back();
  CHECK(Second.m_Attempt.m_Backend != FirstEngine);
  CHECK(Second.m_Attempt.m_ResumeAfter == "1");
  Second.m_Listener->onBegin({.m_Status = 200}, {});
  Second.m_Listener->onData("id: 2\ndata: b\n\n");
  Test.m_Transport.end(complete(200));
  CHECK(View->m_Body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(View->m_Finished);
}

TEST_CASE(
    "served request: a truncated stream that is not resumable is aborted") {
  auto Test = ServingFixture();
  auto View = Test.serve("stream", "k", shortPrompt());
  auto &Sent = Test.m_Transport.m_Sent.back();
  Sent.m_Listener->onBegin({.m_Status = 200}, {});
  Sent.m_Listener->onData("id: 1\ndata: a\n\n");
  Test.m_Transport.end(endedWith(AttemptOutcome::Failed));
  CHECK(View->m_Aborted);
  CHECK_FALSE(View->m_Finished);
  CHECK(Test.m_Transport.m_Sent.size() == 1);
}

// Guards against a stream without a length that its server closes in the middle
// of an event: the end of the connection looks like the end of the response.
TEST_CASE(
    "served request: a resumable stream that ends inside an event resumes "
    "at another engine, without the incomplete event") {
  for (const auto *Incomplete :
       {"id", "id: 2\n", "id: 2\ndata: b\n", "id: 2\r\ndata: b\r\n\r"}) {
    CAPTURE(std::string(Incomplete));
    auto Test = ServingFixture();
    fillRetryBudget(Test);
    auto View = Test.serve("resumable", "k", shortPrompt());
    auto First = Test.m_Transport.m_Sent.back();
    First.m_Listener->onBegin({.m_Status = 200}, {});
    First.m_Listener->onData("id: 1\ndata: a\n\n");
    First.m_Listener->onData(Incomplete);
    Test.m_Transport.end(complete(200));
    CHECK_FALSE(View->m_Finished);
    CHECK(View->m_Body == "id: 1\ndata: a\n\n");
    auto Second = Test.m_Transport.m_Sent.back();
    REQUIRE_FALSE(Second.m_Ended);
    CHECK(Second.m_Attempt.m_Backend != First.m_Attempt.m_Backend);
    CHECK(Second.m_Attempt.m_ResumeAfter == "1");
    Second.m_Listener->onBegin({.m_Status = 200}, {});
    Second.m_Listener->onData("id: 2\ndata: b\n\n");
    Test.m_Transport.end(complete(200));
    CHECK(View->m_Body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(View->m_Finished);
  }
}

TEST_CASE("served request: a resumable stream whose every attempt ends inside "
          "an event is aborted") {
  auto Test = ServingFixture();
  fillRetryBudget(Test);
  auto View = Test.serve("resumable", "k", shortPrompt());
  for (auto Attempt = 0; Attempt < 2; ++Attempt) {
    REQUIRE_FALSE(Test.m_Transport.m_Sent.back().m_Ended);
    auto *Listener = Test.m_Transport.m_Sent.back().m_Listener;
    Listener->onBegin({.m_Status = 200}, {});
    Listener->onData("id: 1\ndata: a");
    Test.m_Transport.end(complete(200));
  }
  CHECK(Test.m_Transport.m_Sent.back().m_Ended);
  CHECK(View->m_Aborted);
  CHECK_FALSE(View->m_Finished);
  CHECK(View->m_Body.empty());
}

TEST_CASE("served request: a stream that is not resumable and ends inside an "
          "event is forwarded as it arrives and then aborted") {
  for (const auto *Incomplete : {"i", "data: b\n", "data: b\r\n", "\n\n:"}) {
    CAPTURE(std::string(Incomplete));
    auto Test = ServingFixture();
    auto View = Test.serve("stream", "k", shortPrompt());
    auto *Listener = Test.m_Transport.m_Sent.back().m_Listener;
    Listener->onBegin({.m_Status = 200}, {});
    Listener->onData("data: a\n\n");
    Listener->onData(Incomplete);
    CHECK(View->m_Body == std::string("data: a\n\n") + Incomplete);
    Test.m_Transport.end(complete(200));
    CHECK(View->m_Aborted);
    CHECK_FALSE(View->m_Finished);
    CHECK(Test.m_Metrics.text().find("end=\"broken\"") != std::string::npos);
  }
}

TEST_CASE("served request: a stream that ends after a complete event, after a "
          "comment line or without any event is complete") {
  for (const auto *Route : {"stream", "resumable"})
    for (const auto *Text :
         {"", "data: a\n\n", "data: a\r\n\r\n", "data: a\r\n\n",
          "data: a\n\n: comment\n", ": comment\n\n", "\n"}) {
      CAPTURE(std::string(Route));
      CAPTURE(std::string(Text));
      auto Test = ServingFixture();
      auto View = Test.serve(Route, "k", shortPrompt());
      auto *Listener = Test.m_Transport.m_Sent.back().m_Listener;
      Listener->onBegin(
          {.m_Status = 200,
           .m_Headers = {{"Content-Type", "Text/Event-Stream; charset=utf-8"}}},
          {});
      for (const auto *Next = Text; *Next != '\0'; ++Next)
        Listener->onData(std::string_view(Next, 1));
      Test.m_Transport.end(complete(200));
      CHECK(View->m_Finished);
      CHECK(View->m_Body == Text);
    }
}

TEST_CASE("served request: a response of another content type on a stream's "
          "route has no events and is complete when its framing says so") {
  for (const auto *Route : {"stream", "resumable"}) {
    CAPTURE(std::string(Route));
    auto Test = ServingFixture();
    auto View = Test.serve(Route, "k", shortPrompt());
    auto *Listener = Test.m_Transport.m_Sent.back().m_Listener;
    Listener->onBegin(
        {.m_Status = 200, .m_Headers = {{"Content-Type", "application/json"}}},
        {});
    Listener->onData("{\"text\":");
    Listener->onData("\"a\"}");
    Test.m_Transport.end(complete(200));
    CHECK(View->m_Finished);
    CHECK(View->m_Body == "{\"text\":\"a\"}");
  }
}

TEST_CASE("served request: an engine whose streams end inside an event is "
          "ejected") {
  auto Test = ServingFixture();
  auto Faulty = std::optional<BackendId>();
  auto TruncatedStreams = 0U;
  constexpr auto Streams = 40;
  for (auto Index = 0; Index < Streams; ++Index) {
    Test.serve("stream", "k", shortPrompt());
    auto Sent = Test.m_Transport.m_Sent.back();
    if (!Faulty)
      Faulty = Sent.m_Attempt.m_Backend;
    auto Truncated = Sent.m_Attempt.m_Backend == *Faulty;
    TruncatedStreams += Truncated ? 1U : 0U;
    Sent.m_Listener->onBegin({.m_Status = 200}, {});
    Sent.m_Listener->onData(Truncated ? "data: a" : "data: a\n\n");
    Test.m_Transport.end(complete(200));
  }
  CHECK(TruncatedStreams == OutlierOptions().m_ConsecutiveFailures);
}

TEST_CASE("served request: an attempt whose event never ends is cancelled as "
          "failed, and a resumable stream resumes at another engine") {
  constexpr auto PieceBytes = std::size_t{1000};
  constexpr auto MaxEventBytes = ServedRequestOptions().m_MaxEventBytes;
  for (const auto *Route : {"stream", "resumable"}) {
    CAPTURE(std::string(Route));
    auto Test = ServingFixture();
    fillRetryBudget(Test);
    auto View = Test.serve(Route, "k", shortPrompt());
    auto Index = Test.m_Transport.m_Sent.size() - 1;
    auto First = Test.m_Transport.m_Sent[Index];
    First.m_Listener->onBegin({.m_Status = 200}, {});
    First.m_Listener->onData("id: 1\ndata: a\n\n");
    auto Sent = std::size_t{0};
    while (!Test.m_Transport.m_Sent[Index].m_Cancelled &&
           Sent < 10 * MaxEventBytes) {
      First.m_Listener->onData(std::string(PieceBytes, 'x'));
      Sent += PieceBytes;
    }
    CHECK(Test.m_Transport.m_Sent[Index].m_Cancelled);
    CHECK(Sent <= MaxEventBytes + PieceBytes);
    CHECK(Test.m_Metrics.text().find("end=\"broken\"") != std::string::npos);
    if (std::string_view(Route) == "stream") {
      CHECK(View->m_Aborted);
      CHECK(Test.m_Transport.m_Sent.size() == Index + 1);
      continue;
    }
    REQUIRE(Test.m_Transport.m_Sent.size() == Index + 2);
    auto Second = Test.m_Transport.m_Sent.back();
    CHECK(Second.m_Attempt.m_Backend != First.m_Attempt.m_Backend);
    CHECK(Second.m_Attempt.m_ResumeAfter == "1");
    Second.m_Listener->onBegin({.m_Status = 200}, {});
    // An event of the maximum size is forwarded, also in pieces.
    auto Largest = std::string(MaxEventBytes - 1, 'x') + "\n\n";
    Second.m_Listener->onData(Largest.substr(0, MaxEventBytes));
    Second.m_Listener->onData(Largest.substr(MaxEventBytes));
    Test.m_Transport.end(complete(200));
    CHECK(View->m_Finished);
    CHECK(View->m_Body == "id: 1\ndata: a\n\n" + Largest);
  }
}

TEST_CASE("served request: a response without events on a stream's route may "
          "be larger than an event, but is not buffered without limit") {
  constexpr auto PieceBytes = std::size_t{1000};
  constexpr auto Options = ServedRequestOptions();
  for (const auto *Route : {"stream", "resumable"}) {
    CAPTURE(std::string(Route));
    auto Test = ServingFixture();
    Test.serve(Route, "k", shortPrompt());
    auto &Sent = Test.m_Transport.m_Sent;
    auto *Listener = Sent[0].m_Listener;
    Listener->onBegin(
        {.m_Status = 200, .m_Headers = {{"Content-Type", "application/json"}}},
        {});
    auto Bytes = std::size_t{0};
    for (; !Sent[0].m_Cancelled && Bytes < 2 * Options.m_MaxUnsentBytes;
         Bytes += PieceBytes)
      Listener->onData(std::string(PieceBytes, 'x'));
    auto Buffered = std::string_view(Route) == "resumable";
    CHECK(Sent[0].m_Cancelled == Buffered);
    CHECK(Bytes > Options.m_MaxEventBytes);
    if (Buffered)
      CHECK(Bytes <= Options.m_MaxUnsentBytes + PieceBytes);
  }
}

// Guards against rejected prefills that are not counted against the retry
// budget.
TEST_CASE("served request: if engines reject all requests, extra attempts stay "
          "within the retry budget, rejected prefills included") {
  auto Test = ServingFixture();
  constexpr auto Requests = 200;
  for (auto Index = 0; Index < Requests; ++Index) {
    Test.serve("resumable", "k", Index % 2 == 0 ? longPrompt() : shortPrompt());
    while (!Test.m_Transport.m_Sent.back().m_Ended)
      Test.m_Transport.end(endedWith(AttemptOutcome::NotExecuted));
    Test.destroyEnded();
  }
  constexpr auto Ratio = 0.2;
  CHECK(Test.m_Transport.m_Sent.size() <= Requests * (1 + Ratio));
  // At least half of the budget is used.
  CHECK(Test.m_Transport.m_Sent.size() > Requests * 1.1);
}

TEST_CASE("serving core: refuses requests with a missing or unknown key, an "
          "unknown route or a stale configuration") {
  auto Test = ServingFixture();
  CHECK(Test.serve("safe", "")->m_Refusal->code() == RefusalCode::KeyMissing);
  CHECK(Test.serve("safe", "x")->m_Refusal->code() == RefusalCode::KeyUnknown);
  CHECK(Test.serve("nowhere")->m_Refusal->code() == RefusalCode::UnknownRoute);
  // Without a recent confirmation of the configuration, a key may have been
  // withdrawn.
  Test.m_Scheduler.advance(Seconds(4));
  auto Stale = Test.serve("safe");
  CHECK(Stale->m_Refusal->code() == RefusalCode::ConfigurationStale);
  CHECK(Stale->m_Refusal->execution() == Execution::NotRun);
  CHECK(Stale->m_RetryAfter);
  CHECK(Test.m_Transport.m_Sent.empty());
}

TEST_CASE("serving core: an older configuration is not applied") {
  auto Test = ServingFixture();
  auto Older = ServingConfiguration();
  Older.m_Revision = ConfigRevision{1};
  CHECK_FALSE(Test.m_Core.apply(Older));
  CHECK(Test.m_Core.configuration()->m_Routes.size() == 4);
}

TEST_CASE("served request: if a server becomes unresponsive, a safe request "
          "goes to another server and an unsafe one waits") {
  auto Test = ServingFixture();
  for (auto Index = 0; Index < 20; ++Index) {
    Test.serve("safe");
    Test.m_Transport.end(complete(200));
  }
  Test.destroyEnded();
  auto Safe = Test.serve("safe");
  auto Unresponsive = Test.m_Transport.m_Sent.back().m_Attempt.m_Backend;
  Test.m_Scheduler.advance(Milliseconds(1000));
  CHECK(Test.m_Transport.m_Sent.size() == 22);
  CHECK(Test.m_Transport.m_Sent[20].m_Cancelled);
  CHECK(Test.m_Transport.m_Sent.back().m_Attempt.m_Backend != Unresponsive);
  Test.m_Transport.end(complete(200));
  CHECK(*Safe->m_Status == 200);
  Test.destroyEnded();
  Test.serve("unsafe");
  Test.m_Scheduler.advance(Milliseconds(1500));
  CHECK(Test.m_Transport.m_Sent.size() == 23);
  CHECK_FALSE(Test.m_Transport.m_Sent.back().m_Cancelled);
}

TEST_CASE("served request: a part that crashed three engines one after another "
          "is refused with any other parts, and those are served") {
  auto Test = CrashFixture();
  for (auto Index = 0; Index < 3; ++Index) {
    CHECK(Test.reachesServer("stream", sharedPrompt({"doc"}, "sound")));
    auto View = Test.serve(
        "stream", "k",
        sharedPrompt({"doc", "crashing"}, fmt::format("own{}", Index)));
    Test.crash();
    REQUIRE(View->m_Refusal);
    CHECK(View->m_Refusal->code() == RefusalCode::BackendFailed);
  }
  auto Sent = Test.m_Transport.m_Sent.size();
  for (const auto &Shared : std::vector<std::vector<std::string>>{
           {"doc", "crashing"}, {"crashing"}, {"other", "crashing", "doc"}})
    for (const auto *Route : {"stream", "resumable"}) {
      auto View = Test.serve(Route, "k", sharedPrompt(Shared, "new"));
      REQUIRE(View->m_Refusal);
      CHECK(View->m_Refusal->code() == RefusalCode::Quarantined);
      CHECK(View->m_Refusal->execution() == Execution::NotRun);
      CHECK_FALSE(View->m_RetryAfter);
    }
  CHECK(Test.m_Transport.m_Sent.size() == Sent);
  // Prompts for the prefill engines are refused before they are prefilled.
  CHECK_FALSE(Test.reachesServer("stream", longPrompt("crashing")));
  CHECK(Test.reachesServer("stream", longPrompt("doc")));
  CHECK(Test.reachesServer("stream", sharedPrompt({"doc"}, "own0")));
  CHECK(Test.reachesServer("stream", sharedPrompt({}, "crashing")));
  CHECK(Test.reachesServer("safe"));
}

TEST_CASE("served request: a plain request that crashed three servers one "
          "after another is refused") {
  auto Test = CrashFixture();
  for (auto Index = 0; Index < 3; ++Index) {
    auto View = Test.serve("unsafe");
    Test.crash(endedWith(AttemptOutcome::Failed));
    CHECK(View->m_Refusal->execution() == Execution::MayHaveRun);
  }
  auto View = Test.serve("unsafe");
  REQUIRE(View->m_Refusal);
  CHECK(View->m_Refusal->code() == RefusalCode::Quarantined);
  CHECK(View->m_Refusal->execution() == Execution::NotRun);
  CHECK(Test.m_Transport.m_Sent.size() == 3);
  CHECK(Test.reachesServer("safe"));
}

// Guards against a request that crashes servers anew at each service to which
// its route is moved.
TEST_CASE(
    "served request: a request that crashed three servers crashes at most "
    "one more after its route was moved, however often") {
  auto Test = CrashFixture();
  for (auto Index = 0; Index < 3; ++Index) {
    Test.serve("unsafe");
    Test.crash(endedWith(AttemptOutcome::Failed));
  }
  CHECK_FALSE(Test.reachesServer("unsafe"));
  auto Before = Test.m_Transport.m_Sent.size();
  for (const auto *Service : {"ledger", "archive", "vault", "desk"}) {
    Test.movePlainRoutes(Service);
    for (auto Index = 0; Index < 4; ++Index) {
      auto Sent = Test.m_Transport.m_Sent.size();
      auto View = Test.serve("unsafe");
      if (Test.m_Transport.m_Sent.size() > Sent) {
        Test.crash(endedWith(AttemptOutcome::Failed));
        continue;
      }
      REQUIRE(View->m_Refusal);
      CHECK(View->m_Refusal->code() == RefusalCode::Quarantined);
      CHECK(View->m_Refusal->execution() == Execution::NotRun);
    }
    // Other requests are served by the same servers.
    CHECK(Test.reachesServer("safe"));
  }
  CHECK(Test.m_Transport.m_Sent.size() - Before <= 1 + 4);
}

// Guards against refusing requests that crash the servers of one service at
// another one that serves them.
TEST_CASE(
    "served request: a request that crashed the servers of one service is "
    "served by another one") {
  auto Test = CrashFixture();
  for (auto Index = 0; Index < 3; ++Index) {
    Test.serve("unsafe");
    Test.crash(endedWith(AttemptOutcome::Failed));
  }
  REQUIRE_FALSE(Test.reachesServer("unsafe"));
  Test.movePlainRoutes("ledger");
  auto Trial = Test.serve("unsafe");
  auto TrialServer = Test.m_Transport.m_Sent.back().m_Attempt;
  CHECK(TrialServer.m_Backend.text().starts_with("ledger"));
  // One at a time, until it is known whether it crashes the servers.
  CHECK(Test.serve("unsafe")->m_Refusal);
  Test.m_Transport.end(complete(200));
  CHECK(Trial->m_Status == 200);
  for (auto Index = 0; Index < 3; ++Index)
    CHECK(Test.reachesServer("unsafe"));
  Test.movePlainRoutes("desk");
  CHECK_FALSE(Test.reachesServer("unsafe"));
  Test.movePlainRoutes("ledger");
  CHECK(Test.reachesServer("unsafe"));
}

// Guards against losing count of a request whose route is split over services.
TEST_CASE("served request: a request that crashes one server of each of three "
          "services is refused") {
  auto Test = CrashFixture();
  for (const auto *Service : {"desk", "ledger", "archive"}) {
    Test.movePlainRoutes(Service);
    REQUIRE_FALSE(Test.serve("unsafe")->m_Refusal);
    Test.crash(endedWith(AttemptOutcome::Failed));
  }
  CHECK_FALSE(Test.reachesServer("unsafe"));
  Test.movePlainRoutes("desk");
  CHECK_FALSE(Test.reachesServer("unsafe"));
}

// Guards against evidence that is missed because a reused connection without a
// response is taken for an idle one that its server closed.
TEST_CASE("served request: a crash is also found by a reused connection that "
          "ends without a response") {
  auto Test = CrashFixture();
  auto Result = endedWith(AttemptOutcome::Failed);
  Result.m_ReusedConnection = true;
  for (auto Index = 0; Index < 3; ++Index) {
    CHECK_FALSE(Test.serve("unsafe")->m_Refusal);
    Test.crash(Result);
  }
  CHECK_FALSE(Test.reachesServer("unsafe"));
}

TEST_CASE("served request: servers that are lost at once, and connections that "
          "reachable servers break, have nothing refused") {
  auto Test = CrashFixture();
  for (auto Index = 0; Index < 6; ++Index)
    Test.serve("stream", "k", sharedPrompt({"doc"}, std::to_string(Index)));
  Test.advance(Milliseconds(100));
  REQUIRE(Test.m_Transport.m_Sent.size() == 6);
  for (auto &Sent : std::vector(Test.m_Transport.m_Sent)) {
    Test.m_Transport.m_LostAddresses.insert(Sent.m_Attempt.m_Address);
    Sent.m_Listener->onEnd(endedWith(AttemptOutcome::Failed));
    Test.advance(Milliseconds(20));
  }
  Test.m_Transport.endChecks();
  Test.m_Transport.m_LostAddresses.clear();
  Test.advance(Seconds(2));
  for (auto Index = 0; Index < 6; ++Index) {
    auto View = Test.serve("stream", "k", sharedPrompt({"doc"}, "x"));
    CHECK_FALSE(View->m_Refusal);
    Test.advance(Milliseconds(100));
    Test.m_Transport.end(endedWith(AttemptOutcome::Failed));
    Test.m_Transport.endChecks();
    Test.advance(Seconds(2));
  }
}

// Guards against prompts that are prefilled in vain, since the rates of the
// decode engines are used up for the moment.
TEST_CASE("served request: a prefilled prompt waits for a decode engine whose "
          "request rate permits it soon, and is refused at once otherwise") {
  struct Case {
    double m_Limit;
    bool m_Waits;
  };
  for (auto Current : {Case{2, true}, Case{0.05, false}}) {
    CAPTURE(Current.m_Limit);
    auto Test = ServingFixture();
    auto &Limits = Test.m_Core.rateLimits();
    Limits.setSenders("h1", {}, Test.m_Scheduler.now());
    auto View = Test.serve("stream", "k", longPrompt("doc"));
    REQUIRE(Test.m_Transport.m_Sent.size() == 1);
    REQUIRE(Test.m_Transport.m_Sent[0].m_Attempt.m_Purpose ==
            AttemptPurpose::Prefill);
    for (const auto *Id : {"g1", "g2"})
      Limits.recordResponse(BackendId{Id}, RequestRate{Current.m_Limit},
                            Test.m_Scheduler.now());
    Test.m_Transport.m_Sent[0].m_Listener->onEnd(
        {.m_Outcome = AttemptOutcome::Complete,
         .m_Cache = CacheHandle{"p1:1", "h1"}});
    CHECK(Test.m_Transport.m_Sent.size() == 1);
    CHECK(View->m_Refusal.has_value() == !Current.m_Waits);
    Test.m_Scheduler.advance(Milliseconds(600));
    CHECK(Test.m_Transport.m_Sent.size() == (Current.m_Waits ? 2 : 1));
    CHECK(Test.m_Transport.m_Released.empty() == Current.m_Waits);
  }
}

// Guards against a caller that leaves during that wait: nothing is sent for it.
TEST_CASE(
    "served request: a caller that leaves while its prefilled prompt waits "
    "releases the cache") {
  auto Test = ServingFixture();
  auto &Limits = Test.m_Core.rateLimits();
  Limits.setSenders("h1", {}, Test.m_Scheduler.now());
  auto View = Test.serve("stream", "k", longPrompt("doc"));
  REQUIRE(Test.m_Transport.m_Sent.size() == 1);
  for (const auto *Id : {"g1", "g2"})
    Limits.recordResponse(BackendId{Id}, RequestRate{2},
                          Test.m_Scheduler.now());
  Test.m_Transport.m_Sent[0].m_Listener->onEnd(
      {.m_Outcome = AttemptOutcome::Complete,
       .m_Cache = CacheHandle{"p1:1", "h1"}});
  REQUIRE(View->m_OnDisconnect);
  View->m_OnDisconnect();
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Test.m_Transport.m_Sent.size() == 1);
  CHECK(Test.m_Transport.m_Released == std::vector<std::string>{"h1"});
}

TEST_CASE("served request: a prefilled prompt with a quarantined part is not "
          "passed to a decode engine, and its cache is released") {
  auto Test = CrashFixture();
  auto View = Test.serve("stream", "k", longPrompt("crashing"));
  REQUIRE(Test.m_Transport.m_Sent.size() == 1);
  CHECK(Test.m_Transport.m_Sent[0].m_Attempt.m_Purpose ==
        AttemptPurpose::Prefill);
  auto &Prefilled = *Test.m_Transport.m_Sent[0].m_Listener;
  Test.quarantinePart("crashing");
  Prefilled.onEnd({.m_Outcome = AttemptOutcome::Complete,
                   .m_Cache = CacheHandle{"p1:1", "h1"}});
  CHECK(Test.m_Transport.m_Sent.size() == 1);
  CHECK(Test.m_Transport.m_Released == std::vector<std::string>{"h1"});
  REQUIRE(View->m_Refusal);
  CHECK(View->m_Refusal->code() == RefusalCode::Quarantined);
  CHECK(View->m_Refusal->execution() == Execution::NotRun);
}

TEST_CASE("served request: a request in flight when its part is quarantined "
          "may end, but is not sent again") {
  struct Case {
    AttemptOutcome m_Outcome;
    bool m_Streaming;
    std::optional<Execution> m_Execution; ///< Of the refusal; empty: none.
  };
  for (const auto &Current :
       {Case{AttemptOutcome::NotExecuted, false, Execution::NotRun},
        Case{AttemptOutcome::NotSent, false, Execution::NotRun},
        Case{AttemptOutcome::Failed, false, Execution::MayHaveRun},
        Case{AttemptOutcome::Failed, true, std::nullopt},
        Case{AttemptOutcome::Complete, true, std::nullopt}}) {
    auto Test = CrashFixture();
    for (auto Index = 0; Index < 20; ++Index)
      Test.reachesServer("stream", shortPrompt());
    auto View = Test.serve("resumable", "k",
                           sharedPrompt({"crashing", "doc"}, "first"));
    auto &Listener = *Test.m_Transport.m_Sent.back().m_Listener;
    if (Current.m_Streaming) {
      Listener.onBegin({.m_Status = 200}, {});
      Listener.onData("id: 1\ndata: a\n\n");
    }
    Test.quarantinePart("crashing");
    auto Sent = Test.m_Transport.m_Sent.size();
    Listener.onEnd(
        {.m_Outcome = Current.m_Outcome, .m_Head = {.m_Status = 200}});
    CHECK(Test.m_Transport.m_Sent.size() == Sent);
    if (Current.m_Execution) {
      REQUIRE(View->m_Refusal);
      CHECK(View->m_Refusal->code() == RefusalCode::Quarantined);
      CHECK(View->m_Refusal->execution() == *Current.m_Execution);
    } else {
      CHECK(View->m_Finished ==
            (Current.m_Outcome == AttemptOutcome::Complete));
      CHECK(View->m_Aborted != View->m_Finished);
    }
  }
}

// Guards against refusing a part that only ran beside the crashing one in all
// the requests that crashed servers.
TEST_CASE("served request: a part that is quarantined together with a crashing "
          "one is served again after one success without it") {
  auto Test = CrashFixture();
  for (auto Index = 0; Index < 3; ++Index) {
    Test.serve("stream", "k",
               sharedPrompt({"doc", "crashing"}, fmt::format("own{}", Index)));
    Test.crash();
  }
  CHECK_FALSE(
      Test.reachesServer("stream", sharedPrompt({"doc", "crashing"}, "x")));
  // One request at a time is tried.
  auto Trial = Test.serve("stream", "k", sharedPrompt({"doc"}, "x"));
  CHECK_FALSE(Trial->m_Refusal);
  auto &Listener = *Test.m_Transport.m_Sent.back().m_Listener;
  auto Beside = Test.serve("stream", "k", sharedPrompt({"doc"}, "y"));
  REQUIRE(Beside->m_Refusal);
  CHECK(Beside->m_Refusal->code() == RefusalCode::Quarantined);
  Listener.onEnd(endedWith(AttemptOutcome::NotExecuted));
  // The trial ends with its request, also without a success.
  while (!Trial->m_Refusal)
    Test.m_Transport.end(endedWith(AttemptOutcome::NotExecuted));
  CHECK(Test.reachesServer("stream", sharedPrompt({"doc"}, "y")));
  for (auto Index = 0; Index < 3; ++Index) {
    CHECK_FALSE(
        Test.serve("stream", "k", sharedPrompt({"doc"}, "z"))->m_Refusal);
    CHECK(Test.serve("resumable", "k", sharedPrompt({"doc", "crashing"}, "x"))
              ->m_Refusal);
  }
}

TEST_CASE("served request: a crashing part that was quarantined together with "
          "a sound one crashes at most one more server") {
  for (const auto *Route : {"stream", "resumable"}) {
    auto Test = CrashFixture();
    for (auto Index = 0; Index < 20; ++Index)
      Test.reachesServer("stream", shortPrompt());
    for (auto Index = 0; Index < 3; ++Index) {
      Test.serve(
          "stream", "k",
          sharedPrompt({"doc", "crashing"}, fmt::format("own{}", Index)));
      Test.crash();
    }
    auto Sent = Test.m_Transport.m_Sent.size();
    Test.serve(Route, "k", sharedPrompt({"other", "crashing"}, "x"));
    REQUIRE(Test.m_Transport.m_Sent.size() == Sent + 1);
    Test.crash();
    CHECK(Test.m_Transport.m_Sent.size() == Sent + 1);
    for (const auto *Shared : {"other", "doc", "third"})
      CHECK_FALSE(
          Test.reachesServer(Route, sharedPrompt({Shared, "crashing"}, "y")));
    CHECK(Test.m_Transport.m_Sent.size() == Sent + 1);
    CHECK(Test.reachesServer(Route, sharedPrompt({"doc"}, "y")));
    CHECK(Test.reachesServer(Route, sharedPrompt({"other"}, "y")));
  }
}

// A crashing request that is sent again and again is the only one that ran on
// the servers with its parts.
TEST_CASE("served request: the parts of a request that is refused for its "
          "content are served in other requests") {
  auto Test = CrashFixture();
  for (auto Index = 0; Index < 3; ++Index) {
    Test.serve("stream", "k", sharedPrompt({"doc"}, "crashing"));
    Test.crash();
  }
  CHECK_FALSE(Test.reachesServer("stream", sharedPrompt({"doc"}, "crashing")));
  CHECK(Test.reachesServer("stream", sharedPrompt({"doc"}, "sound")));
  CHECK_FALSE(Test.reachesServer("stream", sharedPrompt({"doc"}, "crashing")));
  CHECK(Test.reachesServer("stream", sharedPrompt({"doc"}, "sound")));
}

// Guards against ending a request sooner because its server sends nothing: it
// is taken from that server only if another one can take it.
TEST_CASE(
    "served request: an unresponsive server keeps a request that no other "
    "server can take") {
  auto Test = ServingFixture();
  Test.m_Core.directory().remove(BackendId{"d2"});
  Test.m_Core.directory().remove(BackendId{"d3"});
  auto View = Test.serve("safe");
  Test.m_Scheduler.advance(Milliseconds(1500));
  CHECK(Test.m_Transport.m_Sent.size() == 1);
  CHECK_FALSE(Test.m_Transport.m_Sent[0].m_Cancelled);
  CHECK_FALSE(View->m_Refusal);
  auto Stream = Test.serve("resumable", "k", shortPrompt());
  auto First = Test.m_Transport.m_Sent.back();
  First.m_Listener->onBegin({.m_Status = 200}, {});
  First.m_Listener->onData("id: 1\ndata: a\n\n");
  for (const auto *Id : {"g1", "g2", "p1", "p2"})
    if (First.m_Attempt.m_Backend.text() != Id)
      Test.m_Core.directory().remove(BackendId{Id});
  Test.m_Scheduler.advance(Milliseconds(1500));
  CHECK(Test.m_Transport.m_Sent.size() == 2);
  CHECK_FALSE(Test.m_Transport.m_Sent.back().m_Cancelled);
  CHECK_FALSE(Stream->m_Aborted);
}

// Guards against a stream that is cut because the engines that it is moved to
// refuse it, although it has time left.
TEST_CASE("served request: a stream that was taken from an unresponsive engine "
          "waits until another engine takes it") {
  for (auto Engines : {2, 3}) {
    CAPTURE(Engines);
    auto Test = ServingFixture();
    if (Engines == 3) {
      auto Third = *Test.m_Core.directory().find(BackendId{"g1"});
      Third.m_Id = BackendId{"g3"};
      Third.m_Address = "g3:1";
      Test.m_Core.directory().put(Third);
    }
    auto View = Test.serve("resumable", "k", shortPrompt());
    auto First = Test.m_Transport.m_Sent.back();
    First.m_Listener->onBegin({.m_Status = 200}, {});
    First.m_Listener->onData("id: 1\ndata: a\n\n");
    Test.m_Scheduler.advance(Milliseconds(1000));
    REQUIRE(Test.m_Transport.m_Sent.size() == 2);
    Test.m_Transport.end(endedWith(AttemptOutcome::NotExecuted));
    CHECK_FALSE(View->m_Aborted);
    Test.m_Scheduler.advance(Milliseconds(2000));
    // The time of the request is over.
    CHECK(View->m_Aborted);
  }
}

// Guards against taking all requests from their servers after the host itself
// has not run, for example because it applied a large configuration.
TEST_CASE("served request: a check that runs late does not judge the server") {
  auto Test = ServingFixture();
  Test.serve("safe");
  Test.m_Scheduler.pause(Milliseconds(900));
  Test.m_Scheduler.advance(Milliseconds(1));
  CHECK_FALSE(Test.m_Transport.m_Sent[0].m_Cancelled);
  Test.m_Scheduler.advance(Milliseconds(400));
  CHECK(Test.m_Transport.m_Sent[0].m_Cancelled);
}

// Guards against taking the crash of a server for the end of its response, when
// the response has neither a length nor chunks: as a success it would clear the
// part that crashes servers.
TEST_CASE("served request: a response that ends with the connection of a lost "
          "server is no success") {
  auto Test = CrashFixture();
  for (auto Number = 0; Number < 3; ++Number) {
    Test.serve("stream", "k",
               sharedPrompt({"crashing"}, fmt::format("own{}", Number)));
    Test.crash({.m_Outcome = AttemptOutcome::Complete,
                .m_Head = {.m_Status = 200},
                .m_EndedByClose = true});
  }
  CHECK_FALSE(Test.reachesServer("stream", sharedPrompt({"crashing"}, "x")));
  CHECK(Test.reachesServer("stream", sharedPrompt({"sound"}, "x")));
}

// Guards against blaming requests for servers that were taken away one after
// another, as announced.
TEST_CASE("served request: the end of a draining server is no evidence against "
          "the requests that ran there") {
  auto Test = CrashFixture();
  for (auto Number = 0; Number < 4; ++Number) {
    auto Before = Test.m_Transport.m_Sent.size();
    Test.serve("stream", "k",
               sharedPrompt({"sound"}, fmt::format("own{}", Number)));
    REQUIRE(Test.m_Transport.m_Sent.size() == Before + 1);
    auto Record = *Test.m_Core.directory().find(
        Test.m_Transport.m_Sent.back().m_Attempt.m_Backend);
    Record.m_Draining = true;
    Test.m_Core.directory().put(Record);
    Test.crash();
    Record.m_Draining = false;
    ++Record.m_StartedAt;
    Test.m_Core.directory().put(Record);
  }
  CHECK(Test.reachesServer("stream", sharedPrompt({"sound"}, "x")));
}
