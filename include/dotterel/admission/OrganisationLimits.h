//===- OrganisationLimits.h - Limits of organisations -----------*- C++ -*-===//
///
/// \file
/// Decides whether a request is within the limit of its organisation, which all
/// hosts keep together.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ADMISSION_ORGANISATIONLIMITS_H
#define DOTTEREL_ADMISSION_ORGANISATIONLIMITS_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Random.h"
#include "dotterel/base/Units.h"
#include "dotterel/routing/ServerRateLimits.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dotterel {

/// What the limit of an organisation counts.
enum class LimitUnit : std::uint8_t { Requests, Tokens };

/// An amount in the unit of a limit: requests or tokens.
class LimitAmount {
public:
  constexpr LimitAmount() = default;
  explicit constexpr LimitAmount(double Value) : m_Value(Value) {}

  [[nodiscard]] constexpr auto number() const -> double { return m_Value; }

  auto operator<=>(const LimitAmount &) const = default;

private:
  double m_Value = 0;
};

/// Limit of an organisation over all hosts.
struct OrganisationLimit {
  LimitUnit m_Unit = LimitUnit::Requests;
  LimitAmount m_PerSecond;
  LimitAmount m_Burst;
  /// Tokens of a request that does not state its number of tokens.
  LimitAmount m_UnstatedTokens;

  auto operator==(const OrganisationLimit &) const -> bool = default;

  /// Returns what a request of \p Tokens tokens counts; empty: not stated.
  [[nodiscard]] auto amountOf(std::optional<TokenCount> Tokens) const
      -> LimitAmount;
};

using OrganisationLimitTable =
    std::unordered_map<OrganisationId, OrganisationLimit>;

/// Number of windows in which use is measured.
inline constexpr auto UseWindows = std::size_t{7};
using UseByWindow = std::array<double, UseWindows>;

/// Use of organisations by a host, or by all hosts of a data centre.
struct OrganisationUse {
  struct Entry {
    OrganisationId m_Organisation;
    LimitUnit m_Unit = LimitUnit::Requests;
    /// Demand per second, including what was refused.
    double m_Demand = 0;
    UseByWindow m_Use{};
    /// Use over all hosts that the sender hears, in the window of the bound.
    double m_Total = 0;
  };

  bool m_WholeDataCentre = false;
  /// As in LoadSummary.
  HostId m_Distributor;
  std::uint64_t m_Incarnation = 0; ///< Of the process that reports.
  std::uint64_t m_Number = 0;      ///< Increases with each of its reports.
  /// Number of hosts whose use is included.
  std::uint32_t m_Hosts = 1;
  std::vector<Entry> m_Entries;

  /// Maximum number of entries in a message.
  static constexpr auto MaxEntries = std::size_t{64};
};

struct OrganisationLimitOptions {
  /// Length of the windows in which the bound below must hold.
  Duration m_Window = Seconds(8);
  /// Amount by which a window may exceed its limit: this share of the limit,
  /// and a fixed amount in the unit of the limit.
  double m_Overshoot = 0;
  LimitAmount m_Slack;
  /// Time without a report after which a host or data centre is not heard.
  Duration m_ReportTimeout = Milliseconds(600);
  /// Time after which the use of a host is known to the others, at the latest
  /// while none is lost, and usually.
  Duration m_ReportDelay = Milliseconds(500);
  Duration m_UsualReportDelay = Milliseconds(300);
  /// Share of the registered hosts that must be heard by a host whose own
  /// registration may be over: the others may have divided its share.
  double m_Quorum = 0.75;
  Duration m_MinRetryAfter = Milliseconds(100);
  Duration m_MaxRetryAfter = Seconds(8);
};

/// Why a request was not granted.
enum class LimitDenial : std::uint8_t {
  None,
  HostsUnknown, ///< The registered hosts have not been read yet.
  Starting,     ///< The use before the start of this process is unknown.
  Exhausted,
  Contended, ///< Other hosts are likely to use what is left.
};

/// Returns the name used in logs and metrics.
auto nameOf(LimitDenial Denial) -> const char *;

/// What was charged for a request.
struct LimitCharge {
  OrganisationId m_Organisation;
  LimitUnit m_Unit = LimitUnit::Requests;
  LimitAmount m_Amount;
  MonotonicTime m_At;
};

