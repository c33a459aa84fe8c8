//===- HttpMessage.h - HTTP requests and responses --------------*- C++ -*-===//
///
/// \file
/// Declares the data types for HTTP messages that the HTTP clients and servers
/// share with their users.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_HTTPMESSAGE_H
#define DOTTEREL_IO_HTTPMESSAGE_H

#include "dotterel/base/SharedBytes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

struct HttpHeader {
  std::string m_Name;
  std::string m_Value;
};

using HttpHeaders = std::vector<HttpHeader>;

/// Returns whether two header names are equal, ignoring ASCII case.
auto sameHeaderName(std::string_view Left, std::string_view Right) -> bool;

/// Returns the value of the first header named \p Name, if any. Complexity:
/// linear in the number of headers.
auto findHeader(const HttpHeaders &Headers, std::string_view Name)
    -> std::optional<std::string>;

/// Whose response it is, by a header that responses repeat.
enum class ResponseName : std::uint8_t {
  Own,   ///< The header has the value that was sent.
  Other, ///< It has another value: the response belongs to another call.
  None,  ///< There is no such header.
};

auto nameInResponse(const HttpHeaders &Headers, const HttpHeader &Sent)
    -> ResponseName;

/// A request as received from a caller.
struct HttpRequest {
  std::string m_Method;
  std::string m_Path;
  /// Path and query as received. Empty when the server does not provide it.
  std::string m_Target;
  HttpHeaders m_Query;
  HttpHeaders m_Headers;
  SharedBytes m_Body;
};

struct HttpResponse {
  unsigned m_Status = 200;
  HttpHeaders m_Headers;
  std::string m_Body;
};

/// Returns a response whose body is the JSON document \p Document.
auto jsonResponse(unsigned Status, std::string Document) -> HttpResponse;

} // namespace dotterel

#endif // DOTTEREL_IO_HTTPMESSAGE_H
