// What becomes of broken responses at each user of an HTTP client.
#include "dotterel/fleet/BackendClient.h"
#include "dotterel/fleet/Discovery.h"
#include "dotterel/fleet/HttpEngineOrders.h"
#include "dotterel/fleet/HttpPlatformOrders.h"
#include "dotterel/gate/BackendLossDetector.h"
#include "dotterel/io/PooledHttpClient.h"
#include "dotterel/store/HttpStore.h"
#include "platform/EngineTransport.h"
#include "platform/PlatformFleetCalls.h"
#include "platform/PlatformStore.h"
#include "support/EarlyServer.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace dotterel;
using namespace dotterel::platform;
using namespace dotterel::test;

namespace {

constexpr auto EventTimeout = Seconds(20);
/// More than the system buffers for a server that reads nothing.
constexpr auto LargeBytes = std::size_t{12} << 20U;

struct Response {
  std::string m_Name;
  std::string m_Bytes;
  ConnectionEnd m_End = ConnectionEnd::HalfClose;
};

auto withLength(const std::string &StatusLine, const std::string &Headers,
                const std::string &Body) -> std::string {
  return fmt::format("{}\r\n{}Content-Length: {}\r\n\r\n{}", StatusLine,
                     Headers, Body.size(), Body);
}

/// Returns broken responses that hold the whole of \p Body.
auto brokenResponses(const std::string &Headers, const std::string &Body)
    -> std::vector<Response> {
  const auto Ok = std::string("HTTP/1.1 200 OK");
  auto Result = std::vector<Response>{
      {"reset", Ok + "\r\n" + Headers + "\r\n" + Body, ConnectionEnd::Reset},
      {"interim",
       withLength("HTTP/1.1 103 Hints\r\nX Y: a\r\n\r\n" + Ok, Headers, Body)},
      {"trailer",
       fmt::format("{}\r\n{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n"
                   "0\r\nX Y: a\r\n\r\n",
                   Ok, Headers, Body.size(), Body)}};
  for (const auto *Status : {"000", "0200", "20", "999"}) {
    auto Line = fmt::format("HTTP/1.1 {} -", Status);
    Result.push_back({Status, withLength(Line, Headers, Body)});
    Result.push_back(
        {Status, fmt::format("{}\r\n{}\r\n{}", Line, Headers, Body)});
  }
  for (const auto *Line :
       {"X Y: a\r\n", "X-Y : a\r\n", "X\x01Y: a\r\n", "Content-Length : 1\r\n",
        "Transfer-Encoding : chunked\r\n"}) {
    Result.push_back({Line, withLength(Ok, Line + Headers, Body)});
    Result.push_back(
        {Line, fmt::format("{}\r\n{}{}\r\n{}", Ok, Line, Headers, Body)});
  }
  return Result;
}

/// Returns the permission to send to the server with the empty id.
auto permit(SendPurpose Purpose) -> SendPermit {
  auto Access = ServerAccess({}, {});
  auto Id = BackendId();
  auto Target = SendTarget{.m_Backend = Id};
  return std::move(
      *Access.admit(Target, Purpose, {.m_Listed = &Target}, {}).m_Permit);
}

class AttemptResults final : public AttemptListener {
public:
  explicit AttemptResults(std::function<void(AttemptResult)> Callback)
      : m_OnEnd(std::move(Callback)) {}

