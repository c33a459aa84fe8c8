#include "support/Cluster.h"

#include "dotterel/io/SocketAddress.h"

#include <array>
#include <cerrno>
#include <csignal>
#include <doctest/doctest.h>
#include <set>
#include <string>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// The text that the stand-in engine makes of so many tokens.
auto expectedText(int Tokens) -> std::string {
  auto Text = std::string();
  for (auto Number = 0; Number < Tokens; ++Number)
    Text += "t" + std::to_string(Number) + " ";
  return Text;
}

auto contentOf(const Reply &Answer) -> std::string {
  auto Body = Answer.json();
  if (!Body.is_object() || !Body.contains("choices"))
    return "no answer: " + Answer.m_Body;
  return Body.at("choices").at(0).at("message").at("content");
}

/// Joins the tokens of a streamed answer; empty when its end marker is missing.
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

/// Sends bytes on a connection of their own and waits until it is closed.
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
  auto Answer = std::string();
  auto Buffer = std::array<char, 1024>{};
  auto Count = ssize_t{0};
  while ((Count = ::recv(Fd, Buffer.data(), Buffer.size(), 0)) > 0)
    Answer.append(Buffer.data(), static_cast<std::size_t>(Count));
  ::close(Fd);
  return Count == 0 || errno == ECONNRESET ? Answer : "still open";
}

} // namespace

TEST_CASE(
    "e2e: slow senders and what is no HTTP are cut off, and the gate goes "
    "on serving") {
  auto Test = Cluster({.m_Gates = 1,
                       .m_Runners = 1,
                       .m_Services = 0,
                       .m_GateFlags = {"--idle-timeout-seconds=1"}});
  auto Key = Test.grant("ghent");
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
    auto Answer = sendRaw(Test.m_GateUrls[0], Bytes);
    CHECK(Answer != "still open");
    CHECK(Answer.find("\"choices\"") == std::string::npos);
    CHECK(Test.call(Test.chat(0, Key)).m_Status == 200);
  }
  CHECK(Test.seen(Test.m_RunnerUrls[0])["requests"].size() == 5);
}

TEST_CASE("e2e: completions whole and streamed, models, plain services, health "
          "and metrics") {
  auto Test = Cluster({});
  auto Key = Test.grant("ghent");
  CHECK(contentOf(Test.call(Test.chat(0, Key))) == expectedText(8));
  auto Streamed = Test.call(Test.chat(1, Key, {{"stream", true}}));
  CHECK(streamedText(Streamed.m_Body) == expectedText(8));
  auto Text = Test.chat(2, Key);
  Text.m_Url = Test.m_GateUrls[2] + "/v1/completions";
  Text.m_Body = R"({"model":"namer","max_tokens":3,"prompt":"x"})";
  CHECK(Test.call(Text).json().at("choices").at(0).at("text") ==
        expectedText(3));
  auto Models = Test.call(
      {.m_Url = Test.m_GateUrls[0] + "/v1/models",
       .m_Headers = {{.m_Name = "Authorization", .m_Value = "Bearer " + Key}}});
  CHECK(Models.json().at("data").at(0).at("id") == "namer");
  Test.route("lookup", {{"open", true}, {"idempotent", true}});
  auto Lookup =
      Test.call({.m_Url = Test.m_GateUrls[0] + "/lookup/markers/7?q=a%20b"});
  CHECK(Lookup.json().at("path") == "/markers/7");
  CHECK(Test.seen(Test.m_ServiceUrls[0])["requests"][0]["query"]["q"] == "a b");
  CHECK(Test.call({.m_Url = Test.m_GateUrls[0] + "/healthz"}).m_Status == 200);
  auto Metrics = Test.call({.m_Url = Test.m_GateUrls[0] + "/metrics"}).m_Body;
  CHECK(Metrics.find("dotterel_answers_total{kind=\"completion\"} 1") !=
        std::string::npos);
  // Every decision can be asked for, and names the engine and its figures.
  auto Id = findHeader(Streamed.m_Headers, "x-request-id").value();
  auto Why = Test.get(Test.m_AdminUrls[1] + "/admin/v1/explain?request=" + Id);
  CHECK(Why.at("decisions").at(0).get<std::string>().find("candidates=") !=
        std::string::npos);
}

TEST_CASE("e2e: bad input gets a clear error that says not_run, and the gate "
          "goes on serving") {
  auto Test = Cluster(
      {.m_Gates = 1, .m_Runners = 1, .m_GateFlags = {"--max-body-bytes=4096"}});
  auto Key = Test.grant("ghent");
  Test.route("filings", {{"idempotent", false}});
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
  const auto Good = Test.chat(0, Key).m_Body;
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
    auto Answer = Test.call(Item.m_Call);
    CHECK(Answer.error() == Item.m_Error);
    CHECK(findHeader(Answer.m_Headers, "x-request-id").has_value());
  }
  // A key behind escapes of JSON.
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
  CHECK(Test.call(Test.chat(0, Key)).m_Status == 200);
}

TEST_CASE("e2e: answers that are crossed, broken off, doubled or hanging reach "
          "the caller whole, from another engine") {
  auto Test =
      Cluster({.m_Gates = 1, .m_GateFlags = {"--stall-timeout-ms=500"}});
  auto Key = Test.grant("ghent");
  for (const auto *Fault :
       {"cross_answers", "break_streams", "duplicate_tokens", "hang_streams"}) {
    for (const auto &Url : Test.m_RunnerUrls)
      Test.setFaults(Url, {{Fault, 1}});
    CAPTURE(std::string(Fault));
    for (auto Round = 0; Round < 4; ++Round) {
      auto Whole = Test.call(Test.chat(0, Key, {{"max_tokens", 20}}));
      CHECK(contentOf(Whole) == expectedText(20));
      auto Streamed =
          Test.call(Test.chat(0, Key, {{"max_tokens", 20}, {"stream", true}}));
      CHECK(streamedText(Streamed.m_Body) == expectedText(20));
    }
    for (const auto &Url : Test.m_RunnerUrls)
      Test.setFaults(Url, {{Fault, 0}});
  }
}

