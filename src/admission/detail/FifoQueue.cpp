#include "dotterel/admission/detail/FifoQueue.h"

#include "dotterel/admission/detail/OrganisationQueues.h"

#include <algorithm>
#include <utility>

namespace dotterel::detail {

auto FifoQueue::push(WaitingRequest Item) -> void {
  m_Items.push_back(std::move(Item));
}

auto FifoQueue::pop(MonotonicTime /*Now*/,
                    const std::function<bool(const WaitingRequest &)> &Fits)
    -> std::optional<WaitingRequest> {
  auto Found = std::find_if(m_Items.begin(), m_Items.end(), Fits);
  if (Found == m_Items.end())
    return std::nullopt;
  auto Item = std::move(*Found);
  m_Items.erase(Found);
  return Item;
}

auto FifoQueue::remove(const RequestId &Request) -> void {
  std::erase_if(m_Items, [&](const WaitingRequest &Item) {
    return Item.m_Request == Request;
  });
}

auto FifoQueue::expire(MonotonicTime Now) -> std::vector<WaitingRequest> {
  return extract(m_Items, [Now](const WaitingRequest &Item) {
    return Item.m_Deadline <= Now;
  });
}

auto FifoQueue::size() const -> std::size_t { return m_Items.size(); }

} // namespace dotterel::detail
