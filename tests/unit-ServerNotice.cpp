#include "dotterel/routing/ServerNotice.h"
#include "platform/EngineTransport.h"

#include <doctest/doctest.h>
#include <optional>
#include <rapidcheck.h>
#include <string>

using namespace dotterel;

namespace {

auto pauseOf(const std::string &Value) -> Duration {
  return parseServerNotice(503, std::nullopt, Value).m_Pause;
}

} // namespace

TEST_CASE("server notice: a pause is a decimal number of seconds") {
  struct Case {
    const char *m_Value;
    Duration m_Pause;
  };
  for (const auto &Current : std::initializer_list<Case>{
           {"1", Seconds(1)},
           {"0.25", Milliseconds(250)},
           {" 2 ", Seconds(2)},
           {"1.5e1", Seconds(15)},
           {"0", Duration::zero()},
           {"1e-400", Duration::zero()},
           {"300", Seconds(300)},
           {"300.001", MaxServerPause},
           {"86400", MaxServerPause},
           {"1e300", MaxServerPause},
           {"1e400", MaxServerPause},
           {"inf", MaxServerPause},
           {"", UnreadableServerPause},
           {"nan", UnreadableServerPause},
           {"-1", UnreadableServerPause},
           {"-0", UnreadableServerPause},
           {"-inf", UnreadableServerPause},
           {"-1e400", UnreadableServerPause},
           {"+1", UnreadableServerPause},
           {"1s", UnreadableServerPause},
           {"1,5", UnreadableServerPause},
           {"0x10", UnreadableServerPause},
           {"soon", UnreadableServerPause},
           {"Sat, 05 Dec 2026 10:00:00 GMT", UnreadableServerPause},
       }) {
    CAPTURE(Current.m_Value);
    CHECK(pauseOf(Current.m_Value) == Current.m_Pause);
  }
}

TEST_CASE("server notice: only a refusal with status 503 pauses its sender") {
  for (auto Status : {0U, 200U, 421U, 429U, 500U, 502U, 504U})
    CHECK(parseServerNotice(Status, std::nullopt, "2").empty());
  CHECK(parseServerNotice(503, std::nullopt, std::nullopt).empty());
}

TEST_CASE("server notice: only the specified value says that a server leaves") {
  for (auto Status : {0U, 200U, 421U, 503U}) {
    CHECK(parseServerNotice(Status, "1", std::nullopt).m_Leaving);
    CHECK(parseServerNotice(Status, " 1\t", std::nullopt).m_Leaving);
    for (const auto *Value : {"0", "", "2", "11", "true", "-1", "1.0", "1;"})
      CHECK(!parseServerNotice(Status, Value, std::nullopt).m_Leaving);
  }
}

TEST_CASE("server notice: no bytes lead to a pause beyond the limit") {
  CHECK(rc::check([](const std::string &Value) {
    auto Notice = parseServerNotice(503, Value, Value);
    RC_ASSERT(Notice.m_Pause >= Duration::zero());
    RC_ASSERT(Notice.m_Pause <= MaxServerPause);
  }));
}

TEST_CASE("server notice: it is decoded from every kind of response of the "
          "platform's servers") {
  using namespace dotterel::platform;
  auto Headers = HttpHeaders{{.m_Name = "server-leaving", .m_Value = "1"},
                             {.m_Name = "X-Response-Stamp", .m_Value = "s"}};
  for (auto Outcome :
       {HttpOutcome::Complete, HttpOutcome::Broken, HttpOutcome::TimedOut})
    for (auto Status : {200U, 421U, 500U, 503U})
      for (auto Purpose : {AttemptPurpose::Serve, AttemptPurpose::Prefill}) {
        CAPTURE(Status);
        auto Decoded = decodeAttemptResult(
            {.m_Outcome = Outcome, .m_Status = Status, .m_Headers = Headers},
            Purpose, "a:1");
        CHECK(Decoded.m_Report.m_Notice.m_Leaving);
      }
  auto Refusal = HttpHeaders{{.m_Name = "X-Not-Executed", .m_Value = "1"},
                             {.m_Name = "retry-after", .m_Value = "1.5"}};
  auto Decoded = decodeAttemptResult({.m_Outcome = HttpOutcome::Complete,
                                      .m_Status = 503,
                                      .m_Headers = Refusal},
                                     AttemptPurpose::Prefill, "a:1");
  CHECK(Decoded.m_Outcome == AttemptOutcome::NotExecuted);
  CHECK(Decoded.m_Report.m_Notice.m_Pause == Milliseconds(1500));
}
