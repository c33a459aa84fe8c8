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
/// and each organisation earns in proportion to its weight. A request that its
/// organisation cannot afford is admitted with a probability of one over the
/// cost of a token, so that gates do not all admit it at the same time.
///
/// \invariant What a request costs at full utilisation is credited to the
/// organisations with an account, by weight, up to the maximum balance.
class PricedQueue final : public WaitingQueue {
public:
  explicit PricedQueue(const WaitingQueueOptions &Options)
      : m_Options(Options), m_Queues(Options.m_AgingPeriod) {}

  [[nodiscard]] auto name() const -> std::string override { return "priced"; }
  auto push(WaitingRequest Item) -> void override;
  auto pop(MonotonicTime Now,
           const std::function<bool(const WaitingRequest &)> &Fits)
      -> std::optional<WaitingRequest> override;
  auto remove(const RequestId &Request) -> void override;
  auto expire(MonotonicTime Now) -> std::vector<WaitingRequest> override;
  [[nodiscard]] auto size() const -> std::size_t override {
    return m_Queues.size();
  }

private:
  struct Account {
    double m_Balance = 0; ///< Tokens at full utilisation.
    std::uint32_t m_Weight = 1;
  };

  /// Returns the cost of a token at the present utilisation.
  [[nodiscard]] auto price() const -> double;
  /// Debits the cost of \p Item and credits all accounts by their weight.
  auto charge(const WaitingRequest &Item, double Price) -> void;

  WaitingQueueOptions m_Options;
  OrganisationQueues m_Queues;
  std::map<OrganisationId, Account> m_Accounts;
  Random m_Random{1};
};

} // namespace dotterel::detail

#endif // DOTTEREL_ADMISSION_DETAIL_PRICEDQUEUE_H
