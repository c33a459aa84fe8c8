#include "dotterel/serving/ServingCore.h"

#include "dotterel/base/Log.h"
#include "dotterel/serving/ConfigurationCheck.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <utility>

namespace dotterel {

namespace {

/// Retry-after time of a host without a configuration, or without a recent
/// confirmation of it: the store is queried again within this time.
constexpr auto NotReadyRetryAfter = Milliseconds(500);
/// Smooths out changes in demand that engines cannot follow, since they take
/// seconds to start.
constexpr auto DemandTimeConstant = Seconds(10);

} // namespace

ServingCore::ServingCore(Scheduler &Scheduler, Random &Random,
                         BackendTransport &Transport, const Distance &Distance,
                         ServingMetrics &Metrics,
                         std::function<void(const OrganisationId &)> CountUsage,
                         const ServingCoreOptions &Options)
    : m_Scheduler(Scheduler), m_Options(Options), m_Loads(Options.m_Loads),
      m_Health(Options.m_Outliers), m_Speed(Options.m_Speed),
      m_Speeds(Random, Options.m_Speeds), m_Retries(Options.m_Retries),
      m_Access(Options.m_RateLimits, Options.m_Access),
      m_OrganisationLimits(Random, Options.m_Incarnation, Scheduler.now(),
                           Options.m_OrganisationLimits),
      m_Crashes(Scheduler, Transport, Metrics, Options.m_Crashes),
      m_Freshness({.m_MaxAge = Options.m_MaxConfirmationAge}),
      m_ServerChoice(Options.m_ServerChoice), m_Placement(Options.m_Placement),
      m_Offloads(Options.m_Offload, Options.m_ServerChoice.m_WorkTime, Random,
                 Metrics),
      m_LocalOrigins(Scheduler, {}), m_Random(Random),
      m_Metrics(Metrics), m_Context{
                              .m_Scheduler = Scheduler,
                              .m_Random = Random,
                              .m_Transport = Transport,
                              .m_Origins = &m_LocalOrigins,
                              .m_Directory = m_Directory,
                              .m_Loads = m_Loads,
                              .m_Health = m_Health,
                              .m_Distance = Distance,
                              .m_Caches = m_Caches,
                              .m_Speed = m_Speed,
                              .m_Speeds = m_Speeds,
                              .m_Retries = m_Retries,
                              .m_RateLimits = m_Access.rateLimits(),
                              .m_Access = m_Access,
                              .m_OrganisationLimits = m_OrganisationLimits,
                              .m_Crashes = m_Crashes,
                              .m_Metrics = Metrics,
                              .m_ServerChoice = m_ServerChoice,
                              .m_Placement = m_Placement,
                              .m_Offloads = m_Offloads,
                              .m_Options = Options.m_Requests,
                              .m_CountUsage = std::move(CountUsage),
                              .m_Demand = DemandMeter(DemandTimeConstant)} {
  m_Directory.onInvalidate([this](const BackendId &Id) {
    m_Loads.remove(Id);
    m_Health.remove(Id);
    m_Speeds.remove(Id);
    // A server that is not listed, perhaps for a while only, keeps its limit.
    if (m_Directory.find(Id) != nullptr)
      rateLimits().remove(Id);
    m_Caches.remove(Id);
  });
}

ServingCore::~ServingCore() { *m_Alive = false; }

auto ServingCore::apply(ServingConfiguration Configuration) -> bool {
  if (m_Configuration &&
      Configuration.m_Revision <= m_Configuration->m_Revision)
    return false;
  auto Before = m_Configuration ? m_Configuration->m_Revision.number() : 0;
  m_Configuration =
      std::make_shared<const ServingConfiguration>(std::move(Configuration));
  m_Routes.emplace(*m_Configuration);
  m_Offloads.retain(*m_Configuration);
  m_OrganisationLimits.setLimits(m_Configuration->m_OrganisationLimits);
  logInfo("config.applied",
          {{"revision", m_Configuration->m_Revision},
           {"before", Before},
           {"routes", m_Configuration->m_Routes.size()},
           {"keys", m_Configuration->m_Keys.size()},
           {"limits", m_Configuration->m_OrganisationLimits.size()},
           {"idle_timeout_ms",
            toMilliseconds(m_Configuration->m_Limits.m_IdleTimeout)}});
  logFindings(*m_Configuration);
  m_Metrics.setConfigRevision(
      static_cast<double>(m_Configuration->m_Revision.number()));
  return true;
}

auto ServingCore::collectLoads() -> LoadSummary {
  auto &Demand = m_Context.m_Demand;
  Demand.update(m_Scheduler.now());
  return {.m_Engines = m_Loads.summary(),
          .m_PrefillTokensPerSecond =
              Demand.biasCorrection() > 0
                  ? Demand.prefillRate() / Demand.biasCorrection()
                  : 0,
          .m_Reads = std::exchange(m_Context.m_Reads, {}),
          .m_RateLimits = rateLimits().ownReports(m_Scheduler.now()),
          .m_Speeds = m_Speeds.collectReports(m_Scheduler.now())};
}

auto ServingCore::applyLoads(const std::string &Origin,
                             const LoadSummary &Loads) -> void {
  m_Loads.setPeerLoads(Origin, Loads.m_Engines, m_Scheduler.now());
  for (const auto &Report : Loads.m_RateLimits)
    if (m_Directory.find(Report.m_Backend) != nullptr)
      rateLimits().merge(Report, m_Scheduler.now());
  for (const auto &Report : Loads.m_Speeds)
    if (m_Directory.find(Report.m_Backend) != nullptr)
      m_Speeds.merge(Report, m_Scheduler.now());
  for (const auto &Prompt : Loads.m_Reads) {
    const auto *Engine = m_Directory.find(Prompt.m_Engine);
    if (Engine == nullptr || !m_Configuration)
      continue;
    auto Service = m_Configuration->m_Services.find(Engine->m_Service);
    if (Service != m_Configuration->m_Services.end() &&
        Service->second.m_Engine)
      m_Caches.touch(Prompt.m_Engine, Service->second.m_Engine->m_CacheCapacity,
                     Prompt.m_Parts);
  }
}

auto ServingCore::confirmationAge() const -> Duration {
  return m_Freshness.age(m_Scheduler.now());
}

auto ServingCore::refuse(const CallerExchangePtr &Exchange, RefusalCode Code,
                         const std::string &Detail,
                         std::optional<Duration> RetryAfter) -> void {
  auto Age = confirmationAge();
  logWarning(
      "request.refused",
      {{"request", Exchange->request().m_Id},
       {"outcome", definitionOf(Code).m_Name},
       {"detail", Detail},
       {"config",
        m_Configuration ? m_Configuration->m_Revision : ConfigRevision{}},
       {"evidence_age_ms",
        Age == Duration::max() ? std::int64_t{-1} : toMilliseconds(Age)}});
  Exchange->refuse(Refusal(Code, Execution::NotRun, Detail), RetryAfter);
}

auto ServingCore::chooseService(const ServingRoute &Route)
    -> const ServiceSpec * {
  auto Total = 0.0;
  for (const auto &Share : Route.m_Shares)
    Total += Share.m_Weight;
  auto Point = m_Random.unit() * Total;
  for (const auto &Share : Route.m_Shares) {
    Point -= Share.m_Weight;
    if (Point >= 0 && &Share != &Route.m_Shares.back())
      continue;
    auto Found = m_Configuration->m_Services.find(Share.m_Service);
    return Found == m_Configuration->m_Services.end() ? nullptr
                                                      : &Found->second;
  }
  return nullptr;
}

auto ServingCore::beginShutdown(const ShutdownPeriods &Periods) -> void {
  m_Shutdown.begin(m_Scheduler.now(), Periods);
}

auto ServingCore::endShutdown() -> void {
  m_Shutdown.close();
  // Iterates over a copy, since a request that ends removes itself. The object
  // is destroyed in a later iteration of the event loop.
  auto Unfinished = std::vector<ServedRequest *>();
  for (const auto &[Id, Request] : m_Requests)
    Unfinished.push_back(Request.get());
  for (auto *Request : Unfinished)
    Request->endForShutdown();
}

auto ServingCore::refuseForShutdown(const CallerExchangePtr &Exchange,
                                    const ServingRoute &Route) -> bool {
  auto Now = m_Scheduler.now();
  auto Limit =
      std::min(Route.m_Timeout,
               Exchange->request().m_TimeLeft.value_or(Route.m_Timeout));
  if (m_Shutdown.accepts(Now, Limit))
    return false;
  refuse(Exchange, RefusalCode::ShuttingDown,
         fmt::format("the process exits in {} ms, the request may take {} ms",
                     toMilliseconds(m_Shutdown.timeLeft(Now)),
                     toMilliseconds(Limit)),
         m_Options.m_Requests.m_MinRetryAfter);
  return true;
}

auto ServingCore::refuseOverLimit(const CallerExchangePtr &Exchange,
                                  RequestParameters &Parameters) -> bool {
  const auto &Prompt = Exchange->request().m_Prompt;
  auto Tokens = std::optional<TokenCount>();
  if (Prompt) {
    // Callers may state any numbers: the sum must not wrap.
    auto Most = std::numeric_limits<std::uint64_t>::max();
    Tokens = TokenCount{std::min(Prompt->m_PromptTokens.number(),
                                 Most - Prompt->m_OutputLimit.number()) +
                        Prompt->m_OutputLimit.number()};
  }
  auto Decision = m_OrganisationLimits.take(Parameters.m_Organisation, Tokens,
                                            m_Scheduler.now());
  Parameters.m_Charge = Decision.m_Charge;
  if (Decision.granted())
    return false;
  m_Metrics.countLimitDenial(Decision.m_Denial);
  refuse(
      Exchange,
      Decision.m_Denial == LimitDenial::HostsUnknown ? RefusalCode::NotReady
                                                     : RefusalCode::OverLimit,
      fmt::format("limit of organisation {}: {}, {:.0f} of {:.0f} left, "
                  "oldest report {} ms, retry after {} ms",
                  Parameters.m_Organisation.text(), nameOf(Decision.m_Denial),
                  Decision.m_Left.number(), Decision.m_Requested.number(),
                  toMilliseconds(Decision.m_OldestReport),
                  toMilliseconds(Decision.m_RetryAfter)),
      Decision.m_RetryAfter);
  return true;
}

auto ServingCore::serve(CallerExchangePtr Exchange) -> void {
  if (!m_Configuration) {
    refuse(Exchange, RefusalCode::NotReady, "", NotReadyRetryAfter);
    return;
  }
  const auto &Request = Exchange->request();
  const auto *Route = m_Routes->find(Request.m_Host, Request.m_Path);
  if (Route == nullptr && confirmationAge() == Duration::max()) {
    // The configuration may be an old one, of a restored store.
    refuse(Exchange, RefusalCode::NotReady, "", NotReadyRetryAfter);
    return;
  }
  if (Route == nullptr) {
    refuse(Exchange, RefusalCode::UnknownRoute, "", std::nullopt);
    return;
  }
  auto Parameters = RequestParameters{.m_Configuration = m_Configuration,
                                      .m_Route = Route,
                                      .m_Priority = Route->m_Priority};
  if (m_Configuration->m_KeysRequired && !Route->m_Public) {
    if (Request.m_Key.empty()) {
      refuse(Exchange, RefusalCode::KeyMissing, "", std::nullopt);
      return;
    }
    if (m_Options.m_RequireConfirmation &&
        confirmationAge() > m_Options.m_MaxConfirmationAge) {
      refuse(Exchange, RefusalCode::ConfigurationStale, "", NotReadyRetryAfter);
      return;
    }
    auto Holder = m_Configuration->m_Keys.find(Request.m_Key);
    if (Holder == m_Configuration->m_Keys.end()) {
      refuse(Exchange, RefusalCode::KeyUnknown, "", std::nullopt);
      return;
    }
    Parameters.m_Organisation = Holder->second.m_Organisation;
    Parameters.m_Priority =
        Holder->second.m_Priority.value_or(Route->m_Priority);
  }
  if (refuseForShutdown(Exchange, *Route))
    return;
  Parameters.m_Service = chooseService(*Route);
  if (Parameters.m_Service == nullptr) {
    refuse(Exchange, RefusalCode::NoBackend, "the route's service is unknown",
           NotReadyRetryAfter);
    return;
  }
  if (refuseOverLimit(Exchange, Parameters))
    return;
  auto Id = ++m_LastRequest;
  auto Created = std::make_unique<ServedRequest>(m_Context, std::move(Exchange),
                                                 std::move(Parameters),
                                                 [this, Id] { retire(Id); });
  auto &Current = *Created;
  m_Requests.emplace(Id, std::move(Created));
  Current.start();
}

auto ServingCore::retire(std::uint64_t Id) -> void {
  auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end())
    return;
  // The request may be on the call stack, so it is destroyed in the next
  // iteration of the event loop.
  auto Ended = std::shared_ptr<ServedRequest>(std::move(Found->second));
  m_Requests.erase(Found);
  m_Scheduler.schedule(Duration::zero(), [Ended] {});
}

} // namespace dotterel
