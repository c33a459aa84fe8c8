//===- ResponseHeadCheck.h - Syntax of a response's head --------*- C++ -*-===//
///
/// \file
/// Declares a check of the heads of HTTP responses that both HTTP clients
/// share, since their parsers accept what RFC 9110 and RFC 9112 do not allow.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_DETAIL_RESPONSEHEADCHECK_H
#define DOTTEREL_IO_DETAIL_RESPONSEHEADCHECK_H

#include <cstdint>
#include <string_view>

namespace dotterel::detail {

/// Reads the head of one response as it arrives, and says whether its status is
/// one of HTTP: three digits, from 100 to 599.
class ResponseHeadCheck {
public:
  /// Reads up to the end of the head, and ignores what follows. \returns
  /// whether the head is valid so far.
  auto feed(std::string_view Bytes) -> bool;

  /// Returns whether the head has ended.
  [[nodiscard]] auto ended() const -> bool { return m_State == State::Ended; }
  /// Returns why the head is not valid, or null.
  [[nodiscard]] auto error() const -> const char * { return m_Error; }

private:
  enum class State : std::uint8_t {
    Begin, ///< Empty lines may come before the status line.
    Version,
    Status,
    Reason,
    LineBegin,
    Line,
    LastLineEnd, ///< After the CR of the empty line.
    Ended,
  };

  auto read(char Byte) -> void;
  auto readStatus(char Byte) -> void;
  auto fail(const char *Error) -> void { m_Error = Error; }

  State m_State = State::Begin;
  unsigned m_StatusDigits = 0;
  unsigned m_Status = 0;
  const char *m_Error = nullptr;
};

} // namespace dotterel::detail

#endif // DOTTEREL_IO_DETAIL_RESPONSEHEADCHECK_H
