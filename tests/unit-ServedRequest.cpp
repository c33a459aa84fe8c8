#include "support/ServingFakes.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace dotterel;
using namespace dotterel::test;

namespace {

auto whole(unsigned Status, std::string Body = "") -> AttemptResult {
  return {.m_End = AttemptEnd::Whole,
          .m_Head = {.m_Status = Status},
          .m_Body = std::move(Body)};
}

auto ended(AttemptEnd End) -> AttemptResult { return {.m_End = End}; }

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

/// Ends after which the request may have run.
auto mayHaveRun(AttemptEnd End) -> bool {
  return End == AttemptEnd::Broken || End == AttemptEnd::TimedOut;
}

} // namespace

TEST_CASE("served request: a server's answer is passed on with its status") {
  auto Test = ServingFixture();
  auto View = Test.serve("unsafe");
  REQUIRE(Test.m_Transport.m_Sent.size() == 1);
  CHECK(Test.m_Transport.m_Sent[0].m_Attempt.m_Organisation.text() == "o");
  Test.m_Transport.end(whole(201, "done"));
  CHECK(*View->m_Status == 201);
  CHECK(View->m_Body == "done");
  CHECK(Test.m_Usage["o"] == 1);
}

TEST_CASE("served request: after any sequence of ends, a request that may not "
          "be repeated is sent on only while nothing may have run it, and a "
          "refusal that promises this is true") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Script) {
    auto Test = ServingFixture();
    // Room in the budget, so that it does not hide a wrong attempt.
    for (auto Index = 0; Index < 50; ++Index) {
      Test.serve("unsafe");
      Test.m_Transport.end(whole(200));
    }
    Test.settle();
    auto Before = Test.m_Transport.m_Sent.size();
    auto View = Test.serve("unsafe");
    auto Ran = false;
    for (auto Step : Script) {
      if (Test.m_Transport.m_Sent.back().m_Ended)
        break;
      constexpr auto Ends = std::array{
          AttemptEnd::NotSent, AttemptEnd::NotExecuted, AttemptEnd::WrongServer,
          AttemptEnd::Broken, AttemptEnd::TimedOut};
      auto End = Ends[Step % Ends.size()];
      RC_ASSERT(!Ran);
      Ran = Ran || mayHaveRun(End);
      Test.m_Transport.end(ended(End));
    }
    RC_ASSERT(!(Ran && !Test.m_Transport.m_Sent.back().m_Ended));
    if (View->m_Refusal && Ran)
      RC_ASSERT(View->m_Refusal->execution() != Execution::NotRun);
    RC_ASSERT(Test.m_Transport.m_Sent.size() - Before <= 4);
  }));
}

TEST_CASE("served request: an unsafe request whose time is over may have run") {
  auto Test = ServingFixture();
  auto View = Test.serve("unsafe");
  Test.m_Scheduler.advance(Milliseconds(2100));
  CHECK_FALSE(View->m_Refusal);
  Test.m_Scheduler.advance(Milliseconds(100));
  REQUIRE(View->m_Refusal);
  CHECK(View->m_Refusal->execution() == Execution::MayHaveRun);
  CHECK(Test.m_Transport.m_Sent[0].m_Cancelled);
}

TEST_CASE("served request: a safe request is sent to another server after a "
          "failure, within the budget") {
  auto Test = ServingFixture();
  auto View = Test.serve("safe");
  Test.m_Transport.end(whole(500));
  REQUIRE(Test.m_Transport.m_Sent.size() == 2);
  CHECK(Test.m_Transport.m_Sent[0].m_Attempt.m_Backend !=
        Test.m_Transport.m_Sent[1].m_Attempt.m_Backend);
  Test.m_Transport.end(whole(200, "b"));
  CHECK(*View->m_Status == 200);
  // The budget of a host with two requests is spent: the failure is passed on.
  auto Second = Test.serve("safe");
  Test.m_Transport.end(whole(500));
  CHECK(Test.m_Transport.m_Sent.size() == 3);
  CHECK(*Second->m_Status == 500);
}

