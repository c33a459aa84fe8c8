#include "support/FaultyStore.h"

#include "dotterel/base/Random.h"
#include "dotterel/ledger/ClaimShard.h"

#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>
#include <set>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// A process that may be killed and paused, with its own connection to the
/// store.
struct Writer {
  Writer(VirtualScheduler &Scheduler, InMemoryStore &Model)
      : m_Store(Scheduler, Model),
        m_Shard(std::make_unique<ClaimShard>(Scheduler, m_Store, "000",
                                             ClaimShardOptions{})) {}

  FaultyStore m_Store;
  std::unique_ptr<ClaimShard> m_Shard;
};

struct Cluster {
  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  std::vector<std::unique_ptr<Writer>> m_Writers;
  std::set<std::string> m_Granted; ///< Attempts that may run.

  auto writer() -> Writer & {
    m_Writers.push_back(std::make_unique<Writer>(m_Scheduler, m_Model));
    return *m_Writers.back();
  }

  auto claimOf(const std::string &Identity, const std::string &Attempt) const
      -> Claim {
    return {.m_Identity = RequestIdentity{Identity},
            .m_Attempt = AttemptId{Attempt},
            .m_IssuedAt = m_Scheduler.wallNow()};
  }

  /// Submits a claim and records its verdict.
  auto submit(Writer &Target, const Claim &Request,
              std::vector<ClaimVerdict> &Verdicts) -> void {
    Target.m_Shard->claim(Request, [this, Request, &Verdicts](auto Reply) {
      Verdicts.push_back(Reply.m_Verdict);
      if (Reply.m_Verdict == ClaimVerdict::Granted)
        m_Granted.insert(Request.m_Attempt.text());
    });
  }
};

constexpr auto Faults =
    std::array{StoreFault::None, StoreFault::Refuse, StoreFault::LoseRequest,
               StoreFault::LoseResponse, StoreFault::LateEffect};

} // namespace

TEST_CASE("claims: at most one of two gates is granted a claim, with a fault "
          "at each step of one or both") {
  for (auto First : Faults)
    for (auto Second : Faults)
      for (auto FirstStep = 1U; FirstStep <= 3; ++FirstStep)
        for (auto SecondStep = 1U; SecondStep <= 3; ++SecondStep) {
          auto Test = Cluster();
          auto &A = Test.writer();
          auto &B = Test.writer();
          A.m_Store.faultAt(FirstStep, First);
          B.m_Store.faultAt(SecondStep, Second);
          auto Verdicts = std::vector<ClaimVerdict>();
          Test.submit(A, Test.claimOf("x", "a"), Verdicts);
          Test.submit(B, Test.claimOf("x", "b"), Verdicts);
          Test.m_Scheduler.advance(Seconds(20));
          CAPTURE(static_cast<int>(First));
          CAPTURE(static_cast<int>(Second));
          CAPTURE(FirstStep);
          CAPTURE(SecondStep);
          CHECK(Verdicts.size() == 2);
          CHECK(Test.m_Granted.size() <= 1);
        }
}

TEST_CASE("claims: a claim is not granted again after its writer was killed "
          "at any step") {
  for (auto Step = 0; Step <= 6; ++Step) {
    auto Test = Cluster();
    auto &A = Test.writer();
    auto Verdicts = std::vector<ClaimVerdict>();
    Test.submit(A, Test.claimOf("x", "a"), Verdicts);
    Test.m_Scheduler.advance(Milliseconds(Step));
    A.m_Shard.reset();
    auto &B = Test.writer();
    Test.submit(B, Test.claimOf("x", "b"), Verdicts);
    Test.m_Scheduler.advance(Seconds(10));
    CAPTURE(Step);
    CHECK(Test.m_Granted.size() <= 1);
    // B is either granted the claim or learns that another attempt may have
    // run.
    REQUIRE_FALSE(Verdicts.empty());
    auto Expected = Test.m_Granted.contains("b") ? ClaimVerdict::Granted
                                                 : ClaimVerdict::InDoubt;
    CHECK(Verdicts.back() == Expected);
  }
}

