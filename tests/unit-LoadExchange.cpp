#include "dotterel/peers/LoadExchange.h"
#include "support/DatagramNetwork.h"
#include "support/ScriptedStore.h"
#include "support/VirtualScheduler.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// Time after which a host drops the load that a data centre has reported.
constexpr auto Expiry = Milliseconds(800);
/// Interval and copies of a data centre's summary to another one.
constexpr auto SummariesPerSecond = 5.0;
constexpr auto CopiesPerSummary = 2.0;

auto dataCentreOf(std::size_t Number, std::size_t DataCentres) -> DataCentreId {
  return DataCentreId{fmt::format("c{}", Number % DataCentres)};
}

/// A host whose registry is filled by the test.
struct Host {
  Host(VirtualScheduler &Scheduler, DatagramNetwork &Wire, std::size_t Number,
       std::size_t DataCentres, const RangeResult &Listed)
      : m_Port(Wire, fmt::format("h{}", Number)),
        m_Registry(Scheduler, m_Store, m_Store, m_Random,
                   {.m_Host = HostId{fmt::format("h{}", Number)},
                    .m_DataCentre = dataCentreOf(Number, DataCentres),
                    .m_Address = m_Port.address()},
                   {}),
        m_Exchange(
            Scheduler, m_Port, m_Registry,
            [this] {
              return LoadSummary{.m_Speeds = std::exchange(m_Speeds, {})};
            },
            [this, &Scheduler](const std::string &Origin,
                               const LoadSummary &Loads) {
              m_HeardSpeeds.insert(m_HeardSpeeds.end(), Loads.m_Speeds.begin(),
                                   Loads.m_Speeds.end());
              if (Loads.m_WholeDataCentre)
                m_HeardAt[Origin] = Scheduler.now();
            },
            {}) {
    m_Port.onReceive([this](const std::string &From, std::string_view Bytes) {
      if (m_Down)
        return;
      auto Message = decodeHostMessage(Bytes);
      if (m_UseExpected &&
          std::holds_alternative<OrganisationUse>(Message.m_Content))
        ++m_UseReports;
      // Throws if it is any other message.
      else if (std::get<LoadSummary>(Message.m_Content).m_WholeDataCentre)
        ++m_SummariesFrom[From];
      m_Exchange.receive(Message, From, Bytes);
    });
    m_Registry.start();
    m_Store.respondToRead(Listed);
    m_Exchange.start();
  }

  ScriptedStore m_Store;
  Random m_Random{1};
  DatagramNetwork::Port m_Port;
  HostRegistry m_Registry;
  LoadExchange m_Exchange;
  /// When the summary of each other data centre was last received.
  std::map<std::string, MonotonicTime> m_HeardAt;
  std::map<std::string, std::size_t> m_SummariesFrom; ///< By sender.
  std::vector<SpeedReport> m_Speeds;                  ///< To be reported once.
  std::vector<SpeedReport> m_HeardSpeeds;
  bool m_Down = false;
  bool m_UseExpected = false; ///< Otherwise only loads may be received.
  std::size_t m_UseReports = 0;
};

struct Installation {
  Installation(std::size_t Hosts, std::size_t DataCentres)
      : m_DataCentres(DataCentres) {
    auto Listed = RangeResult();
    for (auto Number = std::size_t{0}; Number < Hosts; ++Number)
      Listed.m_Values.push_back(
          {.m_Key = fmt::format("hosts/h{}", Number),
           .m_Value =
               fmt::format(R"({{"address":"h{}","data_centre":"{}"}})", Number,
                           dataCentreOf(Number, DataCentres).text()),
           .m_Modified = StoreRevision{1}});
    m_Wire.m_IsCut = [this](const std::string &From, const std::string &) {
      return m_Hosts[numberOf(From)]->m_Down;
    };
    for (auto Number = std::size_t{0}; Number < Hosts; ++Number)
      m_Hosts.push_back(std::make_unique<Host>(m_Scheduler, m_Wire, Number,
                                               DataCentres, Listed));
  }

  static auto numberOf(const std::string &Address) -> std::size_t {
    return std::stoul(Address.substr(1));
  }

  auto advance(Duration Time) -> void {
    m_Scheduler.advance(Time);
    // Thousands of datagrams a second.
    m_Wire.m_SentSizes.clear();
  }

  /// Returns the share of pairs of a host and another data centre whose summary
  /// the host has received lately.
  auto known() const -> double {
    auto Known = 0.0;
    auto Pairs = 0.0;
    for (const auto &Current : m_Hosts) {
      if (Current->m_Down)
        continue;
      Pairs += static_cast<double>(m_DataCentres - 1);
      for (const auto &[Origin, At] : Current->m_HeardAt)
        Known += m_Scheduler.now() - At < Expiry ? 1 : 0;
    }
    return Known / Pairs;
  }

  /// Returns the number of summaries that each host has sent on to hosts of its
  /// data centre, and forgets them.
  auto takeForwarded() -> std::vector<double> {
    auto Sent = std::vector<double>(m_Hosts.size());
    for (auto &Current : m_Hosts) {
      for (const auto &[From, Count] : Current->m_SummariesFrom)
        if (m_Hosts[numberOf(From)]->m_Registry.self().m_DataCentre ==
            Current->m_Registry.self().m_DataCentre)
          Sent[numberOf(From)] += static_cast<double>(Count);
      Current->m_SummariesFrom.clear();
    }
    return Sent;
  }

