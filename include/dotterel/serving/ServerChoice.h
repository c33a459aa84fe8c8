//===- ServerChoice.h - Server selection for plain services -----*- C++ -*-===//
///
/// \file
/// Selects servers of plain services by load, health and distance.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVERCHOICE_H
#define DOTTEREL_SERVING_SERVERCHOICE_H

#include "dotterel/base/Random.h"
#include "dotterel/routing/OutlierDetector.h"
#include "dotterel/serving/BackendDirectory.h"
#include "dotterel/serving/Distance.h"
#include "dotterel/serving/LoadTracker.h"

#include <optional>
#include <set>
#include <vector>

namespace dotterel {

/// Data on which the selection of servers is based.
struct ChoiceView {
  const BackendDirectory &m_Directory;
  const LoadTracker &m_Loads;
  const OutlierDetector &m_Health;
  const ServerRateLimits &m_RateLimits;
  const Distance &m_Distance;
  Random &m_Random;
};

/// Returns the servers of \p Service that may receive a request: those that are
/// not in \p Excluded, whose request rates permit one, and that are not
/// ejected. Ejected servers are included if too many are ejected. Servers in
/// backoff are returned only if no other server is left.
auto candidates(const ChoiceView &View, const ServiceId &Service,
                const std::set<BackendId> &Excluded, MonotonicTime Now)
    -> std::vector<const BackendRecord *>;

/// Returns the shortest time after which a server of \p Service permits a
/// request whose request rate is used up now; nothing if there is no such
/// server.
auto timeToRatePermit(const ChoiceView &View, const ServiceId &Service,
                      MonotonicTime Now) -> std::optional<Duration>;

struct ServerChoiceOptions {
  /// Estimated time of one request, by which load is compared with distance.
  Duration m_WorkTime = Milliseconds(60);
  /// Costs of a server in another data centre of the region, and in another
  /// region: round trips over links that are billed by volume.
  Duration m_RegionPenalty = Milliseconds(10);
  Duration m_RemotePenalty = Milliseconds(150);
};

/// Selects the server with the lowest expected time, including the distance.
class ServerChoice {
public:
  explicit ServerChoice(const ServerChoiceOptions &Options)
      : m_Options(Options) {}

  /// Returns null if there is no server.
  [[nodiscard]] auto choose(const ChoiceView &View, const ServiceId &Service,
                            const std::set<BackendId> &Excluded,
                            MonotonicTime Now) const -> const BackendRecord *;

private:
  ServerChoiceOptions m_Options;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_SERVERCHOICE_H
