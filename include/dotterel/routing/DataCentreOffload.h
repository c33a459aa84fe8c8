//===- DataCentreOffload.h - Requests sent to other data centres -*- C++
//-*-===//
///
/// \file
/// Decides whether the requests of a service leave this host's data centre, to
/// which data centres, and which share of them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_DATACENTREOFFLOAD_H
#define DOTTEREL_ROUTING_DATACENTREOFFLOAD_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Random.h"
#include "dotterel/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

struct OffloadOptions {
  bool m_Enabled = false;
  /// Pressure from which requests leave, and below which they stay again. At 1
  /// all places are taken, or a new request waits for its whole latency target.
  double m_LeavePressure = 0.9;
  double m_ReturnPressure = 0.7;
  /// Pressure from which requests leave that may not be sent again: a link that
  /// fails between data centres leaves it unknown whether they ran.
  double m_UnsafeLeavePressure = 1.0;
  /// Maximum pressure of a data centre that takes requests of others. At most
  /// m_ReturnPressure, so that it does not have to send requests away itself.
  double m_LendPressure = 0.7;
  /// Share of a lender's free places that all borrowers together may take
  /// between two decisions: its figures do not contain the latest requests yet.
  double m_LendShare = 0.5;
  /// Interval between two decisions, which is that of the figures.
  Duration m_Interval = Milliseconds(200);
  /// Age from which the figures of a data centre count as unknown: two sums in
  /// a row were lost.
  Duration m_MaxAge = Milliseconds(600);
  /// Time in which half of a change of the pressure is taken over.
  Duration m_HalfLife = Milliseconds(200);
  /// Minimum time between leaving and staying.
  Duration m_MinHold = Seconds(1);
  /// Time after which an unused route is forgotten.
  Duration m_RouteExpiry = Seconds(60);
  /// Waiting time that equals the price of a megabyte over a link within the
  /// region, and between regions.
  Duration m_RegionMegabytePrice = Milliseconds(5);
  Duration m_RemoteMegabytePrice = Milliseconds(20);
  Duration m_RegionRoundTrip = Milliseconds(2);
  Duration m_RemoteRoundTrip = Milliseconds(60);
};

/// What is known of the servers of one service in one data centre.
struct DataCentreFigures {
  DataCentreId m_DataCentre;
  /// Whether it is in another region.
  bool m_Remote = false;
  double m_Slots = 0;
  /// Requests in flight of all hosts, as a share of the slots; the higher one
  /// if a request passes through two stages.
  double m_Occupancy = 0;
  /// Expected time that a new request waits.
  Duration m_Wait{};
  /// Time that a further request adds to m_Wait.
  Duration m_WaitPerRequest{};
  /// Age of the latest report of its hosts; empty if there is none.
  std::optional<Duration> m_Age;
  /// Whether a request can be served there as a whole. Otherwise its KV cache
  /// crosses the link.
  bool m_AllStages = true;
};

/// Figures of one service at one time.
struct OffloadFigures {
  DataCentreFigures m_Own;
  std::vector<DataCentreFigures> m_Others;
  /// Live hosts of this data centre, including this one.
  std::size_t m_Hosts = 1;
};

/// Why the requests of a route stay or leave.
enum class OffloadReason : std::uint8_t {
  Disabled,
  Room,          ///< This data centre has room.
  NoServer,      ///< This data centre has no server of the service.
  OldFigures,    ///< Nothing recent is known of any other data centre.
  LendersFull,   ///< No other data centre has free places.
  NotWorthwhile, ///< The wait elsewhere is longer, or the traffic too dear.
  Leaving,
};
inline constexpr auto OffloadReasonCount = std::size_t{7};

auto nameOf(OffloadReason Reason) -> const char *;

/// One request, as far as the decision depends on it.
struct OffloadRequest {
  RouteId m_Route;
  Duration m_Target{}; ///< The route's latency target.
  bool m_Repeatable = true;
  double m_Bytes = 0; ///< That cross the link if it is served elsewhere.
  /// That cross it as well if it is not served there as a whole.
  double m_CacheBytes = 0;
};

/// Where one request should be served.
struct OffloadChoice {
  OffloadReason m_Reason = OffloadReason::Disabled;
  DataCentreId m_Own;
  /// Data centre that lends its servers to the request; empty if none does.
  std::optional<DataCentreId> m_Lender;
  Duration m_RoundTrip{}; ///< To m_Lender.
  Duration m_Target{};

