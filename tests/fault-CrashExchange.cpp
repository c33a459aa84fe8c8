#include "dotterel/peers/CrashExchange.h"
#include "support/DatagramNetwork.h"
#include "support/ScriptedStore.h"
#include "support/VirtualScheduler.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto HostCount = 12;
constexpr auto DataCentreCount = 3;
constexpr auto Crashing = RequestDigest{1};
constexpr auto Runs = 50;

auto hostName(int Number) -> std::string {
  return fmt::format("h{:02}", Number);
}

auto dataCentreOf(int Number) -> std::string {
  return fmt::format("d{}", Number % DataCentreCount);
}

/// Counts the bytes that are sent through another port.
class CountingPort final : public DatagramPort {
public:
  explicit CountingPort(DatagramPort &Port) : m_Port(Port) {}

  auto send(const std::string &Address, std::string_view Bytes)
      -> void override {
    m_SentBytes[Address] += Bytes.size();
    ++m_Messages;
    m_SentReports[Address] +=
        std::get<CrashReports>(decodeHostMessage(Bytes).m_Content)
            .m_Reports.size();
    m_LargestMessage = std::max(m_LargestMessage, Bytes.size());
    m_Port.send(Address, Bytes);
  }
  auto
  onReceive(std::function<void(const std::string &, std::string_view)> Callback)
      -> void override {
    m_Port.onReceive(std::move(Callback));
  }
  [[nodiscard]] auto address() const -> std::string override {
    return m_Port.address();
  }
  [[nodiscard]] auto dropped() const -> std::uint64_t override {
    return m_Port.dropped();
  }

  std::map<std::string, std::size_t> m_SentBytes;   ///< By address.
  std::map<std::string, std::size_t> m_SentReports; ///< By address.
  std::size_t m_Messages = 0;
  std::size_t m_LargestMessage = 0;

private:
  DatagramPort &m_Port;
};

/// A host whose registry is filled by the test.
struct Host {
  Host(VirtualScheduler &Scheduler, DatagramNetwork &Wire, int Number,
       int Registered, std::uint64_t Seed)
      : m_Scheduler(Scheduler), m_Random(Seed * HostCount + Number),
        m_Port(Wire, hostName(Number)),
        m_Registry(Scheduler, m_Store, m_Store, m_Random,
                   {.m_Host = HostId{hostName(Number)},
                    .m_DataCentre = DataCentreId{dataCentreOf(Number)},
                    .m_Address = m_Port.address()},
                   {}),
        m_Loads(
            Scheduler, m_Port, m_Registry, [] { return LoadSummary(); },
            [](const std::string &, const LoadSummary &) {}, {}),
        m_Exchange(Scheduler, m_Counting, m_Random, m_Registry, m_Loads,
                   m_Crashes,
                   [this](const CrashReport &Report, MonotonicTime Now) {
                     return m_Crashes.merge(Report, Now);
                   },
                   {}) {
    m_Port.onReceive([this](const std::string &From, std::string_view Bytes) {
      auto Message = decodeHostMessage(Bytes);
      m_Loads.receive(Message, From, Bytes);
      m_Exchange.receive(Message, From);
    });
    m_Registry.start();
    auto Listed = RangeResult();
    for (auto Other = 0; Other < Registered; ++Other)
      Listed.m_Values.push_back(
          {.m_Key = "hosts/" + hostName(Other),
           .m_Value = fmt::format(R"({{"address":"{}","data_centre":"{}"}})",
                                  hostName(Other), dataCentreOf(Other)),
           .m_Modified = StoreRevision{1}});
    m_Store.respondToRead(Listed);
    m_Loads.start();
    m_Exchange.start();
  }

  auto lose(const std::string &Backend,
            const std::vector<RequestDigest> &Digests) -> void {
    auto Running = std::vector<RunningRequest>();
    for (auto Digest : Digests)
      Running.push_back({.m_Digest = Digest, .m_SentAt = m_Scheduler.now()});
    m_Crashes.recordLoss(BackendId{Backend},
                         DataCentreId{m_Registry.self().m_DataCentre}, Running,
                         m_Scheduler.now());
    m_Exchange.announce(Digests);
  }

  auto release(RequestDigest Digest) -> void {
    m_Crashes.release(Digest);
    m_Exchange.announce({Digest});
  }

