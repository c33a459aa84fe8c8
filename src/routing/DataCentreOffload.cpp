#include "dotterel/routing/DataCentreOffload.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

auto ratio(Duration Part, Duration Whole) -> double {
  return Whole > Duration::zero() ? static_cast<double>(Part.count()) /
                                        static_cast<double>(Whole.count())
                                  : 0;
}

auto pressureOf(const DataCentreFigures &Figures, Duration Target) -> double {
  return std::max(Figures.m_Occupancy, ratio(Figures.m_Wait, Target));
}

} // namespace

auto nameOf(OffloadReason Reason) -> const char * {
  switch (Reason) {
  case OffloadReason::Disabled:
    return "disabled";
  case OffloadReason::Room:
    return "room";
  case OffloadReason::NoServer:
    return "no_server";
  case OffloadReason::OldFigures:
    return "old_figures";
  case OffloadReason::LendersFull:
    return "lenders_full";
  case OffloadReason::NotWorthwhile:
    return "not_worthwhile";
  case OffloadReason::Leaving:
    return "leaving";
  }
  return "";
}

auto OffloadChoice::active() const -> bool {
  switch (m_Reason) {
  case OffloadReason::Disabled:
  case OffloadReason::Room:
  case OffloadReason::NoServer:
    return false;
  case OffloadReason::OldFigures:
  case OffloadReason::LendersFull:
  case OffloadReason::NotWorthwhile:
  case OffloadReason::Leaving:
    return true;
  }
  return false;
}

auto OffloadChoice::bias(const DataCentreId &DataCentre,
                         Duration Distance) const -> Duration {
  if (!active())
    return Duration::zero();
  if (m_Lender && DataCentre == *m_Lender)
    return m_RoundTrip - Distance;
  // A server elsewhere remains the last resort, if a request would miss its
  // target here by as much again.
  return DataCentre == (m_Lender ? *m_Lender : m_Own) ? Duration::zero()
                                                      : m_Target;
}

auto OffloadChoice::forDecode(const DataCentreId &PrefilledIn) const
    -> OffloadChoice {
  // At the home of a shared part its KV cache is already there: moving it here
  // costs more than a stream of tokens.
  return PrefilledIn == (m_Lender ? *m_Lender : m_Own) ? *this
                                                       : OffloadChoice{};
}

DataCentreOffload::DataCentreOffload(std::string Service,
                                     const OffloadOptions &Options,
                                     Random &Random)
    : m_Service(std::move(Service)), m_Options(Options), m_Random(Random) {}

auto DataCentreOffload::roundTrip(const DataCentreFigures &Figures) const
    -> Duration {
  return Figures.m_Remote ? m_Options.m_RemoteRoundTrip
                          : m_Options.m_RegionRoundTrip;
}

auto DataCentreOffload::fresh(const DataCentreFigures &Figures) const -> bool {
  return Figures.m_Age && *Figures.m_Age <= m_Options.m_MaxAge;
}

auto DataCentreOffload::room(const DataCentreFigures &Lender,
                             Duration Target) const -> double {
  if (!fresh(Lender) || Lender.m_Slots <= 0)
    return 0;
  auto Places =
      (m_Options.m_LendPressure - Lender.m_Occupancy) * Lender.m_Slots;
  if (Lender.m_WaitPerRequest > Duration::zero()) {
    auto Limit =
        std::chrono::duration_cast<Duration>(Target * m_Options.m_LendPressure);
    Places = std::min(Places, ratio(Limit - Lender.m_Wait - roundTrip(Lender),
                                    Lender.m_WaitPerRequest));
  }
  // Every other data centre may be under pressure at the same time. The lender
  // itself is none of the borrowers.
  auto Borrowers = static_cast<double>(std::max<std::size_t>(
      1,
      m_Figures.m_Others.size() * std::max<std::size_t>(1, m_Figures.m_Hosts)));
  return std::max(0.0, Places) * m_Options.m_LendShare / Borrowers;
}

auto DataCentreOffload::worthwhile(const DataCentreFigures &Lender,
                                   const OffloadRequest &Request,
                                   double Pressure) const -> bool {
  constexpr auto BytesPerMegabyte = 1e6;
  auto Bytes =
      Request.m_Bytes + (Lender.m_AllStages ? 0 : Request.m_CacheBytes);
  auto Price = std::chrono::duration_cast<Duration>(
      (Lender.m_Remote ? m_Options.m_RemoteMegabytePrice
                       : m_Options.m_RegionMegabytePrice) *
      (Bytes / BytesPerMegabyte));
  auto There = Lender.m_Wait + roundTrip(Lender);
  // Full places delay a request here even if nothing waits for its prefill.
  auto Here = std::chrono::duration_cast<Duration>(Request.m_Target * Pressure);
  return There <= Request.m_Target && There + Price < Here;
}

