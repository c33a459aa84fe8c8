#include "dotterel/serving/CrashMonitor.h"
#include "support/ServingFakes.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>

using namespace dotterel;
using namespace dotterel::test;

namespace {

struct MonitorFixture {
  VirtualScheduler m_Scheduler;
  FakeTransport m_Transport;
  ServingMetrics m_Metrics;
  CrashMonitor m_Monitor{m_Scheduler, m_Transport, m_Metrics, {}};

  static auto server(int Number, std::uint64_t StartedAt = 1)
      -> BackendIncarnation {
    auto Id = fmt::format("e{}", Number);
    return {.m_Id = BackendId{Id},
            .m_StartedAt = StartedAt,
            .m_Address = Id + ":1",
            .m_DataCentre = DataCentreId{"a"}};
  }

  /// An attempt with these digests crashes the server: it was sent now and
  /// breaks 100 ms later.
  auto crash(const BackendIncarnation &Server, const RequestDigests &Digests)
      -> void {
    auto SentAt = m_Scheduler.now();
    m_Scheduler.advance(Milliseconds(100));
    m_Transport.m_LostAddresses.insert(Server.m_Address);
    m_Monitor.attemptBroken(Server, Digests, SentAt);
    m_Transport.endChecks();
    m_Transport.m_LostAddresses.erase(Server.m_Address);
    m_Scheduler.advance(Milliseconds(900));
  }
};

const auto Engines = ServiceSpec{.m_Id = ServiceId{"llm"},
                                 .m_Engine = EngineTraits{.m_Slots = 8}};

/// Digests of a prompt, whose own part follows \p SharedParts.
auto prompt(const std::string &Own, const std::vector<std::string> &SharedParts)
    -> RequestDigests {
  auto Shape = PromptShape();
  for (const auto &Id : SharedParts)
    Shape.m_Parts.push_back({.m_Id = Id});
  Shape.m_Parts.push_back({.m_Id = Own});
  return digestsOf({.m_Id = RequestId{Own}, .m_Prompt = Shape}, Engines,
                   OrganisationId{"o"});
}

auto digestOf(const std::string &PartId) -> RequestDigest {
  return digestPromptPart(ModelId{"llm"}, PartId);
}

} // namespace

TEST_CASE("crash monitor: the digests of requests differ by each property of "
          "the content, and parts are digested except the last") {
  auto Request = CallerRequest{
      .m_Id = RequestId{"1"},
      .m_Prompt = PromptShape{.m_Parts = {{.m_Id = "a"}, {.m_Id = "b"}}},
      .m_Method = "POST",
      .m_Target = "/x",
      .m_Body = "body"};
  auto Organisation = OrganisationId{"o"};
  auto First = digestsOf(Request, Engines, Organisation);
  REQUIRE(First.m_Parts.size() == 1);
  CHECK(First.m_Parts[0].m_Id == "a");
  CHECK(First.m_Parts[0].m_Digest == digestOf("a"));
  auto Resent = Request;
  Resent.m_Id = RequestId{"2"};
  CHECK(digestsOf(Resent, Engines, Organisation).m_Content == First.m_Content);
  CHECK(digestsOf(Request, Engines, OrganisationId{"p"}).m_Content !=
        First.m_Content);
  auto Moved = digestsOf(Request, {.m_Id = ServiceId{"desk"}}, Organisation);
  CHECK(Moved.m_Parts.empty());
  CHECK(Moved.m_Content != First.m_Content);
  CHECK(Moved.m_ContentAnywhere == First.m_ContentAnywhere);
  CHECK(First.m_ContentAnywhere != First.m_Content);
  auto Vary = [&](auto Change) {
    auto Other = Request;
    Change(Other);
    auto Digests = digestsOf(Other, Engines, Organisation);
    CHECK(Digests.m_Content != First.m_Content);
    CHECK(Digests.m_ContentAnywhere != First.m_ContentAnywhere);
  };
  auto OtherHost = Request;
  OtherHost.m_Host = "other.example";
  CHECK(digestsOf(OtherHost, Engines, Organisation).m_ContentAnywhere !=
        First.m_ContentAnywhere);
  Vary([](CallerRequest &Other) { Other.m_Method = "PUT"; });
  Vary([](CallerRequest &Other) { Other.m_Target = "/y"; });
  Vary([](CallerRequest &Other) { Other.m_Body = "other"; });
  Vary([](CallerRequest &Other) { Other.m_Prompt->m_Parts[1].m_Id = "c"; });
  Vary([](CallerRequest &Other) {
    Other.m_Target = "/xbody";
    Other.m_Body = "";
  });
}

