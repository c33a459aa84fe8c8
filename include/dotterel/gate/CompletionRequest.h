//===- CompletionRequest.h - A caller's completion request ------*- C++ -*-===//
///
/// \file
/// Parses and validates a completion request.
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

/// The two kinds of completion requests, by path and document format.
enum class CompletionShape : std::uint8_t { Chat, Text };

/// A validated completion request.
struct CompletionRequest {
  CompletionShape m_Shape = CompletionShape::Chat;
  ModelId m_Model;
  std::string m_Prompt; ///< The complete text that the engine prefills.
  std::uint64_t m_MaxTokens = 0;
  bool m_Stream = false;
  bool m_IncludeUsage = false;
  WorkClass m_Class = WorkClass::Standard;
  std::string m_EngineBody; ///< Request body for the engine, which asks for
                            ///< a stream and for usage.

  /// Returns the request body that resumes the response after the first
  /// \p Position tokens.
  [[nodiscard]] auto resumeBody(std::uint64_t Position) const -> std::string;
};

/// Parses the body and the x-priority header of \p Source.
/// \throws ProtocolError 301 with the invalid field and the reason.
auto parseCompletionRequest(CompletionShape Shape, const HttpRequest &Source)
    -> CompletionRequest;

} // namespace dotterel

#endif // DOTTEREL_GATE_COMPLETIONREQUEST_H
