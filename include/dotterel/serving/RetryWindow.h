//===- RetryWindow.h - Limit on extra attempts in a window ------*- C++ -*-===//
///
/// \file
/// Limits this host's extra attempts to its share of those that all hosts
/// together may make.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_RETRYWINDOW_H
#define DOTTEREL_SERVING_RETRYWINDOW_H

#include "dotterel/base/Units.h"
#include "dotterel/serving/ServingConfiguration.h"

#include <deque>
#include <map>

namespace dotterel {

struct RetryWindowOptions {
  Duration m_Window = Seconds(10);
  /// Maximum number of extra attempts of all hosts, as a share of all requests
  /// in a window.
  double m_Ratio = 0.2;
  /// Part of the ratio that is granted. The rest covers requests that are
  /// counted in one window while their retries fall into the next.
  double m_UsedShare = 0.8;
  /// Number of extra attempts in a window that a host may make regardless of
  /// its number of requests.
  double m_Allowance = 1.0;
};

/// Counts requests and extra attempts by service in a sliding window.
///
/// \invariant In any window, the extra attempts granted do not exceed m_Ratio *
/// m_UsedShare of this host's requests, plus the allowance. All hosts together
/// thus keep the limit without communication, however uneven their loads are.
class RetryWindow {
public:
  explicit RetryWindow(const RetryWindowOptions &Options)
      : m_Options(Options) {}

  auto recordRequest(const ServiceId &Service, MonotonicTime Now) -> void;

  /// Acquires one extra attempt from the budget. \returns false if the budget
  /// is exhausted.
  auto tryAcquire(const ServiceId &Service, MonotonicTime Now) -> bool;

  /// Returns an extra attempt to the budget if the attempt does not count.
  auto refund(const ServiceId &Service) -> void;

private:
  struct Counts {
    std::deque<MonotonicTime> m_Requests;
    std::deque<MonotonicTime> m_ExtraAttempts;
  };

  auto removeExpired(Counts &Current, MonotonicTime Now) const -> void;

  RetryWindowOptions m_Options;
  std::map<ServiceId, Counts> m_Services;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_RETRYWINDOW_H
