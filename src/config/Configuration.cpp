#include "dotterel/config/Configuration.h"

#include "dotterel/base/Errors.h"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace dotterel {

namespace {

using Json = nlohmann::json;

constexpr auto MaxDuration = Milliseconds(3'600'000);

auto presetToJson(const Preset &Value) -> Json {
  return {{"role_changes", Value.m_RoleChanges},
          {"cheap_servers", Value.m_CheapServers},
          {"server_orders", Value.m_ServerOrders},
          {"least_servers", Value.m_MinServers},
          {"queue_limit", Value.m_QueueLimit},
          {"interactive_deadline_ms", Value.m_InteractiveDeadline.count()},
          {"standard_deadline_ms", Value.m_StandardDeadline.count()},
          {"batch_deadline_ms", Value.m_BatchDeadline.count()}};
}

auto presetFromJson(const std::string &Id, const Json &Source) -> Preset {
  return {.m_Id = PresetId{Id},
          .m_RoleChanges = Source.at("role_changes").get<bool>(),
          .m_CheapServers = Source.at("cheap_servers").get<bool>(),
          .m_ServerOrders = Source.value("server_orders", false),
          .m_MinServers = Source.value("least_servers", 1U),
          .m_QueueLimit = Source.at("queue_limit").get<std::uint32_t>(),
          .m_InteractiveDeadline = Milliseconds(
              Source.at("interactive_deadline_ms").get<std::int64_t>()),
          .m_StandardDeadline = Milliseconds(
              Source.at("standard_deadline_ms").get<std::int64_t>()),
          .m_BatchDeadline =
              Milliseconds(Source.at("batch_deadline_ms").get<std::int64_t>())};
}

auto routeToJson(const Route &Value) -> Json {
  return {{"service", Value.m_Service},
          {"open", Value.m_Open},
          {"idempotent", Value.m_Idempotent},
          {"cheap_servers", Value.m_CheapServers},
          {"timeout_ms", Value.m_Timeout.count()}};
}

auto routeFromJson(const std::string &Id, const Json &Source) -> Route {
  return {.m_Id = RouteId{Id},
          .m_Service = Source.at("service").get<std::string>(),
          .m_Open = Source.at("open").get<bool>(),
          .m_Idempotent = Source.at("idempotent").get<bool>(),
          .m_CheapServers = Source.at("cheap_servers").get<bool>(),
          .m_Timeout =
              Milliseconds(Source.at("timeout_ms").get<std::int64_t>())};
}

auto checkName(const std::string &Path, const std::string &Text) -> void {
  if (isValidConfigurationName(Text))
    return;
  throw ConfigurationError(
      202, fmt::format("{}: a name is 1 to 64 of a-z 0-9 - _", Path));
}

auto checkDuration(const std::string &Path, Milliseconds Value) -> void {
  if (Value > Milliseconds::zero() && Value <= MaxDuration)
    return;
  throw ConfigurationError(202,
                           fmt::format("{}: {} is not within 1 to {} ms", Path,
                                       Value.count(), MaxDuration.count()));
}

auto validatePreset(const Preset &Value) -> void {
  auto Path = fmt::format("presets.{}", Value.m_Id.text());
  checkName(Path, Value.m_Id.text());
  checkDuration(Path + ".interactive_deadline_ms", Value.m_InteractiveDeadline);
  checkDuration(Path + ".standard_deadline_ms", Value.m_StandardDeadline);
  checkDuration(Path + ".batch_deadline_ms", Value.m_BatchDeadline);
  if (Value.m_MinServers == 0)
    throw ConfigurationError(202, Path + ".least_servers: must be at least 1");
  if (Value.m_QueueLimit == 0)
    throw ConfigurationError(202, Path + ".queue_limit: must be at least 1");
}

auto validateRoute(const Route &Value) -> void {
  auto Path = fmt::format("routes.{}", Value.m_Id.text());
  checkName(Path, Value.m_Id.text());
  if (Value.m_Id.text() == "v1" || Value.m_Id.text() == "metrics" ||
      Value.m_Id.text() == "healthz" || Value.m_Id.text() == "readyz")
    throw ConfigurationError(202, Path + ": the name is taken by the gate");
  checkName(Path + ".service", Value.m_Service);
  checkDuration(Path + ".timeout_ms", Value.m_Timeout);
  if (Value.m_CheapServers && !Value.m_Idempotent)
    throw ConfigurationError(
        202, Path + ".cheap_servers: only for routes that are idempotent");
}

auto readHead(const std::string &Head) -> Configuration {
  auto Source = Json::parse(Head);
  auto Value = Configuration{
      .m_Revision = ConfigRevision{Source.at("revision").get<std::uint64_t>()},
      .m_PresetInForce =
          PresetId{Source.at("preset_in_force").get<std::string>()}};
  for (const auto &[Id, Item] : Source.at("presets").items())
    Value.m_Presets[PresetId{Id}] = presetFromJson(Id, Item);
  for (const auto &[Id, Item] : Source.at("routes").items())
    Value.m_Routes[RouteId{Id}] = routeFromJson(Id, Item);
  for (const auto &Item : Source.at("drained"))
    Value.m_Drained.insert(BackendId{Item.get<std::string>()});
  for (const auto &Item : Source.value("stopping", Json::array()))
    Value.m_Stopping.insert(BackendId{Item.get<std::string>()});
  return Value;
}

using ShardDigests = std::array<std::uint64_t, ShardCount>;

auto readShardDigests(const std::string &Head) -> ShardDigests {
  return Json::parse(Head).at("shards").get<ShardDigests>();
}

} // namespace

