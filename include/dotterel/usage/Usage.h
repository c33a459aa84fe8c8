//===- Usage.h - Usage figures ----------------------------------*- C++ -*-===//
///
/// \file
/// What is counted for an organisation, and how it travels.
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

struct UsageKey {
  OrganisationId m_Organisation;
  ModelId m_Model; ///< Or the route, for plain services.

  auto operator<=>(const UsageKey &) const = default;
};

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

/// Names one segment: its content is written to the store once.
struct SegmentId {
  WindowIndex m_Window;
  IncarnationId m_Incarnation;
  std::uint64_t m_Number = 0;

  auto operator<=>(const SegmentId &) const = default;
};

/// A segment's content so far; a later copy replaces an earlier one.
struct UsageSegment {
  SegmentId m_Id;
  UsageTotals m_Totals;
  /// Segments of this incarnation below this number stand in the store.
  std::uint64_t m_ConfirmedBelow = 0;
};

/// Adds all of \p More to \p Target.
auto addTotals(UsageTotals &Target, const UsageTotals &More) -> void;

/// What \p Whole counts beyond \p Part. \pre no figure of \p Part is larger.
auto subtractTotals(const UsageTotals &Whole, const UsageTotals &Part)
    -> UsageTotals;

/// JSON of a list of entries, in order of their keys.
auto encodeTotals(const UsageTotals &Totals) -> std::string;

/// \throws ProtocolError 301 for a malformed document.
auto decodeTotals(const std::string &Document) -> UsageTotals;

} // namespace dotterel

#endif // DOTTEREL_USAGE_USAGE_H
