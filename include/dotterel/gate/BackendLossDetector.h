//===- BackendLossDetector.h - Detects lost backend servers -----*- C++ -*-===//
///
/// \file
/// Distinguishes a lost connection from the loss of a backend server.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_BACKENDLOSSDETECTOR_H
#define DOTTEREL_GATE_BACKENDLOSSDETECTOR_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/fleet/BackendClient.h"
#include "dotterel/poison/CrashRegistry.h"
#include "dotterel/routing/EngineTable.h"

#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace dotterel {

/// Checks whether a backend server whose connection was lost is still running,
/// by requesting its load. A server counts as lost when it does not respond,
/// when its incarnation has changed, or when no earlier load report of it is
/// known.
class BackendLossDetector {
public:
  /// \p Announce sends new evidence to the other gates and calls back when
  /// they have received it, or after a short timeout.
  BackendLossDetector(Scheduler &Scheduler, BackendClient &Backends,
                      EngineTable &Engines, CrashRegistry &Crashes,
                      std::function<void(std::function<void()>)> Announce)
      : m_Scheduler(Scheduler), m_Backends(Backends), m_Engines(Engines),
        m_Crashes(Crashes), m_Announce(std::move(Announce)) {}

  /// Checks the backend server \p Id, which gets no requests meanwhile. If it
  /// is lost, records the loss, as of the first call, for all requests that
  /// this gate has in flight there. Calls \p Done with whether
  /// the server is lost, after the evidence was recorded here and sent to the
  /// other gates. Calls for a server that is being checked share one check.
  auto checkBackend(const BackendId &Id, std::function<void(bool)> Done)
      -> void;

private:
  struct Check {
    /// When the first broken connection was noticed.
    MonotonicTime m_NoticedAt;
    std::map<RequestDigest, RunningRequest> m_Running;
    std::vector<std::function<void(bool)>> m_Callbacks;
  };

  struct DetectedLoss {
    BackendId m_Backend;
    DataCentreId m_DataCentre;
    std::vector<RunningRequest> m_Running;
    MonotonicTime m_NoticedAt;
  };

  auto finishCheck(const BackendId &Id, bool Lost) -> void;
  /// Records the loss as one of requests that ran together.
  auto recordShared(DetectedLoss Loss) -> void;
  /// Records the loss again for a request that ran alone, unless another gate
  /// ran a suspect on the server too.
  auto recordAlone(const DetectedLoss &Loss) -> void;
  [[nodiscard]] auto ranOtherSuspect(const DetectedLoss &Loss,
                                     RequestDigest Digest) const -> bool;
  auto logLoss(const DetectedLoss &Loss) const -> void;

  Scheduler &m_Scheduler;
  BackendClient &m_Backends;
  EngineTable &m_Engines;
  CrashRegistry &m_Crashes;
  std::function<void(std::function<void()>)> m_Announce;
  std::map<BackendId, Check> m_Checks;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_BACKENDLOSSDETECTOR_H
