#include "dotterel/io/HttpMessage.h"

#include <algorithm>
#include <utility>

namespace dotterel {

namespace {

auto toLower(char Character) -> char {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

} // namespace

auto sameHeaderName(std::string_view Left, std::string_view Right) -> bool {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

auto findHeader(const HttpHeaders &Headers, std::string_view Name)
    -> std::optional<std::string> {
  for (const auto &Header : Headers)
    if (sameHeaderName(Header.m_Name, Name))
      return Header.m_Value;
  return std::nullopt;
}

auto jsonResponse(unsigned Status, std::string Document) -> HttpResponse {
  return {
      .m_Status = Status,
      .m_Headers = {{.m_Name = "Content-Type", .m_Value = "application/json"}},
      .m_Body = std::move(Document)};
}

auto nameInResponse(const HttpHeaders &Headers, const HttpHeader &Sent)
    -> ResponseName {
  auto Value = findHeader(Headers, Sent.m_Name);
  if (!Value)
    return ResponseName::None;
  return *Value == Sent.m_Value ? ResponseName::Own : ResponseName::Other;
}

} // namespace dotterel
