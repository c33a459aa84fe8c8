//===- PrefillSpeed.h - Estimate of the prefill speed -----------*- C++ -*-===//
///
/// \file
/// Estimates the prefill speed of engines from their responses.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_PREFILLSPEED_H
#define DOTTEREL_SERVING_PREFILLSPEED_H

#include "dotterel/base/Units.h"

#include <algorithm>

namespace dotterel {

struct PrefillSpeedOptions {
  /// Estimate before the first measurement.
  double m_InitialTokensPerMs = 30.0;
  /// Weight of a measurement that is faster than the estimate, which comes from
  /// an otherwise idle engine.
  double m_RiseWeight = 0.25;
  /// Weight of a measurement that is slower than the estimate, which is mostly
  /// caused by queueing.
  double m_FallWeight = 0.01;
  /// Prefill speed of decode engines relative to prefill engines.
  double m_DecodeEngineShare = 0.5;
  /// Minimum number of tokens of a measurement: with fewer, the round trip
  /// dominates.
  double m_MinTokens = 1500;
};

/// Estimate of the engines' prefill speed.
class PrefillSpeed {
public:
  explicit PrefillSpeed(const PrefillSpeedOptions &Options)
      : m_Options(Options), m_TokensPerMs(Options.m_InitialTokensPerMs) {}

  /// Records that a prompt with \p Tokens uncached tokens took \p Elapsed in
  /// total.
  auto record(double Tokens, Duration Elapsed) -> void {
    auto Time = std::chrono::duration<double, std::milli>(Elapsed).count();
    m_MeanNewTokens +=
        (Tokens - m_MeanNewTokens) * m_Options.m_RiseWeight * 0.2;
    if (Tokens < m_Options.m_MinTokens || Time <= 0)
      return;
    auto Measured = Tokens / Time;
    auto Weight = Measured > m_TokensPerMs ? m_Options.m_RiseWeight
                                           : m_Options.m_FallWeight;
    m_TokensPerMs += (Measured - m_TokensPerMs) * Weight;
  }

  [[nodiscard]] auto prefillEngineTokensPerMs() const -> double {
    return m_TokensPerMs;
  }
  [[nodiscard]] auto decodeEngineTokensPerMs() const -> double {
    return m_TokensPerMs * m_Options.m_DecodeEngineShare;
  }
  /// Returns the moving average of uncached tokens of recent prompts.
  [[nodiscard]] auto meanNewTokens() const -> double { return m_MeanNewTokens; }

private:
  PrefillSpeedOptions m_Options;
  double m_TokensPerMs;
  double m_MeanNewTokens = 1000;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_PREFILLSPEED_H
