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

/// Executions of an identity, summed over the services.
auto executions(Cluster &Test, const std::string &Identity) -> int {
  auto Sum = 0;
  for (const auto &Url : Test.m_ServiceUrls)
    Sum += Test.seen(Url)["executions"].value(Identity, 0);
  return Sum;
}

/// Requests of an organisation in the windows reported so far; each window is
/// counted once, and must not have been reported with other figures.
auto reportedRequests(Cluster &Test, const std::string &Organisation) -> int {
  auto Windows = std::map<std::uint64_t, Json>();
  auto Answer = Test.get(Test.m_PlatformUrl + "/platform/v1/usage");
  for (const auto &Report : Answer.at("reports")) {
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

auto whole(const Reply &Answer) -> bool {
  return Answer.m_Outcome == HttpOutcome::Complete && Answer.m_Status == 200;
}

} // namespace

TEST_CASE("e2e: a filing sent again through every gate runs once, and its "
          "answer is replayed") {
  auto Test = Cluster({.m_Services = 2});
  auto Key = Test.grant("ghent");
  Test.route("filings", {{"idempotent", false}});
  auto Identity = Test.identity();
  auto Slots = std::vector<std::shared_ptr<Reply>>();
  for (auto Round = 0; Round < 2; ++Round)
    for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
      Slots.push_back(
          Test.start(Test.service(Gate, Key, "/filings/1", Identity)));
  Test.waitFor("all answers", [&] {
    return std::all_of(Slots.begin(), Slots.end(),
                       [](const auto &Slot) { return Slot->m_Status != 0; });
  });
  for (const auto &Slot : Slots)
    CHECK(Slot->json().value("execution", 0) == 1);
  CHECK(executions(Test, Identity) == 1);
}

TEST_CASE("e2e: a gate killed while its filing runs: a resend is told that it "
          "may have run, and it ran once") {
  auto Test = Cluster({});
  auto Key = Test.grant("ghent");
  Test.route("filings", {{"idempotent", false}});
  Test.setFaults(Test.m_ServiceUrls[0], {{"delay_ms", 60'000}});
  auto Identity = Test.identity();
  Test.start(Test.service(0, Key, "/filings/1", Identity));
  Test.waitFor("the execution",
               [&] { return executions(Test, Identity) == 1; });
  Test.m_Gates[0]->signal(SIGKILL);
  Test.setFaults(Test.m_ServiceUrls[0], {{"delay_ms", 0}});
  for (auto Gate : {std::size_t{1}, std::size_t{2}})
    CHECK(Test.call(Test.service(Gate, Key, "/filings/1", Identity)).error() ==
          "in_doubt/may_have_run");
  CHECK(executions(Test, Identity) == 1);
}

TEST_CASE("e2e: a gate stopped while its filing is claimed, resumed after a "
          "resend through another: it ran once") {
  auto Test = Cluster({});
  auto Key = Test.grant("ghent");
  Test.route("filings", {{"idempotent", false}});
  // The claim's answer is slow, so that the stop falls between claim and send.
  Test.setFaults(Test.m_PlatformUrl, {{"store_delay_ms", 300}});
  auto Identity = Test.identity();
  auto First = Test.start(Test.service(0, Key, "/filings/1", Identity));
  Test.pass(Milliseconds(450));
  Test.m_Gates[0]->signal(SIGSTOP);
  Test.setFaults(Test.m_PlatformUrl, {{"store_delay_ms", 0}});
  auto Second = Test.call(Test.service(1, Key, "/filings/1", Identity));
  Test.pass(Seconds(6));
  Test.m_Gates[0]->signal(SIGCONT);
  Test.waitFor("the first answer", [&] { return First->m_Status != 0; });
  CHECK(executions(Test, Identity) <= 1);
  // Whoever was told "not run" was told the truth.
  if (executions(Test, Identity) == 1)
    CHECK((whole(*First) || whole(Second) ||
           First->error().ends_with("/may_have_run")));
}

TEST_CASE("e2e: the service's answer is lost or broken: may_have_run, never a "
          "second run") {
  auto Test = Cluster({.m_Services = 2});
  auto Key = Test.grant("ghent");
  Test.route("filings", {{"idempotent", false}, {"timeout_ms", 700}});
  for (const auto *Fault : {"lose_answers", "break_answers", "cross_answers"}) {
    for (const auto &Url : Test.m_ServiceUrls)
      Test.setFaults(Url, {{Fault, 1}});
    auto Identity = Test.identity();
    CAPTURE(std::string(Fault));
    CHECK(Test.call(Test.service(0, Key, "/filings/1", Identity)).error() ==
          "backend_failed/may_have_run");
    CHECK(Test.call(Test.service(1, Key, "/filings/1", Identity)).error() ==
          "in_doubt/may_have_run");
    CHECK(executions(Test, Identity) == 1);
    for (const auto &Url : Test.m_ServiceUrls)
      Test.setFaults(Url, {{Fault, 0}});
  }
}

TEST_CASE("e2e: store down, or its answers lost: not_run is true, and the same "
          "filing runs once when the store is back") {
  auto Test = Cluster({.m_GateFlags = {"--store-timeout-ms=400"}});
  auto Key = Test.grant("ghent");
  Test.route("filings", {{"idempotent", false}});
  auto Identity = Test.identity();
  Test.setFaults(Test.m_PlatformUrl, {{"store_down", true}});
  auto Refused = Test.call(Test.service(0, Key, "/filings/1", Identity));
  CHECK(Refused.error() == "claim_unavailable/not_run");
  CHECK(executions(Test, Identity) == 0);
  Test.setFaults(Test.m_PlatformUrl, {{"store_down", false}});
  Test.waitFor("the filing to go through", [&] {
    return whole(Test.call(Test.service(1, Key, "/filings/1", Identity)));
  });
  CHECK(executions(Test, Identity) == 1);
  // The claim took effect, its answer was lost.
  auto Other = Test.identity();
  Test.setFaults(Test.m_PlatformUrl, {{"lose_answers", 1}});
  auto Answer = Test.call(Test.service(2, Key, "/filings/2", Other));
  CAPTURE(Answer.m_Body);
  CHECK(executions(Test, Other) == (whole(Answer) ? 1 : 0));
}

TEST_CASE("e2e: no service server can be reached: not_run, and the same filing "
          "runs once when one is back") {
  auto Test = Cluster({});
  auto Key = Test.grant("ghent");
  Test.route("filings", {{"idempotent", false}});
  auto Good = Test.m_ServiceUrls[0];
  Test.m_ServiceUrls[0] = "http://127.0.0.1:1";
  Test.publishBackends();
  auto Identity = Test.identity();
  // Each gate reads the list for itself.
  for (auto Gate = std::size_t{0}; Gate < 2; ++Gate)
    Test.waitFor("the new list", [&] {
      return Test.call(Test.service(Gate, Key, "/filings/1", Test.identity()))
                 .error() == "backend_unreachable/not_run";
    });
  CHECK(Test.call(Test.service(1, Key, "/filings/1", Identity)).error() ==
        "backend_unreachable/not_run");
  Test.m_ServiceUrls[0] = Good;
  Test.publishBackends();
  Test.waitFor("the filing to go through", [&] {
    return whole(Test.call(Test.service(2, Key, "/filings/1", Identity)));
  });
  CHECK(executions(Test, Identity) == 1);
}

TEST_CASE("e2e: no backend server and no log sees a key, wherever the caller "
          "put it") {
  auto Test = Cluster({.m_Gates = 1, .m_Runners = 1});
  auto Key = Test.grant("ghent");
  Test.route("filings", {{"idempotent", true}});
  Test.route("open", {{"open", true}, {"idempotent", true}});
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
  auto Chat = Test.chat(0, Key, {{"user", Key}});
  Chat.m_Headers = Headers;
  Test.call(Chat);
  Chat.m_Body = Test.chat(0, Key).m_Body;
  CHECK(whole(Test.call(Chat)));
  for (const auto &Url : {Test.m_ServiceUrls[0], Test.m_RunnerUrls[0]})
    CHECK(Test.call({.m_Url = Url + "/seen"}).m_Body.find(Key) ==
          std::string::npos);
  CHECK(Test.m_Gates[0]->log().find(Key) == std::string::npos);
  CHECK(Test.seen(Test.m_ServiceUrls[0])["requests"].size() > 0);
}

TEST_CASE("e2e: a withdrawn key stops everywhere: at a gate cut off from the "
          "store, at one that was stopped, and in a running stream") {
  auto Test = Cluster({.m_GateFlags = {"--store-timeout-ms=400"}});
  auto Key = Test.grant("ghent");
  auto Other = Test.grant("liege");
  auto Stream =
      Test.start(Test.chat(1, Key, {{"max_tokens", 3000}, {"stream", true}}));
  Test.setFaults(Test.m_PlatformUrl, {{"cut", {"gate1"}}});
  Test.m_Gates[2]->signal(SIGSTOP);
  auto Withdrawn = Test.order(0, "keys/withdraw", {{"key", Key}});
  CHECK(Withdrawn.m_Status == 200);
  Test.waitFor("the cut-off gate to refuse",
               [&] { return Test.call(Test.chat(1, Key)).m_Status != 200; });
  Test.waitFor("the stream to end", [&] { return Stream->m_Status != 0; });
  CHECK(Stream->m_Body.find("key_withdrawn") != std::string::npos);
  // It was stopped for longer than the bound on evidence.
  Test.pass(Seconds(5));
  Test.m_Gates[2]->signal(SIGCONT);
  auto First = Test.call(Test.chat(2, Key));
  CHECK(First.error().ends_with("/not_run"));
  for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
    Test.waitFor("the other organisation to be served",
                 [&] { return whole(Test.call(Test.chat(Gate, Other))); });
}

TEST_CASE("e2e: a store outage that all see stops no keyed work") {
  auto Test = Cluster({.m_GateFlags = {"--store-timeout-ms=400"}});
  auto Key = Test.grant("ghent");
  Test.setFaults(Test.m_PlatformUrl, {{"store_down", true}});
  for (auto Round = 0; Round < 20; ++Round) {
    Test.pass(Milliseconds(400));
    for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
      CHECK(whole(Test.call(Test.chat(Gate, Key))));
  }
}

TEST_CASE("e2e: usage of every answered request is reported once, through "
          "kills of a gate and of the duty's holder and lost answers") {
  auto Test = Cluster({.m_Stewards = 3});
  auto Key = Test.grant("ghent");
  Test.setFaults(Test.m_PlatformUrl, {{"lose_report_answers", 2}});
  auto Answered = 0;
  auto Serve = [&](std::size_t Gate, int Count) {
    for (auto Number = 0; Number < Count; ++Number)
      Answered += whole(Test.call(Test.chat(Gate, Key))) ? 1 : 0;
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
  CHECK(Answered == 28);
  Test.waitFor("all usage to be reported",
               [&] { return reportedRequests(Test, "ghent") >= Answered; });
  Test.pass(Seconds(5));
  CHECK(reportedRequests(Test, "ghent") == Answered);
}

TEST_CASE("e2e: a gate that is told to stop finishes what it has, cuts no "
          "request, and loses no usage") {
  auto Test = Cluster({.m_Stewards = 1});
  auto Key = Test.grant("ghent");
  auto Slots = std::vector<std::shared_ptr<Reply>>();
  for (auto Count = 0; Count < 12; ++Count)
    Slots.push_back(Test.start(
        Test.chat(0, Key, {{"max_tokens", 150}, {"stream", Count % 2 == 0}})));
  Test.pass(Milliseconds(300));
  Test.m_Gates[0]->signal(SIGTERM);
  Test.waitFor("all answers", [&] {
    return std::all_of(Slots.begin(), Slots.end(),
                       [](const auto &Slot) { return Slot->m_Status != 0; });
  });
  for (const auto &Slot : Slots)
    CHECK(whole(*Slot));
  CHECK(Test.m_Gates[0]->wait() == 0);
  Test.waitFor("the usage",
               [&] { return reportedRequests(Test, "ghent") >= 12; });
  CHECK(reportedRequests(Test, "ghent") == 12);
}

TEST_CASE("e2e: preset switch, drain of a backend server and its stop cut no "
          "request, and a leaving server gets nothing new though the list "
          "lags") {
  auto Test = Cluster({.m_Gates = 2, .m_Runners = 2});
  auto Key = Test.grant("ghent");
  auto Slots = std::vector<std::shared_ptr<Reply>>();
  auto Send = [&](int Count, int Tokens) {
    for (auto Number = 0; Number < Count; ++Number)
      Slots.push_back(Test.start(Test.chat(static_cast<std::size_t>(Number % 2),
                                           Key, {{"max_tokens", Tokens}})));
  };
  Send(8, 150);
  CHECK(Test.order(0, "presets", {{"id", "peak"}}).m_Status == 200);
  auto Switched = Test.order(1, "presets/switch", {{"id", "peak"}});
  REQUIRE(Switched.m_Status == 200);
  Test.setFaults(Test.m_PlatformUrl, {{"list_lag_ms", 60'000}});
  auto Drained = Test.order(0, "backends/drain", {{"id", "runner0"}});
  REQUIRE(Drained.m_Status == 200);
  Test.waitRevision(Drained.json().at("revision").get<std::uint64_t>());
  auto Before = Test.seen(Test.m_RunnerUrls[0])["requests"].size();
  Send(10, 10);
  Test.waitFor("all answers", [&] {
    return std::all_of(Slots.begin(), Slots.end(),
                       [](const auto &Slot) { return Slot->m_Status != 0; });
  });
  for (const auto &Slot : Slots)
    CHECK(whole(*Slot));
  CHECK(Test.seen(Test.m_RunnerUrls[0])["requests"].size() == Before);
}

TEST_CASE("e2e: a gate started while the store is down serves with the newest "
          "configuration of its peers") {
  auto Test = Cluster({.m_GateFlags = {"--store-timeout-ms=400"}});
  auto Key = Test.grant("ghent");
  Test.setFaults(Test.m_PlatformUrl, {{"store_down", true}});
  Test.m_Gates[2]->signal(SIGKILL);
  Test.startGate(2);
  CHECK(Test.call({.m_Url = Test.m_GateUrls[2] + "/readyz"}).m_Status == 503);
  Test.publishHosts();
  Test.waitFor("the new gate to serve",
               [&] { return whole(Test.call(Test.chat(2, Key))); });
}

TEST_CASE("e2e: racing operators: one wins and the others are told") {
  auto Test = Cluster({});
  // A first change, since revision 0 would mean that nothing is expected.
  Test.grant("ghent");
  auto Revision = Test.get(Test.m_AdminUrls[0] + "/admin/v1/status")
                      .at("revision")
                      .get<std::uint64_t>();
  auto Slots = std::vector<std::shared_ptr<Reply>>();
  for (auto Gate = std::size_t{0}; Gate < 3; ++Gate)
    Slots.push_back(
        Test.start({.m_Method = "POST",
                    .m_Url = Test.m_AdminUrls[Gate] + "/admin/v1/presets",
                    .m_Body = Json{{"id", "p" + std::to_string(Gate)},
                                   {"expected_revision", Revision}}
                                  .dump(),
                    .m_Headers = {{.m_Name = "Authorization",
                                   .m_Value = "Bearer token"}}}));
  Test.waitFor("all answers", [&] {
    return std::all_of(Slots.begin(), Slots.end(),
                       [](const auto &Slot) { return Slot->m_Status != 0; });
  });
  auto Count = [&](unsigned Status) {
    return std::count_if(
        Slots.begin(), Slots.end(),
        [Status](const auto &Slot) { return Slot->m_Status == Status; });
  };
  CHECK(Count(200) == 1);
  CHECK(Count(409) == 2);
  Test.waitRevision(Revision + 1);
  auto Stored = Test.get(Test.m_AdminUrls[0] + "/admin/v1/configuration");
  CHECK(Stored.at("revision") == Revision + 1);
  CHECK(Stored.at("presets").size() == 2);
}

TEST_CASE(
    "e2e: a lasting lean to prefill changes engines' roles one at a time, "
    "with the duty's holder stopped past its lease; orders never conflict "
    "and no request is cut") {
  auto Test = Cluster({.m_Gates = 2,
                       .m_Runners = 4,
                       .m_Services = 0,
                       .m_Stewards = 2,
                       .m_GateFlags = {"--region=ghent-region"},
                       .m_RunnerFlags = {"--prefill-tokens-per-second=1000"},
                       .m_StewardFlags = {"--region=ghent-region"}});
  for (auto Index = 0; Index < 4; ++Index)
    Test.m_BackendExtras[fmt::format("runner{}", Index)] = {
        {"region", "ghent-region"}};
  Test.publishBackends();
  auto Key = Test.grant("ghent");
  auto Slots = std::vector<std::shared_ptr<Reply>>();
  auto Ordered = [&] {
    auto Count = std::size_t{0};
    for (const auto &Url : Test.m_RunnerUrls)
      Count += Test.seen(Url).at("orders").size();
    return Count;
  };
  // 3,000 tokens a second to prefill, on engines that do 4,000.
  auto Serve = [&] {
    constexpr auto PromptBytes = std::size_t{3200};
    auto Text = std::to_string(Slots.size()) + std::string(PromptBytes, 'p');
    Slots.push_back(Test.start(Test.chat(
        Slots.size() % 2, Key,
        {{"max_tokens", 2},
         {"messages", Json::array({{{"role", "user"}, {"content", Text}}})}})));
    Test.pass(Milliseconds(266));
  };
  Test.waitFor("a first order", [&] {
    Serve();
    return Ordered() > 0;
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
  Test.waitFor("all answers", [&] {
    return std::all_of(Slots.begin(), Slots.end(),
                       [](const auto &Slot) { return Slot->m_Status != 0; });
  });
  for (const auto &Slot : Slots)
    CHECK(whole(*Slot));
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