  VirtualScheduler &m_Scheduler;
  ScriptedStore m_Store;
  Random m_Random;
  DatagramNetwork::Port m_Port;
  CountingPort m_Counting{m_Port};
  HostRegistry m_Registry;
  LoadExchange m_Loads;
  CrashRegistry m_Crashes{{.m_QuarantineLossesShared = 3,
                           .m_MinReclaimedServers = 0,
                           .m_EvidenceLifetime = Seconds(300)}};
  CrashExchange m_Exchange;
};

struct HostCluster {
  explicit HostCluster(std::uint64_t Seed = 1, int Started = HostCount)
      : m_Seed(Seed) {
    m_Wire.m_Random = Random(Seed);
    for (auto Number = 0; Number < Started; ++Number)
      add(Number, Started);
    m_Scheduler.advance(Seconds(5));
  }

  auto add(int Number, int Registered) -> void {
    m_Hosts.push_back(std::make_unique<Host>(m_Scheduler, m_Wire, Number,
                                             Registered, m_Seed));
  }

  auto makeUnreliable() -> void {
    m_Wire.m_LossRate = 0.2;
    m_Wire.m_RepeatRate = 0.2;
    m_Wire.m_MaxJitter = Milliseconds(80);
  }

  auto cutOffThirdDataCentre() -> void {
    auto IsCutOff = [](const std::string &Name) {
      return std::stoi(Name.substr(1)) % DataCentreCount == 2;
    };
    m_Wire.m_IsCut = [IsCutOff](const std::string &A, const std::string &B) {
      return IsCutOff(A) != IsCutOff(B);
    };
  }

  /// Loses one server after another at hosts of different data centres.
  auto loseServers(int Count) -> void {
    for (auto Number = 0; Number < Count; ++Number) {
      m_Scheduler.advance(Milliseconds(400));
      m_Hosts[static_cast<std::size_t>(Number)]->lose(
          fmt::format("e{}", Number), {Crashing});
    }
  }

  auto hostsWith(CrashVerdict Verdict) -> int {
    return static_cast<int>(
        std::count_if(m_Hosts.begin(), m_Hosts.end(), [&](const auto &Item) {
          return Item->m_Crashes.verdict(Crashing) == Verdict;
        }));
  }

  auto messages() -> std::size_t {
    auto Sum = std::size_t{0};
    for (const auto &Item : m_Hosts)
      Sum += Item->m_Counting.m_Messages;
    return Sum;
  }

  std::uint64_t m_Seed;
  VirtualScheduler m_Scheduler;
  DatagramNetwork m_Wire{m_Scheduler};
  std::vector<std::unique_ptr<Host>> m_Hosts;
};

} // namespace

TEST_CASE("crash exchange: all hosts quarantine a digest within 300 ms of its "
          "third consecutive loss") {
  auto Test = HostCluster();
  Test.m_Wire.m_Delay = Milliseconds(40);
  Test.loseServers(2);
  Test.m_Scheduler.advance(Milliseconds(300));
  CHECK(Test.hostsWith(CrashVerdict::Suspect) == HostCount);
  Test.m_Scheduler.advance(Seconds(5));
  Test.m_Hosts[2]->lose("e9", {Crashing});
  Test.m_Scheduler.advance(Milliseconds(300));
  CHECK(Test.hostsWith(CrashVerdict::Quarantined) == HostCount);
}

// Each host would otherwise pass the crashing request on to further servers for
// as long as a single datagram to it is lost.
TEST_CASE("crash exchange: with lost, repeated and reordered datagrams all "
          "hosts reach the same verdict within a second") {
  for (auto Seed = 1U; Seed <= Runs; ++Seed) {
    CAPTURE(Seed);
    auto Test = HostCluster(Seed);
    Test.makeUnreliable();
    Test.loseServers(3);
    Test.m_Scheduler.advance(Seconds(1));
    CHECK(Test.hostsWith(CrashVerdict::Quarantined) == HostCount);
  }
}

TEST_CASE("crash exchange: a data centre that was cut off learns of the "
          "evidence after the cut, and the others learn of its evidence") {
  for (auto Length : {Seconds(1), Seconds(4), Seconds(40)}) {
    for (auto Seed = 1U; Seed <= 10; ++Seed) {
      CAPTURE(Length.count());
      CAPTURE(Seed);
      auto Test = HostCluster(Seed);
      Test.makeUnreliable();
      Test.cutOffThirdDataCentre();
      Test.loseServers(2);
      Test.m_Scheduler.advance(Seconds(1) + Length);
      Test.m_Hosts[5]->lose("e8", {Crashing});
      Test.m_Scheduler.advance(Milliseconds(200));
      CHECK(Test.hostsWith(CrashVerdict::Quarantined) == 0);
      Test.m_Wire.m_IsCut = nullptr;
      Test.m_Scheduler.advance(Seconds(3));
      CHECK(Test.hostsWith(CrashVerdict::Quarantined) == HostCount);
    }
  }
}

