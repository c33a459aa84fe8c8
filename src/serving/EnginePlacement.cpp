#include "dotterel/serving/EnginePlacement.h"

#include "dotterel/serving/ChoiceSample.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <utility>
#include <xxhash.h>

namespace dotterel {

namespace {

auto asDuration(double Milliseconds) -> Duration {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Milliseconds));
}

} // namespace

auto homeOf(const PromptShape &Prompt,
            const std::vector<const BackendRecord *> &Engines)
    -> const BackendRecord * {
  const BackendRecord *Best = nullptr;
  auto BestScore = std::uint64_t{0};
  for (const auto *Engine : Engines) {
    auto Text = Engine->m_Id.text() + '/';
    if (!Prompt.m_Parts.empty())
      Text += Prompt.m_Parts.front().m_Id;
    auto Score = XXH3_64bits(Text.data(), Text.size());
    if (Best == nullptr || Score > BestScore) {
      Best = Engine;
      BestScore = Score;
    }
  }
  return Best;
}

auto EnginePlacement::findCacheHolder(
    const PromptShape &Prompt, const PartCaches &Caches,
    const std::vector<const BackendRecord *> &Engines) -> CacheHolder {
  auto Best = CacheHolder();
  for (const auto *Engine : Engines) {
    auto CachedTokens = static_cast<double>(Caches.match(Engine->m_Id, Prompt));
    if (CachedTokens > Best.m_CachedTokens)
      Best = {.m_Engine = Engine, .m_CachedTokens = CachedTokens};
  }
  return Best;
}

auto EnginePlacement::estimatePrefill(const BackendRecord &Engine,
                                      const BackendRecord *Home,
                                      const CacheHolder &Source,
                                      const PartCaches &Caches,
                                      const PromptShape &Prompt) const
    -> PrefillEstimate {
  auto Total = static_cast<double>(Prompt.m_PromptTokens.number());
  // The last part is specific to the request: no engine has prefilled it.
  auto Shared = 0.0;
  for (auto Index = std::size_t{0}; Index + 1 < Prompt.m_Parts.size(); ++Index)
    Shared += static_cast<double>(Prompt.m_Parts[Index].m_Tokens.number());
  Shared = std::min(Shared, Total);
  auto CachedTokens =
      std::min(Total, static_cast<double>(Caches.match(Engine.m_Id, Prompt)));
  auto Missing = Shared - CachedTokens;
  if (Home == nullptr || Missing <= 0)
    return {.m_NewTokens = Total - CachedTokens,
            .m_CostTokens = Total - CachedTokens};
  auto IsHome = Home->m_Id == Engine.m_Id;
  auto Result = PrefillEstimate{
      .m_NewTokens = Total - CachedTokens,
      .m_CostTokens = Total - Shared +
                      Missing * (IsHome ? m_Options.m_HomeCostShare
                                        : m_Options.m_CopyCostShare)};
  if (Source.m_Engine != nullptr && Source.m_CachedTokens > CachedTokens) {
    Result.m_NewTokens = Total - std::min(Total, Source.m_CachedTokens);
    Result.m_FetchFrom = Source.m_Engine->m_Address;
  } else if (!IsHome) {
    // Another host may have had it prefilled there since its last report.
    Result.m_FetchFrom = Home->m_Address;
  }
  return Result;
}

auto EnginePlacement::draw(const ChoiceView &View,
                           std::vector<const BackendRecord *> Engines,
                           const DataCentreId &From) const
    -> std::vector<const BackendRecord *> {
  if (m_Options.m_Choices == 0 || !View.m_Speeds.anyStated())
    return Engines;
  auto ByStage = std::map<EngineStage, std::vector<const BackendRecord *>>();
  for (const auto *Engine : Engines)
    ByStage[Engine->m_Stage].push_back(Engine);
  auto Result = std::vector<const BackendRecord *>();
  for (const auto &[Stage, Group] : ByStage) {
    auto Drawn = drawChoices(Group, View.m_Distance, From, m_Options.m_Choices,
                             View.m_Random);
    Result.insert(Result.end(), Drawn.begin(), Drawn.end());
  }
  return Result;
}

