#include "dotterel/peers/HostMessage.h"

#include "HostExchange.capnp.h"
#include "dotterel/base/Errors.h"
#include "dotterel/base/Random.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <cstring>
#include <doctest/doctest.h>
#include <kj/io.h>
#include <limits>

using namespace dotterel;

namespace {

auto crashMessage() -> HostMessage {
  auto Crashes = CrashReports();
  Crashes.m_Reports.push_back(
      {.m_Digest = RequestDigest{0xfedcba9876543210},
       .m_Losses = {{BackendId{"e1"},
                     {.m_SinceSent = Duration(1'234'999),
                      .m_SinceLost = Duration(999)}},
                    {BackendId{"e2"},
                     {.m_SinceSent = Seconds(90), .m_SinceLost = Seconds(80)}}},
       .m_Releases = 3,
       .m_LostAlone = true});
  Crashes.m_Reports.push_back({.m_Digest = RequestDigest{7}, .m_Releases = 1});
  Crashes.m_Reports.push_back(
      {.m_Digest = RequestDigest{8},
       .m_Losses = {{BackendId{"e2"},
                     {.m_SinceSent = Duration::max(),
                      .m_SinceLost = Milliseconds(-5)}}}});
  return {.m_Sender = HostId{"h1"},
          .m_DataCentre = DataCentreId{"a"},
          .m_Content = std::move(Crashes)};
}

auto pack(capnp::MallocMessageBuilder &Builder) -> std::string {
  auto Output = kj::VectorOutputStream();
  capnp::writePackedMessage(Output, Builder);
  auto Bytes = Output.getArray();
  return {reinterpret_cast<const char *>(Bytes.begin()), Bytes.size()};
}

/// Decodes \p Bytes, which are either rejected or a valid message.
auto survives(std::string_view Bytes) -> bool {
  try {
    decodeHostMessage(Bytes);
  } catch (const ProtocolError &) {
    return false;
  }
  return true;
}

} // namespace

// A receiver keeps the earliest time of a loss: if an age were rounded up, the
// loss would become older with each exchange.
TEST_CASE("HostMessage: crash reports arrive unchanged, with ages in whole "
          "milliseconds that are rounded down") {
  auto Sent = crashMessage();
  auto Received = decodeHostMessage(encodeHostMessage(Sent));
  CHECK(Received.m_Sender == Sent.m_Sender);
  CHECK(Received.m_DataCentre == Sent.m_DataCentre);
  const auto &Before = std::get<CrashReports>(Sent.m_Content).m_Reports;
  const auto &After = std::get<CrashReports>(Received.m_Content).m_Reports;
  REQUIRE(After.size() == Before.size());
  for (auto Index = std::size_t{0}; Index < Before.size(); ++Index) {
    CHECK(After[Index].m_Digest == Before[Index].m_Digest);
    CHECK(After[Index].m_Releases == Before[Index].m_Releases);
    CHECK(After[Index].m_LostAlone == Before[Index].m_LostAlone);
    CHECK(After[Index].m_Losses.size() == Before[Index].m_Losses.size());
  }
  CHECK(After[0].m_Losses.at(BackendId{"e1"}) ==
        LossAges{.m_SinceSent = Milliseconds(1234), .m_SinceLost = {}});
  CHECK(After[0].m_Losses.at(BackendId{"e2"}) ==
        LossAges{.m_SinceSent = Seconds(90), .m_SinceLost = Seconds(80)});
  CHECK(After[2].m_Losses.at(BackendId{"e2"}) ==
        LossAges{.m_SinceSent =
                     Milliseconds(std::numeric_limits<std::uint32_t>::max()),
                 .m_SinceLost = {}});
}

TEST_CASE("HostMessage: truncated and altered crash reports are rejected or "
          "decoded, and do no harm") {
  auto Bytes = encodeHostMessage(crashMessage());
  for (auto Length = std::size_t{0}; Length < Bytes.size(); ++Length)
    CHECK_FALSE(survives(std::string_view(Bytes).substr(0, Length)));
  auto Random = dotterel::Random(1);
  for (auto Run = 0; Run < 20'000; ++Run) {
    auto Altered = Bytes;
    for (auto Changes = Random.below(4) + 1; Changes > 0; --Changes)
      Altered[Random.below(Altered.size())] =
          static_cast<char>(Random.below(256));
    survives(Altered);
  }
}

