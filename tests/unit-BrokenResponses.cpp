#include "dotterel/base/Log.h"
#include "dotterel/io/detail/ResponseReader.h"
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

TEST_CASE("clients: a response without a length whose server ends its "
          "connection in order during an upload is complete") {
  for (auto End : {ConnectionEnd::HalfClose, ConnectionEnd::HalfCloseAndReset})
    for (auto UploadBytes : {std::size_t{0}, 10 * KibiByte, 8 * MebiByte})
      for (auto PartBytes : {std::size_t{0}, std::size_t{3}, 40 * KibiByte}) {
        CAPTURE(static_cast<int>(End));
        CAPTURE(UploadBytes);
        CAPTURE(PartBytes);
        for (auto Curl : {false, true}) {
          CAPTURE(Curl);
          auto Test = Curl ? std::make_unique<Upload>(Upload::WithCurl())
                           : std::make_unique<Upload>();
          auto Body = std::string(PartBytes, 'p');
          Test->m_Server.setScript(
              {.m_Response = respondWith(NoLengthHead + Body),
               .m_ReadBytes = 0,
               .m_End = End});
          auto Result = Test->post(UploadBytes);
          CHECK(Result.m_Outcome == HttpOutcome::Complete);
          CHECK(Result.m_Body == Body);
        }
      }
}

TEST_CASE("clients: a refusal of an upload with its length is complete, "
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
        for (auto Curl : {false, true}) {
          CAPTURE(Curl);
          auto Test = Curl ? std::make_unique<Upload>(Upload::WithCurl())
                           : std::make_unique<Upload>();
          if (Kept)
            Test->useConnection();
          Test->m_Server.setScript({.m_Response = respondWith(Refusal),
                                    .m_ReadBytes = 0,
                                    .m_End = End});
          auto Result = Test->post(UploadBytes);
          CHECK(Result.m_Outcome == HttpOutcome::Complete);
          CHECK(Result.m_Status == 413);
          CHECK(Result.m_Body == "big");
        }
      }
}

namespace {

/// Reads a response with the reader alone, in pieces of \p PieceBytes, and an
/// orderly end of its connection. \returns the last state.
auto readAlone(const std::string &Bytes, std::size_t PieceBytes,
               bool *HeadersSeen = nullptr) -> detail::ResponseReader::State {
  auto Reader = detail::ResponseReader(
      {.m_EchoedHeader = {.m_Name = "X-Id", .m_Value = "7"}},
      {.m_OnHeaders = [HeadersSeen](unsigned, const HttpHeaders &) {
        if (HeadersSeen != nullptr)
          *HeadersSeen = true;
      }});
  for (auto Position = std::size_t{0}; Position < Bytes.size();
       Position += PieceBytes)
    Reader.feed(std::string_view(Bytes).substr(Position, PieceBytes));
  return Reader.end(true);
}

/// Calls \p Check with each client's result for a response after which the
/// server ends the connection in order, and with the client's name.
auto forEachClient(const std::string &Bytes,
                   const std::function<void(const std::string &,
                                            const HttpCallResult &)> &Check)
    -> void {
  for (auto Curl : {false, true}) {
    auto Test = Curl ? std::make_unique<Upload>(Upload::WithCurl())
                     : std::make_unique<Upload>();
    Test->m_Server.setScript(
        {.m_Response = respondWith(Bytes), .m_End = ConnectionEnd::HalfClose});
    Check(Curl ? "curl" : "pooled", Test->post(3));
  }
}

auto checkBroken(const std::string &Bytes) -> void {
  CAPTURE(Bytes);
  for (auto PieceBytes : {std::size_t{1}, std::size_t{7}, Bytes.size()}) {
    CAPTURE(PieceBytes);
    CHECK(readAlone(Bytes, PieceBytes) ==
          detail::ResponseReader::State::Broken);
  }
  forEachClient(Bytes,
                [](const std::string &Client, const HttpCallResult &Result) {
                  CAPTURE(Client);
                  CHECK(Result.m_Outcome == HttpOutcome::Broken);
                });
}

auto checkComplete(const std::string &Bytes, unsigned Status,
                   const std::string &Body) -> void {
  CAPTURE(Bytes);
  for (auto PieceBytes : {std::size_t{1}, std::size_t{7}, Bytes.size()}) {
    CAPTURE(PieceBytes);
    CHECK(readAlone(Bytes, PieceBytes) ==
          detail::ResponseReader::State::Complete);
  }
  forEachClient(Bytes,
                [&](const std::string &Client, const HttpCallResult &Result) {
                  CAPTURE(Client);
                  CHECK(Result.m_Outcome == HttpOutcome::Complete);
                  CHECK(Result.m_Status == Status);
                  CHECK(Result.m_Body == Body);
                });
}

const auto OwnBody = std::string("X-Id: 7\r\nContent-Length: 2\r\n\r\nok");
const auto OwnUntilClose = std::string("X-Id: 7\r\n\r\nok");

} // namespace

