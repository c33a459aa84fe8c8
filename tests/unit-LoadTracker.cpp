#include "dotterel/serving/LoadTracker.h"

#include <doctest/doctest.h>

using namespace dotterel;

namespace {

const auto Engine = BackendId{"e"};
constexpr auto Start = MonotonicTime(Seconds(100));

} // namespace

TEST_CASE("load book: peers' words replace what servers state, and lapse") {
  auto Book = LoadBook({});
  Book.report(Engine, {.m_Running = 5, .m_Waiting = 1, .m_Slots = 8}, Start);
  CHECK(Book.others(Engine, Start) == doctest::Approx(6));
  CHECK_FALSE(Book.othersTokens(Engine, Start));
  Book.setPeer("h2",
               {{.m_Engine = Engine, .m_Requests = 2, .m_UnreadTokens = 700}},
               Start);
  CHECK(Book.others(Engine, Start) == doctest::Approx(2));
  CHECK(*Book.othersTokens(Engine, Start) == doctest::Approx(700));
  // A peer that says nothing of an engine has nothing there.
  Book.setPeer("h2", {}, Start + Milliseconds(100));
  CHECK(*Book.othersTokens(Engine, Start + Milliseconds(100)) == 0);
  CHECK_FALSE(Book.othersTokens(Engine, Start + Seconds(2)));
}

TEST_CASE("load book: pattern of an engine that changes its stage: it refuses "
          "at once, looks idle, and must not draw all work") {
  auto Book = LoadBook({});
  auto Now = Start;
  Book.refused(Engine, Now);
  CHECK(Book.avoided(Engine, Now + Milliseconds(150)));
  // Refusals of requests that were sent together count as one.
  Book.refused(Engine, Now + Milliseconds(1));
  CHECK_FALSE(Book.avoided(Engine, Now + Milliseconds(201)));
  // Each further refusal doubles the time, up to the longest.
  auto Attempts = 0;
  for (auto Elapsed = Duration::zero(); Elapsed < Seconds(3);
       Elapsed += Milliseconds(10)) {
    if (Book.avoided(Engine, Start + Elapsed))
      continue;
    ++Attempts;
    Book.refused(Engine, Start + Elapsed);
  }
  CHECK(Attempts <= 5);
  Book.accepted(Engine);
  CHECK_FALSE(Book.avoided(Engine, Start + Seconds(3)));
}

TEST_CASE("load book: own work is counted until it ends") {
  auto Book = LoadBook({});
  Book.begin(Engine, 1000, Start);
  Book.begin(Engine, 500, Start);
  CHECK(Book.own(Engine) == 2);
  Book.prefillDone(Engine, 1000);
  CHECK(Book.ownTokens(Engine) == doctest::Approx(500));
  Book.end(Engine);
  auto Summary = Book.summary();
  REQUIRE(Summary.size() == 1);
  CHECK(Summary[0].m_Requests == 1);
  Book.end(Engine);
  CHECK(Book.summary().empty());
}

TEST_CASE(
    "load book: pattern of a server that goes dark: with work of ours and "
    "nothing heard it is left out, unless a long prompt explains it") {
  auto Book = LoadBook({});
  Book.begin(Engine, 0, Start);
  CHECK_FALSE(Book.silent(Engine, Start + Milliseconds(500)));
  CHECK(Book.silent(Engine, Start + Milliseconds(700)));
  Book.heard(Engine, Start + Milliseconds(700));
  CHECK_FALSE(Book.silent(Engine, Start + Milliseconds(1200)));
  Book.begin(Engine, 24'000, Start + Milliseconds(700));
  CHECK_FALSE(Book.silent(Engine, Start + Milliseconds(3000)));
  CHECK(Book.silent(Engine, Start + Milliseconds(3400)));
  Book.end(Engine);
  Book.end(Engine);
  // An idle server has nothing to say.
  CHECK_FALSE(Book.silent(Engine, Start + Seconds(60)));
}
