//===- ServerChoice.h - Server selection for plain services -----*- C++ -*-===//
///
/// \file
/// Selects servers of plain services by load, health and distance.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_SERVERCHOICE_H
#define DOTTEREL_SERVING_SERVERCHOICE_H

#include "dotterel/base/Random.h"
#include "dotterel/routing/DataCentreOffload.h"
#include "dotterel/routing/OutlierDetector.h"
#include "dotterel/routing/ServerAccess.h"
#include "dotterel/routing/ServerSpeeds.h"
#include "dotterel/routing/StreamOrigin.h"
#include "dotterel/serving/BackendDirectory.h"
#include "dotterel/serving/Distance.h"
#include "dotterel/serving/LoadTracker.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace dotterel {

/// Data on which the selection of servers is based.
struct ChoiceView {
  const BackendDirectory &m_Directory;
  const LoadTracker &m_Loads;
  const OutlierDetector &m_Health;
  const ServerAccess &m_Access;
  const ServerSpeeds &m_Speeds;
  const Distance &m_Distance;
  Random &m_Random;
  /// Where the request should be served; by default no data centre is preferred
  /// beyond its distance.
  OffloadChoice m_Offload = {};
  /// Stream that the request goes on with: only servers that may do so are
  /// considered. Null: it begins a stream, or none.
  const StreamOrigin *m_Stream = nullptr;

  [[nodiscard]] auto mayServe(const BackendRecord &Server) const -> bool {
    return m_Stream == nullptr ||
           mayContinue(*m_Stream, Server.m_Service.text(), Server.m_Version);
  }
};

/// Returns the servers of \p Service that may receive a request: those that are
/// not in \p Excluded and to which one may be sent now. Ejected servers are
/// included if too many are ejected. Servers in backoff, which have refused a
/// request without a time, are returned only if no other server is left.
auto candidates(const ChoiceView &View, const ServiceId &Service,
                const std::set<BackendId> &Excluded, MonotonicTime Now)
    -> std::vector<const BackendRecord *>;

/// Why the servers of a service may not receive requests now.
struct ServiceDenials {
  /// Number of registered servers by reason.
  std::map<SendDenial, std::size_t> m_Counts;
  /// Shortest time after which one of them may receive a request again, if a
  /// pause or a request rate is the reason.
  std::optional<Duration> m_TimeToOpen;

  /// Returns a description for the log and the caller.
  [[nodiscard]] auto text() const -> std::string;
};

/// Complexity: linear in the number of registered servers.
auto denialsOf(const ChoiceView &View, const ServiceId &Service,
               MonotonicTime Now) -> ServiceDenials;

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