auto EnginePlacement::distanceCost(const ChoiceView &View,
                                   const BackendRecord &Engine) const
    -> Duration {
  switch (View.m_Distance.to(Engine.m_DataCentre)) {
  case Nearness::DataCentre:
    return Duration::zero();
  case Nearness::Region:
    return m_Options.m_RegionPenalty;
  case Nearness::Remote:
    return m_Options.m_RemotePenalty;
  }
  return Duration::zero();
}

auto EnginePlacement::offloadBias(const ChoiceView &View,
                                  const BackendRecord &Engine,
                                  const PromptShape &Prompt,
                                  const BackendRecord *Home) const -> Duration {
  // The cache of a shared part is at its home, wherever that is.
  if (&Engine == Home && Prompt.m_Parts.size() > 1)
    return Duration::zero();
  return View.m_Offload.bias(Engine.m_DataCentre, distanceCost(View, Engine));
}

auto EnginePlacement::queueTokens(const ChoiceView &View,
                                  const PrefillSpeed &Speed,
                                  const BackendRecord &Engine,
                                  MonotonicTime Now) const -> double {
  auto Tokens = View.m_Loads.ownPrefillTokens(Engine.m_Id);
  if (auto Others = View.m_Loads.otherPrefillTokens(Engine.m_Id, Now))
    return Tokens + *Others;
  // At a prefill engine every request of other hosts has a prompt to prefill;
  // at a decode engine only the waiting ones have.
  auto Prompts = Engine.m_Stage == EngineStage::Prefill
                     ? View.m_Loads.otherRequests(Engine.m_Id, Now)
                     : View.m_Loads.waitingRequests(Engine.m_Id, Now);
  return Tokens + Prompts * Speed.meanNewTokens();
}

auto EnginePlacement::transferTime(const ServiceSpec &Service,
                                   const PromptShape &Prompt,
                                   Nearness Near) const -> Duration {
  if (!Service.m_Engine || Service.m_Engine->m_LinkMegabitsPerSecond <= 0)
    return Duration::zero();
  constexpr auto BitsPerByte = 8.0;
  constexpr auto BitsPerMegabit = 1e6;
  constexpr auto MillisecondsPerSecond = 1000.0;
  // Factors that the platform specifies for its links.
  auto Factor = Near == Nearness::DataCentre ? 1.0
                : Near == Nearness::Region   ? 2.0
                                             : 10.0;
  auto Bits = static_cast<double>(Prompt.m_PromptTokens.number()) *
              static_cast<double>(Service.m_Engine->m_BytesPerToken) *
              BitsPerByte;
  return asDuration(
      Factor * Bits * MillisecondsPerSecond /
      (Service.m_Engine->m_LinkMegabitsPerSecond * BitsPerMegabit));
}

