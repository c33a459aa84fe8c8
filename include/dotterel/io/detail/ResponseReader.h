//===- AnswerReader.h - Answers out of a byte stream ------------*- C++ -*-===//
///
/// \file
/// Reads the answer to one call, and skips answers to earlier ones.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_DETAIL_ANSWERREADER_H
#define DOTTEREL_IO_DETAIL_ANSWERREADER_H

#include "dotterel/base/Units.h"
#include "dotterel/io/HttpMessage.h"

#include <functional>
#include <http_parser.h>
#include <optional>
#include <string_view>

namespace dotterel::detail {

/// Reads one answer.
///
/// \invariant onHeaders comes once, before any onData, and only for the answer
/// that repeats the expected header.
class AnswerReader {
public:
  struct Events {
    std::function<void(unsigned, const HttpHeaders &)> m_OnHeaders;
    std::function<void(std::string_view)> m_OnData;
  };

  AnswerReader(bool HeadMethod, HttpHeader Echo, Events Events);
  AnswerReader(const AnswerReader &) = delete;
  auto operator=(const AnswerReader &) -> AnswerReader & = delete;
  ~AnswerReader() = default;

  enum class State : std::uint8_t {
    Reading,
    Complete, ///< The whole answer has come.
    Broken,   ///< The bytes are no answer, or the answer was cut.
  };

  auto feed(std::string_view Bytes) -> State;

  /// The connection has ended. An answer without a length is then whole.
  auto end(bool InGoodOrder) -> State;

  /// Whether the connection can carry another call: nothing followed the
  /// answer, and its sender keeps the connection.
  [[nodiscard]] auto reusable() const -> bool {
    return m_Reusable && !m_Extra && !m_Skipped;
  }
  [[nodiscard]] auto begun() const -> bool { return m_Begun; }
  /// How long the peer says that it keeps an idle connection.
  [[nodiscard]] auto keepAliveTime() const -> std::optional<Duration>;

private:
  auto finishAnswer() -> State;
  auto headersComplete() -> int;
  auto restart() -> void;
  static auto settings() -> const http_parser_settings &;

  bool m_HeadMethod;
  HttpHeader m_Echo;
  Events m_Events;
  http_parser m_Parser{};
  State m_State = State::Reading;
  HttpHeaders m_Headers;
  bool m_InValue = false;
  bool m_HeadersDone = false;
  bool m_MessageDone = false;
  bool m_Foreign = false; ///< The answer at hand belongs to another call.
  bool m_Skipped = false;
  bool m_Extra = false;
  bool m_Reusable = false;
  bool m_Begun = false;
};

} // namespace dotterel::detail

#endif // DOTTEREL_IO_DETAIL_ANSWERREADER_H
