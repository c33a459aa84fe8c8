//===- ChoiceSample.h - Random choices among servers ------------*- C++ -*-===//
///
/// \file
/// Draws the servers that a host compares for one request.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_CHOICESAMPLE_H
#define DOTTEREL_SERVING_CHOICESAMPLE_H

#include "dotterel/base/Random.h"
#include "dotterel/serving/BackendRecord.h"
#include "dotterel/serving/Distance.h"

#include <cstddef>
#include <vector>

namespace dotterel {

/// Returns at most \p Choices random servers at each distance from \p From, in
/// random order, so that the first of equal ones is not preferred. Complexity:
/// linear.
///
/// All hosts know the same loads, 100 to 400 ms old. If all compared all
/// servers, those that choose within that time would choose the same one.
auto drawChoices(const std::vector<const BackendRecord *> &Servers,
                 const Distance &Distance, const DataCentreId &From,
                 std::size_t Choices, Random &Random)
    -> std::vector<const BackendRecord *>;

} // namespace dotterel

#endif // DOTTEREL_SERVING_CHOICESAMPLE_H
