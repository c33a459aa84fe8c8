//===- CallerExchange.h - A caller's request and its response ---*- C++ -*-===//
///
/// \file
/// Interface between the serving core and callers, independent of the protocol.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_CALLEREXCHANGE_H
#define DOTTEREL_SERVING_CALLEREXCHANGE_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/gate/Refusal.h"
#include "dotterel/io/HttpMessage.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// A part of a prompt. Parts with equal ids at equal positions have equal text.
struct PromptPart {
  std::string m_Id;
  TokenCount m_Tokens;
};

/// Properties of a prompt that are known before it is prefilled.
struct PromptShape {
  ModelId m_Model;
  /// In prompt order; the last part is specific to the request.
  std::vector<PromptPart> m_Parts;
  TokenCount m_PromptTokens;
  TokenCount m_OutputLimit;
};

/// A request as the serving core sees it. The core does not interpret the body.
struct CallerRequest {
  RequestId m_Id;
  std::string m_Host;
  std::string m_Path;
  std::string m_Key; ///< Secret: must not be logged or forwarded.
  std::optional<Duration> m_TimeLeft;
  std::optional<PromptShape> m_Prompt;
  /// Id of the last event that the caller has received. Empty if the response
  /// starts from the beginning.
  std::string m_ResumeAfter;
  /// The request that began the stream which the caller takes up again; empty
  /// if the caller takes up none, or does not state it.
  RequestId m_Resumed;
  std::string m_Method;
  std::string m_Target;
  HttpHeaders m_Headers; ///< Headers that are forwarded to a backend server.
  SharedBytes m_Body;
};

/// Status and headers of a backend server's response, forwarded unchanged.
struct ResponseHead {
  unsigned m_Status = 200;
  HttpHeaders m_Headers;
};

/// One request and the means to respond to it. Exactly one of refuse(),
/// sendResponse() and beginStream() is called, once.
class CallerExchange {
public:
  virtual ~CallerExchange() = default;

  [[nodiscard]] virtual auto request() const -> const CallerRequest & = 0;

  /// Responds with an error of this system. \p RetryAfter is the time
  /// after which the caller may retry.
  virtual auto refuse(const Refusal &Reason, std::optional<Duration> RetryAfter)
      -> void = 0;

  /// Forwards a complete response.
  virtual auto sendResponse(const ResponseHead &Head, std::string Body)
      -> void = 0;

  /// Forwards the head of a response of unknown length.
  virtual auto beginStream(const ResponseHead &Head) -> void = 0;
  virtual auto write(std::string_view Data) -> void = 0;
  /// Ends the stream as complete.
  virtual auto finish() -> void = 0;
  /// Ends the stream in a way that the caller detects as truncated.
  virtual auto abort() -> void = 0;

  /// Returns the number of buffered bytes that the caller has not received yet.
  [[nodiscard]] virtual auto unsentBytes() const -> std::size_t = 0;

  /// Sets a callback that runs once if the caller disconnects before the
  /// response ends.
  virtual auto onDisconnect(std::function<void()> Callback) -> void = 0;
};

using CallerExchangePtr = std::shared_ptr<CallerExchange>;

} // namespace dotterel

#endif // DOTTEREL_SERVING_CALLEREXCHANGE_H