TEST_CASE("crash monitor: a part on which three servers crash one after "
          "another is quarantined, and its content is found in any request") {
  auto Test = MonitorFixture();
  for (auto Number = 1; Number <= 3; ++Number) {
    auto Crashing =
        prompt(fmt::format("own{}", Number), {"shared", "crashing"});
    CHECK_FALSE(Test.m_Monitor.quarantined(Crashing));
    Test.crash(MonitorFixture::server(Number), Crashing);
    Test.m_Monitor.attemptSucceeded(prompt("sound", {"shared"}));
  }
  CHECK(Test.m_Monitor.quarantined(prompt("x", {"crashing", "y"})) ==
        digestOf("crashing"));
  CHECK_FALSE(Test.m_Monitor.quarantined(prompt("x", {"shared"})));
  CHECK_FALSE(Test.m_Monitor.quarantined(prompt("crashing", {"shared"})));
  CHECK(Test.m_Metrics.text().find(
            "dotterel_serving_quarantined_digests 1\n") != std::string::npos);
  CHECK(Test.m_Metrics.text().find("dotterel_serving_lost_servers_total 3\n") !=
        std::string::npos);
}

TEST_CASE("crash monitor: crashes of one server count once for each time that "
          "it started") {
  for (auto Restarts : {false, true}) {
    auto Test = MonitorFixture();
    for (auto StartedAt = 1U; StartedAt <= 3; ++StartedAt) {
      Test.crash(MonitorFixture::server(1, Restarts ? StartedAt : 1),
                 prompt("x", {"crashing"}));
      Test.m_Scheduler.advance(Seconds(2));
    }
    CHECK(Test.m_Monitor.quarantined(prompt("y", {"crashing"})).has_value() ==
          Restarts);
  }
}

// Guards against refusing the requests of a data centre that loses its power.
TEST_CASE("crash monitor: the loss of many servers at once quarantines "
          "nothing") {
  auto Test = MonitorFixture();
  auto SentAt = Test.m_Scheduler.now();
  Test.m_Scheduler.advance(Milliseconds(100));
  for (auto Number = 0; Number < 20; ++Number) {
    auto Server = MonitorFixture::server(Number);
    Test.m_Transport.m_LostAddresses.insert(Server.m_Address);
    Test.m_Monitor.attemptBroken(Server, prompt("x", {"shared"}), SentAt);
    Test.m_Scheduler.advance(Milliseconds(20));
  }
  Test.m_Transport.endChecks();
  CHECK(Test.m_Monitor.registry().verdict(digestOf("shared")) ==
        CrashVerdict::Suspect);
}

TEST_CASE("crash monitor: broken connections of a server that is reachable are "
          "no evidence") {
  auto Test = MonitorFixture();
  auto Changes = 0;
  Test.m_Monitor.onChange([&Changes](const auto &) { ++Changes; });
  for (auto Number = 0; Number < 10; ++Number) {
    Test.m_Monitor.attemptBroken(MonitorFixture::server(Number),
                                 prompt("x", {"shared"}),
                                 Test.m_Scheduler.now());
    Test.m_Transport.endChecks();
    Test.m_Scheduler.advance(Milliseconds(100));
    Test.m_Transport.endChecks();
    Test.m_Scheduler.advance(Milliseconds(400));
    CHECK(Test.m_Transport.m_Checks.empty());
  }
  CHECK(Test.m_Monitor.registry().reports(Test.m_Scheduler.now()).empty());
  CHECK(Changes == 0);
}

TEST_CASE("crash monitor: all attempts that break with a server join one "
          "check, and its result is reused for a second") {
  auto Test = MonitorFixture();
  auto Server = MonitorFixture::server(1);
  Test.m_Transport.m_LostAddresses.insert(Server.m_Address);
  auto SentAt = Test.m_Scheduler.now();
  Test.m_Scheduler.advance(Milliseconds(100));
  auto Break = [&](const char *Part) {
    Test.m_Monitor.attemptBroken(Server, prompt("x", {Part}), SentAt);
  };
  auto Verdict = [&](const char *Part) {
    return Test.m_Monitor.registry().verdict(digestOf(Part));
  };
  Break("a");
  Break("b");
  REQUIRE(Test.m_Transport.m_Checks.size() == 1);
  CHECK(Test.m_Transport.m_Checks[0].m_Address == Server.m_Address);
  CHECK(Verdict("a") == CrashVerdict::Clear);
  Test.m_Transport.endChecks();
  CHECK(Verdict("a") == CrashVerdict::Suspect);
  CHECK(Verdict("b") == CrashVerdict::Suspect);
  Test.m_Scheduler.advance(Milliseconds(900));
  Break("c");
  CHECK(Test.m_Transport.m_Checks.empty());
  CHECK(Verdict("c") == CrashVerdict::Suspect);
  // Sent after the server was lost.
  SentAt = Test.m_Scheduler.now();
  Break("d");
  CHECK(Verdict("d") == CrashVerdict::Clear);
  Test.m_Scheduler.advance(Milliseconds(100));
  Break("e");
  CHECK(Test.m_Transport.m_Checks.size() == 1);
}

