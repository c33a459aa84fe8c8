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
#include "dotterel/io/detail/ChunkCheck.h"
#include "dotterel/io/detail/ResponseHeadCheck.h"

#include <functional>
#include <http_parser.h>
#include <optional>
#include <string_view>

namespace dotterel::detail {

struct ResponseReaderOptions {
  bool m_HeadMethod = false;
  /// A response whose header of this name has another value belongs to another
  /// call. Unused when the name is empty.
  HttpHeader m_EchoedHeader;
  /// Whether a response without that header is rejected: on a connection that
  /// has carried other calls nothing else ties it to this one.
  bool m_RequireEcho = false;
  /// Maximum number of bytes of bodies, those of skipped responses included.
  std::size_t m_MaxBodyBytes = std::size_t{64} << 20U;
};

/// Parses the response to one call.
///
/// \invariant onHeaders is called at most once, before any onData, and not for
/// a response whose echoed header has another value than the expected one.
///
/// \invariant The bytes that are read are bounded, whatever the peer sends:
/// bodies by m_MaxBodyBytes, all other bytes by MaxOverheadBytes, plus
/// MaxOverheadPerBodyByte for each byte of the response's own body.
class ResponseReader {
public:
  struct Callbacks {
    std::function<void(unsigned, const HttpHeaders &)> m_OnHeaders;
    std::function<void(std::string_view)> m_OnData;
  };

  /// Maximum number of bytes that belong to no body: heads, interim and skipped
  /// responses' heads, chunk framing and trailers.
  static constexpr auto MaxOverheadBytes = std::size_t{64} << 10U;
  /// Chunks of one byte have five bytes of framing.
  static constexpr auto MaxOverheadPerBodyByte = std::size_t{8};
  /// Maximum number of headers of one response.
  static constexpr auto MaxHeaders = std::size_t{512};

  ResponseReader(ResponseReaderOptions Options, Callbacks Callbacks);
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
    return m_Reusable && !m_HasTrailingBytes && m_SkippedResponses == 0;
  }
  /// Returns whether the response was broken off because it exceeded a limit.
  [[nodiscard]] auto overLimit() const -> bool { return m_OverLimit; }
  /// Returns whether the response was rejected since it names no call.
  [[nodiscard]] auto rejectedUnnamed() const -> bool {
    return m_RejectedUnnamed;
  }
  /// Returns whether a response began to arrive that was not skipped.
  [[nodiscard]] auto begun() const -> bool {
    return m_HeadCheck.begun() || m_OverLimit;
  }
  /// Returns why bytes that were read are no response to the call.
  [[nodiscard]] auto brokenReason() const -> const char *;
  [[nodiscard]] auto started() const -> bool { return m_Started; }
  /// Returns whether the response repeats the expected header.
  [[nodiscard]] auto namesCall() const -> bool { return m_NamesCall; }
  /// Returns the number of responses to other calls that were skipped.
  [[nodiscard]] auto skippedResponses() const -> std::uint32_t {
    return m_SkippedResponses;
  }
  /// Returns the time for which the peer keeps an idle connection open, from
  /// its Keep-Alive header.
  [[nodiscard]] auto keepAliveTimeout() const -> std::optional<Duration>;

private:
  auto finishResponse() -> State;
  auto headersComplete() -> int;
  /// Returns whether the headers state a length other than 0, or chunks.
  [[nodiscard]] auto statesBody() const -> bool;
  /// Returns whether the parser decodes the body as the headers say.
  [[nodiscard]] auto decodesBody() const -> bool;
  /// Checks bytes after a head that the parser has read.
  auto checkBody(std::string_view Bytes) -> bool;
  auto addBody(std::string_view Data) -> int;
  [[nodiscard]] auto maxOverheadBytes() const -> std::size_t;
  auto restart() -> void;
  static auto settings() -> const http_parser_settings &;

  ResponseReaderOptions m_Options;
  Callbacks m_Callbacks;
  http_parser m_Parser{};
  State m_State = State::Reading;
  // Of the current response.
  ResponseHeadCheck m_HeadCheck;
  ChunkCheck m_ChunkCheck;
  ResponseHeadCheck m_TrailerCheck;
  HttpHeaders m_Headers;
  std::size_t m_OverheadBytes = 0;
  std::size_t m_OwnBodyBytes = 0;
  std::size_t m_BodyBytes = 0; ///< Of skipped responses too.
  bool m_OverLimit = false;
  bool m_InHeaderValue = false;
  bool m_HeadersDone = false;
  bool m_MessageDone = false;
  bool m_BelongsToOtherCall = false; ///< State of the current response.
  std::uint32_t m_SkippedResponses = 0;
  bool m_NamesCall = false;
  bool m_RejectedUnnamed = false;
  bool m_InvalidChunks = false;
  bool m_UnknownCoding = false;
  bool m_HasTrailingBytes = false;
  bool m_Reusable = false;
  bool m_Started = false;
};

} // namespace dotterel::detail

#endif // DOTTEREL_IO_DETAIL_RESPONSEREADER_H