  /// Returns whether the choice affects the comparison of servers.
  [[nodiscard]] auto active() const -> bool;
  /// Returns the time by which the cost of a server in \p DataCentre changes in
  /// a comparison of servers. \p Distance is the cost of the distance that is
  /// already contained in it.
  [[nodiscard]] auto bias(const DataCentreId &DataCentre,
                          Duration Distance) const -> Duration;

  /// Returns the choice for the decode stage of a prompt that was prefilled in
  /// \p PrefilledIn.
  [[nodiscard]] auto forDecode(const DataCentreId &PrefilledIn) const
      -> OffloadChoice;
};

/// Decides for one service on one host.
///
/// A route's requests leave if their data centre is under pressure and the
/// caller gets a response within the latency target elsewhere, after the round
/// trip and the price of the bytes. The share that leaves relieves this data
/// centre down to the middle of the two thresholds; it follows the pressure
/// continuously, so that hosts of one data centre do not swing together.
///
/// \invariant The shares of a route add up to at most 1.
/// \invariant The hosts of all other data centres together take at most
/// m_LendShare of the free places of a lender in an interval, rounded up to one
/// request for each host: each of them only uses its equal part.
class DataCentreOffload {
public:
  DataCentreOffload(std::string Service, const OffloadOptions &Options,
                    Random &Random);

  /// Returns whether new figures are needed.
  [[nodiscard]] auto due(MonotonicTime Now) const -> bool {
    return m_Options.m_Enabled && Now >= m_NextUpdate;
  }
  auto update(OffloadFigures Figures, MonotonicTime Now) -> void;

  /// Chooses for a new request. Without figures it stays.
  auto choose(const OffloadRequest &Request, MonotonicTime Now)
      -> OffloadChoice;

  /// Returns the share of a route's requests that should be sent to each data
  /// centre.
  [[nodiscard]] auto shares(const RouteId &Route) const
      -> std::map<DataCentreId, double>;
  /// Returns the latest smoothed pressure of the routes, the highest one.
  [[nodiscard]] auto pressure() const -> double;
  /// Returns the lowest occupancy of another data centre with recent figures.
  [[nodiscard]] auto lowestOccupancyElsewhere() const -> double;
  /// Returns the requests that this host may still send to a lender.
  [[nodiscard]] auto credit(const DataCentreId &Lender) const -> double;

private:
  struct RouteState {
    MonotonicTime m_UsedAt;
    MonotonicTime m_DecidedAt;
    MonotonicTime m_ChangedAt;  ///< When m_Pressed changed.
    std::uint64_t m_Update = 0; ///< Number of the latest figures used.
    Duration m_Target{};
    OffloadReason m_Reason = OffloadReason::Room;
    OffloadReason m_LoggedReason = OffloadReason::Room;
    MonotonicTime m_LoggedAt;
    bool m_Pressed = false;
    double m_Pressure = 0;
    double m_Arrivals = 0; ///< Since the latest decision.
    double m_Expected = 0; ///< Arrivals in an interval, smoothed.
    std::map<DataCentreId, double> m_Shares;
  };

  [[nodiscard]] auto roundTrip(const DataCentreFigures &Figures) const
      -> Duration;
  [[nodiscard]] auto fresh(const DataCentreFigures &Figures) const -> bool;
  /// Returns the requests that a host may send to a lender in an interval.
  [[nodiscard]] auto room(const DataCentreFigures &Lender,
                          Duration Target) const -> double;
  [[nodiscard]] auto worthwhile(const DataCentreFigures &Lender,
                                const OffloadRequest &Request,
                                double Pressure) const -> bool;
  auto decide(RouteState &State, const OffloadRequest &Request,
              MonotonicTime Now) -> void;
  auto distribute(RouteState &State, const OffloadRequest &Request,
                  double Share) -> OffloadReason;
  /// Adds what this host may send to each lender until the next update.
  auto refillCredits(MonotonicTime Now) -> void;
  /// Logs that a route's reason has changed, at most once in m_MinHold.
  auto logChange(RouteState &State, const RouteId &Route,
                 MonotonicTime Now) const -> void;

  std::string m_Service;
  OffloadOptions m_Options;
  Random &m_Random;
  OffloadFigures m_Figures;
  std::uint64_t m_Updates = 0;
  MonotonicTime m_NextUpdate;
  std::map<RouteId, RouteState> m_Routes;
  std::map<DataCentreId, double> m_Credits;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_DATACENTREOFFLOAD_H
