#include "dotterel/base/Errors.h"
#include "platform/CallerRequestHandler.h"
#include "platform/EngineTransport.h"
#include "platform/HeaderFilter.h"
#include "platform/NodeSettings.h"
#include "platform/PlatformStore.h"
#include "platform/RecordDecoder.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;
using namespace dotterel::platform;

namespace {

const auto SettingsText =
    std::string("node_name=n1\nzone=z1\nregion=r1\nzones.z1=r1\nzones.z2=r2\n"
                "listen.front=10.0.0.1:80\nlisten.ready=10.0.0.1:81\n"
                "ip=10.0.0.1\ninternal_ports=7660,7675\n"
                "platform.address=10.9.0.1:82\ncloud.address=10.9.0.2:83\n"
                "bounds.revoke_ms=4000\nbounds.strict_revoke=true\n"
                "bounds.grace_s=6.5\na.new.field=x\nlimits.max_fds=4100\n");

const auto Configuration = std::string(R"({"version":7,
  "routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"streaming",
    "timeout_ms":5000,"target_latency_ms":800,"priority":1,
    "traffic_split":[{"service":"s","weight":90},{"service":"t","weight":10}],
    "max_attempts":2,"public":false,"session_affinity":true,"resumable":true,
    "target_gap_ms":300}],
  "services":[{"name":"s","health_path":"/health","max_connections":370,
    "engine":{"slots":64,"kv_capacity_tokens":404438,"kv_token_bytes":18432,
      "link_mbps":370000.0,"kv_hold_s":5.0,"role_switch_s":3.0},
    "scaling":{"min":1,"max":6,"boot_s":4.0,"spot_price":0.22,
      "zone_prices":{"z1":0.85}}},{"name":"t"}],
  "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
    "header_timeout_ms":3000,"idle_timeout_ms":15000},
  "tenants":[{"name":"o","api_keys":["k1","k2"],"priority":1}]})");

/// Records calls. The test responds to them through their callbacks.
class FakeClient final : public HttpClient {
public:
  auto start(HttpCall Call) -> HttpCallId override {
    m_Calls.push_back(std::move(Call));
    return HttpCallId{m_Calls.size()};
  }
  auto cancel(HttpCallId Call) -> void override {
    m_Cancelled.push_back(Call.number());
  }

  std::vector<HttpCall> m_Calls;
  std::vector<std::uint64_t> m_Cancelled;
};

class RecordingListener final : public AttemptListener {
public:
  auto onBegin(const ResponseHead & /*Head*/, const ServerReport & /*Report*/)
      -> void override {
    m_Begun = true;
  }
  auto onData(std::string_view Data) -> void override { m_Data += Data; }
  auto onEnd(AttemptResult Result) -> void override {
    m_Results.push_back(std::move(Result));
  }

  bool m_Begun = false;
  std::string m_Data;
  std::vector<AttemptResult> m_Results;
};

auto message(HttpHeaders Headers) -> HttpRequest {
  Headers.push_back({.m_Name = "Host", .m_Value = "h"});
  return {.m_Method = "POST",
          .m_Path = "/a/b",
          .m_Target = "/a/b?c",
          .m_Headers = std::move(Headers)};
}

} // namespace

TEST_CASE(
    "platform settings: known fields are read, unknown fields are ignored") {
  auto Settings = decodeNodeSettings(SettingsText);
  CHECK(Settings.m_Location.m_Host.text() == "n1");
  CHECK(Settings.m_PeerAddress == "10.0.0.1:7675");
  CHECK(Settings.m_Bounds.m_KeyWithdrawal == Seconds(4));
  CHECK(Settings.m_Bounds.m_ShutdownGrace == Milliseconds(6500));
  CHECK(Settings.m_Regions.at(DataCentreId{"z2"}).text() == "r2");
}

