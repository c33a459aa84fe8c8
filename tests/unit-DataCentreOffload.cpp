#include "dotterel/routing/DataCentreOffload.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace dotterel;

namespace {

constexpr auto Target = Milliseconds(400);
const auto Here = DataCentreId{"here"};
const auto Near = DataCentreId{"near"};
const auto Far = DataCentreId{"far"};

/// One data centre with 100 slots.
auto figures(const DataCentreId &DataCentre, double Occupancy,
             bool Remote = false) -> DataCentreFigures {
  return {.m_DataCentre = DataCentre,
          .m_Remote = Remote,
          .m_Slots = 100,
          .m_Occupancy = Occupancy,
          .m_WaitPerRequest = Milliseconds(1),
          .m_Age = Milliseconds(100)};
}

auto call(bool Repeatable = true) -> OffloadRequest {
  return {.m_Route = RouteId{"call"},
          .m_Target = Target,
          .m_Repeatable = Repeatable,
          .m_Bytes = 2000};
}

/// One host, which gets 100 requests between two decisions.
struct Host {
  explicit Host(std::uint64_t Seed = 1,
                const OffloadOptions &Options = {.m_Enabled = true})
      : m_Random(Seed), m_Offload("desk", Options, m_Random) {}

  /// Decides \p Intervals times on the same figures. Returns the number of
  /// requests that were sent to each lender.
  auto serve(const OffloadFigures &Figures, int Intervals,
             const OffloadRequest &Request = call())
      -> std::map<DataCentreId, int> {
    auto Sent = std::map<DataCentreId, int>();
    for (auto Interval = 0; Interval < Intervals; ++Interval) {
      m_Now += Milliseconds(250);
      if (m_Offload.due(m_Now))
        m_Offload.update(Figures, m_Now);
      for (auto Count = 0; Count < 100; ++Count) {
        m_Last = m_Offload.choose(Request, m_Now);
        if (m_Last.m_Lender)
          ++Sent[*m_Last.m_Lender];
      }
    }
    return Sent;
  }

  [[nodiscard]] auto share() const -> double {
    auto Sum = 0.0;
    for (const auto &[DataCentre, Share] : m_Offload.shares(RouteId{"call"}))
      Sum += Share;
    return Sum;
  }

  Random m_Random;
  DataCentreOffload m_Offload;
  MonotonicTime m_Now = MonotonicTime(Seconds(100));
  OffloadChoice m_Last;
};

} // namespace

TEST_CASE("offload: one full data centre beside empty ones sends a share, to "
          "its region first") {
  auto Test = Host();
  auto Sent =
      Test.serve({.m_Own = figures(Here, 1.2),
                  .m_Others = {figures(Far, 0, true), figures(Near, 0)}},
                 20);
  CHECK(Test.m_Last.m_Reason == OffloadReason::Leaving);
  // Down to a pressure of 0.8, if there is room for it.
  CHECK(Test.share() == doctest::Approx(1 - 0.8 / 1.2).epsilon(0.02));
  CHECK(Sent[Near] > 0);
  // Room for 17 requests an interval near by; the rest goes to the region away.
  CHECK(Sent[Near] <= 20 * 18);
  CHECK(Sent[Far] > 0);
  CHECK(Sent[Near] + Sent[Far] < 20 * 50);

  auto Small = Host();
  auto Light =
      Small.serve({.m_Own = figures(Here, 0.95),
                   .m_Others = {figures(Far, 0, true), figures(Near, 0)}},
                  20);
  CHECK(Light[Near] > 0);
  CHECK(Light[Far] == 0);
}

TEST_CASE("offload: a data centre with room decides as without offload") {
  auto Test = Host();
  auto Sent = Test.serve(
      {.m_Own = figures(Here, 0.85), .m_Others = {figures(Near, 0)}}, 20);
  CHECK(Sent.empty());
  CHECK(Test.m_Last.m_Reason == OffloadReason::Room);
  for (const auto &DataCentre : {Here, Near, Far})
    CHECK(Test.m_Last.bias(DataCentre, Milliseconds(150)) == Duration::zero());
}

TEST_CASE("offload: while it is off, nothing changes") {
  auto Test = Host(1, {});
  CHECK_FALSE(Test.m_Offload.due(Test.m_Now));
  auto Sent = Test.serve(
      {.m_Own = figures(Here, 3), .m_Others = {figures(Near, 0)}}, 5);
  CHECK(Sent.empty());
  CHECK(Test.m_Last.bias(Near, Milliseconds(10)) == Duration::zero());
}

