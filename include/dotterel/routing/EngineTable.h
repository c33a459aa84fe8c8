//===- EngineTable.h - Table of backend servers -----------------*- C++ -*-===//
///
/// \file
/// Backend servers with their reported load and this gate's requests on them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_ENGINETABLE_H
#define DOTTEREL_ROUTING_ENGINETABLE_H

#include "dotterel/fleet/Backend.h"
#include "dotterel/membership/Member.h"
#include "dotterel/poison/CrashRegistry.h"
#include "dotterel/routing/Candidate.h"
#include "dotterel/routing/OutlierDetector.h"
#include "dotterel/routing/PrefixIndex.h"
#include "dotterel/routing/ServerAccess.h"
#include "dotterel/routing/ServerRateLimits.h"
#include "dotterel/routing/StreamOrigin.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dotterel {

struct EngineTableOptions {
  std::size_t m_MaxCachedBlocks = 512; ///< For each engine.
  /// Assumed round-trip time to another data centre of the region.
  Duration m_DataCentreRoundTrip = Milliseconds(2);
  /// Assumed round-trip time to another region.
  Duration m_RegionRoundTrip = Milliseconds(60);
  /// Requests in flight per slot of an engine from which on further requests
  /// wait at the gate.
  double m_Overcommit = 1.25;
  /// Maximum number of engines of each model that one gate tracks. It keeps a
  /// gate's control traffic from growing with the fleet. Nearer engines are
  /// preferred; among equally near ones each gate selects different ones.
  std::size_t m_MaxEnginesPerModel = 24;
  /// Delay before an unreachable server that sends no load report is used
  /// again.
  Duration m_UnreachableRetryDelay = Seconds(2);
  /// Age of a load report when it arrives.
  Duration m_ReportLag = Duration::zero();
  /// Time constant with which the correlation between a load report and the
  /// present load decays: about the duration of a request. Older reports
  /// contribute only through their mean.
  Duration m_LoadCorrelationTime = Seconds(1);
  /// Time constant for averaging the other gates' requests on an engine.
  Duration m_AveragingTime = Seconds(3);
  OutlierOptions m_Outliers;
  ServerRateLimitOptions m_RateLimits;
  ServerAccessOptions m_Access;
};

/// An attempt of a request that was sent to an engine and has not ended.
struct InFlightRequest {
  RequestId m_Request;
  AttemptId m_Attempt;
  RequestDigest m_Digest;
  Work m_Work;
  std::vector<std::uint64_t> m_PrefixBlocks;
  bool m_Alone = false; ///< No other request may run on the engine.
  MonotonicTime m_SentAt;
};

/// Requirements that a request has for its engine.
struct EngineQuery {
  RequestId m_Request;
  ModelId m_Model;
  Work m_Work;
  std::vector<std::uint64_t> m_PrefixBlocks;
  bool m_CheapAllowed = true;
  bool m_Alone = false;
  /// Engines that were tried before; they are used again only when no other
  /// engine is reachable.
  std::set<BackendId> m_Tried;
  /// Data centres where the request lost engines. A request that must run
  /// alone uses them only when no engine elsewhere is reachable.
  std::set<DataCentreId> m_LostIn;
  /// Origin of the stream that the request goes on with, if it does.
  std::optional<StreamOrigin> m_Stream;
};

/// Table of backend servers.
///
/// \invariant The prefill tokens counted as this gate's own on an engine equal
/// the sum over its requests in flight there.
class EngineTable {
public:
  EngineTable(Location Self, const EngineTableOptions &Options);

  /// Updates the table from the platform's list. A server that is leaving
  /// according to the list or to a peer gets no new requests.
  auto updateList(const std::vector<Backend> &Listed) -> void;

  /// Records a load report that arrived at \p Now.
  auto updateLoad(const BackendId &Id, const EngineLoad &Load,
                  MonotonicTime Now) -> void;

  /// Marks a server as unreachable. It gets no requests until it reports its
  /// load again or m_UnreachableRetryDelay has passed.
  auto markUnreachable(const BackendId &Id, MonotonicTime Now) -> void;

