//===- ServingMetrics.h - Metrics of a serving host -------------*- C++ -*-===//
///
/// \file
/// Counters and latency histograms in a prometheus-cpp registry.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVINGMETRICS_H
#define DOTTEREL_SERVING_SERVINGMETRICS_H

#include "dotterel/admission/OrganisationLimits.h"
#include "dotterel/base/Units.h"
#include "dotterel/serving/BackendTransport.h"

#include <memory>
#include <string>

namespace dotterel {

class MemoryBudget;

/// Metrics of a serving host. Label values come from fixed sets, so that
/// callers cannot make the registry grow.
class ServingMetrics {
public:
  ServingMetrics();
  ServingMetrics(const ServingMetrics &) = delete;
  auto operator=(const ServingMetrics &) -> ServingMetrics & = delete;
  ~ServingMetrics();

  /// Counts an ended request. \p Outcome is one of the outcomes in the log
  /// event request.ended.
  auto countRequest(RequestKind Kind, const std::string &Outcome) -> void;
  auto countAttempt(AttemptPurpose Purpose, AttemptOutcome Outcome) -> void;
  /// Counts responses of servers to other requests than the one that was sent.
  auto countSkippedResponses(std::uint32_t Count) -> void;
  /// Counts a stream that its caller took up again. \p Found says how its
  /// origin was found.
  auto countTakeUp(const char *Found) -> void;
  auto setStreamOrigins(double Count) -> void;
  /// Counts a server, or a request, that something was not sent to, or for.
  auto countSendDenial(SendDenial Denial) -> void;
  /// Counts a decision about leaving the data centre, and the distance that the
  /// request is sent over.
  auto countOffload(const char *Reason, const char *Distance) -> void;
  /// Sets the highest pressure of a service here, and the highest among the
  /// services' lowest occupancies elsewhere.
  auto setOffloadPressure(double Here, double Elsewhere) -> void;
  auto observeFirstByte(RequestKind Kind, Duration Value) -> void;
  auto observeCompleteResponse(RequestKind Kind, Duration Value) -> void;
  /// Records by how much a periodic check of the event loop ran late.
  auto observeLoopDelay(Duration Value) -> void;
  /// Counts a server that no longer accepted connections after an attempt
  /// broke.
  auto countLostServer() -> void;
  auto setQuarantinedDigests(double Count) -> void;
  auto setRateLimitedServers(double Count) -> void;
  auto setLeavingServers(double Count) -> void;
  auto setPausedServers(double Count) -> void;
  /// Sets the number of servers where work takes clearly longer than usual.
  auto setSlowServers(double Count) -> void;
  auto countLimitDenial(LimitDenial Denial) -> void;
  auto setLimitFigures(const LimitFigures &Figures) -> void;
  auto setStoreEra(double Era) -> void;
  auto setActive(double Count) -> void;
  auto setCallerMemory(const MemoryBudget &Memory) -> void;
  auto setConfigRevision(double Revision) -> void;
  auto setConfirmationAge(double Seconds) -> void;
  auto setDutyHeld(bool Held) -> void;
  auto countDutyCall(const char *Matter, const char *Outcome) -> void;
  auto countOrderEvent(const char *Matter, const char *Event) -> void;
  auto countDutyGivenUp(const char *Reason) -> void;
  /// Sets the number of broken responses since the start, which never falls.
  auto setBrokenResponses(std::uint64_t Total) -> void;
  auto setLogLinesDropped(double Count) -> void;
  auto setDatagramsDropped(double Count) -> void;

  /// Returns all metrics in the Prometheus text format.
  [[nodiscard]] auto text() const -> std::string;

private:
  struct Impl;
  std::unique_ptr<Impl> m_Impl;
};

/// Returns the name used in logs and metrics.
auto nameOf(RequestKind Kind) -> const char *;
auto nameOf(AttemptPurpose Purpose) -> const char *;
auto nameOf(AttemptOutcome Outcome) -> const char *;

} // namespace dotterel

#endif // DOTTEREL_SERVING_SERVINGMETRICS_H
