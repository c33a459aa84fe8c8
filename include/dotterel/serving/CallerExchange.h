//===- CallerExchange.h - A caller's request and its answer -----*- C++ -*-===//
///
/// \file
/// How the serving core meets callers, whatever protocol they speak.
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

/// A part of a prompt. Equal ids in equal positions mean equal text.
struct PromptPart {
  std::string m_Id;
  TokenCount m_Tokens;
};

/// What is known of a prompt before it is read.
struct PromptShape {
  ModelId m_Model;
  std::vector<PromptPart> m_Parts; ///< In order; the last is the request's own.
  TokenCount m_PromptTokens;
  TokenCount m_OutputLimit;
};

/// A request as the core sees it. The message itself is opaque.
struct CallerRequest {
  RequestId m_Id;
  std::string m_Host;
  std::string m_Path;
  std::string m_Key; ///< Secret: neither logged nor sent on.
  std::optional<Duration> m_TimeLeft;
  std::optional<PromptShape> m_Prompt;
  /// The caller holds the answer up to this event. Empty: from the start.
  std::string m_ResumeAfter;
  std::string m_Method;
  std::string m_Target;
  HttpHeaders m_Headers; ///< Those that a backend server may see.
  std::string m_Body;
};

/// The start of a backend server's answer, to be passed on as it is.
struct AnswerHead {
  unsigned m_Status = 200;
  HttpHeaders m_Headers;
};

/// One request and the way to answer it. Exactly one of refuse(), answer() and
/// beginStream() is called, once.
class CallerExchange {
public:
  virtual ~CallerExchange() = default;

  [[nodiscard]] virtual auto request() const -> const CallerRequest & = 0;

  /// Answers in the system's own name. \p RetryAfter advises when to return.
  virtual auto refuse(const Refusal &Reason, std::optional<Duration> RetryAfter)
      -> void = 0;

  /// Passes on a whole answer.
  virtual auto answer(const AnswerHead &Head, std::string Body) -> void = 0;

  /// Passes on the start of an answer whose length is not known.
  virtual auto beginStream(const AnswerHead &Head) -> void = 0;
  virtual auto write(std::string_view Data) -> void = 0;
  /// Ends a stream so that the caller sees it as whole.
  virtual auto finish() -> void = 0;
  /// Ends a stream so that the caller sees it as cut.
  virtual auto abort() -> void = 0;

  /// Bytes that the caller has not taken yet.
  [[nodiscard]] virtual auto backlog() const -> std::size_t = 0;

  /// Sets what is called once when the caller leaves before the answer ends.
  virtual auto onDisconnect(std::function<void()> Callback) -> void = 0;
};

using CallerExchangePtr = std::shared_ptr<CallerExchange>;

} // namespace dotterel

#endif // DOTTEREL_SERVING_CALLEREXCHANGE_H
