//===- EventSplitter.h - Whole events out of a stream -----------*- C++ -*-===//
///
/// \file
/// Cuts an event stream at the ends of its events, so that it can go on from
/// another server.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_EVENTSPLITTER_H
#define DOTTEREL_SERVING_EVENTSPLITTER_H

#include <string>
#include <string_view>

namespace dotterel {

/// Holds back what follows the last whole event.
class EventSplitter {
public:
  /// Takes data and returns the whole events that are complete now.
  auto feed(std::string_view Data) -> std::string;

  /// What follows the last whole event.
  [[nodiscard]] auto rest() const -> const std::string & { return m_Rest; }

  /// Forgets an event that was cut.
  auto dropRest() -> void { m_Rest.clear(); }

  /// The id of the last whole event; empty when there was none.
  [[nodiscard]] auto lastId() const -> const std::string & { return m_LastId; }

private:
  auto noteIds(std::string_view Events) -> void;

  std::string m_Rest;
  std::string m_LastId;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_EVENTSPLITTER_H