auto Configuration::validate() const -> void {
  if (!m_Presets.contains(m_PresetInForce))
    throw ConfigurationError(202, fmt::format("preset_in_force: no preset {}",
                                              m_PresetInForce.text()));
  for (const auto &[Id, Item] : m_Presets)
    validatePreset(Item);
  for (const auto &[Id, Item] : m_Routes)
    validateRoute(Item);
}

auto Configuration::backendsWithoutNewWork() const -> std::set<BackendId> {
  auto Servers = m_Drained;
  Servers.insert(m_Stopping.begin(), m_Stopping.end());
  return Servers;
}

auto initialConfiguration() -> Configuration {
  auto Value = Configuration();
  auto Id = PresetId{"ordinary"};
  Value.m_Presets[Id] = {.m_Id = Id};
  Value.m_PresetInForce = Id;
  return Value;
}

auto encodeHead(const Configuration &Value) -> std::string {
  auto Presets = Json::object();
  for (const auto &[Id, Item] : Value.m_Presets)
    Presets[Id.text()] = presetToJson(Item);
  auto Routes = Json::object();
  for (const auto &[Id, Item] : Value.m_Routes)
    Routes[Id.text()] = routeToJson(Item);
  auto Names = [](const std::set<BackendId> &Ids) {
    auto List = Json::array();
    for (const auto &Id : Ids)
      List.push_back(Id.text());
    return List;
  };
  auto Digests = Json::array();
  for (auto Shard = std::size_t{0}; Shard < ShardCount; ++Shard)
    Digests.push_back(Value.m_Keys.digest(Shard));
  return Json{{"revision", Value.m_Revision.number()},
              {"drained", Names(Value.m_Drained)},
              {"stopping", Names(Value.m_Stopping)},
              {"preset_in_force", Value.m_PresetInForce.text()},
              {"presets", Presets},
              {"routes", Routes},
              {"shards", Digests}}
      .dump();
}

auto assembleConfiguration(const std::string &Head,
                           const std::map<std::size_t, std::string> &Shards,
                           const Configuration *Known)
    -> std::optional<Configuration> {
  try {
    auto Value = readHead(Head);
    auto Digests = readShardDigests(Head);
    for (auto Shard = std::size_t{0}; Shard < ShardCount; ++Shard) {
      auto Found = Shards.find(Shard);
      if (Found != Shards.end())
        Value.m_Keys.load(Shard, Found->second);
      else if (Known != nullptr)
        Value.m_Keys.share(Shard, Known->m_Keys);
      else
        return std::nullopt;
      if (Value.m_Keys.digest(Shard) != Digests[Shard])
        return std::nullopt;
    }
    Value.validate();
    return Value;
  } catch (const Json::exception &Failure) {
    throw ConfigurationError(201, Failure.what());
  }
}

} // namespace dotterel
