#include "dotterel/admission/detail/PricedQueue.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <utility>

namespace dotterel::detail {

namespace {

/// Maximum balance of an organisation, in tokens: some seconds of one engine.
constexpr auto MaxBalanceTokens = 5000.0;

} // namespace

auto PricedQueue::price() const -> double {
  auto Utilisation = m_Options.m_Utilisation ? m_Options.m_Utilisation() : 1.0;
  return (std::exp(Utilisation) - 1) / (std::numbers::e - 1);
}

auto PricedQueue::push(WaitingRequest Item) -> void {
  // A new organisation starts with the maximum balance.
  auto &Owner = m_Accounts
                    .try_emplace(Item.m_Organisation,
                                 Account{.m_Balance = MaxBalanceTokens})
                    .first->second;
  Owner.m_Weight = Item.m_Weight;
  m_Queues.push(std::move(Item));
}

auto PricedQueue::pop(MonotonicTime Now,
                      const std::function<bool(const WaitingRequest &)> &Fits)
    -> std::optional<WaitingRequest> {
  auto Price = price();
  auto Heads = m_Queues.heads(Now);
  std::sort(Heads.begin(), Heads.end(),
            [this](const QueueHead &Left, const QueueHead &Right) {
              if (Left.m_Rank != Right.m_Rank)
                return Left.m_Rank < Right.m_Rank;
              return m_Accounts.at(Left.m_Organisation).m_Balance >
                     m_Accounts.at(Right.m_Organisation).m_Balance;
            });
  for (const auto &Head : Heads) {
    auto Affordable = m_Accounts.at(Head.m_Organisation).m_Balance >=
                      Head.m_Front->m_Cost * Price;
    if (!Affordable && m_Random.unit() >= 1 / std::max(1.0, Price))
      continue;
    if (!Fits(*Head.m_Front))
      continue;
    auto Item = m_Queues.pop(Head);
    charge(Item, Price);
    return Item;
  }
  return std::nullopt;
}

auto PricedQueue::charge(const WaitingRequest &Item, double Price) -> void {
  m_Accounts.at(Item.m_Organisation).m_Balance -= Item.m_Cost * Price;
  auto Weights = 0.0;
  for (const auto &[Id, Owner] : m_Accounts)
    Weights += Owner.m_Weight;
  for (auto &[Id, Owner] : m_Accounts)
    Owner.m_Balance =
        std::min(MaxBalanceTokens,
                 Owner.m_Balance + Item.m_Cost * Owner.m_Weight / Weights);
}

auto PricedQueue::remove(const RequestId &Request) -> void {
  m_Queues.extractAll(
      [&](const WaitingRequest &Item) { return Item.m_Request == Request; });
}

auto PricedQueue::expire(MonotonicTime Now) -> std::vector<WaitingRequest> {
  std::erase_if(m_Accounts, [this](const auto &Item) {
    return Item.second.m_Balance >= MaxBalanceTokens &&
           !m_Queues.waiting(Item.first);
  });
  return m_Queues.extractAll(
      [Now](const WaitingRequest &Item) { return Item.m_Deadline <= Now; });
}

} // namespace dotterel::detail
