#include "dotterel/serving/FleetPlanner.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

namespace {

auto part(std::uint32_t Whole, double Share) -> std::uint32_t {
  return static_cast<std::uint32_t>(std::lround(Whole * Share));
}

/// Engines of one data centre that have \p From and should get another stage:
/// of the kind, ordinary or reclaimable, that has more of them, so that a
/// reclaim leaves both stages.
auto nextToChange(const std::vector<const BackendRecord *> &Members,
                  EngineStage From) -> const BackendRecord * {
  auto Count = [&](bool Reclaimable) {
    return std::count_if(Members.begin(), Members.end(), [&](const auto *Item) {
      return Item->m_Stage == From && Item->m_Reclaimable == Reclaimable;
    });
  };
  auto Kind = Count(true) > Count(false);
  auto Found =
      std::find_if(Members.begin(), Members.end(), [&](const auto *Item) {
        return Item->m_Stage == From && Item->m_Reclaimable == Kind;
      });
  return Found == Members.end() ? nullptr : *Found;
}

} // namespace

auto FleetPlanner::resize(const ServiceSpec &Service,
                          std::optional<double> Busy, MonotonicTime Now)
    -> std::uint32_t {
  const auto &Bounds = *Service.m_Bounds;
  auto Least = std::max(1U, Bounds.m_Least);
  auto Most = std::max(Least, part(Bounds.m_Most, m_Options.m_FleetShare));
  auto [Found, New] =
      m_Sizes.try_emplace(Service.m_Id, Size{.m_Total = Most, .m_Since = Now});
  auto &Current = Found->second;
  Current.m_Total = std::clamp(Current.m_Total, Least, Most);
  // Without any demand nothing has been learnt yet.
  if (New || !Busy || *Busy <= 0 || Bounds.m_Prices.empty()) {
    if (!Busy || *Busy <= 0)
      Current.m_Since = Now;
    return Current.m_Total;
  }
  auto Centres = static_cast<double>(Bounds.m_Prices.size());
  auto Wanted = std::clamp(static_cast<std::uint32_t>(std::ceil(
                               *Busy * m_Options.m_ServersPerBusy / Centres)),
                           Least, Most);
  auto Before = Current.m_Total;
  if (Wanted > Before) {
    Current = {.m_Total = Wanted, .m_Since = Now};
  } else if (Wanted < Before * (1 - m_Options.m_ShrinkSlack) &&
             Now - Current.m_Since > m_Options.m_ShrinkInterval) {
    auto Step = std::max(1U, part(Before, m_Options.m_ShrinkStep));
    Current = {.m_Total = std::max(Wanted, Before - Step), .m_Since = Now};
  }
  if (Before != Current.m_Total)
    logInfo("fleet.resized", {{"service", Service.m_Id},
                              {"each_data_centre", Current.m_Total},
                              {"before", Before},
                              {"busy", *Busy}});
  return Current.m_Total;
}

auto FleetPlanner::supply(Supply &Current, std::uint32_t Most,
                          const Present &There, Duration StartTime,
                          MonotonicTime Now) const -> void {
  if (!std::exchange(Current.m_Known, true)) {
    Current = {.m_Wanted = Most, .m_Since = Now, .m_Known = true};
    return;
  }
  // What is to be had follows the size at once.
  if (Current.m_Wanted > Most || (Current.m_Wanted < Most && !Current.m_Short))
    Current = {.m_Wanted = Most, .m_Since = Now, .m_Known = true};
  auto Settled = Now - Current.m_Since > StartTime + m_Options.m_StartReserve;
  auto Notice = There.m_Leaving > 0;
  if (There.m_Usable < Current.m_Wanted && (Settled || Notice)) {
    Current = {.m_Wanted = There.m_Usable,
               .m_Since = Now,
               .m_Known = true,
               .m_Short = true};
    return;
  }
  if (Current.m_Wanted < Most && !Notice &&
      Now - Current.m_Since > m_Options.m_ReturnInterval) {
    auto Step = std::max(1U, part(Most, m_Options.m_ReturnStep));
    Current.m_Wanted = std::min(Most, Current.m_Wanted + Step);
    Current.m_Since = Now;
    Current.m_Short = Current.m_Wanted < Most;
  }
}