// Found in an incident of the users' bench: requests went back to the server
// that had just cut them off, and hung there.
TEST_CASE("served request: pattern of servers that cut their answers: the next "
          "attempt goes elsewhere, on whatever connection it was") {
  for (auto Round = 0; Round < 10; ++Round) {
    auto Test = ServingFixture();
    for (auto Index = 0; Index < 20; ++Index) {
      Test.serve("safe");
      Test.m_Transport.end(whole(200));
    }
    Test.serve("safe");
    auto Sent = Test.m_Transport.m_Sent.size();
    auto Result = ended(AttemptEnd::Broken);
    Result.m_Head.m_Status = 200;
    Result.m_ReusedConnection = true;
    Test.m_Transport.end(Result);
    REQUIRE(Test.m_Transport.m_Sent.size() == Sent + 1);
    CHECK(Test.m_Transport.m_Sent[Sent].m_Attempt.m_Backend !=
          Test.m_Transport.m_Sent[Sent - 1].m_Attempt.m_Backend);
  }
}

TEST_CASE("served request: a caller who leaves ends the work for it") {
  auto Test = ServingFixture();
  auto View = Test.serve("safe");
  View->m_Leave();
  CHECK(Test.m_Transport.m_Sent[0].m_Cancelled);
  Test.settle();
  CHECK(Test.m_Core.active() == 0);
}

TEST_CASE("served request: a long prompt is read apart and handed over; a "
          "prefill whose caller has left frees its cache") {
  auto Test = ServingFixture();
  auto View = Test.serve("stream", "k", longPrompt());
  REQUIRE(Test.m_Transport.m_Sent.size() == 1);
  CHECK(Test.m_Transport.m_Sent[0].m_Attempt.m_Purpose ==
        AttemptPurpose::Prefill);
  Test.m_Transport.end(
      {.m_End = AttemptEnd::Whole, .m_Cache = CacheHandle{"p1:1", "h1"}});
  REQUIRE(Test.m_Transport.m_Sent.size() == 2);
  auto &Serve = Test.m_Transport.m_Sent[1];
  CHECK(Serve.m_Attempt.m_Cache->m_Handle == "h1");
  Serve.m_Listener->onBegin({.m_Status = 200}, std::nullopt);
  Serve.m_Listener->onData("id: 1\ndata: a\n\n");
  Test.m_Transport.end(whole(200));
  CHECK(View->m_Finished);
  CHECK(View->m_Body == "id: 1\ndata: a\n\n");
  CHECK(Test.m_Transport.m_Released.empty());
}

TEST_CASE("served request: a prompt that was read is offered to a second "
          "engine when the first one is full, without a second read") {
  auto Test = ServingFixture();
  for (auto Index = 0; Index < 20; ++Index) {
    Test.serve("stream", "k", shortPrompt());
    Test.m_Transport.end(whole(200));
  }
  Test.serve("stream", "k", longPrompt());
  Test.m_Transport.end(
      {.m_End = AttemptEnd::Whole, .m_Cache = CacheHandle{"p1:1", "h1"}});
  auto First = Test.m_Transport.m_Sent.back().m_Attempt;
  Test.m_Transport.end(ended(AttemptEnd::NotExecuted));
  auto Second = Test.m_Transport.m_Sent.back().m_Attempt;
  CHECK(Second.m_Purpose == AttemptPurpose::Serve);
  CHECK(Second.m_Backend != First.m_Backend);
  REQUIRE(Second.m_Cache);
  CHECK(Second.m_Cache->m_Handle == "h1");
}

