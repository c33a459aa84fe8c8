#include "dotterel/serving/FleetPlan.h"

#include "dotterel/base/Errors.h"

#include <nlohmann/json.hpp>

namespace dotterel {

using Json = nlohmann::json;

auto encodeFleetPlan(const FleetPlan &Plan) -> std::string {
  auto Sizes = Json::object();
  for (const auto &[Service, Size] : Plan.m_Sizes)
    Sizes[Service.text()] = Size;
  auto Supplies = Json::array();
  for (const auto &[Place, Supply] : Plan.m_Supplies)
    Supplies.push_back({{"service", Place.first.text()},
                        {"data_centre", Place.second.text()},
                        {"wanted", Supply.m_Wanted},
                        {"short", Supply.m_Short}});
  return Json{{"sizes", Sizes}, {"reclaimable", Supplies}}.dump();
}

auto decodeFleetPlan(const std::string &Document) -> FleetPlan {
  try {
    auto Source = Json::parse(Document);
    auto Plan = FleetPlan();
    for (const auto &[Service, Size] : Source.at("sizes").items())
      Plan.m_Sizes[ServiceId{Service}] = Size.get<std::uint32_t>();
    for (const auto &Item : Source.at("reclaimable"))
      Plan.m_Supplies[{
          ServiceId{Item.at("service").get<std::string>()},
          DataCentreId{Item.at("data_centre").get<std::string>()}}] = {
          .m_Wanted = Item.at("wanted").get<std::uint32_t>(),
          .m_Short = Item.at("short").get<bool>()};
    return Plan;
  } catch (const Json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

} // namespace dotterel