TEST_CASE("platform settings: the error names each invalid or missing field") {
  struct Case {
    const char *m_Line;
    const char *m_Field;
  };
  for (const auto &Current :
       {Case{"bounds.revoke_ms=soon", "bounds.revoke_ms"},
        Case{"bounds.revoke_ms=-5", "bounds.revoke_ms"},
        Case{"bounds.strict_revoke=perhaps", "bounds.strict_revoke"},
        Case{"limits.max_fds=3", "limits.max_fds"},
        Case{"listen.front=nowhere", "listen.front"},
        Case{"platform.address=", "platform.address"},
        Case{"node_name=", "node_name"}}) {
    CAPTURE(Current.m_Line);
    try {
      decodeNodeSettings(SettingsText + Current.m_Line + "\n");
      FAIL("accepted");
    } catch (const SettingsError &Failure) {
      CHECK(std::string(Failure.what()).find(Current.m_Field) !=
            std::string::npos);
    }
  }
}

TEST_CASE("platform records: a configuration is decoded with its units") {
  auto Decoded = decodeConfiguration(Configuration);
  CHECK(Decoded.m_Revision == ConfigRevision{7});
  const auto &Route = Decoded.m_Routes.at(0);
  CHECK(Route.m_Kind == RequestKind::Stream);
  CHECK(Route.m_GapTarget == Milliseconds(300));
  CHECK(Route.m_Shares.size() == 2);
  CHECK(Route.repeatable());
  const auto &Service = Decoded.m_Services.at(ServiceId{"s"});
  CHECK(Service.m_Engine->m_RoleChangeTime == Seconds(3));
  CHECK(Service.m_Bounds->m_Prices.at(DataCentreId{"z1"}) ==
        doctest::Approx(0.85));
  CHECK(Decoded.m_Keys.at("k2").m_Organisation.text() == "o");
  CHECK(Decoded.m_Limits.m_IdleTimeout == Seconds(15));
}

namespace {

/// Returns a configuration whose organisation "o" has the fields \p Fields.
auto limited(const std::string &Fields) -> std::string {
  return R"({"version":1,"routes":[],"services":[],"tenants":[{"name":"o",)"
         R"("api_keys":["k"])" +
         Fields + "}]}";
}

} // namespace

TEST_CASE("platform records: limits of organisations are decoded with their "
          "unit") {
  auto Tokens = decodeConfiguration(limited(
      R"(,"unit":"tokens","plain_tokens":200,"rate_per_s":1.5,"burst":7)"));
  CHECK(Tokens.m_OrganisationLimits.at(OrganisationId{"o"}) ==
        OrganisationLimit{.m_Unit = LimitUnit::Tokens,
                          .m_PerSecond = LimitAmount{1.5},
                          .m_Burst = LimitAmount{7},
                          .m_UnstatedTokens = LimitAmount{200}});
  auto Requests = decodeConfiguration(limited(R"(,"rate_per_s":3)"));
  CHECK(Requests.m_OrganisationLimits.at(OrganisationId{"o"}).m_Unit ==
        LimitUnit::Requests);
  for (const auto *None :
       {"", R"(,"rate_per_s":0)", R"(,"rate_per_s":null,"burst":0)",
        R"(,"unit":"tokens","plain_tokens":200)"})
    CHECK(decodeConfiguration(limited(None)).m_OrganisationLimits.empty());
  for (const auto *Invalid :
       {R"(,"rate_per_s":-1)", R"(,"rate_per_s":"5")", R"(,"burst":5)",
        R"(,"rate_per_s":5,"burst":-1)", R"(,"rate_per_s":5,"unit":"bytes")",
        R"(,"rate_per_s":5,"unit":3)",
        R"(,"rate_per_s":5,"plain_tokens":[])"}) {
    CAPTURE(std::string(Invalid));
    CHECK_THROWS_WITH_AS(decodeConfiguration(limited(Invalid)),
                         doctest::Contains("limit of organisation o"),
                         ConfigurationError);
  }
}

