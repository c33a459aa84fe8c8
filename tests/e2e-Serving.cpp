#include "support/Cluster.h"

#include "dotterel/io/SocketAddress.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// Returns the text that the fake engine generates for a number of tokens.
auto expectedText(int Tokens) -> std::string {
  auto Text = std::string();
  for (auto Number = 0; Number < Tokens; ++Number)
    Text += "t" + std::to_string(Number) + " ";
  return Text;
}

auto contentOf(const Reply &Response) -> std::string {
  auto Body = Response.json();
  if (!Body.is_object() || !Body.contains("choices"))
    return "no response: " + Response.m_Body;
  return Body.at("choices").at(0).at("message").at("content");
}

/// Joins the tokens of a streamed response; empty if its end marker is missing.
auto streamedText(const std::string &Body) -> std::string {
  auto Text = std::string();
  auto Start = std::size_t{0};
  while ((Start = Body.find("data: ", Start)) != std::string::npos) {
    Start += 6;
    auto Line = Body.substr(Start, Body.find('\n', Start) - Start);
    if (Line == "[DONE]")
      return Text;
    auto Event = Json::parse(Line, nullptr, false);
    if (Event.is_object() && Event.contains("choices") &&
        !Event.at("choices").empty())
      Text += Event["choices"][0]["delta"].value("content", "");
  }
  return {};
}

/// A blocking connection of a caller to a gate.
class KeptConnection {
public:
  explicit KeptConnection(const std::string &Url)
      : m_Fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    auto Raw =
        SocketAddress::parse(Url.substr(std::string("http://").size())).raw();
    REQUIRE(::connect(m_Fd, reinterpret_cast<const sockaddr *>(&Raw),
                      sizeof Raw) == 0);
    auto Limit = timeval{.tv_sec = 30, .tv_usec = 0};
    ::setsockopt(m_Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  }
  KeptConnection(const KeptConnection &) = delete;
  auto operator=(const KeptConnection &) -> KeptConnection & = delete;
  ~KeptConnection() { ::close(m_Fd); }

  auto send(const Call &Request) const -> void {
    auto Text =
        std::string("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n");
    for (const auto &Header : Request.m_Headers)
      Text += Header.m_Name + ": " + Header.m_Value + "\r\n";
    Text += "Content-Length: " + std::to_string(Request.m_Body.size()) +
            "\r\n\r\n" + Request.m_Body;
    // The gate may have closed the connection.
    static_cast<void>(::send(m_Fd, Text.data(), Text.size(), MSG_NOSIGNAL));
  }
  /// Reads until \p End has arrived, or the connection ends.
  auto receive(const std::string &End) const -> std::string {
    auto Text = std::string();
    auto Buffer = std::array<char, 1024>{};
    while (Text.find(End) == std::string::npos) {
      auto Count = ::recv(m_Fd, Buffer.data(), Buffer.size(), 0);
      if (Count <= 0)
        break;
      Text.append(Buffer.data(), static_cast<std::size_t>(Count));
    }
    return Text;
  }

private:
  int m_Fd;
};

