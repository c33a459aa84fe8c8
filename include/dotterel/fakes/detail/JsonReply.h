//===- JsonReply.h - Answers of the stand-ins -------------------*- C++ -*-===//
///
/// \file
/// JSON answers that all stand-ins give.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FAKES_DETAIL_JSONREPLY_H
#define DOTTEREL_FAKES_DETAIL_JSONREPLY_H

#include "dotterel/io/HttpMessage.h"

#include <nlohmann/json.hpp>

namespace dotterel::detail {

/// An answer with the document \p Body. Complexity: linear in the document.
auto jsonReply(unsigned Status, const nlohmann::json &Body) -> HttpResponse;

/// The answer to a body over the limit.
auto tooLarge() -> HttpResponse;

} // namespace dotterel::detail

#endif // DOTTEREL_FAKES_DETAIL_JSONREPLY_H
