#include "dotterel/admission/OrganisationLimits.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <queue>
#include <rapidcheck.h>
#include <set>

using namespace dotterel;

namespace {

constexpr auto Window = Seconds(8);
constexpr auto Rate = 100'000.0;
constexpr auto Burst = 100'000.0;
const auto Organisation = OrganisationId{"o"};

auto seconds(Duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

auto tokenLimit(double PerSecond = Rate, double BurstAmount = Burst)
    -> OrganisationLimit {
  return {.m_Unit = LimitUnit::Tokens,
          .m_PerSecond = LimitAmount{PerSecond},
          .m_Burst = LimitAmount{BurstAmount},
          .m_UnstatedTokens = LimitAmount{200}};
}

auto bounds() -> OrganisationLimitOptions {
  return {
      .m_Window = Window, .m_Overshoot = 0.1, .m_Slack = LimitAmount{190'000}};
}

/// Hosts in several data centres that report to each other with delays, as
/// LoadExchange does.
class Installation {
public:
  explicit Installation(std::size_t Count, std::size_t DataCentres = 6,
                        OrganisationLimitOptions Options = bounds())
      : m_Options(Options), m_DataCentres(std::min(Count, DataCentres)),
        m_Group(Count, 0) {
    for (auto Number = std::size_t{0}; Number < Count; ++Number) {
      m_Hosts.emplace_back();
      restart(Number);
    }
  }

  static auto nameOf(std::size_t Number) -> HostId {
    return HostId{fmt::format("h{:03}", Number)};
  }
  [[nodiscard]] auto placeOf(std::size_t Number) const -> DataCentreId {
    return DataCentreId{fmt::format("c{}", Number % m_DataCentres)};
  }

  auto restart(std::size_t Number) -> void {
    m_Hosts[Number] = std::make_unique<OrganisationLimits>(
        m_Random, ++m_Incarnations, m_Now, m_Options);
    auto Others = std::map<HostId, DataCentreId>();
    for (auto Other = std::size_t{0};
         Other < m_Hosts.size() || Other < m_Group.size(); ++Other)
      if (Other != Number)
        Others.emplace(nameOf(Other), placeOf(Other));
    m_Hosts[Number]->setHosts(nameOf(Number), placeOf(Number), Others);
    m_Hosts[Number]->setLimits({{Organisation, m_Limit}});
  }

  auto setLimit(const OrganisationLimit &Limit) -> void {
    m_Limit = Limit;
    for (auto &Host : m_Hosts)
      Host->setLimits({{Organisation, Limit}});
  }

  auto take(std::size_t Host, double Amount) -> LimitDecision {
    auto Decision = m_Hosts[Host]->take(
        Organisation, TokenCount{static_cast<std::uint64_t>(Amount)}, m_Now);
    if (Decision.granted())
      m_Granted.emplace_back(m_Now, Amount);
    return Decision;
  }

  /// Advances the time, in which \p Demand is called every 10 ms.
  auto run(
      Duration Span, const std::function<void()> &Demand = [] {}) -> void {
    constexpr auto Step = Milliseconds(10);
    for (auto End = m_Now + Span; m_Now < End; m_Now += Step) {
      exchange();
      Demand();
    }
  }

  /// Lets each host, or those of \p Among, get requests of \p PerSecond tokens
  /// together.
  auto demand(double PerSecond, std::vector<std::size_t> Among = {})
      -> std::function<void()> {
    return [this, PerSecond, Among = std::move(Among)] {
      m_Due += PerSecond / 100;
      while (m_Due > 0) {
        // A few long prompts and many short ones.
        auto Amount =
            m_Random.below(20) == 0
                ? 10'000.0 + static_cast<double>(m_Random.below(14'000))
                : 100.0 + static_cast<double>(m_Random.below(500));
        m_Due -= Amount;
        auto Host = Among.empty() ? m_Random.below(m_Hosts.size())
                                  : Among[m_Random.below(Among.size())];
        m_Refused += take(Host, Amount).granted() ? 0 : 1;
      }
    };
  }

  [[nodiscard]] auto granted(MonotonicTime Since) const -> double {
    auto Sum = 0.0;
    for (const auto &[At, Amount] : m_Granted)
      Sum += At >= Since ? Amount : 0;
    return Sum;
  }

  /// Returns the highest sum that was granted in a window.
  [[nodiscard]] auto highest() const -> double {
    auto Sum = 0.0;
    auto Highest = 0.0;
    auto First = m_Granted.begin();
    for (const auto &[At, Amount] : m_Granted) {
      Sum += Amount;
      for (; At - First->first > Window; ++First)
        Sum -= First->second;
      Highest = std::max(Highest, Sum);
    }
    return Highest;
  }

  [[nodiscard]] auto allowed() const -> double {
    return (m_Limit.m_PerSecond.number() * seconds(Window) +
            m_Limit.m_Burst.number()) *
               (1 + m_Options.m_Overshoot) +
           m_Options.m_Slack.number();
  }

  MonotonicTime m_Now{Seconds(1000)};
  Random m_Random{11};
  OrganisationLimitOptions m_Options;
  OrganisationLimit m_Limit = tokenLimit();
  std::size_t m_DataCentres;
  /// Hosts of different groups do not hear each other.
  std::vector<std::size_t> m_Group;
  /// Pairs of hosts that do not hear each other.
  std::set<std::pair<std::size_t, std::size_t>> m_Cut;
  std::set<std::size_t> m_Suspended;
  double m_LossRate = 0;
  double m_RepeatRate = 0;
  Duration m_MaxJitter{};
  std::vector<std::unique_ptr<OrganisationLimits>> m_Hosts;
  std::deque<std::pair<MonotonicTime, double>> m_Granted;
  std::uint64_t m_Refused = 0;

private:
  struct Sent {
    MonotonicTime m_At;
    std::uint64_t m_Order = 0;
    std::size_t m_From = 0;
    std::size_t m_To = 0;
    std::shared_ptr<const OrganisationUse> m_Report;
    auto operator<(const Sent &Other) const -> bool {
      return std::pair(m_At, m_Order) > std::pair(Other.m_At, Other.m_Order);
    }
  };

  [[nodiscard]] auto connected(std::size_t From, std::size_t To) const -> bool {
    return m_Group[From] == m_Group[To] &&
           !m_Cut.contains(std::minmax(From, To)) &&
           !m_Suspended.contains(From) && !m_Suspended.contains(To);
  }

  auto send(std::size_t From, std::size_t To, Duration Delay,
            const std::shared_ptr<const OrganisationUse> &Report) -> void {
    for (auto Copy = 0; Copy < 2; ++Copy) {
      if (Copy == 1 && m_Random.unit() >= m_RepeatRate)
        break;
      if (m_Random.unit() < m_LossRate)
        continue;
      auto Jitter = m_MaxJitter > Duration::zero()
                        ? Duration(static_cast<Duration::rep>(m_Random.below(
                              static_cast<std::uint64_t>(m_MaxJitter.count()))))
                        : Duration::zero();
      m_Wire.push({.m_At = m_Now + Delay + Jitter,
                   .m_Order = ++m_Order,
                   .m_From = From,
                   .m_To = To,
                   .m_Report = Report});
    }
  }

  auto exchange() -> void {
    for (; !m_Wire.empty() && m_Wire.top().m_At <= m_Now; m_Wire.pop()) {
      const auto &Item = m_Wire.top();
      if (connected(Item.m_From, Item.m_To))
        m_Hosts[Item.m_To]->merge(nameOf(Item.m_From), placeOf(Item.m_From),
                                  *Item.m_Report, m_Now);
    }
    auto Tick = m_Now.time_since_epoch() / Milliseconds(10);
    for (auto From = std::size_t{0}; From < m_Hosts.size(); ++From) {
      if (m_Suspended.contains(From))
        continue;
      auto Own = std::shared_ptr<const OrganisationUse>();
      auto Phase = static_cast<std::int64_t>(From);
      if ((Tick + Phase) % 10 == 0) {
        Own =
            std::make_shared<OrganisationUse>(m_Hosts[From]->ownReport(m_Now));
        for (auto To = From % m_DataCentres; To < m_Hosts.size();
             To += m_DataCentres)
          if (To != From)
            send(From, To, Milliseconds(2), Own);
        m_Hosts[From]->discardOld(m_Now);
      }
      if ((Tick + Phase) % 20 == 0 && isRelay(From)) {
        Own = std::make_shared<OrganisationUse>(
            m_Hosts[From]->dataCentreReport(m_Now));
        for (auto To = std::size_t{0}; To < m_Hosts.size(); ++To)
          if (To % m_DataCentres != From % m_DataCentres)
            send(From, To, Milliseconds(60), Own);
      }
    }
  }

  [[nodiscard]] auto isRelay(std::size_t Host) const -> bool {
    for (auto Other = Host % m_DataCentres; Other < Host;
         Other += m_DataCentres)
      if (connected(Other, Host))
        return false;
    return true;
  }

  std::priority_queue<Sent> m_Wire;
  std::uint64_t m_Order = 0;
  std::uint64_t m_Incarnations = 0;
  double m_Due = 0;
};

} // namespace

TEST_CASE(
    "organisation limits: demand over the limit uses 0.95 of it and stays "
    "within the bound, at one host, at all and moving") {
  struct Case {
    std::size_t m_Hosts;
    Duration m_Time;
  };
  for (const auto &Current : {Case{1, Seconds(60)}, Case{9, Seconds(60)},
                              Case{77, Seconds(40)}, Case{300, Seconds(24)}})
    for (const auto *Pattern : {"one", "all", "moving"})
      for (auto Factor : {1.5, 6.0}) {
        if (Current.m_Hosts == 300 && Factor < 6)
          continue; // Takes long.
        CAPTURE(Current.m_Hosts);
        CAPTURE(std::string(Pattern));
        CAPTURE(Factor);
        auto Test = Installation(Current.m_Hosts);
        Test.run(Window); // The start is over.
        auto Since = Test.m_Now;
        if (std::string(Pattern) == "one")
          Test.run(Current.m_Time, Test.demand(Factor * Rate, {0}));
        else if (std::string(Pattern) == "all")
          Test.run(Current.m_Time, Test.demand(Factor * Rate));
        else
          for (auto Host = std::size_t{0}; Test.m_Now < Since + Current.m_Time;
               Host += 5)
            Test.run(Seconds(2),
                     Test.demand(Factor * Rate, {Host % Current.m_Hosts}));
        CHECK(Test.highest() <= Test.allowed());
        CHECK(Test.granted(Since) >= 0.95 * Rate * seconds(Test.m_Now - Since));
      }
}

TEST_CASE("organisation limits: demand within the limit is not refused, "
          "wherever it enters") {
  for (auto Count : {1U, 9U, 77U})
    for (auto Moving : {false, true}) {
      CAPTURE(Count);
      CAPTURE(Moving);
      auto Test = Installation(Count);
      Test.run(Window);
      auto Tokens = Burst;
      for (auto Step = 0; Step < 30; ++Step) {
        auto Host = Moving ? Test.m_Random.below(Count) : 0;
        // At times the whole burst, at others small requests.
        Test.run(Milliseconds(500), [&] {
          Tokens = std::min(Burst, Tokens + Rate / 100);
          while (Tokens >= 20'000 || (Step % 3 != 0 && Tokens >= 300)) {
            auto Amount = Tokens >= 20'000 ? 17'000.0 : 300.0;
            Tokens -= Amount;
            CHECK(Test.take(Moving ? Test.m_Random.below(Count) : Host, Amount)
                      .granted());
          }
        });
      }
    }
}

TEST_CASE(
    "organisation limits: hosts that hear none have equal shares, at once "
    "and after they were in touch") {
  auto Test = Installation(60);
  SUBCASE("all at once") {
    Test.run(Seconds(20));
    for (auto Number = std::size_t{0}; Number < 60; ++Number)
      Test.m_Group[Number] = Number;
    Test.run(Seconds(30), Test.demand(4 * Rate));
  }
  SUBCASE("never in touch") {
    for (auto Number = std::size_t{0}; Number < 60; ++Number)
      Test.m_Group[Number] = Number;
    Test.run(Seconds(30), Test.demand(4 * Rate));
  }
  SUBCASE("thirds, with demand before, and together again") {
    Test.run(Seconds(20), Test.demand(2 * Rate));
    for (auto Number = std::size_t{0}; Number < 60; ++Number)
      Test.m_Group[Number] = Number / 20;
    auto Since = Test.m_Now + Window;
    Test.run(Seconds(24), Test.demand(4 * Rate));
    CHECK(Test.granted(Since) >= 0.9 * Rate * seconds(Test.m_Now - Since));
    std::fill(Test.m_Group.begin(), Test.m_Group.end(), 0);
    Test.run(Seconds(20), Test.demand(4 * Rate));
  }
  SUBCASE("a single host") {
    Test.run(Seconds(20), Test.demand(2 * Rate, {7}));
    Test.m_Group[7] = 1;
    Test.run(Seconds(20), Test.demand(4 * Rate, {7, 8}));
  }
  CHECK(Test.highest() <= Test.allowed());
}

TEST_CASE("organisation limits: two hosts that only hear others keep the limit "
          "together") {
  auto Test = Installation(18);
  for (auto First = std::size_t{0}; First < 18; ++First)
    if (First != 12)
      Test.m_Cut.insert(std::minmax(std::size_t{6}, First));
  Test.m_Cut.erase(std::minmax(std::size_t{6}, std::size_t{0}));
  Test.run(Seconds(20));
  Test.run(Seconds(30), Test.demand(4 * Rate, {6, 12}));
  CHECK(Test.highest() <= Test.allowed());
}

TEST_CASE("organisation limits: restarts do not renew the limit") {
  auto Test = Installation(30);
  Test.run(Seconds(20), Test.demand(2 * Rate, {4, 5}));
  SUBCASE("of the hosts that were used") {
    for (auto Round = 0; Round < 6; ++Round) {
      Test.restart(4);
      Test.restart(5);
      Test.run(Seconds(3), Test.demand(2 * Rate, {4, 5}));
      Test.run(Milliseconds(500), Test.demand(6 * Rate));
    }
  }
  SUBCASE("of all hosts") {
    for (auto Round = 0; Round < 4; ++Round) {
      for (auto Number = std::size_t{0}; Number < 30; ++Number)
        Test.restart(Number);
      Test.run(Seconds(5), Test.demand(6 * Rate));
    }
  }
  CHECK(Test.highest() <= Test.allowed());
}

TEST_CASE("organisation limits: a host that restarts refuses nothing of an "
          "organisation below its limit, once it is in touch") {
  auto Test = Installation(30);
  Test.run(Window); // The start is over.
  Test.run(Seconds(20), Test.demand(0.7 * Rate));
  REQUIRE(Test.m_Refused == 0);
  Test.restart(4);
  Test.run(Seconds(1), Test.demand(0.7 * Rate));
  Test.m_Refused = 0;
  Test.run(Seconds(20), Test.demand(0.7 * Rate));
  CHECK(Test.m_Refused == 0);
  CHECK(Test.highest() <= Test.allowed());
}

TEST_CASE(
    "organisation limits: the others refuse nothing below the limit while "
    "a restarted host that reports on its data centre hears few") {
  auto Test = Installation(12, 2);
  Test.run(Window);
  auto Others = std::vector<std::size_t>{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11};
  Test.run(Seconds(20), Test.demand(0.8 * Rate, Others));
  REQUIRE(Test.m_Refused == 0);
  for (auto Round = 0; Round < 5; ++Round) {
    Test.restart(0);
    Test.run(Seconds(2), Test.demand(0.8 * Rate, Others));
  }
  CHECK(Test.m_Refused == 0);
}

TEST_CASE("organisation limits: hosts that were suspended do not exceed the "
          "limit") {
  auto Test = Installation(30);
  Test.run(Seconds(12), Test.demand(3 * Rate));
  for (auto Round = 0; Round < 5; ++Round) {
    for (auto Number = std::size_t{0}; Number < 10; ++Number)
      Test.m_Suspended.insert(Number);
    Test.run(Milliseconds(700) * (Round + 1),
             Test.demand(3 * Rate, {15, 16, 17, 18}));
    Test.m_Suspended.clear();
    Test.run(Seconds(2), Test.demand(3 * Rate));
  }
  CHECK(Test.highest() <= Test.allowed());
}

TEST_CASE("organisation limits: lost, repeated and late reports") {
  auto Test = Installation(30);
  Test.m_LossRate = 0.2;
  Test.m_RepeatRate = 0.2;
  Test.m_MaxJitter = Milliseconds(300);
  Test.run(Window);
  auto Since = Test.m_Now;
  Test.run(Seconds(30), Test.demand(3 * Rate));
  CHECK(Test.highest() <= Test.allowed());
  CHECK(Test.granted(Since) >= 0.95 * Rate * seconds(Test.m_Now - Since));
}

TEST_CASE(
    "organisation limits: a lower limit binds at once, a higher one gives "
    "more, and nothing is charged twice") {
  auto Test = Installation(12);
  Test.run(Seconds(20), Test.demand(2 * Rate));
  Test.setLimit(tokenLimit(Rate / 20, Burst / 20));
  Test.run(Window, Test.demand(2 * Rate));
  Test.m_Granted.clear();
  Test.run(Seconds(20), Test.demand(2 * Rate));
  CHECK(Test.highest() <= Test.allowed());
  Test.setLimit(tokenLimit());
  auto Since = Test.m_Now;
  Test.run(Seconds(20), Test.demand(2 * Rate));
  CHECK(Test.granted(Since) >= 0.95 * Rate * 20);
  CHECK(Test.highest() <= Test.allowed());
  for (auto &Host : Test.m_Hosts)
    Host->setLimits({});
  CHECK(!Test.take(0, 1e9).m_Charge);
  CHECK(!Test.m_Hosts[0]->active());
}

TEST_CASE("organisation limits: a request with a bogus number of tokens does "
          "not keep others from being granted") {
  auto Test = Installation(9);
  Test.run(Window);
  CHECK(!Test.take(0, 1e18).granted());
  Test.run(Seconds(3));
  Test.run(Seconds(5), Test.demand(0.7 * Rate));
  CHECK(Test.m_Refused == 0);
}

TEST_CASE("organisation limits: what was not run is given back") {
  auto Test = Installation(1);
  Test.run(Window);
  auto First = Test.take(0, 80'000);
  REQUIRE(First.m_Charge);
  CHECK(Test.m_Hosts[0]->use(Organisation, Test.m_Now).number() ==
        doctest::Approx(80'000));
  Test.run(Seconds(1));
  Test.m_Hosts[0]->refund(*First.m_Charge, Test.m_Now);
  CHECK(Test.m_Hosts[0]->use(Organisation, Test.m_Now).number() == 0);
  // Later than it counts.
  Test.run(Seconds(60));
  Test.m_Hosts[0]->refund(*First.m_Charge, Test.m_Now);
  CHECK(Test.m_Hosts[0]->use(Organisation, Test.m_Now).number() == 0);
}

TEST_CASE("organisation limits: nothing is granted before the hosts are known, "
          "and requests without a number of tokens count as configured") {
  auto Source = Random(1);
  auto Now = MonotonicTime(Seconds(100));
  auto Limits = OrganisationLimits(Source, 1, Now, bounds());
  Limits.setLimits({{Organisation, tokenLimit()}});
  Now += Seconds(20);
  CHECK(Limits.take(Organisation, std::nullopt, Now).m_Denial ==
        LimitDenial::HostsUnknown);
  Limits.setHosts(HostId{"h"}, DataCentreId{"c"}, {});
  CHECK(Limits.take(Organisation, std::nullopt, Now)
            .m_Charge->m_Amount.number() == 200);
  CHECK(Limits.take(OrganisationId{"unlimited"}, std::nullopt, Now).granted());
}

TEST_CASE("organisation limits: callers that return after the stated time are "
          "served, and not all at once") {
  auto Test = Installation(9);
  Test.run(Seconds(20), Test.demand(2 * Rate));
  auto Waiting = std::multimap<MonotonicTime, std::size_t>();
  for (auto Number = std::size_t{0}; Number < 200; ++Number) {
    auto Decision = Test.take(Number % 9, 2'000);
    if (!Decision.granted())
      Waiting.emplace(Test.m_Now + Decision.m_RetryAfter, Number % 9);
  }
  REQUIRE(Waiting.size() > 100);
  auto Served = 0.0;
  auto Total = static_cast<double>(Waiting.size());
  auto Last = Waiting.rbegin()->first;
  CHECK(Last - Waiting.begin()->first > Seconds(1));
  Test.run(Seconds(20), [&] {
    while (!Waiting.empty() && Waiting.begin()->first <= Test.m_Now) {
      auto Item = Waiting.extract(Waiting.begin());
      Served += Test.take(Item.mapped(), 2'000).granted() ? 1 : 0;
    }
  });
  CHECK(Served >= 0.9 * Total);
}

namespace {

/// Returns whether no window exceeds the bound over random histories and
/// nothing within the limit is refused. Draws slack and burst as well if \p
/// DrawLimits is set.
auto historiesHold(bool DrawLimits) -> bool {
  return rc::check([DrawLimits] {
    auto Options = bounds();
    if (DrawLimits)
      Options.m_Slack = LimitAmount{*rc::gen::element(0.0, 190'000.0)};
    auto Test = Installation(*rc::gen::inRange<std::size_t>(1, 25),
                             *rc::gen::inRange<std::size_t>(1, 5), Options);
    if (DrawLimits)
      Test.setLimit(tokenLimit(Rate, Rate * *rc::gen::element(0.2, 1.0, 10.0)));
    auto Count = Test.m_Hosts.size();
    Test.m_LossRate = *rc::gen::element(0.0, 0.02, 0.1);
    Test.m_RepeatRate = *rc::gen::element(0.0, 0.1);
    Test.m_MaxJitter = *rc::gen::element(Milliseconds(1), Milliseconds(200));
    Test.run(Window);
    auto Steps = *rc::gen::inRange(1, 12);
    auto Groups = *rc::gen::element<std::uint64_t>(2, 4, 1'000'000);
    for (auto Step = 0; Step < Steps; ++Step) {
      switch (*rc::gen::inRange(0, 6)) {
      case 0: // Partition, or no host hears another one.
        for (auto &Group : Test.m_Group)
          Group = Test.m_Random.below(Groups);
        break;
      case 1:
        Test.restart(Test.m_Random.below(Count));
        break;
      case 2:
        for (auto Host = std::size_t{0}; Host < Count; ++Host)
          Test.restart(Host);
        break;
      case 3:
        Test.m_Suspended.insert(Test.m_Random.below(Count));
        break;
      default:
        std::fill(Test.m_Group.begin(), Test.m_Group.end(), 0);
        Test.m_Suspended.clear();
        break;
      }
      auto Among = std::vector<std::size_t>();
      if (*rc::gen::inRange(0, 2) == 0)
        Among.push_back(Test.m_Random.below(Count));
      Test.run(
          Milliseconds(*rc::gen::inRange(200, 6000)),
          Test.demand(*rc::gen::element(0.3, 1.5, 4.0, 6.0) * Rate, Among));
    }
    RC_ASSERT(Test.highest() <= Test.allowed());
    // In touch again and below its limit: nothing is refused.
    std::fill(Test.m_Group.begin(), Test.m_Group.end(), 0);
    Test.m_Suspended.clear();
    Test.m_LossRate = 0;
    Test.run(Window * 5);
    Test.m_Refused = 0;
    Test.run(Seconds(10), Test.demand(0.7 * Rate));
    RC_ASSERT(Test.m_Refused == 0U);
  });
}

} // namespace

TEST_CASE("organisation limits: over random histories no window exceeds the "
          "bound, and what is within the limit is not refused") {
  CHECK(historiesHold(false));
}

TEST_CASE("organisation limits: with drawn bursts and slacks no window exceeds "
          "the bound over random histories") {
  CHECK(historiesHold(true));
}

TEST_CASE("organisation limits: a burst of many seconds of the rate is kept to "
          "by hosts that grant at the same time") {
  for (auto Factor : {3.0, 6.0, 10.0}) {
    CAPTURE(Factor);
    auto Options = bounds();
    Options.m_Slack = LimitAmount{0};
    auto Test = Installation(30, 6, Options);
    Test.setLimit(tokenLimit(Rate, 10 * Rate));
    Test.run(Window);
    auto Since = Test.m_Now;
    Test.run(Seconds(40), Test.demand(Factor * Rate));
    CHECK(Test.highest() <= Test.allowed());
    CHECK(Test.granted(Since) >= 0.95 * Rate * seconds(Test.m_Now - Since));
  }
}

TEST_CASE(
    "organisation limits: the only host that restarts after a burst keeps "
    "to the bound without slack") {
  for (auto BurstSeconds : {1.0, 3.0, 10.0})
    for (auto Before : {1000, 2300, 3000, 4200, 4900, 6000}) {
      CAPTURE(BurstSeconds);
      CAPTURE(Before);
      auto Options = bounds();
      Options.m_Slack = LimitAmount{0};
      auto Test = Installation(1, 1, Options);
      Test.setLimit(tokenLimit(Rate, BurstSeconds * Rate));
      Test.run(Window);
      Test.run(Milliseconds(Before), Test.demand(6 * Rate));
      Test.restart(0);
      Test.run(Window, Test.demand(6 * Rate));
      CHECK(Test.highest() <= Test.allowed());
    }
}
