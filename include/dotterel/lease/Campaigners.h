//===- Campaigners.h - Who campaigns for a duty -----------------*- C++ -*-===//
///
/// \file
/// Picks the few processes that campaign for a duty, without any messages.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LEASE_CAMPAIGNERS_H
#define DOTTEREL_LEASE_CAMPAIGNERS_H

#include "dotterel/membership/Member.h"

#include <cstdint>
#include <vector>

namespace dotterel {

/// Where a duty's holder may run.
enum class DutyScope : std::uint8_t {
  Everywhere,
  Region, ///< In the region that the duty is about.
};

/// Whether \p Self is one of the three that campaign for \p Duty.
///
/// \param Others the other live stewards; for a duty of a region those of other
///        regions do not count, since they do not campaign for it.
/// Complexity: linear but for the sorting.
auto campaigns(const DutyId &Duty, DutyScope Scope, const Member &Self,
               std::vector<Member> Others) -> bool;

} // namespace dotterel

#endif // DOTTEREL_LEASE_CAMPAIGNERS_H