/// Sends bytes on a new connection and waits until the peer closes it, at most
/// 30 s; \returns the response, or "still open" after the timeout.
auto sendRaw(const std::string &Url, const std::string &Bytes) -> std::string {
  auto Address =
      SocketAddress::parse(Url.substr(std::string("http://").size()));
  auto Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  auto Raw = Address.raw();
  REQUIRE(::connect(Fd, reinterpret_cast<const sockaddr *>(&Raw), sizeof Raw) ==
          0);
  REQUIRE(::send(Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
          static_cast<ssize_t>(Bytes.size()));
  auto Limit = timeval{.tv_sec = 30, .tv_usec = 0};
  ::setsockopt(Fd, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  auto Response = std::string();
  auto Buffer = std::array<char, 1024>{};
  auto Count = ssize_t{0};
  while ((Count = ::recv(Fd, Buffer.data(), Buffer.size(), 0)) > 0)
    Response.append(Buffer.data(), static_cast<std::size_t>(Count));
  ::close(Fd);
  return Count == 0 || errno == ECONNRESET ? Response : "still open";
}

} // namespace

TEST_CASE(
    "e2e: connections with slow or malformed requests are closed, and the "
    "gate continues to serve") {
  auto Test = Cluster({.m_Gates = 1,
                       .m_Runners = 1,
                       .m_Services = 0,
                       .m_GateFlags = {"--idle-timeout-seconds=1"}});
  auto Key = Test.grantKey("ghent");
  const auto Start =
      std::string("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n");
  const auto Cases = std::vector<std::string>{
      Start + "Content-Le",
      Start + "Content-Length: 100\r\n\r\n{\"model\":",
      "GARBAGE\r\n\r\n",
      "GET / HTTP/9.9\r\n\r\n",
      "GET /healthz HTTP/1.1\r\nHost: a\r\nBad Header\r\n\r\n",
  };
  for (const auto &Bytes : Cases) {
    CAPTURE(Bytes);
    auto Response = sendRaw(Test.m_GateUrls[0], Bytes);
    CHECK(Response != "still open");
    CHECK(Response.find("\"choices\"") == std::string::npos);
    CHECK(Test.call(Test.chatCall(0, Key)).m_Status == 200);
  }
  CHECK(Test.seen(Test.m_RunnerUrls[0])["requests"].size() == 5);
}

// Guards against requests on kept connections that begin at a gate which is
// about to exit, and hold up its exit or are cut by it.
TEST_CASE("e2e: a gate that exits closes a kept connection after its response, "
          "and refuses the request that has arrived by then") {
  auto Test = Cluster(
      {.m_Gates = 1, .m_Runners = 1, .m_GateFlags = {"--drain-lag-ms=300"}});
  auto Key = Test.grantKey("ghent");
  auto Stream = Test.chatCall(0, Key, {{"max_tokens", 150}, {"stream", true}});
  auto Late = Test.chatCall(0, Key, {{"max_tokens", 5}});
  auto Kept = KeptConnection(Test.m_GateUrls[0]);
  auto WithNext = KeptConnection(Test.m_GateUrls[0]);
  const auto StreamEnd = std::string("0\r\n\r\n");
  Kept.send(Stream);
  WithNext.send(Stream);
  Test.runLoopFor(Milliseconds(300));
  Test.m_Gates[0]->signal(SIGTERM);
  Test.runLoopFor(Milliseconds(600));
  WithNext.send(Late);
  CHECK(Kept.receive(StreamEnd).find("[DONE]") != std::string::npos);
  CHECK(Kept.receive("never").empty());
  // The refusal may arrive together with the end of the stream.
  auto Text = WithNext.receive(StreamEnd) + WithNext.receive("never");
  auto End = Text.find(StreamEnd);
  REQUIRE(End != std::string::npos);
  CHECK(Text.substr(0, End).find("[DONE]") != std::string::npos);
  auto Refused = Text.substr(End + StreamEnd.size());
  CHECK(Refused.find("HTTP/1.1 503") != std::string::npos);
  CHECK(Refused.find("shutting_down") != std::string::npos);
  CHECK(Refused.find("\r\nConnection: close\r\n") != std::string::npos);
  CHECK(Test.m_Gates[0]->wait() == 0);
  CHECK(Test.seen(Test.m_RunnerUrls[0])["requests"].size() == 2);
}

TEST_CASE("e2e: a gate sends nothing to a server that has said that it leaves, "
          "and nothing during a pause that a server has stated") {
  auto Test = Cluster({.m_Gates = 1, .m_Runners = 2, .m_Services = 2});
  auto Key = Test.grantKey("ghent");
  Test.setRoute("lookup", {{"open", true}, {"idempotent", true}});
  auto Lookup = [&] {
    return Test.call({.m_Url = Test.m_GateUrls[0] + "/lookup/x"});
  };
  auto Count = [&](const std::string &Url) {
    return Test.seen(Url)["requests"].size();
  };
  constexpr auto Requests = 6;
  Test.setFaults(Test.m_RunnerUrls[0], {{"leaving", true}});
  Test.setFaults(Test.m_ServiceUrls[0], {{"leaving", true}});
  // The first response, to a load query or to a request, tells the gate.
  for (auto Index = 0; Index < Requests; ++Index) {
    CHECK(Test.call(Test.chatCall(0, Key)).m_Status == 200);
    CHECK(Lookup().m_Status == 200);
  }
  CHECK(Count(Test.m_RunnerUrls[0]) <= 1);
  CHECK(Count(Test.m_ServiceUrls[0]) <= 1);
  CHECK(Count(Test.m_RunnerUrls[1]) >= Requests - 1);
  CHECK(Count(Test.m_ServiceUrls[1]) >= Requests - 1);

  auto Before = Count(Test.m_ServiceUrls[1]);
  Test.setFaults(Test.m_ServiceUrls[1], {{"pause", "60"}});
  CHECK(Lookup().m_Status == 503);
  auto Refused = Lookup();
  CHECK(Refused.error() == "queue_full/not_run");
  auto RetryAfter = Refused.json()["error"]["retry_after_seconds"].get<int>();
  CHECK(RetryAfter >= 55);
  CHECK(RetryAfter <= 92);
  for (auto Index = 0; Index < Requests; ++Index)
    CHECK(Lookup().m_Status == 429);
  Test.setFaults(Test.m_ServiceUrls[1], {{"pause", ""}});
  CHECK(Lookup().m_Status == 429);
  CHECK(Count(Test.m_ServiceUrls[1]) == Before);
}

TEST_CASE("e2e: complete and streamed completions, models, plain services, "
          "health and metrics are served") {
  auto Test = Cluster({});
  auto Key = Test.grantKey("ghent");
  CHECK(contentOf(Test.call(Test.chatCall(0, Key))) == expectedText(8));
  auto Streamed = Test.call(Test.chatCall(1, Key, {{"stream", true}}));
  CHECK(streamedText(Streamed.m_Body) == expectedText(8));
  auto Text = Test.chatCall(2, Key);
  Text.m_Url = Test.m_GateUrls[2] + "/v1/completions";
  Text.m_Body = R"({"model":"namer","max_tokens":3,"prompt":"x"})";
  CHECK(Test.call(Text).json().at("choices").at(0).at("text") ==
        expectedText(3));
  auto Models = Test.call(
      {.m_Url = Test.m_GateUrls[0] + "/v1/models",
       .m_Headers = {{.m_Name = "Authorization", .m_Value = "Bearer " + Key}}});
  CHECK(Models.json().at("data").at(0).at("id") == "namer");
  Test.setRoute("lookup", {{"open", true}, {"idempotent", true}});
  auto Lookup =
      Test.call({.m_Url = Test.m_GateUrls[0] + "/lookup/markers/7?q=a%20b"});
  CHECK(Lookup.json().at("path") == "/markers/7");
  CHECK(Test.seen(Test.m_ServiceUrls[0])["requests"][0]["query"]["q"] == "a b");
  CHECK(Test.call({.m_Url = Test.m_GateUrls[0] + "/healthz"}).m_Status == 200);
  auto Metrics = Test.call({.m_Url = Test.m_GateUrls[0] + "/metrics"}).m_Body;
  CHECK(Metrics.find("dotterel_answers_total{kind=\"completion\"} 1") !=
        std::string::npos);
  // The explanation of a decision lists the candidate engines and their
  // figures.
  auto Id = findHeader(Streamed.m_Headers, "x-request-id").value();
  auto Explanation =
      Test.get(Test.m_AdminUrls[1] + "/admin/v1/explain?request=" + Id);
  CHECK(Explanation.at("decisions")
            .at(0)
            .get<std::string>()
            .find("candidates=") != std::string::npos);
}

TEST_CASE(
    "e2e: invalid requests get a specific error with not_run, and the gate "
    "continues to serve") {
  auto Test = Cluster(
      {.m_Gates = 1, .m_Runners = 1, .m_GateFlags = {"--max-body-bytes=4096"}});
  auto Key = Test.grantKey("ghent");
  Test.setRoute("filings", {{"idempotent", false}});
  auto Bearer =
      HttpHeaders{{.m_Name = "Authorization", .m_Value = "Bearer " + Key}};
  auto With = [&](const char *Name, std::string Value) {
    auto Headers = Bearer;
    Headers.push_back({.m_Name = Name, .m_Value = std::move(Value)});
    return Headers;
  };
  struct Case {
    const char *m_Name;
    Call m_Call;
    const char *m_Error;
  };
  const auto Chat = std::string("/v1/chat/completions");
  const auto Good = Test.chatCall(0, Key).m_Body;
  auto Post = [&](const std::string &Path, const std::string &Body,
                  const HttpHeaders &Headers) {
    return Call{.m_Method = "POST",
                .m_Url = Test.m_GateUrls[0] + Path,
                .m_Body = Body,
                .m_Headers = Headers};
  };
  auto Cases = std::vector<Case>{
      {"no key", Post(Chat, Good, {}), "key_missing/not_run"},
      {"unknown key",
       Post(Chat, Good,
            {{.m_Name = "Authorization", .m_Value = "Bearer dp_nobody"}}),
       "key_unknown/not_run"},
      {"another scheme",
       Post(Chat, Good, {{.m_Name = "Authorization", .m_Value = "Basic eA=="}}),
       "key_missing/not_run"},
      {"not JSON", Post(Chat, "{\"model\":", Bearer),
       "malformed_request/not_run"},
      {"no object", Post(Chat, "[1]", Bearer), "malformed_request/not_run"},
      {"no model", Post(Chat, "{}", Bearer), "malformed_request/not_run"},
      {"no messages", Post(Chat, R"({"model":"namer"})", Bearer),
       "malformed_request/not_run"},
      {"messages of a wrong type",
       Post(Chat, R"({"model":"namer","messages":"x"})", Bearer),
       "malformed_request/not_run"},
      {"max_tokens of zero",
       Post(
           Chat,
           R"({"model":"namer","max_tokens":0,"messages":[{"role":"u","content":"x"}]})",
           Bearer),
       "malformed_request/not_run"},
      {"max_tokens below zero",
       Post(
           Chat,
           R"({"model":"namer","max_tokens":-5,"messages":[{"role":"u","content":"x"}]})",
           Bearer),
       "malformed_request/not_run"},
      {"stream of a wrong type",
       Post(
           Chat,
           R"({"model":"namer","stream":1,"messages":[{"role":"u","content":"x"}]})",
           Bearer),
       "malformed_request/not_run"},
      {"bad priority", Post(Chat, Good, With("x-priority", "urgent")),
       "malformed_request/not_run"},
      {"unknown model",
       Post(Chat,
            R"({"model":"other","messages":[{"role":"u","content":"x"}]})",
            Bearer),
       "unknown_model/not_run"},
      {"wrong method",
       {.m_Url = Test.m_GateUrls[0] + Chat, .m_Headers = Bearer},
       "method_not_allowed/not_run"},
      {"unknown route", Post("/nowhere", "", Bearer), "unknown_route/not_run"},
      {"root", {.m_Url = Test.m_GateUrls[0] + "/"}, "unknown_route/not_run"},
      {"body too large", Post(Chat, std::string(5000, 'x'), Bearer),
       "body_too_large/not_run"},
      {"no identity", Post("/filings/1", "{}", Bearer),
       "idempotency_key_missing/not_run"},
      {"identity without a time",
       Post("/filings/1", "{}",
            With("Idempotency-Key", "f47ac10b-58cc-4372-a567-0e02b2c3d479")),
       "idempotency_key_malformed/not_run"},
      {"identity from long ago",
       Post("/filings/1", "{}", With("Idempotency-Key", "1500000000-abcdefgh")),
       "idempotency_key_expired/not_run"},
      {"identity from the future",
       Post("/filings/1", "{}", With("Idempotency-Key", "9900000000-abcdefgh")),
       "idempotency_key_expired/not_run"},
      {"key in the body", Post("/filings/1", "{\"k\":\"" + Key + "\"}", Bearer),
       "key_in_request/not_run"},
      {"key in the path", Post("/filings/" + Key, "{}", Bearer),
       "key_in_request/not_run"},
      {"key in the query", Post("/filings/1?k=" + Key, "{}", Bearer),
       "key_in_request/not_run"},
  };
  for (const auto &Item : Cases) {
    CAPTURE(Item.m_Name);
    auto Response = Test.call(Item.m_Call);
    CHECK(Response.error() == Item.m_Error);
    CHECK(findHeader(Response.m_Headers, "x-request-id").has_value());
  }
  // A key whose characters are written as JSON escapes.
  auto Escaped = std::string();
  for (auto Character : Key) {
    constexpr auto Digits = "0123456789abcdef";
    auto Code = static_cast<unsigned char>(Character);
    Escaped += std::string("\\u00") + Digits[Code / 16] + Digits[Code % 16];
  }
  auto Hidden = Post(Chat,
                     R"({"model":"namer","messages":[{"role":"u","content":")" +
                         Escaped + "\"}]}",
                     Bearer);
  CHECK(Test.call(Hidden).error() == "key_in_request/not_run");
  CHECK(Test.seen(Test.m_ServiceUrls[0])["requests"].empty());
  CHECK(Test.seen(Test.m_RunnerUrls[0])["requests"].empty());
  CHECK(Test.call(Test.chatCall(0, Key)).m_Status == 200);
}

