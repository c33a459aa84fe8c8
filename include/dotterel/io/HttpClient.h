//===- HttpClient.h - HTTP client on the event loop -------------*- C++ -*-===//
///
/// \file
/// Declares the HTTP client interface and its implementation that runs
/// libcurl's multi socket interface on the event loop.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_HTTPCLIENT_H
#define DOTTEREL_IO_HTTPCLIENT_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/HttpMessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dotterel {

/// Result of a call.
enum class HttpOutcome : std::uint8_t {
  Complete, ///< The complete response arrived and its length was checked.
  NotSent,  ///< No byte of the request was sent.
  Broken,   ///< The connection failed after bytes may have been sent.
  TimedOut, ///< The deadline passed after bytes may have been sent.
};

struct HttpCallResult {
  HttpOutcome m_Outcome = HttpOutcome::NotSent;
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body; ///< Empty when the call had an onData callback.
  std::string m_Detail;
  /// Whether the connection had carried an earlier call. The peer may have
  /// closed such a connection before it read this call.
  bool m_Reused = false;
  /// Whether the response had no length and ended with its connection. The
  /// pooled client alone reports it.
  bool m_EndedByClose = false;
  /// Whether the response repeats the call's echoed header. The pooled client
  /// alone reports this and the next figure.
  bool m_NamesCall = false;
  /// Number of responses to other calls that came before the response.
  std::uint32_t m_SkippedResponses = 0;
};

struct HttpCall {
  std::string m_Method = "GET";
  std::string m_Url;
  HttpHeaders m_Headers;
  SharedBytes m_Body;
  Duration m_Timeout = Seconds(10);
  Duration m_ConnectTimeout = Seconds(2);
  /// Uses a new connection that carries no other call, so that libcurl never
  /// re-sends the request.
  bool m_DedicatedConnection = false;
  /// A header that the response must repeat. A response with another value
  /// belongs to an earlier call and is skipped. Unused when the name is empty.
  HttpHeader m_EchoedHeader;
  /// Maximum size of the response's body. A longer one counts as broken.
  std::size_t m_MaxResponseBytes = std::size_t{64} << 20U;
  /// Called once before the first onData, with the response's status and
  /// headers.
  std::function<void(unsigned, const HttpHeaders &)> m_OnHeaders;
  std::function<void(std::string_view)> m_OnData;
  std::function<void(HttpCallResult)> m_OnDone;
};

using HttpCallId = NumberId<struct HttpCallTag>;

/// Makes HTTP calls. The callbacks of a call never run inside start() or
/// cancel().
class HttpClient {
public:
  virtual ~HttpClient() = default;

  virtual auto start(HttpCall Call) -> HttpCallId = 0;

  /// Cancels a call and closes its connection. No callback follows.
  virtual auto cancel(HttpCallId Call) -> void = 0;

  /// Returns the number of responses that began to arrive and were incomplete
  /// or not valid.
  [[nodiscard]] virtual auto brokenResponses() const -> std::uint64_t {
    return 0;
  }
};

/// Creates a client that uses libcurl.
/// \throws IoError 402 when libcurl cannot create a multi handle.
auto makeHttpClient(EventLoop &Loop) -> std::unique_ptr<HttpClient>;

} // namespace dotterel

#endif // DOTTEREL_IO_HTTPCLIENT_H