// Guards against a response whose status is no status of HTTP: 000 passed for
// an interim one, and for a complete one at the end of its connection.
TEST_CASE("response reader, clients: a response with a status outside 100 to "
          "599, or not of three digits, is broken") {
  for (const auto *Status :
       {"000",  "001",  "099",   "600",  "700",   "999", "1000",
        "2000", "0200", "00200", "20",   "2",     "0",   "-200",
        "+200", "2x0",  "20x",   "200x", "0x200", "abc", ""})
    for (const auto &Rest : {OwnBody, OwnUntilClose})
      for (const auto *Reason : {" OK\r\n", "\r\n"})
        checkBroken("HTTP/1.1 " + std::string(Status) + Reason + Rest);
  checkBroken("HTTP/1.1 000 -\r\n\r\n");
  checkBroken("HTTP/1.1 000 -\r\n\r\nHTTP/1.1 200 OK\r\n" + OwnBody);
  checkBroken("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 -\r\n" + OwnBody);
  // Of another call, which is skipped otherwise.
  CHECK(readAlone("HTTP/1.1 000 -\r\nX-Id: 6\r\nContent-Length: 0\r\n\r\n"
                  "HTTP/1.1 200 OK\r\n" +
                      OwnBody,
                  1) == detail::ResponseReader::State::Broken);
}

// Guards against bytes that are no HTTP.
TEST_CASE("response reader, clients: a response that does not begin with the "
          "version is broken") {
  const auto Version = std::string("HTTP/1.1");
  for (auto Position = std::size_t{0}; Position < Version.size(); ++Position)
    for (auto Value = 0; Value < 256; ++Value) {
      auto Byte = static_cast<char>(Value);
      auto Digit = Byte >= '0' && Byte <= '9';
      auto LeadingLine = Position == 0 && (Byte == '\r' || Byte == '\n');
      if (Byte == Version[Position] || LeadingLine ||
          (Digit && (Position == 5 || Position == 7)))
        continue;
      auto Broken = Version;
      Broken[Position] = Byte;
      checkBroken(fmt::format("{} 200 OK\r\n{}", Broken, OwnBody));
    }
  for (const auto *Begin : {"ICY", "HTTP", "HTTP/1", "HTTP/1.", "HTTP/1.10",
                            "HTTP/11", "HTTP/1.1x", "XHTTP/1.1", "HTTP/1.1\t"})
    checkBroken(std::string(Begin) + " 200 OK\r\n" + OwnBody);
}

