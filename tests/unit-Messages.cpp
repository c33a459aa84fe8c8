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

auto tokenEvent(const std::string &Id, int Position) -> std::string {
  return fmt::format(R"(data: {{"id":"{}","position":{},"choices":[{{"delta":)"
                     R"({{"content":"x"}},"finish_reason":null}}]}})"
                     "\n\n",
                     Id, Position);
}

auto endOfStream(const std::string &Id, int Position) -> std::string {
  return fmt::format(R"(data: {{"id":"{}","position":{},"choices":[{{"delta":)"
                     R"({{}},"finish_reason":"stop"}}]}})"
                     "\n\ndata: [DONE]\n\n",
                     Id, Position);
}

} // namespace

// A connection can deliver the stream in chunks of any size, and can close
// before the response is complete.
TEST_CASE("EngineStream: complete only after a finish reason and the end "
          "marker, however the bytes are split") {
  auto Text = tokenEvent("a", 0) + tokenEvent("a", 1) + endOfStream("a", 2);
  for (auto ChunkBytes = std::size_t{1}; ChunkBytes < Text.size();
       ChunkBytes += 7) {
    auto Stream = EngineStream(AttemptId{"a"}, CompletionShape::Chat, 0);
    auto Tokens = 0;
    for (auto Offset = std::size_t{0}; Offset < Text.size();
         Offset += ChunkBytes) {
      // Only the newline of the blank line after the end marker may still be
      // missing.
      CHECK(Stream.isComplete() == (Offset + 1 >= Text.size()));
      Stream.feed(std::string_view(Text).substr(Offset, ChunkBytes),
                  [&](const EngineEvent &Item) {
                    Tokens += Item.m_Text == "x" ? 1 : 0;
                  });
    }
    CHECK(Stream.isComplete());
    CHECK(Tokens == 2);
    CHECK(Stream.position() == 2);
  }
}

// The caller would otherwise receive tokens of another request, or a response
// with missing or repeated tokens.
TEST_CASE(
    "EngineStream: rejects another attempt's id, gaps, repeated events, "
    "a wrong first position, events after the end marker and invalid data") {
  auto Ignore = [](const EngineEvent &) {};
  const auto Cases =
      std::vector<std::string>{tokenEvent("b", 0),
                               tokenEvent("a", 1),
                               tokenEvent("a", 0) + tokenEvent("a", 0),
                               tokenEvent("a", 0) + tokenEvent("a", 2),
                               "data: {\n\n",
                               "data: {}\n\n",
                               endOfStream("a", 0) + tokenEvent("a", 1),
                               std::string(2 << 20, 'x')};
  for (const auto &Text : Cases) {
    CAPTURE(Text.substr(0, 60));
    auto Stream = EngineStream(AttemptId{"a"}, CompletionShape::Chat, 0);
    CHECK_THROWS_AS(Stream.feed(Text, Ignore), ProtocolError);
  }
  auto WithoutFinishReason =
      EngineStream(AttemptId{"a"}, CompletionShape::Chat, 0);
  WithoutFinishReason.feed("data: [DONE]\n\n", Ignore);
  CHECK_FALSE(WithoutFinishReason.isComplete());
}

TEST_CASE("IdempotencyKey: both formats contain their time of issue; other "
          "formats are rejected, and keys expire") {
  auto UuidKey = IdempotencyKey::parse("018f4e6a-7b1c-7abc-8def-0123456789AB");
  CHECK(UuidKey.issuedAt() == WallTime(Milliseconds(0x018f4e6a7b1c)));
  auto PrefixedKey = IdempotencyKey::parse("1764820000-filing-4711");
  CHECK(PrefixedKey.issuedAt() == WallTime(Seconds(1764820000)));
  for (const auto *Text :
       {"", "x", "1764820000", "1764820000-", "1764820000-short",
        "99999999999999999999-abcdefgh", "-1-abcdefgh", "1764820000-abc defgh",
        "f47ac10b-58cc-4372-a567-0e02b2c3d479"}) {
    CAPTURE(std::string(Text));
    CHECK_THROWS_AS(IdempotencyKey::parse(Text), ProtocolError);
  }
  auto Now = WallTime(Seconds(1764820000));
  CHECK(PrefixedKey.current(Now));
  CHECK(PrefixedKey.current(Now + IdentityRetention));
  CHECK_FALSE(PrefixedKey.current(Now + IdentityRetention + Seconds(1)));
  CHECK_FALSE(PrefixedKey.current(Now - IdentityClockSkew - Seconds(1)));
}

TEST_CASE(
    "IdempotencyKey: identities differ by organisation and route, but not "
    "by the letter case of a UUID") {
  auto Key = IdempotencyKey::parse("1764820000-filing-4711");
  auto Same = Key.identity(OrganisationId{"o"}, RouteId{"r"});
  CHECK(Same == Key.identity(OrganisationId{"o"}, RouteId{"r"}));
  CHECK(Same != Key.identity(OrganisationId{"p"}, RouteId{"r"}));
  CHECK(Same != Key.identity(OrganisationId{"o"}, RouteId{"s"}));
  CHECK(Same != Key.identity(OrganisationId{"or"}, RouteId{""}));
  // UUIDs are compared without regard to letter case.
  CHECK(IdempotencyKey::parse("018f4e6a-7b1c-7abc-8def-0123456789AB")
            .identity(OrganisationId{"o"}, RouteId{"r"}) ==
        IdempotencyKey::parse("018F4E6A-7b1c-7abc-8def-0123456789ab")
            .identity(OrganisationId{"o"}, RouteId{"r"}));
}

TEST_CASE("Refusal: every code has a definition, a unique name and a document "
          "with code, execution and retry") {
  auto SeenNames = std::set<std::string_view>();
  for (const auto &Definition : refusalDefinitions()) {
    CHECK(definitionOf(Definition.m_Code).m_Name == Definition.m_Name);
    CHECK(SeenNames.insert(Definition.m_Name).second);
    auto Reason = Refusal(Definition.m_Code, Execution::NotRun, "why");
    auto Document =
        nlohmann::json::parse(Reason.document(RequestId{"r"})).at("error");
    CHECK(Document.at("code") == Definition.m_Name);
    CHECK(Document.at("execution") == "not_run");
    CHECK(Document.at("retry") == Definition.m_Retryable);
    CHECK(Document.at("request_id") == "r");
  }
}

// Log values may contain text from callers, with line breaks, quotes and "=".
TEST_CASE("formatFields: values cannot inject log lines or fields") {
  auto Text = formatFields({{"a", "plain"},
                            {"b", "two words"},
                            {"c", "line\nevent=forged x=\"1\""},
                            {"d", ""}});
  CHECK(Text == "a=plain b=\"two words\" c=\"line\\x0aevent=forged "
                "x=\\\"1\\\"\" d=\"\"");
}

TEST_CASE(
    "Supervisor: starts components in order, stops them in reverse order, "
    "restarts them with backoff and escalates") {
  auto Scheduler = VirtualScheduler();
  auto Events = std::string();
  auto Tree = Supervisor(Scheduler, "tree", {.m_MaxFailures = 4});
  auto RemainingFailures = 0;
  for (const auto *Name : {"a", "b"})
    Tree.add(std::make_unique<FunctionComponent>(FunctionComponentOptions{
        .m_Name = Name,
        .m_Start =
            [&Events, &RemainingFailures, Name] {
              if (Name == std::string("b") && RemainingFailures > 0) {
                --RemainingFailures;
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
  RemainingFailures = 2;
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
  RemainingFailures = 100;
  Tree.start();
  Scheduler.advance(Seconds(30));
  CHECK(Escalated == "b");
}
