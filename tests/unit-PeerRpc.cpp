#include "dotterel/io/KjLoop.h"
#include "dotterel/io/Socket.h"
#include "dotterel/rpc/PeerRpc.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <limits>
#include <sys/socket.h>

using namespace dotterel;

namespace {

class EchoService final : public PeerService {
public:
  auto onExchange(const PeerView &View) -> PeerView override { return View; }
  auto onFetchConfiguration(const std::vector<std::uint64_t> &KnownDigests)
      -> ConfigurationDelta override {
    return {.m_Revision = ConfigRevision{KnownDigests.size()},
            .m_Head = "head"};
  }
  auto onClaim(const Claim &Request, std::function<void(ClaimReply)> Callback)
      -> void override {
    if (Request.m_Identity.text() == "silent")
      m_UnansweredCallbacks.push_back(std::move(Callback));
    else
      Callback({.m_Verdict = ClaimVerdict::Granted});
  }
  auto onOutcome(const ClaimOutcome & /*Outcome*/,
                 std::function<void(bool)> Callback) -> void override {
    Callback(true);
  }
  auto onUsage(const UsageSegment &Segment) -> void override {
    m_Segments.push_back(Segment);
  }

  std::vector<std::function<void(ClaimReply)>> m_UnansweredCallbacks;
  std::vector<UsageSegment> m_Segments;
};

struct Fixture {
  EventLoop m_Loop;
  KjLoop m_Kj{m_Loop};
  EchoService m_Service;
  PeerServer m_Server{m_Kj, m_Service, SocketAddress::parse("127.0.0.1:0")};
  std::unique_ptr<PeerCaller> m_Caller =
      makePeerCaller(m_Kj, {.m_CallTimeout = Milliseconds(200)});
  std::string m_Address = m_Server.address().text();
};

/// Passes one connection on to a peer, and ends it after the first bytes of the
/// peer's responses.
class CuttingRelay {
public:
  CuttingRelay(EventLoop &Loop, std::string Peer, std::size_t MaxBytes,
               bool Reset)
      : m_Loop(Loop), m_Address(std::move(Peer)), m_MaxBytes(MaxBytes),
        m_Reset(Reset),
        m_Listener(listenOn(SocketAddress::parse("127.0.0.1:0"))),
        m_AcceptWatcher(Loop, m_Listener.fd(), EV_READ,
                        [this](int) { accept(); }) {}

  [[nodiscard]] auto address() const -> std::string {
    return boundAddress(m_Listener).text();
  }
  /// Returns the number of bytes of responses that were passed on.
  [[nodiscard]] auto bytes() const -> std::size_t { return m_Bytes; }

private:
  auto accept() -> void {
    m_Caller =
        Socket(::accept4(m_Listener.fd(), nullptr, nullptr, SOCK_NONBLOCK));
    m_Peer = beginConnect(SocketAddress::parse(m_Address));
    m_CallerWatcher.emplace(m_Loop, m_Caller.fd(), EV_READ,
                            [this](int) { pass(m_Caller, m_Peer); });
    m_PeerWatcher.emplace(m_Loop, m_Peer.fd(), EV_READ,
                          [this](int) { passBack(); });
  }

  auto pass(Socket &From, Socket &To,
            std::size_t MaxBytes = std::numeric_limits<std::size_t>::max())
      -> std::size_t {
    auto Buffer = std::array<char, 4096>();
    auto Count = ::recv(From.fd(), Buffer.data(), Buffer.size(), 0);
    if (Count <= 0) {
      end();
      return 0;
    }
    auto Bytes = std::min(MaxBytes, static_cast<std::size_t>(Count));
    ::send(To.fd(), Buffer.data(), Bytes, MSG_NOSIGNAL);
    return Bytes;
  }

  auto passBack() -> void {
    m_Bytes += pass(m_Peer, m_Caller, m_MaxBytes - m_Bytes);
    if (m_Bytes == m_MaxBytes)
      end();
  }

  auto end() -> void {
    m_CallerWatcher->enable(false);
    m_PeerWatcher->enable(false);
    if (m_Reset)
      m_Caller.resetOnClose();
    m_Caller = Socket();
    m_Peer = Socket();
  }

  EventLoop &m_Loop;
  std::string m_Address;
  std::size_t m_MaxBytes;
  bool m_Reset;
  std::size_t m_Bytes = 0;
  Socket m_Listener;
  Socket m_Caller;
  Socket m_Peer;
  std::optional<FdWatcher> m_CallerWatcher;
  std::optional<FdWatcher> m_PeerWatcher;
  FdWatcher m_AcceptWatcher;
};

} // namespace

