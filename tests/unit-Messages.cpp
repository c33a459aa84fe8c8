#include "support/VirtualScheduler.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/gate/EngineStream.h"
#include "dotterel/gate/Refusal.h"
#include "dotterel/ledger/IdempotencyKey.h"
#include "dotterel/supervision/FunctionComponent.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

using namespace dotterel;
using namespace dotterel::test;

namespace {

auto event(const std::string &Id, int Position) -> std::string {
  return fmt::format(R"(data: {{"id":"{}","position":{},"choices":[{{"delta":)"
                     R"({{"content":"x"}},"finish_reason":null}}]}})"
                     "\n\n",
                     Id, Position);
}

auto ending(const std::string &Id, int Position) -> std::string {
  return fmt::format(R"(data: {{"id":"{}","position":{},"choices":[{{"delta":)"
                     R"({{}},"finish_reason":"stop"}}]}})"
                     "\n\ndata: [DONE]\n\n",
                     Id, Position);
}

} // namespace

TEST_CASE("stream: whole only with finish reason and end marker, in any cut of "
          "its bytes") {
  auto Text = event("a", 0) + event("a", 1) + ending("a", 2);
  for (auto Piece = std::size_t{1}; Piece < Text.size(); Piece += 7) {
    auto Stream = EngineStream(AttemptId{"a"}, CompletionShape::Chat, 0);
    auto Tokens = 0;
    for (auto At = std::size_t{0}; At < Text.size(); At += Piece) {
      // The marker's line is complete but for the blank line behind it.
      CHECK(Stream.whole() == (At + 1 >= Text.size()));
      Stream.feed(std::string_view(Text).substr(At, Piece),
                  [&](const EngineEvent &Item) {
                    Tokens += Item.m_Text == "x" ? 1 : 0;
                  });
    }
    CHECK(Stream.whole());
    CHECK(Tokens == 2);
    CHECK(Stream.position() == 2);
  }
}

TEST_CASE("stream: another id, a gap, a repeat, an early start and garbage are "
          "refused") {
  auto Ignore = [](const EngineEvent &) {};
  const auto Cases = std::vector<std::string>{event("b", 0),
                                              event("a", 1),
                                              event("a", 0) + event("a", 0),
                                              event("a", 0) + event("a", 2),
                                              "data: {\n\n",
                                              "data: {}\n\n",
                                              ending("a", 0) + event("a", 1),
                                              std::string(2 << 20, 'x')};
  for (const auto &Text : Cases) {
    CAPTURE(Text.substr(0, 60));
    auto Stream = EngineStream(AttemptId{"a"}, CompletionShape::Chat, 0);
    CHECK_THROWS_AS(Stream.feed(Text, Ignore), ProtocolError);
  }
  auto Cut = EngineStream(AttemptId{"a"}, CompletionShape::Chat, 0);
  Cut.feed("data: [DONE]\n\n", Ignore);
  CHECK_FALSE(Cut.whole());
}

TEST_CASE("idempotency key: both shapes carry their time; others are refused") {
  auto Uuid = IdempotencyKey::parse("018f4e6a-7b1c-7abc-8def-0123456789AB");
  CHECK(Uuid.issuedAt() == WallTime(Milliseconds(0x018f4e6a7b1c)));
  auto Prefixed = IdempotencyKey::parse("1764820000-filing-4711");
  CHECK(Prefixed.issuedAt() == WallTime(Seconds(1764820000)));
  for (const auto *Text :
       {"", "x", "1764820000", "1764820000-", "1764820000-short",
        "99999999999999999999-abcdefgh", "-1-abcdefgh", "1764820000-abc defgh",
        "f47ac10b-58cc-4372-a567-0e02b2c3d479"}) {
    CAPTURE(std::string(Text));
    CHECK_THROWS_AS(IdempotencyKey::parse(Text), ProtocolError);
  }
  auto Now = WallTime(Seconds(1764820000));
  CHECK(Prefixed.current(Now));
  CHECK(Prefixed.current(Now + IdentityRetention));
  CHECK_FALSE(Prefixed.current(Now + IdentityRetention + Seconds(1)));
  CHECK_FALSE(Prefixed.current(Now - IdentityClockSkew - Seconds(1)));
}

