#include "dotterel/serving/EnginePlacement.h"

#include <algorithm>
#include <fmt/format.h>
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

auto EnginePlacement::holderOf(
    const PromptShape &Prompt, const PartCaches &Caches,
    const std::vector<const BackendRecord *> &Engines) -> Holder {
  auto Best = Holder();
  for (const auto *Engine : Engines) {
    auto Held = static_cast<double>(Caches.match(Engine->m_Id, Prompt));
    if (Held > Best.m_Held)
      Best = {.m_Engine = Engine, .m_Held = Held};
  }
  return Best;
}

auto EnginePlacement::reading(const BackendRecord &Engine,
                              const BackendRecord *Home, const Holder &Source,
                              const PartCaches &Caches,
                              const PromptShape &Prompt) const -> Reading {
  auto Total = static_cast<double>(Prompt.m_PromptTokens.number());
  // The last part is the request's own: nobody has read it yet.
  auto Shared = 0.0;
  for (auto Index = std::size_t{0}; Index + 1 < Prompt.m_Parts.size(); ++Index)
    Shared += static_cast<double>(Prompt.m_Parts[Index].m_Tokens.number());
  Shared = std::min(Shared, Total);
  auto Held =
      std::min(Total, static_cast<double>(Caches.match(Engine.m_Id, Prompt)));
  auto Missing = Shared - Held;
  if (Home == nullptr || Missing <= 0)
    return {.m_NewTokens = Total - Held, .m_Charged = Total - Held};
  auto IsHome = Home->m_Id == Engine.m_Id;
  auto Result =
      Reading{.m_NewTokens = Total - Held,
              .m_Charged = Total - Shared +
                           Missing * (IsHome ? m_Options.m_HomeShare
                                             : m_Options.m_CopyShare)};
  if (Source.m_Engine != nullptr && Source.m_Held > Held) {
    Result.m_NewTokens = Total - std::min(Total, Source.m_Held);
    Result.m_FetchFrom = Source.m_Engine->m_Address;
  } else if (!IsHome) {
    // A host may have had it read there since its last message.
    Result.m_FetchFrom = Home->m_Address;
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

auto EnginePlacement::queueTokens(const ChoiceView &View,
                                  const PrefillSpeed &Speed,
                                  const BackendRecord &Engine,
                                  MonotonicTime Now) const -> double {
  auto Tokens = View.m_Loads.ownTokens(Engine.m_Id);
  if (auto Others = View.m_Loads.othersTokens(Engine.m_Id, Now))
    return Tokens + *Others;
  // At a reader every other request is a prompt; at a generating engine only
  // those that wait are.
  auto Prompts = Engine.m_Stage == EngineStage::Prefill
                     ? View.m_Loads.others(Engine.m_Id, Now)
                     : View.m_Loads.waiting(Engine.m_Id, Now);
  return Tokens + Prompts * Speed.meanTokens();
}

auto EnginePlacement::transferTime(const ServiceSpec &Service,
                                   const PromptShape &Prompt,
                                   Nearness Near) const -> Duration {
  if (!Service.m_Engine || Service.m_Engine->m_LinkMegabitsPerSecond <= 0)
    return Duration::zero();
  constexpr auto BitsPerByte = 8.0;
  constexpr auto BitsPerMegabit = 1e6;
  constexpr auto MillisecondsPerSecond = 1000.0;
  // The platform states these factors for its links.
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
  auto Readers = std::vector<const BackendRecord *>();
  for (const auto *Engine : Engines) {
    if (Engine->m_Stage != EngineStage::Prefill)
      continue;
    Readers.push_back(Engine);
  }
  const auto *Home = homeOf(Prompt, Readers);
  auto Source = holderOf(Prompt, Caches, Readers);
  auto Decoders =
      std::any_of(Engines.begin(), Engines.end(), [](const auto *Engine) {
        return Engine->m_Stage == EngineStage::Decode;
      });
  auto Best = EnginePlan();
  for (const auto *Engine : Engines) {
    auto Apart = Engine->m_Stage == EngineStage::Prefill;
    if (Apart && !Decoders)
      continue;
    auto Read = reading(*Engine, Home, Source, Caches, Prompt);
    auto Rate = Apart ? Speed.apart() : Speed.inPlace();
    auto Queue = queueTokens(View, Speed, *Engine, Now);
    auto Cost = asDuration((Queue + Read.m_Charged) / Rate) +
                distanceCost(View, *Engine);
    if (Apart) {
      Cost += m_Options.m_HandOver +
              transferTime(Service, Prompt,
                           View.m_Distance.to(Engine->m_DataCentre));
    } else {
      auto Running = View.m_Loads.own(Engine->m_Id) +
                     View.m_Loads.others(Engine->m_Id, Now);
      Cost +=
          std::chrono::duration_cast<Duration>(Running * m_Options.m_SlotDelay);
      Cost +=
          asDuration(m_Options.m_InPlaceDisturbance * Read.m_NewTokens / Rate);
    }
    if (Cost >= Best.m_Estimate)
      continue;
    Best = {.m_Prefill = Apart ? Engine : nullptr,
            .m_Serve = Apart ? nullptr : Engine,
            .m_FetchFrom = Read.m_FetchFrom,
            .m_NewTokens = Read.m_NewTokens,
            .m_Estimate = Cost};
  }
  return Best;
}

auto EnginePlacement::chooseDecode(const ChoiceView &View,
                                   const PrefillSpeed &Speed,
                                   const ServiceSpec &Service,
                                   const BackendRecord &Reader,
                                   const std::set<BackendId> &Excluded,
                                   MonotonicTime Now) const
    -> const BackendRecord * {
  const BackendRecord *Best = nullptr;
  auto BestCost = Duration::max();
  for (const auto *Engine : candidates(View, Service.m_Id, Excluded, Now)) {
    if (Engine->m_Stage != EngineStage::Decode)
      continue;
    auto Running =
        View.m_Loads.own(Engine->m_Id) + View.m_Loads.others(Engine->m_Id, Now);
    auto Queue = queueTokens(View, Speed, *Engine, Now);
    auto Cost =
        asDuration(Queue / Speed.inPlace()) +
        std::chrono::duration_cast<Duration>(Running * m_Options.m_SlotDelay);
    auto Slots = std::max(1.0, static_cast<double>(Engine->m_Slots));
    // A full batch makes a request wait for a whole answer of another.
    if (Running >= Slots)
      Cost += m_Options.m_RemotePenalty;
    Cost += distanceCost(View, *Engine);
    if (View.m_Distance.between(Engine->m_DataCentre, Reader.m_DataCentre) ==
        Nearness::Remote)
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
