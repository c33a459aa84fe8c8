#include "dotterel/io/detail/ResponseReader.h"

#include <doctest/doctest.h>
#include <memory>

using namespace dotterel;
using detail::ResponseReader;
using State = ResponseReader::State;

namespace {

struct ReceivedResponse {
  unsigned m_Status = 0;
  int m_HeaderCalls = 0;
  std::string m_Body;
};

auto makeReader(ReceivedResponse &Target) -> std::unique_ptr<ResponseReader> {
  return std::make_unique<ResponseReader>(
      false, HttpHeader{.m_Name = "X-Id", .m_Value = "7"},
      ResponseReader::Callbacks{
          .m_OnHeaders =
              [&Target](unsigned Status, const HttpHeaders &) {
                Target.m_Status = Status;
                ++Target.m_HeaderCalls;
              },
          .m_OnData =
              [&Target](std::string_view Data) { Target.m_Body += Data; }});
}

const auto OwnResponse = std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
                                     "Content-Length: 3\r\n\r\nabc");
const auto OtherResponse = std::string("HTTP/1.1 500 No\r\nX-Id: 6\r\n"
                                       "Content-Length: 2\r\n\r\nzz");

} // namespace

TEST_CASE(
    "response reader: a connection is reusable after a complete response") {
  auto Target = ReceivedResponse();
  auto Reader = makeReader(Target);
  CHECK(Reader->feed(OwnResponse) == State::Complete);
  CHECK(Target.m_Body == "abc");
  CHECK(Reader->reusable());
}

TEST_CASE("response reader: a connection is not reusable when bytes follow the "
          "response") {
  auto Target = ReceivedResponse();
  auto Reader = makeReader(Target);
  CHECK(Reader->feed(OwnResponse + "extra") == State::Complete);
  CHECK(Target.m_Body == "abc");
  CHECK_FALSE(Reader->reusable());
}

TEST_CASE("response reader: a late response to an earlier call is skipped, for "
          "every split of the bytes") {
  auto Bytes = OtherResponse + "HTTP/1.1 100 Continue\r\n\r\n" + OwnResponse;
  for (auto ChunkBytes = std::size_t{1}; ChunkBytes <= Bytes.size();
       ++ChunkBytes) {
    CAPTURE(ChunkBytes);
    auto Target = ReceivedResponse();
    auto Reader = makeReader(Target);
    for (auto Position = std::size_t{0}; Position < Bytes.size();
         Position += ChunkBytes)
      Reader->feed(std::string_view(Bytes).substr(Position, ChunkBytes));
    CHECK(Reader->feed("") == State::Complete);
    CHECK(Target.m_Status == 200);
    CHECK(Target.m_HeaderCalls == 1);
    CHECK(Target.m_Body == "abc");
    CHECK_FALSE(Reader->reusable());
  }
}

TEST_CASE("response reader: a response without a length is complete when the "
          "connection is closed cleanly, and broken otherwise") {
  auto Head = std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nab");
  for (auto ClosedCleanly : {true, false}) {
    auto Target = ReceivedResponse();
    auto Reader = makeReader(Target);
    CHECK(Reader->feed(Head) == State::Reading);
    CHECK(Reader->end(ClosedCleanly) ==
          (ClosedCleanly ? State::Complete : State::Broken));
    CHECK_FALSE(Reader->reusable());
  }
}

TEST_CASE("response reader: a truncated response is broken") {
  for (auto PrefixBytes = std::size_t{0}; PrefixBytes < OwnResponse.size();
       ++PrefixBytes) {
    CAPTURE(PrefixBytes);
    auto Target = ReceivedResponse();
    auto Reader = makeReader(Target);
    Reader->feed(std::string_view(OwnResponse).substr(0, PrefixBytes));
    CHECK(Reader->end(true) == State::Broken);
  }
}

TEST_CASE("response reader: bytes that are not an HTTP response are broken") {
  auto Target = ReceivedResponse();
  auto Reader = makeReader(Target);
  CHECK(Reader->feed("garbage garbage\r\n\r\n") == State::Broken);
  CHECK(Target.m_HeaderCalls == 0);
}
