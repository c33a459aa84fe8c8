//===- CallBackoff.h - Pace of calls to a failing target --------*- C++ -*-===//
///
/// \file
/// Decides when calls may go to a target that answers few of them or none, so
/// that an outage costs few calls and its end is noticed soon.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_CALLBACKOFF_H
#define DOTTEREL_FLEET_CALLBACKOFF_H

#include "dotterel/base/Random.h"
#include "dotterel/base/Units.h"

#include <cstdint>

namespace dotterel {

struct CallBackoffOptions {
  /// Longest delay after the first failure; doubles with each further one.
  Duration m_FirstDelay = Milliseconds(1000);
  Duration m_MaxDelay = Milliseconds(4000);
  /// Smallest share of a delay; the actual one is random between that and 1.
  double m_MinDelayShare = 0.5;
};

/// Permits calls without a limit while they succeed. After a failure it permits
/// one call at a time, each after a delay.
class CallBackoff {
public:
  CallBackoff(Random &Random, const CallBackoffOptions &Options)
      : m_Random(Random), m_Options(Options) {}

  [[nodiscard]] auto mayCall(MonotonicTime Now) const -> bool;

  /// Records the start of a call. Returns a number to pass to end().
  auto begin() -> std::uint64_t;

  /// Records the end of the call \p Round. Calls that were in flight together
  /// when the first of them failed count as one failure.
  auto end(std::uint64_t Round, bool Succeeded, MonotonicTime Now) -> void;

  /// Returns when the next call is permitted after a failure.
  [[nodiscard]] auto retryAt() const -> MonotonicTime { return m_RetryAt; }

  [[nodiscard]] auto failures() const -> std::uint32_t { return m_Failures; }

private:
  Random &m_Random;
  CallBackoffOptions m_Options;
  std::uint32_t m_Failures = 0; ///< Since the last success.
  std::uint32_t m_InFlight = 0;
  std::uint64_t m_Round = 0; ///< Incremented by each failure.
  MonotonicTime m_RetryAt;
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_CALLBACKOFF_H
