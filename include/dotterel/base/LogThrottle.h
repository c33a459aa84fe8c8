//===- LogThrottle.h - Bound on repeated log lines --------------*- C++ -*-===//
///
/// \file
/// Bounds the number of log lines on events that anybody can cause.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_LOGTHROTTLE_H
#define DOTTEREL_BASE_LOGTHROTTLE_H

#include "dotterel/base/Units.h"

#include <cstdint>
#include <optional>
#include <utility>

namespace dotterel {

/// Admits at most MaxLines lines in each second.
class LogThrottle {
public:
  static constexpr auto MaxLines = 20;

  /// Returns the number of lines that were not admitted since the last one that
  /// was, or nothing if this one is not.
  auto admit(MonotonicTime Now) -> std::optional<std::uint64_t> {
    if (Now - m_Since >= Seconds(1)) {
      m_Since = Now;
      m_Lines = 0;
    }
    if (++m_Lines > MaxLines) {
      ++m_Suppressed;
      return std::nullopt;
    }
    return std::exchange(m_Suppressed, 0);
  }

private:
  MonotonicTime m_Since;
  int m_Lines = 0;
  std::uint64_t m_Suppressed = 0;
};

} // namespace dotterel

#endif // DOTTEREL_BASE_LOGTHROTTLE_H
