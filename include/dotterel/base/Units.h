//===- Units.h - Time and quantity types ------------------------*- C++ -*-===//
///
/// \file
/// Types for time points, durations and token counts.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_UNITS_H
#define DOTTEREL_BASE_UNITS_H

#include <chrono>
#include <compare>
#include <cstdint>

namespace dotterel {

using Duration = std::chrono::microseconds;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A clock that never goes back and includes the time that the machine is
/// suspended.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true; // NOLINT: name required by chrono
};

using MonotonicTime = MonotonicClock::time_point;
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Returns \p Value in whole milliseconds, truncated towards zero.
constexpr auto toMilliseconds(Duration Value) -> std::int64_t {
  return std::chrono::duration_cast<Milliseconds>(Value).count();
}

/// A number of tokens.
class TokenCount {
public:
  constexpr TokenCount() = default;
  explicit constexpr TokenCount(std::uint64_t Value) : m_Value(Value) {}

  [[nodiscard]] constexpr auto number() const -> std::uint64_t {
    return m_Value;
  }

  auto operator<=>(const TokenCount &) const = default;

  constexpr auto operator+=(TokenCount Other) -> TokenCount & {
    m_Value += Other.m_Value;
    return *this;
  }

  friend constexpr auto operator+(TokenCount Left, TokenCount Right)
      -> TokenCount {
    return TokenCount{Left.m_Value + Right.m_Value};
  }

private:
  std::uint64_t m_Value = 0;
};

/// A number of requests per second.
class RequestRate {
public:
  constexpr RequestRate() = default;
  explicit constexpr RequestRate(double PerSecond) : m_PerSecond(PerSecond) {}

  [[nodiscard]] constexpr auto perSecond() const -> double {
    return m_PerSecond;
  }

  auto operator<=>(const RequestRate &) const = default;

private:
  double m_PerSecond = 0;
};

} // namespace dotterel

#endif // DOTTEREL_BASE_UNITS_H