TEST_CASE("platform settings: the bounds of limits are read") {
  auto Settings = decodeNodeSettings(
      SettingsText + "bounds.quota_window_s=4\nbounds.quota_overshoot=0.1\n"
                     "bounds.quota_slack=190000\n");
  CHECK(Settings.m_Bounds.m_LimitWindow == Seconds(4));
  CHECK(Settings.m_Bounds.m_LimitOvershoot == 0.1);
  CHECK(Settings.m_Bounds.m_LimitSlack == 190'000);
}

TEST_CASE("platform records: malformed documents are rejected") {
  for (const auto *Text :
       {"", "[]", "{}", "{\"version\":1}", "{\"version\":\"x\",\"routes\":[]}",
        "{\"version\":1,\"routes\":[{}],\"services\":[]}"})
    CHECK_THROWS_AS(decodeConfiguration(Text), ConfigurationError);
  const auto Valid = std::string(
      R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,)"
      R"("state":"draining","stage":"prefill","spot":true,"born":17})");
  auto Record = decodeBackend("servers/i-1", Valid);
  CHECK(Record.m_Id.text() == "i-1");
  CHECK(Record.m_Draining);
  CHECK(Record.m_Reclaimable);
  CHECK(Record.m_Stage == EngineStage::Prefill);
  CHECK(Record.m_StartedAt == 17);
  for (
      const auto *Text :
      {"", "\xff\xfe", "{}", "7",
       R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,"state":"odd"})",
       R"({"service":"s","address":"nowhere","zone":"z","slots":4,"state":"ready"})",
       R"({"service":3,"address":"10.0.0.1:80","zone":"z","slots":4,"state":"ready"})",
       R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"4","state":"ready"})"})
    CHECK_THROWS_AS(decodeBackend("servers/i-1", Text), ProtocolError);
}

TEST_CASE("platform callers: reserved headers, hop-by-hop headers and the key "
          "are not forwarded") {
  auto Forwarded = forwardedRequestHeaders({{"Host", "h"},
                                            {"X-Other", "1"},
                                            {"authorization", "Bearer secret"},
                                            {"X-Tenant", "forged"},
                                            {"x-stage", "prefill"},
                                            {"X-Kv-Source", "10.0.0.1:80/x"},
                                            {"X-Kv-Hold", "x"},
                                            {"X-Pin-Ms", "9"},
                                            {"X-Kv-Backup", "x"},
                                            {"Kv-Fetch", "x"},
                                            {"X-Expect-Instance", "x"},
                                            {"X-Request-Priority", "0"},
                                            {"X-Deadline-Ms", "1"},
                                            {"Connection", "close, X-Hop"},
                                            {"X-Hop", "1"},
                                            {"Transfer-Encoding", "chunked"},
                                            {"Content-Length", "3"}});
  REQUIRE(Forwarded.size() == 2);
  CHECK(Forwarded[0].m_Name == "Host");
  CHECK(Forwarded[1].m_Name == "X-Other");
}

TEST_CASE("platform callers: the error names the malformed header") {
  for (const auto &Malformed :
       HttpHeaders{{"X-Deadline-Ms", "soon"},
                   {"X-Deadline-Ms", "-1"},
                   {"X-Token-Counts", "7"},
                   {"X-Token-Counts", "a,b"},
                   {"X-Token-Counts", "99999999999999999999,1"}}) {
    CAPTURE(Malformed.m_Value);
    auto Message = message({{"X-Request-Id", "1"}, Malformed});
    try {
      decodeCallerRequest(Message);
      FAIL("accepted");
    } catch (const ProtocolError &Failure) {
      CHECK(std::string(Failure.what()).find(Malformed.m_Name) !=
            std::string::npos);
    }
  }
  CHECK_THROWS_AS(decodeCallerRequest(message({})), ProtocolError);
  CHECK_THROWS_AS(
      decodeCallerRequest(message({{"X-Request-Id", "1"},
                                   {"X-Token-Counts", "5,1"},
                                   {"X-Prompt-Prefix", "nonsense"}})),
      ProtocolError);
  auto Request =
      decodeCallerRequest(message({{"X-Request-Id", "1"},
                                   {"X-Token-Counts", "1460, 80"},
                                   {"X-Prompt-Prefix", "5c:800,91:660"},
                                   {"X-Deadline-Ms", "2500"},
                                   {"Authorization", "Bearer k1"}}));
  CHECK(Request.m_Key == "k1");
  CHECK(Request.m_Prompt->m_Parts.size() == 2);
  CHECK(*Request.m_TimeLeft == Milliseconds(2500));
}