  /// Sets whether a server is being checked for its loss. It gets no requests
  /// meanwhile.
  auto setUnderCheck(const BackendId &Id, bool UnderCheck) -> void;

  /// Marks a server as leaving, regardless of the platform's list.
  auto markLeaving(const BackendId &Id) -> void;
  [[nodiscard]] auto leaving() const -> std::vector<BackendId>;

  /// Returns the engines that can accept the request now, with their load.
  /// Complexity: linear in the number of engines.
  [[nodiscard]] auto candidates(const EngineQuery &Query,
                                MonotonicTime Now) const
      -> std::vector<Candidate>;

  /// Reserves an engine for \p Query's request, which must run alone: the
  /// engine gets no other requests until that request has begun. Does nothing
  /// when the request holds a reservation already.
  auto reserve(const EngineQuery &Query, MonotonicTime Now) -> void;

  /// Cancels the reservation of \p Request, if there is one.
  auto unreserve(const RequestId &Request) -> void;

  /// Sets the predicate for engines on which this gate may run requests alone.
  /// Gates whose predicates are disjoint never run two requests suspected of
  /// crashing engines on the same engine, where a crash would be attributed to
  /// both.
  auto setExclusiveOwner(std::function<bool(const BackendId &)> Owner) -> void {
    m_ExclusiveOwner = std::move(Owner);
  }

  /// Replaces the set of backend servers that are drained by an operator or by
  /// the planner.
  auto setDrained(const std::set<BackendId> &Drained) -> void {
    m_Drained = Drained;
  }

  /// Returns whether any engine, busy or not, serves \p Model.
  [[nodiscard]] auto serves(const ModelId &Model) const -> bool;
  /// Returns whether any engine, busy or not, may go on with a stream of
  /// \p Origin.
  [[nodiscard]] auto continues(const ModelId &Model,
                               const StreamOrigin &Origin) const -> bool;
  /// Returns the running requests as a fraction of the slots, over all engines
  /// that report their load and are not leaving; 1 when there is none.
  /// Complexity: linear in the number of engines.
  [[nodiscard]] auto utilisation(MonotonicTime Now) const -> double;
  [[nodiscard]] auto models() const -> std::vector<ModelId>;

  /// Returns a backend server of a plain service, by round robin over the
  /// nearest ones; nothing when no server is available.
  auto pickService(const std::string &Service, bool CheapAllowed,
                   const std::set<BackendId> &Excluded, MonotonicTime Now)
      -> std::optional<Backend>;

  /// Returns the shortest time after which a server of a plain service may
  /// receive requests again, if a pause or its request rate is the reason why
  /// it may not; nothing if there is no such server.
  [[nodiscard]] auto timeToOpen(const std::string &Service,
                                MonotonicTime Now) const
      -> std::optional<Duration>;

  /// Returns why \p Id may be sent nothing of this kind now.
  [[nodiscard]] auto check(const BackendId &Id, SendPurpose Purpose,
                           MonotonicTime Now) const -> SendDenial;

  /// Returns the permission to send to \p Id now. A request is counted against
  /// the server's rate.
  [[nodiscard]] auto admit(const BackendId &Id, SendPurpose Purpose,
                           MonotonicTime Now) -> SendDecision;

  /// Records what a response of the server states.
  auto recordNotice(const BackendId &Id, const ServerNotice &Notice,
                    MonotonicTime Now) -> void;

  /// Records that an attempt was sent to the engine.
  auto begin(const BackendId &Id, const InFlightRequest &Flight) -> void;
  /// Records that an attempt has ended; does nothing when it is unknown.
  auto end(const BackendId &Id, const AttemptId &Attempt) -> void;
  /// Records that the engine has prefilled the prompt, as its first token
  /// shows.
  auto markPrefilled(const BackendId &Id, const AttemptId &Attempt) -> void;

  /// Returns this gate's requests on \p Id.
  [[nodiscard]] auto runningOn(const BackendId &Id) const
      -> std::vector<RunningRequest>;

