#include "dotterel/poison/CrashRegistry.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;

namespace {

constexpr auto Poison = RequestDigest{1};
constexpr auto Bystander = RequestDigest{2};

auto at(int Second) -> MonotonicTime {
  return MonotonicTime(Seconds(1000 + Second));
}

auto server(int Number) -> BackendId {
  return BackendId{fmt::format("e{}", Number)};
}

} // namespace

TEST_CASE("poison: suspect after one loss, quarantined after a second one "
          "alone") {
  auto Registry = CrashRegistry({});
  CHECK(Registry.verdict(Poison) == CrashVerdict::Clear);
  Registry.recordLoss(server(1), DataCentreId{"a"}, {{Poison}, {Bystander}},
                      at(0));
  CHECK(Registry.verdict(Poison) == CrashVerdict::Suspect);
  CHECK(Registry.verdict(Bystander) == CrashVerdict::Suspect);
  Registry.recordSuccess(Bystander);
  CHECK(Registry.verdict(Bystander) == CrashVerdict::Clear);
  Registry.recordLoss(server(2), DataCentreId{"a"}, {{Poison, true}}, at(60));
  CHECK(Registry.verdict(Poison) == CrashVerdict::Quarantined);
  Registry.recordSuccess(Poison);
  CHECK(Registry.verdict(Poison) == CrashVerdict::Quarantined);
  Registry.release(Poison);
  CHECK(Registry.verdict(Poison) == CrashVerdict::Clear);
}

TEST_CASE("poison: a prompt that many callers share is not quarantined by two "
          "losses that it shared") {
  auto Registry = CrashRegistry({});
  for (auto Number = 0; Number < 3; ++Number)
    Registry.recordLoss(server(Number), DataCentreId{"a"}, {{Bystander}},
                        at(Number * 60));
  CHECK(Registry.verdict(Bystander) == CrashVerdict::Suspect);
}

TEST_CASE("poison: the reclaim of a whole zone quarantines nobody, in any "
          "order of its losses") {
  auto Registry = CrashRegistry({});
  for (auto Number = 0; Number < 6; ++Number)
    Registry.recordLoss(server(Number), DataCentreId{"a"},
                        {{Bystander}, {Poison}}, at(0));
  CHECK(Registry.verdict(Bystander) == CrashVerdict::Clear);
  CHECK(Registry.verdict(Poison) == CrashVerdict::Clear);
  // Losses elsewhere keep their weight.
  Registry.recordLoss(server(10), DataCentreId{"b"}, {{Poison}}, at(1));
  Registry.recordLoss(server(11), DataCentreId{"c"}, {{Poison, true}}, at(30));
  CHECK(Registry.verdict(Poison) == CrashVerdict::Quarantined);
}

TEST_CASE("poison: merges commute, and a release outlives older evidence") {
  auto A = CrashRegistry({});
  auto B = CrashRegistry({});
  A.recordLoss(server(1), DataCentreId{"a"}, {{Poison}}, at(0));
  B.recordLoss(server(2), DataCentreId{"b"}, {{Poison, true}}, at(0));
  auto Old = A.reports();
  for (const auto &Report : B.reports())
    A.merge(Report);
  for (const auto &Report : Old)
    B.merge(Report);
  CHECK(A.verdict(Poison) == CrashVerdict::Quarantined);
  CHECK(B.verdict(Poison) == CrashVerdict::Quarantined);
  A.release(Poison);
  for (const auto &Report : A.reports())
    B.merge(Report);
  for (const auto &Report : Old)
    B.merge(Report);
  CHECK(B.verdict(Poison) == CrashVerdict::Clear);
}
