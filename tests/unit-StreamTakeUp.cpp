#include "support/ServingFakes.h"

#include <doctest/doctest.h>
#include <map>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto FirstEvent = "id: 1\ndata: a\n\n";

/// Origins whose lookups a test answers.
class ScriptedOrigins final : public StreamOrigins {
public:
  auto record(const RequestId &First, const StreamOrigin &Origin)
      -> void override {
    m_Recorded.emplace(First, Origin);
  }
  [[nodiscard]] auto known(const RequestId &First) const
      -> std::optional<StreamOrigin> override {
    auto Found = m_Known.find(First);
    return Found == m_Known.end() ? std::nullopt : std::optional(Found->second);
  }
  auto ask(const RequestId &First, LookupCallback Done)
      -> StreamLookupId override {
    m_Asked.push_back(First);
    m_Done = std::move(Done);
    return StreamLookupId{m_Asked.size()};
  }
  auto cancel(StreamLookupId /*Lookup*/) -> void override {
    ++m_Cancelled;
    m_Done = nullptr;
  }
  auto answer(const std::optional<StreamOrigin> &Origin) -> void {
    auto Done = std::exchange(m_Done, nullptr);
    Done({.m_Origin = Origin, .m_AskedHosts = 5, .m_Answers = 1});
  }

  std::map<RequestId, StreamOrigin> m_Known;
  std::map<RequestId, StreamOrigin> m_Recorded;
  std::vector<RequestId> m_Asked;
  int m_Cancelled = 0;
  LookupCallback m_Done;
};

auto origin(const std::string &Version, const std::string &Service = "llm")
    -> StreamOrigin {
  return {.m_Service = Service, .m_Version = SoftwareVersion{Version}};
}

/// Engines g1 and g2 of version v1, g3 of v2; no prefill engines.
struct VersionFixture : ServingFixture {
  VersionFixture() {
    m_Core.shareOrigins(m_Origins);
    for (const auto *Id : {"p1", "p2"})
      m_Core.directory().remove(BackendId{Id});
    put("g1", "v1");
    put("g2", "v1");
    put("g3", "v2");
  }

  auto put(const std::string &Id, const std::string &Version) -> void {
    m_Core.directory().put({.m_Id = BackendId{Id},
                            .m_Service = ServiceId{"llm"},
                            .m_Address = Id + ":1",
                            .m_DataCentre = DataCentreId{"a"},
                            .m_Slots = 8,
                            .m_Stage = EngineStage::Decode,
                            .m_Version = SoftwareVersion{Version}});
  }

  auto takeUp(const std::string &First, const std::string &Route = "resumable")
      -> std::shared_ptr<CallerView> {
    auto View = std::make_shared<CallerView>();
    m_Core.serve(std::make_shared<FakeExchange>(
        CallerRequest{.m_Id = RequestId{"again"},
                      .m_Host = "h",
                      .m_Path = "/" + Route + "/x",
                      .m_Key = "k",
                      .m_TimeLeft = Seconds(2),
                      .m_ResumeAfter = "1",
                      .m_Resumed = RequestId{First},
                      .m_Method = "POST",
                      .m_Target = "/" + Route + "/x"},
        View));
    return View;
  }

  /// Begins a stream at one of the servers, and returns the server.
  auto begin() -> std::string {
    serve("resumable");
    auto &Sent = m_Transport.m_Sent.back();
    Sent.m_Listener->onBegin({}, {});
    Sent.m_Listener->onData(FirstEvent);
    return Sent.m_Attempt.m_Backend.text();
  }

  [[nodiscard]] auto lastServer() const -> std::string {
    return m_Transport.m_Sent.back().m_Attempt.m_Backend.text();
  }

  ScriptedOrigins m_Origins;
};

auto broken() -> AttemptResult { return {.m_Outcome = AttemptOutcome::Failed}; }

} // namespace

// Guards against one response with events of two software versions: its server
// broke off and the host went on at a server of another version.
TEST_CASE(
    "stream versions: a stream goes on within its response at the version "
    "that began it, or is cut") {
  for (auto Left : {true, false}) {
    CAPTURE(Left);
    auto Test = VersionFixture();
    for (auto Index = 0; Index < 50; ++Index) {
      Test.serve("safe");
      Test.m_Transport.end(
          {.m_Outcome = AttemptOutcome::Complete, .m_Head = {.m_Status = 200}});
    }
    auto View = Test.serve("resumable");
    auto First = Test.lastServer();
    auto &Sent = Test.m_Transport.m_Sent.back();
    Sent.m_Listener->onBegin({}, {});
    Sent.m_Listener->onData(FirstEvent);
    if (First == "g3")
      Test.put("g1", Left ? "v2" : "v1");
    else if (!Left)
      Test.put(First == "g1" ? "g2" : "g1", "v2");
    auto Before = Test.m_Transport.m_Sent.size();
    Test.m_Transport.end(broken());
    if (Left) {
      REQUIRE(Test.m_Transport.m_Sent.size() == Before + 1);
      CHECK(Test.lastServer() ==
            (First == "g3" || First == "g2" ? "g1" : "g2"));
      CHECK_FALSE(View->m_Aborted);
    } else {
      CHECK(Test.m_Transport.m_Sent.size() == Before);
      CHECK(View->m_Aborted);
    }
  }
}

