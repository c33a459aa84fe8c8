//===- ServingMetrics.h - Metrics of a serving host -------------*- C++ -*-===//
///
/// \file
/// Counters and latency histograms in prometheus-cpp's registry.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVINGMETRICS_H
#define DOTTEREL_SERVING_SERVINGMETRICS_H

#include "dotterel/base/Units.h"
#include "dotterel/serving/BackendTransport.h"

#include <memory>
#include <string>

namespace dotterel {

/// Label values come from fixed sets, so that callers cannot grow the registry.
class ServingMetrics {
public:
  ServingMetrics();
  ServingMetrics(const ServingMetrics &) = delete;
  auto operator=(const ServingMetrics &) -> ServingMetrics & = delete;
  ~ServingMetrics();

  /// \p Outcome is one of the names in a request's closing log line.
  auto countRequest(RequestKind Kind, const std::string &Outcome) -> void;
  auto countAttempt(AttemptPurpose Purpose, AttemptEnd End) -> void;
  auto observeFirstAnswer(RequestKind Kind, Duration Value) -> void;
  auto observeWhole(RequestKind Kind, Duration Value) -> void;
  auto setActive(double Count) -> void;
  auto setConfigRevision(double Revision) -> void;
  auto setEvidenceAge(double Seconds) -> void;
  auto setDutyHeld(bool Held) -> void;
  auto setLogLinesDropped(double Count) -> void;
  auto setDatagramsDropped(double Count) -> void;

  /// All metrics in Prometheus's text format.
  [[nodiscard]] auto text() const -> std::string;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Names as they stand in logs and metrics.
auto nameOf(RequestKind Kind) -> const char *;
auto nameOf(AttemptPurpose Purpose) -> const char *;
auto nameOf(AttemptEnd End) -> const char *;

} // namespace dotterel

#endif // DOTTEREL_SERVING_SERVINGMETRICS_H