TEST_CASE("peer exchange transmits every field of a view") {
  auto Test = Fixture();
  auto Sent = PeerView();
  Sent.m_Members.push_back(
      {.m_Process = ProcessId{"h1/gate"},
       .m_Location = {.m_Host = HostId{"h1"},
                      .m_DataCentre = DataCentreId{"ghent"},
                      .m_Region = RegionId{"east"}},
       .m_Role = ProcessRole::Steward,
       .m_Address = "127.0.0.1:1",
       .m_Incarnation = 7,
       .m_Heartbeat = 8,
       .m_Leaving = true,
       .m_ConfigRevision = ConfigRevision{9},
       .m_StoreLost = true,
       .m_PrefillTokensPerSecond = 10,
       .m_DecodeTokensPerSecond = 11});
  Sent.m_Crashes.push_back({.m_Digest = RequestDigest{12},
                            .m_Losses = {{BackendId{"e1"},
                                          {.m_SinceSent = Milliseconds(900),
                                           .m_SinceLost = Milliseconds(800)}},
                                         {BackendId{"e2"},
                                          {.m_SinceSent = Milliseconds(70),
                                           .m_SinceLost = Milliseconds(60)}}},
                            .m_Releases = 13});
  Sent.m_ConfirmationAge = Milliseconds(100);
  Sent.m_LeavingBackends.emplace_back("e3");
  Sent.m_RateLimits = {{.m_Backend = BackendId{"e4"},
                        .m_Limit = RequestRate{2.3},
                        .m_Age = Milliseconds(40)},
                       {.m_Backend = BackendId{"e5"}}};
  auto Received = std::optional<PeerView>();
  Test.m_Caller->exchange(Test.m_Address, Sent, [&](auto Reply) {
    Received = std::move(Reply);
    Test.m_Loop.stop();
  });
  Test.m_Loop.run();
  REQUIRE(Received);
  const auto &Member = Received->m_Members.at(0);
  CHECK(Member.m_Process.text() == "h1/gate");
  CHECK(Member.m_Location == Sent.m_Members[0].m_Location);
  CHECK(Member.m_Role == ProcessRole::Steward);
  CHECK(Member.m_Address == "127.0.0.1:1");
  CHECK(Member.m_Incarnation == 7);
  CHECK(Member.m_Heartbeat == 8);
  CHECK(Member.m_Leaving);
  CHECK(Member.m_ConfigRevision.number() == 9);
  CHECK(Member.m_StoreLost);
  CHECK(Member.m_PrefillTokensPerSecond == 10);
  CHECK(Member.m_DecodeTokensPerSecond == 11);
  CHECK(Received->m_Crashes.at(0).m_Losses == Sent.m_Crashes[0].m_Losses);
  CHECK(Received->m_Crashes.at(0).m_Releases == 13);
  // The age is encoded twice, in the request and in the response, and each
  // encoding rounds up.
  CHECK(Received->m_ConfirmationAge >= Sent.m_ConfirmationAge);
  CHECK(Received->m_LeavingBackends == Sent.m_LeavingBackends);
  REQUIRE(Received->m_RateLimits.size() == 2);
  CHECK(Received->m_RateLimits[0].m_Backend.text() == "e4");
  CHECK(Received->m_RateLimits[0].m_Limit == RequestRate{2.3});
  CHECK(Received->m_RateLimits[0].m_Age >= Milliseconds(40));
  CHECK(!Received->m_RateLimits[1].m_Limit);
}

TEST_CASE("peer call to an address without a listener fails") {
  auto Test = Fixture();
  auto Failed = false;
  Test.m_Caller->claim("127.0.0.1:1", {}, [&](auto Reply) {
    Failed = !Reply.has_value();
    Test.m_Loop.stop();
  });
  Test.m_Loop.run();
  CHECK(Failed);
}

TEST_CASE("peer call without a response times out and the next call succeeds") {
  auto Test = Fixture();
  auto Failed = false;
  Test.m_Caller->claim(Test.m_Address,
                       {.m_Identity = RequestIdentity{"silent"}},
                       [&](auto Reply) {
                         Failed = !Reply.has_value();
                         Test.m_Loop.stop();
                       });
  Test.m_Loop.run();
  CHECK(Failed);
  auto Verdict = ClaimVerdict::Unavailable;
  Test.m_Caller->claim(Test.m_Address, {}, [&](auto Reply) {
    REQUIRE(Reply);
    Verdict = Reply->m_Verdict;
    Test.m_Loop.stop();
  });
  Test.m_Loop.run();
  CHECK(Verdict == ClaimVerdict::Granted);
}

TEST_CASE("peer call whose response ends early fails, after any number of its "
          "bytes") {
  auto Claim = [](Fixture &Test, CuttingRelay &Relay) {
    auto Reply = std::optional<ClaimReply>();
    Test.m_Caller->claim(Relay.address(), {}, [&](auto Received) {
      Reply = Received;
      Test.m_Loop.stop();
    });
    Test.m_Loop.run();
    return Reply;
  };
  auto Test = Fixture();
  auto Whole = CuttingRelay(Test.m_Loop, Test.m_Address,
                            std::numeric_limits<std::size_t>::max(), false);
  REQUIRE(Claim(Test, Whole));
  REQUIRE(Whole.bytes() > 0);
  for (auto Bytes = std::size_t{1}; Bytes < Whole.bytes(); ++Bytes)
    for (auto Reset : {false, true}) {
      CAPTURE(Bytes);
      CAPTURE(Reset);
      auto Relay = CuttingRelay(Test.m_Loop, Test.m_Address, Bytes, Reset);
      CHECK_FALSE(Claim(Test, Relay));
    }
}

TEST_CASE("many peer calls in sequence to one address succeed") {
  auto Test = Fixture();
  constexpr auto Calls = 500;
  auto Responses = 0;
  std::function<void()> Next = [&] {
    Test.m_Caller->fetchConfiguration(Test.m_Address, {1, 2, 3},
                                      [&](auto Reply) {
                                        REQUIRE(Reply);
                                        CHECK(Reply->m_Revision.number() == 3);
                                        if (++Responses == Calls)
                                          Test.m_Loop.stop();
                                        else
                                          Next();
                                      });
  };
  Next();
  Test.m_Loop.run();
  CHECK(Responses == Calls);
}
