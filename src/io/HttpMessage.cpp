#include "dotterel/io/HttpMessage.h"

#include <algorithm>

namespace dotterel {

namespace {

auto lower(char Character) -> char {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

} // namespace

auto sameHeaderName(std::string_view Left, std::string_view Right) -> bool {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](char A, char B) { return lower(A) == lower(B); });
}

auto findHeader(const HttpHeaders &Headers, std::string_view Name)
    -> std::optional<std::string> {
  for (const auto &Header : Headers)
    if (sameHeaderName(Header.m_Name, Name))
      return Header.m_Value;
  return std::nullopt;
}

} // namespace dotterel
