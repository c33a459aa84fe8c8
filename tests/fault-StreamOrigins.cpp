#include "dotterel/peers/StreamOriginExchange.h"
#include "support/DatagramNetwork.h"
#include "support/ScriptedStore.h"
#include "support/VirtualScheduler.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>
#include <set>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto DataCentreCount = 3;

auto hostName(int Number) -> std::string {
  return fmt::format("h{:03}", Number);
}

auto dataCentreOf(int Number) -> std::string {
  return fmt::format("d{}", Number % DataCentreCount);
}

auto origin(int Version) -> StreamOrigin {
  return {.m_Service = "llm",
          .m_Version = SoftwareVersion{fmt::format("v{}", Version)}};
}

auto request(int Number) -> RequestId {
  return RequestId{fmt::format("{:016x}", 0x9e3779b9U * (Number + 1))};
}

/// A host whose registry is filled by the test.
struct Host {
  Host(VirtualScheduler &Scheduler, DatagramNetwork &Wire, int Number,
       int Registered)
      : m_Random(static_cast<std::uint64_t>(Number)),
        m_Port(Wire, hostName(Number)),
        m_Registry(Scheduler, m_Store, m_Store, m_Random,
                   {.m_Host = HostId{hostName(Number)},
                    .m_DataCentre = DataCentreId{dataCentreOf(Number)},
                    .m_Address = m_Port.address()},
                   {}),
        m_Exchange(Scheduler, m_Port, m_Registry, {}) {
    m_Port.onReceive([this](const std::string &From, std::string_view Bytes) {
      m_ReceivedBytes += Bytes.size();
      m_Exchange.receive(decodeHostMessage(Bytes), From);
    });
    m_Registry.start();
    list(Registered);
  }

  auto list(int Registered) -> void {
    auto Listed = RangeResult();
    for (auto Other = 0; Other < Registered; ++Other)
      Listed.m_Values.push_back(
          {.m_Key = "hosts/" + hostName(Other),
           .m_Value = fmt::format(R"({{"address":"{}","data_centre":"{}"}})",
                                  hostName(Other), dataCentreOf(Other)),
           .m_Modified = StoreRevision{1}});
    m_Store.respondToRead(Listed);
  }

  ScriptedStore m_Store;
  Random m_Random;
  DatagramNetwork::Port m_Port;
  HostRegistry m_Registry;
  StreamOriginExchange m_Exchange;
  std::size_t m_ReceivedBytes = 0;
};

struct World {
  explicit World(int Count) : m_Count(Count) {
    m_Wire.m_IsCut = [this](const std::string &From, const std::string &To) {
      return m_Down.contains(From) || m_Down.contains(To);
    };
    for (auto Number = 0; Number < Count; ++Number)
      m_Hosts.push_back(
          std::make_unique<Host>(m_Scheduler, m_Wire, Number, Count));
  }

  auto kill(int Number) -> void { m_Down.insert(hostName(Number)); }

  /// Starts the host again, with empty memory.
  auto restart(int Number) -> void {
    m_Down.erase(hostName(Number));
    auto &Place = m_Hosts[static_cast<std::size_t>(Number)];
    Place.reset();
    Place = std::make_unique<Host>(m_Scheduler, m_Wire, Number, m_Count);
  }

  auto host(int Number) -> Host & {
    return *m_Hosts[static_cast<std::size_t>(Number)];
  }

  /// Looks a stream up at a host, like a request that takes it up.
  auto find(int At, const RequestId &First) -> std::optional<StreamOrigin> {
    auto &Exchange = host(At).m_Exchange;
    if (auto Known = Exchange.known(First))
      return Known;
    auto Result = std::optional<StreamLookup>();
    Exchange.ask(First, [&](const StreamLookup &Found) {
      CHECK_FALSE(Result);
      Result = Found;
    });
    CHECK_FALSE(Result);
    m_Scheduler.advance(StreamOriginExchangeOptions().m_LookupTimeout);
    REQUIRE(Result);
    return Result->m_Origin;
  }

  int m_Count;
  VirtualScheduler m_Scheduler;
  DatagramNetwork m_Wire{m_Scheduler};
  std::set<std::string> m_Down;
  std::vector<std::unique_ptr<Host>> m_Hosts;
};

constexpr auto Settle = Milliseconds(200);

} // namespace

TEST_CASE(
    "stream origins: any host finds the origin of a stream after the host "
    "that served it has ended") {
  auto Test = World(9);
  for (auto Number = 0; Number < 50; ++Number)
    Test.host(4).m_Exchange.record(request(Number), origin(Number % 2));
  Test.m_Scheduler.advance(Settle);
  Test.kill(4);
  for (auto Number = 0; Number < 50; ++Number)
    for (auto At : {0, 1, 8})
      CHECK(Test.find(At, request(Number)) == origin(Number % 2));
}

