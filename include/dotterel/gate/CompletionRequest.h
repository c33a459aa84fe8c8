//===- CompletionRequest.h - A caller's completion request ------*- C++ -*-===//
///
/// \file
/// Checks a completion request and keeps what the gate decides by.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_COMPLETIONREQUEST_H
#define DOTTEREL_GATE_COMPLETIONREQUEST_H

#include "dotterel/base/Ids.h"
#include "dotterel/config/Configuration.h"
#include "dotterel/io/HttpMessage.h"

#include <cstdint>
#include <string>

namespace dotterel {

/// The two shapes of completion calls.
enum class CompletionShape : std::uint8_t { Chat, Text };

/// A checked completion request.
struct CompletionRequest {
  CompletionShape m_Shape = CompletionShape::Chat;
  ModelId m_Model;
  std::string m_Prompt; ///< All text that the engine prefills.
  std::uint64_t m_MaximumTokens = 0;
  bool m_Stream = false;
  bool m_IncludeUsage = false;
  WorkClass m_Class = WorkClass::Standard;
  std::string m_EngineBody; ///< To be sent: streamed, with usage.

  /// The body that resumes the answer behind \p Position tokens.
  [[nodiscard]] auto resumeBody(std::uint64_t Position) const -> std::string;
};

/// \throws ProtocolError 301 saying what is wrong.
auto parseCompletionRequest(CompletionShape Shape, const HttpRequest &Source)
    -> CompletionRequest;

} // namespace dotterel

#endif // DOTTEREL_GATE_COMPLETIONREQUEST_H
