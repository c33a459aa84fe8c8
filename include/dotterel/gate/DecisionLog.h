//===- DecisionLog.h - Log of recent decisions ------------------*- C++ -*-===//
///
/// \file
/// Logs each routing or placement decision and keeps the newest ones in memory,
/// so that an operator can query why a request was routed to its server.
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

/// Stores the log lines of the newest decisions.
///
/// \invariant Contains at most m_Capacity entries.
class DecisionLog {
public:
  explicit DecisionLog(std::size_t Capacity) : m_Capacity(Capacity) {}

  /// Logs a decision about \p Request and stores its log line.
  auto record(const RequestId &Request, std::string_view Event,
              std::initializer_list<LogField> Fields) -> void;

  /// Returns the stored lines about \p Request, oldest first. Complexity:
  /// linear in the number of entries.
  [[nodiscard]] auto explain(const RequestId &Request) const
      -> std::vector<std::string>;

private:
  struct Entry {
    RequestId m_Request;
    std::string m_Text;
  };

  std::size_t m_Capacity;
  std::deque<Entry> m_Entries;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_DECISIONLOG_H