auto FleetPlanner::servers(const ServingConfiguration &Configuration,
                           const BackendDirectory &Directory,
                           std::optional<double> Busy, MonotonicTime Now)
    -> std::vector<ServerOrder> {
  auto Orders = std::vector<ServerOrder>();
  for (const auto &[Id, Service] : Configuration.m_Services) {
    if (!Service.m_Bounds)
      continue;
    const auto &Bounds = *Service.m_Bounds;
    auto There = std::map<DataCentreId, Present>();
    for (const auto &[Backend, Record] : Directory.all())
      if (Record.m_Service == Id && Record.m_Reclaimable)
        ++(Record.m_Draining ? There[Record.m_DataCentre].m_Leaving
                             : There[Record.m_DataCentre].m_Usable);
    auto Total = resize(Service, Busy, Now);
    for (const auto &[DataCentre, Price] : Bounds.m_Prices) {
      auto Ordinary =
          std::clamp(part(Total, m_Options.m_OrdinaryShare), 1U, Total);
      auto Most = Bounds.m_ReclaimablePrice > 0 ? Total - Ordinary : 0U;
      auto &Current = m_Supplies[{Id, DataCentre}];
      auto Before = Current.m_Wanted;
      supply(Current, Most, There[DataCentre], Bounds.m_StartTime, Now);
      if (Before != Current.m_Wanted)
        logInfo("fleet.supply", {{"service", Id},
                                 {"data_centre", DataCentre},
                                 {"reclaimable", Current.m_Wanted},
                                 {"before", Before},
                                 {"usable", There[DataCentre].m_Usable},
                                 {"leaving", There[DataCentre].m_Leaving}});
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
    m_Sizes[Service] = {.m_Total = Total, .m_Since = Now};
  for (const auto &[Place, Planned] : Plan.m_Supplies)
    m_Supplies[Place] = {.m_Wanted = Planned.m_Wanted,
                         .m_Since = Now,
                         .m_Known = true,
                         .m_Short = Planned.m_Short};
}

auto FleetPlanner::stages(const ServingConfiguration &Configuration,
                          const BackendDirectory &Directory, bool Idle) const
    -> std::vector<StageOrder> {
  auto Orders = std::vector<StageOrder>();
  for (const auto &[Id, Service] : Configuration.m_Services) {
    if (!Service.m_Engine)
      continue;
    auto Engines = std::map<DataCentreId, std::vector<const BackendRecord *>>();
    for (const auto *Engine : Directory.usable(Id))
      if (Engine->m_Stage != EngineStage::None)
        Engines[Engine->m_DataCentre].push_back(Engine);
    for (auto &[DataCentre, Members] : Engines) {
      auto Wanted = std::lround(static_cast<double>(Members.size()) *
                                m_Options.m_PrefillShare);
      auto Present =
          std::count_if(Members.begin(), Members.end(), [](const auto *Engine) {
            return Engine->m_Stage == EngineStage::Prefill;
          });
      auto From = Present < Wanted ? EngineStage::Decode : EngineStage::Prefill;
      auto To = Present < Wanted ? EngineStage::Prefill : EngineStage::Decode;
      auto Missing = std::abs(Wanted - Present);
      auto Slack = static_cast<double>(Members.size()) * m_Options.m_StageSlack;
      if (!Idle && static_cast<double>(Missing) <= std::max(1.0, Slack))
        continue;
      for (auto Step = 0L; Step < (Idle ? Missing : std::min(1L, Missing));
           ++Step) {
        const auto *Chosen = nextToChange(Members, From);
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
