#include "dotterel/poison/CrashRegistry.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;

namespace {

constexpr auto CrashingRequest = RequestDigest{1};
constexpr auto OtherRequest = RequestDigest{2};

auto at(int Second) -> MonotonicTime {
  return MonotonicTime(Seconds(1000 + Second));
}

auto server(int Number) -> BackendId {
  return BackendId{fmt::format("e{}", Number)};
}

} // namespace

// A request that crashes its server must not be retried on one server after
// another. Only an operator may clear it once it is quarantined.
TEST_CASE("CrashRegistry: a request is suspect after one loss and quarantined "
          "after a second one in which it ran alone") {
  auto Registry = CrashRegistry({});
  CHECK(Registry.verdict(CrashingRequest) == CrashVerdict::Clear);
  Registry.recordLoss(server(1), DataCentreId{"a"},
                      {{CrashingRequest}, {OtherRequest}}, at(0));
  CHECK(Registry.verdict(CrashingRequest) == CrashVerdict::Suspect);
  CHECK(Registry.verdict(OtherRequest) == CrashVerdict::Suspect);
  Registry.recordSuccess(OtherRequest);
  CHECK(Registry.verdict(OtherRequest) == CrashVerdict::Clear);
  Registry.recordLoss(server(2), DataCentreId{"a"}, {{CrashingRequest, true}},
                      at(60));
  CHECK(Registry.verdict(CrashingRequest) == CrashVerdict::Quarantined);
  Registry.recordSuccess(CrashingRequest);
  CHECK(Registry.verdict(CrashingRequest) == CrashVerdict::Quarantined);
  Registry.release(CrashingRequest);
  CHECK(Registry.verdict(CrashingRequest) == CrashVerdict::Clear);
}

// A prompt that many callers send runs on most servers, so it is lost with each
// server that crashes for another reason.
TEST_CASE("CrashRegistry: three losses while it ran with other requests do not "
          "quarantine a prompt that many callers send") {
  auto Registry = CrashRegistry({});
  for (auto Number = 0; Number < 3; ++Number)
    Registry.recordLoss(server(Number), DataCentreId{"a"}, {{OtherRequest}},
                        at(Number * 60));
  CHECK(Registry.verdict(OtherRequest) == CrashVerdict::Suspect);
}

// A reclaim takes all servers of a zone at once. The requests that ran there
// did not cause it.
TEST_CASE("CrashRegistry: the losses of a reclaimed zone, recorded one by one, "
          "quarantine no request") {
  auto Registry = CrashRegistry({});
  for (auto Number = 0; Number < 6; ++Number)
    Registry.recordLoss(server(Number), DataCentreId{"a"},
                        {{OtherRequest}, {CrashingRequest}}, at(0));
  CHECK(Registry.verdict(OtherRequest) == CrashVerdict::Clear);
  CHECK(Registry.verdict(CrashingRequest) == CrashVerdict::Clear);
  // Losses in other data centres still count.
  Registry.recordLoss(server(10), DataCentreId{"b"}, {{CrashingRequest}},
                      at(1));
  Registry.recordLoss(server(11), DataCentreId{"c"}, {{CrashingRequest, true}},
                      at(30));
  CHECK(Registry.verdict(CrashingRequest) == CrashVerdict::Quarantined);
}

// Processes exchange reports in any order. A report from before a release must
// not bring back the evidence that the release cleared.
TEST_CASE("CrashRegistry: merges commute, and a release overrides older "
          "evidence") {
  auto A = CrashRegistry({});
  auto B = CrashRegistry({});
  A.recordLoss(server(1), DataCentreId{"a"}, {{CrashingRequest}}, at(0));
  B.recordLoss(server(2), DataCentreId{"b"}, {{CrashingRequest, true}}, at(0));
  auto Old = A.reports();
  for (const auto &Report : B.reports())
    A.merge(Report);
  for (const auto &Report : Old)
    B.merge(Report);
  CHECK(A.verdict(CrashingRequest) == CrashVerdict::Quarantined);
  CHECK(B.verdict(CrashingRequest) == CrashVerdict::Quarantined);
  A.release(CrashingRequest);
  for (const auto &Report : A.reports())
    B.merge(Report);
  for (const auto &Report : Old)
    B.merge(Report);
  CHECK(B.verdict(CrashingRequest) == CrashVerdict::Clear);
}