TEST_CASE("platform callers: a status that means not executed is used only for "
          "requests that were not executed") {
  for (const auto &Shape : refusalDefinitions()) {
    CAPTURE(Shape.m_Name);
    for (auto Ran :
         {Execution::NotRun, Execution::MayHaveRun, Execution::Ran}) {
      auto Response =
          encodeRefusal(Refusal(Shape.m_Code, Ran), Seconds(1), RequestId{"1"});
      auto StatusMeansNotRun =
          Response.m_Status == 503 || Response.m_Status == 429 ||
          Response.m_Status == 408 || Response.m_Status == 421;
      if (StatusMeansNotRun)
        CHECK(Ran == Execution::NotRun);
    }
  }
  auto Response = encodeRefusal(Refusal(RefusalCode::QueueFull),
                                Milliseconds(350), RequestId{"1"});
  CHECK(*findHeader(Response.m_Headers, "Retry-After") == "0.350");
}

// Guards against a quarantined request that looks like one which the
// configuration denies: callers take a 4xx status for that.
TEST_CASE("platform callers: the status of a refusal follows from its code and "
          "from whether the request may have run") {
  struct Case {
    RefusalCode m_Code;
    Execution m_Execution;
    unsigned m_Status;
  };
  for (const auto &Current :
       {Case{RefusalCode::Quarantined, Execution::NotRun, 503},
        Case{RefusalCode::Quarantined, Execution::MayHaveRun, 502},
        Case{RefusalCode::Quarantined, Execution::Ran, 502},
        Case{RefusalCode::QueueFull, Execution::NotRun, 429},
        Case{RefusalCode::QueueFull, Execution::MayHaveRun, 502},
        Case{RefusalCode::NoBackend, Execution::NotRun, 503},
        Case{RefusalCode::DeadlineExceeded, Execution::NotRun, 503},
        Case{RefusalCode::DeadlineExceeded, Execution::MayHaveRun, 504},
        Case{RefusalCode::BackendFailed, Execution::MayHaveRun, 502},
        Case{RefusalCode::KeyUnknown, Execution::NotRun, 401}}) {
    CAPTURE(definitionOf(Current.m_Code).m_Name);
    auto Response = encodeRefusal(Refusal(Current.m_Code, Current.m_Execution),
                                  std::nullopt, RequestId{"1"});
    CHECK(Response.m_Status == Current.m_Status);
    CHECK_FALSE(findHeader(Response.m_Headers, "Retry-After"));
  }
}

