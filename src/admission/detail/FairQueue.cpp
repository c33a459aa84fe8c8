#include "dotterel/admission/detail/FairQueue.h"

#include <algorithm>
#include <utility>

namespace dotterel::detail {

auto FairQueue::push(WaitingRequest Item) -> void {
  auto &Tag = m_StartTags[Item.m_Organisation];
  // An organisation that was idle starts at the present virtual time, so that
  // it cannot accumulate service.
  if (!m_Queues.waiting(Item.m_Organisation))
    Tag = std::max(Tag, m_VirtualTime);
  m_Queues.push(std::move(Item));
}

auto FairQueue::pop(MonotonicTime Now,
                    const std::function<bool(const WaitingRequest &)> &Fits)
    -> std::optional<WaitingRequest> {
  auto Heads = m_Queues.heads(Now);
  std::sort(Heads.begin(), Heads.end(),
            [this](const QueueHead &Left, const QueueHead &Right) {
              if (Left.m_Rank != Right.m_Rank)
                return Left.m_Rank < Right.m_Rank;
              return m_StartTags.at(Left.m_Organisation) <
                     m_StartTags.at(Right.m_Organisation);
            });
  for (const auto &Head : Heads) {
    if (!Fits(*Head.m_Front))
      continue;
    auto Item = m_Queues.pop(Head);
    charge(Item);
    return Item;
  }
  return std::nullopt;
}

auto FairQueue::charge(const WaitingRequest &Item) -> void {
  auto Found = m_StartTags.find(Item.m_Organisation);
  m_VirtualTime = std::max(m_VirtualTime, Found->second);
  Found->second += Item.m_Cost / Item.m_Weight;
}

auto FairQueue::removeIdle() -> void {
  std::erase_if(m_StartTags, [this](const auto &Item) {
    return Item.second <= m_VirtualTime && !m_Queues.waiting(Item.first);
  });
}

auto FairQueue::remove(const RequestId &Request) -> void {
  m_Queues.extractAll(
      [&](const WaitingRequest &Item) { return Item.m_Request == Request; });
}

auto FairQueue::expire(MonotonicTime Now) -> std::vector<WaitingRequest> {
  removeIdle();
  return m_Queues.extractAll(
      [Now](const WaitingRequest &Item) { return Item.m_Deadline <= Now; });
}

} // namespace dotterel::detail