  auto onBegin(const ResponseHead & /*Head*/, const ServerReport & /*Report*/)
      -> void override {}
  auto onData(std::string_view /*Data*/) -> void override {}
  auto onEnd(AttemptResult Result) -> void override {
    m_OnEnd(std::move(Result));
  }

private:
  std::function<void(AttemptResult)> m_OnEnd;
};

/// A server whose responses a test writes, and the users of a client of it.
struct Readers {
  EventLoop m_Loop;
  EarlyServer m_Server{m_Loop, {}};
  std::unique_ptr<HttpClient> m_Pooled = makePooledHttpClient(m_Loop, {});
  std::unique_ptr<HttpClient> m_Curl = makeHttpClient(m_Loop);
  PlatformStore m_Store{*m_Pooled, {.m_Address = m_Server.address()}};
  PlatformFleetCalls m_Fleet{*m_Pooled, {.m_Address = m_Server.address()}};
  EngineTransport m_Transport{m_Loop, *m_Pooled};
  std::unique_ptr<KeyValueStore> m_GateStore =
      makeHttpStore(*m_Curl, {.m_BaseUrl = "http://" + m_Server.address()});
  EngineTable m_Engines{Location{}, {}};
  BackendClient m_Backends{m_Loop, *m_Curl, m_Engines};
  std::unique_ptr<OrderChannel> m_EngineOrders =
      makeHttpEngineOrders(m_Backends, m_Engines);
  std::unique_ptr<OrderChannel> m_PlatformOrders = makeHttpPlatformOrders(
      *m_Curl, m_Engines, "http://" + m_Server.address());
  std::optional<Discovery> m_Discovery;
  CallerRequest m_Request{
      .m_Id = RequestId{"7"}, .m_Method = "POST", .m_Target = "/x"};
  std::unique_ptr<AttemptResults> m_Attempt;
  std::optional<bool> m_Used;

  /// Returns a callback for a value that is empty if no response was used.
  template <typename Value> auto store() {
    return [this](const Value &Result) { end(static_cast<bool>(Result)); };
  }
  auto order() -> std::function<void(OrderOutcome)> {
    return
        [this](OrderOutcome Result) { end(Result != OrderOutcome::Unknown); };
  }

  auto end(bool Used) -> void {
    m_Used = Used;
    m_Loop.stop();
  }

  auto attempt(AttemptPurpose Purpose, bool Stream, std::size_t BodyBytes = 4)
      -> void {
    m_Request.m_Body = std::string(BodyBytes, 'u');
    m_Attempt = std::make_unique<AttemptResults>(
        [this, Purpose](const AttemptResult &Result) {
          end(Result.m_Outcome == AttemptOutcome::Complete &&
              (Purpose == AttemptPurpose::Serve || Result.m_Cache));
        });
    m_Transport.send(permit(Purpose == AttemptPurpose::Prefill
                                ? SendPurpose::Prefill
                                : SendPurpose::Execute),
                     {.m_Request = &m_Request,
                      .m_Address = m_Server.address(),
                      .m_Purpose = Purpose,
                      .m_TimeLeft = Seconds(5)},
                     Stream, *m_Attempt);
  }

  /// Reads with \p Begin. \returns whether the response was used.
  auto read(const Response &Sent, const std::function<void(Readers &)> &Begin,
            std::size_t ReadBytes = std::numeric_limits<std::size_t>::max())
      -> bool {
    m_Used.reset();
    m_Server.setScript(
        {.m_Response = [Sent](const std::string &) { return Sent.m_Bytes; },
         .m_ReadBytes = ReadBytes,
         .m_End = Sent.m_End});
    Begin(*this);
    auto Guard = m_Loop.schedule(EventTimeout, [this] { m_Loop.stop(); });
    m_Loop.run();
    m_Loop.cancel(Guard);
    REQUIRE(m_Used);
    return *m_Used;
  }