TEST_CASE(
    "e2e: if an engine's response has a wrong id, breaks off, repeats "
    "tokens or hangs, the caller gets a complete one from another engine") {
  auto Test =
      Cluster({.m_Gates = 1, .m_GateFlags = {"--stall-timeout-ms=500"}});
  auto Key = Test.grantKey("ghent");
  for (const auto *Fault :
       {"cross_answers", "break_streams", "duplicate_tokens", "hang_streams"}) {
    for (const auto &Url : Test.m_RunnerUrls)
      Test.setFaults(Url, {{Fault, 1}});
    CAPTURE(std::string(Fault));
    for (auto Round = 0; Round < 4; ++Round) {
      auto CompleteReply =
          Test.call(Test.chatCall(0, Key, {{"max_tokens", 20}}));
      CHECK(contentOf(CompleteReply) == expectedText(20));
      auto Streamed = Test.call(
          Test.chatCall(0, Key, {{"max_tokens", 20}, {"stream", true}}));
      CHECK(streamedText(Streamed.m_Body) == expectedText(20));
    }
    for (const auto &Url : Test.m_RunnerUrls)
      Test.setFaults(Url, {{Fault, 0}});
  }
}

// Guards against a response that is joined from tokens of engines of two
// software versions.
TEST_CASE(
    "e2e: a response goes on only at engines of the software version that "
    "began it") {
  auto Test = Cluster({.m_Gates = 1});
  auto Key = Test.grantKey("ghent");
  for (auto Index = std::size_t{0}; Index < Test.m_RunnerUrls.size(); ++Index)
    Test.m_ExtraBackendMembers[fmt::format("runner{}", Index)]["version"] =
        fmt::format("v{}", Index);
  Test.publishBackends();
  // The gate reads the list again within this time.
  Test.runLoopFor(Seconds(3));
  for (auto Stream : {false, true})
    for (auto Round = 0; Round < 4; ++Round) {
      for (const auto &Url : Test.m_RunnerUrls)
        Test.setFaults(Url, {{"break_streams", 1}});
      auto Response = Test.call(
          Test.chatCall(0, Key, {{"max_tokens", 20}, {"stream", Stream}}));
      CHECK((Stream ? streamedText(Response.m_Body) : contentOf(Response)) ==
            expectedText(20));
    }
  auto Resumed = 0;
  for (const auto &Url : Test.m_RunnerUrls) {
    auto Begun = std::set<std::string>();
    auto Seen = Test.seen(Url);
    for (const auto &Request : Seen["requests"]) {
      auto Attempt = Request["headers"]["x-request-id"].get<std::string>();
      auto Id = Attempt.substr(0, Attempt.find('.'));
      auto Body = Json::parse(Request["body"].get<std::string>());
      if (Body.contains("resume_position")) {
        CHECK(Begun.contains(Id));
        ++Resumed;
      }
      Begun.insert(Id);
    }
  }
  CHECK(Resumed > 0);
}

