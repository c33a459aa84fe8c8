//===- OrganisationLines.h - Waiting requests by organisation ---*- C++ -*-===//
///
/// \file
/// Keeps waiting requests in a line for each organisation and class.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ADMISSION_DETAIL_ORGANISATIONLINES_H
#define DOTTEREL_ADMISSION_DETAIL_ORGANISATIONLINES_H

#include "dotterel/admission/WaitingQueue.h"

#include <array>
#include <deque>

namespace dotterel::detail {

/// Moves the items of \p Source that match to the result; the others keep their
/// order. Complexity: linear.
template <typename Predicate>
auto extract(std::deque<Waiting> &Source, Predicate Matches)
    -> std::vector<Waiting> {
  auto Taken = std::vector<Waiting>();
  auto Kept = std::deque<Waiting>();
  for (auto &Item : Source) {
    if (Matches(Item))
      Taken.push_back(std::move(Item));
    else
      Kept.push_back(std::move(Item));
  }
  Source = std::move(Kept);
  return Taken;
}

/// The first request of an organisation in one class.
struct LineHead {
  OrganisationId m_Organisation;
  std::size_t m_Class = 0;
  std::int64_t m_Rank = 0; ///< Its class, less one for each aging period.
  const Waiting *m_Front = nullptr;
};

/// \invariant An organisation is kept only while it has requests waiting.
class OrganisationLines {
public:
  explicit OrganisationLines(Duration AgingPeriod)
      : m_AgingPeriod(AgingPeriod) {}

  auto push(Waiting Item) -> void;

  /// The head of each line. Complexity: linear in the organisations.
  [[nodiscard]] auto heads(MonotonicTime Now) const -> std::vector<LineHead>;

  /// Removes and returns the request of \p Head. \pre it is still the head.
  auto pop(const LineHead &Head) -> Waiting;

  /// Removes and returns what matches. Complexity: linear in the requests.
  auto extractAll(const std::function<bool(const Waiting &)> &Matches)
      -> std::vector<Waiting>;

  [[nodiscard]] auto waiting(const OrganisationId &Organisation) const -> bool {
    return m_Organisations.contains(Organisation);
  }
  [[nodiscard]] auto size() const -> std::size_t { return m_Size; }

private:
  static constexpr auto ClassCount = std::size_t{3};
  using Lines = std::array<std::deque<Waiting>, ClassCount>;

  Duration m_AgingPeriod;
  std::map<OrganisationId, Lines> m_Organisations;
  std::size_t m_Size = 0;
};

} // namespace dotterel::detail

#endif // DOTTEREL_ADMISSION_DETAIL_ORGANISATIONLINES_H
