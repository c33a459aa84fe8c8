//===- EventSplitter.h - Splits a stream into complete events ---*- C++ -*-===//
///
/// \file
/// Finds the event boundaries of an event stream, so that another server can
/// resume it and a truncated event is detected.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_EVENTSPLITTER_H
#define DOTTEREL_SERVING_EVENTSPLITTER_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace dotterel {

/// Follows the events of a stream. Lines end with a line feed, optionally
/// preceded by a carriage return; a blank line ends an event. The data of one
/// stream is passed either to feed() or to track(). Complexity of both: linear
/// in the size of the data.
class EventSplitter {
public:
  /// Appends \p Data and returns the events that are complete now. The data
  /// that follows the last complete event is buffered.
  auto feed(std::string_view Data) -> std::string;

  /// Follows the events without buffering \p Data.
  auto track(std::string_view Data) -> void { scan(Data); }

  /// Returns whether the stream is inside an event or a line. Complete comment
  /// lines belong to no event.
  [[nodiscard]] auto insideEvent() const -> bool {
    return m_InsideEvent || m_Line != LineKind::Empty;
  }

  /// Returns the number of bytes that follow the last complete event.
  [[nodiscard]] auto incompleteBytes() const -> std::size_t {
    return m_IncompleteBytes;
  }

  /// Returns the buffered data that follows the last complete event.
  [[nodiscard]] auto incompleteEvent() const -> const std::string & {
    return m_Incomplete;
  }

  /// Discards an incomplete event.
  auto discardIncompleteEvent() -> void;

  /// Returns the id of the last complete event that was passed to feed(), or an
  /// empty string if there is none.
  [[nodiscard]] auto lastId() const -> const std::string & { return m_LastId; }

private:
  /// What the current line consists of so far.
  enum class LineKind : std::uint8_t { Empty, CarriageReturn, Comment, Field };

  /// Returns the end of the last event that ends in \p Data, or 0.
  auto scan(std::string_view Data) -> std::size_t;
  auto extendLine(std::string_view Text) -> void;
  auto recordLastId(std::string_view Events) -> void;

  std::string m_Incomplete;
  std::string m_LastId;
  std::size_t m_IncompleteBytes = 0;
  LineKind m_Line = LineKind::Empty;
  /// Whether a field line has been completed since the last blank line.
  bool m_InsideEvent = false;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_EVENTSPLITTER_H