// Guards against refusals that promise "not run" for a request that an engine
// has taken: the refusal of another request stood where its response was due.
TEST_CASE("e2e: a refusal with another request's id does not prove that a "
          "request has not run") {
  auto Test = Cluster({.m_Gates = 1});
  auto Key = Test.grantKey("ghent");
  for (const auto &Url : Test.m_RunnerUrls)
    Test.setFaults(Url, {{"cross_refusals", 100}});
  for (auto Stream : {false, true}) {
    CAPTURE(Stream);
    auto Response = Test.call(Test.chatCall(0, Key, {{"stream", Stream}}));
    CHECK(Response.error() == "backend_failed/may_have_run");
  }
  for (const auto &Url : Test.m_RunnerUrls)
    Test.setFaults(Url, {{"cross_refusals", 0}});
  Test.waitFor("a complete response", [&] {
    return Test.call(Test.chatCall(0, Key)).m_Status == 200;
  });
}

TEST_CASE("e2e: when an engine crashes during a stream, another one continues "
          "the response where it stopped") {
  auto Test = Cluster({.m_Gates = 1});
  auto Key = Test.grantKey("ghent");
  auto PendingReply = Test.start(
      Test.chatCall(0, Key, {{"max_tokens", 200}, {"stream", true}}));
  auto UsedEngine = std::size_t{99};
  Test.waitFor("an engine to run the request", [&] {
    for (auto Index = std::size_t{0}; Index < 3; ++Index)
      if (!Test.seen(Test.m_RunnerUrls[Index])["requests"].empty())
        UsedEngine = Index;
    return UsedEngine < 3;
  });
  Test.runLoopFor(Milliseconds(300));
  Test.m_Runners[UsedEngine]->signal(SIGKILL);
  Test.waitFor("the response", [&] { return PendingReply->m_Status != 0; });
  CHECK(streamedText(PendingReply->m_Body) == expectedText(200));
}

