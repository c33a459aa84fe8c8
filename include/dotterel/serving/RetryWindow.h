//===- RetryWindow.h - Bound on extra attempts in a window ------*- C++ -*-===//
///
/// \file
/// This host's share of the extra attempts that all hosts may make together.
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
  /// Extra attempts over all hosts, as a share of all requests in a window.
  double m_Ratio = 0.2;
  /// Part of the ratio that is used. The rest covers requests that one host
  /// counts in a window and their retries in the next.
  double m_UsedShare = 0.8;
  /// Extra attempts that a host may make whatever its own requests are.
  double m_Allowance = 1.0;
};

/// Counts requests and extra attempts by service in a sliding window.
///
/// \invariant In any window, extra attempts granted stay within the used share
/// of the ratio of own requests, plus the allowance. The sum over hosts then
/// keeps the bound without a message, however uneven their loads are.
class RetryWindow {
public:
  explicit RetryWindow(const RetryWindowOptions &Options)
      : m_Options(Options) {}

  auto recordRequest(const ServiceId &Service, MonotonicTime Now) -> void;

  /// Takes one extra attempt when there is room. \returns whether there was.
  auto take(const ServiceId &Service, MonotonicTime Now) -> bool;

  /// Gives back what was taken for an attempt that turned out not to count.
  auto refund(const ServiceId &Service) -> void;

private:
  struct Counts {
    std::deque<MonotonicTime> m_Requests;
    std::deque<MonotonicTime> m_Extra;
  };

  auto expire(Counts &Current, MonotonicTime Now) const -> void;

  RetryWindowOptions m_Options;
  std::map<ServiceId, Counts> m_Services;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_RETRYWINDOW_H
