//===- ResponseHeadCheck.h - Syntax of a response's head --------*- C++ -*-===//
///
/// \file
/// Declares a check of the heads of HTTP responses that both HTTP clients
/// share, since their parsers accept what RFC 9110 and RFC 9112 do not allow.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_DETAIL_RESPONSEHEADCHECK_H
#define DOTTEREL_IO_DETAIL_RESPONSEHEADCHECK_H

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace dotterel::detail {

/// Reads the head of one response as it arrives, and says whether it is valid:
/// it begins with the version, its status is one of HTTP, three digits from 100
/// to 599, each line has a name, and values and line ends hold no other control
/// bytes.
class ResponseHeadCheck {
public:
  /// Reads \p Bytes, of which it leaves what follows the end of the head.
  /// \returns whether the head is valid so far.
  auto feed(std::string_view &Bytes) -> bool;

  /// Lets the next bytes be read as trailers, whose lines are those of a head.
  auto beginTrailers() -> void { m_State = State::LineBegin; }

  /// Returns whether a byte of the head has been read.
  [[nodiscard]] auto begun() const -> bool { return m_State != State::Begin; }
  /// Returns whether the head, or the trailers, have ended.
  [[nodiscard]] auto ended() const -> bool { return m_State == State::Ended; }
  /// Returns whether a head that has ended belongs to an interim response.
  [[nodiscard]] auto interim() const -> bool;
  /// Returns why the head is not valid, or null.
  [[nodiscard]] auto error() const -> const char * { return m_Error; }

private:
  enum class State : std::uint8_t {
    Begin, ///< Empty lines may come before the status line.
    Version,
    Status,
    Reason,
    LineBegin,
    Name,
    Value,
    LineEnd,     ///< After a CR.
    LastLineEnd, ///< After the CR of the empty line.
    Ended,
  };

  auto read(char Byte) -> void;
  auto readVersion(char Byte) -> void;
  auto readStatus(char Byte) -> void;
  auto readLineBegin(char Byte) -> void;
  auto readName(char Byte) -> void;
  auto readText(char Byte) -> void;
  auto fail(const char *Error) -> void { m_Error = Error; }

  State m_State = State::Begin;
  std::size_t m_VersionBytes = 0;
  unsigned m_StatusDigits = 0;
  unsigned m_Status = 0;
  const char *m_Error = nullptr;
};

} // namespace dotterel::detail

#endif // DOTTEREL_IO_DETAIL_RESPONSEHEADCHECK_H