TEST_CASE("offload: while all data centres are full, each keeps its requests") {
  auto Test = Host();
  auto Sent =
      Test.serve({.m_Own = figures(Here, 1.5),
                  .m_Others = {figures(Near, 0.8), figures(Far, 1.4, true)}},
                 20);
  CHECK(Sent.empty());
  CHECK(Test.m_Last.m_Reason == OffloadReason::LendersFull);
  CHECK(Test.m_Last.bias(Here, {}) == Duration::zero());
  // A server elsewhere remains the last resort.
  CHECK(Test.m_Last.bias(Near, Milliseconds(10)) == Target);
}

TEST_CASE("offload: with old figures of the others requests stay") {
  auto Old = figures(Near, 0);
  Old.m_Age = Milliseconds(700);
  auto Unknown = figures(Far, 0, true);
  Unknown.m_Age.reset();
  auto Test = Host();
  auto Sent =
      Test.serve({.m_Own = figures(Here, 1.5), .m_Others = {Old, Unknown}}, 20);
  CHECK(Sent.empty());
  CHECK(Test.m_Last.m_Reason == OffloadReason::OldFigures);
  CHECK(Test.m_Last.bias(Near, Milliseconds(10)) == Target);
}

TEST_CASE("offload: figures that grow old while requests leave end it at once, "
          "and nothing is saved up for later") {
  auto Test = Host();
  auto Figures = OffloadFigures{.m_Own = figures(Here, 1.5),
                                .m_Others = {figures(Near, 0)}};
  CHECK(Test.serve(Figures, 10)[Near] > 0);
  Figures.m_Others[0].m_Age = Seconds(1);
  CHECK(Test.serve(Figures, 1).empty());
  CHECK(Test.m_Offload.credit(Near) == 0);
}

TEST_CASE("offload: a lender that fills up gets nothing more") {
  auto Test = Host();
  auto Figures = OffloadFigures{.m_Own = figures(Here, 1.5),
                                .m_Others = {figures(Near, 0.2)}};
  auto Before = Test.serve(Figures, 5)[Near];
  Figures.m_Others[0].m_Occupancy = 0.6;
  auto Less = Test.serve(Figures, 5)[Near];
  CHECK(Less > 0);
  CHECK(Less < Before / 3);
  Figures.m_Others[0].m_Occupancy = 0.7;
  CHECK(Test.serve(Figures, 5).empty());
  // Its queue fills as well as its places.
  Figures.m_Others[0].m_Occupancy = 0.2;
  Figures.m_Others[0].m_Wait = Milliseconds(290);
  CHECK(Test.serve(Figures, 5).empty());
}

TEST_CASE("offload: a region away only where the caller gains") {
  auto Test = Host();
  auto Figures = OffloadFigures{.m_Own = figures(Here, 1.5),
                                .m_Others = {figures(Far, 0, true)}};
  auto Request = call();
  Request.m_Target = Milliseconds(50);
  // The round trip alone takes longer than the target.
  CHECK(Test.serve(Figures, 5, Request).empty());
  CHECK(Test.m_Last.m_Reason == OffloadReason::LendersFull);

  Request = call();
  Request.m_CacheBytes = 300e6;
  CHECK(Host().serve(Figures, 5, Request)[Far] > 0);
  // Its KV cache would be moved between the regions.
  Figures.m_Others[0].m_AllStages = false;
  auto Moved = Host();
  CHECK(Moved.serve(Figures, 5, Request).empty());
  CHECK(Moved.m_Last.m_Reason == OffloadReason::NotWorthwhile);
}

TEST_CASE("offload: requests that may not be repeated leave at a higher "
          "pressure") {
  auto Figures = OffloadFigures{.m_Own = figures(Here, 0.95),
                                .m_Others = {figures(Near, 0)}};
  CHECK(Host().serve(Figures, 10, call(false)).empty());
  Figures.m_Own.m_Occupancy = 1.1;
  CHECK(Host().serve(Figures, 10, call(false))[Near] > 0);
}

TEST_CASE("offload: after the surge requests return below the lower "
          "threshold") {
  auto Test = Host();
  auto Figures = OffloadFigures{.m_Own = figures(Here, 1.5),
                                .m_Others = {figures(Near, 0)}};
  Test.serve(Figures, 10);
  Figures.m_Own.m_Occupancy = 0.75;
  // Nothing has to be sent any more, but the state is kept.
  Test.serve(Figures, 10);
  CHECK(Test.m_Last.m_Reason == OffloadReason::Leaving);
  CHECK(Test.share() == 0);
  Figures.m_Own.m_Occupancy = 0.65;
  Test.serve(Figures, 10);
  CHECK(Test.m_Last.m_Reason == OffloadReason::Room);
  Figures.m_Own.m_Occupancy = 0.85;
  Test.serve(Figures, 10);
  CHECK(Test.m_Last.m_Reason == OffloadReason::Room);
}