TEST_CASE("stream origins: the loss of a data centre loses no origin, and that "
          "of two thirds of the hosts, restarted at once, less than half") {
  for (auto WholeDataCentre : {true, false}) {
    auto Test = World(9);
    for (auto Number = 0; Number < 200; ++Number)
      Test.host(1).m_Exchange.record(request(Number), origin(Number % 3));
    Test.m_Scheduler.advance(Settle);
    if (WholeDataCentre)
      for (auto Lost : {1, 4, 7})
        Test.kill(Lost);
    else
      for (auto Lost : {0, 1, 2, 3, 4, 5})
        Test.restart(Lost);
    auto Found = 0;
    for (auto Number = 0; Number < 200; ++Number)
      if (auto Origin = Test.find(8, request(Number))) {
        CHECK(*Origin == origin(Number % 3));
        ++Found;
      }
    CHECK(Found >= (WholeDataCentre ? 200 : 100));
  }
}

// Guards against joined streams after all hosts were killed at once: none of
// them may infer which version began a stream.
TEST_CASE("stream origins: after a restart of all hosts no origin is known") {
  auto Test = World(9);
  for (auto Number = 0; Number < 20; ++Number)
    Test.host(0).m_Exchange.record(request(Number), origin(1));
  Test.m_Scheduler.advance(Settle);
  for (auto Number = 0; Number < 9; ++Number)
    Test.restart(Number);
  for (auto Number = 0; Number < 20; ++Number)
    CHECK_FALSE(Test.find(Number % 9, request(Number)));
}

TEST_CASE("stream origins: lost, repeated and late datagrams cause no wrong "
          "origin, and few unknown ones") {
  auto Test = World(12);
  Test.m_Wire.m_LossRate = 0.2;
  Test.m_Wire.m_RepeatRate = 0.2;
  Test.m_Wire.m_MaxJitter = Milliseconds(40);
  auto Found = 0;
  constexpr auto Streams = 300;
  for (auto Number = 0; Number < Streams; ++Number)
    Test.host(Number % 12)
        .m_Exchange.record(request(Number), origin(Number % 4));
  Test.m_Scheduler.advance(Settle);
  for (auto Number = 0; Number < Streams; ++Number)
    if (auto Origin = Test.find((Number + 5) % 12, request(Number))) {
      CHECK(*Origin == origin(Number % 4));
      ++Found;
    }
  CHECK(Found > Streams * 9 / 10);
}

TEST_CASE("stream origins: a lookup that is faster than the record finds it "
          "with the second question") {
  auto Test = World(9);
  Test.host(0).m_Exchange.record(request(1), origin(1));
  CHECK(Test.find(5, request(1)) == origin(1));
}

TEST_CASE("stream origins: hosts that are cut off refuse within the time of a "
          "lookup, a single host at once") {
  auto Test = World(3);
  for (auto Number = 1; Number < 3; ++Number)
    Test.kill(Number);
  CHECK_FALSE(Test.find(0, request(1)));
  auto Alone = World(1);
  auto Done = false;
  Alone.host(0).m_Exchange.ask(request(1), [&](const StreamLookup &Found) {
    CHECK(Found.m_AskedHosts == 0);
    Done = true;
  });
  Alone.m_Scheduler.advance(Duration::zero());
  CHECK(Done);
}

TEST_CASE("stream origins: a cancelled lookup has no callback, and replies of "
          "hosts that were not asked are ignored") {
  auto Test = World(9);
  Test.host(0).m_Exchange.record(request(1), origin(1));
  Test.m_Scheduler.advance(Settle);
  auto Lookup = Test.host(5).m_Exchange.ask(
      request(2), [](const StreamLookup &) { CHECK(false); });
  Test.host(5).m_Exchange.cancel(Lookup);
  auto Result = std::optional<StreamLookup>();
  auto Next = Test.host(5).m_Exchange.ask(
      request(2), [&](const StreamLookup &Found) { Result = Found; });
  auto Reply = StreamReply{.m_Query = {.m_Number = Next.number(),
                                       .m_Stream = digestStream(request(2))},
                           .m_Origin = origin(7)};
  Test.host(5).m_Exchange.receive({.m_Content = Reply}, "elsewhere");
  CHECK_FALSE(Result);
  Test.m_Scheduler.advance(Seconds(1));
  REQUIRE(Result);
  CHECK_FALSE(Result->m_Origin);
}

TEST_CASE("stream origins: what a host receives for the streams that begin "
          "does not grow with the number of hosts") {
  constexpr auto StreamsPerHost = 40;
  auto PerHost = std::map<int, std::size_t>();
  for (auto Count : {30, 300}) {
    auto Test = World(Count);
    for (auto Number = 0; Number < Count * StreamsPerHost; ++Number) {
      Test.host(Number % Count)
          .m_Exchange.record(request(Number), origin(Number % 2));
      if (Number % Count == 0)
        Test.m_Scheduler.advance(Milliseconds(1000 / StreamsPerHost));
    }
    Test.m_Scheduler.advance(Settle);
    auto Sum = std::size_t{0};
    for (const auto &Current : Test.m_Hosts)
      Sum += Current->m_ReceivedBytes;
    PerHost[Count] = Sum / static_cast<std::size_t>(Count);
    MESSAGE(Count, " hosts: ", PerHost[Count], " bytes a second and host");
  }
  CHECK(PerHost[300] < 2 * PerHost[30]);
}
