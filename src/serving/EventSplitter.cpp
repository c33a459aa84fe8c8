#include "dotterel/serving/EventSplitter.h"

#include <algorithm>

namespace dotterel {

namespace {

/// Returns the end of the last complete event in \p Text, or 0. Lines end with
/// a line feed, optionally preceded by a carriage return.
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
  m_Incomplete.append(Data);
  auto End = lastEventEnd(m_Incomplete);
  auto Events = m_Incomplete.substr(0, End);
  m_Incomplete.erase(0, End);
  recordLastId(Events);
  return Events;
}

auto EventSplitter::recordLastId(std::string_view Events) -> void {
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