// A run of zeros takes few bytes of a message.
TEST_CASE("HostMessage: a short message cannot contain very many crash reports "
          "or losses") {
  constexpr auto Many = 60'000U;
  auto ManyReports = capnp::MallocMessageBuilder();
  auto Crashes =
      ManyReports.initRoot<dotterel::schema::HostMessage>().initCrashes();
  Crashes.initDigests(Many);
  Crashes.initReleases(Many);
  Crashes.initLostAlone(Many);
  Crashes.initLossCounts(Many);
  CHECK(pack(ManyReports).size() < 2000);
  CHECK_FALSE(survives(pack(ManyReports)));
  auto ManyLosses = capnp::MallocMessageBuilder();
  Crashes = ManyLosses.initRoot<dotterel::schema::HostMessage>().initCrashes();
  Crashes.initBackends(1).set(0, "e1");
  Crashes.initDigests(1);
  Crashes.initReleases(1);
  Crashes.initLostAlone(1);
  Crashes.initLossCounts(1).set(0, Many);
  Crashes.initLossBackends(Many);
  Crashes.initMsSinceSent(Many);
  Crashes.initMsSinceLost(Many);
  CHECK_FALSE(survives(pack(ManyLosses)));
}

TEST_CASE(
    "HostMessage: crash reports with a missing column entry or an unknown "
    "backend server are rejected") {
  constexpr auto Columns = 8;
  for (auto Wrong = -1; Wrong < Columns; ++Wrong) {
    CAPTURE(Wrong);
    auto Builder = capnp::MallocMessageBuilder();
    auto Crashes =
        Builder.initRoot<dotterel::schema::HostMessage>().initCrashes();
    auto Size = [Wrong](int Column) { return Column == Wrong ? 1U : 2U; };
    Crashes.initBackends(Wrong == 7 ? 0 : 1);
    Crashes.initDigests(Size(0));
    Crashes.initReleases(Size(1));
    Crashes.initLostAlone(Size(2));
    auto Counts = Crashes.initLossCounts(Size(3));
    for (auto Index = 0U; Index < Counts.size(); ++Index)
      Counts.set(Index, 1);
    Crashes.initLossBackends(Size(4));
    Crashes.initMsSinceSent(Size(5));
    Crashes.initMsSinceLost(Size(6));
    CHECK(survives(pack(Builder)) == (Wrong == -1));
  }
}

// Hosts of different versions run side by side during an update.
TEST_CASE("HostMessage: content of a later version is rejected with a "
          "ProtocolError") {
  auto Builder = capnp::MallocMessageBuilder();
  Builder.initRoot<dotterel::schema::HostMessage>().setSender("h1");
  auto Segment = Builder.getSegmentsForOutput()[0];
  // The discriminant is the first field after the pointer to the root.
  constexpr auto LaterContent = std::uint16_t{60};
  auto *Fields = const_cast<capnp::word *>(Segment.begin() + 1);
  std::memcpy(reinterpret_cast<char *>(Fields), &LaterContent,
              sizeof(LaterContent));
  CHECK_THROWS_WITH_AS(decodeHostMessage(pack(Builder)),
                       doctest::Contains("unknown content"), ProtocolError);
}

