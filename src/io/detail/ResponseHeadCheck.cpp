#include "dotterel/io/detail/ResponseHeadCheck.h"

namespace dotterel::detail {

namespace {

constexpr auto StatusDigits = 3U;
constexpr auto MinStatus = 100U;
constexpr auto MaxStatus = 599U;
constexpr auto FirstFinalStatus = 200U;
constexpr auto Decimal = 10U;

constexpr auto InvalidLineEnd = "a line of the answer's head has no valid end";
constexpr auto InvalidName = "a header name of the answer is not valid";

auto isDigit(char Byte) -> bool { return Byte >= '0' && Byte <= '9'; }

/// Returns whether a header name may hold \p Byte.
auto isNameByte(char Byte) -> bool {
  constexpr auto Marks = std::string_view("!#$%&'*+-.^_`|~");
  return isDigit(Byte) || (Byte >= 'a' && Byte <= 'z') ||
         (Byte >= 'A' && Byte <= 'Z') ||
         Marks.find(Byte) != std::string_view::npos;
}

} // namespace

auto ResponseHeadCheck::interim() const -> bool {
  return m_Status < FirstFinalStatus;
}

auto ResponseHeadCheck::feed(std::string_view &Bytes) -> bool {
  while (!Bytes.empty() && m_Error == nullptr && !ended()) {
    read(Bytes.front());
    Bytes.remove_prefix(1);
  }
  return m_Error == nullptr;
}

auto ResponseHeadCheck::read(char Byte) -> void {
  switch (m_State) {
  case State::Begin:
    if (Byte == '\r' || Byte == '\n')
      return;
    m_State = State::Version;
    [[fallthrough]];
  case State::Version:
    readVersion(Byte);
    return;
  case State::Status:
    readStatus(Byte);
    return;
  case State::Reason:
  case State::Value:
    readText(Byte);
    return;
  case State::LineEnd:
    m_State = State::LineBegin;
    if (Byte != '\n')
      fail(InvalidLineEnd);
    return;
  case State::LineBegin:
    readLineBegin(Byte);
    return;
  case State::Name:
    readName(Byte);
    return;
  case State::LastLineEnd:
    m_State = State::Ended;
    if (Byte != '\n')
      fail(InvalidLineEnd);
    return;
  case State::Ended:
    return;
  }
}

auto ResponseHeadCheck::readVersion(char Byte) -> void {
  constexpr auto Digit = '0';
  constexpr auto Form = std::string_view("HTTP/0.0 ");
  auto Expected = Form[m_VersionBytes++];
  if (Expected == Digit ? !isDigit(Byte) : Byte != Expected)
    fail("the bytes are no answer");
  else if (m_VersionBytes == Form.size())
    m_State = State::Status;
}

auto ResponseHeadCheck::readStatus(char Byte) -> void {
  if (isDigit(Byte) && m_StatusDigits < StatusDigits) {
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
  m_State = State::Reason;
  readText(Byte);
}

auto ResponseHeadCheck::readText(char Byte) -> void {
  constexpr auto FirstVisible = '\x20';
  constexpr auto Delete = '\x7f';
  if (Byte == '\n') {
    m_State = State::LineBegin;
  } else if (Byte == '\r') {
    m_State = State::LineEnd;
  } else if (m_State == State::Value && Byte != '\t' &&
             ((Byte >= 0 && Byte < FirstVisible) || Byte == Delete)) {
    fail("a value in the head of the answer is not valid");
  }
}

auto ResponseHeadCheck::readLineBegin(char Byte) -> void {
  if (Byte == '\n') {
    m_State = State::Ended;
  } else if (Byte == '\r') {
    m_State = State::LastLineEnd;
  } else {
    // Also a blank, which once continued the line before: readers disagree on
    // whether it still does, and so on the length of the body.
    m_State = State::Name;
    if (!isNameByte(Byte))
      fail(InvalidName);
  }
}

auto ResponseHeadCheck::readName(char Byte) -> void {
  if (Byte == ':')
    m_State = State::Value;
  else if (!isNameByte(Byte))
    fail(InvalidName);
}

} // namespace dotterel::detail
