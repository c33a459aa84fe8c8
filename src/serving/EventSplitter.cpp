#include "dotterel/serving/EventSplitter.h"

#include <algorithm>

namespace dotterel {

namespace {

/// End of the last whole event in \p Text, or 0. Lines may end with a line feed
/// alone or behind a carriage return.
auto lastEventEnd(std::string_view Text) -> std::size_t {
  auto Plain = Text.rfind("\n\n");
  auto Paired = Text.rfind("\n\r\n");
  auto End = std::size_t{0};
  if (Plain != std::string_view::npos)
    End = Plain + 2;
  if (Paired != std::string_view::npos)
    End = std::max(End, Paired + 3);
  return End;
}

} // namespace

auto EventSplitter::feed(std::string_view Data) -> std::string {
  m_Rest.append(Data);
  auto End = lastEventEnd(m_Rest);
  auto Events = m_Rest.substr(0, End);
  m_Rest.erase(0, End);
  noteIds(Events);
  return Events;
}

auto EventSplitter::noteIds(std::string_view Events) -> void {
  constexpr auto Field = std::string_view("id:");
  while (!Events.empty()) {
    auto End = std::min(Events.find('\n'), Events.size());
    auto Line = Events.substr(0, End);
    Events.remove_prefix(std::min(End + 1, Events.size()));
    if (!Line.starts_with(Field))
      continue;
    Line.remove_prefix(Field.size());
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    while (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    m_LastId = Line;
  }
}

} // namespace dotterel
