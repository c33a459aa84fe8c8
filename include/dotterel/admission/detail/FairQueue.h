//===- FairQueue.h - Fair queueing over organisations -----------*- C++ -*-===//
///
/// \file
/// Start-time fair queueing over organisations, within each class.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ADMISSION_DETAIL_FAIRQUEUE_H
#define DOTTEREL_ADMISSION_DETAIL_FAIRQUEUE_H

#include "dotterel/admission/detail/OrganisationQueues.h"

namespace dotterel::detail {

/// Start-time fair queueing over organisations, within each class.
///
/// \invariant m_VirtualTime never decreases. An organisation's start tag is the
/// virtual time at which its next request may start; an organisation without a
/// tag may start at once.
class FairQueue final : public WaitingQueue {
public:
  explicit FairQueue(const WaitingQueueOptions &Options)
      : m_Queues(Options.m_AgingPeriod) {}

  [[nodiscard]] auto name() const -> std::string override { return "fair"; }
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
  /// Advances the start tag of the organisation by the cost of \p Item.
  auto charge(const WaitingRequest &Item) -> void;
  /// Removes organisations that have no waiting requests and whose start tag
  /// has passed, which bounds the memory by the number of active organisations.
  auto removeIdle() -> void;

  OrganisationQueues m_Queues;
  std::map<OrganisationId, double> m_StartTags;
  double m_VirtualTime = 0;
};

} // namespace dotterel::detail

#endif // DOTTEREL_ADMISSION_DETAIL_FAIRQUEUE_H
