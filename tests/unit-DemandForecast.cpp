#include "dotterel/fleet/DemandForecast.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace dotterel;

namespace {

/// Feeds a load every half second for \p Span, as a function of the seconds.
template <typename Load>
auto feed(DemandForecast &Forecast, Duration Span, Load Value) -> void {
  constexpr auto Step = Milliseconds(500);
  for (auto At = Duration::zero(); At <= Span; At += Step)
    Forecast.observe(Value(std::chrono::duration<double>(At).count()),
                     MonotonicTime(Seconds(1000)) + At);
}

} // namespace

TEST_CASE("forecast: a steady load stays what it is") {
  auto Forecast = DemandForecast({});
  feed(Forecast, Seconds(300), [](double) { return 6.0; });
  CHECK(Forecast.at(Seconds(60)) == doctest::Approx(6.0));
}

TEST_CASE("forecast: a ramp is extrapolated by its slope") {
  auto Forecast = DemandForecast({});
  feed(Forecast, Seconds(600), [](double At) { return 10 + At / 60; });
  // One server a minute: at the end 20, a minute ahead 21.
  CHECK(Forecast.at(Seconds(60)) == doctest::Approx(21.0).epsilon(0.02));
}

TEST_CASE("forecast: a swing within seconds moves it little") {
  auto Forecast = DemandForecast({});
  constexpr auto Period = 20.0;
  feed(Forecast, Seconds(600), [](double At) {
    return std::fmod(At, Period) < Period / 2 ? 4.0 : 8.0;
  });
  // Never beyond the highest load by more than half a swing.
  CHECK(Forecast.at(Seconds(10)) < 10.0);
}

TEST_CASE("forecast: it is neither negative nor beyond its bound") {
  auto Falling = DemandForecast({});
  feed(Falling, Seconds(60), [](double At) { return 60 - At; });
  CHECK(Falling.at(Seconds(600)) == 0.0);
  auto Rising = DemandForecast({});
  feed(Rising, Seconds(60), [](double At) { return 1 + At; });
  CHECK(Rising.at(Seconds(3600)) <= 2 * 62.0);
  CHECK(DemandForecast({}).at(Seconds(60)) == 0.0);
}
