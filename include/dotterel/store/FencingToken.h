//===- FencingToken.h - Fencing tokens from store revisions -----*- C++ -*-===//
///
/// \file
/// Fencing tokens that increase with the store's revisions.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_FENCINGTOKEN_H
#define DOTTEREL_STORE_FENCINGTOKEN_H

#include "dotterel/base/Ids.h"

namespace dotterel {

/// Returns a token that is higher than those of all earlier revisions,
/// including those of the store's earlier histories. Complexity: constant.
constexpr auto fencingToken(StoreRevision Revision) -> FencingNumber {
  // Receivers read the token as a JSON number, which holds 53 bits exactly.
  constexpr auto RevisionBits = 40U;
  return FencingNumber{(Revision.era().number() << RevisionBits) +
                       Revision.number()};
}

} // namespace dotterel

#endif // DOTTEREL_STORE_FENCINGTOKEN_H
