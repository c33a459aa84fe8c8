//===- FairQueue.h - Fair queueing over organisations -----------*- C++ -*-===//
///
/// \file
/// Start-time fair queueing over organisations, inside classes.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ADMISSION_DETAIL_FAIRQUEUE_H
#define DOTTEREL_ADMISSION_DETAIL_FAIRQUEUE_H

#include "dotterel/admission/detail/OrganisationQueues.h"

namespace dotterel::detail {

/// Start-time fair queueing over organisations, inside classes.
///
/// \invariant m_VirtualTime never falls. An organisation's tag is the virtual
/// time at which its next request may start; one without a tag starts now.
class FairQueue final : public WaitingQueue {
public:
  explicit FairQueue(const WaitingQueueOptions &Options)
      : m_Lines(Options.m_AgingPeriod) {}

  [[nodiscard]] auto name() const -> std::string override { return "fair"; }
  auto push(Waiting Item) -> void override;
  auto pop(MonotonicTime Now, const std::function<bool(const Waiting &)> &Fits)
      -> std::optional<Waiting> override;
  auto remove(const RequestId &Request) -> void override;
  auto expire(MonotonicTime Now) -> std::vector<Waiting> override;
  [[nodiscard]] auto size() const -> std::size_t override {
    return m_Lines.size();
  }

private:
  auto charge(const Waiting &Item) -> void;
  /// Forgets organisations that wait for nothing and owe nothing, so that
  /// memory follows the active ones.
  auto dropIdle() -> void;

  OrganisationLines m_Lines;
  std::map<OrganisationId, double> m_Tags;
  double m_VirtualTime = 0;
};

} // namespace dotterel::detail

#endif // DOTTEREL_ADMISSION_DETAIL_FAIRQUEUE_H
