#include "dotterel/serving/ServingConfiguration.h"

#include <algorithm>

namespace dotterel {

RouteTable::RouteTable(const ServingConfiguration &Configuration) {
  for (const auto &Route : Configuration.m_Routes)
    m_ByHost[Route.m_Host].push_back(&Route);
  for (auto &[Host, Routes] : m_ByHost)
    std::sort(Routes.begin(), Routes.end(),
              [](const auto *Left, const auto *Right) {
                return Left->m_PathPrefix.size() > Right->m_PathPrefix.size();
              });
}

auto RouteTable::find(const std::string &Host, std::string_view Path) const
    -> const ServingRoute * {
  auto Found = m_ByHost.find(Host);
  if (Found == m_ByHost.end())
    return nullptr;
  for (const auto *Route : Found->second)
    if (Path.starts_with(Route->m_PathPrefix))
      return Route;
  return nullptr;
}

} // namespace dotterel
