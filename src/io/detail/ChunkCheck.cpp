#include "dotterel/io/detail/ChunkCheck.h"

#include <algorithm>
#include <charconv>

namespace dotterel::detail {

auto ChunkCheck::feed(std::string_view &Bytes) -> bool {
  while (!Bytes.empty() && m_State != State::Ended) {
    if (m_State == State::Data) {
      auto Count = std::min<std::uint64_t>(m_DataBytes, Bytes.size());
      Bytes.remove_prefix(Count);
      m_DataBytes -= Count;
      if (m_DataBytes == 0)
        m_State = State::DataEnd;
      continue;
    }
    if (!read(Bytes.front()))
      return false;
    Bytes.remove_prefix(1);
  }
  return true;
}

auto ChunkCheck::read(char Byte) -> bool {
  constexpr auto Hexadecimal = 16;
  auto Digit = std::uint64_t{0};
  switch (m_State) {
  case State::Size:
    // The parser library limits the size.
    if (std::from_chars(&Byte, &Byte + 1, Digit, Hexadecimal).ec ==
        std::errc()) {
      m_DataBytes = Hexadecimal * m_DataBytes + Digit;
      return true;
    }
    m_State = State::Extension;
    [[fallthrough]];
  case State::Extension:
    if (Byte == '\r')
      m_State = State::SizeEnd;
    return true;
  case State::SizeEnd:
    m_State = m_DataBytes == 0 ? State::Ended : State::Data;
    return Byte == '\n';
  case State::DataEnd:
    if (!m_AfterCarriageReturn) {
      m_AfterCarriageReturn = true;
      return Byte == '\r';
    }
    m_AfterCarriageReturn = false;
    m_State = State::Size;
    return Byte == '\n';
  case State::Data:
  case State::Ended:
    break;
  }
  return true;
}

} // namespace dotterel::detail
