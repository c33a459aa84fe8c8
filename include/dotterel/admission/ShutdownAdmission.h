//===- ShutdownAdmission.h - Requests during a shutdown ---------*- C++ -*-===//
///
/// \file
/// Decides which requests a process still accepts after it was told to exit.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ADMISSION_SHUTDOWNADMISSION_H
#define DOTTEREL_ADMISSION_SHUTDOWNADMISSION_H

#include "dotterel/base/Units.h"

#include <optional>

namespace dotterel {

/// Periods of a shutdown, both from its beginning on.
struct ShutdownPeriods {
  /// Time for which the load balancer may go on sending new connections.
  Duration m_BalancerLag{};
  /// Time until the process exits, whether or not requests are unfinished.
  Duration m_Limit{};
};

/// Admission of requests by a process that is about to exit.
///
/// \invariant After the load balancer's lag, a request is accepted only if its
/// time limit ends before the process does.
class ShutdownAdmission {
public:
  /// Starts the periods. \pre They have not been started.
  auto begin(MonotonicTime Now, const ShutdownPeriods &Periods) -> void;

  /// Accepts no more requests, since the process exits at once.
  auto close() -> void { m_Closed = true; }

  [[nodiscard]] auto begun() const -> bool { return m_BegunAt.has_value(); }

  /// Returns the time since begin(), and zero before it.
  [[nodiscard]] auto elapsed(MonotonicTime Now) const -> Duration;

  /// Returns whether the load balancer may still send new connections.
  [[nodiscard]] auto mayGetConnections(MonotonicTime Now) const -> bool;

  /// Returns the time until the process exits, at least zero. \pre begun()
  [[nodiscard]] auto timeLeft(MonotonicTime Now) const -> Duration;

  /// Returns whether a request that may take \p TimeLimit is accepted.
  [[nodiscard]] auto accepts(MonotonicTime Now, Duration TimeLimit) const
      -> bool;

private:
  std::optional<MonotonicTime> m_BegunAt;
  ShutdownPeriods m_Periods;
  bool m_Closed = false;
};

} // namespace dotterel

#endif // DOTTEREL_ADMISSION_SHUTDOWNADMISSION_H