struct LimitDecision {
  LimitDenial m_Denial = LimitDenial::None;
  /// Empty if the organisation has no limit.
  std::optional<LimitCharge> m_Charge;
  /// Time until the same request is likely to be granted.
  Duration m_RetryAfter{};
  LimitAmount m_Requested;
  /// What was left of the limit before the request; negative if it was
  /// exceeded.
  LimitAmount m_Left;
  Duration m_OldestReport{}; ///< Age of the oldest report that was used.

  [[nodiscard]] auto granted() const -> bool {
    return m_Denial == LimitDenial::None;
  }
};

/// Figures for metrics, over all organisations with a limit.
struct LimitFigures {
  std::size_t m_Limits = 0;
  std::size_t m_InUse = 0; ///< Used at this host.
  /// Highest use of an organisation in a window, as a share of its limit; among
  /// those that this host uses most.
  double m_MaxUse = 0;
  /// Part of that use which is this host's.
  double m_OwnPart = 0;
  std::size_t m_UnheardHosts = 0;
};

/// Keeps the limits of organisations over all hosts without a coordinator.
///
/// Each host reports its use of each organisation in windows of several
/// lengths. A host grants a request if in each window its own use, the use that
/// others have reported, and the share of each registered host that is not
/// heard are within the limit. So a host may use the whole limit as long as it
/// hears all others, and only its own equal share if it hears none.
///
/// \invariant A process starts as if the organisation had used up its limit.
class OrganisationLimits {
public:
  /// \p Incarnation differs from that of each earlier process of this host.
  OrganisationLimits(Random &Random, std::uint64_t Incarnation,
                     MonotonicTime Now,
                     const OrganisationLimitOptions &Options);

  /// Sets the limits of a configuration. The known use stays in force.
  auto setLimits(OrganisationLimitTable Limits) -> void;

  /// Sets the registered hosts: this one and the others, with their data
  /// centres. Before the first call nothing is granted.
  auto setHosts(const HostId &Self, const DataCentreId &DataCentre,
                const std::map<HostId, DataCentreId> &Others) -> void;

  /// Sets the time in which the others count this host among the registered
  /// ones.
  auto setTerm(const SenderTerm &Term) -> void { m_Term = Term; }

  /// Charges a request to \p Organisation if it is within the limit.
  auto take(const OrganisationId &Organisation,
            std::optional<TokenCount> Tokens, MonotonicTime Now)
      -> LimitDecision;

  /// Gives back what was charged for a request that no server has run.
  auto refund(const LimitCharge &Charge, MonotonicTime Now) -> void;

  /// Returns whether any limit is set; otherwise there is nothing to report.
  [[nodiscard]] auto active() const -> bool { return !m_Limits.empty(); }

  /// Returns the use by this host, the most used organisations first.
  [[nodiscard]] auto ownReport(MonotonicTime Now) const -> OrganisationUse;

  /// Returns the use by all hosts of this data centre.
  [[nodiscard]] auto dataCentreReport(MonotonicTime Now) const
      -> OrganisationUse;

  /// Records a report that \p Sender of \p DataCentre has sent.
  auto merge(const HostId &Sender, const DataCentreId &DataCentre,
             const OrganisationUse &Report, MonotonicTime Now) -> void;

  /// Discards use and reports that no longer count.
  auto discardOld(MonotonicTime Now) -> void;

  /// Returns the known use in the window of the options.
  [[nodiscard]] auto use(const OrganisationId &Organisation,
                         MonotonicTime Now) const -> LimitAmount;

  [[nodiscard]] auto figures(MonotonicTime Now) const -> LimitFigures;

private:
  /// Use by this host.
  struct Own {
    LimitUnit m_Unit = LimitUnit::Requests;
    std::vector<float> m_Bins;
    std::int64_t m_LastBin = 0;
    double m_Demand = 0; ///< Decaying sum, as of m_DemandAt.
    MonotonicTime m_DemandAt;
    /// Until when callers were told to wait.
    MonotonicTime m_Promised;
  };

  /// Latest report of one process.
  struct Source {
    HostId m_Host;
    DataCentreId m_DataCentre;
    bool m_WholeDataCentre = false;
    MonotonicTime m_ReceivedAt;
    std::uint64_t m_Number = 0;
    std::unordered_map<OrganisationId, OrganisationUse::Entry> m_Entries;
  };