auto DataCentreOffload::refillCredits(MonotonicTime Now) -> void {
  // Requests of all routes take the same places.
  auto Target = std::optional<Duration>();
  for (const auto &[Id, State] : m_Routes)
    if (Now - State.m_UsedAt <= m_Options.m_MinHold)
      Target = std::min(State.m_Target, Target.value_or(Duration::max()));
  auto Credits = std::map<DataCentreId, double>();
  for (const auto &Lender : m_Figures.m_Others) {
    auto Room = Target ? room(Lender, *Target) : 0;
    // A lender without free places has none for requests saved up either.
    if (Room <= 0)
      continue;
    auto Found = m_Credits.find(Lender.m_DataCentre);
    // Hosts that start with different parts of a request do not send their
    // first ones at the same time.
    auto Saved = Found != m_Credits.end() ? Found->second : m_Random.unit();
    Credits[Lender.m_DataCentre] = std::min(Saved + Room, std::max(1.0, Room));
  }
  m_Credits = std::move(Credits);
}

auto DataCentreOffload::update(OffloadFigures Figures, MonotonicTime Now)
    -> void {
  m_Figures = std::move(Figures);
  ++m_Updates;
  // Hosts that start together do not decide together for long.
  constexpr auto Jitter = 0.2;
  m_NextUpdate = Now + std::chrono::duration_cast<Duration>(
                           m_Options.m_Interval *
                           (1 - Jitter / 2 + Jitter * m_Random.unit()));
  std::erase_if(m_Routes, [&](const auto &Item) {
    return Now - Item.second.m_UsedAt > m_Options.m_RouteExpiry;
  });
  refillCredits(Now);
}

auto DataCentreOffload::distribute(RouteState &State,
                                   const OffloadRequest &Request, double Share)
    -> OffloadReason {
  State.m_Shares.clear();
  auto AnyFresh = false;
  auto AnyRoom = false;
  auto Rooms = std::map<DataCentreId, double>();
  // By distance: first within the region, then in other regions.
  auto Totals = std::map<bool, double>();
  for (const auto &Lender : m_Figures.m_Others) {
    AnyFresh |= fresh(Lender);
    auto Room = room(Lender, Request.m_Target);
    if (Room <= 0)
      continue;
    AnyRoom = true;
    if (!worthwhile(Lender, Request, State.m_Pressure))
      continue;
    Rooms[Lender.m_DataCentre] = Room;
    Totals[Lender.m_Remote] += Room;
  }
  if (!AnyFresh)
    return OffloadReason::OldFigures;
  if (!AnyRoom)
    return OffloadReason::LendersFull;
  if (Rooms.empty())
    return OffloadReason::NotWorthwhile;
  constexpr auto MinArrivals = 0.01;
  auto Arrivals = std::max(State.m_Expected, MinArrivals);
  auto Needed = std::clamp(Share, 0.0, 1.0) * Arrivals;
  for (const auto &[Remote, Total] : Totals) {
    auto Used = std::min(Needed, Total);
    Needed -= Used;
    for (const auto &Lender : m_Figures.m_Others)
      if (auto Found = Rooms.find(Lender.m_DataCentre);
          Found != Rooms.end() && Lender.m_Remote == Remote)
        State.m_Shares[Lender.m_DataCentre] =
            Used / Arrivals * Found->second / Total;
  }
  return OffloadReason::Leaving;
}

auto DataCentreOffload::decide(RouteState &State, const OffloadRequest &Request,
                               MonotonicTime Now) -> void {
  auto Elapsed = Now - State.m_DecidedAt;
  auto First = State.m_Update == 0;
  State.m_DecidedAt = Now;
  State.m_Update = m_Updates;
  State.m_Target = Request.m_Target;
  auto Kept = First ? 0.0 : std::exp2(-ratio(Elapsed, m_Options.m_HalfLife));
  auto Intervals =
      First ? 1.0 : std::max(1.0, ratio(Elapsed, m_Options.m_Interval));
  auto Rate = std::exchange(State.m_Arrivals, 0) / Intervals;
  State.m_Expected = State.m_Expected * Kept + Rate * (1 - Kept);
  const auto &Own = m_Figures.m_Own;
  if (Own.m_Slots <= 0) {
    State.m_Shares.clear();
    State.m_Reason = OffloadReason::NoServer;
    return;
  }
  State.m_Pressure =
      State.m_Pressure * Kept + pressureOf(Own, Request.m_Target) * (1 - Kept);
  auto Leave = Request.m_Repeatable ? m_Options.m_LeavePressure
                                    : m_Options.m_UnsafeLeavePressure;
  auto Wanted = State.m_Pressed ? State.m_Pressure >= m_Options.m_ReturnPressure
                                : State.m_Pressure >= Leave;
  if (Wanted != State.m_Pressed &&
      (First || Now - State.m_ChangedAt >= m_Options.m_MinHold)) {
    State.m_Pressed = Wanted;
    State.m_ChangedAt = Now;
  }
  if (!State.m_Pressed) {
    State.m_Shares.clear();
    State.m_Reason = OffloadReason::Room;
    return;
  }
  auto Relieved = (Leave + m_Options.m_ReturnPressure) / 2;
  auto Share = State.m_Pressure > 0 ? 1 - Relieved / State.m_Pressure : 0;
  State.m_Reason = distribute(State, Request, Share);
}

