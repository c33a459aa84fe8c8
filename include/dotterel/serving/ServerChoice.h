//===- ServerChoice.h - Which server runs a request -------------*- C++ -*-===//
///
/// \file
/// Chooses servers of plain services by load, health and distance.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVERCHOICE_H
#define DOTTEREL_SERVING_SERVERCHOICE_H

#include "dotterel/base/Random.h"
#include "dotterel/routing/OutlierDetector.h"
#include "dotterel/serving/BackendDirectory.h"
#include "dotterel/serving/Distance.h"
#include "dotterel/serving/LoadTracker.h"

#include <set>
#include <vector>

namespace dotterel {

/// What choices look at.
struct ChoiceView {
  const BackendDirectory &m_Directory;
  const LoadBook &m_Loads;
  const OutlierDetector &m_Health;
  const Distance &m_Distance;
  Random &m_Random;
};

/// The servers of \p Service that may get a request: neither in \p Excluded
/// nor ejected, unless too many are.
auto candidates(const ChoiceView &View, const ServiceId &Service,
                const std::set<BackendId> &Excluded, MonotonicTime Now)
    -> std::vector<const BackendRecord *>;

struct ServerChoiceOptions {
  /// Work of one request, as a time in which loads and distances are compared.
  Duration m_WorkTime = Milliseconds(60);
  /// Added for another data centre of the region, and for another region: round
  /// trips over links that are billed by volume.
  Duration m_RegionPenalty = Milliseconds(10);
  Duration m_RemotePenalty = Milliseconds(150);
};

/// Chooses the server with the least expected time, distance included.
class ServerChoice {
public:
  explicit ServerChoice(const ServerChoiceOptions &Options)
      : m_Options(Options) {}

  /// Null when there is no server.
  [[nodiscard]] auto choose(const ChoiceView &View, const ServiceId &Service,
                            const std::set<BackendId> &Excluded,
                            MonotonicTime Now) const -> const BackendRecord *;

private:
  ServerChoiceOptions m_Options;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_SERVERCHOICE_H