TEST_CASE("e2e: when no engine is left a started stream ends with an explicit "
          "error and is not complete") {
  auto Test = Cluster({.m_Gates = 1, .m_Runners = 1});
  auto Key = Test.grantKey("ghent");
  Test.setFaults(Test.m_RunnerUrls[0], {{"stop_after_tokens", 5}});
  auto Call = Test.chatCall(0, Key, {{"max_tokens", 50}, {"stream", true}});
  Call.m_Headers.push_back({.m_Name = "x-priority", .m_Value = "interactive"});
  auto Response = Test.call(Call);
  CHECK(Response.m_Outcome != HttpOutcome::Complete);
  CHECK(streamedText(Response.m_Body).empty());
  CHECK(Response.m_Body.find("event: error") != std::string::npos);
  CHECK(Response.m_Body.find("\"execution\":\"ran\"") != std::string::npos);
}

TEST_CASE(
    "e2e: a request whose engine is unreachable waits for another and uses "
    "up none of its attempts") {
  // With the long poll interval the last load report stays valid, so that the
  // stopped engine is chosen.
  auto Test = Cluster(
      {.m_Gates = 1,
       .m_Runners = 1,
       .m_GateFlags = {"--load-poll-ms=10000", "--platform-poll-ms=500"}});
  auto Key = Test.grantKey("ghent");
  CHECK(Test.call(Test.chatCall(0, Key)).m_Status == 200);
  Test.m_Runners[0]->signal(SIGKILL);
  Test.m_Runners[0]->wait();
  auto PendingReply = Test.start(Test.chatCall(0, Key, {{"max_tokens", 20}}));
  Test.waitFor("the failed attempt", [&] {
    return Test.m_Gates[0]->log().find("event=attempt.failed") !=
           std::string::npos;
  });
  Test.startRunner(0);
  Test.publishBackends();
  Test.waitFor("the response", [&] { return PendingReply->m_Status != 0; });
  CHECK(contentOf(*PendingReply) == expectedText(20));
}