// Digests that are only suspect are not repeated.
TEST_CASE(
    "crash exchange: a data centre that was cut off learns of a loss from "
    "during the cut, and so does a host that was cut off alone") {
  for (auto Alone : {false, true}) {
    for (auto Seed = 1U; Seed <= Runs; ++Seed) {
      CAPTURE(Alone);
      CAPTURE(Seed);
      auto Test = HostCluster(Seed);
      Test.makeUnreliable();
      if (Alone)
        Test.m_Wire.m_IsCut = [](const std::string &A, const std::string &B) {
          return A == hostName(2) || B == hostName(2);
        };
      else
        Test.cutOffThirdDataCentre();
      Test.loseServers(1);
      Test.m_Scheduler.advance(Seconds(20));
      CHECK(Test.hostsWith(CrashVerdict::Suspect) < HostCount);
      Test.m_Wire.m_IsCut = nullptr;
      Test.m_Scheduler.advance(Seconds(3));
      CHECK(Test.hostsWith(CrashVerdict::Suspect) == HostCount);
    }
  }
}

// The others learn of a new host's registration only after some seconds.
TEST_CASE(
    "crash exchange: a host that was started later learns of the evidence "
    "within 3 s, before the others know that it is registered") {
  for (auto Seed = 1U; Seed <= Runs; ++Seed) {
    CAPTURE(Seed);
    auto Test = HostCluster(Seed, HostCount - 1);
    Test.makeUnreliable();
    Test.loseServers(3);
    Test.m_Scheduler.advance(Seconds(60));
    Test.add(HostCount - 1, HostCount);
    Test.m_Scheduler.advance(Seconds(3));
    CHECK(Test.hostsWith(CrashVerdict::Quarantined) == HostCount);
  }
}

// Guards against a release that is not sent, since no other host has reported
// the evidence.
TEST_CASE("crash exchange: a release of a digest that all hosts have read from "
          "the store clears it at all of them") {
  for (auto Wait : {Seconds(0), Seconds(30)}) {
    CAPTURE(Wait.count());
    auto Test = HostCluster();
    auto Now = Test.m_Scheduler.now();
    auto Stored = CrashReport{.m_Digest = Crashing};
    for (auto Number = 1; Number <= 3; ++Number)
      Stored.m_Losses.emplace(BackendId{fmt::format("e{}", Number)},
                              LossAges{.m_SinceSent = Seconds(Number * 10 + 1),
                                       .m_SinceLost = Seconds(Number * 10)});
    for (auto &Item : Test.m_Hosts) {
      Item->m_Crashes.merge(Stored, Now);
      Item->m_Exchange.noteStored({Crashing});
    }
    Test.m_Scheduler.advance(Wait);
    CHECK(Test.hostsWith(CrashVerdict::Quarantined) == HostCount);
    Test.m_Hosts[7]->release(Crashing);
    Test.m_Scheduler.advance(Seconds(1));
    CHECK(Test.hostsWith(CrashVerdict::Clear) == HostCount);
  }
}

// A digest that is cleared by one host and remains suspect at others is served
// differently by each of them.
TEST_CASE("crash exchange: a release at one host clears a digest at all hosts, "
          "and old messages do not bring the evidence back") {
  for (auto Losses : {1, 3}) {
    for (auto Seed = 1U; Seed <= Runs; ++Seed) {
      CAPTURE(Losses);
      CAPTURE(Seed);
      auto Test = HostCluster(Seed);
      Test.makeUnreliable();
      Test.loseServers(Losses);
      Test.m_Scheduler.advance(Seconds(2));
      auto Old = encodeHostMessage(
          {.m_Sender = HostId{hostName(1)},
           .m_DataCentre = DataCentreId{dataCentreOf(1)},
           .m_Content =
               CrashReports{.m_Reports = Test.m_Hosts[1]->m_Crashes.reports(
                                Test.m_Scheduler.now())}});
      Test.m_Hosts[7]->release(Crashing);
      Test.m_Scheduler.advance(Seconds(4));
      CHECK(Test.hostsWith(CrashVerdict::Clear) == HostCount);
      for (auto Number = 0; Number < HostCount; ++Number)
        Test.m_Wire.transmit(hostName(1), hostName(Number), Old);
      Test.m_Scheduler.advance(Seconds(4));
      CHECK(Test.hostsWith(CrashVerdict::Clear) == HostCount);
    }
  }
}