TEST_CASE("offload: a pressure that crosses the threshold all the time changes "
          "the decision once a second at most") {
  auto Test = Host();
  auto Changes = 0;
  auto Before = OffloadReason::Room;
  for (auto Step = 0; Step < 80; ++Step) {
    Test.serve({.m_Own = figures(Here, Step % 2 == 0 ? 2.0 : 0.0),
                .m_Others = {figures(Near, 0)}},
               1);
    if (std::exchange(Before, Test.m_Last.m_Reason) != Test.m_Last.m_Reason)
      ++Changes;
  }
  // 20 seconds.
  CHECK(Changes <= 20);
}

TEST_CASE("offload: the hosts of a full data centre do not swing together") {
  // Fourteen hosts with one queue; figures are one interval old, and requests
  // take five intervals.
  auto Hosts = std::vector<std::unique_ptr<Host>>();
  for (auto Seed = 1U; Seed <= 14; ++Seed)
    Hosts.push_back(std::make_unique<Host>(Seed));
  auto Own = 0.0;
  auto Lent = 0.0;
  auto Reported = std::pair(Own, Lent);
  auto OwnRange = std::pair(1e9, 0.0);
  auto LentRange = std::pair(1e9, 0.0);
  for (auto Interval = 0; Interval < 240; ++Interval) {
    auto Figures =
        OffloadFigures{.m_Own = figures(Here, Reported.first / 600),
                       .m_Others = {figures(Near, Reported.second / 600)},
                       .m_Hosts = Hosts.size()};
    Figures.m_Own.m_Slots = Figures.m_Others[0].m_Slots = 600;
    Reported = {Own, Lent};
    Own *= 0.8;
    Lent *= 0.8;
    for (auto &Item : Hosts) {
      Item->m_Now += Milliseconds(250);
      if (Item->m_Offload.due(Item->m_Now))
        Item->m_Offload.update(Figures, Item->m_Now);
      // 30% more than the slots hold.
      for (auto Count = 0; Count < 11; ++Count)
        (Item->m_Offload.choose(call(), Item->m_Now).m_Lender ? Lent : Own) +=
            1;
    }
    if (Interval < 80)
      continue;
    OwnRange = {std::min(OwnRange.first, Own), std::max(OwnRange.second, Own)};
    LentRange = {std::min(LentRange.first, Lent),
                 std::max(LentRange.second, Lent)};
  }
  CHECK(OwnRange.second < 650);
  CHECK(OwnRange.second - OwnRange.first < 90);
  CHECK(LentRange.second - LentRange.first < 90);
  CHECK(LentRange.second < 0.7 * 600);
}

TEST_CASE(
    "offload: shares add up to at most 1, and all borrowers together take "
    "no more than the free part of a lender") {
  auto Passed = rc::check([] {
    auto Source = Random(*rc::gen::arbitrary<std::uint32_t>());
    auto Others = 1 + Source.below(5);
    auto HostCount = 1 + Source.below(4);
    auto Options = OffloadOptions{.m_Enabled = true};
    auto Slots = 1 + static_cast<double>(Source.below(400));
    auto Lender = figures(Near, Source.unit());
    Lender.m_Slots = Slots;
    auto Free = std::max(0.0, (Options.m_LendPressure - Lender.m_Occupancy) *
                                  Slots * Options.m_LendShare);
    auto Sent = 0;
    constexpr auto Intervals = 5;
    // Every data centre but the lender is a borrower.
    for (auto Borrower = std::size_t{0}; Borrower < Others * HostCount;
         ++Borrower) {
      auto Test = Host(Source.below(1000));
      auto Figures = OffloadFigures{.m_Own = figures(Here, 3 * Source.unit()),
                                    .m_Others = {Lender},
                                    .m_Hosts = HostCount};
      for (auto Index = std::size_t{1}; Index < Others; ++Index)
        Figures.m_Others.push_back(
            figures(DataCentreId{fmt::format("o{}", Index)}, Source.unit(),
                    Source.unit() < 0.5));
      Sent += Test.serve(Figures, Intervals)[Near];
      for (const auto &[DataCentre, Share] :
           Test.m_Offload.shares(RouteId{"call"}))
        RC_ASSERT(Share >= 0);
      RC_ASSERT(Test.share() <= 1 + 1e-9);
    }
    // Each host starts with a part of one request.
    RC_ASSERT(Sent <=
              Free * Intervals + static_cast<double>(Others * HostCount));
  });
  CHECK(Passed);
}
