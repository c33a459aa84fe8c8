#include "dotterel/routing/ServerRateLimits.h"

#include "platform/EngineTransport.h"
#include "support/ServingFakes.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;
using namespace dotterel::test;

namespace {

const auto Server = BackendId{"d1"};

auto limited(double PerSecond) -> AttemptResult {
  return {.m_Outcome = AttemptOutcome::Complete,
          .m_Head = {.m_Status = 200},
          .m_Report = {.m_RateLimit = RequestRate{PerSecond}}};
}

} // namespace

TEST_CASE("server rate limits: a rate is a finite decimal number that is not "
          "negative") {
  CHECK(parseRequestRate("2.5")->perSecond() == 2.5);
  CHECK(parseRequestRate("0")->perSecond() == 0);
  for (const auto *Text : {"", " ", "-1", "nan", "inf", "1e999", "2.5x", "x"}) {
    CAPTURE(std::string(Text));
    CHECK(!parseRequestRate(Text));
  }
}

TEST_CASE("server rate limits: a response's header names the limit of its "
          "server, also if the request was not executed") {
  auto Headers = HttpHeaders{{.m_Name = "server-limit", .m_Value = "4.25"},
                             {.m_Name = "X-Response-Stamp", .m_Value = "s"}};
  for (auto Status : {200U, 503U}) {
    auto Result = HttpCallResult{.m_Outcome = HttpOutcome::Complete,
                                 .m_Status = Status,
                                 .m_Headers = Headers};
    auto Decoded = platform::decodeAttemptResult(std::move(Result),
                                                 AttemptPurpose::Serve, "a");
    CHECK(Decoded.m_Report.m_RateLimit == RequestRate{4.25});
    Headers.push_back({.m_Name = "X-Not-Executed", .m_Value = "1"});
  }
}

TEST_CASE("server rate limits: a response without a limit ends it") {
  auto Limits = ServerRateLimits({});
  auto Now = MonotonicTime(Seconds(100));
  Limits.recordResponse(Server, RequestRate{2}, Now);
  CHECK(Limits.limit(Server, Now) == RequestRate{2});
  CHECK(Limits.limitedCount(Now) == 1);
  Limits.recordResponse(Server, std::nullopt, Now + Seconds(1));
  CHECK(!Limits.limit(Server, Now + Seconds(1)));
}

TEST_CASE("server rate limits: the end of a stream that began before the limit "
          "was named does not end the limit") {
  auto Test = ServingFixture();
  Test.serve("stream");
  auto Stream = Test.m_Transport.m_Sent.back();
  auto Engine = Stream.m_Attempt.m_Backend;
  Stream.m_Listener->onBegin({.m_Status = 200}, {});
  Test.m_Core.rateLimits().recordResponse(Engine, RequestRate{3},
                                          Test.m_Scheduler.now());
  Stream.m_Listener->onEnd(
      {.m_Outcome = AttemptOutcome::Complete, .m_Head = {.m_Status = 200}});
  CHECK(Test.m_Core.rateLimits().limit(Engine, Test.m_Scheduler.now()) ==
        RequestRate{3});
}

TEST_CASE("server rate limits: a server that now uses the address of another "
          "one does not state that one's limit") {
  auto Test = ServingFixture();
  Test.serve("safe");
  auto Used = Test.m_Transport.m_Sent.back().m_Attempt.m_Backend;
  auto Result = limited(1);
  Result.m_Outcome = AttemptOutcome::WrongServer;
  Result.m_Head.m_Status = 421;
  Test.m_Transport.end(Result);
  CHECK(!Test.m_Core.rateLimits().limit(Used, Test.m_Scheduler.now()));
}

TEST_CASE("server rate limits: no request is permitted before the senders are "
          "known, nor at a rate of zero") {
  auto Limits = ServerRateLimits({});
  auto Now = MonotonicTime(Seconds(100));
  Limits.recordResponse(Server, RequestRate{2}, Now);
  CHECK(!Limits.permits(Server, Now + Seconds(9)));
  CHECK(Limits.timeToPermit(Server, Now + Seconds(9)) == Duration::max());
  Limits.setSenders("h1", {}, Now + Seconds(9));
  CHECK(!Limits.permits(Server, Now + Seconds(9)));
  CHECK(Limits.timeToPermit(Server, Now + Seconds(9)) == Milliseconds(500));
  CHECK(Limits.permits(Server, Now + Milliseconds(9500)));
  Limits.recordResponse(Server, RequestRate{0}, Now + Milliseconds(9500));
  Limits.recordRequest(Server, Now + Milliseconds(9500));
  CHECK(!Limits.permits(Server, Now + Seconds(30)));
}

TEST_CASE("server rate limits: the newest report of any process counts, and "
          "none that is too old") {
  auto Limits = ServerRateLimits({});
  auto Now = MonotonicTime(Seconds(100));
  Limits.merge({.m_Backend = Server, .m_Limit = RequestRate{2}}, Now);
  Limits.merge({.m_Backend = Server, .m_Age = Seconds(1)}, Now);
  CHECK(Limits.limit(Server, Now) == RequestRate{2});
  CHECK(Limits.ownReports(Now).empty());
  CHECK(Limits.allReports(Now).size() == 1);
  Limits.recordResponse(Server, RequestRate{5}, Now - Milliseconds(1));
  CHECK(Limits.limit(Server, Now) == RequestRate{2});
  Limits.merge({.m_Backend = Server}, Now + Seconds(1));
  CHECK(!Limits.limit(Server, Now + Seconds(1)));
  Limits.recordResponse(Server, RequestRate{5}, Now + Seconds(2));
  CHECK(Limits.limit(Server, Now + Seconds(32)));
  CHECK(!Limits.limit(Server, Now + Seconds(33)));
  CHECK(Limits.allReports(Now + Seconds(33)).empty());
  CHECK(Limits.permits(Server, Now + Seconds(33)));
}

TEST_CASE("server rate limits: a process that becomes a sharer, and a server "
          "that names a limit again, start without permits") {
  auto Limits = ServerRateLimits({.m_MinSharers = 1});
  auto Now = MonotonicTime(Seconds(100));
  auto Others = std::vector<std::string>();
  for (auto Index = 0; Index < 40; ++Index)
    Others.push_back(fmt::format("h{}", Index));
  Limits.setSenders("self", Others, Now);
  Limits.recordResponse(Server, RequestRate{1}, Now);
  REQUIRE(Limits.timeToPermit(Server, Now) == Duration::max());
  Limits.setSenders("self", {}, Now + Seconds(20));
  CHECK(Limits.timeToPermit(Server, Now + Seconds(20)) == Seconds(1));
  Limits.recordResponse(Server, std::nullopt, Now + Seconds(22));
  CHECK(Limits.permits(Server, Now + Seconds(22)));
  Limits.recordResponse(Server, RequestRate{1}, Now + Seconds(25));
  CHECK(!Limits.permits(Server, Now + Seconds(25)));
}
