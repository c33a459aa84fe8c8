//===- PricedQueue.h - Admission by opportunity cost ------------*- C++ -*-===//
///
/// \file
/// Admission by the opportunity cost of the engines' time.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ADMISSION_DETAIL_PRICEDQUEUE_H
#define DOTTEREL_ADMISSION_DETAIL_PRICEDQUEUE_H

#include "dotterel/admission/detail/OrganisationQueues.h"
#include "dotterel/base/Random.h"

namespace dotterel::detail {

/// Cost-benefit admission after "Flow Control for Many-to-Many Multicast: A
/// Cost-Benefit Approach": a token costs (e^u - 1) / (e - 1) at utilisation u,
/// each organisation earns a salary by its weight, and what it cannot afford is
/// let in with the probability of one over the cost, so that gates do not all
/// let it in at once.
///
/// \invariant What one request pays at full utilisation, the organisations that
/// wait earn together.
class PricedQueue final : public WaitingQueue {
public:
  explicit PricedQueue(const WaitingQueueOptions &Options)
      : m_Options(Options), m_Lines(Options.m_AgingPeriod) {}

  [[nodiscard]] auto name() const -> std::string override { return "priced"; }
  auto push(Waiting Item) -> void override;
  auto pop(MonotonicTime Now, const std::function<bool(const Waiting &)> &Fits)
      -> std::optional<Waiting> override;
  auto remove(const RequestId &Request) -> void override;
  auto expire(MonotonicTime Now) -> std::vector<Waiting> override;
  [[nodiscard]] auto size() const -> std::size_t override {
    return m_Lines.size();
  }

private:
  struct Account {
    double m_Balance = 0; ///< Tokens at full utilisation.
    std::uint32_t m_Weight = 1;
  };

  /// Cost of a token at the present utilisation.
  [[nodiscard]] auto price() const -> double;
  auto pay(const Waiting &Item, double Price) -> void;

  WaitingQueueOptions m_Options;
  OrganisationLines m_Lines;
  std::map<OrganisationId, Account> m_Accounts;
  Random m_Random{1};
};

} // namespace dotterel::detail

#endif // DOTTEREL_ADMISSION_DETAIL_PRICEDQUEUE_H
