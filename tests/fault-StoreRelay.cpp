#include "dotterel/base/Errors.h"
#include "dotterel/peers/StoreRelay.h"
#include "support/DatagramNetwork.h"
#include "support/ScriptedStore.h"
#include "support/VirtualScheduler.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// A host whose registry is filled by the test.
struct Host {
  Host(VirtualScheduler &Scheduler, DatagramNetwork &Wire, int Number,
       int Hosts)
      : m_Port(Wire, fmt::format("h{}", Number)),
        m_Registry(Scheduler, m_Store, m_Store, m_Random,
                   {.m_Host = HostId{fmt::format("h{}", Number)},
                    .m_DataCentre = DataCentreId{"a"},
                    .m_Address = m_Port.address()},
                   {}),
        m_Exchange(
            Scheduler, m_Port, m_Registry, [] { return LoadSummary(); },
            [](const std::string &, const LoadSummary &) {}, {}),
        m_Relay(Scheduler, m_Port, m_Registry, m_Exchange,
                {.m_ConfirmationAge =
                     [this, &Scheduler] {
                       return m_ConfirmedAt ? Scheduler.now() - *m_ConfirmedAt
                                            : Duration::max();
                     },
                 .m_ConfigRevision = [this] { return m_ConfigRevision; },
                 .m_BackendsDigest = [this] { return m_Digest; },
                 .m_StoreEra = [this] { return m_Store.history().era(); },
                 .m_OnStoreEra =
                     [this](StoreEra Era) { m_Store.history().observe(Era); },
                 .m_OnConfigurationConfirmed =
                     [this](MonotonicTime At) {
                       if (!m_ConfirmedAt || At > *m_ConfirmedAt)
                         m_ConfirmedAt = At;
                     },
                 .m_OnBackendsConfirmed =
                     [this](MonotonicTime At) { m_BackendsConfirmedAt = At; },
                 .m_RefreshConfiguration = [this] { ++m_ConfigReads; },
                 .m_RefreshBackends = [this] { ++m_BackendReads; },
                 .m_OnBackendChange =
                     [this](const KeyChange &Change) {
                       m_Changes.push_back(Change);
                     },
                 .m_OnFollowingChange =
                     [this](bool Following) { m_Following = Following; }},
                {}) {
    m_Port.onReceive([this](const std::string &From, std::string_view Bytes) {
      auto Message = decodeHostMessage(Bytes);
      m_Exchange.receive(Message, From, Bytes);
      m_Relay.receive(Message, From);
    });
    m_Registry.start();
    auto Listed = RangeResult();
    for (auto Other = 0; Other < Hosts; ++Other)
      Listed.m_Values.push_back(
          {.m_Key = fmt::format("hosts/h{}", Other),
           .m_Value =
               fmt::format(R"({{"address":"h{}","data_centre":"a"}})", Other),
           .m_Modified = StoreRevision{1}});
    m_Store.respondToRead(Listed);
    m_Exchange.start();
    m_Relay.start();
  }

  ScriptedStore m_Store;
  Random m_Random{1};
  DatagramNetwork::Port m_Port;
  HostRegistry m_Registry;
  LoadExchange m_Exchange;
  std::optional<MonotonicTime> m_ConfirmedAt;
  std::optional<MonotonicTime> m_BackendsConfirmedAt;
  ConfigRevision m_ConfigRevision{1};
  std::uint64_t m_Digest = 1;
  int m_ConfigReads = 0;
  int m_BackendReads = 0;
  std::vector<KeyChange> m_Changes;
  bool m_Following = false;
  StoreRelay m_Relay;
};

struct DataCentreFixture {
  DataCentreFixture() {
    for (auto Number = 0; Number < 4; ++Number)
      m_Hosts.push_back(std::make_unique<Host>(m_Scheduler, m_Wire, Number, 4));
    for (auto &Current : m_Hosts)
      Current->m_ConfirmedAt = m_Scheduler.now();
  }

  /// Advances the clock while the relays read the store.
  auto advanceWithRelays(Duration Span) -> void {
    constexpr auto Step = Milliseconds(100);
    for (auto Passed = Duration::zero(); Passed < Span; Passed += Step) {
      m_Scheduler.advance(Step);
      if (!m_StoreLost)
        for (auto Index : {0, 1})
          if (Index != m_BehindRelay)
            m_Hosts[static_cast<std::size_t>(Index)]->m_ConfirmedAt =
                m_Scheduler.now();
    }
  }

  VirtualScheduler m_Scheduler;
  DatagramNetwork m_Wire{m_Scheduler};
  bool m_StoreLost = false;
  int m_BehindRelay = -1; ///< Relay without new confirmations; -1: none.
  std::vector<std::unique_ptr<Host>> m_Hosts;
};

} // namespace