  [[nodiscard]] auto find(const BackendId &Id) const -> const Backend *;
  [[nodiscard]] auto load(const BackendId &Id) const
      -> std::optional<EngineLoad>;
  /// Returns when the latest load report arrived; the clock's epoch if there is
  /// none.
  [[nodiscard]] auto reportedAt(const BackendId &Id) const -> MonotonicTime;
  [[nodiscard]] auto all() const -> std::vector<Backend>;
  [[nodiscard]] auto inFlight(const BackendId &Id) const -> std::size_t;
  [[nodiscard]] auto outliers() -> OutlierDetector & { return m_Outliers; }
  [[nodiscard]] auto rateLimits() -> ServerRateLimits & {
    return m_Access.rateLimits();
  }

private:
  struct Entry {
    Backend m_Backend;
    std::optional<EngineLoad> m_Load;
    MonotonicTime m_ReportedAt;
    MonotonicTime m_UnreachableUntil; ///< The epoch when reachable.
    std::map<AttemptId, InFlightRequest> m_InFlight;
    double m_OwnPrefillTokens = 0; ///< Tokens not yet prefilled.
    /// Other gates' requests according to the latest report.
    double m_OtherGatesRunning = 0;
    double m_OtherGatesMean = 0; ///< Averaged over the reports.
    bool m_RunsAlone = false;
    bool m_UnderCheck = false;
    RequestId m_ReservedFor; ///< Empty when not reserved.
    PrefixIndex m_Prefixes;
  };

  /// Returns whether the engine, busy or not, is reachable and meets the
  /// requirements of \p Query.
  [[nodiscard]] auto isUsable(const Entry &Item, const EngineQuery &Query,
                              MonotonicTime Now) const -> bool;
  /// Returns whether reservations and requests that run alone let the engine
  /// accept the request; its free slots are not considered.
  [[nodiscard]] static auto isOpenTo(const Entry &Item,
                                     const EngineQuery &Query) -> bool;
  /// Returns the usable engines, without those tried before unless no other one
  /// is usable.
  [[nodiscard]] auto usableEngines(const EngineQuery &Query,
                                   MonotonicTime Now) const
      -> std::vector<const Entry *>;
  /// Returns the listed servers that this gate tracks.
  [[nodiscard]] auto subset(const std::vector<Backend> &Listed) const
      -> std::vector<Backend>;
  /// Updates the number of other gates' requests from a load report.
  auto updateOtherGatesLoad(Entry &Item, const EngineLoad &Load,
                            MonotonicTime Now) -> void;
  /// Returns the expected number of requests on the engine: this gate's own,
  /// which are known exactly, and the other gates', interpolated between the
  /// latest report and the mean according to the report's age.
  [[nodiscard]] auto expectedRunning(const Entry &Item, MonotonicTime Now) const
      -> double;
  /// Removes engines that run requests of any gate, unless all do.
  static auto preferIdle(std::vector<Candidate> &Engines) -> void;
  /// Removes engines in data centres where the request lost engines, unless
  /// none would remain.
  static auto preferOtherDataCentres(std::vector<const Entry *> &Engines,
                                     const EngineQuery &Query) -> void;
  /// Removes engines on which this gate may not run requests alone, unless none
  /// would remain. A busy engine of its own is waited for in preference to
  /// using another gate's.
  auto preferOwned(std::vector<const Entry *> &Engines) const -> void;
  [[nodiscard]] auto makeCandidate(const Entry &Item, const EngineQuery &Query,
                                   MonotonicTime Now) const -> Candidate;
  /// Returns the assumed round-trip time to \p Server.
  [[nodiscard]] auto roundTripTo(const Backend &Server) const -> Duration;
  [[nodiscard]] auto targetOf(const Entry &Item) const -> SendTarget;

  Location m_Self;
  EngineTableOptions m_Options;
  std::map<BackendId, Entry> m_Entries;
  std::set<BackendId> m_Leaving;
  std::set<BackendId> m_Drained;
  std::function<bool(const BackendId &)> m_ExclusiveOwner;
  OutlierDetector m_Outliers;
  ServerAccess m_Access;
  std::size_t m_NextService = 0;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_ENGINETABLE_H
