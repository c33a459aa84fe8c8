#include "dotterel/serving/FleetPlanner.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

auto shareOf(std::uint32_t Count, double Share) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::lround(Count * Share));
}

/// Returns the engine among \p Members, the engines of one data centre, that
/// should leave the stage \p From, or null if none that may is in it. It is of
/// the kind, ordinary or reclaimable, that has more engines in that stage, so
/// that both stages remain after a reclaim.
auto chooseStageChange(const std::vector<const BackendRecord *> &Members,
                       EngineStage From, const EngineFilter &MayChange)
    -> const BackendRecord * {
  auto Count = [&](bool Reclaimable) {
    return std::count_if(Members.begin(), Members.end(), [&](const auto *Item) {
      return Item->m_Stage == From && Item->m_Reclaimable == Reclaimable;
    });
  };
  auto Choose = [&](bool Reclaimable) -> const BackendRecord * {
    auto Found =
        std::find_if(Members.begin(), Members.end(), [&](const auto *Item) {
          return Item->m_Stage == From && Item->m_Reclaimable == Reclaimable &&
                 (!MayChange || MayChange(*Item));
        });
    return Found == Members.end() ? nullptr : *Found;
  };
  auto Kind = Count(true) > Count(false);
  const auto *Chosen = Choose(Kind);
  return Chosen != nullptr ? Chosen : Choose(!Kind);
}

using EnginesByDataCentre =
    std::map<DataCentreId, std::vector<const BackendRecord *>>;

auto countStage(const std::vector<const BackendRecord *> &Members,
                EngineStage Stage) -> long {
  return std::count_if(
      Members.begin(), Members.end(),
      [Stage](const auto *Engine) { return Engine->m_Stage == Stage; });
}

/// Returns the data centre in which an engine must change to decode at once,
/// since the service has none that does: the one with the most engines. Empty
/// if there is a decode engine, or no engine at all.
auto withoutDecodeEngine(const EnginesByDataCentre &Engines)
    -> std::optional<DataCentreId> {
  auto Largest = Engines.end();
  for (auto Item = Engines.begin(); Item != Engines.end(); ++Item) {
    if (countStage(Item->second, EngineStage::Decode) > 0)
      return std::nullopt;
    if (Largest == Engines.end() ||
        Item->second.size() > Largest->second.size())
      Largest = Item;
  }
  return Largest == Engines.end() ? std::nullopt
                                  : std::optional(Largest->first);
}

} // namespace

auto FleetPlanner::resize(const ServiceSpec &Service,
                          std::optional<double> BusyServers, MonotonicTime Now)
    -> std::uint32_t {
  const auto &Bounds = *Service.m_Bounds;
  auto Min = std::max(1U, Bounds.m_MinServers);
  auto Max =
      std::max(Min, shareOf(Bounds.m_MaxServers, m_Options.m_MaxFleetShare));
  auto [Found, New] = m_Sizes.try_emplace(
      Service.m_Id, Size{.m_Total = Max, .m_ChangedAt = Now});
  auto &Current = Found->second;
  Current.m_Total = std::clamp(Current.m_Total, Min, Max);
  // Without demand there is no basis for a new size.
  if (New || !BusyServers || *BusyServers <= 0 || Bounds.m_Prices.empty()) {
    if (!BusyServers || *BusyServers <= 0)
      Current.m_ChangedAt = Now;
    return Current.m_Total;
  }
  auto DataCentreCount = static_cast<double>(Bounds.m_Prices.size());
  auto Wanted = std::clamp(
      static_cast<std::uint32_t>(std::ceil(
          *BusyServers * m_Options.m_ServersPerBusyServer / DataCentreCount)),
      Min, Max);
  auto Before = Current.m_Total;
  if (Wanted > Before) {
    Current = {.m_Total = Wanted, .m_ChangedAt = Now};
  } else if (Wanted < Before * (1 - m_Options.m_MinShrinkShare) &&
             Now - Current.m_ChangedAt > m_Options.m_ShrinkInterval) {
    auto Step = std::max(1U, shareOf(Before, m_Options.m_MaxShrinkShare));
    Current = {.m_Total = std::max(Wanted, Before - Step), .m_ChangedAt = Now};
  }
  if (Before != Current.m_Total)
    logInfo("fleet.resized", {{"service", Service.m_Id},
                              {"each_data_centre", Current.m_Total},
                              {"before", Before},
                              {"busy", *BusyServers}});
  return Current.m_Total;
}

auto FleetPlanner::updateSupply(Supply &Current, std::uint32_t Max,
                                const ServerCounts &Registered,
                                Duration StartTime, MonotonicTime Now) const
    -> void {
  if (!std::exchange(Current.m_Initialised, true)) {
    Current = {.m_Wanted = Max, .m_ChangedAt = Now, .m_Initialised = true};
    return;
  }
  // While servers are available, their number follows the size immediately.
  if (Current.m_Wanted > Max || (Current.m_Wanted < Max && !Current.m_Short))
    Current = {.m_Wanted = Max, .m_ChangedAt = Now, .m_Initialised = true};
  auto StartTimeOver =
      Now - Current.m_ChangedAt > StartTime + m_Options.m_StartGrace;
  auto ServersDraining = Registered.m_Draining > 0;
  if (Registered.m_Usable < Current.m_Wanted &&
      (StartTimeOver || ServersDraining)) {
    Current = {.m_Wanted = Registered.m_Usable,
               .m_ChangedAt = Now,
               .m_Initialised = true,
               .m_Short = true};
    return;
  }
  if (Current.m_Wanted < Max && !ServersDraining &&
      Now - Current.m_ChangedAt > m_Options.m_ReclaimableRetryInterval) {
    auto Step = std::max(1U, shareOf(Max, m_Options.m_ReclaimableRetryShare));
    Current.m_Wanted = std::min(Max, Current.m_Wanted + Step);
    Current.m_ChangedAt = Now;
    Current.m_Short = Current.m_Wanted < Max;
  }
}