  struct Heard {
    MonotonicTime m_At;
    std::uint32_t m_Hosts = 0; ///< That the report includes.
  };

  /// Registered hosts that are not heard.
  struct Unheard {
    double m_Hosts = 0;
    Duration m_SilentFor{};
  };

  /// What is known of the use of an organisation.
  struct Known {
    UseByWindow m_Use{};
    /// Highest total that another process knows, in the window of the bound.
    double m_Total = 0;
    double m_OthersDemand = 0; ///< Per second.
    Duration m_OldestReport{};
  };

  struct Headroom {
    double m_Least = 0;
    double m_Missing = 0; ///< What the request lacks; 0: it fits.
    Duration m_Wait{};    ///< Until it fits, if nothing else is granted.
    bool m_Starting = false;
  };

  [[nodiscard]] auto windowLength(std::size_t Window) const -> Duration;
  [[nodiscard]] auto binLength() const -> Duration;
  [[nodiscard]] auto binOf(MonotonicTime Time) const -> std::int64_t;
  /// Adds \p Amount, which may be negative, at \p Time.
  auto add(Own &Item, MonotonicTime Time, double Amount,
           MonotonicTime Now) const -> void;
  [[nodiscard]] auto ownUse(const Own &Item, MonotonicTime Now) const
      -> UseByWindow;
  /// Returns for each window how far the use by this host in a length of time
  /// between the next shorter window and it exceeds \p PerSecond, at most.
  [[nodiscard]] auto ownExcess(const Own &Item, double PerSecond,
                               MonotonicTime Now) const -> UseByWindow;
  [[nodiscard]] auto demandOf(const Own &Item, MonotonicTime Now) const
      -> double;
  [[nodiscard]] auto counted(const OrganisationUse::Entry &Entry,
                             std::size_t Window, Duration Age) const -> double;
  [[nodiscard]] auto known(const OrganisationId &Organisation, LimitUnit Unit,
                           MonotonicTime Now) const -> Known;
  [[nodiscard]] auto unheard(MonotonicTime Now) const -> std::vector<Unheard>;
  /// Returns the amount by which a window may exceed the limit.
  [[nodiscard]] auto room(const OrganisationLimit &Limit) const -> double;
  /// Returns the time after which \p Amount of the use in \p Window lies before
  /// it.
  [[nodiscard]] auto timeToExpire(const UseByWindow &Use, std::size_t Window,
                                  double Amount) const -> Duration;
  [[nodiscard]] auto headroom(const OrganisationLimit &Limit, double Amount,
                              const Known &Use, const Own &Item,
                              MonotonicTime Now) const -> Headroom;
  [[nodiscard]] auto retryAfter(Own &Item, const OrganisationLimit &Limit,
                                double Amount, Duration Earliest,
                                double OthersDemand, MonotonicTime Now)
      -> Duration;
  [[nodiscard]] auto windowLimit(const OrganisationLimit &Limit) const
      -> double;
  [[nodiscard]] auto ownEntries(MonotonicTime Now) const
      -> std::vector<OrganisationUse::Entry>;
  /// Returns \p Report with the most used organisations only.
  [[nodiscard]] auto bounded(OrganisationUse Report, MonotonicTime Now) const
      -> OrganisationUse;

  Random &m_Random;
  std::uint64_t m_Incarnation;
  OrganisationLimitOptions m_Options;
  OrganisationLimitTable m_Limits;
  std::unordered_map<OrganisationId, Own> m_Own;
  /// By host, incarnation and kind of report.
  std::map<std::tuple<HostId, std::uint64_t, bool>, Source> m_Sources;
  std::unordered_map<HostId, MonotonicTime> m_HeardHosts;
  std::map<DataCentreId, Heard> m_HeardDataCentres;
  bool m_HostsKnown = false;
  HostId m_Self;
  DataCentreId m_DataCentre;
  std::vector<HostId> m_LocalHosts; ///< Without this one.
  std::map<DataCentreId, double> m_RemoteHosts;
  double m_HostCount = 1;
  SenderTerm m_Term;
  MonotonicTime m_StartedAt;
};

} // namespace dotterel

#endif // DOTTEREL_ADMISSION_ORGANISATIONLIMITS_H
