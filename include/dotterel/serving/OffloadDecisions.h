//===- OffloadDecisions.h - Decisions to leave the data centre --*- C++ -*-===//
///
/// \file
/// Computes the figures of each service by data centre, from what a host knows
/// of servers and loads, and keeps the decisions that follow from them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_OFFLOADDECISIONS_H
#define DOTTEREL_SERVING_OFFLOADDECISIONS_H

#include "dotterel/serving/PrefillSpeed.h"
#include "dotterel/serving/ServerChoice.h"
#include "dotterel/serving/ServingMetrics.h"

#include <map>

namespace dotterel {

/// Returns the figures of \p Service in each data centre that has servers of
/// it. \p WorkTime is the time of a request at a server of a plain service.
/// Complexity: linear in the number of servers.
auto offloadFigures(const ChoiceView &View, const PrefillSpeed &Speed,
                    const ServiceSpec &Service, Duration WorkTime,
                    MonotonicTime Now) -> OffloadFigures;

/// The decisions of a host, by service.
class OffloadDecisions {
public:
  OffloadDecisions(const OffloadOptions &Options, Duration WorkTime,
                   Random &Random, ServingMetrics &Metrics)
      : m_Options(Options), m_WorkTime(WorkTime), m_Random(Random),
        m_Metrics(Metrics) {}

  /// Returns where a new request should be served.
  auto choose(const ChoiceView &View, const PrefillSpeed &Speed,
              const ServiceSpec &Service, const ServingRoute &Route,
              const CallerRequest &Request, MonotonicTime Now) -> OffloadChoice;

  /// Forgets the services that \p Configuration does not contain.
  auto retain(const ServingConfiguration &Configuration) -> void;

private:
  auto exportPressure() -> void;

  OffloadOptions m_Options;
  Duration m_WorkTime;
  Random &m_Random;
  ServingMetrics &m_Metrics;
  std::map<ServiceId, DataCentreOffload> m_Services;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_OFFLOADDECISIONS_H
