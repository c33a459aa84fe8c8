//===- JsonReply.h - JSON responses of the fakes ----------------*- C++ -*-===//
///
/// \file
/// JSON responses that all fakes share.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FAKES_DETAIL_JSONREPLY_H
#define DOTTEREL_FAKES_DETAIL_JSONREPLY_H

#include "dotterel/io/HttpMessage.h"

#include <nlohmann/json.hpp>

namespace dotterel::detail {

/// Returns a response with the document \p Body. Complexity: linear in the size
/// of the document.
auto jsonReply(unsigned Status, const nlohmann::json &Body) -> HttpResponse;

/// Returns the response to a request body that exceeds the limit: status 413.
auto tooLargeResponse() -> HttpResponse;

} // namespace dotterel::detail

#endif // DOTTEREL_FAKES_DETAIL_JSONREPLY_H
