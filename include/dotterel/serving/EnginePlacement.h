//===- EnginePlacement.h - Placement of prompts on engines ------*- C++ -*-===//
///
/// \file
/// Chooses engines for prompts: a prompt is either prefilled on a prefill
/// engine and handed over to a decode engine, or prefilled on the decode engine
/// itself.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_ENGINEPLACEMENT_H
#define DOTTEREL_SERVING_ENGINEPLACEMENT_H

#include "dotterel/serving/PartCache.h"
#include "dotterel/serving/PrefillSpeed.h"
#include "dotterel/serving/ServerChoice.h"

#include <string>

namespace dotterel {

struct EnginePlacementOptions {
  /// Time of a handover, excluding the transfer of the KV cache: a second call.
  Duration m_HandoverTime = Milliseconds(25);
  /// Cost of an engine in another data centre of the region.
  Duration m_RegionPenalty = Milliseconds(10);
  /// Cost of an engine in another region: the round trip and the billed
  /// traffic.
  Duration m_RemotePenalty = Milliseconds(180);
  /// Delay that each running request adds to the next token of an engine.
  Duration m_DelayPerRequest = std::chrono::microseconds(1500);
  /// Time from the end of the prefill to the first event at an idle engine of
  /// usual speed.
  Duration m_FirstStepTime = Milliseconds(25);
  /// Share of a part's tokens that counts as cost at the part's home engine if
  /// this host has not had the part prefilled there: other hosts most likely
  /// have.
  double m_HomeCostShare = 0.1;
  /// Share of a part's tokens that counts as cost if another engine fetches the
  /// part from its home engine: the transfer, and the cache entries that a
  /// second copy evicts.
  double m_CopyCostShare = 1.0;
  /// Weight of the prefill time of a prompt on a decode engine, as the cost of
  /// slowing down the streams of that engine.
  double m_DecodeInterference = 0.3;
  /// Number of engines of a stage at each distance that a short prompt
  /// compares, and any prompt for decoding, where servers state that their
  /// speed varies. 0: all.
  std::size_t m_Choices = 0;
  /// Time of a prefill from which a prompt compares all engines: the age of
  /// other hosts' loads, which are out of date sooner than a longer prefill
  /// ends.
  Duration m_LoadAge = Milliseconds(100);
};

/// Engines chosen for a prompt.
struct EnginePlan {
  /// Null if the decode engine prefills the prompt.
  const BackendRecord *m_Prefill = nullptr;
  /// Null if a prefill engine prefills the prompt.
  const BackendRecord *m_Serve = nullptr;
  /// Address of an engine that has cached parts of the prompt.
  std::string m_FetchFrom;
  double m_NewTokens = 0;                ///< Tokens expected to be prefilled.
  Duration m_Estimate = Duration::max(); ///< Expected time to the first event.
  /// Expected time of the first attempt at an engine of usual speed, without
  /// the distance; zero if it depends mostly on other requests.
  Duration m_UsualTime{};

  [[nodiscard]] auto possible() const -> bool {
    return m_Prefill != nullptr || m_Serve != nullptr;
  }
};

/// Chooses engines by the expected time to the first event.
///
/// Each shared part has one home engine among all prefill engines, chosen by
/// rendezvous hashing and thus the same on every host: the caches of one data
/// centre cannot hold all parts in use. Another engine is chosen if the queue
/// of the home engine costs more than fetching the part from it.
class EnginePlacement {
public:
  explicit EnginePlacement(const EnginePlacementOptions &Options)
      : m_Options(Options) {}

  [[nodiscard]] auto plan(const ChoiceView &View, const PartCaches &Caches,
                          const PrefillSpeed &Speed, const ServiceSpec &Service,
                          const PromptShape &Prompt,
                          const std::set<BackendId> &Excluded,
                          MonotonicTime Now) const -> EnginePlan;

  /// Returns the engine that decodes a prompt that \p PrefillEngine has
  /// prefilled, or null if there is none.
  [[nodiscard]] auto chooseDecodeEngine(const ChoiceView &View,
                                        const PrefillSpeed &Speed,
                                        const ServiceSpec &Service,
                                        const BackendRecord &PrefillEngine,
                                        const std::set<BackendId> &Excluded,
                                        MonotonicTime Now) const
      -> const BackendRecord *;

private:
  struct PrefillEstimate {
    double m_NewTokens = 0; ///< Tokens expected to be prefilled.
    /// Prefill cost in tokens, including the cost of a second copy.
    double m_CostTokens = 0;
    std::string m_FetchFrom;
  };

  struct CacheHolder {
    const BackendRecord *m_Engine = nullptr;
    double m_CachedTokens = 0; ///< Leading tokens of the prompt in its cache.
  };

  /// Returns a few engines of \p Engines of each stage at each distance from
  /// \p From, or all if this deployment does not draw.
  [[nodiscard]] auto draw(const ChoiceView &View,
                          std::vector<const BackendRecord *> Engines,
                          const DataCentreId &From) const
      -> std::vector<const BackendRecord *>;
  /// Returns the engine that, to this host's knowledge, has cached the most
  /// tokens of a prompt.
  [[nodiscard]] static auto
  findCacheHolder(const PromptShape &Prompt, const PartCaches &Caches,
                  const std::vector<const BackendRecord *> &Engines)
      -> CacheHolder;
  [[nodiscard]] auto
  estimatePrefill(const BackendRecord &Engine, const BackendRecord *Home,
                  const CacheHolder &Source, const PartCaches &Caches,
                  const PromptShape &Prompt) const -> PrefillEstimate;
  [[nodiscard]] auto distanceCost(const ChoiceView &View,
                                  const BackendRecord &Engine) const
      -> Duration;
  /// Returns by how much the decision about leaving the data centre changes the
  /// cost of an engine, apart from the expected time.
  [[nodiscard]] auto offloadBias(const ChoiceView &View,
                                 const BackendRecord &Engine,
                                 const PromptShape &Prompt,
                                 const BackendRecord *Home) const -> Duration;
  [[nodiscard]] auto queueTokens(const ChoiceView &View,
                                 const PrefillSpeed &Speed,
                                 const BackendRecord &Engine,
                                 MonotonicTime Now) const -> double;
  [[nodiscard]] auto transferTime(const ServiceSpec &Service,
                                  const PromptShape &Prompt,
                                  Nearness Near) const -> Duration;

  EnginePlacementOptions m_Options;
};

/// Returns the engine of \p Engines that is the home of the prompt's first
/// part, or null if \p Engines is empty. Complexity: linear.
auto homeOf(const PromptShape &Prompt,
            const std::vector<const BackendRecord *> &Engines)
    -> const BackendRecord *;

} // namespace dotterel

#endif // DOTTEREL_SERVING_ENGINEPLACEMENT_H
