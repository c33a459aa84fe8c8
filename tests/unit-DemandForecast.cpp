#include "dotterel/fleet/DemandForecast.h"

#include <cmath>
#include <doctest/doctest.h>

using namespace dotterel;

namespace {

/// Records a load every half second for \p Span. \p Value returns the load for
/// a time in seconds.
template <typename Load>
auto feed(DemandForecast &Forecast, Duration Span, Load Value) -> void {
  constexpr auto Step = Milliseconds(500);
  for (auto At = Duration::zero(); At <= Span; At += Step)
    Forecast.observe(Value(std::chrono::duration<double>(At).count()),
                     MonotonicTime(Seconds(1000)) + At);
}

} // namespace

TEST_CASE("forecast: a constant load is predicted unchanged") {
  auto Forecast = DemandForecast({});
  feed(Forecast, Seconds(300), [](double) { return 6.0; });
  CHECK(Forecast.predict(Seconds(60)) == doctest::Approx(6.0));
}

TEST_CASE("forecast: a ramp is extrapolated by its slope") {
  auto Forecast = DemandForecast({});
  feed(Forecast, Seconds(600), [](double At) { return 10 + At / 60; });
  // One server a minute: at the end 20, a minute ahead 21.
  CHECK(Forecast.predict(Seconds(60)) == doctest::Approx(21.0).epsilon(0.02));
}

TEST_CASE("forecast: load swings of a few seconds change it little") {
  auto Forecast = DemandForecast({});
  constexpr auto Period = 20.0;
  feed(Forecast, Seconds(600), [](double At) {
    return std::fmod(At, Period) < Period / 2 ? 4.0 : 8.0;
  });
  // At most half a swing above the highest load.
  CHECK(Forecast.predict(Seconds(10)) < 10.0);
}

TEST_CASE("forecast: it is never negative and never above its bound") {
  auto Falling = DemandForecast({});
  feed(Falling, Seconds(60), [](double At) { return 60 - At; });
  CHECK(Falling.predict(Seconds(600)) == 0.0);
  auto Rising = DemandForecast({});
  feed(Rising, Seconds(60), [](double At) { return 1 + At; });
  CHECK(Rising.predict(Seconds(3600)) <= 2 * 62.0);
  CHECK(DemandForecast({}).predict(Seconds(60)) == 0.0);
}
