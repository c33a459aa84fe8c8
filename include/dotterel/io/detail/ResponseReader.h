//===- ResponseReader.h - Parser for HTTP responses -------------*- C++ -*-===//
///
/// \file
/// Declares the parser that reads the response to one call and skips late
/// responses to earlier calls.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_DETAIL_RESPONSEREADER_H
#define DOTTEREL_IO_DETAIL_RESPONSEREADER_H

#include "dotterel/base/Units.h"
#include "dotterel/io/HttpMessage.h"

#include <functional>
#include <http_parser.h>
#include <optional>
#include <string_view>

namespace dotterel::detail {

/// Parses the response to one call.
///
/// \invariant onHeaders is called at most once, before any onData, and not for
/// a response whose echoed header has another value than the expected one.
class ResponseReader {
public:
  struct Callbacks {
    std::function<void(unsigned, const HttpHeaders &)> m_OnHeaders;
    std::function<void(std::string_view)> m_OnData;
  };

  ResponseReader(bool HeadMethod, HttpHeader EchoedHeader, Callbacks Callbacks);
  ResponseReader(const ResponseReader &) = delete;
  auto operator=(const ResponseReader &) -> ResponseReader & = delete;
  ~ResponseReader() = default;

  enum class State : std::uint8_t {
    Reading,
    Complete, ///< The complete response was received.
    Broken,   ///< The bytes are no response, or it is truncated.
  };

  auto feed(std::string_view Bytes) -> State;

  /// Handles the end of the connection. \p ClosedCleanly says whether the peer
  /// closed it in an orderly way. If so, a response without a length is
  /// complete.
  auto end(bool ClosedCleanly) -> State;

  /// Returns whether the connection can carry another call: no bytes followed
  /// the response, no response was skipped, and the peer keeps the connection
  /// open.
  [[nodiscard]] auto reusable() const -> bool {
    return m_Reusable && !m_HasTrailingBytes && !m_SkippedResponse;
  }
  [[nodiscard]] auto started() const -> bool { return m_Started; }
  /// Returns the time for which the peer keeps an idle connection open, from
  /// its Keep-Alive header.
  [[nodiscard]] auto keepAliveTimeout() const -> std::optional<Duration>;

private:
  auto finishResponse() -> State;
  auto headersComplete() -> int;
  auto restart() -> void;
  static auto settings() -> const http_parser_settings &;

  bool m_HeadMethod;
  HttpHeader m_EchoedHeader;
  Callbacks m_Callbacks;
  http_parser m_Parser{};
  State m_State = State::Reading;
  HttpHeaders m_Headers;
  bool m_InHeaderValue = false;
  bool m_HeadersDone = false;
  bool m_MessageDone = false;
  bool m_BelongsToOtherCall = false; ///< State of the current response.
  bool m_SkippedResponse = false;
  bool m_HasTrailingBytes = false;
  bool m_Reusable = false;
  bool m_Started = false;
};

} // namespace dotterel::detail

#endif // DOTTEREL_IO_DETAIL_RESPONSEREADER_H