TEST_CASE("store relay: two hosts of a data centre watch the store, and the "
          "others follow them and stay fresh") {
  auto Test = DataCentreFixture();
  Test.advanceWithRelays(Seconds(5));
  CHECK_FALSE(Test.m_Hosts[0]->m_Following);
  CHECK_FALSE(Test.m_Hosts[1]->m_Following);
  CHECK(Test.m_Hosts[2]->m_Following);
  CHECK(Test.m_Hosts[3]->m_Following);
  CHECK(Test.m_Scheduler.now() - *Test.m_Hosts[3]->m_ConfirmedAt <
        Milliseconds(700));
}

TEST_CASE("store relay: a confirmation is never newer than that of the relay, "
          "regardless of network delay") {
  auto Test = DataCentreFixture();
  Test.m_Wire.m_Delay = Milliseconds(450);
  Test.advanceWithRelays(Seconds(5));
  Test.m_StoreLost = true;
  auto LostAt = Test.m_Scheduler.now();
  Test.advanceWithRelays(Seconds(6));
  for (const auto &Current : Test.m_Hosts)
    CHECK(*Current->m_ConfirmedAt <= LostAt);
}

TEST_CASE("store relay: a follower without the relay's configuration gets no "
          "confirmation and reads the configuration") {
  auto Test = DataCentreFixture();
  Test.advanceWithRelays(Seconds(3));
  for (auto Index : {0U, 1U})
    Test.m_Hosts[Index]->m_ConfigRevision = ConfigRevision{2};
  auto ChangedAt = Test.m_Scheduler.now();
  Test.advanceWithRelays(Seconds(1));
  CHECK(*Test.m_Hosts[3]->m_ConfirmedAt <= ChangedAt);
  CHECK(Test.m_Hosts[3]->m_ConfigReads > 0);
}

TEST_CASE("store relay: followers of unresponsive relays watch the store "
          "themselves") {
  auto Test = DataCentreFixture();
  Test.advanceWithRelays(Seconds(3));
  Test.m_Wire.m_Cut = true;
  Test.advanceWithRelays(Seconds(3));
  CHECK_FALSE(Test.m_Hosts[2]->m_Following);
  CHECK_FALSE(Test.m_Hosts[3]->m_Following);
}

TEST_CASE("store relay: followers read all servers after a lost change, and "
          "only then") {
  auto Test = DataCentreFixture();
  Test.advanceWithRelays(Seconds(3));
  Test.m_Hosts[0]->m_Relay.relayChange(
      {.m_Key = "k", .m_Value = "v", .m_Revision = StoreRevision{9}});
  Test.advanceWithRelays(Milliseconds(100));
  REQUIRE(Test.m_Hosts[3]->m_Changes.size() == 1);
  CHECK(Test.m_Hosts[3]->m_Changes[0].m_Value == "v");
  CHECK(Test.m_Hosts[3]->m_BackendReads == 0);
  for (auto Index : {0U, 1U})
    Test.m_Hosts[Index]->m_Digest = 2;
  Test.advanceWithRelays(Seconds(2));
  CHECK(Test.m_Hosts[3]->m_BackendReads > 0);
}

TEST_CASE("store relay: servers are confirmed only while they match those of a "
          "relay") {
  auto Test = DataCentreFixture();
  Test.advanceWithRelays(Seconds(3));
  for (auto Index : {0U, 1U})
    Test.m_Hosts[Index]->m_Digest = 2;
  auto ChangedAt = Test.m_Scheduler.now();
  Test.advanceWithRelays(Seconds(2));
  CHECK(*Test.m_Hosts[3]->m_BackendsConfirmedAt <= ChangedAt);
}

// A relay that the store refuses still agrees with its followers. This must not
// hide a change that the other relay reports.
TEST_CASE("store relay: a relay that is behind does not hide a lost change") {
  auto Test = DataCentreFixture();
  Test.advanceWithRelays(Seconds(3));
  Test.m_BehindRelay = 0;
  Test.advanceWithRelays(Milliseconds(1500));
  Test.m_Hosts[1]->m_Digest = 2;
  Test.advanceWithRelays(Seconds(2));
  CHECK(Test.m_Hosts[3]->m_BackendReads > 0);
}