  auto list(const std::string &Service, const std::string &Model) -> void {
    auto Server = Backend{.m_Id = BackendId{"b"},
                          .m_Service = Service,
                          .m_Url = "http://" + m_Server.address()};
    if (!Model.empty())
      Server.m_Models.emplace_back(Model);
    m_Engines.updateList({Server});
  }
};

struct Reader {
  std::string m_Name;
  std::string m_Body; ///< Of a response that is used.
  std::function<void(Readers &)> m_Begin;
};

const auto Load =
    std::string(R"({"incarnation":"a","role":"mixed","running":0,"slots":8,)"
                R"("queued_prefill_tokens":0,"prefill_tokens_per_second":9.0,)"
                R"("decode_tokens_per_second":9.0})");

/// Headers that the responses to attempts need.
const auto Signed = std::string("X-Request-Id: 7\r\nX-Response-Stamp: s\r\n");

auto readers() -> std::vector<Reader> {
  const auto Item =
      std::string(R"({"key":"k","value":"eA==","revision":1,"at":1})");
  const auto Pages = R"({"items":[)" + Item + R"(],"has_more":false,"at":1})";
  const auto Header = std::string(R"({"header":{"revision":"1"})");
  using Range = StoreReply<RangeResult>;
  using Transaction = StoreReply<TransactionResult>;
  using Lease = StoreReply<LeaseId>;
  using Term = StoreReply<Seconds>;
  return {
      {"response", "ok",
       [](Readers &Test) { Test.attempt(AttemptPurpose::Serve, false); }},
      {"stream", "id: 1\ndata: a\n\n",
       [](Readers &Test) { Test.attempt(AttemptPurpose::Serve, true); }},
      {"prefill", R"({"kv_handle":"h","tokens":1,"version":1})",
       [](Readers &Test) { Test.attempt(AttemptPurpose::Prefill, false); }},
      {"store: key", Item,
       [](Readers &Test) {
         Test.m_Store.read(KeyRange::single("k"), Test.store<Range>());
       }},
      {"store: range", Pages,
       [](Readers &Test) {
         Test.m_Store.read(KeyRange::prefix("k"), Test.store<Range>());
       }},
      {"store: transaction", R"({"revision":1})",
       [](Readers &Test) {
         Test.m_Store.commit({}, Test.store<Transaction>());
       }},
      {"store: lease", R"({"lease":1,"ttl_ms":1000})",
       [](Readers &Test) {
         Test.m_Store.grantLease(Seconds(1), Test.store<Lease>());
       }},
      {"store: renewal", R"({"ttl_ms":1000})",
       [](Readers &Test) {
         Test.m_Store.renewLease(LeaseId{1}, Test.store<Term>());
       }},
      {"store: end of a lease", "{}",
       [](Readers &Test) {
         Test.m_Store.revokeLease(LeaseId{1}, Test.store<StoreReply<bool>>());
       }},
      {"store: watch", R"({"events":[)" + Item + R"(],"at":1})",
       [](Readers &Test) {
         Test.m_Store.watch("k", {}, Seconds(1),
                            Test.store<StoreReply<WatchResult>>());
       }},
      {"order of servers", "{}",
       [](Readers &Test) { Test.m_Fleet.orderServers({}, {}, Test.order()); }},
      {"usage report", "{}",
       [](Readers &Test) {
         Test.m_Fleet.reportUsage({.m_Entries = "[]"}, Test.order());
       }},
      {"order to an engine", "{}",
       [](Readers &Test) {
         Test.m_Fleet.orderStage(
             permit(SendPurpose::Order), {.m_Address = Test.m_Server.address()},
             {}, [Done = Test.order()](const StageOrderReply &Reply) {
               Done(Reply.m_Outcome);
             });
       }},
      {"gate's store: range", Header + R"(,"kvs":[]})",
       [](Readers &Test) {
         Test.m_GateStore->read(KeyRange::single("k"), Test.store<Range>());
       }},
      {"gate's store: transaction", Header + R"(,"succeeded":true})",
       [](Readers &Test) {
         Test.m_GateStore->commit({}, Test.store<Transaction>());
       }},
      {"gate's store: lease", R"({"ID":"1"})",
       [](Readers &Test) {
         Test.m_GateStore->grantLease(Seconds(1), Test.store<Lease>());
       }},
      {"steward's order of a server", "{}",
       [](Readers &Test) {
         Test.m_PlatformOrders->send(BackendId{"b"}, {}, Test.order());
       }},
      {"steward's order to an engine", "{}",
       [](Readers &Test) {
         Test.list("", "m");
         Test.m_EngineOrders->send(BackendId{"b"}, {}, Test.order());
       }},
      {"state of an engine",
       R"({"incarnation":"a","last_order":{"order":"1"}})",
       [](Readers &Test) {
         Test.list("", "m");
         Test.m_EngineOrders->readState(
             BackendId{"b"}, Test.store<std::optional<TargetState>>());
       }},
      {"state of a server", R"({"last_order":"1","state":"running"})",
       [](Readers &Test) {
         Test.m_PlatformOrders->readState(
             BackendId{"b"}, Test.store<std::optional<TargetState>>());
       }}};
}

} // namespace