TEST_CASE(
    "platform engines: the result of a call determines the outcome of the "
    "attempt") {
  struct Case {
    const char *m_Name;
    HttpCallResult m_Result;
    AttemptOutcome m_Outcome;
  };
  auto Signed = HttpHeader{"X-Response-Stamp", "s"};
  for (const auto &Current : std::vector<Case>{
           {"complete",
            {HttpOutcome::Complete, 200, {Signed}},
            AttemptOutcome::Complete},
           {"failure of the server",
            {HttpOutcome::Complete, 500, {Signed}},
            AttemptOutcome::Complete},
           {"unsigned",
            {HttpOutcome::Complete, 200, {}},
            AttemptOutcome::Failed},
           {"re-encoded",
            {HttpOutcome::Complete,
             200,
             {Signed, {"Content-Encoding", "gzip"}}},
            AttemptOutcome::Failed},
           {"not executed",
            {HttpOutcome::Complete, 503, {{"X-Not-Executed", "1"}}},
            AttemptOutcome::NotExecuted},
           {"503 without X-Not-Executed",
            {HttpOutcome::Complete, 503, {}},
            AttemptOutcome::Failed},
           {"wrong server",
            {HttpOutcome::Complete, 421, {}},
            AttemptOutcome::WrongServer},
           {"truncated",
            {HttpOutcome::Broken, 200, {Signed}},
            AttemptOutcome::Failed},
           {"timed out",
            {HttpOutcome::TimedOut, 0, {}},
            AttemptOutcome::TimedOut},
           {"not sent",
            {HttpOutcome::NotSent, 0, {}},
            AttemptOutcome::NotSent}}) {
    CAPTURE(Current.m_Name);
    CHECK(decodeAttemptResult(Current.m_Result, AttemptPurpose::Serve, "a")
              .m_Outcome == Current.m_Outcome);
  }
}

namespace {

/// Returns the permission to send to the server with the empty id.
auto permit(SendPurpose Purpose) -> SendPermit {
  auto Access = ServerAccess({}, {});
  auto Id = BackendId();
  auto Target = SendTarget{.m_Backend = Id};
  return std::move(
      *Access.admit(Target, Purpose, {.m_Listed = &Target}, {}).m_Permit);
}

} // namespace

TEST_CASE("platform transport: a response to a prefill and to a release has a "
          "small limit") {
  auto Client = FakeClient();
  auto Loop = EventLoop();
  auto Transport = EngineTransport(Loop, Client);
  auto Listener = RecordingListener();
  auto Request = CallerRequest();
  Transport.send(permit(SendPurpose::Prefill),
                 {.m_Request = &Request, .m_Purpose = AttemptPurpose::Prefill},
                 true, Listener);
  Transport.release(permit(SendPurpose::Release),
                    {.m_Address = "a:1", .m_Handle = "h"}, {});
  constexpr auto MaxHandleBytes = std::size_t{64} << 10U;
  for (const auto &Call : Client.m_Calls)
    CHECK(Call.m_MaxResponseBytes <= MaxHandleBytes);
}

TEST_CASE("platform transport: the body of a failure on a stream's route is "
          "buffered up to a limit, beyond which the attempt fails") {
  constexpr auto PieceBytes = std::size_t{1000};
  constexpr auto MaxBytes = std::size_t{256} << 10U;
  constexpr auto MaxSentBytes = 4 * MaxBytes;
  for (auto Status : {200U, 500U}) {
    CAPTURE(Status);
    auto Client = FakeClient();
    auto Loop = EventLoop();
    auto Transport = EngineTransport(Loop, Client);
    auto Listener = RecordingListener();
    auto Request = CallerRequest();
    auto Id = Transport.send(permit(SendPurpose::Execute),
                             {.m_Request = &Request}, true, Listener);
    const auto &Call = Client.m_Calls[0];
    // A response without the server's signature does not begin a stream.
    Call.m_OnHeaders(Status, {});
    auto Sent = std::size_t{0};
    for (; Client.m_Cancelled.empty() && Sent < MaxSentBytes;
         Sent += PieceBytes)
      Call.m_OnData(std::string(PieceBytes, 'x'));
    CHECK(Sent <= MaxBytes + PieceBytes);
    CHECK(Client.m_Cancelled == std::vector{Id.number()});
    REQUIRE(Listener.m_Results.size() == 1);
    CHECK(Listener.m_Results[0].m_Outcome == AttemptOutcome::Failed);
    CHECK_FALSE(Listener.m_Begun);
    CHECK(Listener.m_Data.empty());
  }
}

