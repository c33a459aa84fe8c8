#include "dotterel/fleet/CallBackoff.h"

#include <doctest/doctest.h>

using namespace dotterel;

TEST_CASE("call backoff: a burst of failed calls counts as one failure, and a "
          "success permits all calls again") {
  auto Choice = Random(1);
  auto Backoff = CallBackoff(Choice, {});
  auto Now = MonotonicTime(Seconds(100));
  auto First = Backoff.begin();
  auto Second = Backoff.begin();
  CHECK(Backoff.mayCall(Now));
  Backoff.end(First, false, Now);
  Backoff.end(Second, false, Now);
  CHECK(Backoff.failures() == 1);
  CHECK_FALSE(Backoff.mayCall(Now));
  Now += Seconds(1);
  REQUIRE(Backoff.mayCall(Now));
  auto Third = Backoff.begin();
  CHECK_FALSE(Backoff.mayCall(Now));
  Backoff.end(Third, true, Now);
  CHECK(Backoff.mayCall(Now));
}

TEST_CASE("call backoff: delays grow up to their limit and differ from each "
          "other") {
  auto Choice = Random(2);
  auto Backoff = CallBackoff(Choice, {});
  auto Now = MonotonicTime(Seconds(100));
  auto Delays = std::vector<Duration>();
  for (auto Call = 0; Call < 12; ++Call) {
    Backoff.end(Backoff.begin(), false, Now);
    auto FailedAt = Now;
    while (!Backoff.mayCall(Now))
      Now += Milliseconds(1);
    Delays.push_back(Now - FailedAt);
  }
  CHECK(Delays[0] >= Milliseconds(500));
  CHECK(Delays[0] <= Milliseconds(1000));
  for (auto Index = std::size_t{2}; Index < Delays.size(); ++Index) {
    CHECK(Delays[Index] >= Milliseconds(2000));
    CHECK(Delays[Index] <= Milliseconds(4001));
  }
  CHECK(Delays[4] != Delays[5]);
}