// Bytes between regions are billed.
TEST_CASE("crash exchange: nothing is sent while there is no evidence, or once "
          "it is released or was never shared") {
  auto Test = HostCluster();
  CHECK(Test.messages() == 0);
  // A success right after the loss.
  Test.m_Hosts[0]->lose("e0", {Crashing});
  Test.m_Hosts[0]->release(Crashing);
  Test.m_Scheduler.advance(Seconds(20));
  CHECK(Test.messages() == 0);
  Test.m_Hosts[1]->lose("e1", {Crashing});
  Test.m_Scheduler.advance(Seconds(1));
  Test.m_Hosts[2]->release(Crashing);
  Test.m_Scheduler.advance(Seconds(15));
  auto Before = Test.messages();
  CHECK(Before > 0);
  Test.m_Scheduler.advance(Seconds(60));
  CHECK(Test.messages() == Before);
  // A suspect digest is not repeated forever, a quarantined one is.
  Test.m_Hosts[1]->lose("e1", {Crashing});
  Test.m_Scheduler.advance(Seconds(6));
  Before = Test.messages();
  Test.m_Scheduler.advance(Seconds(60));
  CHECK(Test.messages() == Before);
  Test.loseServers(3);
  Test.m_Scheduler.advance(Seconds(6));
  Before = Test.messages();
  Test.m_Scheduler.advance(Seconds(60));
  // Each host to one of its data centre, and three hosts to two data centres,
  // every two seconds.
  CHECK(Test.messages() - Before <= (HostCount + 3 * 2) * 30);
  CHECK(Test.messages() - Before >= HostCount * 25);
}

namespace {

struct Traffic {
  double m_LargestPeerBits = 0; ///< Per second from one host to another.
  double m_LargestHostBits = 0; ///< Per second from one host to all others.
  std::size_t m_LargestMessage = 0;
  bool m_Quarantined = false; ///< The last digest, at all hosts.
};

/// Loses three servers a second, each with 64 requests that are new, by digests
/// of which each crashes five servers. If \p Spread, different hosts lose them,
/// otherwise one host loses them all.
auto crashTraffic(HostCluster &Test, bool Spread) -> Traffic {
  constexpr auto Bystanders = 64;
  constexpr auto LossesPerSecond = 3;
  constexpr auto LossesPerDigest = 5;
  constexpr auto Duration = 20;
  auto Next = std::uint64_t{1000};
  auto Current = RequestDigest();
  for (auto Loss = 0; Loss < Duration * LossesPerSecond; ++Loss) {
    auto Number = Spread ? Loss % HostCount : 1;
    if (Loss % LossesPerDigest == 0)
      Current = RequestDigest{Next++ * 0x9e3779b97f4a7c15};
    auto Digests = std::vector<RequestDigest>{Current};
    for (auto Index = 0; Index < Bystanders; ++Index)
      Digests.emplace_back(Next++ * 0x9e3779b97f4a7c15);
    Test.m_Hosts[static_cast<std::size_t>(Number)]->lose(
        fmt::format("backend-{}", Loss), Digests);
    Test.m_Scheduler.advance(Milliseconds(1000) / LossesPerSecond);
    // The bystanders succeed on their next attempts.
    Digests.erase(Digests.begin());
    for (auto Digest : Digests)
      Test.m_Hosts[static_cast<std::size_t>(Number)]->release(Digest);
  }
  auto BitsPerSecond = [](std::size_t Bytes) {
    return 8.0 * static_cast<double>(Bytes) / Duration;
  };
  auto Result = Traffic();
  Result.m_Quarantined = std::all_of(
      Test.m_Hosts.begin(), Test.m_Hosts.end(), [&](const auto &Item) {
        return Item->m_Crashes.verdict(Current) == CrashVerdict::Quarantined;
      });
  for (const auto &Item : Test.m_Hosts) {
    auto Sum = std::size_t{0};
    for (const auto &[Address, Bytes] : Item->m_Counting.m_SentBytes) {
      Sum += Bytes;
      Result.m_LargestPeerBits =
          std::max(Result.m_LargestPeerBits, BitsPerSecond(Bytes));
    }
    Result.m_LargestHostBits =
        std::max(Result.m_LargestHostBits, BitsPerSecond(Sum));
    Result.m_LargestMessage =
        std::max(Result.m_LargestMessage, Item->m_Counting.m_LargestMessage);
  }
  return Result;
}

} // namespace

