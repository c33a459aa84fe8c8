#include "dotterel/io/detail/RequestReader.h"

#include <doctest/doctest.h>

using namespace dotterel;
using detail::RequestReader;
using State = RequestReader::State;

namespace {

struct MalformedCase {
  std::string m_Name;
  std::string m_Bytes;
  unsigned m_Status;
};

const auto Line = std::string("POST /a/b HTTP/1.1\r\n");
const auto Host = std::string("Host: h\r\n");

/// Messages that a proxy and a server could interpret differently (request
/// smuggling), and messages that exceed the limits.
const auto Malformed = std::vector<MalformedCase>{
    {"length and chunks together",
     Line + Host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
     400},
    {"two lengths that differ",
     Line + Host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n", 400},
    {"two equal lengths",
     Line + Host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n", 400},
    {"a signed length", Line + Host + "Content-Length: +3\r\n\r\nabc", 400},
    {"a list of lengths", Line + Host + "Content-Length: 3, 3\r\n\r\nabc", 400},
    {"no host", Line + "\r\n", 400},
    {"two hosts", Line + Host + Host + "\r\n", 400},
    {"a folded header", Line + Host + "X-A: b\r\n c\r\n\r\n", 400},
    {"a bare line feed in the headers", Line + Host + "X-A: b\nX-B: c\r\n\r\n",
     400},
    {"bare line feeds alone", "POST / HTTP/1.1\nHost: h\n\n", 400},
    {"a bare carriage return", Line + Host + "X-A: b\rc\r\n\r\n", 400},
    {"a zero byte", Line + Host + std::string("X-A: b\0c\r\n\r\n", 12), 400},
    {"a space before the colon", Line + Host + "X-A : b\r\n\r\n", 400},
    {"an unknown transfer coding",
     Line + Host + "Transfer-Encoding: gzip\r\n\r\n", 501},
    {"chunked twice",
     Line + Host + "Transfer-Encoding: chunked, chunked\r\n\r\n", 501},
    {"a chunk size that is no number",
     Line + Host + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400},
    {"a chunk with a bare line feed",
     Line + Host + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
     400},
    {"another version", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 505},
    {"a target that is no path", "GET http://x/ HTTP/1.1\r\nHost: h\r\n\r\n",
     400},
    {"headers over the limit",
     Line + Host + "X-A: " + std::string(600, 'a') + "\r\n\r\n", 431},
    {"a stated body over the limit",
     Line + Host + "Content-Length: 101\r\n\r\n", 413},
    {"chunks over the limit",
     Line + Host + "Transfer-Encoding: chunked\r\n\r\n65\r\n" +
         std::string(101, 'a') + "\r\n0\r\n\r\n",
     413},
};

auto limits() -> CallerLimits {
  return {.m_MaxHeaderBytes = 500, .m_MaxBodyBytes = 100};
}

} // namespace

TEST_CASE(
    "request reader: malformed messages are rejected and bytes that follow "
    "them are not parsed") {
  for (const auto &Case : Malformed) {
    CAPTURE(Case.m_Name);
    auto Reader = RequestReader(limits());
    auto BytesWithSecondRequest =
        Case.m_Bytes + "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
    CHECK(Reader.feed(BytesWithSecondRequest) == State::Rejected);
    CHECK(Reader.rejection().m_Status == Case.m_Status);
    CHECK(Reader.feed("GET / HTTP/1.1\r\nHost: h\r\n\r\n") == State::Rejected);
  }
}

TEST_CASE("request reader: malformed messages are rejected when fed byte by "
          "byte") {
  for (const auto &Case : Malformed) {
    CAPTURE(Case.m_Name);
    auto Reader = RequestReader(limits());
    for (auto Byte : Case.m_Bytes)
      Reader.feed(std::string_view(&Byte, 1));
    CHECK(Reader.state() == State::Rejected);
    CHECK(Reader.rejection().m_Status == Case.m_Status);
  }
}

TEST_CASE("request reader: pipelined requests are returned in order, for every "
          "split of the bytes") {
  auto Bytes = Line + Host + "Content-Length: 3\r\n\r\nabc" + Line + Host +
               "Transfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n" +
               "GET /c?x=1&y= HTTP/1.1\r\n" + Host + "\r\n";
  for (auto ChunkBytes = std::size_t{1}; ChunkBytes <= Bytes.size();
       ++ChunkBytes) {
    CAPTURE(ChunkBytes);
    auto Reader = RequestReader(limits());
    auto Bodies = std::vector<std::string>();
    auto CollectCompleted = [&](State Current) {
      while (Current == State::Complete) {
        Bodies.push_back(Reader.request().m_Target + ":" +
                         Reader.request().m_Body.text());
        Current = Reader.next();
      }
    };
    for (auto Position = std::size_t{0}; Position < Bytes.size();
         Position += ChunkBytes)
      CollectCompleted(
          Reader.feed(std::string_view(Bytes).substr(Position, ChunkBytes)));
    CHECK(Bodies ==
          std::vector<std::string>{"/a/b:abc", "/a/b:de", "/c?x=1&y=:"});
  }
}

TEST_CASE("request reader: trailers do not become headers, and an upgrade is "
          "an ordinary request") {
  auto Reader = RequestReader(limits());
  CHECK(Reader.feed(Line + Host +
                    "Transfer-Encoding: chunked\r\nConnection: upgrade\r\n"
                    "Upgrade: x\r\n\r\n1\r\na\r\n0\r\nX-Late: 1\r\n\r\n") ==
        State::Complete);
  CHECK(Reader.request().m_Body == "a");
  CHECK_FALSE(findHeader(Reader.request().m_Headers, "X-Late"));
}