// Guards against missing the loss of a server that closes its connections just
// before it stops to accept new ones.
TEST_CASE("crash monitor: a server that still accepts connections is checked "
          "once more before its attempts are no evidence") {
  auto Test = MonitorFixture();
  auto Server = MonitorFixture::server(1);
  auto SentAt = Test.m_Scheduler.now();
  Test.m_Scheduler.advance(Milliseconds(1));
  Test.m_Monitor.attemptBroken(Server, prompt("x", {"a"}), SentAt);
  Test.m_Transport.endChecks();
  Test.m_Transport.m_LostAddresses.insert(Server.m_Address);
  Test.m_Monitor.attemptBroken(Server, prompt("x", {"b"}), SentAt);
  CHECK(Test.m_Transport.m_Checks.empty());
  Test.m_Scheduler.advance(Milliseconds(100));
  REQUIRE(Test.m_Transport.m_Checks.size() == 1);
  Test.m_Transport.endChecks();
  for (const auto *Part : {"a", "b"})
    CHECK(Test.m_Monitor.registry().verdict(digestOf(Part)) ==
          CrashVerdict::Suspect);
}

TEST_CASE("crash monitor: the number of checks and of attempts that wait for "
          "one is bounded") {
  auto Test = MonitorFixture();
  for (auto Number = 0; Number < 1000; ++Number) {
    Test.m_Monitor.attemptBroken(MonitorFixture::server(Number),
                                 prompt("x", {"shared"}),
                                 Test.m_Scheduler.now());
    Test.m_Monitor.attemptBroken(MonitorFixture::server(0),
                                 prompt(std::to_string(Number), {}),
                                 Test.m_Scheduler.now());
  }
  CHECK(Test.m_Transport.m_Checks.size() == 256);
  Test.m_Transport.m_LostAddresses.insert("e0:1");
  Test.m_Transport.endChecks();
  // Two digests of each content; the first attempt has a part as well.
  CHECK(Test.m_Monitor.registry().reports(Test.m_Scheduler.now()).size() ==
        2 * 256 + 1);
}

// Guards against blaming a part that a request with it has just been proved
// sound, because the check of the server ended later.
TEST_CASE("crash monitor: a success between the loss of a server and the end "
          "of its check clears the digests") {
  auto Test = MonitorFixture();
  auto Server = MonitorFixture::server(1);
  Test.m_Transport.m_LostAddresses.insert(Server.m_Address);
  Test.m_Monitor.attemptBroken(Server, prompt("x", {"shared", "crashing"}),
                               Test.m_Scheduler.now());
  Test.m_Monitor.attemptSucceeded(prompt("y", {"shared"}));
  Test.m_Transport.endChecks();
  CHECK(Test.m_Monitor.registry().verdict(digestOf("shared")) ==
        CrashVerdict::Clear);
  CHECK(Test.m_Monitor.registry().verdict(digestOf("crashing")) ==
        CrashVerdict::Suspect);
}

TEST_CASE("crash monitor: a success releases a quarantined part, and evidence "
          "expires") {
  auto Test = MonitorFixture();
  auto Request = prompt("x", {"part"});
  auto Quarantine = [&](std::uint64_t StartedAt) {
    for (auto Number = 1; Number <= 3; ++Number)
      Test.crash(MonitorFixture::server(Number, StartedAt), Request);
    CHECK(Test.m_Monitor.quarantined(Request));
  };
  Quarantine(1);
  Test.m_Monitor.attemptSucceeded(Request);
  CHECK_FALSE(Test.m_Monitor.quarantined(Request));
  Quarantine(2);
  Test.m_Scheduler.advance(Seconds(590));
  CHECK(Test.m_Monitor.quarantined(Request));
  Test.m_Scheduler.advance(Seconds(20));
  CHECK_FALSE(Test.m_Monitor.quarantined(Request));
  CHECK(Test.m_Metrics.text().find(
            "dotterel_serving_quarantined_digests 0\n") != std::string::npos);
}

