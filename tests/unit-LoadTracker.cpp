#include "dotterel/serving/LoadTracker.h"

#include <doctest/doctest.h>

using namespace dotterel;

namespace {

const auto Engine = BackendId{"e"};
constexpr auto Start = MonotonicTime(Seconds(100));

} // namespace

TEST_CASE(
    "load tracker: reports of peers replace reports of servers, and expire") {
  auto Tracker = LoadTracker({});
  Tracker.recordReport(Engine, {.m_Running = 5, .m_Waiting = 1, .m_Slots = 8},
                       Start);
  CHECK(Tracker.otherRequests(Engine, Start) == doctest::Approx(6));
  CHECK_FALSE(Tracker.otherPrefillTokens(Engine, Start));
  Tracker.setPeerLoads(
      "h2",
      {{.m_Engine = Engine, .m_Requests = 2, .m_PendingPrefillTokens = 700}},
      Start);
  CHECK(Tracker.otherRequests(Engine, Start) == doctest::Approx(2));
  CHECK(*Tracker.otherPrefillTokens(Engine, Start) == doctest::Approx(700));
  // A peer that does not report an engine has no requests there.
  Tracker.setPeerLoads("h2", {}, Start + Milliseconds(100));
  CHECK(*Tracker.otherPrefillTokens(Engine, Start + Milliseconds(100)) == 0);
  CHECK_FALSE(Tracker.otherPrefillTokens(Engine, Start + Seconds(2)));
}

TEST_CASE("load tracker: an engine that refuses requests while it changes its "
          "stage is excluded, although it looks idle") {
  auto Tracker = LoadTracker({});
  auto Now = Start;
  Tracker.recordRefusal(Engine, Now);
  CHECK(Tracker.inBackoff(Engine, Now + Milliseconds(150)));
  // Refusals of requests that were sent at the same time count as one.
  Tracker.recordRefusal(Engine, Now + Milliseconds(1));
  CHECK_FALSE(Tracker.inBackoff(Engine, Now + Milliseconds(201)));
  // Each further refusal doubles the backoff, up to its maximum.
  auto Attempts = 0;
  for (auto Elapsed = Duration::zero(); Elapsed < Seconds(3);
       Elapsed += Milliseconds(10)) {
    if (Tracker.inBackoff(Engine, Start + Elapsed))
      continue;
    ++Attempts;
    Tracker.recordRefusal(Engine, Start + Elapsed);
  }
  CHECK(Attempts <= 5);
  Tracker.recordAcceptance(Engine);
  CHECK_FALSE(Tracker.inBackoff(Engine, Start + Seconds(3)));
}

TEST_CASE("load tracker: own attempts are counted until they end") {
  auto Tracker = LoadTracker({});
  Tracker.beginAttempt(Engine, 1000, Start);
  Tracker.beginAttempt(Engine, 500, Start);
  CHECK(Tracker.ownRequests(Engine) == 2);
  Tracker.prefillDone(Engine, 1000);
  CHECK(Tracker.ownPrefillTokens(Engine) == doctest::Approx(500));
  Tracker.endAttempt(Engine);
  auto Summary = Tracker.summary();
  REQUIRE(Summary.size() == 1);
  CHECK(Summary[0].m_Requests == 1);
  Tracker.endAttempt(Engine);
  CHECK(Tracker.summary().empty());
}

TEST_CASE("load tracker: a server with own attempts that sends nothing is "
          "unresponsive, unless a long prompt explains it") {
  auto Tracker = LoadTracker({});
  Tracker.beginAttempt(Engine, 0, Start);
  CHECK_FALSE(Tracker.unresponsive(Engine, Start + Milliseconds(500)));
  CHECK(Tracker.unresponsive(Engine, Start + Milliseconds(700)));
  // A slow server gets more time, a quick one no less.
  CHECK_FALSE(Tracker.unresponsive(Engine, Start + Milliseconds(700), 2.5));
  CHECK(Tracker.unresponsive(Engine, Start + Milliseconds(1600), 2.5));
  CHECK_FALSE(Tracker.unresponsive(Engine, Start + Milliseconds(500), 0.5));
  Tracker.recordActivity(Engine, Start + Milliseconds(700));
  CHECK_FALSE(Tracker.unresponsive(Engine, Start + Milliseconds(1200)));
  Tracker.beginAttempt(Engine, 24'000, Start + Milliseconds(700));
  CHECK_FALSE(Tracker.unresponsive(Engine, Start + Milliseconds(3000)));
  CHECK(Tracker.unresponsive(Engine, Start + Milliseconds(3400)));
  Tracker.endAttempt(Engine);
  Tracker.endAttempt(Engine);
  // A server without own attempts is not unresponsive.
  CHECK_FALSE(Tracker.unresponsive(Engine, Start + Seconds(60)));
}