// Guards against a stream that its caller takes up again at another version.
TEST_CASE("stream versions: a caller takes a stream up at the version that "
          "began it, whether this host or another one knows it") {
  for (auto Asked : {false, true})
    for (const auto *Version : {"v1", "v2"}) {
      CAPTURE(Asked);
      CAPTURE(Version);
      auto Test = VersionFixture();
      auto First = RequestId{"first"};
      if (!Asked)
        Test.m_Origins.m_Known.emplace(First, origin(Version));
      auto View = Test.takeUp("first");
      if (Asked) {
        CHECK(Test.m_Transport.m_Sent.empty());
        REQUIRE(Test.m_Origins.m_Asked == std::vector{First});
        Test.m_Origins.answer(origin(Version));
      }
      REQUIRE(Test.m_Transport.m_Sent.size() == 1);
      CHECK((Test.lastServer() == "g3") == (std::string(Version) == "v2"));
      CHECK(Test.m_Transport.m_Sent[0].m_Attempt.m_ResumeAfter == "1");
      auto &Listener = *Test.m_Transport.m_Sent[0].m_Listener;
      Listener.onBegin({}, {});
      // Kept under the request that began it, which the caller names again.
      CHECK(Test.m_Origins.m_Recorded.at(First) == origin(Version));
      CHECK_FALSE(Test.m_Origins.m_Recorded.contains(RequestId{"again"}));
    }
}

// Guards against a guess: after a restart a host knows neither the streams nor
// which versions were in service before.
TEST_CASE("stream versions: a stream whose origin no host knows is refused and "
          "not sent, also if one version alone is in service") {
  for (auto Named : {true, false}) {
    CAPTURE(Named);
    auto Test = VersionFixture();
    Test.put("g3", "v1");
    auto View = Test.takeUp(Named ? "first" : "");
    if (Named)
      Test.m_Origins.answer(std::nullopt);
    REQUIRE(View->m_Refusal);
    CHECK(View->m_Refusal->code() == RefusalCode::StreamUnknown);
    CHECK(View->m_Refusal->execution() == Execution::NotRun);
    CHECK(Test.m_Transport.m_Sent.empty());
    Test.destroyEnded();
    CHECK(Test.m_Core.active() == 0);
  }
}

TEST_CASE("stream versions: a stream whose version has left is refused and not "
          "sent") {
  auto Test = VersionFixture();
  Test.m_Origins.m_Known.emplace(RequestId{"first"}, origin("v0"));
  auto View = Test.takeUp("first");
  REQUIRE(View->m_Refusal);
  CHECK(View->m_Refusal->code() == RefusalCode::NoBackend);
  CHECK(View->m_Refusal->execution() == Execution::NotRun);
  CHECK(Test.m_Transport.m_Sent.empty());
}

TEST_CASE("stream versions: a stream of a service that the route does not lead "
          "to is refused") {
  auto Test = VersionFixture();
  Test.m_Origins.m_Known.emplace(RequestId{"first"}, origin("v1", "other"));
  auto View = Test.takeUp("first");
  REQUIRE(View->m_Refusal);
  CHECK(View->m_Refusal->code() == RefusalCode::NoBackend);
}

TEST_CASE("stream versions: a lookup ends with its request") {
  auto Test = VersionFixture();
  auto View = Test.takeUp("first");
  REQUIRE(Test.m_Origins.m_Done);
  View->m_OnDisconnect();
  CHECK(Test.m_Origins.m_Cancelled == 1);
  Test.destroyEnded();
  CHECK(Test.m_Core.active() == 0);
  auto Late = Test.takeUp("first");
  Test.m_Scheduler.advance(Seconds(3));
  REQUIRE(Late->m_Refusal);
  CHECK(Late->m_Refusal->code() == RefusalCode::DeadlineExceeded);
  CHECK(Test.m_Origins.m_Cancelled == 2);
}

TEST_CASE("stream versions: a stream is recorded when it begins, before its "
          "caller gets its head") {
  auto Test = VersionFixture();
  auto Server = Test.begin();
  REQUIRE(Test.m_Origins.m_Recorded.size() == 1);
  CHECK(Test.m_Origins.m_Recorded.begin()->second ==
        origin(Server == "g3" ? "v2" : "v1"));
}

TEST_CASE("stream versions: without other hosts a host takes up the streams "
          "that it served") {
  auto Test = ServingFixture();
  Test.serve("resumable");
  Test.m_Transport.m_Sent.back().m_Listener->onBegin({}, {});
  Test.m_Transport.m_Sent.back().m_Listener->onData(FirstEvent);
  auto Take = [&](const std::string &First) {
    auto View = std::make_shared<CallerView>();
    Test.m_Core.serve(std::make_shared<FakeExchange>(
        CallerRequest{.m_Id = RequestId{"again"},
                      .m_Host = "h",
                      .m_Path = "/resumable/x",
                      .m_Key = "k",
                      .m_ResumeAfter = "1",
                      .m_Resumed = RequestId{First}},
        View));
    Test.m_Scheduler.advance(Milliseconds(1));
    return View;
  };
  CHECK_FALSE(Take("1")->m_Refusal);
  REQUIRE(Take("2")->m_Refusal);
}