// With one datagram for each change and host the socket can be overrun, so that
// the last changes are lost.
TEST_CASE("store relay: simultaneous changes are batched into messages of "
          "bounded size") {
  auto Test = DataCentreFixture();
  Test.advanceWithRelays(Seconds(3));
  auto Before = Test.m_Wire.m_SentSizes.size();
  constexpr auto Changes = 30;
  constexpr auto ValueBytes = 250;
  for (auto Index = 0; Index < Changes; ++Index)
    Test.m_Hosts[0]->m_Relay.relayChange(
        {.m_Key = fmt::format("k{:02}", Index),
         .m_Value = std::string(ValueBytes, 'v'),
         .m_Revision = StoreRevision{static_cast<std::uint64_t>(Index + 9)}});
  Test.m_Scheduler.advance(Milliseconds(5));
  CHECK(Test.m_Hosts[3]->m_Changes.size() == Changes);
  auto From =
      Test.m_Wire.m_SentSizes.begin() + static_cast<std::ptrdiff_t>(Before);
  auto End = Test.m_Wire.m_SentSizes.end();
  // Four records fit into a message, and each goes to three hosts; no other
  // kind of message is as large as a record.
  CHECK(std::count_if(From, End, [](std::size_t Size) {
          return Size > ValueBytes;
        }) <= 8 * 3);
  constexpr auto Packet = 1400U;
  CHECK(std::all_of(From, End, [](std::size_t Size) { return Size < Packet; }));
}

TEST_CASE("store relay: two mismatching replies of the only up-to-date relay "
          "trigger a read") {
  auto Test = DataCentreFixture();
  Test.advanceWithRelays(Seconds(3));
  Test.m_BehindRelay = 0;
  Test.advanceWithRelays(Seconds(3));
  Test.m_Hosts[1]->m_Digest = 2;
  Test.advanceWithRelays(Milliseconds(1200));
  CHECK(Test.m_Hosts[3]->m_BackendReads > 0);
}

// Guards against confirmations and changes of an earlier history, relayed by a
// host that has not seen the restore of the store yet.
TEST_CASE(
    "store relay: what a relay confirms counts only in the history of the "
    "store that it has observed") {
  auto Test = DataCentreFixture();
  for (auto &Current : Test.m_Hosts)
    Current->m_Store.history().observe(StoreEra{1});
  Test.advanceWithRelays(Seconds(3));
  auto &Follower = *Test.m_Hosts[3];
  REQUIRE(Follower.m_Following);
  SUBCASE("the follower has observed the restore first") {
    Follower.m_Store.history().observe(StoreEra{2});
    auto ConfirmedAt = Follower.m_ConfirmedAt;
    Test.advanceWithRelays(Seconds(1));
    CHECK(Follower.m_ConfirmedAt == ConfirmedAt);
    CHECK(Follower.m_Store.history().era() == StoreEra{2});
  }
  SUBCASE("a relay has observed it first, and others learn of it") {
    Test.m_Hosts[0]->m_Store.history().observe(StoreEra{2});
    Test.advanceWithRelays(Seconds(1));
    CHECK(Follower.m_Store.history().era() == StoreEra{2});
  }
  SUBCASE("changes name their history") {
    Test.m_Hosts[0]->m_Relay.relayChange(
        {.m_Key = "servers/i",
         .m_Value = "v",
         .m_Revision = StoreRevision{3, StoreEra{2}}});
    Test.advanceWithRelays(Milliseconds(100));
    REQUIRE(Follower.m_Changes.size() == 1);
    CHECK(Follower.m_Changes[0].m_Revision == StoreRevision{3, StoreEra{2}});
    CHECK(Follower.m_Store.history().era() == StoreEra{2});
  }
}

TEST_CASE("host messages: decoding restores the encoded message, and other "
          "bytes are rejected") {
  auto Message = HostMessage{
      .m_Sender = HostId{"h1"},
      .m_DataCentre = DataCentreId{"a"},
      .m_Content = LoadSummary{
          .m_WholeDataCentre = true,
          .m_Engines = {{.m_Engine = BackendId{"e"},
                         .m_Requests = 3,
                         .m_PendingPrefillTokens = 512}},
          .m_PrefillTokensPerSecond = 40,
          .m_Reads = {{.m_Engine = BackendId{"e"},
                       .m_Parts = {{.m_Id = "p", .m_Tokens = TokenCount{7}}}}},
          .m_RateLimits = {{.m_Backend = BackendId{"e"},
                            .m_Limit = RequestRate{2.3},
                            .m_Age = Milliseconds(40)},
                           {.m_Backend = BackendId{"f"}}}}};
  auto Read = decodeHostMessage(encodeHostMessage(Message));
  const auto &Loads = std::get<LoadSummary>(Read.m_Content);
  CHECK(Loads.m_WholeDataCentre);
  CHECK(Loads.m_Engines.at(0).m_PendingPrefillTokens == 512);
  CHECK(Loads.m_Reads.at(0).m_Parts.at(0).m_Tokens == TokenCount{7});
  CHECK(Loads.m_PrefillTokensPerSecond == 40);
  CHECK(Loads.m_RateLimits.at(0).m_Limit == RequestRate{2.3});
  CHECK(Loads.m_RateLimits.at(0).m_Age >= Milliseconds(40));
  CHECK(!Loads.m_RateLimits.at(1).m_Limit);
  CHECK_THROWS_AS(decodeHostMessage("no message at all"), ProtocolError);
  CHECK_THROWS_AS(decodeHostMessage(""), ProtocolError);
}
