//===- EventSplitter.h - Splits a stream into complete events ---*- C++ -*-===//
///
/// \file
/// Splits an event stream at event boundaries, so that another server can
/// resume it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_EVENTSPLITTER_H
#define DOTTEREL_SERVING_EVENTSPLITTER_H

#include <string>
#include <string_view>

namespace dotterel {

/// Buffers the data that follows the last complete event.
class EventSplitter {
public:
  /// Appends \p Data and returns the events that are complete now.
  auto feed(std::string_view Data) -> std::string;

  /// Returns the data that follows the last complete event.
  [[nodiscard]] auto incompleteEvent() const -> const std::string & {
    return m_Incomplete;
  }

  /// Discards an incomplete event.
  auto discardIncompleteEvent() -> void { m_Incomplete.clear(); }

  /// Returns the id of the last complete event, or an empty string if there is
  /// none.
  [[nodiscard]] auto lastId() const -> const std::string & { return m_LastId; }

private:
  auto recordLastId(std::string_view Events) -> void;

  std::string m_Incomplete;
  std::string m_LastId;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_EVENTSPLITTER_H
