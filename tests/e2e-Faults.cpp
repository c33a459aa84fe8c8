#include "support/Cluster.h"

#include <algorithm>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <string>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// Returns the executions of an idempotency key, summed over the services.
auto executionCount(Cluster &Test, const std::string &IdempotencyKey) -> int {
  auto Sum = 0;
  for (const auto &Url : Test.m_ServiceUrls)
    Sum += Test.seen(Url)["executions"].value(IdempotencyKey, 0);
  return Sum;
}

/// Returns the requests of an organisation in the usage windows reported so
/// far. Each window counts once; a repeated report must have the same entries.
auto reportedRequests(Cluster &Test, const std::string &Organisation) -> int {
  auto Windows = std::map<std::uint64_t, Json>();
  auto Response = Test.get(Test.m_PlatformUrl + "/platform/v1/usage");
  for (const auto &Report : Response.at("reports")) {
    auto Window = Report.at("window").get<std::uint64_t>();
    if (Windows.contains(Window))
      CHECK(Windows.at(Window) == Report.at("entries"));
    Windows[Window] = Report.at("entries");
  }
  auto Sum = 0;
  for (const auto &[Window, Entries] : Windows)
    for (const auto &Entry : Entries)
      if (Entry.at("organisation") == Organisation)
        Sum += Entry.at("requests").get<int>();
  return Sum;
}

auto isComplete(const Reply &Response) -> bool {
  return Response.m_Outcome == HttpOutcome::Complete &&
         Response.m_Status == 200;
}

} // namespace

TEST_CASE("e2e: a filing resent through every gate is executed once, and its "
          "response is replayed") {
  auto Test = Cluster({.m_Services = 2});
  auto Key = Test.grantKey("ghent");
  Test.setRoute("filings", {{"idempotent", false}});
  auto IdempotencyKey = Test.makeIdempotencyKey();
  auto Replies = std::vector<std::shared_ptr<Reply>>();
  for (auto Round = 0; Round < 2; ++Round)
    for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
      Replies.push_back(Test.start(
          Test.serviceCall(Gate, Key, "/filings/1", IdempotencyKey)));
  Test.waitFor("all responses", [&] {
    return std::all_of(
        Replies.begin(), Replies.end(),
        [](const auto &PendingReply) { return PendingReply->m_Status != 0; });
  });
  for (const auto &PendingReply : Replies)
    CHECK(PendingReply->json().value("execution", 0) == 1);
  CHECK(executionCount(Test, IdempotencyKey) == 1);
}

