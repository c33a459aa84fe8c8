//===- FifoQueue.h - First come, first served -------------------*- C++ -*-===//
///
/// \file
/// The baseline of the waiting queues.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ADMISSION_DETAIL_FIFOQUEUE_H
#define DOTTEREL_ADMISSION_DETAIL_FIFOQUEUE_H

#include "dotterel/admission/WaitingQueue.h"

#include <deque>

namespace dotterel::detail {

/// First come, first served.
class FifoQueue final : public WaitingQueue {
public:
  [[nodiscard]] auto name() const -> std::string override { return "fifo"; }
  auto push(Waiting Item) -> void override;
  auto pop(MonotonicTime Now, const std::function<bool(const Waiting &)> &Fits)
      -> std::optional<Waiting> override;
  auto remove(const RequestId &Request) -> void override;
  auto expire(MonotonicTime Now) -> std::vector<Waiting> override;
  [[nodiscard]] auto size() const -> std::size_t override;

private:
  std::deque<Waiting> m_Items;
};

} // namespace dotterel::detail

#endif // DOTTEREL_ADMISSION_DETAIL_FIFOQUEUE_H
