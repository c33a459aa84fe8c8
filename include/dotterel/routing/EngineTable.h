//===- EngineTable.h - Known backend servers --------------------*- C++ -*-===//
///
/// \file
/// Backend servers with their reported load and this gate's work on them.
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

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dotterel {

struct EngineTableOptions {
  std::size_t m_CachedPieces = 512; ///< Remembered for each engine.
  /// Round trips, for the cost of distance.
  Duration m_DataCentreDistance = Milliseconds(2);
  Duration m_RegionDistance = Milliseconds(60);
  /// Work in flight for each slot of an engine before a request waits here.
  double m_Overcommit = 1.25;
  /// Engines of each model that one gate keeps track of, so that its control
  /// traffic does not grow with the fleet. Nearer ones go first; among equally
  /// near ones each gate takes others.
  std::size_t m_EnginesPerModel = 24;
  /// Before a server that was unreachable and sends no load report is tried
  /// again.
  Duration m_UnreachablePause = Seconds(2);
  /// By how much engines' load reports lag.
  Duration m_ReportLag = Duration::zero();
  /// How long the number of requests on an engine stays alike: about as long
  /// as a request. Older figures say little but in the mean.
  Duration m_LoadMemory = Seconds(1);
  /// Time over which other gates' requests on an engine are averaged.
  Duration m_MeanTime = Seconds(3);
  OutlierOptions m_Outliers;
};

/// A request on its way to or on an engine.
struct FlightPlan {
  RequestId m_Request;
  AttemptId m_Attempt;
  RequestDigest m_Digest;
  Work m_Work;
  std::vector<std::uint64_t> m_Pieces;
  bool m_Alone = false; ///< Takes the engine for itself.
};

/// What a request needs of an engine.
struct EngineQuery {
  RequestId m_Request;
  ModelId m_Model;
  Work m_Work;
  std::vector<std::uint64_t> m_Pieces;
  bool m_CheapAllowed = true;
  bool m_Alone = false;
  /// Tried already: chosen again only when no other engine is in reach.
  std::set<BackendId> m_Tried;
};

/// Known backend servers.
///
/// \invariant An engine's own in-flight figures equal the sum over its flights.
class EngineTable {
public:
  EngineTable(Location Self, const EngineTableOptions &Options)
      : m_Self(std::move(Self)), m_Options(Options),
        m_Outliers(Options.m_Outliers) {}

  /// Takes over the platform's list. A server that the list calls leaving, or
  /// that a peer does, gets no new work.
  auto updateList(const std::vector<Backend> &Listed) -> void;

  auto updateLoad(const BackendId &Id, const EngineLoad &Load,
                  MonotonicTime Now) -> void;

  /// Notes that a server could not be reached or was lost: it gets no work
  /// until it reports its load again or a pause has passed.
  auto markUnreachable(const BackendId &Id, MonotonicTime Now) -> void;

  /// Notes that a server leaves, whatever the list says.
  auto markLeaving(const BackendId &Id) -> void;
  [[nodiscard]] auto leaving() const -> std::vector<BackendId>;

  /// Engines that may take the request at this moment, with their figures.
  /// Complexity: linear in the number of engines.
  [[nodiscard]] auto candidates(const EngineQuery &Query,
                                MonotonicTime Now) const
      -> std::vector<Candidate>;

  /// Keeps new work off one engine until \p Query's request, which must run
  /// alone, has begun there. Does nothing when one is kept already.
  auto reserve(const EngineQuery &Query, MonotonicTime Now) -> void;

  /// Gives a reservation back.
  auto unreserve(const RequestId &Request) -> void;

  /// Says on which engines this gate may run requests alone. Gates that agree
  /// on this never run two suspects on one engine, where a loss would blame
  /// both.
  auto setAloneOwner(std::function<bool(const BackendId &)> Owner) -> void {
    m_AloneOwner = std::move(Owner);
  }

  /// Backend servers drained by an operator's or the planner's order, in place
  /// of those before.
  auto setDrained(const std::set<BackendId> &Drained) -> void {
    m_Drained = Drained;
  }

  /// Whether any engine, busy or not, serves \p Model.
  [[nodiscard]] auto serves(const ModelId &Model) const -> bool;
  /// Requests on the engines in use, as a part of their slots; 1 without any.
  /// Complexity: linear.
  [[nodiscard]] auto utilisation(MonotonicTime Now) const -> double;
  [[nodiscard]] auto models() const -> std::vector<ModelId>;

  /// A backend server of a plain service, in turn; nothing when none is left.
  auto pickService(const std::string &Service, bool CheapAllowed,
                   const std::set<BackendId> &Excluded, MonotonicTime Now)
      -> std::optional<Backend>;

  auto begin(const BackendId &Id, const FlightPlan &Flight) -> void;
  auto end(const BackendId &Id, const AttemptId &Attempt) -> void;
  /// The engine has produced its first token: the prefill is done.
  auto prefilled(const BackendId &Id, const AttemptId &Attempt) -> void;

  /// Requests of this gate on \p Id.
  [[nodiscard]] auto runningOn(const BackendId &Id) const
      -> std::vector<RunningRequest>;

  [[nodiscard]] auto find(const BackendId &Id) const -> const Backend *;
  [[nodiscard]] auto load(const BackendId &Id) const
      -> std::optional<EngineLoad>;
  /// When the newest load report came; the clock's epoch if there is none.
  [[nodiscard]] auto reportedAt(const BackendId &Id) const -> MonotonicTime;
  [[nodiscard]] auto all() const -> std::vector<Backend>;
  [[nodiscard]] auto inFlight(const BackendId &Id) const -> std::size_t;
  [[nodiscard]] auto outliers() -> OutlierDetector & { return m_Outliers; }

private:
  struct Entry {
    Backend m_Backend;
    std::optional<EngineLoad> m_Load;
    MonotonicTime m_ReportedAt;
    MonotonicTime m_UnreachableUntil; ///< Epoch: it is not.
    std::map<AttemptId, FlightPlan> m_Flights;
    double m_OwnPrefill = 0; ///< Tokens not yet prefilled.
    double m_Others = 0;     ///< Other gates' requests, by the newest report.
    double m_OthersMean = 0; ///< And in the mean of the reports.
    bool m_TakenAlone = false;
    RequestId m_ReservedFor; ///< Empty: for anyone.
    PrefixIndex m_Prefixes;
  };

  /// Whether the engine, busy or not, is in reach and would do.
  [[nodiscard]] auto suits(const Entry &Item, const EngineQuery &Query,
                           MonotonicTime Now) const -> bool;
  /// Whether it takes the request now, but for the room in its batch.
  [[nodiscard]] static auto accepts(const Entry &Item, const EngineQuery &Query)
      -> bool;
  /// Engines that suit, without those that were tried unless no other does.
  [[nodiscard]] auto suitable(const EngineQuery &Query, MonotonicTime Now) const
      -> std::vector<const Entry *>;
  /// The listed servers that this gate keeps track of.
  [[nodiscard]] auto subset(const std::vector<Backend> &Listed) const
      -> std::vector<Backend>;
  auto observeOthers(Entry &Item, const EngineLoad &Load, MonotonicTime Now)
      -> void;
  /// Requests to expect on the engine: this gate's own, which it knows, and
  /// the other gates', between the newest report and the mean by its age.
  [[nodiscard]] auto runningNow(const Entry &Item, MonotonicTime Now) const
      -> double;
  /// Leaves only engines without any gate's work, if there is one.
  static auto preferIdle(std::vector<Candidate> &Engines) -> void;
  /// Leaves only this gate's engines, if there are any. A busy engine of our
  /// own is waited for rather than another gate's taken.
  auto preferOwned(std::vector<const Entry *> &Engines) const -> void;
  [[nodiscard]] auto candidateOf(const Entry &Item, const EngineQuery &Query,
                                 MonotonicTime Now) const -> Candidate;
  [[nodiscard]] auto distance(const Backend &Server) const -> Duration;

  Location m_Self;
  EngineTableOptions m_Options;
  std::map<BackendId, Entry> m_Entries;
  std::set<BackendId> m_Leaving;
  std::set<BackendId> m_Drained;
  std::function<bool(const BackendId &)> m_AloneOwner;
  OutlierDetector m_Outliers;
  std::size_t m_NextService = 0;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_ENGINETABLE_H