TEST_CASE("claims: a writer with an outdated state is not granted another's "
          "claim") {
  auto Test = Cluster();
  auto &A = Test.writer();
  auto &B = Test.writer();
  auto Verdicts = std::vector<ClaimVerdict>();
  Test.submit(A, Test.claimOf("warm-up", "w"), Verdicts);
  Test.m_Scheduler.advance(Seconds(1));
  Test.submit(B, Test.claimOf("x", "b"), Verdicts);
  Test.m_Scheduler.advance(Seconds(60));
  // A's state is one minute old.
  Test.submit(A, Test.claimOf("x", "a"), Verdicts);
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Verdicts == std::vector{ClaimVerdict::Granted, ClaimVerdict::Granted,
                                ClaimVerdict::InDoubt});
}

TEST_CASE("claims: a store outage results in Unavailable and no grant") {
  for (auto Outage : {StoreFault::Refuse, StoreFault::LoseRequest}) {
    auto Test = Cluster();
    auto &A = Test.writer();
    A.m_Store.setOutage(Outage);
    auto Verdicts = std::vector<ClaimVerdict>();
    Test.submit(A, Test.claimOf("x", "a"), Verdicts);
    Test.m_Scheduler.advance(Seconds(10));
    CHECK(Verdicts == std::vector{ClaimVerdict::Unavailable});
    CHECK(Test.m_Granted.empty());
  }
}

TEST_CASE("claims: a later claim gets the recorded response after the writer "
          "was replaced") {
  auto Test = Cluster();
  auto &A = Test.writer();
  auto Verdicts = std::vector<ClaimVerdict>();
  Test.submit(A, Test.claimOf("x", "a"), Verdicts);
  Test.m_Scheduler.advance(Seconds(1));
  auto Durable = false;
  auto Outcome = ClaimOutcome{.m_Identity = RequestIdentity{"x"},
                              .m_Attempt = AttemptId{"a"}};
  Outcome.m_Response = {.m_Status = 201,
                        .m_Body = std::string("filed\0\xff", 7)};
  A.m_Shard->record(Outcome, [&](bool Result) { Durable = Result; });
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Durable);
  A.m_Shard.reset();
  auto &B = Test.writer();
  auto Reply = ClaimReply();
  B.m_Shard->claim(Test.claimOf("x", "b"), [&](auto Got) { Reply = Got; });
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Reply.m_Verdict == ClaimVerdict::Finished);
  CHECK(Reply.m_Response.m_Status == 201);
  CHECK(Reply.m_Response.m_Body == Outcome.m_Response.m_Body);
}

TEST_CASE("claims: a released identity may run again, but only with a new "
          "attempt") {
  auto Test = Cluster();
  auto &A = Test.writer();
  auto Verdicts = std::vector<ClaimVerdict>();
  Test.submit(A, Test.claimOf("x", "a"), Verdicts);
  Test.m_Scheduler.advance(Seconds(1));
  A.m_Shard->record({.m_Identity = RequestIdentity{"x"},
                     .m_Attempt = AttemptId{"a"},
                     .m_Released = true},
                    [](bool) {});
  Test.m_Scheduler.advance(Seconds(1));
  Test.submit(A, Test.claimOf("x", "a"), Verdicts);
  Test.submit(A, Test.claimOf("x", "b"), Verdicts);
  Test.submit(A, Test.claimOf("x", "c"), Verdicts);
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Verdicts == std::vector{ClaimVerdict::Granted,
                                ClaimVerdict::Unavailable,
                                ClaimVerdict::Granted, ClaimVerdict::InDoubt});
}

TEST_CASE("claims: a claim that arrives after its release is not granted") {
  auto Test = Cluster();
  auto &A = Test.writer();
  auto Verdicts = std::vector<ClaimVerdict>();
  A.m_Shard->record({.m_Identity = RequestIdentity{"x"},
                     .m_Attempt = AttemptId{"a"},
                     .m_Released = true},
                    [](bool) {});
  Test.m_Scheduler.advance(Seconds(1));
  Test.submit(A, Test.claimOf("x", "a"), Verdicts);
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Verdicts == std::vector{ClaimVerdict::Unavailable});
}

TEST_CASE("claims: the same key with a different body is a mismatch") {
  auto Test = Cluster();
  auto &A = Test.writer();
  auto Verdicts = std::vector<ClaimVerdict>();
  Test.submit(A, Test.claimOf("x", "a"), Verdicts);
  auto Other = Test.claimOf("x", "b");
  Other.m_Content = ContentDigest{1};
  Test.submit(A, Other, Verdicts);
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Verdicts == std::vector{ClaimVerdict::Granted, ClaimVerdict::Mismatch});
}

