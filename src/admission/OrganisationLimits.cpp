#include "dotterel/admission/OrganisationLimits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dotterel {

namespace {

/// Index of the window in which the bound must hold. The others are this window
/// times powers of two: shorter ones keep use even, longer ones keep it at the
/// rate.
constexpr auto BoundWindow = std::size_t{4};
/// Bins in the shortest window.
constexpr auto BinsPerShortestWindow = std::int64_t{4};
/// Bins that are kept, one more than the longest window has: the latest one is
/// incomplete.
constexpr auto BinCount =
    (BinsPerShortestWindow << (UseWindows - 1)) + std::int64_t{1};

/// Parts of the room for use that is not known yet.
/// For the resolution of windows and the age of reports.
constexpr auto MeasurementPart = 1.0 / 8;
/// By which a request may exceed what is left, so that requests that count much
/// have the same chance as others.
constexpr auto LargeRequestPart = 1.0 / 8;
/// For requests that several hosts grant at the same time.
constexpr auto ContentionPart = 1.0 / 4;

constexpr auto DemandTimeConstant = Seconds(1);
/// Minimum part of a retry-after time that remains when it is randomised.
constexpr auto RetrySpread = 0.3;

auto seconds(Duration Span) -> double {
  return std::chrono::duration<double>(Span).count();
}

auto fromSeconds(double Value, Duration Max) -> Duration {
  if (!(Value < seconds(Max)))
    return Max;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

auto decay(Duration Elapsed) -> double {
  return std::exp(-seconds(Elapsed) / seconds(DemandTimeConstant));
}

} // namespace

auto nameOf(LimitDenial Denial) -> const char * {
  switch (Denial) {
  case LimitDenial::None:
    return "none";
  case LimitDenial::HostsUnknown:
    return "hosts_unknown";
  case LimitDenial::Starting:
    return "starting";
  case LimitDenial::Exhausted:
    return "exhausted";
  case LimitDenial::Contended:
    return "contended";
  }
  return "";
}

auto OrganisationLimit::amountOf(std::optional<TokenCount> Tokens) const
    -> LimitAmount {
  if (m_Unit == LimitUnit::Requests)
    return LimitAmount{1};
  return Tokens ? LimitAmount{static_cast<double>(Tokens->number())}
                : m_UnstatedTokens;
}

OrganisationLimits::OrganisationLimits(Random &Random,
                                       std::uint64_t Incarnation,
                                       MonotonicTime Now,
                                       const OrganisationLimitOptions &Options)
    : m_Random(Random), m_Incarnation(Incarnation), m_Options(Options),
      m_StartedAt(Now) {}

auto OrganisationLimits::setLimits(OrganisationLimitTable Limits) -> void {
  m_Limits = std::move(Limits);
  // A limit in another unit cannot use what was counted before.
  std::erase_if(m_Own, [this](const auto &Item) {
    auto Found = m_Limits.find(Item.first);
    return Found == m_Limits.end() ||
           Found->second.m_Unit != Item.second.m_Unit;
  });
}

auto OrganisationLimits::setHosts(const HostId &Self,
                                  const DataCentreId &DataCentre,
                                  const std::map<HostId, DataCentreId> &Others)
    -> void {
  m_HostsKnown = true;
  m_Self = Self;
  m_DataCentre = DataCentre;
  m_LocalHosts.clear();
  m_RemoteHosts.clear();
  m_HostCount = 1;
  for (const auto &[Host, Place] : Others) {
    if (Host == Self)
      continue;
    ++m_HostCount;
    if (Place == DataCentre)
      m_LocalHosts.push_back(Host);
    else
      ++m_RemoteHosts[Place];
  }
}

auto OrganisationLimits::windowLength(std::size_t Window) const -> Duration {
  return Window >= BoundWindow
             ? m_Options.m_Window * (std::int64_t{1} << (Window - BoundWindow))
             : m_Options.m_Window / (std::int64_t{1} << (BoundWindow - Window));
}

auto OrganisationLimits::binLength() const -> Duration {
  return std::max(windowLength(0) / BinsPerShortestWindow, Duration(1));
}

auto OrganisationLimits::binOf(MonotonicTime Time) const -> std::int64_t {
  return Time.time_since_epoch() / binLength();
}

auto OrganisationLimits::add(Own &Item, MonotonicTime Time, double Amount,
                             MonotonicTime Now) const -> void {
  if (Item.m_Bins.empty()) {
    Item.m_Bins.assign(static_cast<std::size_t>(BinCount), 0);
    Item.m_LastBin = binOf(Now);
  }
  auto Current = std::max(binOf(Now), Item.m_LastBin);
  for (auto Bin = std::max(Item.m_LastBin + 1, Current - BinCount + 1);
       Bin <= Current; ++Bin)
    Item.m_Bins[static_cast<std::size_t>(Bin % BinCount)] = 0;
  Item.m_LastBin = Current;
  auto Target = std::min(binOf(Time), Current);
  if (Target <= Current - BinCount)
    return;
  auto &Bin = Item.m_Bins[static_cast<std::size_t>(Target % BinCount)];
  Bin = std::max(0.0F, Bin + static_cast<float>(Amount));
}

auto OrganisationLimits::ownUse(const Own &Item, MonotonicTime Now) const
    -> UseByWindow {
  auto Result = UseByWindow();
  if (Item.m_Bins.empty())
    return Result;
  auto Current = std::max(binOf(Now), Item.m_LastBin);
  auto Sum = 0.0;
  auto Bin = Current;
  for (auto Window = std::size_t{0}; Window < UseWindows; ++Window) {
    // The whole bin in which the window begins is included.
    auto First = Current - (BinsPerShortestWindow << Window);
    for (; Bin >= First; --Bin)
      if (Bin <= Item.m_LastBin && Bin > Item.m_LastBin - BinCount && Bin >= 0)
        Sum += Item.m_Bins[static_cast<std::size_t>(Bin % BinCount)];
    Result[Window] = Sum;
  }
  return Result;
}

auto OrganisationLimits::ownExcess(const Own &Item, double PerSecond,
                                   MonotonicTime Now) const -> UseByWindow {
  auto Result = UseByWindow();
  Result.fill(std::numeric_limits<double>::lowest());
  if (Item.m_Bins.empty())
    return Result;
  auto Current = std::max(binOf(Now), Item.m_LastBin);
  auto Sum = 0.0;
  auto Bins = std::int64_t{0};
  for (auto Window = std::size_t{0}; Window < UseWindows; ++Window)
    for (; Bins <= BinsPerShortestWindow << Window; ++Bins) {
      auto Bin = Current - Bins;
      if (Bin <= Item.m_LastBin && Bin > Item.m_LastBin - BinCount && Bin >= 0)
        Sum += Item.m_Bins[static_cast<std::size_t>(Bin % BinCount)];
      Result[Window] = std::max(
          Result[Window], Sum - PerSecond * seconds(binLength() * (Bins + 1)));
    }
  return Result;
}

auto OrganisationLimits::demandOf(const Own &Item, MonotonicTime Now) const
    -> double {
  return Item.m_Demand *
         decay(std::max(Now - Item.m_DemandAt, Duration::zero())) /
         seconds(DemandTimeConstant);
}

auto OrganisationLimits::counted(const OrganisationUse::Entry &Entry,
                                 std::size_t Window, Duration Age) const
    -> double {
  if (Age < m_Options.m_ReportTimeout)
    return Entry.m_Use[Window];
  auto Length = windowLength(Window) - Age;
  if (Length <= Duration::zero())
    return 0;
  for (auto Shorter = std::size_t{0}; Shorter < Window; ++Shorter)
    if (windowLength(Shorter) >= Length)
      return Entry.m_Use[Shorter];
  return Entry.m_Use[Window];
}

auto OrganisationLimits::known(const OrganisationId &Organisation,
                               LimitUnit Unit, MonotonicTime Now) const
    -> Known {
  auto Result = Known();
  // Reports of several hosts on one data centre are about the same use.
  auto Remote = std::map<DataCentreId, std::pair<UseByWindow, double>>();
  for (const auto &[Key, Item] : m_Sources) {
    auto Found = Item.m_Entries.find(Organisation);
    if (Found == Item.m_Entries.end() || Found->second.m_Unit != Unit)
      continue;
    auto Age = Now - Item.m_ReceivedAt;
    auto Live = Age < m_Options.m_ReportTimeout;
    auto Demand = Live ? Found->second.m_Demand : 0;
    if (Live) {
      Result.m_OldestReport = std::max(Result.m_OldestReport, Age);
      Result.m_Total = std::max(Result.m_Total, Found->second.m_Total);
    }
    if (!Item.m_WholeDataCentre) {
      for (auto Window = std::size_t{0}; Window < UseWindows; ++Window)
        Result.m_Use[Window] += counted(Found->second, Window, Age);
      Result.m_OthersDemand += Demand;
      continue;
    }
    auto &Sum = Remote[Item.m_DataCentre];
    for (auto Window = std::size_t{0}; Window < UseWindows; ++Window)
      Sum.first[Window] =
          std::max(Sum.first[Window], counted(Found->second, Window, Age));
    Sum.second = std::max(Sum.second, Demand);
  }
  for (const auto &[DataCentre, Sum] : Remote) {
    for (auto Window = std::size_t{0}; Window < UseWindows; ++Window)
      Result.m_Use[Window] += Sum.first[Window];
    Result.m_OthersDemand += Sum.second;
  }
  return Result;
}

auto OrganisationLimits::unheard(MonotonicTime Now) const
    -> std::vector<Unheard> {
  auto Result = std::vector<Unheard>();
  for (const auto &Host : m_LocalHosts) {
    auto Found = m_HeardHosts.find(Host);
    auto Age =
        Found == m_HeardHosts.end() ? Duration::max() : Now - Found->second;
    if (Age >= m_Options.m_ReportTimeout)
      Result.push_back({.m_Hosts = 1, .m_SilentFor = Age});
  }
  for (const auto &[DataCentre, Registered] : m_RemoteHosts) {
    auto Found = m_HeardDataCentres.find(DataCentre);
    if (Found == m_HeardDataCentres.end()) {
      Result.push_back({.m_Hosts = Registered, .m_SilentFor = Duration::max()});
      continue;
    }
    auto Age = Now - Found->second.m_At;
    if (Age >= m_Options.m_ReportTimeout)
      Result.push_back({.m_Hosts = Registered, .m_SilentFor = Age});
    else if (auto Included = static_cast<double>(Found->second.m_Hosts);
             Included < Registered)
      Result.push_back(
          {.m_Hosts = Registered - Included, .m_SilentFor = Duration::max()});
  }
  return Result;
}

auto OrganisationLimits::room(const OrganisationLimit &Limit) const -> double {
  return m_Options.m_Overshoot * windowLimit(Limit) +
         m_Options.m_Slack.number();
}

auto OrganisationLimits::windowLimit(const OrganisationLimit &Limit) const
    -> double {
  return Limit.m_PerSecond.number() * seconds(m_Options.m_Window) +
         Limit.m_Burst.number();
}

auto OrganisationLimits::timeToExpire(const UseByWindow &Use,
                                      std::size_t Window, double Amount) const
    -> Duration {
  // Use is taken as even between the ends of two windows, and as just made in
  // the shortest one.
  for (auto Shorter = Window; Shorter-- > 0;) {
    auto Expired = Use[Window] - Use[Shorter];
    if (Expired < Amount)
      continue;
    auto Before = Use[Window] - Use[Shorter + 1];
    auto Part = (Amount - Before) / (Expired - Before);
    auto Begin = windowLength(Window) - windowLength(Shorter + 1);
    auto Step = windowLength(Shorter + 1) - windowLength(Shorter);
    return Begin + std::chrono::duration_cast<Duration>(Step * Part) +
           binLength();
  }
  return windowLength(Window) + binLength();
}

auto OrganisationLimits::headroom(const OrganisationLimit &Limit, double Amount,
                                  const Known &Use, const Own &Item,
                                  MonotonicTime Now) const -> Headroom {
  auto Rate = Limit.m_PerSecond.number();
  auto OwnUse = ownUse(Item, Now);
  auto OwnExcess = ownExcess(Item, Rate, Now);
  auto Burst = Limit.m_Burst.number();
  auto Missing = unheard(Now);
  auto Count = 0.0;
  for (const auto &Group : Missing)
    Count += Group.m_Hosts;
  // Hosts that do not hear each other share the room.
  auto Heard = m_HostCount - Count;
  auto Room = room(Limit) * Heard / m_HostCount;
  auto Measured =
      std::min(MeasurementPart * Room,
               Rate * seconds(binLength() + m_Options.m_ReportDelay));
  auto Running = Now - m_StartedAt;
  auto Alone =
      !m_Term.contains(Now) && Heard < m_Options.m_Quorum * m_HostCount;
  auto Result = Headroom{.m_Least = std::numeric_limits<double>::infinity()};
  auto Totals = UseByWindow();
  for (auto Window = std::size_t{0}; Window < UseWindows; ++Window) {
    auto Length = windowLength(Window);
    // What unheard hosts may have granted since they were heard. The longer
    // windows would keep the limit from being used for long after a partition.
    auto Reserve = 0.0;
    for (const auto &Group : Missing)
      if (Window <= BoundWindow)
        Reserve +=
            Group.m_Hosts / m_HostCount *
            (Rate * seconds(std::min(Length, Group.m_SilentFor)) + Burst);
    auto Used = OwnUse[Window] + Use.m_Use[Window] + Reserve;
    // Use before the start is not known. The shortest window that begins before
    // it is held to the rate since the start. Of what the others report for
    // that window, a part may be from before the start: at most the rate was
    // granted from the start until the next shorter window begins.
    auto Unknown = Window <= BoundWindow && Length > Running;
    auto Shorter = Window == 0 ? Duration::zero() : windowLength(Window - 1);
    auto Starting = Unknown && Shorter <= Running;
    if (Starting && Window > 0)
      Used = std::min(Used,
                      Totals[Window - 1] + Rate * seconds(Running - Shorter));
    auto Normal = Rate * seconds(Length) + Burst + (Unknown ? 0 : Measured);
    auto Allowed = Starting ? Rate * seconds(Running) : Normal;
    // Two hosts that do not hear each other may both hear a third one.
    if (Window == BoundWindow)
      Used = std::max(Used, Use.m_Total + Reserve - (Normal - Allowed));
    auto Tolerated = Unknown ? 0 : LargeRequestPart * Room;
    // A short window may be too small for a request that the bound permits.
    if (!Unknown && Window != BoundWindow &&
        Heard >= m_Options.m_Quorum * m_HostCount)
      Tolerated += std::max(0.0, Amount - Rate * seconds(Length) - Burst);
    auto Left = Allowed - Used;
    // Between two windows only this host's use is known. A process that starts
    // anew adds the rate to what was used before, which must not be more than
    // the rate and the burst in any part of the window of the bound.
    if (Window > 0 && Window <= BoundWindow)
      Left = std::min(Left, Burst + (Unknown ? 0 : Measured) -
                                OwnExcess[Window] - Use.m_Use[Window - 1]);
    auto Lacks = Amount - Left - std::min(Tolerated, Amount);
    // A request may exceed what is left, not what is already exceeded.
    if (Left <= 0)
      Lacks = std::max(Lacks, 1 - Left);
    if (Alone) {
      auto Share =
          m_Term.m_PartOutside * (Rate * seconds(Length) + Burst) / m_HostCount;
      Lacks = std::max(Lacks, OwnUse[Window] + Amount - Share);
    }
    Result.m_Least = std::min(Result.m_Least, Left);
    Totals[Window] = Used;
    if (Lacks > 0)
      Result.m_Wait = std::max(Result.m_Wait,
                               Starting ? fromSeconds(Lacks / Rate, Length)
                                        : timeToExpire(Totals, Window, Lacks));
    if (Lacks > Result.m_Missing) {
      Result.m_Missing = Lacks;
      Result.m_Starting = Starting;
    }
  }
  return Result;
}

auto OrganisationLimits::retryAfter(Own &Item, const OrganisationLimit &Limit,
                                    double Amount, Duration Earliest,
                                    double OthersDemand, MonotonicTime Now)
    -> Duration {
  auto Rate = Limit.m_PerSecond.number();
  // A caller is told a time after those told before it, at the part of the
  // rate that this host's callers get.
  auto OwnDemand = std::max(demandOf(Item, Now), Amount);
  auto Part = OwnDemand / (OwnDemand + OthersDemand);
  auto Max = m_Options.m_MaxRetryAfter;
  auto At = std::max(Now + std::min(Earliest, Max), Item.m_Promised);
  Item.m_Promised =
      std::min(At + fromSeconds(Amount / (Rate * Part), Max), Now + Max);
  auto Wait = std::clamp(At - Now, m_Options.m_MinRetryAfter, Max);
  return std::chrono::duration_cast<Duration>(
      Wait * (1 + RetrySpread * m_Random.unit()));
}

auto OrganisationLimits::take(const OrganisationId &Organisation,
                              std::optional<TokenCount> Tokens,
                              MonotonicTime Now) -> LimitDecision {
  auto Found = m_Limits.find(Organisation);
  if (Found == m_Limits.end())
    return {};
  const auto &Limit = Found->second;
  if (!m_HostsKnown)
    return {.m_Denial = LimitDenial::HostsUnknown,
            .m_RetryAfter = m_Options.m_ReportDelay};
  auto Amount = Limit.amountOf(Tokens).number();
  auto &Item = m_Own[Organisation];
  Item.m_Unit = Limit.m_Unit;
  Item.m_Demand =
      Item.m_Demand * decay(std::max(Now - Item.m_DemandAt, Duration::zero())) +
      std::min(Amount, windowLimit(Limit)); // No more is ever granted at once.
  Item.m_DemandAt = Now;
  auto Use = known(Organisation, Limit.m_Unit, Now);
  auto Left = headroom(Limit, Amount, Use, Item, Now);
  auto Decision = LimitDecision{.m_Requested = LimitAmount{Amount},
                                .m_Left = LimitAmount{Left.m_Least},
                                .m_OldestReport = Use.m_OldestReport};
  if (Left.m_Missing > 0) {
    Decision.m_Denial =
        Left.m_Starting ? LimitDenial::Starting : LimitDenial::Exhausted;
    Decision.m_RetryAfter =
        retryAfter(Item, Limit, Amount, Left.m_Wait, Use.m_OthersDemand, Now);
    return Decision;
  }
  // The other hosts grant what is left as well until they know of this
  // request. Demand that is over the limit for certain is held to the longest
  // delay of reports, other demand to the usual one, so that of a burst that
  // keeps to the limit hardly anything is refused. Of a long burst a part may
  // have been used before, so a second of the rate is the most that demand may
  // be above it without a look at what is left.
  auto Rate = Limit.m_PerSecond.number();
  auto Burst = Limit.m_Burst.number();
  auto Demand = demandOf(Item, Now) + Use.m_OthersDemand;
  auto Unknown = Use.m_OthersDemand *
                 seconds(Demand > Rate + Burst ? m_Options.m_ReportDelay
                                               : m_Options.m_UsualReportDelay);
  if (Demand > Rate + std::min(Burst, Rate * seconds(DemandTimeConstant)) &&
      m_Random.unit() * Unknown >
          std::max(Left.m_Least, 0.0) + ContentionPart * room(Limit)) {
    Decision.m_Denial = LimitDenial::Contended;
    Decision.m_RetryAfter = retryAfter(
        Item, Limit, Amount, m_Options.m_ReportDelay, Use.m_OthersDemand, Now);
    return Decision;
  }
  add(Item, Now, Amount, Now);
  Decision.m_Charge = LimitCharge{.m_Organisation = Organisation,
                                  .m_Unit = Limit.m_Unit,
                                  .m_Amount = LimitAmount{Amount},
                                  .m_At = Now};
  return Decision;
}

auto OrganisationLimits::refund(const LimitCharge &Charge, MonotonicTime Now)
    -> void {
  auto Found = m_Own.find(Charge.m_Organisation);
  if (Found != m_Own.end() && Found->second.m_Unit == Charge.m_Unit)
    add(Found->second, Charge.m_At, -Charge.m_Amount.number(), Now);
}

auto OrganisationLimits::bounded(OrganisationUse Report,
                                 MonotonicTime Now) const -> OrganisationUse {
  auto Part = [this](const OrganisationUse::Entry &Entry) {
    const auto &Limit = m_Limits.at(Entry.m_Organisation);
    return Entry.m_Use[BoundWindow] / windowLimit(Limit);
  };
  auto Count = std::min(Report.m_Entries.size(), OrganisationUse::MaxEntries);
  auto End = Report.m_Entries.begin() + static_cast<std::ptrdiff_t>(Count);
  std::partial_sort(Report.m_Entries.begin(), End, Report.m_Entries.end(),
                    [&](const auto &Left, const auto &Right) {
                      return Part(Left) > Part(Right);
                    });
  Report.m_Entries.erase(End, Report.m_Entries.end());
  for (auto &Entry : Report.m_Entries)
    Entry.m_Total = use(Entry.m_Organisation, Now).number();
  return Report;
}

auto OrganisationLimits::ownEntries(MonotonicTime Now) const
    -> std::vector<OrganisationUse::Entry> {
  auto Result = std::vector<OrganisationUse::Entry>();
  for (const auto &[Organisation, Item] : m_Own) {
    auto Use = ownUse(Item, Now);
    auto Demand = demandOf(Item, Now);
    if (Use.back() > 0 || Demand >= 1)
      Result.push_back({.m_Organisation = Organisation,
                        .m_Unit = Item.m_Unit,
                        .m_Demand = Demand,
                        .m_Use = Use});
  }
  return Result;
}

auto OrganisationLimits::ownReport(MonotonicTime Now) const -> OrganisationUse {
  return bounded(
      {.m_Incarnation = m_Incarnation,
       .m_Number = static_cast<std::uint64_t>(Now.time_since_epoch().count()),
       .m_Entries = ownEntries(Now)},
      Now);
}

auto OrganisationLimits::dataCentreReport(MonotonicTime Now) const
    -> OrganisationUse {
  auto Report = OrganisationUse{
      .m_WholeDataCentre = true,
      .m_Incarnation = m_Incarnation,
      .m_Number = static_cast<std::uint64_t>(Now.time_since_epoch().count())};
  for (const auto &Host : m_LocalHosts) {
    // A process that has just started has not heard the others yet. What they
    // use is known from the reports of its predecessor for as long.
    auto Found = m_HeardHosts.find(Host);
    auto HeardAt = Found == m_HeardHosts.end() ? m_StartedAt : Found->second;
    if (Now - HeardAt < m_Options.m_ReportTimeout)
      ++Report.m_Hosts;
  }
  auto Sums = std::unordered_map<OrganisationId, OrganisationUse::Entry>();
  for (auto &Entry : ownEntries(Now)) {
    auto Organisation = Entry.m_Organisation;
    Sums.emplace(std::move(Organisation), std::move(Entry));
  }
  for (const auto &[Key, Item] : m_Sources) {
    auto Age = Now - Item.m_ReceivedAt;
    if (Item.m_WholeDataCentre)
      continue;
    for (const auto &[Organisation, Entry] : Item.m_Entries) {
      auto Limit = m_Limits.find(Organisation);
      if (Limit == m_Limits.end() || Limit->second.m_Unit != Entry.m_Unit)
        continue;
      auto &Sum = Sums.try_emplace(
                          Organisation,
                          OrganisationUse::Entry{.m_Organisation = Organisation,
                                                 .m_Unit = Entry.m_Unit})
                      .first->second;
      if (Age < m_Options.m_ReportTimeout)
        Sum.m_Demand += Entry.m_Demand;
      for (auto Window = std::size_t{0}; Window < UseWindows; ++Window)
        Sum.m_Use[Window] += counted(Entry, Window, Age);
    }
  }
  for (auto &[Organisation, Entry] : Sums)
    Report.m_Entries.push_back(std::move(Entry));
  return bounded(std::move(Report), Now);
}

auto OrganisationLimits::merge(const HostId &Sender,
                               const DataCentreId &DataCentre,
                               const OrganisationUse &Report, MonotonicTime Now)
    -> void {
  if (Sender == m_Self ||
      Report.m_WholeDataCentre == (DataCentre == m_DataCentre))
    return;
  auto Key = std::tuple(Sender, Report.m_Incarnation, Report.m_WholeDataCentre);
  auto [Found, New] = m_Sources.try_emplace(Key);
  auto &Item = Found->second;
  // Repeated, or overtaken by a later one.
  if (!New && Report.m_Number <= Item.m_Number)
    return;
  Item.m_Host = Sender;
  Item.m_DataCentre = DataCentre;
  Item.m_WholeDataCentre = Report.m_WholeDataCentre;
  Item.m_ReceivedAt = Now;
  Item.m_Number = Report.m_Number;
  Item.m_Entries.clear();
  for (const auto &Entry : Report.m_Entries)
    Item.m_Entries.insert_or_assign(Entry.m_Organisation, Entry);
  if (!Report.m_WholeDataCentre) {
    m_HeardHosts[Sender] = Now;
    return;
  }
  m_HeardDataCentres[DataCentre] = {.m_At = Now, .m_Hosts = Report.m_Hosts};
}

auto OrganisationLimits::discardOld(MonotonicTime Now) -> void {
  auto Longest = windowLength(UseWindows - 1);
  std::erase_if(m_Sources, [&](const auto &Item) {
    return Now - Item.second.m_ReceivedAt >= Longest;
  });
  std::erase_if(m_HeardHosts,
                [&](const auto &Item) { return Now - Item.second >= Longest; });
  std::erase_if(m_Own, [&](const auto &Item) {
    return Now - Item.second.m_DemandAt >= Longest + binLength();
  });
}

auto OrganisationLimits::use(const OrganisationId &Organisation,
                             MonotonicTime Now) const -> LimitAmount {
  auto Found = m_Limits.find(Organisation);
  if (Found == m_Limits.end())
    return {};
  auto Sum = known(Organisation, Found->second.m_Unit, Now).m_Use[BoundWindow];
  if (auto Own = m_Own.find(Organisation); Own != m_Own.end())
    Sum += ownUse(Own->second, Now)[BoundWindow];
  return LimitAmount{Sum};
}

auto OrganisationLimits::figures(MonotonicTime Now) const -> LimitFigures {
  auto Result =
      LimitFigures{.m_Limits = m_Limits.size(), .m_InUse = m_Own.size()};
  // Those that this host uses most, so that the cost is bounded.
  for (const auto &Entry : ownReport(Now).m_Entries) {
    auto Part = Entry.m_Total / windowLimit(m_Limits.at(Entry.m_Organisation));
    if (Part <= Result.m_MaxUse)
      continue;
    Result.m_MaxUse = Part;
    Result.m_OwnPart = Entry.m_Use[BoundWindow] / Entry.m_Total;
  }
  auto Silent = 0.0;
  for (const auto &Item : unheard(Now))
    Silent += Item.m_Hosts;
  Result.m_UnheardHosts = static_cast<std::size_t>(Silent);
  return Result;
}

} // namespace dotterel