// Guards against a body where HTTP has none: its bytes would be read as the
// next response. A length there is that of another response.
TEST_CASE("clients: a response with the status 204 or 304 has no body") {
  for (auto Status : {204U, 304U})
    for (const auto *Framing :
         {"", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n"})
      for (const auto *Body : {"", "ok"})
        for (auto Curl : {false, true})
          for (auto End : {ConnectionEnd::HalfClose, ConnectionEnd::KeepOpen}) {
            CAPTURE(Status);
            CAPTURE(std::string(Framing));
            CAPTURE(std::string(Body));
            CAPTURE(Curl);
            auto Test = Curl ? std::make_unique<Upload>(Upload::WithCurl())
                             : std::make_unique<Upload>();
            Test->m_Server.setScript(
                {.m_Response = respondWith(
                     fmt::format("HTTP/1.1 {} -\r\nX-Id: 7\r\n{}\r\n{}", Status,
                                 Framing, Body)),
                 .m_End = End});
            auto Result = Test->call({.m_Method = "POST",
                                      .m_Body = std::string("abc"),
                                      .m_Timeout = Seconds(2)});
            CHECK(Result.m_Outcome == HttpOutcome::Complete);
            CHECK(Result.m_Status == Status);
            CHECK(Result.m_Body.empty());
          }
}

TEST_CASE("response reader, clients: a response with any other status is "
          "complete") {
  for (auto Status = 200U; Status < 600; ++Status) {
    auto NoBody = Status == 204 || Status == 304;
    checkComplete(
        fmt::format("HTTP/1.1 {}{}\r\n{}", Status,
                    Status % 3 == 0 ? " Some reason" : " ",
                    NoBody ? std::string("X-Id: 7\r\n\r\n") : OwnBody),
        Status, NoBody ? "" : "ok");
  }
  for (const auto *Interim :
       {"100 Continue", "102 Processing", "103 Early Hints", "110 -", "199 -"})
    checkComplete(fmt::format("HTTP/1.1 {}\r\nLink: a\r\n\r\n"
                              "HTTP/1.1 200 OK\r\n{}",
                              Interim, OwnBody),
                  200, "ok");
}

namespace {

/// Returns the bytes that no header name may hold, but the colon, which ends
/// it.
auto bytesOfNoName() -> std::string {
  constexpr auto Separators = std::string_view("\"(),/;<=>?@[\\]{} \t");
  auto Result = std::string();
  for (auto Value = 0; Value < 256; ++Value) {
    auto Byte = static_cast<char>(Value);
    if (Value < 0x20 || Value >= 0x7f ||
        Separators.find(Byte) != std::string_view::npos)
      Result += Byte;
  }
  return Result;
}

} // namespace

// Guards against a response with a line that is no header: it was passed on, or
// stated a length that one reader believed and another one did not.
TEST_CASE("response reader, clients: a response with a byte in a header name "
          "that no name may hold is broken") {
  const auto Head = std::string("HTTP/1.1 200 OK\r\nX-Id: 7\r\n");
  for (auto Byte : bytesOfNoName())
    for (const auto *Name :
         {"X-Other", "Content-Length", "Transfer-Encoding", "Connection"}) {
      auto Text = std::string(Name);
      auto Value = Text == "Content-Length"      ? " 2"
                   : Text == "Transfer-Encoding" ? " chunked"
                   : Text == "Connection"        ? " close"
                                                 : " a";
      auto Body = Text == "Content-Length" ? "\r\n\r\nok"
                  : Text == "Transfer-Encoding"
                      ? "\r\n\r\n2\r\nok\r\n0\r\n\r\n"
                      : "\r\nContent-Length: 2\r\n\r\nok";
      for (auto Position : {std::size_t{1}, Text.size() / 2, Text.size()}) {
        auto Broken = Text;
        Broken.insert(Position, 1, Byte);
        checkBroken(fmt::format("{}{}:{}{}", Head, Broken, Value, Body));
      }
      // At the begin of a line a line break ends the head or is part of it.
      if (Byte != '\r' && Byte != '\n') {
        checkBroken(fmt::format("{}{}{}:{}{}", Head, Byte, Text, Value, Body));
        checkBroken(fmt::format("HTTP/1.1 200 OK\r\n{}{}:{}\r\nX-Id: 7{}", Byte,
                                Text, Value, Body));
      }
    }
  for (const auto *Line :
       {": a", "X-Other", " : a", "HTTP/1.1: a", "HTTP/1.1 200 OK"})
    checkBroken(fmt::format("{}{}\r\nContent-Length: 2\r\n\r\nok", Head, Line));
}

TEST_CASE(
    "response reader, clients: a response with a broken header name in an "
    "interim response or a trailer is broken") {
  const auto Chunked = "HTTP/1.1 200 OK\r\nX-Id: 7\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
  for (auto Byte : bytesOfNoName()) {
    if (Byte == '\r' || Byte == '\n')
      continue;
    auto Line = fmt::format("Li{}nk: a\r\n", Byte);
    checkBroken(
        fmt::format("HTTP/1.1 103 Early Hints\r\n{}\r\nHTTP/1.1 200 OK\r\n{}",
                    Line, OwnBody));
    checkBroken(Chunked + Line + "\r\n");
  }
  checkComplete(std::string(Chunked) + "Checksum: a\r\n\r\n", 200, "ok");
}

// Guards against lines of a head that became the body: a carriage return alone
// ended the status line for one reader.
TEST_CASE(
    "response reader, clients: a response with a carriage return alone in "
    "its head, or a control byte in a value, is broken") {
  checkBroken("HTTP/1.1 200 O\rK\r\n" + OwnUntilClose);
  checkBroken("HTTP/1.1 200\rX\r\n" + OwnUntilClose);
  checkBroken("HTTP/1.1 200 OK\r\r\n" + OwnUntilClose);
  checkBroken("HTTP/1.1 200 OK\r\nX-Id: 7\r\n\rX\r\n" + OwnUntilClose);
  for (auto Value = 0; Value < 256; ++Value) {
    auto Byte = static_cast<char>(Value);
    if ((Value >= 0x20 && Value != 0x7f) || Byte == '\t' || Byte == '\n')
      continue;
    for (const auto *Name : {"X-Other", "Content-Type", "Content-Length"})
      checkBroken("HTTP/1.1 200 OK\r\n" + std::string(Name) + ": 2" +
                  std::string(1, Byte) + "a\r\n" + OwnBody);
  }
}

// Guards against a body that lacks what follows a chunk's stated size.
TEST_CASE("response reader, clients: a response with broken chunks is broken") {
  for (const auto *Chunks :
       {"2\r\nokXX0\r\n\r\n", "2\r\nok\rX0\r\n\r\n", "2\r\nokX\n0\r\n\r\n",
        "2\rXok\r\n0\r\n\r\n", "2;a\rXok\r\n0\r\n\r\n", "2\r\nok\r\n0\rX\r\n",
        "2\r\nok\r\n0\r\n\rX", "2\r\nok!\r\n0\r\n\r\n", "2\r\nok\r\n",
        "2\r\nok\r\n0\r\n", "-2\r\nok\r\n0\r\n\r\n", "x\r\nok\r\n0\r\n\r\n",
        "\r\n2\r\nok\r\n0\r\n\r\n", "2\r\nok\r\n\r\n0\r\n\r\n",
        "2\r\nok\r\n0\r\nA b: c\r\n\r\n", "2\r\nok\r\n0\r\nA: b\rc\r\n\r\n"})
    checkBroken("HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n"
                "\r\n" +
                std::string(Chunks));
}

TEST_CASE("response reader, clients: a response with unusual chunks is "
          "complete") {
  for (const auto *Chunks :
       {"2\r\nok\r\n0\r\n\r\n", "1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
        "0002\r\nok\r\n000\r\n\r\n", "2;a=b;c=\"d\"\r\nok\r\n0;e\r\n\r\n",
        "2\r\nok\r\n0\r\nA: b\r\nC:\r\n\r\n"})
    checkComplete("HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: chunked\r\n"
                  "\r\n" +
                      std::string(Chunks),
                  200, "ok");
  constexpr auto Bytes = std::size_t{0xabc};
  checkComplete("HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: "
                "Chunked\r\n\r\naBC\r\n" +
                    std::string(Bytes, '\n') + "\r\n0\r\n\r\n",
                200, std::string(Bytes, '\n'));
}

// Guards against a body that is not the server's, because its coding was not
// undone.
TEST_CASE(
    "response reader, clients: a response with an unknown transfer coding "
    "is broken") {
  for (const auto *Coding :
       {"gzip", "gzip, chunked", "chunked, gzip", "xchunked", "chunkedx",
        "\"chunked\"", "chunked;a=b", "x\r\nTransfer-Encoding: chunked"})
    checkBroken("HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding: " +
                std::string(Coding) + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  for (const auto *Coding : {"chunked", "CHUNKED", " chunked "})
    checkComplete("HTTP/1.1 200 OK\r\nX-Id: 7\r\nTransfer-Encoding:" +
                      std::string(Coding) + "\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                  200, "ok");
}

// Guards against a body of another length than the server's.
TEST_CASE("response reader, clients: a response whose length is no number, or "
          "that states several, is broken") {
  for (const auto *Length :
       {"+2", "-2", "2x", "0x2", "x", "2 3", "2,3", "2;a", "2.0", "",
        "99999999999999999999999", "18446744073709551615",
        "2\r\nContent-Length: 3", "3\r\nContent-Length: 2",
        "2\r\nContent-Length: x"})
    checkBroken("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: " +
                std::string(Length) + "\r\n\r\nok");
  for (const auto *Length : {"2", " 2", "\t2 ", "002"})
    checkComplete("HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length:" +
                      std::string(Length) + "\r\n\r\nok",
                  200, "ok");
}

TEST_CASE("response reader, clients: a response with unusual names and values "
          "is complete") {
  for (const auto *Line :
       {"!#$%&'*+-.^_`|~09azAZ: a", "x: ", "x:", "X-Other:\t a\t", "x:a:b",
        "X-Other: \x80\xff\xc3\xa4", "X-Other: \"quoted, \\\" text\"",
        "X-Other: a\tb", "content-type:text/plain", "X: HTTP/1.1 200 OK"})
    checkComplete("HTTP/1.1 200 OK\r\n" + std::string(Line) + "\r\n" + OwnBody,
                  200, "ok");
  // Names that resemble those that frame the body.
  for (const auto *Name :
       {"Content-Lengths", "Content_Length", "X-Content-Length",
        "Transfer-Encodin", "Connections"})
    checkComplete("HTTP/1.1 200 OK\r\n" + std::string(Name) + ": 7\r\n" +
                      OwnBody,
                  200, "ok");
  for (const auto *Name : {"content-length", "CONTENT-LENGTH"})
    checkComplete("HTTP/1.1 200 OK\r\nX-Id: 7\r\n" + std::string(Name) +
                      ":2\r\n\r\nok",
                  200, "ok");
  checkComplete("HTTP/1.1 200 OK\nX-Id: 7\nContent-Length: 2\n\nok", 200, "ok");
}

TEST_CASE("clients: a broken response is counted, and a connection that ends "
          "without one is not") {
  struct Case {
    std::string m_Bytes;
    std::uint64_t m_Count;
  };
  for (const auto &Case : std::vector<Case>{
           {"", 0},
           {"HTTP/1.1 200 OK\r\n" + OwnBody, 0},
           {"HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 3\r\n\r\nok", 1},
           {"HTTP/1.1 200 OK\r\nX-I", 1},
           {"HTTP/1.1 000 -\r\n" + OwnBody, 1},
           {"HTTP/1.1 999 -\r\n" + OwnBody, 1},
           {"HTTP/1.1 200 OK\r\nX Y: a\r\n" + OwnBody, 1},
           {"garbage", 1}})
    for (auto Curl : {false, true}) {
      CAPTURE(Case.m_Bytes);
      CAPTURE(Curl);
      auto Test = Curl ? std::make_unique<Upload>(Upload::WithCurl())
                       : std::make_unique<Upload>();
      Test->m_Server.setScript({.m_Response = respondWith(Case.m_Bytes),
                                .m_End = ConnectionEnd::HalfClose});
      auto Lines = 0;
      setLogSink([&Lines](std::string_view Line) {
        if (Line.find("event=response.broken request=7 server=127.0.0.1:") !=
            std::string_view::npos)
          ++Lines;
      });
      Test->post(3);
      setLogSink(nullptr);
      CHECK(Test->m_Client->brokenResponses() == Case.m_Count);
      CHECK(Lines == static_cast<int>(Case.m_Count));
    }
}