auto EnginePlacement::plan(const ChoiceView &View, const PartCaches &Caches,
                           const PrefillSpeed &Speed,
                           const ServiceSpec &Service,
                           const PromptShape &Prompt,
                           const std::set<BackendId> &Excluded,
                           MonotonicTime Now) const -> EnginePlan {
  auto Engines = candidates(View, Service.m_Id, Excluded, Now);
  auto PrefillEngines = std::vector<const BackendRecord *>();
  for (const auto *Engine : Engines) {
    if (Engine->m_Stage != EngineStage::Prefill)
      continue;
    PrefillEngines.push_back(Engine);
  }
  const auto *Home = homeOf(Prompt, PrefillEngines);
  auto Source = findCacheHolder(Prompt, Caches, PrefillEngines);
  auto HasDecodeEngines =
      std::any_of(Engines.begin(), Engines.end(), [](const auto *Engine) {
        return Engine->m_Stage == EngineStage::Decode;
      });
  auto Time = asDuration(static_cast<double>(Prompt.m_PromptTokens.number()) /
                         Speed.prefillEngineTokensPerMs());
  if (Time < m_Options.m_LoadAge)
    Engines =
        draw(View, std::move(Engines), View.m_Distance.self().m_DataCentre);
  auto Best = EnginePlan();
  auto BestCost = Duration::max();
  for (const auto *Engine : Engines) {
    auto OnPrefillEngine = Engine->m_Stage == EngineStage::Prefill;
    if (OnPrefillEngine && !HasDecodeEngines)
      continue;
    auto Estimate = estimatePrefill(*Engine, Home, Source, Caches, Prompt);
    auto Rate = OnPrefillEngine ? Speed.prefillEngineTokensPerMs()
                                : Speed.decodeEngineTokensPerMs();
    auto Slowdown = View.m_Speeds.slowdown(Engine->m_Id, Now);
    auto UsualRate = Rate;
    Rate /= Slowdown;
    auto Queue = queueTokens(View, Speed, *Engine, Now);
    auto UsualTime = asDuration((Queue + Estimate.m_NewTokens) / UsualRate);
    auto Cost = asDuration((Queue + Estimate.m_CostTokens) / Rate) +
                distanceCost(View, *Engine);
    if (OnPrefillEngine) {
      Cost += m_Options.m_HandoverTime +
              transferTime(Service, Prompt,
                           View.m_Distance.to(Engine->m_DataCentre));
    } else {
      auto Running = View.m_Loads.ownRequests(Engine->m_Id) +
                     View.m_Loads.otherRequests(Engine->m_Id, Now);
      Cost += std::chrono::duration_cast<Duration>(
          Running * Slowdown * m_Options.m_DelayPerRequest +
          (Slowdown - 1) * m_Options.m_FirstStepTime);
      UsualTime += m_Options.m_FirstStepTime +
                   std::chrono::duration_cast<Duration>(
                       Running * m_Options.m_DelayPerRequest);
      Cost += asDuration(m_Options.m_DecodeInterference * Estimate.m_NewTokens /
                         Rate);
    }
    auto Compared = Cost + offloadBias(View, *Engine, Prompt, Home);
    if (Compared >= BestCost)
      continue;
    BestCost = Compared;
    Best = {.m_Prefill = OnPrefillEngine ? Engine : nullptr,
            .m_Serve = OnPrefillEngine ? nullptr : Engine,
            .m_FetchFrom = Estimate.m_FetchFrom,
            .m_NewTokens = Estimate.m_NewTokens,
            .m_Estimate = Cost,
            .m_UsualTime =
                Queue <= Estimate.m_NewTokens ? UsualTime : Duration::zero()};
  }
  return Best;
}

auto EnginePlacement::chooseDecodeEngine(const ChoiceView &View,
                                         const PrefillSpeed &Speed,
                                         const ServiceSpec &Service,
                                         const BackendRecord &PrefillEngine,
                                         const std::set<BackendId> &Excluded,
                                         MonotonicTime Now) const
    -> const BackendRecord * {
  const BackendRecord *Best = nullptr;
  auto BestCost = Duration::max();
  auto Engines = candidates(View, Service.m_Id, Excluded, Now);
  for (const auto *Engine :
       draw(View, std::move(Engines), PrefillEngine.m_DataCentre)) {
    if (Engine->m_Stage != EngineStage::Decode)
      continue;
    auto Running = View.m_Loads.ownRequests(Engine->m_Id) +
                   View.m_Loads.otherRequests(Engine->m_Id, Now);
    auto Queue = queueTokens(View, Speed, *Engine, Now);
    auto Slowdown = View.m_Speeds.slowdown(Engine->m_Id, Now);
    auto Cost = asDuration(Queue * Slowdown / Speed.decodeEngineTokensPerMs()) +
                std::chrono::duration_cast<Duration>(
                    Running * Slowdown * m_Options.m_DelayPerRequest +
                    (Slowdown - 1) * m_Options.m_FirstStepTime);
    auto Slots = std::max(1.0, static_cast<double>(Engine->m_Slots));
    // If the batch is full, a request waits until another one has its complete
    // response.
    if (Running >= Slots)
      Cost += m_Options.m_RemotePenalty;
    auto Distance = distanceCost(View, *Engine);
    Cost += Distance + View.m_Offload.bias(Engine->m_DataCentre, Distance);
    if (View.m_Distance.between(Engine->m_DataCentre,
                                PrefillEngine.m_DataCentre) == Nearness::Remote)
      Cost += m_Options.m_RemotePenalty;
    constexpr auto JitterMilliseconds = 1.0;
    Cost += asDuration(JitterMilliseconds * View.m_Random.unit());
    if (Cost < BestCost) {
      BestCost = Cost;
      Best = Engine;
    }
  }
  return Best;
}

} // namespace dotterel
