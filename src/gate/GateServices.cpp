#include "dotterel/gate/GateServices.h"

#include "dotterel/auth/KeyDigest.h"
#include "dotterel/base/Log.h"

namespace dotterel {

namespace {

/// Returns a refusal if the gate has no configuration or a stale one, in which
/// case it cannot determine whether a key is granted.
auto checkFreshness(const GateServices &Services) -> std::optional<Refusal> {
  if (!Services.m_Configuration.current())
    return Refusal(RefusalCode::NotReady);
  auto State = Services.m_Freshness.evaluate(Services.m_Scheduler.now(),
                                             Services.m_Members,
                                             Services.m_ListedProcesses);
  if (State == Freshness::Stale)
    return Refusal(RefusalCode::ConfigurationStale);
  return std::nullopt;
}

} // namespace

auto authorize(const GateServices &Services, const HttpRequest &Request)
    -> std::variant<Caller, Refusal> {
  auto Key = bearerToken(Request);
  if (!Key)
    return Refusal(RefusalCode::KeyMissing);
  if (auto Stale = checkFreshness(Services))
    return *Stale;
  auto Found = findCaller(*Services.m_Configuration.current(),
                          digestKey(*Key, Services.m_KeySecret));
  if (!Found)
    return Refusal(RefusalCode::KeyUnknown);
  if (containsKey(Request, *Key))
    return Refusal(RefusalCode::KeyInRequest);
  return *Found;
}

auto recheckAuthorization(const GateServices &Services, const Caller &Caller)
    -> std::optional<Refusal> {
  if (Caller.m_KeyDigest.empty())
    return std::nullopt;
  if (auto Stale = checkFreshness(Services))
    return Stale;
  if (!isKeyGranted(*Services.m_Configuration.current(), Caller))
    return Refusal(RefusalCode::KeyWithdrawn, Execution::NotRun);
  return std::nullopt;
}

auto recordRateLimit(const GateServices &Services, const BackendId &Server,
                     const HttpHeaders &Headers) -> void {
  auto Limit = std::optional<RequestRate>();
  if (auto Value = findHeader(Headers, "x-rate-limit")) {
    Limit = parseRequestRate(*Value);
    if (!Limit)
      logWarning("backend.unreadable-rate-limit",
                 {{"backend", Server}, {"value", *Value}});
  }
  Services.m_Engines.rateLimits().recordResponse(Server, Limit,
                                                 Services.m_Scheduler.now());
}

} // namespace dotterel