TEST_CASE("idempotency key: identities differ by organisation, route and key") {
  auto Key = IdempotencyKey::parse("1764820000-filing-4711");
  auto Same = Key.identity(OrganisationId{"o"}, RouteId{"r"});
  CHECK(Same == Key.identity(OrganisationId{"o"}, RouteId{"r"}));
  CHECK(Same != Key.identity(OrganisationId{"p"}, RouteId{"r"}));
  CHECK(Same != Key.identity(OrganisationId{"o"}, RouteId{"s"}));
  CHECK(Same != Key.identity(OrganisationId{"or"}, RouteId{""}));
  // A UUID is the same in either case.
  CHECK(IdempotencyKey::parse("018f4e6a-7b1c-7abc-8def-0123456789AB")
            .identity(OrganisationId{"o"}, RouteId{"r"}) ==
        IdempotencyKey::parse("018F4E6A-7b1c-7abc-8def-0123456789ab")
            .identity(OrganisationId{"o"}, RouteId{"r"}));
}

TEST_CASE("refusals: every code has a shape, a name of its own and a document "
          "with code, execution and retry") {
  auto Names = std::set<std::string_view>();
  for (const auto &Shape : refusalShapes()) {
    CHECK(shapeOf(Shape.m_Code).m_Name == Shape.m_Name);
    CHECK(Names.insert(Shape.m_Name).second);
    auto Reason = Refusal(Shape.m_Code, Execution::NotRun, "why");
    auto Document =
        nlohmann::json::parse(Reason.document(RequestId{"r"})).at("error");
    CHECK(Document.at("code") == Shape.m_Name);
    CHECK(Document.at("execution") == "not_run");
    CHECK(Document.at("retry") == Shape.m_Retry);
    CHECK(Document.at("request_id") == "r");
  }
}

TEST_CASE("log: values cannot forge lines or fields") {
  auto Text = formatFields({{"a", "plain"},
                            {"b", "two words"},
                            {"c", "line\nevent=forged x=\"1\""},
                            {"d", ""}});
  CHECK(Text == "a=plain b=\"two words\" c=\"line\\x0aevent=forged "
                "x=\\\"1\\\"\" d=\"\"");
}

TEST_CASE("supervisor: starts in order, stops in reverse, restarts with "
          "backoff, and escalates") {
  auto Scheduler = VirtualScheduler();
  auto Events = std::string();
  auto Tree = Supervisor(Scheduler, "tree", {.m_MaximumFailures = 4});
  auto Failing = 0;
  for (const auto *Name : {"a", "b"})
    Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
        .m_Name = Name,
        .m_Start =
            [&Events, &Failing, Name] {
              if (Name == std::string("b") && Failing > 0) {
                --Failing;
                throw std::runtime_error("no");
              }
              Events += std::string("+") + Name;
            },
        .m_Reset = [] {},
        .m_Stop =
            [&Events, &Scheduler, Name](std::function<void()> Done) {
              Events += std::string("-") + Name;
              Scheduler.schedule(Seconds(1), std::move(Done));
            }}));
  auto Escalated = std::string();
  Tree.onEscalation([&](const std::string &Name) { Escalated = Name; });
  Failing = 2;
  Tree.start();
  CHECK(Events == "+a");
  Scheduler.advance(Seconds(1));
  CHECK(Events == "+a+b");
  auto Stopped = false;
  Tree.stop([&] { Stopped = true; });
  Scheduler.advance(Milliseconds(1500));
  CHECK(Events == "+a+b-b-a");
  CHECK_FALSE(Stopped);
  Scheduler.advance(Seconds(1));
  CHECK(Stopped);
  Events.clear();
  Failing = 100;
  Tree.start();
  Scheduler.advance(Seconds(30));
  CHECK(Escalated == "b");
}
