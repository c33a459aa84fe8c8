//===- DemandMeter.h - Rate of work asked for -------------------*- C++ -*-===//
///
/// \file
/// Smoothed rates of prefill and decode tokens.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_DEMANDMETER_H
#define DOTTEREL_BASE_DEMANDMETER_H

#include "dotterel/base/Units.h"

#include <cmath>
#include <cstdint>

namespace dotterel {

/// Tokens per second, smoothed exponentially.
class DemandMeter {
public:
  explicit DemandMeter(Duration TimeConstant) : m_TimeConstant(TimeConstant) {}

  auto addPrefill(std::uint64_t Tokens) -> void { m_NewPrefill += Tokens; }
  auto addDecode(std::uint64_t Tokens) -> void { m_NewDecode += Tokens; }

  /// Takes what was added into the rates. To be called at short intervals.
  auto update(MonotonicTime Now) -> void {
    auto Span = std::chrono::duration<double>(Now - m_UpdatedAt).count();
    m_UpdatedAt = Now;
    if (Span <= 0)
      return;
    auto Constant = std::chrono::duration<double>(m_TimeConstant).count();
    auto Weight = 1 - std::exp(-Span / Constant);
    m_Prefill +=
        Weight * (static_cast<double>(m_NewPrefill) / Span - m_Prefill);
    m_Decode += Weight * (static_cast<double>(m_NewDecode) / Span - m_Decode);
    m_NewPrefill = 0;
    m_NewDecode = 0;
    if (m_Prefill > 0 || m_Decode > 0)
      m_Known += Weight * (1 - m_Known);
  }

  /// Share of the rates that comes from what was measured. Divided by it, a
  /// rate does not start from zero.
  [[nodiscard]] auto known() const -> double { return m_Known; }

  [[nodiscard]] auto prefill() const -> double { return m_Prefill; }
  [[nodiscard]] auto decode() const -> double { return m_Decode; }

private:
  Duration m_TimeConstant;
  MonotonicTime m_UpdatedAt;
  std::uint64_t m_NewPrefill = 0;
  std::uint64_t m_NewDecode = 0;
  double m_Prefill = 0;
  double m_Known = 0;
  double m_Decode = 0;
};

} // namespace dotterel

#endif // DOTTEREL_BASE_DEMANDMETER_H