auto DataCentreOffload::choose(const OffloadRequest &Request, MonotonicTime Now)
    -> OffloadChoice {
  if (!m_Options.m_Enabled || m_Updates == 0)
    return {};
  auto &State = m_Routes[Request.m_Route];
  State.m_UsedAt = Now;
  State.m_Arrivals += 1;
  if (State.m_Update != m_Updates) {
    decide(State, Request, Now);
    logChange(State, Request.m_Route, Now);
  }
  auto Result = OffloadChoice{.m_Reason = State.m_Reason,
                              .m_Own = m_Figures.m_Own.m_DataCentre,
                              .m_Target = Request.m_Target};
  auto Point = m_Random.unit();
  for (const auto &Lender : m_Figures.m_Others) {
    auto Found = State.m_Shares.find(Lender.m_DataCentre);
    if (Found == State.m_Shares.end())
      continue;
    Point -= Found->second;
    if (Point >= 0)
      continue;
    auto Credit = m_Credits.find(Lender.m_DataCentre);
    if (Credit == m_Credits.end() || Credit->second < 1)
      break;
    Credit->second -= 1;
    Result.m_Lender = Lender.m_DataCentre;
    Result.m_RoundTrip = roundTrip(Lender);
    break;
  }
  return Result;
}

auto DataCentreOffload::shares(const RouteId &Route) const
    -> std::map<DataCentreId, double> {
  auto Found = m_Routes.find(Route);
  return Found == m_Routes.end() ? std::map<DataCentreId, double>()
                                 : Found->second.m_Shares;
}

auto DataCentreOffload::pressure() const -> double {
  auto Highest = 0.0;
  for (const auto &[Id, State] : m_Routes)
    Highest = std::max(Highest, State.m_Pressure);
  return Highest;
}

auto DataCentreOffload::lowestOccupancyElsewhere() const -> double {
  auto Lowest = std::optional<double>();
  for (const auto &Lender : m_Figures.m_Others)
    if (fresh(Lender))
      Lowest =
          std::min(Lender.m_Occupancy, Lowest.value_or(Lender.m_Occupancy));
  return Lowest.value_or(0);
}

auto DataCentreOffload::credit(const DataCentreId &Lender) const -> double {
  auto Found = m_Credits.find(Lender);
  return Found == m_Credits.end() ? 0 : Found->second;
}

auto DataCentreOffload::logChange(RouteState &State, const RouteId &Route,
                                  MonotonicTime Now) const -> void {
  if (State.m_Reason == State.m_LoggedReason ||
      Now - State.m_LoggedAt < m_Options.m_MinHold)
    return;
  auto Before = std::exchange(State.m_LoggedReason, State.m_Reason);
  State.m_LoggedAt = Now;
  constexpr auto MaxLenders = std::size_t{8};
  auto Lenders = std::string();
  for (std::size_t Index = 0;
       Index < std::min(MaxLenders, m_Figures.m_Others.size()); ++Index) {
    const auto &Lender = m_Figures.m_Others[Index];
    auto Share = State.m_Shares.find(Lender.m_DataCentre);
    Lenders += fmt::format("{}{}:pressure={:.2f},age_ms={},share={:.2f}",
                           Index == 0 ? "" : " ", Lender.m_DataCentre.text(),
                           pressureOf(Lender, State.m_Target),
                           Lender.m_Age ? toMilliseconds(*Lender.m_Age) : -1,
                           Share == State.m_Shares.end() ? 0.0 : Share->second);
  }
  logInfo("offload.changed", {{"service", m_Service},
                              {"route", Route},
                              {"decision", nameOf(State.m_Reason)},
                              {"before", nameOf(Before)},
                              {"pressure", State.m_Pressure},
                              {"target_ms", toMilliseconds(State.m_Target)},
                              {"lenders", Lenders}});
}

} // namespace dotterel
