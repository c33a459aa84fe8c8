//===- RetryBudget.h - Bound on retries -------------------------*- C++ -*-===//
///
/// \file
/// Limits retries to a share of the successful requests, so that retries cannot
/// amplify an overload.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_RETRYBUDGET_H
#define DOTTEREL_ROUTING_RETRYBUDGET_H

#include <algorithm>
#include <string>
#include <unordered_map>

namespace dotterel {

struct RetryBudgetOptions {
  double m_PerSuccess = 0.2;  ///< Retries added by one success.
  double m_MaxBalance = 20.0; ///< Maximum number of retries saved up.
  /// Large enough for an organisation with few requests to get through a short
  /// period of failures.
  double m_InitialBalance = 10.0;
};

/// Retry budgets, keyed by the name of an organisation or a backend server.
class RetryBudget {
public:
  explicit RetryBudget(const RetryBudgetOptions &Options)
      : m_Options(Options) {}

  auto recordSuccess(const std::string &Name) -> void {
    auto &Balance = balance(Name);
    Balance =
        std::min(m_Options.m_MaxBalance, Balance + m_Options.m_PerSuccess);
  }

  /// Spends one retry of the budget, if there is one.
  /// \returns whether a retry was spent.
  auto spend(const std::string &Name) -> bool {
    auto &Balance = balance(Name);
    if (Balance < 1.0)
      return false;
    Balance -= 1.0;
    return true;
  }

private:
  auto balance(const std::string &Name) -> double & {
    return m_Balances.try_emplace(Name, m_Options.m_InitialBalance)
        .first->second;
  }

  RetryBudgetOptions m_Options;
  std::unordered_map<std::string, double> m_Balances;
};

} // namespace dotterel

#endif // DOTTEREL_ROUTING_RETRYBUDGET_H
