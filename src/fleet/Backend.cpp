#include "dotterel/fleet/Backend.h"

#include "dotterel/base/Errors.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

/// Lower bound of reported rates, so that a division by a rate stays finite.
constexpr auto MinTokensPerSecond = 0.001;

auto parseBackend(const Json &Item) -> Backend {
  auto Value = Backend{
      .m_Id = BackendId{Item.at("id").get<std::string>()},
      .m_Service = Item.value("service", ""),
      .m_DataCentre = DataCentreId{Item.at("data_centre").get<std::string>()},
      .m_Region = RegionId{Item.at("region").get<std::string>()},
      .m_Url = Item.at("url").get<std::string>(),
      .m_Version = SoftwareVersion{Item.value("version", "")},
      .m_Cheap = Item.value("cheap", false),
      .m_ChecksFencing = Item.value("checks_fencing", false),
      .m_Leaving = Item.value("state", "running") != "running",
      .m_Stopped = Item.value("state", "running") == "stopped"};
  for (const auto &Model : Item.value("models", Json::array()))
    Value.m_Models.emplace_back(Model.get<std::string>());
  return Value;
}

} // namespace

auto roleName(EngineRole Role) -> std::string {
  switch (Role) {
  case EngineRole::Mixed:
    return "mixed";
  case EngineRole::Prefill:
    return "prefill";
  case EngineRole::Decode:
    return "decode";
  }
  return {};
}

auto parseRole(const std::string &Name) -> EngineRole {
  for (auto Role : {EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode})
    if (roleName(Role) == Name)
      return Role;
  throw ProtocolError(301, "unknown engine role: " + Name);
}

auto parseBackends(const std::string &Document) -> std::vector<Backend> {
  try {
    auto Parsed = Json::parse(Document);
    auto Result = std::vector<Backend>();
    for (const auto &Item : Parsed.at("backends"))
      Result.push_back(parseBackend(Item));
    return Result;
  } catch (const Json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

auto parseLoad(const std::string &Document) -> EngineLoad {
  try {
    auto Item = Json::parse(Document);
    return {.m_Incarnation = Item.at("incarnation").get<std::string>(),
            .m_Role = parseRole(Item.at("role").get<std::string>()),
            .m_Running = Item.at("running").get<std::uint32_t>(),
            .m_Slots = std::max(1U, Item.at("slots").get<std::uint32_t>()),
            .m_QueuedPrefillTokens =
                Item.at("queued_prefill_tokens").get<std::uint64_t>(),
            .m_PrefillTokensPerSecond =
                std::max(MinTokensPerSecond,
                         Item.at("prefill_tokens_per_second").get<double>()),
            .m_DecodeTokensPerSecond =
                std::max(MinTokensPerSecond,
                         Item.at("decode_tokens_per_second").get<double>())};
  } catch (const Json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

} // namespace dotterel
