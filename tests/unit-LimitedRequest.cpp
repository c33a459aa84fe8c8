#include "dotterel/peers/LimitReports.h"
#include "support/ScriptedStore.h"
#include "support/ServingFakes.h"

#include <doctest/doctest.h>
#include <limits>

using namespace dotterel;
using namespace dotterel::test;

namespace {

const auto Organisation = OrganisationId{"o"};

/// A serving core with a limit of 10 requests a second for organisation "o".
struct LimitedFixture : ServingFixture {
  LimitedFixture() {
    auto Configuration = *m_Core.configuration();
    Configuration.m_Revision = ConfigRevision{2};
    Configuration.m_OrganisationLimits.emplace(
        Organisation, OrganisationLimit{.m_PerSecond = LimitAmount{10},
                                        .m_Burst = LimitAmount{5}});
    m_Core.apply(std::move(Configuration));
    m_Core.organisationLimits().setHosts(HostId{"h"}, DataCentreId{"a"}, {});
    m_Scheduler.advance(Seconds(20));
    m_Core.recordConfirmation(m_Scheduler.now());
  }

  auto used() -> double {
    return m_Core.organisationLimits()
        .use(Organisation, m_Scheduler.now())
        .number();
  }
};

auto ended(AttemptOutcome Outcome, unsigned Status) -> AttemptResult {
  return {.m_Outcome = Outcome, .m_Head = {.m_Status = Status}};
}

} // namespace

TEST_CASE("limited request: it is charged once over all its attempts, and kept "
          "if a server may have run it") {
  auto Test = LimitedFixture();
  Test.serve("safe");
  CHECK(Test.used() == 1);
  Test.m_Transport.end(ended(AttemptOutcome::Failed, 0));
  CHECK(Test.m_Transport.m_Sent.size() == 2);
  Test.m_Transport.end(ended(AttemptOutcome::Complete, 200));
  CHECK(Test.used() == 1);
  auto Left = Test.serve("unsafe");
  Left->m_OnDisconnect();
  CHECK(Test.used() == 2);
}

TEST_CASE("limited request: it is not charged if no server has run it") {
  auto Test = LimitedFixture();
  auto View = Test.serve("unsafe");
  while (!View->m_Refusal && Test.m_Transport.m_Sent.size() < 20)
    Test.m_Transport.end(ended(AttemptOutcome::NotExecuted, 503));
  REQUIRE(View->m_Refusal);
  CHECK(View->m_Refusal->execution() == Execution::NotRun);
  CHECK(Test.used() == 0);
}

TEST_CASE("limited request: over the limit it is refused before it is sent, "
          "with a time to return") {
  auto Test = LimitedFixture();
  auto Refused = std::shared_ptr<CallerView>();
  for (auto Count = 0; Count < 20 && !Refused; ++Count) {
    auto View = Test.serve("safe");
    if (View->m_Refusal)
      Refused = View;
  }
  REQUIRE(Refused);
  auto Sent = Test.m_Transport.m_Sent.size();
  CHECK(Sent >= 5);
  CHECK(Sent <= 11);
  CHECK(Refused->m_Refusal->code() == RefusalCode::OverLimit);
  CHECK(Refused->m_Refusal->execution() == Execution::NotRun);
  REQUIRE(Refused->m_RetryAfter);
  CHECK(*Refused->m_RetryAfter >= Milliseconds(100));
  Test.m_Scheduler.advance(*Refused->m_RetryAfter + Milliseconds(200));
  CHECK(!Test.serve("safe")->m_Refusal);
}

TEST_CASE("limited request: before the hosts are known, organisations with a "
          "limit wait, and others are served") {
  auto Test = ServingFixture();
  auto Configuration = *Test.m_Core.configuration();
  Configuration.m_Revision = ConfigRevision{2};
  Configuration.m_OrganisationLimits.emplace(
      Organisation, OrganisationLimit{.m_PerSecond = LimitAmount{10}});
  Configuration.m_Keys.emplace(
      "other", KeyHolder{.m_Organisation = OrganisationId{"p"}});
  Test.m_Core.apply(std::move(Configuration));
  CHECK(Test.serve("safe")->m_Refusal->code() == RefusalCode::NotReady);
  CHECK(!Test.serve("safe", "other")->m_Refusal);
}

TEST_CASE("limited request: numbers of tokens that are too large to add are "
          "over the limit") {
  auto Test = LimitedFixture();
  auto Configuration = *Test.m_Core.configuration();
  Configuration.m_Revision = ConfigRevision{3};
  Configuration.m_OrganisationLimits[Organisation].m_Unit = LimitUnit::Tokens;
  Test.m_Core.apply(std::move(Configuration));
  constexpr auto Most = std::numeric_limits<std::uint64_t>::max();
  auto View = Test.serve("safe", "k",
                         PromptShape{.m_PromptTokens = TokenCount{Most},
                                     .m_OutputLimit = TokenCount{2}});
  REQUIRE(View->m_Refusal);
  CHECK(View->m_Refusal->code() == RefusalCode::OverLimit);
}

TEST_CASE("limited request: the hosts are known when the first limit is set") {
  auto Scheduler = VirtualScheduler();
  auto Store = ScriptedStore();
  auto Source = Random(1);
  auto Hosts = HostRegistry(Scheduler, Store, Store, Source,
                            {.m_Host = HostId{"h"},
                             .m_DataCentre = DataCentreId{"a"},
                             .m_Address = "h:1"},
                            {});
  auto Limits = OrganisationLimits(Source, 1, Scheduler.now(), {});
  Hosts.start();
  Store.respondToRead({});
  REQUIRE(Hosts.complete());
  Scheduler.advance(Seconds(20));
  CHECK(updateLimits(Hosts, Limits, Scheduler.now()).m_Limits == 0);
  Limits.setLimits({{Organisation, {.m_PerSecond = LimitAmount{10}}}});
  CHECK(Limits.take(Organisation, std::nullopt, Scheduler.now()).granted());
}
