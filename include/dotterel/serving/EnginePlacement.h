//===- EnginePlacement.h - Where prompts are read and run -------*- C++ -*-===//
///
/// \file
/// Chooses engines for prompts: read apart and handed over, or read where the
/// answer is generated.
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
  /// Time of a hand-over beside the transfer of the KV cache: a second call.
  Duration m_HandOver = Milliseconds(25);
  /// Added for an engine in another data centre of the region.
  Duration m_RegionPenalty = Milliseconds(10);
  /// Added for an engine in another region: the round trip, and bytes that are
  /// billed.
  Duration m_RemotePenalty = Milliseconds(180);
  /// Time that one running request adds to the next token of an engine.
  Duration m_SlotDelay = std::chrono::microseconds(1500);
  /// Share of a part's tokens that is charged at its home when this host has
  /// not had it read there: others most likely have.
  double m_HomeShare = 0.1;
  /// Share of a part's tokens that is charged when another engine fetches it
  /// from its home: the transfer, and what a second copy drives out of caches.
  double m_CopyShare = 1.0;
  /// Weight of the slower reading that a prompt in place causes to the streams
  /// of its engine.
  double m_InPlaceDisturbance = 0.3;
};

/// Where a prompt goes.
struct EnginePlan {
  const BackendRecord *m_Prefill = nullptr; ///< Null: read where it runs.
  const BackendRecord *m_Serve = nullptr;   ///< Null when read apart.
  std::string m_FetchFrom; ///< Address of an engine that holds its parts.
  double m_NewTokens = 0;  ///< Expected to be read.
  Duration m_Estimate = Duration::max(); ///< Until the first event.

  [[nodiscard]] auto possible() const -> bool {
    return m_Prefill != nullptr || m_Serve != nullptr;
  }
};

/// Chooses engines by the expected time to the first event.
///
/// Shared parts have one home among all engines that read prompts, by
/// rendezvous hashing, the same on every host: the caches of one data centre do
/// not hold all parts in use. Another engine is taken where the home's queue
/// costs more than fetching the part from it.
class EnginePlacement {
public:
  explicit EnginePlacement(const EnginePlacementOptions &Options)
      : m_Options(Options) {}

  [[nodiscard]] auto plan(const ChoiceView &View, const PartCaches &Caches,
                          const PrefillSpeed &Speed, const ServiceSpec &Service,
                          const PromptShape &Prompt,
                          const std::set<BackendId> &Excluded,
                          MonotonicTime Now) const -> EnginePlan;

  /// The engine that goes on with a prompt that \p Reader has read; null when
  /// there is none.
  [[nodiscard]] auto
  chooseDecode(const ChoiceView &View, const PrefillSpeed &Speed,
               const ServiceSpec &Service, const BackendRecord &Reader,
               const std::set<BackendId> &Excluded, MonotonicTime Now) const
      -> const BackendRecord *;

private:
  struct Reading {
    double m_NewTokens = 0; ///< Expected to be read.
    double m_Charged = 0;   ///< With what a second copy costs.
    std::string m_FetchFrom;
  };

  struct Holder {
    const BackendRecord *m_Engine = nullptr;
    double m_Held = 0; ///< Tokens of the prompt.
  };

  /// The engine that holds most of a prompt, as far as this host knows.
  [[nodiscard]] static auto
  holderOf(const PromptShape &Prompt, const PartCaches &Caches,
           const std::vector<const BackendRecord *> &Engines) -> Holder;
  [[nodiscard]] auto reading(const BackendRecord &Engine,
                             const BackendRecord *Home, const Holder &Source,
                             const PartCaches &Caches,
                             const PromptShape &Prompt) const -> Reading;
  [[nodiscard]] auto distanceCost(const ChoiceView &View,
                                  const BackendRecord &Engine) const
      -> Duration;
  [[nodiscard]] auto queueTokens(const ChoiceView &View,
                                 const PrefillSpeed &Speed,
                                 const BackendRecord &Engine,
                                 MonotonicTime Now) const -> double;
  [[nodiscard]] auto transferTime(const ServiceSpec &Service,
                                  const PromptShape &Prompt,
                                  Nearness Near) const -> Duration;

  EnginePlacementOptions m_Options;
};

/// The engine of \p Engines that is the home of a prompt's first part; null
/// when there is none. Complexity: linear.
auto homeOf(const PromptShape &Prompt,
            const std::vector<const BackendRecord *> &Engines)
    -> const BackendRecord *;

} // namespace dotterel

#endif // DOTTEREL_SERVING_ENGINEPLACEMENT_H
