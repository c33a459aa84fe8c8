#include "dotterel/serving/EventSplitter.h"

#include <algorithm>
#include <utility>

namespace dotterel {

auto EventSplitter::extendLine(std::string_view Text) -> void {
  if (Text.empty() || m_Line == LineKind::Comment || m_Line == LineKind::Field)
    return;
  if (m_Line == LineKind::CarriageReturn)
    m_Line = LineKind::Field;
  else if (Text == "\r")
    m_Line = LineKind::CarriageReturn;
  else
    m_Line = Text.front() == ':' ? LineKind::Comment : LineKind::Field;
}

auto EventSplitter::scan(std::string_view Data) -> std::size_t {
  auto EventEnd = std::size_t{0};
  auto Begin = std::size_t{0};
  while (Begin < Data.size()) {
    auto End = std::min(Data.find('\n', Begin), Data.size());
    extendLine(Data.substr(Begin, End - Begin));
    if (End == Data.size())
      break;
    Begin = End + 1;
    auto Blank =
        m_Line == LineKind::Empty || m_Line == LineKind::CarriageReturn;
    if (Blank) {
      m_InsideEvent = false;
      EventEnd = Begin;
    } else if (m_Line == LineKind::Field) {
      m_InsideEvent = true;
    }
    m_Line = LineKind::Empty;
  }
  m_IncompleteBytes =
      Data.size() - EventEnd + (EventEnd == 0 ? m_IncompleteBytes : 0);
  return EventEnd;
}

auto EventSplitter::feed(std::string_view Data) -> std::string {
  auto End = scan(Data);
  if (End == 0) {
    m_Incomplete.append(Data);
    return {};
  }
  auto Events = std::move(m_Incomplete);
  Events.append(Data.substr(0, End));
  m_Incomplete = Data.substr(End);
  recordLastId(Events);
  return Events;
}

auto EventSplitter::discardIncompleteEvent() -> void {
  m_Incomplete.clear();
  m_IncompleteBytes = 0;
  m_Line = LineKind::Empty;
  m_InsideEvent = false;
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
