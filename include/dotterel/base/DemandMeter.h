//===- DemandMeter.h - Requested token rates --------------------*- C++ -*-===//
///
/// \file
/// Measures the smoothed rates of requested prefill and decode tokens.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_DEMANDMETER_H
#define DOTTEREL_BASE_DEMANDMETER_H

#include "dotterel/base/Units.h"

#include <cmath>
#include <cstdint>

namespace dotterel {

/// Measures requested prefill and decode tokens per second with an exponential
/// moving average.
class DemandMeter {
public:
  explicit DemandMeter(Duration TimeConstant) : m_TimeConstant(TimeConstant) {}

  auto addPrefill(std::uint64_t Tokens) -> void {
    m_NewPrefillTokens += Tokens;
  }
  auto addDecode(std::uint64_t Tokens) -> void { m_NewDecodeTokens += Tokens; }

  /// Updates the rates with the tokens added since the last call. Call it at
  /// intervals that are short compared with the time constant.
  auto update(MonotonicTime Now) -> void {
    auto ElapsedSeconds =
        std::chrono::duration<double>(Now - m_UpdatedAt).count();
    m_UpdatedAt = Now;
    if (ElapsedSeconds <= 0)
      return;
    auto TimeConstantSeconds =
        std::chrono::duration<double>(m_TimeConstant).count();
    auto Weight = 1 - std::exp(-ElapsedSeconds / TimeConstantSeconds);
    m_PrefillRate +=
        Weight * (static_cast<double>(m_NewPrefillTokens) / ElapsedSeconds -
                  m_PrefillRate);
    m_DecodeRate +=
        Weight * (static_cast<double>(m_NewDecodeTokens) / ElapsedSeconds -
                  m_DecodeRate);
    m_NewPrefillTokens = 0;
    m_NewDecodeTokens = 0;
    if (m_PrefillRate > 0 || m_DecodeRate > 0)
      m_BiasCorrection += Weight * (1 - m_BiasCorrection);
  }

  /// Returns the total weight of the measurements in the rates, from 0 to 1;
  /// the rest is the initial value zero. A rate divided by it is free of the
  /// bias towards zero just after the start.
  [[nodiscard]] auto biasCorrection() const -> double {
    return m_BiasCorrection;
  }

  /// Prefill tokens per second.
  [[nodiscard]] auto prefillRate() const -> double { return m_PrefillRate; }
  /// Decode tokens per second.
  [[nodiscard]] auto decodeRate() const -> double { return m_DecodeRate; }

private:
  Duration m_TimeConstant;
  MonotonicTime m_UpdatedAt;
  std::uint64_t m_NewPrefillTokens = 0;
  std::uint64_t m_NewDecodeTokens = 0;
  double m_PrefillRate = 0;
  double m_BiasCorrection = 0;
  double m_DecodeRate = 0;
};

} // namespace dotterel

#endif // DOTTEREL_BASE_DEMANDMETER_H
