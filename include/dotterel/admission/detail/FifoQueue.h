//===- FifoQueue.h - First come, first served -------------------*- C++ -*-===//
///
/// \file
/// Queue in the order of arrival, the baseline for the other queues.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ADMISSION_DETAIL_FIFOQUEUE_H
#define DOTTEREL_ADMISSION_DETAIL_FIFOQUEUE_H

#include "dotterel/admission/WaitingQueue.h"

#include <deque>

namespace dotterel::detail {

/// Queue in the order of arrival.
class FifoQueue final : public WaitingQueue {
public:
  [[nodiscard]] auto name() const -> std::string override { return "fifo"; }
  auto push(WaitingRequest Item) -> void override;
  auto pop(MonotonicTime Now,
           const std::function<bool(const WaitingRequest &)> &Fits)
      -> std::optional<WaitingRequest> override;
  auto remove(const RequestId &Request) -> void override;
  auto expire(MonotonicTime Now) -> std::vector<WaitingRequest> override;
  [[nodiscard]] auto size() const -> std::size_t override;

private:
  std::deque<WaitingRequest> m_Items;
};

} // namespace dotterel::detail

#endif // DOTTEREL_ADMISSION_DETAIL_FIFOQUEUE_H