// The link of a host is as small as 10 Mbit/s.
TEST_CASE("crash exchange: three crashes a second with 64 bystanders each take "
          "less than 64 kbit/s between two hosts, in messages of one packet") {
  for (auto Spread : {false, true}) {
    CAPTURE(Spread);
    auto Test = HostCluster();
    auto Sent = crashTraffic(Test, Spread);
    MESSAGE(fmt::format("spread {}: {:.1f} kbit/s to a peer, {:.1f} kbit/s to "
                        "all, largest message {} bytes",
                        Spread, Sent.m_LargestPeerBits / 1000,
                        Sent.m_LargestHostBits / 1000, Sent.m_LargestMessage));
    CHECK(Sent.m_LargestPeerBits < 64'000);
    CHECK(Sent.m_LargestMessage <= CrashExchangeOptions().m_MaxMessageBytes);
    CHECK(Sent.m_Quarantined);
  }
}

// Requests with a common part succeed on many hosts after each loss.
TEST_CASE(
    "crash exchange: a release that many hosts observe is not sent by all "
    "of them") {
  auto Test = HostCluster();
  Test.m_Hosts[0]->lose("e0", {Crashing});
  Test.m_Scheduler.advance(Milliseconds(300));
  auto Before = Test.messages();
  for (auto &Current : Test.m_Hosts) {
    if (Current->m_Crashes.recordSuccess(Crashing))
      Current->m_Exchange.announce({Crashing});
    Test.m_Scheduler.advance(Milliseconds(2));
  }
  Test.m_Scheduler.advance(Milliseconds(100));
  CHECK(Test.hostsWith(CrashVerdict::Clear) == HostCount);
  // One host to three of its data centre and two of each other one, two of
  // which send it to three; a few others overlap.
  constexpr auto MessagesPerRelease = 3 + 4 + 4 * 3;
  CHECK(Test.messages() - Before <= 2 * MessagesPerRelease);
}

// A flood of bystanders must not delay the digest that crashes servers, nor
// take up the links.
TEST_CASE("crash exchange: the number of reports is limited, and the digests "
          "nearest to quarantine are sent first") {
  constexpr auto Waves = 20;
  constexpr auto LossesPerWave = 200;
  const auto Last = RequestDigest{~std::uint64_t{0}};
  auto Test = HostCluster();
  auto &Source = *Test.m_Hosts[0];
  for (auto Wave = 0; Wave < Waves; ++Wave) {
    auto Digests = std::vector<RequestDigest>();
    for (auto Index = 0; Index < LossesPerWave; ++Index)
      Digests.emplace_back(1'000'000 + Wave * LossesPerWave + Index);
    if (Wave >= Waves - 3)
      Digests.push_back(Last);
    Source.lose(fmt::format("f{}", Wave), Digests);
    Test.m_Scheduler.advance(Milliseconds(100));
  }
  for (const auto &Item : Test.m_Hosts)
    CHECK(Item->m_Crashes.verdict(Last) == CrashVerdict::Quarantined);
  auto Options = CrashExchangeOptions();
  constexpr auto TestSeconds = 2;
  constexpr auto ExchangesPerSecond = 2;
  for (const auto &[Address, Count] : Source.m_Counting.m_SentReports)
    CHECK(static_cast<double>(Count) <=
          Options.m_MaxReportBurst +
              TestSeconds *
                  (Options.m_MaxReportsPerSecond +
                   ExchangesPerSecond *
                       static_cast<double>(Options.m_MaxExchangeReports)));
}

// A report with the losses of a whole data centre would not fit into a packet.
TEST_CASE(
    "crash exchange: a report with many losses is cut to its newest ones") {
  auto Test = HostCluster();
  for (auto Number = 0; Number < 300; ++Number)
    Test.m_Hosts[0]->lose(fmt::format("backend-{}", Number), {Crashing});
  Test.m_Scheduler.advance(Seconds(2));
  CHECK(Test.hostsWith(CrashVerdict::Quarantined) == HostCount);
  for (const auto &Item : Test.m_Hosts)
    CHECK(Item->m_Counting.m_LargestMessage <=
          CrashExchangeOptions().m_MaxMessageBytes);
}