TEST_CASE("broken responses: no user of a client uses one, and each uses a "
          "sound one") {
  for (const auto &Reader : readers()) {
    CAPTURE(Reader.m_Name);
    auto Test = Readers();
    // The connection is kept for the next call.
    auto Sound =
        Response{"sound", withLength("HTTP/1.1 200 OK", Signed, Reader.m_Body),
                 ConnectionEnd::KeepOpen};
    CHECK(Test.read(Sound, Reader.m_Begin));
    CHECK(Test.read({"sound, no length",
                     "HTTP/1.1 200 OK\r\n" + Signed + "\r\n" + Reader.m_Body},
                    Reader.m_Begin));
    for (const auto &Broken : brokenResponses(Signed, Reader.m_Body)) {
      CAPTURE(Broken.m_Name);
      CAPTURE(Broken.m_Bytes);
      CHECK_FALSE(Test.read(Broken, Reader.m_Begin));
    }
    CHECK(Test.read(Sound, Reader.m_Begin));
  }
}

TEST_CASE("broken responses: a response that is reset during an upload is not "
          "used") {
  auto Large = StoreTransaction{
      .m_Writes = {{.m_Key = "k", .m_Value = std::string(LargeBytes, 'x')}}};
  for (const auto &Reader : std::vector<struct Reader>{
           {"store", R"({"revision":1})",
            [&](Readers &Test) {
              Test.m_Store.commit(Large,
                                  Test.store<StoreReply<TransactionResult>>());
            }},
           {"gate's store", R"({"header":{"revision":"1"},"succeeded":true})",
            [&](Readers &Test) {
              Test.m_GateStore->commit(
                  Large, Test.store<StoreReply<TransactionResult>>());
            }},
           {"prefill", R"({"kv_handle":"h","tokens":1,"version":1})",
            [](Readers &Test) {
              Test.attempt(AttemptPurpose::Prefill, false, LargeBytes);
            }},
           {"stream", "id: 1\ndata: a\n\n", [](Readers &Test) {
              Test.attempt(AttemptPurpose::Serve, true, LargeBytes);
            }}}) {
    CAPTURE(Reader.m_Name);
    auto Test = Readers();
    CHECK_FALSE(Test.read(
        {"reset", "HTTP/1.1 200 OK\r\n" + Signed + "\r\n" + Reader.m_Body,
         ConnectionEnd::Reset},
        Reader.m_Begin, 0));
  }
}

// The lists and the load of a server.
TEST_CASE("broken responses: discovery takes over neither lists nor loads, and "
          "a check whether a server was lost does not take them for a sign of "
          "life") {
  const auto Listed = std::string(
      R"({"hosts":[],"backends":[{"id":"b","data_centre":"z","region":"r",)"
      R"("url":"http://127.0.0.1:1","models":["m"]}]})");
  for (const auto &Broken : brokenResponses("", Listed)) {
    CAPTURE(Broken.m_Name);
    auto Test = Readers();
    Test.m_Server.setScript(
        {.m_Response = [Broken](const std::string &) { return Broken.m_Bytes; },
         .m_End = Broken.m_End});
    Test.m_Discovery.emplace(
        Test.m_Loop, *Test.m_Curl, Test.m_Backends, Test.m_Engines,
        DiscoveryOptions{.m_PlatformUrl = "http://" + Test.m_Server.address()});
    Test.m_Discovery->onHostList([&](const auto &) { Test.end(true); });
    Test.m_Discovery->start();
    while (Test.m_Curl->brokenResponses() < 2) {
      Test.m_Loop.schedule(Milliseconds(5), [&] { Test.m_Loop.stop(); });
      Test.m_Loop.run();
    }
    CHECK(Test.m_Engines.all().empty());
    CHECK_FALSE(Test.m_Used);
  }
  auto Sound = Response{"sound", withLength("HTTP/1.1 200 OK", "", Load)};
  for (const auto &Broken : brokenResponses("", Load)) {
    CAPTURE(Broken.m_Name);
    auto Test = Readers();
    auto Crashes = CrashRegistry({});
    auto Detector = BackendLossDetector(
        Test.m_Loop, Test.m_Backends, Test.m_Engines, Crashes,
        [](const std::function<void()> &Done) { Done(); });
    Test.list("", "m");
    Test.m_Engines.updateLoad(BackendId{"b"}, parseLoad(Load),
                              Test.m_Loop.now());
    auto Check = [&Detector](Readers &Current) {
      Detector.checkBackend(BackendId{"b"},
                            [&Current](bool Lost) { Current.end(!Lost); });
    };
    CHECK(Test.read(Sound, Check));
    CHECK_FALSE(Test.read(Broken, Check));
  }
}
