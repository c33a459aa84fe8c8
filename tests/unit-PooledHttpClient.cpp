#include "support/ByteServer.h"

#include <doctest/doctest.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

const auto ChunkedHead =
    std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");

} // namespace

TEST_CASE("pooled client: closes a connection on which endless bytes arrive "
          "that belong to no body") {
  struct Endless {
    std::string m_Name;
    std::string m_Begin;
    std::string m_Block;
  };
  const auto Cases = std::vector<Endless>{
      {"line feeds", "", "\r\n"},
      {"status line", "HTTP/1.1 200 ", "x"},
      {"one header", "HTTP/1.1 200 OK\r\nA: ", "x"},
      {"header name", "HTTP/1.1 200 OK\r\n", "x"},
      {"many headers", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"interim responses with headers", "",
       "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"},
      {"empty responses to another call", "",
       "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n"},
      {"chunk extension", ChunkedHead + "1;a=", "x"},
      {"chunk extensions", ChunkedHead,
       "1;a=" + std::string(KibiByte, 'x') + "\r\ny\r\n"},
      {"chunk length", ChunkedHead, "0"},
      {"trailers", ChunkedHead + "0\r\n", "A: b\r\n"}};
  for (const auto &Case : Cases) {
    CAPTURE(Case.m_Name);
    auto Test = Exchange({.m_Begin = Case.m_Begin, .m_Block = Case.m_Block});
    auto Result = Test.call({.m_Timeout = Seconds(30)});
    CHECK(Result.m_Outcome == HttpOutcome::Broken);
    Test.run([&] { return Test.m_Server.open() == 0; });
    CHECK(Test.m_Server.sentBytes() < SocketBufferBytes);
  }
}

TEST_CASE("pooled client: closes a connection on which an endless body "
          "arrives, of the call or of another one") {
  struct Endless {
    std::string m_Name;
    std::string m_Begin;
    std::string m_Block;
  };
  const auto Cases = std::vector<Endless>{
      {"no length", "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n", "x"},
      {"chunks", ChunkedHead, "2\r\nxy\r\n"},
      {"another call's, no length", "HTTP/1.1 200 OK\r\nX-Id: 6\r\n\r\n", "x"},
      {"other calls' responses", "",
       "HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 1000\r\n\r\n" +
           std::string(1000, 'x')}};
  for (const auto &Case : Cases)
    for (auto Streamed : {false, true}) {
      CAPTURE(Case.m_Name);
      CAPTURE(Streamed);
      auto Test = Exchange({.m_Begin = Case.m_Begin, .m_Block = Case.m_Block});
      auto Call =
          HttpCall{.m_Timeout = Seconds(30), .m_MaxResponseBytes = MebiByte};
      auto Delivered = std::size_t{0};
      if (Streamed)
        Call.m_OnData = [&Delivered](std::string_view Data) {
          Delivered += Data.size();
        };
      auto Result = Test.call(std::move(Call));
      CHECK(Result.m_Outcome == HttpOutcome::Broken);
      CHECK(Delivered + Result.m_Body.size() <= MebiByte);
      Test.run([&] { return Test.m_Server.open() == 0; });
      CHECK(Test.m_Server.sentBytes() < 4 * MebiByte + SocketBufferBytes);
    }
}

TEST_CASE("pooled client: endless bodies of several calls are bounded together "
          "and do not break a small response") {
  constexpr auto Calls = std::size_t{4};
  auto Test = Exchange(
      {.m_Begin = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n", .m_Block = "x"},
      {.m_MaxBufferedBytes = MebiByte});
  auto Small = ByteServer(
      Test.m_Loop,
      {.m_Begin = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 20\r\n\r\n",
       .m_Block = "x",
       .m_Pause = Milliseconds(5)});
  auto SmallResult =
      Test.start({.m_Url = Small.url(), .m_Timeout = Seconds(30)});
  auto Results = std::vector<std::shared_ptr<std::optional<HttpCallResult>>>();
  for (auto Index = std::size_t{0}; Index < Calls; ++Index)
    Results.push_back(Test.start({.m_Timeout = Seconds(30)}));
  auto Received = std::size_t{0};
  for (const auto &Result : Results) {
    Test.run([&] { return Result->has_value(); });
    CHECK((*Result)->m_Outcome == HttpOutcome::Broken);
    Received += (*Result)->m_Body.size();
  }
  CHECK(Received <= Calls * MebiByte);
  Test.run([&] { return SmallResult->has_value(); });
  CHECK((*SmallResult)->m_Outcome == HttpOutcome::Complete);
  Test.run([&] { return Test.m_Server.open() == 0; });
  CHECK(Test.m_Server.sentBytes() < Calls * SocketBufferBytes);
  // The buffers of the calls that ended are free again.
  Test.m_Server.setScript({.m_Begin = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n" +
                                      std::string(MebiByte, 'x')});
  for (auto Index = 0; Index < 2; ++Index)
    CHECK(Test.call({}).m_Outcome == HttpOutcome::Complete);
}

TEST_CASE("pooled client: the client's limit applies to a buffered body, and "
          "not to a streamed one") {
  for (auto Streamed : {false, true}) {
    CAPTURE(Streamed);
    auto Test = Exchange({.m_Begin = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n" +
                                     std::string(2 * MebiByte, 'x')},
                         {.m_MaxResponseBytes = MebiByte});
    auto Call = HttpCall();
    if (Streamed)
      Call.m_OnData = [](std::string_view) {};
    CHECK(Test.call(std::move(Call)).m_Outcome ==
          (Streamed ? HttpOutcome::Complete : HttpOutcome::Broken));
  }
}

TEST_CASE("pooled client: a response that trickles in ends at the call's "
          "timeout") {
  for (const auto *Begin :
       {"HTTP/1.1 200 OK\r\nA: ", "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n"}) {
    CAPTURE(std::string(Begin));
    auto Test = Exchange(
        {.m_Begin = Begin, .m_Block = "x", .m_Pause = Milliseconds(5)});
    auto Result = Test.call({.m_Timeout = Milliseconds(200)});
    CHECK(Result.m_Outcome == HttpOutcome::TimedOut);
    Test.run([&] { return Test.m_Server.open() == 0; });
  }
}

TEST_CASE("pooled client: closes an idle connection on which bytes arrive") {
  auto Test = Exchange(
      {.m_Begin = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 1\r\n\r\na",
       .m_KeepOpen = true});
  CHECK(Test.call({}).m_Outcome == HttpOutcome::Complete);
  CHECK(Test.m_Server.open() == 1);
  Test.m_Server.sendToAll(std::string(100, 'x'));
  Test.run([&] { return Test.m_Server.open() == 0; });
}

TEST_CASE("pooled client: a response without a length is complete when its "
          "connection is closed, and never when it is reset") {
  const auto Response = std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nabc");
  for (auto Reset : {false, true}) {
    CAPTURE(Reset);
    auto Test = Exchange({.m_Begin = Response, .m_Reset = Reset});
    auto Result = Test.call({});
    CHECK(Result.m_Outcome ==
          (Reset ? HttpOutcome::Broken : HttpOutcome::Complete));
    if (!Reset)
      CHECK(Result.m_Body == "abc");
  }
}
