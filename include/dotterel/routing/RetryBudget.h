//===- RetryBudget.h - Bound on retries -------------------------*- C++ -*-===//
///
/// \file
/// Allows retries as a share of successful work, so that retries cannot
/// multiply an overload.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_RETRYBUDGET_H
#define DOTTEREL_ROUTING_RETRYBUDGET_H

#include <algorithm>
#include <string>
#include <unordered_map>

namespace dotterel {

struct RetryBudgetOptions {
  double m_PerSuccess = 0.2; ///< Retries earned by one success.
  double m_Most = 20.0;      ///< Retries that can be saved up.
  /// Enough that an organisation with few requests survives a bad moment.
  double m_Initial = 10.0;
};

/// Budgets by name of an organisation or a backend server.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetOptions &Options)
      : m_Options(Options) {}

  auto recordSuccess(const std::string &Name) -> void {
    auto &Saved = balance(Name);
    Saved = std::min(m_Options.m_Most, Saved + m_Options.m_PerSuccess);
  }

  /// Spends one retry when there is one. \returns whether there was.
  auto spend(const std::string &Name) -> bool {
    auto &Saved = balance(Name);
    if (Saved < 1.0)
      return false;
    Saved -= 1.0;
    return true;
  }

private:
  auto balance(const std::string &Name) -> double & {
    return m_Balances.try_emplace(Name, m_Options.m_Initial).first->second;
  }

  RetryBudgetOptions m_Options;
  std::unordered_map<std::string, double> m_Balances;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_RETRYBUDGET_H
