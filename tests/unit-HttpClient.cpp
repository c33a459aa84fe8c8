#include "support/ByteServer.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

TEST_CASE("curl client: closes a connection on which endless bytes arrive") {
  struct Endless {
    std::string m_Name;
    std::string m_Begin;
    std::string m_Block;
  };
  const auto ChunkedHead =
      std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  const auto Cases = std::vector<Endless>{
      {"line feeds", "", "\r\n"},
      {"status line", "HTTP/1.1 200 ", "x"},
      {"one header", "HTTP/1.1 200 OK\r\nA: ", "x"},
      {"many headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"interim responses with headers", "",
       "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
      {"trailers", ChunkedHead + "0\r\n", "A: b\r\n"},
      {"body without length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
      {"chunks", ChunkedHead, "2\r\nxy\r\n"}};
  for (const auto &Case : Cases) {
    CAPTURE(Case.m_Name);
    auto Test = Exchange({.m_Begin = Case.m_Begin, .m_Block = Case.m_Block},
                         Exchange::WithCurl());
    auto Result =
        Test.call({.m_Timeout = Seconds(30), .m_MaxResponseBytes = MebiByte});
    CHECK(Result.m_Outcome == HttpOutcome::Broken);
    CHECK(Result.m_Body.size() <= MebiByte);
    Test.run([&] { return Test.m_Server.open() == 0; });
    CHECK(Test.m_Server.sentBytes() < 4 * MebiByte + SocketBufferBytes);
  }
}

TEST_CASE("curl client: a response without a length is complete when its "
          "connection is closed, and never when it is reset") {
  for (auto Reset : {false, true}) {
    CAPTURE(Reset);
    auto Test =
        Exchange({.m_Begin = "HTTP/1.1 200 OK\r\n\r\nabc", .m_Reset = Reset},
                 Exchange::WithCurl());
    CHECK(Test.call({}).m_Outcome ==
          (Reset ? HttpOutcome::Broken : HttpOutcome::Complete));
  }
}