TEST_CASE(
    "e2e: when a caller disconnects, its request is cancelled at the engine") {
  auto Test = Cluster({.m_Gates = 1, .m_Runners = 1});
  auto Key = Test.grantKey("ghent");
  for (auto Stream : {false, true}) {
    auto Before = Test.seen(Test.m_RunnerUrls[0]).at("cancelled").get<int>();
    auto Call =
        Test.chatCall(0, Key, {{"max_tokens", 5000}, {"stream", Stream}});
    Call.m_Timeout = Milliseconds(500);
    Test.call(Call);
    CAPTURE(Stream);
    Test.waitFor("the cancellation", [&] {
      return Test.seen(Test.m_RunnerUrls[0]).at("cancelled").get<int>() >
             Before;
    });
  }
}

TEST_CASE("e2e: a request that crashes its engines, resent through all gates, "
          "crashes two engines in total") {
  auto Test = Cluster({.m_Runners = 6});
  auto Key = Test.grantKey("ghent");
  for (const auto &Url : Test.m_RunnerUrls)
    Test.setFaults(Url, {{"crash_on", "poison"}});
  // Other requests are in flight while the engines crash.
  auto OtherRequests = std::vector<std::shared_ptr<Reply>>();
  for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
    for (auto Count = 0; Count < 4; ++Count) {
      // Each has its own text, since equal requests cannot be distinguished.
      auto Text = "bystander " + std::to_string(Gate * 4 + Count);
      OtherRequests.push_back(Test.start(Test.chatCall(
          Gate, Key,
          {{"max_tokens", 100},
           {"messages",
            Json::array({{{"role", "user"}, {"content", Text}}})}})));
    }
  Test.runLoopFor(Milliseconds(200));
  auto CrashingRequest = Json{
      {"messages", Json::array({{{"role", "user"}, {"content", "poison"}}})}};
  for (auto Round = 0; Round < 2; ++Round)
    for (auto Gate = std::size_t{0}; Gate < 3; ++Gate) {
      auto Response = Test.call(Test.chatCall(Gate, Key, CrashingRequest));
      CAPTURE(Gate);
      CHECK(Response.error().starts_with("quarantined/"));
    }
  auto LostEngines = 0;
  for (auto &Runner : Test.m_Runners)
    LostEngines += Runner->running() ? 0 : 1;
  CHECK(LostEngines == 2);
  Test.waitFor("the other requests", [&] {
    return std::all_of(
        OtherRequests.begin(), OtherRequests.end(),
        [](const auto &PendingReply) { return PendingReply->m_Status != 0; });
  });
  for (const auto &PendingReply : OtherRequests)
    CHECK(contentOf(*PendingReply) == expectedText(100));
}
