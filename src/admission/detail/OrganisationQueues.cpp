#include "dotterel/admission/detail/OrganisationQueues.h"

#include <algorithm>
#include <utility>

namespace dotterel::detail {

auto OrganisationQueues::push(WaitingRequest Item) -> void {
  auto Class = static_cast<std::size_t>(Item.m_Class);
  ++m_Size;
  m_Organisations[Item.m_Organisation][Class].push_back(std::move(Item));
}

auto OrganisationQueues::heads(MonotonicTime Now) const
    -> std::vector<QueueHead> {
  auto Result = std::vector<QueueHead>();
  for (const auto &[Id, Classes] : m_Organisations)
    for (auto Class = std::size_t{0}; Class < ClassCount; ++Class) {
      if (Classes[Class].empty())
        continue;
      const auto &Front = Classes[Class].front();
      auto Rank = static_cast<std::int64_t>(Class) -
                  (Now - Front.m_Since) / m_AgingPeriod;
      Result.push_back({.m_Organisation = Id,
                        .m_Class = Class,
                        .m_Rank = std::max<std::int64_t>(Rank, 0),
                        .m_Front = &Front});
    }
  return Result;
}

auto OrganisationQueues::pop(const QueueHead &Head) -> WaitingRequest {
  auto Found = m_Organisations.find(Head.m_Organisation);
  auto &Queue = Found->second[Head.m_Class];
  auto Item = std::move(Queue.front());
  Queue.pop_front();
  --m_Size;
  if (std::all_of(Found->second.begin(), Found->second.end(),
                  [](const auto &Other) { return Other.empty(); }))
    m_Organisations.erase(Found);
  return Item;
}

auto OrganisationQueues::extractAll(
    const std::function<bool(const WaitingRequest &)> &Matches)
    -> std::vector<WaitingRequest> {
  auto Extracted = std::vector<WaitingRequest>();
  for (auto &[Id, Classes] : m_Organisations)
    for (auto &Queue : Classes)
      for (auto &Item : extract(Queue, Matches))
        Extracted.push_back(std::move(Item));
  m_Size -= Extracted.size();
  std::erase_if(m_Organisations, [](const auto &Item) {
    return std::all_of(Item.second.begin(), Item.second.end(),
                       [](const auto &Queue) { return Queue.empty(); });
  });
  return Extracted;
}

} // namespace dotterel::detail
