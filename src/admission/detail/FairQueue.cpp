#include "dotterel/admission/detail/FairQueue.h"

#include <algorithm>
#include <utility>

namespace dotterel::detail {

auto FairQueue::push(Waiting Item) -> void {
  auto &Tag = m_Tags[Item.m_Organisation];
  // One that was idle starts at the present and cannot save up service.
  if (!m_Lines.waiting(Item.m_Organisation))
    Tag = std::max(Tag, m_VirtualTime);
  m_Lines.push(std::move(Item));
}

auto FairQueue::pop(MonotonicTime Now,
                    const std::function<bool(const Waiting &)> &Fits)
    -> std::optional<Waiting> {
  auto Heads = m_Lines.heads(Now);
  std::sort(Heads.begin(), Heads.end(),
            [this](const LineHead &Left, const LineHead &Right) {
              if (Left.m_Rank != Right.m_Rank)
                return Left.m_Rank < Right.m_Rank;
              return m_Tags.at(Left.m_Organisation) <
                     m_Tags.at(Right.m_Organisation);
            });
  for (const auto &Head : Heads) {
    if (!Fits(*Head.m_Front))
      continue;
    auto Item = m_Lines.pop(Head);
    charge(Item);
    return Item;
  }
  return std::nullopt;
}

auto FairQueue::charge(const Waiting &Item) -> void {
  auto Found = m_Tags.find(Item.m_Organisation);
  m_VirtualTime = std::max(m_VirtualTime, Found->second);
  Found->second += Item.m_Cost / Item.m_Weight;
}

auto FairQueue::dropIdle() -> void {
  std::erase_if(m_Tags, [this](const auto &Item) {
    return Item.second <= m_VirtualTime && !m_Lines.waiting(Item.first);
  });
}

auto FairQueue::remove(const RequestId &Request) -> void {
  m_Lines.extractAll(
      [&](const Waiting &Item) { return Item.m_Request == Request; });
}

auto FairQueue::expire(MonotonicTime Now) -> std::vector<Waiting> {
  dropIdle();
  return m_Lines.extractAll(
      [Now](const Waiting &Item) { return Item.m_Deadline <= Now; });
}

} // namespace dotterel::detail
