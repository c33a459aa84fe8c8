//===- Metrics.h - Metrics of a gate ----------------------------*- C++ -*-===//
///
/// \file
/// Registers the gate's metrics with prometheus-cpp.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_METRICS_H
#define DOTTEREL_GATE_METRICS_H

#include "dotterel/routing/ServerAccess.h"

#include <cstdint>
#include <memory>
#include <string>

namespace dotterel {

class MemoryBudget;

/// The gate's metrics. Label values come from fixed sets, so that callers
/// cannot make the registry grow.
class GateMetrics {
public:
  GateMetrics();
  GateMetrics(const GateMetrics &) = delete;
  auto operator=(const GateMetrics &) -> GateMetrics & = delete;
  ~GateMetrics();

  auto countCompleteResponse(const std::string &Kind) -> void;
  auto countRefusal(const std::string &Code) -> void;
  /// Counts a call to a backend server that was not permitted.
  auto countSendDenial(SendDenial Denial) -> void;
  auto countRetry() -> void;
  auto countBackendFailure() -> void;
  auto observeFirstToken(double Seconds) -> void;
  auto observeTokenGap(double Seconds) -> void;
  auto countTokens(std::uint64_t Prefill, std::uint64_t Decode) -> void;
  auto setWaitingRequests(double Count) -> void;
  auto setActiveRequests(double Count) -> void;
  auto setCallerMemory(const MemoryBudget &Memory) -> void;
  auto setConfigRevision(double Revision) -> void;
  auto setConfirmationAge(double Seconds) -> void;
  auto setUnreplicatedUsage(double Count) -> void;
  /// Sets the number of broken responses since the start, which never falls.
  auto setBrokenResponses(std::uint64_t Total) -> void;

  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] auto prometheusText() const -> std::string;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_METRICS_H
