//===- CompletionFormat.h - Completion responses ----------------*- C++ -*-===//
///
/// \file
/// Formats the JSON documents and stream events of completion responses.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_COMPLETIONFORMAT_H
#define DOTTEREL_GATE_COMPLETIONFORMAT_H

#include "dotterel/base/Ids.h"
#include "dotterel/gate/CompletionRequest.h"

#include <cstdint>
#include <string>
#include <utility>

namespace dotterel {

/// Token counts of a response, on which billing is based.
struct CompletionUsage {
  std::uint64_t m_PromptTokens = 0;
  std::uint64_t m_CompletionTokens = 0;
};

/// Formats one response, as a chat or a text completion.
/// Complexity of all members: linear in the length of the text.
class CompletionFormat {
public:
  CompletionFormat(const RequestId &Request, ModelId Model,
                   CompletionShape Shape)
      : m_Id("cmpl-" + Request.text()), m_Model(std::move(Model)),
        m_Shape(Shape) {}

  /// Returns the stream event that carries \p Text.
  [[nodiscard]] auto tokenEvent(const std::string &Text) const -> std::string;

  /// Returns the stream event with the reason why the response ended.
  [[nodiscard]] auto finishEvent(const std::string &FinishReason) const
      -> std::string;

  /// Returns the stream event with the token counts.
  [[nodiscard]] auto usageEvent(CompletionUsage Usage) const -> std::string;

  /// Returns the document of a complete response that is not streamed.
  [[nodiscard]] auto completeResponse(const std::string &Text,
                                      const std::string &FinishReason,
                                      CompletionUsage Usage) const
      -> std::string;

private:
  [[nodiscard]] auto isChat() const -> bool {
    return m_Shape == CompletionShape::Chat;
  }

  std::string m_Id;
  ModelId m_Model;
  CompletionShape m_Shape;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_COMPLETIONFORMAT_H
