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
  auto Old = A.reports(at(0));
  for (const auto &Report : B.reports(at(0)))
    A.merge(Report, at(0));
  for (const auto &Report : Old)
    B.merge(Report, at(0));
  CHECK(A.verdict(CrashingRequest) == CrashVerdict::Quarantined);
  CHECK(B.verdict(CrashingRequest) == CrashVerdict::Quarantined);
  A.release(CrashingRequest);
  for (const auto &Report : A.reports(at(0)))
    B.merge(Report, at(0));
  for (const auto &Report : Old)
    B.merge(Report, at(0));
  CHECK(B.verdict(CrashingRequest) == CrashVerdict::Clear);
}

// Guards against blaming requests for the loss of several servers at once:
// those that ran there were sent before the first loss and caused none of the
// others.
TEST_CASE("CrashRegistry: concurrent losses count once, and a loss counts only "
          "if the request was sent after the previous one") {
  auto Registry = CrashRegistry(
      {.m_QuarantineLossesShared = 3, .m_MinReclaimedServers = 0});
  for (auto Number = 0; Number < 6; ++Number)
    Registry.recordLoss(server(Number), DataCentreId{"a"},
                        {{.m_Digest = OtherRequest, .m_SentAt = at(0)},
                         {.m_Digest = CrashingRequest, .m_SentAt = at(0)}},
                        at(1 + Number));
  CHECK(Registry.verdict(OtherRequest) == CrashVerdict::Suspect);
  Registry.recordLoss(server(6), DataCentreId{"a"},
                      {{.m_Digest = CrashingRequest, .m_SentAt = at(7)}},
                      at(8));
  CHECK(Registry.verdict(CrashingRequest) == CrashVerdict::Suspect);
  Registry.recordLoss(server(7), DataCentreId{"b"},
                      {{.m_Digest = CrashingRequest, .m_SentAt = at(9)}},
                      at(10));
  CHECK(Registry.verdict(CrashingRequest) == CrashVerdict::Quarantined);
  CHECK(Registry.verdict(OtherRequest) == CrashVerdict::Suspect);
}

// Guards against blaming a request that was sent to a server which had already
// been lost, for example on a connection that was still open.
TEST_CASE("CrashRegistry: a request that was sent after its server was lost is "
          "not suspect") {
  auto Registry = CrashRegistry({});
  Registry.recordLoss(server(1), DataCentreId{"a"},
                      {{.m_Digest = OtherRequest, .m_SentAt = at(2)}}, at(1));
  CHECK(Registry.verdict(OtherRequest) == CrashVerdict::Clear);
}

// Guards against a part that many prompts share being quarantined because
// requests with it run beside the ones that crash servers.
TEST_CASE("CrashRegistry: a success releases a suspect part, and a quarantined "
          "one if the options say so") {
  for (auto Releases : {false, true}) {
    auto Registry = CrashRegistry({.m_QuarantineLossesShared = 2,
                                   .m_MinReclaimedServers = 0,
                                   .m_SuccessReleasesQuarantine = Releases});
    auto Lose = [&Registry](int Number) {
      Registry.recordLoss(server(Number), DataCentreId{"a"},
                          {{.m_Digest = OtherRequest, .m_SentAt = at(Number)}},
                          at(Number));
    };
    Lose(1);
    CHECK(Registry.recordSuccess(OtherRequest));
    CHECK(Registry.verdict(OtherRequest) == CrashVerdict::Clear);
    Lose(2);
    Lose(3);
    CHECK(Registry.verdict(OtherRequest) == CrashVerdict::Quarantined);
    CHECK(Registry.recordSuccess(OtherRequest) == Releases);
    CHECK((Registry.verdict(OtherRequest) == CrashVerdict::Clear) == Releases);
  }
}