TEST_CASE("platform store: a read whose pages never end fails") {
  constexpr auto MaxReadBytes = std::size_t{100'000};
  constexpr auto MaxPages = std::size_t{10'000};
  struct Endless {
    std::string m_Name;
    /// Returns the items of a page.
    std::function<std::string(std::size_t)> m_Items;
    std::size_t m_MaxPages;
  };
  auto Item = [](std::size_t Number) {
    return fmt::format(R"({{"key":"a/{:06}","value":"eA==","revision":1}})",
                       Number);
  };
  const auto Cases = std::vector<Endless>{
      {"empty pages", [](std::size_t) { return std::string(); }, 1},
      {"the same page", [&](std::size_t) { return Item(0); }, 2},
      {"empty pages after the first",
       [&](std::size_t Page) { return Page == 0 ? Item(0) : std::string(); },
       2},
      {"pages with other items", Item, MaxReadBytes / Item(0).size()}};
  for (const auto &Case : Cases) {
    CAPTURE(Case.m_Name);
    auto Client = FakeClient();
    auto Store = PlatformStore(
        Client, {.m_Address = "s:1", .m_MaxReadBytes = MaxReadBytes});
    auto Reply = std::optional<StoreReply<RangeResult>>();
    Store.read(KeyRange::prefix("a/"), [&Reply](StoreReply<RangeResult> Given) {
      Reply = std::move(Given);
    });
    auto Pages = std::size_t{0};
    for (; !Reply && Pages < MaxPages; ++Pages) {
      REQUIRE(Client.m_Calls.size() == Pages + 1);
      auto Done = Client.m_Calls[Pages].m_OnDone;
      Done({.m_Outcome = HttpOutcome::Complete,
            .m_Status = 200,
            .m_Body = fmt::format(R"({{"items":[{}],"has_more":true,"at":5}})",
                                  Case.m_Items(Pages))});
    }
    CHECK(Pages <= Case.m_MaxPages);
    REQUIRE(Reply);
    CHECK_FALSE(Reply->m_Response);
    CHECK(Reply->m_Failure == StoreFailure::Unknown);
  }
}

TEST_CASE("platform store: a read combines its pages") {
  auto Client = FakeClient();
  auto Store = PlatformStore(Client, {.m_Address = "s:1"});
  auto Reply = std::optional<StoreReply<RangeResult>>();
  Store.read(KeyRange::prefix("a/"), [&Reply](StoreReply<RangeResult> Given) {
    Reply = std::move(Given);
  });
  for (auto Page = std::size_t{0}; Page < 3; ++Page) {
    CHECK_FALSE(Reply);
    auto Done = Client.m_Calls.at(Page).m_OnDone;
    Done({.m_Outcome = HttpOutcome::Complete,
          .m_Status = 200,
          .m_Body = fmt::format(
              R"({{"items":[{}],"has_more":{},"at":{}}})",
              Page == 2 ? std::string()
                        : fmt::format(
                              R"({{"key":"a/{}","value":"eA==","revision":1}})",
                              Page),
              Page < 2, 5 + Page)});
  }
  REQUIRE(Reply);
  REQUIRE(Reply->m_Response);
  CHECK(Reply->m_Response->m_Values.size() == 2);
  CHECK(Reply->m_Response->m_Revision == StoreRevision{5});
}

namespace {

/// Returns the store's response with \p Body in the history \p Era.
auto storeResponse(const char *Era, std::string Body, unsigned Status = 200)
    -> HttpCallResult {
  return {.m_Outcome = HttpOutcome::Complete,
          .m_Status = Status,
          .m_Headers = {{.m_Name = "Store-Era", .m_Value = Era}},
          .m_Body = std::move(Body)};
}

} // namespace

// Guards against revisions of an earlier history that are taken for present
// ones: in late responses, and in compares that a restored store fulfils by
// chance.
TEST_CASE(
    "platform store: responses and compares of an earlier history have no "
    "effect") {
  auto Client = FakeClient();
  auto Store = PlatformStore(Client, {.m_Address = "s:1"});
  auto Reads = std::vector<StoreReply<RangeResult>>();
  for (auto Number = 0; Number < 3; ++Number)
    Store.read(KeyRange::prefix("a/"), [&](StoreReply<RangeResult> Reply) {
      Reads.push_back(std::move(Reply));
    });
  const auto Page =
      std::string(R"({"items":[{"key":"a/1","value":"eA==","revision":4}],)"
                  R"("has_more":false,"at":7})");
  Client.m_Calls[0].m_OnDone(storeResponse("3", Page));
  Client.m_Calls[1].m_OnDone(storeResponse("4", Page));
  Client.m_Calls[2].m_OnDone(storeResponse("3", Page));
  REQUIRE(Reads[0]);
  CHECK(Reads[0]->m_Revision == StoreRevision{7, StoreEra{3}});
  REQUIRE(Reads[1]);
  CHECK(Reads[1]->m_Values.at(0).m_Modified == StoreRevision{4, StoreEra{4}});
  CHECK(Reads[1]->m_Revision > Reads[0]->m_Revision);
  CHECK_FALSE(Reads[2]);
  CHECK(Reads[2].m_Failure == StoreFailure::Unknown);

  auto Commits = std::vector<StoreReply<TransactionResult>>();
  auto Commit = [&](StoreRevision Compared) {
    Store.commit(
        {.m_Compares = {{.m_Key = "k", .m_Modified = Compared}}},
        [&](StoreReply<TransactionResult> Reply) { Commits.push_back(Reply); });
    return Client.m_Calls.back();
  };
  auto Old = Commit(StoreRevision{4, StoreEra{3}});
  CHECK(Old.m_Body.find(R"("revision":4})") == std::string::npos);
  auto Present = Commit(StoreRevision{4, StoreEra{4}});
  CHECK(Present.m_Body.find(R"("revision":4})") != std::string::npos);
  Present.m_OnDone(storeResponse("4", R"({"revision":8})"));
  REQUIRE(Commits.size() == 1);
  CHECK(Commits[0]->m_Applied);
  // Restored while the call is on its way.
  auto Crossing = Commit(StoreRevision{8, StoreEra{4}});
  Crossing.m_OnDone(storeResponse("5", R"({"revision":9})"));
  REQUIRE(Commits.size() == 2);
  CHECK_FALSE(Commits[1]);
  CHECK(Commits[1].m_Failure == StoreFailure::Unknown);
  CHECK(Store.history().era() == StoreEra{5});
}

TEST_CASE("platform store: pages of two histories are not combined") {
  auto Client = FakeClient();
  auto Store = PlatformStore(Client, {.m_Address = "s:1"});
  auto Reply = std::optional<StoreReply<RangeResult>>();
  Store.read(KeyRange::prefix("a/"), [&Reply](StoreReply<RangeResult> Given) {
    Reply = std::move(Given);
  });
  auto FirstDone = Client.m_Calls.at(0).m_OnDone;
  FirstDone(storeResponse(
      "1", R"({"items":[{"key":"a/1","value":"eA==","revision":4}],)"
           R"("has_more":true,"at":7})"));
  auto SecondDone = Client.m_Calls.at(1).m_OnDone;
  SecondDone(storeResponse("2", R"({"items":[],"has_more":false,"at":5})"));
  REQUIRE(Reply);
  CHECK_FALSE(*Reply);
}

TEST_CASE("platform store: an era that is no number is ignored") {
  auto Client = FakeClient();
  auto Store = PlatformStore(Client, {.m_Address = "s:1"});
  auto Reply = std::optional<StoreReply<RangeResult>>();
  Store.history().observe(StoreEra{2});
  Store.read(KeyRange::prefix("a/"), [&Reply](StoreReply<RangeResult> Given) {
    Reply = std::move(Given);
  });
  Client.m_Calls.at(0).m_OnDone(
      storeResponse("x", R"({"items":[],"has_more":false,"at":5})"));
  REQUIRE(Reply);
  CHECK(*Reply);
  CHECK(Store.history().era() == StoreEra{2});
}
