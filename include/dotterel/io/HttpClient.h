//===- HttpClient.h - HTTP client on the event loop -------------*- C++ -*-===//
///
/// \file
/// Adapts libcurl's multi socket interface to the event loop.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_HTTPCLIENT_H
#define DOTTEREL_IO_HTTPCLIENT_H

#include "dotterel/io/EventLoop.h"
#include "dotterel/io/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dotterel {

/// How a call ended.
enum class HttpOutcome : std::uint8_t {
  Complete, ///< The whole answer arrived, its length checked.
  NotSent,  ///< No byte of the request left this process.
  Broken,   ///< The connection failed after bytes may have left.
  TimedOut, ///< The deadline passed after bytes may have left.
};

struct HttpCallResult {
  HttpOutcome m_Outcome = HttpOutcome::NotSent;
  unsigned m_Status = 0;
  HttpHeaders m_Headers;
  std::string m_Body; ///< Empty when the call had an onData receiver.
  std::string m_Detail;
  /// Whether the connection had carried an earlier call. A peer may have closed
  /// it before it read this one.
  bool m_Reused = false;
};

struct HttpCall {
  std::string m_Method = "GET";
  std::string m_Url;
  HttpHeaders m_Headers;
  std::string m_Body;
  Duration m_Timeout = Seconds(10);
  Duration m_ConnectTimeout = Seconds(2);
  /// Uses a connection of its own, which libcurl therefore never re-sends on.
  bool m_OneConnection = false;
  /// A header that the answer must repeat. An answer with another value belongs
  /// to an earlier call and is skipped. Unused when the name is empty.
  HttpHeader m_Echo;
  std::size_t m_MaximumAnswerBytes = std::size_t{64} << 20U;
  /// Called once before the first onData, with the answer's status.
  std::function<void(unsigned, const HttpHeaders &)> m_OnHeaders;
  std::function<void(std::string_view)> m_OnData;
  std::function<void(HttpCallResult)> m_OnDone;
};

using HttpCallId = NumberId<struct HttpCallTag>;

/// Starts HTTP calls. The callbacks of a call never run inside start() or
/// cancel().
class HttpClient {
public:
  virtual ~HttpClient() = default;

  virtual auto start(HttpCall Call) -> HttpCallId = 0;

  /// Ends a call and closes its connection; no callback follows.
  virtual auto cancel(HttpCallId Call) -> void = 0;
};

/// \throws IoError 402 when libcurl cannot start.
auto makeHttpClient(EventLoop &Loop) -> std::unique_ptr<HttpClient>;

} // namespace dotterel

#endif // DOTTEREL_IO_HTTPCLIENT_H
