#include "dotterel/routing/ServerSpeeds.h"

#include "dotterel/peers/HostMessage.h"
#include "platform/EngineTransport.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;

namespace {

constexpr auto Start = MonotonicTime(Seconds(100));
const auto Slow = BackendId{"slow"};

auto server(int Number) -> BackendId {
  return BackendId{fmt::format("s{}", Number)};
}

} // namespace

TEST_CASE("server speeds: without stated factors every server is usual, "
          "whatever was measured") {
  auto Source = Random(1);
  auto Speeds = ServerSpeeds(Source, {});
  CHECK(Speeds.slowdown(Slow, Start) == 1);
  for (auto Number = 0; Number < 200; ++Number) {
    Speeds.recordWork("k", Slow, Milliseconds(10), Milliseconds(40), Start);
    Speeds.recordWork("k", server(1), Milliseconds(10), Milliseconds(10),
                      Start);
  }
  CHECK(Speeds.slowdown(Slow, Start) == 1);
  CHECK(Speeds.collectReports(Start).empty());
}

TEST_CASE("server speeds: three kinds of machines beside noisy neighbours are "
          "told apart, and usual ones stay exactly usual") {
  auto Source = Random(5);
  auto Speeds = ServerSpeeds(Source, {});
  const auto Lasting = std::vector<double>{0.625, 1.0, 1.0 / 0.6};
  auto Now = Start;
  for (auto Round = 0; Round < 400; ++Round) {
    auto Number = static_cast<int>(Source.below(30));
    Now += Milliseconds(20);
    auto Factor = Source.unit() < 0.15 ? 2.5 : 1.0;
    Speeds.recordFactor(server(Number), Factor, Now);
    // What a request finds before it doubles or halves its time.
    auto Luck = std::exp2(Source.unit() * 2 - 1);
    auto Work = Milliseconds(30) * Lasting[Number % 3] * Factor * Luck;
    Speeds.recordWork("k", server(Number), Milliseconds(30),
                      std::chrono::duration_cast<Duration>(Work), Now);
  }
  auto MeanOf = [&](int Kind) {
    auto Sum = 0.0;
    for (auto Number = Kind; Number < 30; Number += 3)
      Sum += Speeds.lastingSlowdown(server(Number)) / 10;
    return Sum;
  };
  CHECK(MeanOf(0) < 0.9);
  CHECK(MeanOf(1) == doctest::Approx(1).epsilon(0.1));
  CHECK(MeanOf(2) > 1.15);
}

TEST_CASE("server speeds: measurements of servers that are all alike are "
          "noise") {
  auto Source = Random(6);
  auto Speeds = ServerSpeeds(Source, {});
  for (auto Number = 0; Number < 20; ++Number)
    Speeds.recordFactor(server(Number), 1, Start);
  for (auto Round = 0; Round < 2000; ++Round) {
    auto Work = Milliseconds(30) * std::exp2(Source.unit() * 2 - 1);
    Speeds.recordWork("k", server(static_cast<int>(Source.below(20))),
                      Milliseconds(30),
                      std::chrono::duration_cast<Duration>(Work), Start);
  }
  for (auto Number = 0; Number < 20; ++Number)
    CHECK(Speeds.slowdown(server(Number), Start) ==
          doctest::Approx(1).epsilon(0.1));
}

TEST_CASE("server speeds: where some servers state factors, the lasting speed "
          "of the others is learnt as well") {
  auto Source = Random(8);
  auto Speeds = ServerSpeeds(Source, {});
  Speeds.recordFactor(server(9), 1, Start);
  for (auto Round = 0; Round < 100; ++Round)
    for (auto Number = 0; Number < 3; ++Number)
      Speeds.recordWork("prefill", server(Number), Milliseconds(100),
                        Milliseconds(Number == 2 ? 160 : 90), Start);
  CHECK(Speeds.slowdown(server(2), Start) > 1.25);
  CHECK(Speeds.slowdown(server(0), Start) < 1);
}

