#include "support/ByteServer.h"
#include "support/EarlyServer.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <string>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

const auto NoLengthHead = std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\n");
const auto LengthHead =
    std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 100000\r\n\r\n");
const auto ChunkedHead = std::string(
    "HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n\r\n");
const auto CompleteResponse =
    std::string("HTTP/1.1 200 OK\r\nX-Id: 6\r\nContent-Length: 2\r\n\r\nok");

/// A client, and a server that responds before it has read the request.
struct Upload {
  EventLoop m_Loop;
  EarlyServer m_Server{m_Loop, {}};
  std::unique_ptr<HttpClient> m_Client;

  struct WithCurl {};
  Upload() : m_Client(makePooledHttpClient(m_Loop, {})) {}
  explicit Upload(WithCurl) : m_Client(makeHttpClient(m_Loop)) {}

  auto call(HttpCall Call, const std::string &Id = "7") -> HttpCallResult {
    auto Slot = std::optional<HttpCallResult>();
    Call.m_Url = "http://" + m_Server.address() + "/";
    Call.m_EchoedHeader = {.m_Name = "X-Id", .m_Value = Id};
    Call.m_OnDone = [&](HttpCallResult Result) {
      Slot = std::move(Result);
      m_Loop.stop();
    };
    m_Client->start(std::move(Call));
    constexpr auto EventTimeout = Seconds(20);
    auto Guard = m_Loop.schedule(EventTimeout, [this] { m_Loop.stop(); });
    m_Loop.run();
    m_Loop.cancel(Guard);
    REQUIRE(Slot);
    return *Slot;
  }

  auto post(std::size_t Bytes, std::string *Streamed = nullptr)
      -> HttpCallResult {
    auto Call = HttpCall{.m_Method = "POST", .m_Body = std::string(Bytes, 'u')};
    if (Streamed != nullptr)
      Call.m_OnData = [Streamed](std::string_view Data) { *Streamed += Data; };
    return call(std::move(Call));
  }

  /// Lets the next call use a connection that has carried another one.
  auto useConnection() -> void {
    m_Server.setScript(
        {.m_Response = [](const std::string &) { return CompleteResponse; }});
    REQUIRE(call({.m_Method = "POST", .m_Body = "x"}, "6").m_Outcome ==
            HttpOutcome::Complete);
  }
};

auto respondWith(std::string Bytes)
    -> std::function<std::string(const std::string &)> {
  return [Bytes = std::move(Bytes)](const std::string &) { return Bytes; };
}

struct EarlyReset {
  std::string m_Head;
  std::size_t m_UploadBytes;
  std::size_t m_PartBytes; ///< Of the response's body.
  Duration m_Pause;
};

/// Returns responses that are reset during uploads, by framing, sizes and the
/// moment of the reset.
auto earlyResets() -> std::vector<EarlyReset> {
  auto Result = std::vector<EarlyReset>();
  for (const auto &Head : {NoLengthHead, LengthHead, ChunkedHead})
    for (auto UploadBytes :
         {std::size_t{0}, 10 * KibiByte, MebiByte, 8 * MebiByte})
      for (auto PartBytes : {std::size_t{0}, std::size_t{1}, 40 * KibiByte})
        for (auto Pause : {Duration::zero(), Duration(Milliseconds(5))})
          Result.push_back({Head, UploadBytes, PartBytes, Pause});
  return Result;
}

auto responseOf(const EarlyReset &Case) -> std::string {
  auto Part = std::string(Case.m_PartBytes, 'p');
  if (Case.m_Head == ChunkedHead && !Part.empty())
    return Case.m_Head + fmt::format("{:x}\r\n{}\r\n", Part.size(), Part);
  return Case.m_Head + Part;
}

} // namespace