TEST_CASE("HostMessage: the use of organisations arrives unchanged, and is "
          "rejected if it is invalid") {
  auto Use = OrganisationUse{.m_WholeDataCentre = true,
                             .m_Distributor = HostId{"h2"},
                             .m_Incarnation = 7,
                             .m_Number = 9,
                             .m_Hosts = 13};
  Use.m_Entries.push_back({.m_Organisation = OrganisationId{"o"},
                           .m_Unit = LimitUnit::Tokens,
                           .m_Demand = 5,
                           .m_Use = {1, 2, 3, 4, 5, 6, 7},
                           .m_Total = 8});
  auto Sent = HostMessage{.m_Sender = HostId{"h1"},
                          .m_DataCentre = DataCentreId{"a"},
                          .m_Content = Use};
  auto Received = decodeHostMessage(encodeHostMessage(Sent));
  const auto &After = std::get<OrganisationUse>(Received.m_Content);
  CHECK(After.m_WholeDataCentre);
  CHECK(After.m_Distributor == Use.m_Distributor);
  CHECK(After.m_Incarnation == 7);
  CHECK(After.m_Number == 9);
  CHECK(After.m_Hosts == 13);
  REQUIRE(After.m_Entries.size() == 1);
  CHECK(After.m_Entries[0].m_Organisation == OrganisationId{"o"});
  CHECK(After.m_Entries[0].m_Unit == LimitUnit::Tokens);
  CHECK(After.m_Entries[0].m_Use == Use.m_Entries[0].m_Use);
  CHECK(After.m_Entries[0].m_Total == 8);
  for (auto Invalid : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                       std::numeric_limits<double>::infinity()}) {
    auto Altered = Sent;
    std::get<OrganisationUse>(Altered.m_Content).m_Entries[0].m_Use[3] =
        Invalid;
    CHECK_FALSE(survives(encodeHostMessage(Altered)));
  }
  std::get<OrganisationUse>(Sent.m_Content)
      .m_Entries.resize(OrganisationUse::MaxEntries + 1);
  CHECK_FALSE(survives(encodeHostMessage(Sent)));
}

TEST_CASE("host messages: origins of streams, queries and replies survive "
          "encoding") {
  auto Origin = [](const std::string &Version) {
    return StreamOrigin{.m_Service = "llm",
                        .m_Version = SoftwareVersion{Version}};
  };
  auto Send = [](auto Content) {
    return std::get<decltype(Content)>(
        decodeHostMessage(encodeHostMessage({.m_Sender = HostId{"h"},
                                             .m_DataCentre = DataCentreId{"a"},
                                             .m_Content = Content}))
            .m_Content);
  };
  auto Records = StreamRecords();
  for (auto Number = std::size_t{0}; Number < StreamRecords::MaxStreams;
       ++Number)
    Records.m_Streams.emplace_back(StreamDigest{Number * 0x9e3779b97f4a7c15},
                                   Origin(Number % 3 == 0 ? "v1" : "v2"));
  CHECK(Send(Records).m_Streams == Records.m_Streams);
  auto Query = StreamQuery{.m_Number = 7,
                           .m_Round = 1,
                           .m_Stream = StreamDigest{0xfedcba9876543210}};
  CHECK(Send(Query).m_Stream == Query.m_Stream);
  CHECK(Send(Query).m_Number == 7);
  CHECK(Send(Query).m_Round == 1);
  auto Known = Send(StreamReply{.m_Query = Query, .m_Origin = Origin("v3")});
  CHECK(Known.m_Query.m_Stream == Query.m_Stream);
  CHECK(Known.m_Origin == Origin("v3"));
  CHECK_FALSE(Send(StreamReply{.m_Query = Query}).m_Origin);
}

TEST_CASE("host messages: origins of streams that do not fit together are "
          "rejected") {
  auto Encode = [](unsigned Streams, unsigned Positions, unsigned Origins,
                   std::uint8_t Position) {
    auto Builder = capnp::MallocMessageBuilder();
    auto Target = Builder.initRoot<schema::HostMessage>().initStreamRecords();
    Target.initStreams(Streams);
    auto List = Target.initOriginOfStream(Positions);
    if (Positions > 0)
      List.set(0, Position);
    Target.initOrigins(Origins);
    return pack(Builder);
  };
  CHECK(survives(Encode(2, 2, 1, 0)));
  CHECK_FALSE(survives(Encode(2, 1, 1, 0)));
  CHECK_FALSE(survives(Encode(1, 2, 1, 0)));
  CHECK_FALSE(survives(Encode(2, 2, 1, 1)));
  CHECK_FALSE(survives(Encode(1, 1, 2, 0)));
  CHECK_FALSE(survives(Encode(1, 1, 0, 0)));
  auto TooMany = static_cast<unsigned>(StreamRecords::MaxStreams) + 1;
  CHECK_FALSE(survives(Encode(TooMany, TooMany, 1, 0)));
}
