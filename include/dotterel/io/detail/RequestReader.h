//===- RequestReader.h - Parser for HTTP requests ---------------*- C++ -*-===//
///
/// \file
/// Declares the parser that splits a caller's byte stream into requests and
/// rejects ambiguous messages.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_DETAIL_REQUESTREADER_H
#define DOTTEREL_IO_DETAIL_REQUESTREADER_H

#include "dotterel/io/HttpMessage.h"
#include "dotterel/io/StrictHttpServer.h"

#include <cstdint>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace dotterel::detail {

/// Reason for which a message is rejected.
struct Rejection {
  unsigned m_Status = 0; ///< 0 while the message is not rejected.
  std::string m_Reason;
};

/// Parses consecutive requests of one connection.
///
/// \invariant After a rejected message, no further bytes are parsed.
class RequestReader {
public:
  explicit RequestReader(const CallerLimits &Limits);
  RequestReader(const RequestReader &) = delete;
  auto operator=(const RequestReader &) -> RequestReader & = delete;
  ~RequestReader() = default;

  enum class State : std::uint8_t {
    Head,     ///< The headers are incomplete.
    Body,     ///< The headers are complete, the body is not.
    Complete, ///< request() is complete; next() continues.
    Rejected, ///< See rejection(). The connection must end.
  };

  /// Parses \p Bytes. Those that follow a complete request are buffered for
  /// next().
  auto feed(std::string_view Bytes) -> State;

  /// Discards the complete request and parses the next one.
  /// \pre The state is Complete.
  auto next() -> State;

  auto setLimits(const CallerLimits &Limits) -> void { m_Limits = Limits; }

  [[nodiscard]] auto state() const -> State { return m_State; }
  [[nodiscard]] auto request() -> HttpRequest & { return m_Request; }
  [[nodiscard]] auto rejection() const -> const Rejection & {
    return m_Rejection;
  }
  /// Returns whether the caller may send another request on this connection.
  [[nodiscard]] auto keepAlive() const -> bool { return m_KeepAlive; }
  /// Returns whether the caller waits for "100 Continue", and clears that flag.
  [[nodiscard]] auto consumeExpectContinue() -> bool;
  /// Returns whether any byte of the current request has been received.
  [[nodiscard]] auto started() const -> bool {
    return m_State == State::Body || !m_Buffer.empty();
  }
  /// Returns the number of buffered bytes that have not been parsed.
  [[nodiscard]] auto bufferedBytes() const -> std::size_t {
    return m_Buffer.size();
  }
  /// Returns the number of bytes received of an incomplete body.
  /// Returns the number of bytes that the current request takes: those that are
  /// held, and the announced rest of its body.
  [[nodiscard]] auto heldBytes() const -> std::size_t;
  /// Frees what is held of a request that is not read further.
  /// \post The state is Rejected.
  auto discard() -> void;
  [[nodiscard]] auto isHttp10() const -> bool { return m_Http10; }

private:
  auto advance() -> State;
  auto readHead() -> State;
  auto readBody(std::string_view Bytes) -> void;
  auto reject(unsigned Status, std::string Reason) -> State;
  auto checkHead() -> void;
  static auto settings() -> const http_parser_settings &;

  CallerLimits m_Limits;
  http_parser m_Parser{};
  State m_State = State::Head;
  std::string m_Buffer;
  std::size_t m_ScannedBytes = 0;
  std::size_t m_HeadBytes = 0;
  HttpRequest m_Request;
  std::string m_Body; ///< As far as it has been received.
  Rejection m_Rejection;
  bool m_InHeaderValue = false;
  bool m_HeadersDone = false;
  bool m_MessageDone = false;
  bool m_KeepAlive = true;
  bool m_ExpectContinue = false;
  bool m_Http10 = false;
};

/// Returns a description of the first error found in the raw bytes of a
/// request's head, or an empty string: white space in a header's name, bare
/// line ends, folded lines, control characters.
auto findHeadError(std::string_view Head) -> std::string_view;

} // namespace dotterel::detail

#endif // DOTTEREL_IO_DETAIL_REQUESTREADER_H
