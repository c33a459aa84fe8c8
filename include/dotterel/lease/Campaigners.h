//===- Campaigners.h - Selection of campaigners for a duty ------*- C++ -*-===//
///
/// \file
/// Selects the few processes that campaign for a duty, without any messages.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LEASE_CAMPAIGNERS_H
#define DOTTEREL_LEASE_CAMPAIGNERS_H

#include "dotterel/membership/Member.h"

#include <cstdint>
#include <vector>

namespace dotterel {

/// Where the holder of a duty may run.
enum class DutyScope : std::uint8_t {
  Everywhere,
  Region, ///< Only in the region that the duty manages.
};

/// Returns whether \p Self is one of the three stewards that campaign for
/// \p Duty.
///
/// \param Others the other live stewards; for a region's duty, those of other
///        regions are ignored, since they do not campaign for it.
/// Complexity: linear, apart from the sorting.
auto isCampaigner(const DutyId &Duty, DutyScope Scope, const Member &Self,
                  std::vector<Member> Others) -> bool;

} // namespace dotterel

#endif // DOTTEREL_LEASE_CAMPAIGNERS_H
