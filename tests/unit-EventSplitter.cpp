#include "dotterel/serving/EventSplitter.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dotterel;

TEST_CASE("event splitter: finds the same events for every split of the "
          "data, and tracks the same boundaries without buffering") {
  struct Example {
    std::string m_Text;
    std::size_t m_CompleteBytes;
    bool m_InsideEvent;
    std::string m_LastId;
  };
  const auto Examples = std::vector<Example>{
      {"", 0, false, ""},
      {"\n", 1, false, ""},
      {"data: a", 0, true, ""},
      {"data: a\n", 0, true, ""},
      {"id: 1\ndata: a\n\n", 15, false, "1"},
      {"id:1\r\ndata: a\r\n\r\n", 17, false, "1"},
      {"id: 1\ndata: a\r\n\nid: 2\r\n\r\n", 25, false, "2"},
      {"id: 1\n\nid: 2\ndata: b\n", 7, true, "1"},
      {"id: 1\r\n\r\nid: 2\r\n\r", 9, true, "1"},
      {"id: 1\n\n: comment\n", 7, false, "1"},
      {"id: 1\n\n: comm", 7, true, "1"},
      {": comment\n\n", 11, false, ""},
      // A comment inside an event, and one that follows a blank line.
      {"id: 1\n: comment\n", 0, true, ""},
      {"id: 1\n\n\n", 8, false, "1"},
      // A carriage return alone does not end a line.
      {"id: 1\n\rdata: a\n", 0, true, ""}};
  for (const auto &Case : Examples)
    for (auto PieceBytes = std::size_t{1}; PieceBytes <= Case.m_Text.size() + 1;
         ++PieceBytes) {
      CAPTURE(Case.m_Text);
      CAPTURE(PieceBytes);
      auto Fed = EventSplitter();
      auto Tracked = EventSplitter();
      auto Events = std::string();
      for (auto Begin = std::size_t{0}; Begin < Case.m_Text.size();
           Begin += PieceBytes) {
        auto Piece = std::string_view(Case.m_Text).substr(Begin, PieceBytes);
        Events += Fed.feed(Piece);
        Tracked.track(Piece);
      }
      CHECK(Events == Case.m_Text.substr(0, Case.m_CompleteBytes));
      CHECK(Fed.incompleteEvent() == Case.m_Text.substr(Case.m_CompleteBytes));
      CHECK(Fed.insideEvent() == Case.m_InsideEvent);
      CHECK(Fed.lastId() == Case.m_LastId);
      CHECK(Fed.incompleteBytes() == Fed.incompleteEvent().size());
      CHECK(Tracked.incompleteBytes() == Fed.incompleteBytes());
      CHECK(Tracked.insideEvent() == Case.m_InsideEvent);
      CHECK(Tracked.incompleteEvent().empty());
    }
}

TEST_CASE("event splitter: after the incomplete event is discarded, the data "
          "of another server begins a new line") {
  auto Events = EventSplitter();
  CHECK(Events.feed("id: 1\n\nid: 2\nda") == "id: 1\n\n");
  Events.discardIncompleteEvent();
  CHECK_FALSE(Events.insideEvent());
  CHECK(Events.feed(": comment\n") == "");
  CHECK_FALSE(Events.insideEvent());
  CHECK(Events.feed("id: 2\n\n") == ": comment\nid: 2\n\n");
  CHECK(Events.lastId() == "2");
}
