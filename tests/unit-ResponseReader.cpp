#include "dotterel/io/detail/ResponseReader.h"

#include <doctest/doctest.h>
#include <memory>

using namespace dotterel;
using detail::AnswerReader;
using State = AnswerReader::State;

namespace {

struct Seen {
  unsigned m_Status = 0;
  int m_Heads = 0;
  std::string m_Body;
};

auto makeReader(Seen &Target) -> std::unique_ptr<AnswerReader> {
  return std::make_unique<AnswerReader>(
      false, HttpHeader{.m_Name = "X-Id", .m_Value = "7"},
      AnswerReader::Events{
          .m_OnHeaders =
              [&Target](unsigned Status, const HttpHeaders &) {
                Target.m_Status = Status;
                ++Target.m_Heads;
              },
          .m_OnData =
              [&Target](std::string_view Data) { Target.m_Body += Data; }});
}

const auto Own = std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
                             "Content-Length: 3\r\n\r\nabc");
const auto Foreign = std::string("HTTP/1.1 500 No\r\nX-Id: 6\r\n"
                                 "Content-Length: 2\r\n\r\nzz");

} // namespace

TEST_CASE("answer reader: a whole answer keeps its connection") {
  auto Target = Seen();
  auto Reader = makeReader(Target);
  CHECK(Reader->feed(Own) == State::Complete);
  CHECK(Target.m_Body == "abc");
  CHECK(Reader->reusable());
}

TEST_CASE("answer reader: bytes behind an answer belong to nobody") {
  auto Target = Seen();
  auto Reader = makeReader(Target);
  CHECK(Reader->feed(Own + "extra") == State::Complete);
  CHECK(Target.m_Body == "abc");
  CHECK_FALSE(Reader->reusable());
}

TEST_CASE("answer reader: a late answer to an earlier call is skipped, however "
          "it is cut") {
  auto Bytes = Foreign + "HTTP/1.1 100 Continue\r\n\r\n" + Own;
  for (auto Size = std::size_t{1}; Size <= Bytes.size(); ++Size) {
    CAPTURE(Size);
    auto Target = Seen();
    auto Reader = makeReader(Target);
    for (auto At = std::size_t{0}; At < Bytes.size(); At += Size)
      Reader->feed(std::string_view(Bytes).substr(At, Size));
    CHECK(Reader->feed("") == State::Complete);
    CHECK(Target.m_Status == 200);
    CHECK(Target.m_Heads == 1);
    CHECK(Target.m_Body == "abc");
    CHECK_FALSE(Reader->reusable());
  }
}

TEST_CASE("answer reader: an answer without a length ends with a connection "
          "that ends in good order") {
  auto Head = std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nab");
  for (auto InGoodOrder : {true, false}) {
    auto Target = Seen();
    auto Reader = makeReader(Target);
    CHECK(Reader->feed(Head) == State::Reading);
    CHECK(Reader->end(InGoodOrder) ==
          (InGoodOrder ? State::Complete : State::Broken));
    CHECK_FALSE(Reader->reusable());
  }
}

TEST_CASE("answer reader: a cut answer is broken") {
  for (auto Size = std::size_t{0}; Size < Own.size(); ++Size) {
    CAPTURE(Size);
    auto Target = Seen();
    auto Reader = makeReader(Target);
    Reader->feed(std::string_view(Own).substr(0, Size));
    CHECK(Reader->end(true) == State::Broken);
  }
}

TEST_CASE("answer reader: bytes that are no answer are broken") {
  auto Target = Seen();
  auto Reader = makeReader(Target);
  CHECK(Reader->feed("garbage garbage\r\n\r\n") == State::Broken);
  CHECK(Target.m_Heads == 0);
}
