#include "dotterel/serving/OffloadDecisions.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Sums over the servers of one data centre.
struct ServerSums {
  struct Stage {
    double m_Slots = 0;
    double m_Requests = 0;
  };

  Stage m_Prefill;
  Stage m_Serving; ///< Decode engines, or servers of a plain service.
  double m_QueuedTokens = 0;
  double m_TokensPerMs = 0;
};

auto milliseconds(double Value) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Value));
}

auto occupancy(const ServerSums::Stage &Stage) -> double {
  return Stage.m_Slots > 0 ? Stage.m_Requests / Stage.m_Slots : 0;
}

auto addServer(ServerSums &Sums, const ChoiceView &View,
               const PrefillSpeed &Speed, const BackendRecord &Server,
               MonotonicTime Now) -> void {
  auto IsPrefill = Server.m_Stage == EngineStage::Prefill;
  auto &Stage = IsPrefill ? Sums.m_Prefill : Sums.m_Serving;
  Stage.m_Slots += std::max(1.0, static_cast<double>(Server.m_Slots));
  Stage.m_Requests += View.m_Loads.ownRequests(Server.m_Id) +
                      View.m_Loads.otherRequests(Server.m_Id, Now);
  Sums.m_QueuedTokens +=
      View.m_Loads.ownPrefillTokens(Server.m_Id) +
      View.m_Loads.otherPrefillTokens(Server.m_Id, Now).value_or(0);
  auto UsualRate = IsPrefill ? Speed.prefillEngineTokensPerMs()
                             : Speed.decodeEngineTokensPerMs();
  Sums.m_TokensPerMs += UsualRate / View.m_Speeds.slowdown(Server.m_Id, Now);
}

auto summarise(const DataCentreId &DataCentre, const ServerSums &Sums,
               const ChoiceView &View, const PrefillSpeed &Speed,
               bool HasEngines, Duration WorkTime, MonotonicTime Now)
    -> DataCentreFigures {
  const auto &Prefill = Sums.m_Prefill;
  const auto &Serving = Sums.m_Serving;
  auto Result = DataCentreFigures{
      .m_DataCentre = DataCentre,
      .m_Remote = View.m_Distance.to(DataCentre) == Nearness::Remote,
      .m_Occupancy = std::max(occupancy(Prefill), occupancy(Serving)),
      .m_Age = View.m_Loads.reportAge(DataCentre.text(), Now),
      .m_AllStages = Serving.m_Slots > 0};
  Result.m_Slots = Prefill.m_Slots > 0 && Serving.m_Slots > 0
                       ? std::min(Prefill.m_Slots, Serving.m_Slots)
                       : Prefill.m_Slots + Serving.m_Slots;
  if (HasEngines && Sums.m_TokensPerMs > 0) {
    Result.m_Wait = milliseconds(Sums.m_QueuedTokens / Sums.m_TokensPerMs);
    Result.m_WaitPerRequest =
        milliseconds(Speed.meanNewTokens() / Sums.m_TokensPerMs);
  } else if (!HasEngines && Serving.m_Slots > 0) {
    auto Waiting = std::max(0.0, Serving.m_Requests - Serving.m_Slots);
    auto PerRequest =
        std::chrono::duration_cast<Duration>(WorkTime * (1 / Serving.m_Slots));
    Result.m_Wait = std::chrono::duration_cast<Duration>(PerRequest * Waiting);
    Result.m_WaitPerRequest = PerRequest;
  }
  return Result;
}

auto requestOf(const ServiceSpec &Service, const ServingRoute &Route,
               const CallerRequest &Request) -> OffloadRequest {
  auto Result =
      OffloadRequest{.m_Route = Route.m_Id,
                     .m_Target = Route.m_LatencyTarget,
                     .m_Repeatable = Route.repeatable(),
                     .m_Bytes = static_cast<double>(Request.m_Body.size())};
  if (Service.m_Engine && Request.m_Prompt)
    Result.m_CacheBytes =
        static_cast<double>(Request.m_Prompt->m_PromptTokens.number()) *
        static_cast<double>(Service.m_Engine->m_BytesPerToken);
  return Result;
}

} // namespace

auto offloadFigures(const ChoiceView &View, const PrefillSpeed &Speed,
                    const ServiceSpec &Service, Duration WorkTime,
                    MonotonicTime Now) -> OffloadFigures {
  const auto &Self = View.m_Distance.self().m_DataCentre;
  auto ByDataCentre = std::map<DataCentreId, ServerSums>();
  auto Excluded = std::set<BackendId>();
  for (const auto *Server : candidates(View, Service.m_Id, Excluded, Now))
    if (!View.m_Loads.inBackoff(Server->m_Id, Now))
      addServer(ByDataCentre[Server->m_DataCentre], View, Speed, *Server, Now);
  auto Result = OffloadFigures{.m_Own = {.m_DataCentre = Self}};
  for (const auto &[DataCentre, Sums] : ByDataCentre) {
    auto Figures = summarise(DataCentre, Sums, View, Speed,
                             Service.m_Engine.has_value(), WorkTime, Now);
    if (DataCentre == Self) {
      Result.m_Own = std::move(Figures);
      continue;
    }
    Result.m_Others.push_back(std::move(Figures));
  }
  // The other origins are hosts of this data centre.
  for (const auto &Origin : View.m_Loads.recentOrigins(Now))
    if (!ByDataCentre.contains(DataCentreId{Origin}))
      ++Result.m_Hosts;
  return Result;
}

auto OffloadDecisions::choose(const ChoiceView &View, const PrefillSpeed &Speed,
                              const ServiceSpec &Service,
                              const ServingRoute &Route,
                              const CallerRequest &Request, MonotonicTime Now)
    -> OffloadChoice {
  if (!m_Options.m_Enabled || Route.m_LatencyTarget <= Duration::zero())
    return {};
  auto Found = m_Services.find(Service.m_Id);
  if (Found == m_Services.end())
    Found = m_Services
                .emplace(Service.m_Id, DataCentreOffload(Service.m_Id.text(),
                                                         m_Options, m_Random))
                .first;
  auto &Decision = Found->second;
  if (Decision.due(Now)) {
    Decision.update(offloadFigures(View, Speed, Service, m_WorkTime, Now), Now);
    exportPressure();
  }
  auto Choice = Decision.choose(requestOf(Service, Route, Request), Now);
  auto Near = Choice.m_Lender ? View.m_Distance.to(*Choice.m_Lender)
                              : Nearness::DataCentre;
  m_Metrics.countOffload(nameOf(Choice.m_Reason), nameOf(Near));
  return Choice;
}

auto OffloadDecisions::exportPressure() -> void {
  auto Here = 0.0;
  auto Elsewhere = 0.0;
  for (const auto &[Id, Decision] : m_Services) {
    Here = std::max(Here, Decision.pressure());
    Elsewhere = std::max(Elsewhere, Decision.lowestOccupancyElsewhere());
  }
  m_Metrics.setOffloadPressure(Here, Elsewhere);
}

auto OffloadDecisions::retain(const ServingConfiguration &Configuration)
    -> void {
  std::erase_if(m_Services, [&](const auto &Item) {
    return !Configuration.m_Services.contains(Item.first);
  });
}

} // namespace dotterel
