//===- DecisionLog.h - Decisions kept for explanations ----------*- C++ -*-===//
///
/// \file
/// Logs each routing or placement decision and keeps the newest ones, so that
/// an operator can ask why a request went where it went.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_DECISIONLOG_H
#define DOTTEREL_GATE_DECISIONLOG_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Log.h"

#include <deque>
#include <initializer_list>
#include <string>
#include <vector>

namespace dotterel {

/// The newest decisions.
///
/// \invariant At most m_Capacity lines.
class DecisionLog {
public:
  explicit DecisionLog(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// Logs a decision on \p Request and keeps its line.
  auto record(const RequestId &Request, std::string_view Event,
              std::initializer_list<LogField> Fields) -> void;

  /// The lines on \p Request, oldest first. Complexity: linear.
  [[nodiscard]] auto explain(const RequestId &Request) const
      -> std::vector<std::string>;

private:
  struct Line {
    RequestId m_Request;
    std::string m_Text;
  };

  std::size_t m_Capacity;
  std::deque<Line> m_Lines;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_DECISIONLOG_H