auto FleetPlanner::servers(const ServingConfiguration &Configuration,
                           const BackendDirectory &Directory,
                           std::optional<double> BusyServers, MonotonicTime Now)
    -> std::vector<ServerOrder> {
  auto Orders = std::vector<ServerOrder>();
  for (const auto &[Id, Service] : Configuration.m_Services) {
    if (!Service.m_Bounds)
      continue;
    const auto &Bounds = *Service.m_Bounds;
    auto Registered = std::map<DataCentreId, ServerCounts>();
    for (const auto &[Backend, Record] : Directory.all())
      if (Record.m_Service == Id && Record.m_Reclaimable)
        ++(Record.m_Draining ? Registered[Record.m_DataCentre].m_Draining
                             : Registered[Record.m_DataCentre].m_Usable);
    auto Total = resize(Service, BusyServers, Now);
    for (const auto &[DataCentre, Price] : Bounds.m_Prices) {
      auto Ordinary =
          std::clamp(shareOf(Total, m_Options.m_OrdinaryShare), 1U, Total);
      auto Max = Bounds.m_ReclaimablePrice > 0 ? Total - Ordinary : 0U;
      auto &Current = m_Supplies[{Id, DataCentre}];
      auto Before = Current.m_Wanted;
      updateSupply(Current, Max, Registered[DataCentre], Bounds.m_StartTime,
                   Now);
      if (Before != Current.m_Wanted)
        logInfo("fleet.supply",
                {{"service", Id},
                 {"data_centre", DataCentre},
                 {"reclaimable", Current.m_Wanted},
                 {"before", Before},
                 {"usable", Registered[DataCentre].m_Usable},
                 {"leaving", Registered[DataCentre].m_Draining}});
      Orders.push_back({.m_Service = Id,
                        .m_DataCentre = DataCentre,
                        .m_Count = Total - Current.m_Wanted});
      if (Bounds.m_ReclaimablePrice > 0)
        Orders.push_back({.m_Service = Id,
                          .m_DataCentre = DataCentre,
                          .m_Count = Current.m_Wanted,
                          .m_Reclaimable = true});
    }
  }
  return Orders;
}

auto FleetPlanner::plan() const -> FleetPlan {
  auto Result = FleetPlan();
  for (const auto &[Service, Current] : m_Sizes)
    Result.m_Sizes[Service] = Current.m_Total;
  for (const auto &[Place, Current] : m_Supplies)
    Result.m_Supplies[Place] = {.m_Wanted = Current.m_Wanted,
                                .m_Short = Current.m_Short};
  return Result;
}

auto FleetPlanner::restore(const FleetPlan &Plan, MonotonicTime Now) -> void {
  m_Sizes.clear();
  m_Supplies.clear();
  for (const auto &[Service, Total] : Plan.m_Sizes)
    m_Sizes[Service] = {.m_Total = Total, .m_ChangedAt = Now};
  for (const auto &[Place, Planned] : Plan.m_Supplies)
    m_Supplies[Place] = {.m_Wanted = Planned.m_Wanted,
                         .m_ChangedAt = Now,
                         .m_Initialised = true,
                         .m_Short = Planned.m_Short};
}

auto FleetPlanner::prefillCount(std::size_t Engines) const -> long {
  // A decode engine also prefills, and no engine of the other stage decodes.
  return std::min(
      std::lround(static_cast<double>(Engines) * m_Options.m_PrefillShare),
      std::max(static_cast<long>(Engines) - 1, 0L));
}

auto FleetPlanner::stages(const ServingConfiguration &Configuration,
                          const BackendDirectory &Directory, bool Idle,
                          const StageFilters &Filters) const
    -> std::vector<StageOrder> {
  auto Orders = std::vector<StageOrder>();
  for (const auto &[Id, Service] : Configuration.m_Services) {
    if (!Service.m_Engine)
      continue;
    auto Engines = EnginesByDataCentre();
    for (const auto *Engine : Directory.usable(Id))
      if (Engine->m_Stage != EngineStage::None &&
          (!Filters.m_Counts || Filters.m_Counts(*Engine)))
        Engines[Engine->m_DataCentre].push_back(Engine);
    const auto Urgent = withoutDecodeEngine(Engines);
    for (auto &[DataCentre, Members] : Engines) {
      auto Wanted = prefillCount(Members.size());
      auto PrefillCount = countStage(Members, EngineStage::Prefill);
      auto From =
          PrefillCount < Wanted ? EngineStage::Decode : EngineStage::Prefill;
      auto To =
          PrefillCount < Wanted ? EngineStage::Prefill : EngineStage::Decode;
      auto Missing = std::abs(Wanted - PrefillCount);
      auto Slack =
          static_cast<double>(Members.size()) * m_Options.m_StageTolerance;
      if (!Idle && DataCentre != Urgent &&
          static_cast<double>(Missing) <= std::max(1.0, Slack))
        continue;
      for (auto Step = 0L; Step < (Idle ? Missing : std::min(1L, Missing));
           ++Step) {
        const auto *Chosen =
            chooseStageChange(Members, From, Filters.m_MayChange);
        if (Chosen == nullptr)
          break;
        Orders.push_back({.m_Backend = Chosen->m_Id,
                          .m_Address = Chosen->m_Address,
                          .m_Stage = To});
        std::erase(Members, Chosen);
      }
    }
  }
  return Orders;
}

} // namespace dotterel