// Guards against a partial response that passes for a complete one: the failed
// write of the upload took the socket's error, after which the end of the
// connection looked orderly.
TEST_CASE("pooled client: a response that is reset during an upload is broken, "
          "whatever its framing") {
  for (const auto &Case : earlyResets())
    for (auto Kept : {false, true})
      for (auto Streamed : {false, true}) {
        CAPTURE(Case.m_Head);
        CAPTURE(Case.m_UploadBytes);
        CAPTURE(Case.m_PartBytes);
        CAPTURE(toMilliseconds(Case.m_Pause));
        CAPTURE(Kept);
        CAPTURE(Streamed);
        auto Test = Upload();
        if (Kept)
          Test.useConnection();
        Test.m_Server.setScript({.m_Response = respondWith(responseOf(Case)),
                                 .m_ReadBytes = 0,
                                 .m_End = ConnectionEnd::Reset,
                                 .m_Pause = Case.m_Pause});
        auto Pieces = std::string();
        auto Result =
            Test.post(Case.m_UploadBytes, Streamed ? &Pieces : nullptr);
        CHECK(Result.m_Outcome == HttpOutcome::Broken);
        CHECK(Result.m_Reused == Kept);
      }
}

TEST_CASE("curl client: a response that is reset during an upload is broken, "
          "whatever its framing") {
  for (const auto &Case : earlyResets())
    for (auto Kept : {false, true}) {
      CAPTURE(Case.m_Head);
      CAPTURE(Case.m_UploadBytes);
      CAPTURE(Case.m_PartBytes);
      CAPTURE(toMilliseconds(Case.m_Pause));
      CAPTURE(Kept);
      auto Test = Upload(Upload::WithCurl());
      if (Kept)
        Test.useConnection();
      Test.m_Server.setScript({.m_Response = respondWith(responseOf(Case)),
                               .m_ReadBytes = 0,
                               .m_End = ConnectionEnd::Reset,
                               .m_Pause = Case.m_Pause});
      CHECK(Test.post(Case.m_UploadBytes).m_Outcome == HttpOutcome::Broken);
    }
}

TEST_CASE("pooled client: a response without a length whose server ends its "
          "connection in order during an upload is complete") {
  for (auto End : {ConnectionEnd::HalfClose, ConnectionEnd::HalfCloseAndReset})
    for (auto UploadBytes : {std::size_t{0}, 10 * KibiByte, 8 * MebiByte})
      for (auto PartBytes : {std::size_t{0}, std::size_t{3}, 40 * KibiByte}) {
        CAPTURE(static_cast<int>(End));
        CAPTURE(UploadBytes);
        CAPTURE(PartBytes);
        auto Test = Upload();
        auto Body = std::string(PartBytes, 'p');
        Test.m_Server.setScript({.m_Response = respondWith(NoLengthHead + Body),
                                 .m_ReadBytes = 0,
                                 .m_End = End});
        auto Result = Test.post(UploadBytes);
        CHECK(Result.m_Outcome == HttpOutcome::Complete);
        CHECK(Result.m_Body == Body);
      }
}

TEST_CASE("pooled client: a refusal of an upload with its length is complete, "
          "whatever becomes of its connection") {
  const auto Refusal =
      std::string("HTTP/1.1 413 No\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nbig");
  for (auto End : {ConnectionEnd::KeepOpen, ConnectionEnd::HalfClose,
                   ConnectionEnd::HalfCloseAndReset, ConnectionEnd::Reset})
    for (auto UploadBytes : {std::size_t{0}, 10 * KibiByte, 8 * MebiByte})
      for (auto Kept : {false, true}) {
        CAPTURE(static_cast<int>(End));
        CAPTURE(UploadBytes);
        CAPTURE(Kept);
        auto Test = Upload();
        if (Kept)
          Test.useConnection();
        Test.m_Server.setScript({.m_Response = respondWith(Refusal),
                                 .m_ReadBytes = 0,
                                 .m_End = End});
        auto Result = Test.post(UploadBytes);
        CHECK(Result.m_Outcome == HttpOutcome::Complete);
        CHECK(Result.m_Status == 413);
        CHECK(Result.m_Body == "big");
      }
}
