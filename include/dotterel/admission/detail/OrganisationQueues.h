//===- OrganisationQueues.h - Waiting requests by organisation --*- C++ -*-===//
///
/// \file
/// Waiting requests in a queue for each organisation and class.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ADMISSION_DETAIL_ORGANISATIONQUEUES_H
#define DOTTEREL_ADMISSION_DETAIL_ORGANISATIONQUEUES_H

#include "dotterel/admission/WaitingQueue.h"

#include <array>
#include <deque>

namespace dotterel::detail {

/// Removes the matching items of \p Source and returns them; the others keep
/// their order. Complexity: linear.
template <typename Predicate>
auto extract(std::deque<WaitingRequest> &Source, Predicate Matches)
    -> std::vector<WaitingRequest> {
  auto Extracted = std::vector<WaitingRequest>();
  auto Kept = std::deque<WaitingRequest>();
  for (auto &Item : Source) {
    if (Matches(Item))
      Extracted.push_back(std::move(Item));
    else
      Kept.push_back(std::move(Item));
  }
  Source = std::move(Kept);
  return Extracted;
}

/// The first request in the queue of an organisation and class.
struct QueueHead {
  OrganisationId m_Organisation;
  std::size_t m_Class = 0;
  std::int64_t m_Rank = 0; ///< Class, minus one for each aging period.
  const WaitingRequest *m_Front = nullptr;
};

/// Waiting requests in a first-in, first-out queue for each organisation and
/// class.
///
/// \invariant Contains only organisations that have waiting requests.
class OrganisationQueues {
public:
  explicit OrganisationQueues(Duration AgingPeriod)
      : m_AgingPeriod(AgingPeriod) {}

  auto push(WaitingRequest Item) -> void;

  /// Returns the head of each non-empty queue. Complexity: linear in the number
  /// of organisations.
  [[nodiscard]] auto heads(MonotonicTime Now) const -> std::vector<QueueHead>;

  /// Removes and returns the request of \p Head. \pre \p Head is still the head
  /// of its queue.
  auto pop(const QueueHead &Head) -> WaitingRequest;

  /// Removes and returns the matching requests. Complexity: linear in the
  /// number of requests.
  auto extractAll(const std::function<bool(const WaitingRequest &)> &Matches)
      -> std::vector<WaitingRequest>;

  /// Returns whether \p Organisation has waiting requests.
  [[nodiscard]] auto waiting(const OrganisationId &Organisation) const -> bool {
    return m_Organisations.contains(Organisation);
  }
  [[nodiscard]] auto size() const -> std::size_t { return m_Size; }

private:
  static constexpr auto ClassCount = std::size_t{3};
  using ClassQueues = std::array<std::deque<WaitingRequest>, ClassCount>;

  Duration m_AgingPeriod;
  std::map<OrganisationId, ClassQueues> m_Organisations;
  std::size_t m_Size = 0;
};

} // namespace dotterel::detail

#endif // DOTTEREL_ADMISSION_DETAIL_ORGANISATIONQUEUES_H
