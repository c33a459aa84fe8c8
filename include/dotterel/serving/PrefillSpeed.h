//===- PrefillSpeed.h - How fast engines read prompts -----------*- C++ -*-===//
///
/// \file
/// Learns from answers how fast engines read prompts.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_PREFILLSPEED_H
#define DOTTEREL_SERVING_PREFILLSPEED_H

#include "dotterel/base/Units.h"

#include <algorithm>

namespace dotterel {

struct PrefillSpeedOptions {
  /// Tokens per millisecond before anything was measured.
  double m_Initial = 30.0;
  /// Weight of a measurement that is faster than the estimate: an engine that
  /// had nothing else to do.
  double m_Rise = 0.25;
  /// Weight of a slower one, which mostly tells of a queue.
  double m_Fall = 0.01;
  /// Reading speed of engines that generate as well, against the others.
  double m_InPlaceShare = 0.5;
  /// Measurements of fewer tokens tell of round trips.
  double m_LeastTokens = 1500;
};

class PrefillSpeed {
public:
  explicit PrefillSpeed(const PrefillSpeedOptions &Options)
      : m_Options(Options), m_TokensPerMs(Options.m_Initial) {}

  /// A prompt with \p Tokens that were not cached took \p Spent in all.
  auto record(double Tokens, Duration Spent) -> void {
    auto Time = std::chrono::duration<double, std::milli>(Spent).count();
    m_MeanTokens += (Tokens - m_MeanTokens) * m_Options.m_Rise * 0.2;
    if (Tokens < m_Options.m_LeastTokens || Time <= 0)
      return;
    auto Seen = Tokens / Time;
    auto Weight = Seen > m_TokensPerMs ? m_Options.m_Rise : m_Options.m_Fall;
    m_TokensPerMs += (Seen - m_TokensPerMs) * Weight;
  }

  [[nodiscard]] auto apart() const -> double { return m_TokensPerMs; }
  [[nodiscard]] auto inPlace() const -> double {
    return m_TokensPerMs * m_Options.m_InPlaceShare;
  }
  /// Mean of new tokens in the prompts that were read of late.
  [[nodiscard]] auto meanTokens() const -> double { return m_MeanTokens; }

private:
  PrefillSpeedOptions m_Options;
  double m_TokensPerMs;
  double m_MeanTokens = 1000;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_PREFILLSPEED_H
