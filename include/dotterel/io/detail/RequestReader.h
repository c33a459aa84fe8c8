//===- RequestReader.h - Requests out of a byte stream ----------*- C++ -*-===//
///
/// \file
/// Splits what a caller sends into requests, and rejects what could be read in
/// two ways.
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

/// Why a message is not accepted.
struct Rejection {
  unsigned m_Status = 0; ///< 0: the message is accepted so far.
  std::string m_Reason;
};

/// Reads one request after another.
///
/// \invariant Once a message is rejected, nothing behind it is read.
class RequestReader {
public:
  explicit RequestReader(const CallerLimits &Limits);
  RequestReader(const RequestReader &) = delete;
  auto operator=(const RequestReader &) -> RequestReader & = delete;
  ~RequestReader() = default;

  enum class State : std::uint8_t {
    Head,     ///< The headers are not complete.
    Body,     ///< The headers are, the body is not.
    Complete, ///< request() is whole; next() makes room for another.
    Rejected, ///< rejection() says why; the connection must end.
  };

  /// Takes bytes; those behind a complete request are kept for next().
  auto feed(std::string_view Bytes) -> State;

  /// Forgets the complete request and reads on. \pre the state is Complete.
  auto next() -> State;

  auto setLimits(const CallerLimits &Limits) -> void { m_Limits = Limits; }

  [[nodiscard]] auto state() const -> State { return m_State; }
  [[nodiscard]] auto request() -> HttpRequest & { return m_Request; }
  [[nodiscard]] auto rejection() const -> const Rejection & {
    return m_Rejection;
  }
  /// Whether the caller wants to send another request on this connection.
  [[nodiscard]] auto keepAlive() const -> bool { return m_KeepAlive; }
  /// Whether the caller waits for "100 Continue". Reading clears it.
  [[nodiscard]] auto takeContinue() -> bool;
  /// Whether any byte of the current request has come.
  [[nodiscard]] auto begun() const -> bool {
    return m_State == State::Body || !m_Buffer.empty();
  }
  /// Bytes kept behind a complete request.
  [[nodiscard]] auto buffered() const -> std::size_t { return m_Buffer.size(); }
  [[nodiscard]] auto legacyVersion() const -> bool { return m_Legacy; }

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
  std::size_t m_Scanned = 0;
  HttpRequest m_Request;
  Rejection m_Rejection;
  bool m_InValue = false;
  bool m_HeadersDone = false;
  bool m_MessageDone = false;
  bool m_KeepAlive = true;
  bool m_Continue = false;
  bool m_Legacy = false;
};

/// The fault in the raw bytes of a request's head, empty when there is none:
/// bare line ends, folded lines, control characters.
auto headFault(std::string_view Head) -> std::string_view;

} // namespace dotterel::detail

#endif // DOTTEREL_IO_DETAIL_REQUESTREADER_H
