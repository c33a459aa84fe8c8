#include "dotterel/fleet/OpenOrders.h"

#include "dotterel/base/Errors.h"

#include <nlohmann/json.hpp>

namespace dotterel {

auto encodeOpenOrders(const OpenOrderRecord &Record) -> std::string {
  auto Engines = nlohmann::json::array();
  for (const auto &Engine : Record.m_Engines)
    Engines.push_back(Engine.text());
  return nlohmann::json{{"era", Record.m_Era.number()}, {"engines", Engines}}
      .dump();
}

auto decodeOpenOrders(const std::string &Document) -> OpenOrderRecord {
  try {
    auto Source = nlohmann::json::parse(Document);
    auto Record = OpenOrderRecord{
        .m_Era = StoreEra{Source.at("era").get<std::uint64_t>()}};
    for (const auto &Engine : Source.at("engines"))
      Record.m_Engines.insert(BackendId{Engine.get<std::string>()});
    return Record;
  } catch (const nlohmann::json::exception &Failure) {
    throw ProtocolError(301, Failure.what());
  }
}

auto OpenOrders::beginGrant(MonotonicTime Now) -> void {
  m_Inherited = false;
  m_InheritedEngines.reset();
  m_InheritedUntil = Now + m_Options.m_MaxDelayOfEarlierGrants;
  // The record names the engines of these orders as well.
  m_Orders.clear();
}

auto OpenOrders::inherit(const std::optional<std::set<BackendId>> &Engines)
    -> void {
  m_Inherited = true;
  m_InheritedEngines = Engines;
}

auto OpenOrders::heldByEarlierGrant(const BackendId &Engine,
                                    MonotonicTime Now) const -> bool {
  return awaitsEarlierGrants(Now) &&
         (!m_InheritedEngines || m_InheritedEngines->contains(Engine));
}

auto OpenOrders::heldUntil(const BackendId &Engine, EngineStage Stage,
                           MonotonicTime Now) const
    -> std::optional<MonotonicTime> {
  if (heldByEarlierGrant(Engine, Now))
    return m_InheritedUntil;
  auto Found = m_Orders.find(Engine);
  if (Found == m_Orders.end() || Found->second.m_Stage == Stage)
    return std::nullopt;
  return Found->second.m_Copies.openUntil(Now, m_Options.m_MaxDelay);
}

auto OpenOrders::recordSent(const BackendId &Engine, EngineStage Stage)
    -> void {
  auto &Sent = m_Orders[Engine];
  Sent.m_Stage = Stage;
  Sent.m_Copies.recordSent();
}

auto OpenOrders::recordOutcome(const BackendId &Engine, OrderOutcome Outcome,
                               MonotonicTime Now) -> void {
  auto Found = m_Orders.find(Engine);
  if (Found == m_Orders.end())
    return;
  auto &Copies = Found->second.m_Copies;
  Copies.recordOutcome(Outcome, Now, m_Options.m_MaxDelay);
  if (Copies.isComplete(Now))
    m_Orders.erase(Found);
}

auto OpenOrders::engines(MonotonicTime Now) const
    -> std::optional<std::set<BackendId>> {
  auto Result = std::set<BackendId>();
  if (awaitsEarlierGrants(Now)) {
    if (!m_InheritedEngines)
      return std::nullopt;
    Result = *m_InheritedEngines;
  }
  for (const auto &[Engine, Order] : m_Orders)
    if (!Order.m_Copies.isComplete(Now))
      Result.insert(Engine);
  return Result;
}

} // namespace dotterel
