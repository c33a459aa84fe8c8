//===- Metrics.h - Metrics of a process -------------------------*- C++ -*-===//
///
/// \file
/// The gate's metrics in prometheus-cpp's registry.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_METRICS_H
#define DOTTEREL_GATE_METRICS_H

#include <cstdint>
#include <memory>
#include <string>

namespace dotterel {

/// The gate's metrics. Label values come from fixed sets, so that callers
/// cannot grow the registry.
class GateMetrics {
public:
  GateMetrics();
  GateMetrics(const GateMetrics &) = delete;
  auto operator=(const GateMetrics &) -> GateMetrics & = delete;
  ~GateMetrics();

  auto countAnswer(const std::string &Kind) -> void;
  auto countRefusal(const std::string &Code) -> void;
  auto countRetry() -> void;
  auto countBackendFailure() -> void;
  auto observeFirstToken(double Seconds) -> void;
  auto observeTokenGap(double Seconds) -> void;
  auto countTokens(std::uint64_t Prefill, std::uint64_t Decode) -> void;
  auto setWaiting(double Count) -> void;
  auto setActive(double Count) -> void;
  auto setConfigRevision(double Revision) -> void;
  auto setEvidenceAge(double Seconds) -> void;
  auto setUncopiedUsage(double Count) -> void;

  /// All metrics in Prometheus's text format.
  [[nodiscard]] auto text() const -> std::string;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_METRICS_H
