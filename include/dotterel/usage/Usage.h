//===- Usage.h - Usage counts and segments ----------------------*- C++ -*-===//
///
/// \file
/// Usage counts of organisations, the segments in which hosts exchange and
/// store them, and their encoding.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_USAGE_USAGE_H
#define DOTTEREL_USAGE_USAGE_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace dotterel {

/// Organisation and model that usage is counted for.
struct UsageKey {
  OrganisationId m_Organisation;
  ModelId m_Model; ///< The route for plain services.

  auto operator<=>(const UsageKey &) const = default;
};

/// Usage counts of one UsageKey.
struct UsageFigures {
  std::uint64_t m_Requests = 0;
  TokenCount m_PrefillTokens;
  TokenCount m_DecodeTokens;

  auto operator==(const UsageFigures &) const -> bool = default;
  auto operator+=(const UsageFigures &Other) -> UsageFigures & {
    m_Requests += Other.m_Requests;
    m_PrefillTokens += Other.m_PrefillTokens;
    m_DecodeTokens += Other.m_DecodeTokens;
    return *this;
  }
};

using UsageTotals = std::map<UsageKey, UsageFigures>;

/// Identifies a segment. The content of a segment is written to the store once.
struct SegmentId {
  WindowIndex m_Window;
  IncarnationId m_Incarnation;
  std::uint64_t m_Number = 0;

  auto operator<=>(const SegmentId &) const = default;
};

/// Content of a segment so far. A later copy replaces an earlier one.
struct UsageSegment {
  SegmentId m_Id;
  UsageTotals m_Totals;
  /// The store holds all segments of this incarnation with lower numbers.
  std::uint64_t m_ConfirmedBelow = 0;
};

/// Adds \p More to \p Target.
auto addTotals(UsageTotals &Target, const UsageTotals &More) -> void;

/// Returns whether no count of \p Part exceeds the corresponding one of
/// \p Whole.
auto isPart(const UsageTotals &Part, const UsageTotals &Whole) -> bool;

/// Returns \p Whole minus \p Part.
/// \pre No count of \p Part exceeds the corresponding count of \p Whole.
auto subtractTotals(const UsageTotals &Whole, const UsageTotals &Part)
    -> UsageTotals;

/// Encodes \p Totals as a JSON array of entries, ordered by key.
auto encodeTotals(const UsageTotals &Totals) -> std::string;

/// Decodes the JSON that encodeTotals() returns.
/// \throws ProtocolError 301 if the document is malformed.
auto decodeTotals(const std::string &Document) -> UsageTotals;

} // namespace dotterel

#endif // DOTTEREL_USAGE_USAGE_H
