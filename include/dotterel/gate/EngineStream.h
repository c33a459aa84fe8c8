//===- EngineStream.h - An engine's streamed response -----------*- C++ -*-===//
///
/// \file
/// Parses an engine's server-sent events and checks their attempt and order.
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

/// One event of an engine's response: a token, the end, or the usage.
struct EngineEvent {
  std::string m_Text;
  std::string m_FinishReason; ///< Set only in the event that ends the text.
  bool m_HasUsage = false;
  std::uint64_t m_PromptTokens = 0;
};

/// Parses the stream of one attempt.
///
/// \invariant Only events with the attempt's id are passed on, each one once,
/// in order of position and without gaps.
class EngineStream {
public:
  /// Creates a parser that expects the first token at \p Position.
  EngineStream(AttemptId Attempt, CompletionShape Shape, std::uint64_t Position)
      : m_Attempt(std::move(Attempt)), m_Shape(Shape), m_Position(Position) {}

  /// Parses the next bytes of the stream and calls \p OnEvent for each event.
  /// \throws ProtocolError 301 when the stream violates the protocol: an event
  /// with another attempt's id, a position out of order, an event that is not
  /// valid JSON, an event after the end marker, or a line that is too long.
  auto feed(std::string_view Data,
            const std::function<void(const EngineEvent &)> &OnEvent) -> void;

  /// Returns the number of tokens so far, counted over the complete response.
  [[nodiscard]] auto position() const -> std::uint64_t { return m_Position; }

  /// Returns whether both a finish reason and the end marker were received.
  [[nodiscard]] auto isComplete() const -> bool {
    return m_EndMarkerSeen && m_FinishReasonSeen;
  }

private:
  auto readLine(std::string_view Line,
                const std::function<void(const EngineEvent &)> &OnEvent)
      -> void;

  AttemptId m_Attempt;
  CompletionShape m_Shape;
  std::uint64_t m_Position;
  std::string m_PartialLine; ///< Received start of an incomplete line.
  bool m_FinishReasonSeen = false;
  bool m_EndMarkerSeen = false;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_ENGINESTREAM_H