TEST_CASE("claims: a clock that jumps ahead cannot cause a discarded claim to "
          "be granted again") {
  auto Test = Cluster();
  auto &A = Test.writer();
  auto Verdicts = std::vector<ClaimVerdict>();
  auto Original = Test.claimOf("x", "a");
  Test.submit(A, Original, Verdicts);
  Test.m_Scheduler.advance(Seconds(1));
  // Enough claims to seal segments, which expire when the clock jumps ahead.
  for (auto Number = 0; Number < 1000; ++Number)
    Test.submit(A, Test.claimOf("n" + std::to_string(Number), "n"), Verdicts);
  Test.m_Scheduler.advance(Seconds(5));
  Test.m_Scheduler.stepWall(Seconds(3 * 24 * 3600));
  Test.submit(A, Test.claimOf("later", "l"), Verdicts);
  Test.m_Scheduler.advance(Seconds(1));
  Test.m_Scheduler.stepWall(Seconds(-3 * 24 * 3600));
  auto &B = Test.writer();
  auto Again = Original;
  Again.m_Attempt = AttemptId{"b"};
  Verdicts.clear();
  Test.submit(B, Again, Verdicts);
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Verdicts.size() == 1);
  CHECK_FALSE(Test.m_Granted.contains("b"));
}

TEST_CASE("claims: claims are appended in batches with few store writes") {
  auto Test = Cluster();
  auto &A = Test.writer();
  auto Verdicts = std::vector<ClaimVerdict>();
  constexpr auto Claims = 1000;
  // One claim per millisecond, as from many gates.
  for (auto Number = 0; Number < Claims; ++Number) {
    Test.submit(A, Test.claimOf(std::to_string(Number), "a"), Verdicts);
    Test.m_Scheduler.advance(Milliseconds(1));
  }
  Test.m_Scheduler.advance(Seconds(5));
  CHECK(Verdicts.size() == Claims);
  MESSAGE("store writes per 1000 claims: ", Test.m_Model.writes());
  // One append per 40 ms during the second of the claims, and one more.
  CHECK(Test.m_Model.writes() <= 1000 / 40 + 2);
}

TEST_CASE("claims: an identity runs at most once for each release, under any "
          "order of claims, releases, faults and kills") {
  auto Passed = rc::check([] {
    auto Test = Cluster();
    auto Seed = *rc::gen::arbitrary<std::uint32_t>();
    auto Source = Random(Seed);
    auto Executions = std::map<std::string, int>();
    auto Released = std::map<std::string, int>();
    Test.writer();
    Test.writer();
    constexpr auto Steps = 40;
    for (auto Step = 0; Step < Steps; ++Step) {
      auto &Target = *Test.m_Writers[Source.below(Test.m_Writers.size())];
      if (!Target.m_Shard)
        continue;
      auto Identity = "i" + std::to_string(Source.below(3));
      auto Attempt = "a" + std::to_string(Step);
      auto Kind = Source.below(10);
      if (Kind == 0) {
        Target.m_Shard.reset();
        Test.writer();
      } else if (Kind <= 3) {
        Target.m_Store.faultAt(Target.m_Store.calls() + 1 + Source.below(3),
                               Faults[Source.below(Faults.size())]);
      } else {
        auto Release = Source.below(3) == 0;
        auto *Owner = &Target;
        Target.m_Shard->claim(
            Test.claimOf(Identity, Attempt),
            [&, Owner, Identity, Attempt, Release](auto Reply) {
              if (Reply.m_Verdict != ClaimVerdict::Granted)
                return;
              // A released attempt ran nothing.
              if (!Release) {
                ++Executions[Identity];
                return;
              }
              if (Owner->m_Shard)
                Owner->m_Shard->record({.m_Identity = RequestIdentity{Identity},
                                        .m_Attempt = AttemptId{Attempt},
                                        .m_Released = true},
                                       [](bool) {});
            });
      }
      Test.m_Scheduler.advance(Milliseconds(Source.below(800)));
    }
    Test.m_Scheduler.advance(Seconds(90));
    for (const auto &[Identity, Count] : Executions)
      RC_ASSERT(Count <= 1);
  });
  CHECK(Passed);
}