TEST_CASE("server speeds: a noisy neighbour counts at once, and ever less "
          "without news") {
  auto Source = Random(2);
  auto Speeds = ServerSpeeds(Source, {});
  Speeds.recordFactor(Slow, 2.5, Start);
  CHECK(Speeds.slowdown(Slow, Start) == doctest::Approx(2.5));
  auto Before = 2.5;
  for (auto Age = 100; Age <= 2000; Age += 100) {
    auto Slowdown = Speeds.slowdown(Slow, Start + Milliseconds(Age));
    CHECK(Slowdown < Before);
    Before = Slowdown;
  }
  CHECK(Before < 1.1);
  // A statement that was overtaken on its way is ignored.
  Speeds.recordFactor(Slow, 8, Start - Milliseconds(1));
  CHECK(Speeds.slowdown(Slow, Start) == doctest::Approx(2.5));
}

TEST_CASE("server speeds: hosts that learn of a recovery at the same time "
          "return at different times, and soon") {
  constexpr auto Hosts = 60;
  auto Returned = std::vector<int>(); // Hosts by time, 10 ms each.
  for (auto Host = 0; Host < Hosts; ++Host) {
    auto Source = Random(static_cast<std::uint64_t>(Host));
    auto Speeds = ServerSpeeds(Source, {});
    Speeds.recordFactor(Slow, 2.5, Start);
    auto Recovered = Start + Milliseconds(100);
    Speeds.recordFactor(Slow, 1, Recovered);
    CHECK(Speeds.slowdown(Slow, Recovered) > 1.5);
    auto Step = std::size_t{0};
    while (Speeds.slowdown(Slow, Recovered + Milliseconds(10) * Step) > 1.3)
      ++Step;
    Returned.resize(std::max(Returned.size(), Step + 1));
    ++Returned[Step];
  }
  CHECK(Returned.size() < 40);
  CHECK(*std::max_element(Returned.begin(), Returned.end()) < Hosts / 3);
}

TEST_CASE("server speeds: hosts tell each other what they have learnt, and "
          "damaged reports are ignored") {
  auto Source = Random(3);
  auto Speeds = ServerSpeeds(Source, {});
  Speeds.recordFactor(Slow, 2.5, Start);
  Speeds.recordFactor(server(1), 1, Start);
  for (auto Round = 0; Round < 40; ++Round)
    for (const auto &[Id, Time] :
         {std::pair(Slow, 250), std::pair(server(1), 50)})
      Speeds.recordWork("k", Id, Milliseconds(50), Milliseconds(Time), Start);
  auto Message =
      HostMessage{.m_Sender = HostId{"h"},
                  .m_DataCentre = DataCentreId{"a"},
                  .m_Content = LoadSummary{.m_Speeds = Speeds.collectReports(
                                               Start + Milliseconds(100))}};
  CHECK(Speeds.collectReports(Start + Seconds(5)).empty());
  auto Decoded = decodeHostMessage(encodeHostMessage(Message));
  auto Other = ServerSpeeds(Source, {});
  for (const auto &Report : std::get<LoadSummary>(Decoded.m_Content).m_Speeds)
    Other.merge(Report, Start + Milliseconds(150));
  CHECK(Other.slowdown(Slow, Start + Milliseconds(150)) > 1.5);
  CHECK(Other.lastingSlowdown(Slow) > 1.2);
  Other.merge({.m_Backend = server(2), .m_Factor = 1e30}, Start);
  CHECK(Other.slowdown(server(2), Start) <= 8);
}

TEST_CASE("server speeds: a load header states a factor in per cent, and one "
          "that cannot be believed is absent") {
  using platform::parseWorkFactor;
  CHECK(*parseWorkFactor("3,0,8,100") == 1);
  CHECK(*parseWorkFactor("3,0,8, 250 ") == doctest::Approx(2.5));
  CHECK(*parseWorkFactor("3,0,8,62.5,7") == doctest::Approx(0.625));
  for (const auto *Value :
       {"", "3,0,8", "3,0,8,", "3,0,8,x", "3,0,8,100x", "3,0,8,0", "3,0,8,-100",
        "3,0,8,nan", "3,0,8,inf", "3,0,8,1e9", "3,0,8,1e999", "3,0,8,1"})
    CHECK_FALSE(parseWorkFactor(Value));
}