// Guards against evidence that lives forever because processes keep exchanging
// it: its age travels with it.
TEST_CASE("CrashRegistry: evidence expires at the same time in all processes") {
  auto Options = CrashRegistryOptions{.m_QuarantineLossesShared = 1,
                                      .m_MinReclaimedServers = 0,
                                      .m_EvidenceLifetime = Seconds(60)};
  auto A = CrashRegistry(Options);
  auto B = CrashRegistry(Options);
  A.recordLoss(server(1), DataCentreId{"a"}, {{CrashingRequest}}, at(0));
  for (const auto &Report : A.reports(at(50)))
    B.merge(Report, at(50));
  CHECK(B.verdict(CrashingRequest) == CrashVerdict::Quarantined);
  A.expire(at(61));
  CHECK(A.verdict(CrashingRequest) == CrashVerdict::Clear);
  for (const auto &Report : B.reports(at(62)))
    A.merge(Report, at(62));
  CHECK(A.verdict(CrashingRequest) == CrashVerdict::Clear);
}

// Guards against a table that is full of digests without evidence, in which
// each further loss evicts others.
TEST_CASE("CrashRegistry: a digest whose evidence has expired is dropped, "
          "unless it was released") {
  auto Registry = CrashRegistry({.m_EvidenceLifetime = Seconds(60)});
  Registry.recordLoss(server(1), DataCentreId{"a"},
                      {{CrashingRequest}, {OtherRequest}}, at(0));
  Registry.recordSuccess(OtherRequest);
  Registry.expire(at(61));
  auto Reports = Registry.reports(at(61));
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].m_Digest == OtherRequest);
}

// Guards against unbounded memory when many requests are lost with servers.
TEST_CASE("CrashRegistry: the number of digests is bounded, and quarantined "
          "ones are dropped last") {
  auto Registry = CrashRegistry({.m_QuarantineLossesShared = 2,
                                 .m_MinReclaimedServers = 0,
                                 .m_MaxDigests = 3});
  Registry.recordLoss(server(1), DataCentreId{"a"}, {{CrashingRequest}}, at(1));
  Registry.recordLoss(server(2), DataCentreId{"a"}, {{CrashingRequest}}, at(2));
  for (auto Number = 10; Number < 20; ++Number)
    Registry.recordLoss(server(Number), DataCentreId{"a"},
                        {{RequestDigest{static_cast<std::uint64_t>(Number)}}},
                        at(Number));
  CHECK(Registry.reports(at(20)).size() == 3);
  CHECK(Registry.verdict(CrashingRequest) == CrashVerdict::Quarantined);
  CHECK(Registry.verdict(RequestDigest{19}) == CrashVerdict::Suspect);
}

// Hosts forward what is new to them. Without an end, they would forward the
// same evidence forever, since its age differs a little in each message.
TEST_CASE("CrashRegistry: a merge reports a change only for new evidence, a "
          "release or another verdict") {
  auto A = CrashRegistry({.m_QuarantineLossesShared = 2,
                          .m_MinReclaimedServers = 0,
                          .m_EvidenceLifetime = Seconds(60)});
  auto Report = CrashReport{
      .m_Digest = CrashingRequest,
      .m_Losses = {
          {server(1), {.m_SinceSent = Seconds(2), .m_SinceLost = Seconds(1)}}}};
  auto Old = Report;
  CHECK(A.merge(Report, at(0)));
  CHECK_FALSE(A.merge(Report, at(0)));
  CHECK_FALSE(A.merge(Report, at(1)));
  Report.m_Losses[server(1)] = {.m_SinceSent = Seconds(4),
                                .m_SinceLost = Seconds(3)};
  CHECK_FALSE(A.merge(Report, at(1)));
  Report.m_Losses[server(2)] = {.m_SinceSent = Seconds(1)};
  CHECK(A.merge(Report, at(1)));
  CHECK(A.verdict(CrashingRequest) == CrashVerdict::Quarantined);
  CHECK(A.merge({.m_Digest = CrashingRequest, .m_Releases = 1}, at(2)));
  CHECK_FALSE(A.merge({.m_Digest = CrashingRequest, .m_Releases = 1}, at(2)));
  CHECK_FALSE(A.merge(Report, at(2)));
  CHECK(A.verdict(CrashingRequest) == CrashVerdict::Clear);
  // Evidence that expired on its way.
  Old.m_Releases = 1;
  Old.m_LostAlone = true;
  Old.m_Losses[server(1)] = {.m_SinceSent = Seconds(62),
                             .m_SinceLost = Seconds(61)};
  CHECK_FALSE(A.merge(Old, at(3)));
}
