#include "dotterel/io/detail/ResponseReader.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace dotterel;
using detail::ResponseReader;
using State = ResponseReader::State;

namespace {

constexpr auto MaxBodyBytes = std::size_t{200'000};

struct ReceivedResponse {
  unsigned m_Status = 0;
  int m_HeaderCalls = 0;
  std::string m_Body;
};

auto makeReader(ReceivedResponse &Target) -> std::unique_ptr<ResponseReader> {
  return std::make_unique<ResponseReader>(
      detail::ResponseReaderOptions{
          .m_EchoedHeader = {.m_Name = "X-Id", .m_Value = "7"},
          .m_MaxBodyBytes = MaxBodyBytes},
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
    CHECK(Reader->namesCall());
    CHECK(Reader->skippedResponses() == 1);
  }
}

TEST_CASE("response reader: says whether a response names its call") {
  auto Target = ReceivedResponse();
  auto Reader = makeReader(Target);
  CHECK(Reader->feed("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") ==
        State::Complete);
  CHECK_FALSE(Reader->namesCall());
  CHECK(Reader->skippedResponses() == 0);
}

// Guards against the late response to a call without an id that passes for the
// response to this one.
TEST_CASE("response reader: a response that names no call is rejected where an "
          "echo is required, for every split of the bytes") {
  const auto Unnamed = std::string("HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\n"
                                   "Content-Length: 0\r\n\r\n");
  auto Calls = 0;
  for (auto ChunkBytes = std::size_t{1}; ChunkBytes <= Unnamed.size();
       ++ChunkBytes) {
    auto Reader = ResponseReader(
        {.m_EchoedHeader = {.m_Name = "X-Id", .m_Value = "7"},
         .m_RequireEcho = true},
        {.m_OnHeaders = [&Calls](unsigned, const HttpHeaders &) { ++Calls; }});
    for (auto Position = std::size_t{0}; Position < Unnamed.size();
         Position += ChunkBytes)
      Reader.feed(std::string_view(Unnamed).substr(Position, ChunkBytes));
    CHECK(Reader.feed("") == State::Broken);
    CHECK(Reader.rejectedUnnamed());
  }
  CHECK(Calls == 0);
  auto Named =
      ResponseReader({.m_EchoedHeader = {.m_Name = "X-Id", .m_Value = "7"},
                      .m_RequireEcho = true},
                     {});
  CHECK(Named.feed("HTTP/1.1 100 Continue\r\n\r\n" + OwnResponse) ==
        State::Complete);
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

TEST_CASE("response reader: takes a bounded number of bytes of an endless "
          "response") {
  struct Endless {
    std::string m_Begin;
    std::string m_Block;
    std::size_t m_MaxBytes;
  };
  const auto Chunked =
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const auto NoLength = std::string("HTTP/1.1 200 OK\r\n\r\n");
  // The parser's limit of one head.
  constexpr auto MaxHead = std::size_t{HTTP_MAX_HEADER_SIZE};
  constexpr auto MaxOverhead = ResponseReader::MaxOverheadBytes;
  constexpr auto MaxChunked =
      MaxOverhead + MaxBodyBytes * (1 + ResponseReader::MaxOverheadPerBodyByte);
  const auto Cases = std::vector<Endless>{
      {"", "\r\n", MaxHead},
      {"HTTP/1.1 200 ", "x", MaxHead},
      {"HTTP/1.1 200 OK\r\nA: ", "x", MaxHead},
      {"HTTP/1.1 200 OK\r\n", "x", MaxHead},
      {"HTTP/1.1 200 OK\r\n", "A: b\r\n", MaxHead},
      {"HTTP/1.1 200 OK\r\n", "A:\r\n", MaxHead},
      {"", "HTTP/1.1 100 Continue\r\n\r\n", MaxOverhead},
      {"", "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n",
       MaxOverhead},
      {"", OtherResponse, MaxOverhead + MaxBodyBytes},
      {"HTTP/1.1 200 OK\r\nX-Id: 6\r\n\r\n", "x", MaxHead + MaxBodyBytes},
      {NoLength, "x", MaxHead + MaxBodyBytes},
      {Chunked, "1\r\nx\r\n", MaxChunked},
      {Chunked, "1;abcdefghijklmnopqrstuvwxyz\r\nx\r\n", MaxChunked},
      {Chunked + "1;", "a", MaxHead},
      {Chunked + "0\r\n", "A: b\r\n", MaxHead}};
  for (auto PieceBytes : {std::size_t{1}, std::size_t{1000}})
    for (const auto &Case : Cases) {
      CAPTURE(Case.m_Begin);
      CAPTURE(Case.m_Block);
      CAPTURE(PieceBytes);
      // Pieces of the endless repetition of the block.
      auto Repeated = std::string();
      while (Repeated.size() < PieceBytes + Case.m_Block.size())
        Repeated += Case.m_Block;
      auto Target = ReceivedResponse();
      auto Reader = makeReader(Target);
      auto Fed = std::size_t{0};
      auto Result = Reader->feed(Case.m_Begin);
      while (Result == State::Reading && Fed <= 2 * MaxChunked) {
        Result = Reader->feed(std::string_view(Repeated).substr(
            Fed % Case.m_Block.size(), PieceBytes));
        Fed += PieceBytes;
      }
      CHECK(Result == State::Broken);
      CHECK(Reader->overLimit());
      CHECK(Fed <= Case.m_MaxBytes + PieceBytes);
      CHECK(Target.m_Body.size() <= MaxBodyBytes);
    }
}

TEST_CASE("response reader: a response of many small chunks is within the "
          "limits") {
  auto Target = ReceivedResponse();
  auto Reader = makeReader(Target);
  Reader->feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (auto Index = std::size_t{0}; Index < MaxBodyBytes; ++Index)
    REQUIRE(Reader->feed("1\r\nx\r\n") == State::Reading);
  CHECK(Reader->feed("0\r\n\r\n") == State::Complete);
  CHECK(Target.m_Body.size() == MaxBodyBytes);
  CHECK_FALSE(Reader->overLimit());
}
