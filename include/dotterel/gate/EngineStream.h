//===- EngineStream.h - An engine's streamed answer -------------*- C++ -*-===//
///
/// \file
/// Reads an engine's server-sent events and checks that they belong together.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_ENGINESTREAM_H
#define DOTTEREL_GATE_ENGINESTREAM_H

#include "dotterel/base/Ids.h"
#include "dotterel/gate/CompletionRequest.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>

namespace dotterel {

/// One token, or the end, of an engine's answer.
struct EngineEvent {
  std::string m_Text;
  std::string m_FinishReason; ///< Empty but in the last one.
  bool m_HasUsage = false;
  std::uint64_t m_PromptTokens = 0;
};

/// Reads one attempt's stream.
///
/// \invariant Events are given on in order of position without a gap, each one
/// once, and only those that carry the attempt's id.
class EngineStream {
public:
  /// Expects the first event at \p Position.
  EngineStream(AttemptId Attempt, CompletionShape Shape, std::uint64_t Position)
      : m_Attempt(std::move(Attempt)), m_Shape(Shape), m_Position(Position) {}

  /// Reads more of the stream, calling \p OnEvent for each event.
  /// \throws ProtocolError 301 when the stream breaks the rules: another
  /// attempt's id, a position out of order, or an event that is no JSON.
  auto feed(std::string_view Data,
            const std::function<void(const EngineEvent &)> &OnEvent) -> void;

  /// Tokens given on, counted over the whole answer.
  [[nodiscard]] auto position() const -> std::uint64_t { return m_Position; }

  /// Whether the end marker arrived behind a finish reason.
  [[nodiscard]] auto whole() const -> bool { return m_Done && m_Finished; }

private:
  auto readLine(std::string_view Line,
                const std::function<void(const EngineEvent &)> &OnEvent)
      -> void;

  AttemptId m_Attempt;
  CompletionShape m_Shape;
  std::uint64_t m_Position;
  std::string m_Rest; ///< The start of a line whose end has not arrived.
  bool m_Finished = false;
  bool m_Done = false;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_ENGINESTREAM_H
