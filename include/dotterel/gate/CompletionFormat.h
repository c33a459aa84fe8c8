//===- CompletionFormat.h - Answers of completions --------------*- C++ -*-===//
///
/// \file
/// Writes the documents that a caller of a completion gets.
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

/// Tokens that an answer is billed by.
struct AnswerUsage {
  std::uint64_t m_Prompt = 0;
  std::uint64_t m_Completion = 0;
};

/// Documents of one answer, in the shape that the request asked for.
/// All members: complexity linear in the text.
class CompletionFormat {
public:
  CompletionFormat(const RequestId &Request, ModelId Model,
                   CompletionShape Shape)
      : m_Id("cmpl-" + Request.text()), m_Model(std::move(Model)),
        m_Shape(Shape) {}

  /// The event of a stream that carries \p Text.
  [[nodiscard]] auto token(const std::string &Text) const -> std::string;

  /// The event of a stream that says why it ended.
  [[nodiscard]] auto last(const std::string &FinishReason) const -> std::string;

  /// The event of a stream that carries its usage.
  [[nodiscard]] auto usage(AnswerUsage Usage) const -> std::string;

  /// A whole answer that is not streamed.
  [[nodiscard]] auto whole(const std::string &Text,
                           const std::string &FinishReason,
                           AnswerUsage Usage) const -> std::string;

private:
  [[nodiscard]] auto chat() const -> bool {
    return m_Shape == CompletionShape::Chat;
  }

  std::string m_Id;
  ModelId m_Model;
  CompletionShape m_Shape;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_COMPLETIONFORMAT_H
