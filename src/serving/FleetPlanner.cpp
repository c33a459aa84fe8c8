#include "dotterel/serving/FleetPlanner.h"

#include <algorithm>
#include <cmath>
#include <map>

namespace dotterel {

auto FleetPlanner::servers(const ServingConfiguration &Configuration) const
    -> std::vector<ServerOrder> {
  auto Orders = std::vector<ServerOrder>();
  for (const auto &[Id, Service] : Configuration.m_Services) {
    if (!Service.m_Bounds)
      continue;
    const auto &Bounds = *Service.m_Bounds;
    for (const auto &[DataCentre, Price] : Bounds.m_Prices) {
      auto Total = std::clamp(
          static_cast<std::uint32_t>(
              std::lround(Bounds.m_Most * m_Options.m_FleetShare)),
          Bounds.m_Least, Bounds.m_Most);
      auto Ordinary = std::clamp(
          static_cast<std::uint32_t>(
              std::ceil(Total * m_Options.m_OrdinaryShare)),
          std::min(1U, Total), Total);
      Orders.push_back({.m_Service = Id,
                        .m_DataCentre = DataCentre,
                        .m_Count = Ordinary});
      if (Bounds.m_ReclaimablePrice > 0)
        Orders.push_back({.m_Service = Id,
                          .m_DataCentre = DataCentre,
                          .m_Count = Total - Ordinary,
                          .m_Reclaimable = true});
    }
  }
  return Orders;
}

auto FleetPlanner::stages(const ServingConfiguration &Configuration,
                          const BackendDirectory &Directory) const
    -> std::vector<StageOrder> {
  auto Orders = std::vector<StageOrder>();
  for (const auto &[Id, Service] : Configuration.m_Services) {
    if (!Service.m_Engine)
      continue;
    auto Engines = std::map<DataCentreId, std::vector<const BackendRecord *>>();
    for (const auto *Engine : Directory.usable(Id))
      if (Engine->m_Stage != EngineStage::None)
        Engines[Engine->m_DataCentre].push_back(Engine);
    for (const auto &[DataCentre, Members] : Engines) {
      auto Wanted = std::lround(static_cast<double>(Members.size()) *
                                m_Options.m_PrefillShare);
      auto Present = std::count_if(
          Members.begin(), Members.end(), [](const auto *Engine) {
            return Engine->m_Stage == EngineStage::Prefill;
          });
      if (Present == Wanted || Members.size() < 2)
        continue;
      auto From = Present < Wanted ? EngineStage::Decode : EngineStage::Prefill;
      auto To = Present < Wanted ? EngineStage::Prefill : EngineStage::Decode;
      auto Chosen = std::find_if(
          Members.begin(), Members.end(),
          [From](const auto *Engine) { return Engine->m_Stage == From; });
      if (Chosen != Members.end())
        Orders.push_back({.m_Backend = (*Chosen)->m_Id,
                          .m_Address = (*Chosen)->m_Address,
                          .m_Stage = To});
    }
  }
  return Orders;
}

} // namespace dotterel
