#include "dotterel/admission/ShutdownAdmission.h"

#include <doctest/doctest.h>

using namespace dotterel;

namespace {

constexpr auto Start = MonotonicTime(Seconds(100));
constexpr auto Periods =
    ShutdownPeriods{.m_BalancerLag = Seconds(2), .m_Limit = Seconds(7)};

} // namespace

TEST_CASE("shutdown admission: a process that serves accepts every request") {
  auto Admission = ShutdownAdmission();
  CHECK_FALSE(Admission.begun());
  CHECK(Admission.elapsed(Start) == Duration::zero());
  CHECK(Admission.mayGetConnections(Start));
  CHECK(Admission.accepts(Start, Seconds(3600)));
}

TEST_CASE("shutdown admission: every request is accepted until the load "
          "balancer has reacted") {
  auto Admission = ShutdownAdmission();
  Admission.begin(Start, Periods);
  auto LastMoment = Start + Periods.m_BalancerLag - Milliseconds(1);
  CHECK(Admission.begun());
  CHECK(Admission.mayGetConnections(LastMoment));
  CHECK(Admission.accepts(LastMoment, Seconds(3600)));
}

// Guards against requests that arrive between the last response and the exit.
TEST_CASE("shutdown admission: nothing is accepted once the process exits") {
  auto Admission = ShutdownAdmission();
  Admission.begin(Start, Periods);
  Admission.close();
  CHECK_FALSE(Admission.accepts(Start, Milliseconds(1)));
}

// Guards against requests that the exit of the process cuts: they arrived on
// connections that had been busy when the load balancer reacted.
TEST_CASE("shutdown admission: after the load balancer has reacted, a request "
          "is accepted only if its limit ends before the process does") {
  auto Admission = ShutdownAdmission();
  Admission.begin(Start, Periods);
  for (auto Elapsed = Periods.m_BalancerLag; Elapsed <= Periods.m_Limit;
       Elapsed += Milliseconds(250)) {
    auto Now = Start + Elapsed;
    auto Left = Periods.m_Limit - Elapsed;
    CHECK_FALSE(Admission.mayGetConnections(Now));
    CHECK(Admission.timeLeft(Now) == Left);
    CHECK(Admission.accepts(Now, Left));
    CHECK_FALSE(Admission.accepts(Now, Left + Milliseconds(1)));
  }
  auto Late = Start + Periods.m_Limit + Seconds(1);
  CHECK(Admission.timeLeft(Late) == Duration::zero());
  CHECK_FALSE(Admission.accepts(Late, Milliseconds(1)));
}