TEST_CASE("e2e: an engine that dies in mid-stream is replaced by another where "
          "the answer stopped") {
  auto Test = Cluster({.m_Gates = 1});
  auto Key = Test.grant("ghent");
  auto Slot =
      Test.start(Test.chat(0, Key, {{"max_tokens", 200}, {"stream", true}}));
  auto Victim = std::size_t{99};
  Test.waitFor("an engine runs the request", [&] {
    for (auto Index = std::size_t{0}; Index < 3; ++Index)
      if (!Test.seen(Test.m_RunnerUrls[Index])["requests"].empty())
        Victim = Index;
    return Victim < 3;
  });
  Test.pass(Milliseconds(300));
  Test.m_Runners[Victim]->signal(SIGKILL);
  Test.waitFor("the answer", [&] { return Slot->m_Status != 0; });
  CHECK(streamedText(Slot->m_Body) == expectedText(200));
}

TEST_CASE("e2e: when no engine is left a started stream ends with an explicit "
          "error, and is not whole") {
  auto Test = Cluster({.m_Gates = 1, .m_Runners = 1});
  auto Key = Test.grant("ghent");
  Test.setFaults(Test.m_RunnerUrls[0], {{"stop_after_tokens", 5}});
  auto Call = Test.chat(0, Key, {{"max_tokens", 50}, {"stream", true}});
  Call.m_Headers.push_back({.m_Name = "x-priority", .m_Value = "interactive"});
  auto Answer = Test.call(Call);
  CHECK(Answer.m_Outcome != HttpOutcome::Complete);
  CHECK(streamedText(Answer.m_Body).empty());
  CHECK(Answer.m_Body.find("event: error") != std::string::npos);
  CHECK(Answer.m_Body.find("\"execution\":\"ran\"") != std::string::npos);
}

TEST_CASE(
    "e2e: a request that finds its engine gone waits for one to come, and "
    "spends none of its attempts") {
  // The load report stays fresh enough to choose the engine that is gone.
  auto Test = Cluster(
      {.m_Gates = 1,
       .m_Runners = 1,
       .m_GateFlags = {"--load-poll-ms=10000", "--platform-poll-ms=500"}});
  auto Key = Test.grant("ghent");
  CHECK(Test.call(Test.chat(0, Key)).m_Status == 200);
  Test.m_Runners[0]->signal(SIGKILL);
  Test.m_Runners[0]->wait();
  auto Slot = Test.start(Test.chat(0, Key, {{"max_tokens", 20}}));
  Test.waitFor("the failed attempt", [&] {
    return Test.m_Gates[0]->log().find("event=attempt.failed") !=
           std::string::npos;
  });
  Test.startRunner(0);
  Test.publishBackends();
  Test.waitFor("the answer", [&] { return Slot->m_Status != 0; });
  CHECK(contentOf(*Slot) == expectedText(20));
}

TEST_CASE("e2e: a caller who leaves is cancelled at the engine") {
  auto Test = Cluster({.m_Gates = 1, .m_Runners = 1});
  auto Key = Test.grant("ghent");
  for (auto Stream : {false, true}) {
    auto Before = Test.seen(Test.m_RunnerUrls[0]).at("cancelled").get<int>();
    auto Call = Test.chat(0, Key, {{"max_tokens", 5000}, {"stream", Stream}});
    Call.m_Timeout = Milliseconds(500);
    Test.call(Call);
    CAPTURE(Stream);
    Test.waitFor("the cancellation", [&] {
      return Test.seen(Test.m_RunnerUrls[0]).at("cancelled").get<int>() >
             Before;
    });
  }
}

TEST_CASE("e2e: a request that crashes each engine it runs on, resent through "
          "all gates, takes two engines in all") {
  auto Test = Cluster({.m_Runners = 6});
  auto Key = Test.grant("ghent");
  for (const auto &Url : Test.m_RunnerUrls)
    Test.setFaults(Url, {{"crash_on", "poison"}});
  // Bystanders run while the engines fall.
  auto Bystanders = std::vector<std::shared_ptr<Reply>>();
  for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
    for (auto Count = 0; Count < 4; ++Count) {
      // Each its own: equal requests cannot be told from each other.
      auto Text = "bystander " + std::to_string(Gate * 4 + Count);
      Bystanders.push_back(Test.start(
          Test.chat(Gate, Key,
                    {{"max_tokens", 100},
                     {"messages",
                      Json::array({{{"role", "user"}, {"content", Text}}})}})));
    }
  Test.pass(Milliseconds(200));
  auto Poison = Json{
      {"messages", Json::array({{{"role", "user"}, {"content", "poison"}}})}};
  for (auto Round = 0; Round < 2; ++Round)
    for (auto Gate = std::size_t{0}; Gate < 3; ++Gate) {
      auto Answer = Test.call(Test.chat(Gate, Key, Poison));
      CAPTURE(Gate);
      CHECK(Answer.error().starts_with("quarantined/"));
    }
  auto Lost = 0;
  for (auto &Runner : Test.m_Runners)
    Lost += Runner->running() ? 0 : 1;
  CHECK(Lost == 2);
  Test.waitFor("the bystanders", [&] {
    return std::all_of(Bystanders.begin(), Bystanders.end(),
                       [](const auto &Slot) { return Slot->m_Status != 0; });
  });
  for (const auto &Slot : Bystanders)
    CHECK(contentOf(*Slot) == expectedText(100));
}