  std::size_t m_DataCentres;
  VirtualScheduler m_Scheduler;
  DatagramNetwork m_Wire{m_Scheduler};
  std::vector<std::unique_ptr<Host>> m_Hosts;
};

} // namespace

// Guards against hosts whose links are filled by what they send on to all hosts
// of their data centre.
TEST_CASE("load exchange: the summaries that a host sends on do not grow with "
          "the number of hosts") {
  struct Size {
    std::size_t m_Hosts;
    std::size_t m_DataCentres;
    Duration m_Time;
  };
  for (const auto &Current : {Size{30, 6, Seconds(4)}, Size{300, 6, Seconds(2)},
                              Size{1400, 8, Milliseconds(400)}}) {
    CAPTURE(Current.m_Hosts);
    auto Test = Installation(Current.m_Hosts, Current.m_DataCentres);
    Test.advance(Milliseconds(150)); // Hosts learn which ones are live.
    Test.takeForwarded();
    Test.advance(Current.m_Time);
    CHECK(Test.known() == 1.0);
    auto Seconds = std::chrono::duration<double>(Current.m_Time).count();
    auto MeanLimit = SummariesPerSecond * CopiesPerSummary *
                     static_cast<double>(Current.m_DataCentres - 1) * Seconds;
    auto Sent = Test.takeForwarded();
    auto Sum = 0.0;
    for (auto Count : Sent) {
      Sum += Count;
      // Hosts are chosen at random for each summary, so that none carries much
      // more than the mean for long.
      CHECK(Count <= 3 * MeanLimit);
    }
    CHECK(Sum / static_cast<double>(Sent.size()) <= 1.1 * MeanLimit);
  }
}

TEST_CASE(
    "load exchange: what hosts have learnt about a server's speed reaches "
    "other data centres once, added up, with the newest factor") {
  auto Test = Installation(8, 2);
  Test.advance(Seconds(1));
  auto Report = SpeedReport{.m_Backend = BackendId{"e"},
                            .m_Factor = 2.5,
                            .m_Age = Milliseconds(50),
                            .m_DeviationSum = 0.5,
                            .m_Measurements = 1};
  Test.m_Hosts[0]->m_Speeds = {Report};
  Report.m_Factor = 1.5;
  Report.m_Age = Milliseconds(200);
  Test.m_Hosts[2]->m_Speeds = {Report};
  Test.advance(Seconds(2));
  for (auto Number : {1, 3, 5, 7}) {
    auto Measurements = 0U;
    auto Newest = Duration::max();
    auto Factor = 0.0;
    for (const auto &Heard : Test.m_Hosts[Number]->m_HeardSpeeds) {
      Measurements += Heard.m_Measurements;
      CHECK(Heard.m_DeviationSum ==
            doctest::Approx(0.5 * Heard.m_Measurements));
      if (!Heard.m_Factor || Heard.m_Age >= Newest)
        continue;
      Newest = Heard.m_Age;
      Factor = *Heard.m_Factor;
    }
    CHECK(Measurements == 2);
    CHECK(Factor == doctest::Approx(2.5));
  }
}

TEST_CASE("load exchange: summaries reach the other hosts although datagrams "
          "are lost, repeated and late, and hosts end") {
  auto Test = Installation(120, 6);
  Test.m_Wire.m_LossRate = 0.02;
  Test.m_Wire.m_RepeatRate = 0.02;
  Test.m_Wire.m_MaxJitter = Milliseconds(30);
  Test.advance(Seconds(2));
  CHECK(Test.known() > 0.99);
  SUBCASE("the first hosts by name of all data centres end") {
    for (auto Number = std::size_t{0}; Number < 12; ++Number)
      Test.m_Hosts[Number]->m_Down = true;
  }
  SUBCASE("a third of the hosts ends") {
    for (auto Number = std::size_t{0}; Number < 120; ++Number)
      if (Number / 6 % 3 == 0)
        Test.m_Hosts[Number]->m_Down = true;
  }
  // They stay registered for a while.
  Test.advance(Seconds(2));
  CHECK(Test.known() > 0.9);
}

TEST_CASE(
    "load exchange: the use of organisations reaches the hosts of a data "
    "centre from each of them, and those of the others as one sum; without "
    "limits nothing is sent") {
  for (auto Limited : {false, true}) {
    CAPTURE(Limited);
    auto Test = Installation(60, 6);
    auto Heard = std::vector<std::map<std::string, MonotonicTime>>(60);
    for (auto Number = std::size_t{0}; Number < 60; ++Number) {
      Test.m_Hosts[Number]->m_UseExpected = Limited;
      Test.m_Hosts[Number]->m_Exchange.exchangeUse(
          [Limited](bool WholeDataCentre) {
            return Limited ? std::optional(OrganisationUse{.m_WholeDataCentre =
                                                               WholeDataCentre})
                           : std::nullopt;
          },
          [&, Number](const HostId &Sender, const DataCentreId &DataCentre,
                      const OrganisationUse &Use) {
            Heard[Number]
                 [Use.m_WholeDataCentre ? DataCentre.text() : Sender.text()] =
                     Test.m_Scheduler.now();
          });
    }
    Test.advance(Seconds(2));
    for (auto Number = std::size_t{0}; Number < 60; ++Number) {
      CHECK((Test.m_Hosts[Number]->m_UseReports > 0) == Limited);
      // Nine hosts of its data centre, and five other data centres.
      CHECK(Heard[Number].size() == (Limited ? 14 : 0));
      for (const auto &[Origin, At] : Heard[Number])
        CHECK(Test.m_Scheduler.now() - At < Milliseconds(500));
    }
  }
}