TEST_CASE("crash monitor: the digests that changed by own observation are "
          "announced, and quarantine another host once they are merged") {
  auto First = MonitorFixture();
  auto Second = MonitorFixture();
  auto Announced = 0;
  auto Transfer = [&](const std::vector<RequestDigest> &Digests) {
    for (auto Digest : Digests) {
      ++Announced;
      Second.m_Monitor.merge(
          {*First.m_Monitor.registry().report(Digest, First.m_Scheduler.now())},
          First.m_Scheduler.now());
    }
  };
  First.m_Monitor.onChange(Transfer);
  auto SecondAnnounced = 0;
  Second.m_Monitor.onChange([&](const auto &) { ++SecondAnnounced; });
  auto Request = prompt("x", {"part"});
  for (auto Number = 1; Number <= 3; ++Number)
    First.crash(MonitorFixture::server(Number), Request);
  // The part, and two digests of the content, with each loss.
  CHECK(Announced == 3 * 3);
  CHECK(Second.m_Monitor.quarantined(prompt("y", {"part"})));
  First.m_Monitor.attemptSucceeded(prompt("y", {"part"}));
  CHECK(Announced == 3 * 3 + 1);
  CHECK_FALSE(Second.m_Monitor.quarantined(prompt("y", {"part"})));
  CHECK(SecondAnnounced == 0);
  // A success that refutes nothing changes nothing.
  First.m_Monitor.attemptSucceeded(prompt("y", {"part"}));
  CHECK(Announced == 3 * 3 + 1);
}

TEST_CASE("crash monitor: a part with a success after each loss is never "
          "quarantined, for any sequence of losses and successes") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Steps) {
    auto Test = MonitorFixture();
    auto Server = 0;
    auto Attempts = std::vector<MonotonicTime>();
    for (auto Step : Steps) {
      auto Request = prompt(std::to_string(Step), {"sound", "crashing"});
      switch (Step % 4) {
      case 0:
        Attempts.push_back(Test.m_Scheduler.now());
        break;
      case 1: {
        // All attempts in flight are lost with one server.
        auto Lost = MonitorFixture::server(++Server);
        Test.m_Transport.m_LostAddresses.insert(Lost.m_Address);
        for (auto SentAt : Attempts)
          Test.m_Monitor.attemptBroken(Lost, Request, SentAt);
        Test.m_Monitor.attemptBroken(Lost, Request, Test.m_Scheduler.now());
        Attempts.clear();
        // Either comes first: the end of the check or the success.
        if (Step % 8 < 4)
          Test.m_Transport.endChecks();
        Test.m_Monitor.attemptSucceeded(prompt("y", {"sound"}));
        Test.m_Transport.endChecks();
        break;
      }
      case 2:
        Test.m_Monitor.attemptSucceeded(prompt("y", {"sound"}));
        break;
      default:
        Test.m_Scheduler.advance(Milliseconds(Step * 10));
      }
      RC_ASSERT(!Test.m_Monitor.quarantined(prompt("z", {"sound"})));
      RC_ASSERT(
          Test.m_Monitor.quarantined(prompt("z", {"crashing"})).has_value() ==
          (Server >= 3));
    }
  }));
}

TEST_CASE("crash monitor: a check that ends after the monitor is ignored") {
  auto Test = std::make_unique<MonitorFixture>();
  Test->m_Monitor.attemptBroken(MonitorFixture::server(1),
                                prompt("x", {"part"}), Test->m_Scheduler.now());
  auto Done = Test->m_Transport.m_Checks.at(0).m_Done;
  Test.reset();
  Done(false);
  Done(true);
}

// Guards against losing a loss: an idle connection that its server closed
// starts a check, the request is sent to the same server again, and crashes it.
TEST_CASE("crash monitor: a crash soon after a check that found the server "
          "reachable is evidence") {
  auto Test = MonitorFixture();
  for (auto Number = 1; Number <= 3; ++Number) {
    auto Server = MonitorFixture::server(Number);
    auto Crashing = prompt(fmt::format("own{}", Number), {"crashing"});
    Test.m_Monitor.attemptBroken(Server, Crashing, Test.m_Scheduler.now());
    Test.m_Transport.endChecks();
    Test.m_Scheduler.advance(Milliseconds(100));
    Test.m_Transport.endChecks();
    Test.m_Scheduler.advance(Milliseconds(100));
    Test.crash(Server, Crashing);
  }
  CHECK(Test.m_Monitor.quarantined(prompt("x", {"crashing"})));
}

// Guards against a trial that goes on to a second engine although the trial of
// another host has shown meanwhile that the part crashes servers.
TEST_CASE(
    "crash monitor: a trial ends when the loss of another trial shows that "
    "the part crashes servers") {
  auto Test = MonitorFixture();
  for (auto Number = 1; Number <= 3; ++Number)
    Test.crash(MonitorFixture::server(Number),
               prompt(fmt::format("own{}", Number), {"shared", "crashing"}));
  auto Request = prompt("x", {"other", "crashing"});
  auto Trial = Test.m_Monitor.beginTrial(Request);
  REQUIRE(Trial);
  CHECK_FALSE(Test.m_Monitor.quarantined(Request, Trial.get()));
  Test.crash(MonitorFixture::server(4), prompt("y", {"third", "crashing"}));
  CHECK(Test.m_Monitor.quarantined(Request, Trial.get()));
}
