#include "dotterel/io/detail/ResponseHeadCheck.h"

namespace dotterel::detail {

namespace {

constexpr auto StatusDigits = 3U;
constexpr auto MinStatus = 100U;
constexpr auto MaxStatus = 599U;
constexpr auto Decimal = 10U;

} // namespace

auto ResponseHeadCheck::feed(std::string_view Bytes) -> bool {
  for (auto Byte : Bytes) {
    if (m_Error != nullptr || ended())
      break;
    read(Byte);
  }
  return m_Error == nullptr;
}

auto ResponseHeadCheck::read(char Byte) -> void {
  switch (m_State) {
  case State::Begin:
    if (Byte != '\r' && Byte != '\n')
      m_State = State::Version;
    return;
  case State::Version:
    if (Byte == ' ')
      m_State = State::Status;
    return;
  case State::Status:
    readStatus(Byte);
    return;
  case State::Reason:
  case State::Line:
    if (Byte == '\n')
      m_State = State::LineBegin;
    return;
  case State::LineBegin:
    if (Byte == '\n')
      m_State = State::Ended;
    else
      m_State = Byte == '\r' ? State::LastLineEnd : State::Line;
    return;
  case State::LastLineEnd:
    m_State = State::Ended;
    return;
  case State::Ended:
    return;
  }
}

auto ResponseHeadCheck::readStatus(char Byte) -> void {
  if (Byte >= '0' && Byte <= '9' && m_StatusDigits < StatusDigits) {
    ++m_StatusDigits;
    m_Status = Decimal * m_Status + static_cast<unsigned>(Byte - '0');
    return;
  }
  // Blanks may come before the status.
  if (Byte == ' ' && m_StatusDigits == 0)
    return;
  if ((Byte != ' ' && Byte != '\r' && Byte != '\n') ||
      m_StatusDigits != StatusDigits || m_Status < MinStatus ||
      m_Status > MaxStatus) {
    fail("the status of the answer is not valid");
    return;
  }
  m_State = Byte == '\n' ? State::LineBegin : State::Reason;
}

} // namespace dotterel::detail