TEST_CASE("served request: a cut stream that may be resumed goes on after its "
          "last whole event at another engine, and no event comes twice") {
  auto Test = ServingFixture();
  for (auto Index = 0; Index < 20; ++Index) {
    Test.serve("stream", "k", shortPrompt());
    Test.m_Transport.end(whole(200));
  }
  auto View = Test.serve("resumable", "k", shortPrompt());
  auto &First = Test.m_Transport.m_Sent.back();
  auto FirstEngine = First.m_Attempt.m_Backend;
  First.m_Listener->onBegin({.m_Status = 200}, std::nullopt);
  First.m_Listener->onData("id: 1\ndata: a\n\nid: 2\nda");
  Test.m_Transport.end(ended(AttemptEnd::Broken));
  auto &Second = Test.m_Transport.m_Sent.back();
  CHECK(Second.m_Attempt.m_Backend != FirstEngine);
  CHECK(Second.m_Attempt.m_ResumeAfter == "1");
  Second.m_Listener->onBegin({.m_Status = 200}, std::nullopt);
  Second.m_Listener->onData("id: 2\ndata: b\n\n");
  Test.m_Transport.end(whole(200));
  CHECK(View->m_Body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
  CHECK(View->m_Finished);
}

TEST_CASE("served request: a cut stream that may not be resumed looks cut") {
  auto Test = ServingFixture();
  auto View = Test.serve("stream", "k", shortPrompt());
  auto &Sent = Test.m_Transport.m_Sent.back();
  Sent.m_Listener->onBegin({.m_Status = 200}, std::nullopt);
  Sent.m_Listener->onData("id: 1\ndata: a\n\n");
  Test.m_Transport.end(ended(AttemptEnd::Broken));
  CHECK(View->m_Aborted);
  CHECK_FALSE(View->m_Finished);
  CHECK(Test.m_Transport.m_Sent.size() == 1);
}

// Found on the users' bench: prefills that engines rejected were not counted.
TEST_CASE("served request: pattern of engines that reject everything: attempts "
          "beyond the first stay within the budget, rejected prefills "
          "included") {
  auto Test = ServingFixture();
  constexpr auto Requests = 200;
  for (auto Index = 0; Index < Requests; ++Index) {
    Test.serve("resumable", "k", Index % 2 == 0 ? longPrompt() : shortPrompt());
    while (!Test.m_Transport.m_Sent.back().m_Ended)
      Test.m_Transport.end(ended(AttemptEnd::NotExecuted));
    Test.settle();
  }
  constexpr auto Ratio = 0.2;
  CHECK(Test.m_Transport.m_Sent.size() <= Requests * (1 + Ratio));
  // What the budget allows is used.
  CHECK(Test.m_Transport.m_Sent.size() > Requests * 1.1);
}

TEST_CASE("serving core: keys") {
  auto Test = ServingFixture();
  CHECK(Test.serve("safe", "")->m_Refusal->code() == RefusalCode::KeyMissing);
  CHECK(Test.serve("safe", "x")->m_Refusal->code() == RefusalCode::KeyUnknown);
  CHECK(Test.serve("nowhere")->m_Refusal->code() == RefusalCode::UnknownRoute);
  // Without recent evidence nobody can tell whether a key still holds.
  Test.m_Scheduler.advance(Seconds(4));
  auto Stale = Test.serve("safe");
  CHECK(Stale->m_Refusal->code() == RefusalCode::ConfigurationStale);
  CHECK(Stale->m_Refusal->execution() == Execution::NotRun);
  CHECK(Stale->m_RetryAfter);
  CHECK(Test.m_Transport.m_Sent.empty());
}

TEST_CASE("serving core: a configuration never goes back") {
  auto Test = ServingFixture();
  auto Older = ServingConfiguration();
  Older.m_Revision = ConfigRevision{1};
  CHECK_FALSE(Test.m_Core.apply(Older));
  CHECK(Test.m_Core.configuration()->m_Routes.size() == 4);
}

TEST_CASE("served request: pattern of a server that goes dark: what may be "
          "repeated goes to another server, what may not waits") {
  auto Test = ServingFixture();
  for (auto Index = 0; Index < 20; ++Index) {
    Test.serve("safe");
    Test.m_Transport.end(whole(200));
  }
  Test.settle();
  auto Safe = Test.serve("safe");
  auto Dark = Test.m_Transport.m_Sent.back().m_Attempt.m_Backend;
  Test.m_Scheduler.advance(Milliseconds(1000));
  CHECK(Test.m_Transport.m_Sent.size() == 22);
  CHECK(Test.m_Transport.m_Sent[20].m_Cancelled);
  CHECK(Test.m_Transport.m_Sent.back().m_Attempt.m_Backend != Dark);
  Test.m_Transport.end(whole(200));
  CHECK(*Safe->m_Status == 200);
  Test.settle();
  Test.serve("unsafe");
  Test.m_Scheduler.advance(Milliseconds(1500));
  CHECK(Test.m_Transport.m_Sent.size() == 23);
  CHECK_FALSE(Test.m_Transport.m_Sent.back().m_Cancelled);
}