TEST_CASE("e2e: after a gate is killed while its filing is executed, a resend "
          "gets may_have_run and the filing is executed once") {
  auto Test = Cluster({});
  auto Key = Test.grantKey("ghent");
  Test.setRoute("filings", {{"idempotent", false}});
  Test.setFaults(Test.m_ServiceUrls[0], {{"delay_ms", 60'000}});
  auto IdempotencyKey = Test.makeIdempotencyKey();
  Test.start(Test.serviceCall(0, Key, "/filings/1", IdempotencyKey));
  Test.waitFor("the execution",
               [&] { return executionCount(Test, IdempotencyKey) == 1; });
  Test.m_Gates[0]->signal(SIGKILL);
  Test.setFaults(Test.m_ServiceUrls[0], {{"delay_ms", 0}});
  for (auto Gate : {std::size_t{1}, std::size_t{2}})
    CHECK(Test.call(Test.serviceCall(Gate, Key, "/filings/1", IdempotencyKey))
              .error() == "in_doubt/may_have_run");
  CHECK(executionCount(Test, IdempotencyKey) == 1);
}

TEST_CASE("e2e: a gate paused while it claims a filing and resumed after a "
          "resend through another gate does not cause a second execution") {
  auto Test = Cluster({});
  auto Key = Test.grantKey("ghent");
  Test.setRoute("filings", {{"idempotent", false}});
  // The store's response to the claim is slow, so that the gate is paused
  // between the claim and the send.
  Test.setFaults(Test.m_PlatformUrl, {{"store_delay_ms", 300}});
  auto IdempotencyKey = Test.makeIdempotencyKey();
  auto First =
      Test.start(Test.serviceCall(0, Key, "/filings/1", IdempotencyKey));
  Test.runLoopFor(Milliseconds(450));
  Test.m_Gates[0]->signal(SIGSTOP);
  Test.setFaults(Test.m_PlatformUrl, {{"store_delay_ms", 0}});
  auto Second =
      Test.call(Test.serviceCall(1, Key, "/filings/1", IdempotencyKey));
  Test.runLoopFor(Seconds(6));
  Test.m_Gates[0]->signal(SIGCONT);
  Test.waitFor("the first response", [&] { return First->m_Status != 0; });
  CHECK(executionCount(Test, IdempotencyKey) <= 1);
  // If the filing was executed, a caller got its response, or the first caller
  // got may_have_run.
  if (executionCount(Test, IdempotencyKey) == 1)
    CHECK((isComplete(*First) || isComplete(Second) ||
           First->error().ends_with("/may_have_run")));
}

TEST_CASE("e2e: a lost or broken response of the service gives may_have_run, "
          "never a second execution") {
  auto Test = Cluster({.m_Services = 2});
  auto Key = Test.grantKey("ghent");
  Test.setRoute("filings", {{"idempotent", false}, {"timeout_ms", 700}});
  for (const auto *Fault : {"lose_answers", "break_answers", "cross_answers"}) {
    for (const auto &Url : Test.m_ServiceUrls)
      Test.setFaults(Url, {{Fault, 1}});
    auto IdempotencyKey = Test.makeIdempotencyKey();
    CAPTURE(std::string(Fault));
    CHECK(Test.call(Test.serviceCall(0, Key, "/filings/1", IdempotencyKey))
              .error() == "backend_failed/may_have_run");
    CHECK(Test.call(Test.serviceCall(1, Key, "/filings/1", IdempotencyKey))
              .error() == "in_doubt/may_have_run");
    CHECK(executionCount(Test, IdempotencyKey) == 1);
    for (const auto &Url : Test.m_ServiceUrls)
      Test.setFaults(Url, {{Fault, 0}});
  }
}

TEST_CASE("e2e: with the store down or its response lost, not_run is true, and "
          "the same filing is executed once when the store is back") {
  auto Test = Cluster({.m_GateFlags = {"--store-timeout-ms=400"}});
  auto Key = Test.grantKey("ghent");
  Test.setRoute("filings", {{"idempotent", false}});
  auto IdempotencyKey = Test.makeIdempotencyKey();
  Test.setFaults(Test.m_PlatformUrl, {{"store_down", true}});
  auto Refused =
      Test.call(Test.serviceCall(0, Key, "/filings/1", IdempotencyKey));
  CHECK(Refused.error() == "claim_unavailable/not_run");
  CHECK(executionCount(Test, IdempotencyKey) == 0);
  Test.setFaults(Test.m_PlatformUrl, {{"store_down", false}});
  Test.waitFor("the filing to be executed", [&] {
    return isComplete(
        Test.call(Test.serviceCall(1, Key, "/filings/1", IdempotencyKey)));
  });
  CHECK(executionCount(Test, IdempotencyKey) == 1);
  // The claim takes effect, but its response is lost.
  auto Other = Test.makeIdempotencyKey();
  Test.setFaults(Test.m_PlatformUrl, {{"lose_answers", 1}});
  auto Response = Test.call(Test.serviceCall(2, Key, "/filings/2", Other));
  CAPTURE(Response.m_Body);
  CHECK(executionCount(Test, Other) == (isComplete(Response) ? 1 : 0));
}

TEST_CASE("e2e: with no reachable backend server a filing gets not_run, and is "
          "executed once when a server is back") {
  auto Test = Cluster({});
  auto Key = Test.grantKey("ghent");
  Test.setRoute("filings", {{"idempotent", false}});
  auto Good = Test.m_ServiceUrls[0];
  Test.m_ServiceUrls[0] = "http://127.0.0.1:1";
  Test.publishBackends();
  auto IdempotencyKey = Test.makeIdempotencyKey();
  // Each gate polls the list separately.
  for (auto Gate = std::size_t{0}; Gate < 2; ++Gate)
    Test.waitFor("the new list", [&] {
      return Test.call(Test.serviceCall(Gate, Key, "/filings/1",
                                        Test.makeIdempotencyKey()))
                 .error() == "backend_unreachable/not_run";
    });
  CHECK(Test.call(Test.serviceCall(1, Key, "/filings/1", IdempotencyKey))
            .error() == "backend_unreachable/not_run");
  Test.m_ServiceUrls[0] = Good;
  Test.publishBackends();
  Test.waitFor("the filing to be executed", [&] {
    return isComplete(
        Test.call(Test.serviceCall(2, Key, "/filings/1", IdempotencyKey)));
  });
  CHECK(executionCount(Test, IdempotencyKey) == 1);
}

TEST_CASE("e2e: no backend server and no log gets a key, wherever the caller "
          "has put it") {
  auto Test = Cluster({.m_Gates = 1, .m_Runners = 1});
  auto Key = Test.grantKey("ghent");
  Test.setRoute("filings", {{"idempotent", true}});
  Test.setRoute("open", {{"open", true}, {"idempotent", true}});
  auto Headers =
      HttpHeaders{{.m_Name = "Authorization", .m_Value = "Bearer " + Key},
                  {.m_Name = "Cookie", .m_Value = "session=" + Key},
                  {.m_Name = "x-api-key", .m_Value = Key},
                  {.m_Name = "traceparent", .m_Value = "00-" + Key},
                  {.m_Name = "Accept", .m_Value = "text/" + Key}};
  for (const auto *Path :
       {"/filings/1", "/open/1", "/filings/1?api_key=x", "/filings/2?a=1"}) {
    auto Url = Test.m_GateUrls[0] + Path;
    auto Separator =
        std::string(Path).find('?') == std::string::npos ? "?" : "&";
    Test.call({.m_Method = "POST",
               .m_Url = Url,
               .m_Body = "{}",
               .m_Headers = Headers});
    Test.call({.m_Method = "POST",
               .m_Url = fmt::format("{}{}token={}", Url, Separator, Key),
               .m_Body = Key,
               .m_Headers = Headers});
  }
  auto Chat = Test.chatCall(0, Key, {{"user", Key}});
  Chat.m_Headers = Headers;
  Test.call(Chat);
  Chat.m_Body = Test.chatCall(0, Key).m_Body;
  CHECK(isComplete(Test.call(Chat)));
  for (const auto &Url : {Test.m_ServiceUrls[0], Test.m_RunnerUrls[0]})
    CHECK(Test.call({.m_Url = Url + "/seen"}).m_Body.find(Key) ==
          std::string::npos);
  CHECK(Test.m_Gates[0]->log().find(Key) == std::string::npos);
  CHECK(Test.seen(Test.m_ServiceUrls[0])["requests"].size() > 0);
}

TEST_CASE(
    "e2e: a withdrawn key stops working at a gate without the store, at a "
    "gate that was paused, and in a stream in flight") {
  auto Test = Cluster({.m_GateFlags = {"--store-timeout-ms=400"}});
  auto Key = Test.grantKey("ghent");
  auto Other = Test.grantKey("liege");
  auto Stream = Test.start(
      Test.chatCall(1, Key, {{"max_tokens", 3000}, {"stream", true}}));
  Test.setFaults(Test.m_PlatformUrl, {{"cut", {"gate1"}}});
  Test.m_Gates[2]->signal(SIGSTOP);
  auto Withdrawn = Test.callAsOperator(0, "keys/withdraw", {{"key", Key}});
  CHECK(Withdrawn.m_Status == 200);
  Test.waitFor("the cut-off gate to refuse", [&] {
    return Test.call(Test.chatCall(1, Key)).m_Status != 200;
  });
  Test.waitFor("the stream to end", [&] { return Stream->m_Status != 0; });
  CHECK(Stream->m_Body.find("key_withdrawn") != std::string::npos);
  // The gate was paused for longer than its configuration confirmation may be
  // old.
  Test.runLoopFor(Seconds(5));
  Test.m_Gates[2]->signal(SIGCONT);
  auto First = Test.call(Test.chatCall(2, Key));
  CHECK(First.error().ends_with("/not_run"));
  for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
    Test.waitFor("the other organisation to be served", [&] {
      return isComplete(Test.call(Test.chatCall(Gate, Other)));
    });
}

TEST_CASE(
    "e2e: a store outage that affects all gates stops no request with a key") {
  auto Test = Cluster({.m_GateFlags = {"--store-timeout-ms=400"}});
  auto Key = Test.grantKey("ghent");
  Test.setFaults(Test.m_PlatformUrl, {{"store_down", true}});
  for (auto Round = 0; Round < 20; ++Round) {
    Test.runLoopFor(Milliseconds(400));
    for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
      CHECK(isComplete(Test.call(Test.chatCall(Gate, Key))));
  }
}

TEST_CASE("e2e: usage of every completed request is reported once, despite a "
          "killed gate, a killed holder of the duty and lost responses") {
  auto Test = Cluster({.m_Stewards = 3});
  auto Key = Test.grantKey("ghent");
  Test.setFaults(Test.m_PlatformUrl, {{"lose_report_answers", 2}});
  auto Completed = 0;
  auto Serve = [&](std::size_t Gate, int Count) {
    for (auto Number = 0; Number < Count; ++Number)
      Completed += isComplete(Test.call(Test.chatCall(Gate, Key))) ? 1 : 0;
  };
  Serve(0, 10);
  Serve(1, 7);
  Test.m_Gates[1]->signal(SIGKILL);
  Serve(2, 5);
  for (auto &Steward : Test.m_Stewards)
    if (Steward->log().find("event=duty.granted duty=usage-reports") !=
        std::string::npos) {
      Steward->signal(SIGKILL);
      break;
    }
  Serve(0, 6);
  CHECK(Completed == 28);
  Test.waitFor("all usage to be reported",
               [&] { return reportedRequests(Test, "ghent") >= Completed; });
  Test.runLoopFor(Seconds(5));
  CHECK(reportedRequests(Test, "ghent") == Completed);
}

TEST_CASE("e2e: a gate that gets SIGTERM completes its requests in flight and "
          "loses no usage") {
  auto Test = Cluster({.m_Stewards = 1});
  auto Key = Test.grantKey("ghent");
  auto Replies = std::vector<std::shared_ptr<Reply>>();
  for (auto Count = 0; Count < 12; ++Count)
    Replies.push_back(Test.start(Test.chatCall(
        0, Key, {{"max_tokens", 150}, {"stream", Count % 2 == 0}})));
  Test.runLoopFor(Milliseconds(300));
  Test.m_Gates[0]->signal(SIGTERM);
  Test.waitFor("all responses", [&] {
    return std::all_of(
        Replies.begin(), Replies.end(),
        [](const auto &PendingReply) { return PendingReply->m_Status != 0; });
  });
  for (const auto &PendingReply : Replies)
    CHECK(isComplete(*PendingReply));
  CHECK(Test.m_Gates[0]->wait() == 0);
  Test.waitFor("the usage",
               [&] { return reportedRequests(Test, "ghent") >= 12; });
  CHECK(reportedRequests(Test, "ghent") == 12);
}

TEST_CASE("e2e: a preset switch and the drain of a backend server abort no "
          "request, and the draining server gets no new one although the list "
          "lags") {
  auto Test = Cluster({.m_Gates = 2, .m_Runners = 2});
  auto Key = Test.grantKey("ghent");
  auto Replies = std::vector<std::shared_ptr<Reply>>();
  auto Send = [&](int Count, int Tokens) {
    for (auto Number = 0; Number < Count; ++Number)
      Replies.push_back(
          Test.start(Test.chatCall(static_cast<std::size_t>(Number % 2), Key,
                                   {{"max_tokens", Tokens}})));
  };
  Send(8, 150);
  CHECK(Test.callAsOperator(0, "presets", {{"id", "peak"}}).m_Status == 200);
  auto Switched = Test.callAsOperator(1, "presets/switch", {{"id", "peak"}});
  REQUIRE(Switched.m_Status == 200);
  Test.setFaults(Test.m_PlatformUrl, {{"list_lag_ms", 60'000}});
  auto Drained = Test.callAsOperator(0, "backends/drain", {{"id", "runner0"}});
  REQUIRE(Drained.m_Status == 200);
  Test.waitForRevision(Drained.json().at("revision").get<std::uint64_t>());
  auto Before = Test.seen(Test.m_RunnerUrls[0])["requests"].size();
  Send(10, 10);
  Test.waitFor("all responses", [&] {
    return std::all_of(
        Replies.begin(), Replies.end(),
        [](const auto &PendingReply) { return PendingReply->m_Status != 0; });
  });
  for (const auto &PendingReply : Replies)
    CHECK(isComplete(*PendingReply));
  CHECK(Test.seen(Test.m_RunnerUrls[0])["requests"].size() == Before);
}

TEST_CASE("e2e: a gate started while the store is down serves with the newest "
          "configuration of its peers") {
  auto Test = Cluster({.m_GateFlags = {"--store-timeout-ms=400"}});
  auto Key = Test.grantKey("ghent");
  Test.setFaults(Test.m_PlatformUrl, {{"store_down", true}});
  Test.m_Gates[2]->signal(SIGKILL);
  Test.startGate(2);
  CHECK(Test.call({.m_Url = Test.m_GateUrls[2] + "/readyz"}).m_Status == 503);
  Test.publishHosts();
  Test.waitFor("the new gate to serve",
               [&] { return isComplete(Test.call(Test.chatCall(2, Key))); });
}

// Guards against confirmed changes that are lost with a restored store, and a
// filing that runs twice.
TEST_CASE(
    "e2e: after the store is restored from a copy, keys granted since the "
    "copy work, also at a new gate, and no filing runs again") {
  auto Test = Cluster({});
  auto Early = Test.grantKey("ghent");
  Test.setFaults(Test.m_PlatformUrl, {{"copy_store", true}});
  auto Late = Test.grantKey("leuven");
  Test.setRoute("filings", {{"idempotent", false}});
  auto IdempotencyKey = Test.makeIdempotencyKey();
  REQUIRE(isComplete(
      Test.call(Test.serviceCall(0, Late, "/filings/1", IdempotencyKey))));
  Test.setFaults(Test.m_PlatformUrl, {{"restore_store", true}});
  Test.m_Gates[2]->signal(SIGKILL);
  Test.startGate(2);
  Test.publishHosts();
  for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
    for (const auto &Key : {Early, Late})
      Test.waitFor("service for both keys", [&] {
        return isComplete(Test.call(Test.chatCall(Gate, Key)));
      });
  for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
    Test.call(Test.serviceCall(Gate, Late, "/filings/1", IdempotencyKey));
  CHECK(executionCount(Test, IdempotencyKey) == 1);
}

TEST_CASE(
    "e2e: of concurrent changes by operators one succeeds and the others get "
    "a conflict") {
  auto Test = Cluster({});
  // Makes a first change, since an expected revision of 0 means none.
  Test.grantKey("ghent");
  auto Revision = Test.get(Test.m_AdminUrls[0] + "/admin/v1/status")
                      .at("revision")
                      .get<std::uint64_t>();
  auto Replies = std::vector<std::shared_ptr<Reply>>();
  for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
    Replies.push_back(
        Test.start({.m_Method = "POST",
                    .m_Url = Test.m_AdminUrls[Gate] + "/admin/v1/presets",
                    .m_Body = Json{{"id", "p" + std::to_string(Gate)},
                                   {"expected_revision", Revision}}
                                  .dump(),
                    .m_Headers = {{.m_Name = "Authorization",
                                   .m_Value = "Bearer token"}}}));
  Test.waitFor("all responses", [&] {
    return std::all_of(
        Replies.begin(), Replies.end(),
        [](const auto &PendingReply) { return PendingReply->m_Status != 0; });
  });
  auto Count = [&](unsigned Status) {
    return std::count_if(Replies.begin(), Replies.end(),
                         [Status](const auto &PendingReply) {
                           return PendingReply->m_Status == Status;
                         });
  };
  CHECK(Count(200) == 1);
  CHECK(Count(409) == 2);
  Test.waitForRevision(Revision + 1);
  auto Stored = Test.get(Test.m_AdminUrls[0] + "/admin/v1/configuration");
  CHECK(Stored.at("revision") == Revision + 1);
  CHECK(Stored.at("presets").size() == 2);
}

TEST_CASE(
    "e2e: load with much prefill changes engines' roles; orders never "
    "conflict and no request is aborted, though the duty's holder is paused "
    "beyond its lease") {
  auto Test = Cluster({.m_Gates = 2,
                       .m_Runners = 4,
                       .m_Services = 0,
                       .m_Stewards = 2,
                       .m_GateFlags = {"--region=ghent-region"},
                       .m_RunnerFlags = {"--prefill-tokens-per-second=1000"},
                       .m_StewardFlags = {"--region=ghent-region"}});
  for (auto Index = 0; Index < 4; ++Index)
    Test.m_ExtraBackendMembers[fmt::format("runner{}", Index)] = {
        {"region", "ghent-region"}};
  Test.publishBackends();
  auto Key = Test.grantKey("ghent");
  auto Replies = std::vector<std::shared_ptr<Reply>>();
  auto OrderCount = [&] {
    auto Count = std::size_t{0};
    for (const auto &Url : Test.m_RunnerUrls)
      Count += Test.seen(Url).at("orders").size();
    return Count;
  };
  // Prefill load of 3,000 tokens a second, on engines with 4,000 in all.
  auto Serve = [&] {
    constexpr auto PromptBytes = std::size_t{3200};
    auto Text = std::to_string(Replies.size()) + std::string(PromptBytes, 'p');
    Replies.push_back(Test.start(Test.chatCall(
        Replies.size() % 2, Key,
        {{"max_tokens", 2},
         {"messages", Json::array({{{"role", "user"}, {"content", Text}}})}})));
    Test.runLoopFor(Milliseconds(266));
  };
  Test.waitFor("a first order", [&] {
    Serve();
    return OrderCount() > 0;
  });
  for (auto &Steward : Test.m_Stewards)
    if (Steward->log().find("event=order.sent") != std::string::npos) {
      Steward->signal(SIGSTOP);
      for (auto Count = 0; Count < 30; ++Count)
        Serve();
      Steward->signal(SIGCONT);
    }
  for (auto Count = 0; Count < 20; ++Count)
    Serve();
  Test.waitFor("all responses", [&] {
    return std::all_of(
        Replies.begin(), Replies.end(),
        [](const auto &PendingReply) { return PendingReply->m_Status != 0; });
  });
  for (const auto &PendingReply : Replies)
    CHECK(isComplete(*PendingReply));
  for (const auto &Url : Test.m_RunnerUrls) {
    auto Fencing = std::uint64_t{0};
    auto Orders = Test.seen(Url).at("orders").get<std::vector<Json>>();
    for (const auto &Order : Orders) {
      CHECK(Order.at("fencing").get<std::uint64_t>() > Fencing);
      Fencing = Order.at("fencing").get<std::uint64_t>();
    }
    CHECK_FALSE(ordersConflict(Orders));
  }
}
