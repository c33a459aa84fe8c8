#include "dotterel/serving/ChoiceSample.h"

#include "dotterel/serving/EnginePlacement.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <memory>

using namespace dotterel;

namespace {

constexpr auto Start = MonotonicTime(Seconds(100));
constexpr auto Hosts = 59;
constexpr auto Engines = 30;

auto hereIs() -> Distance {
  return {
      {.m_Host = HostId{"h"},
       .m_DataCentre = DataCentreId{"a"},
       .m_Region = RegionId{"r"}},
      {{DataCentreId{"a"}, RegionId{"r"}}, {DataCentreId{"b"}, RegionId{"s"}}}};
}

/// One of many hosts that place short prompts on the same engines.
struct PlacingHost {
  explicit PlacingHost(int Number, bool Uneven)
      : m_Random(static_cast<std::uint64_t>(Number)) {
    for (auto Engine = 0; Engine < Engines; ++Engine) {
      auto Id = BackendId{fmt::format("e{:02}", Engine)};
      m_Directory.put({.m_Id = Id,
                       .m_Service = m_Service.m_Id,
                       .m_Address = Id.text(),
                       .m_DataCentre = DataCentreId{"a"},
                       .m_Slots = 12,
                       .m_Stage = EngineStage::Decode});
      if (Uneven)
        m_Speeds.recordFactor(Id, 1, Start);
    }
  }

  auto place(MonotonicTime Now) -> int {
    auto Plan = m_Placement.plan(
        {.m_Directory = m_Directory,
         .m_Loads = m_Loads,
         .m_Health = m_Health,
         .m_Access = m_Access,
         .m_Speeds = m_Speeds,
         .m_Distance = m_Distance,
         .m_Random = m_Random},
        {}, PrefillSpeed({}), m_Service,
        {.m_Parts = {{.m_Id = "own", .m_Tokens = TokenCount{300}}},
         .m_PromptTokens = TokenCount{300}},
        {}, Now);
    m_Loads.beginAttempt(Plan.m_Serve->m_Id, Plan.m_NewTokens, Now);
    return std::stoi(Plan.m_Serve->m_Id.text().substr(1));
  }

  ServiceSpec m_Service{.m_Id = ServiceId{"llm"}, .m_Engine = EngineTraits{}};
  BackendDirectory m_Directory;
  LoadTracker m_Loads{LoadTrackerOptions{}};
  OutlierDetector m_Health{OutlierOptions{}};
  ServerAccess m_Access{{}, {}};
  Distance m_Distance = hereIs();
  Random m_Random;
  ServerSpeeds m_Speeds{m_Random, {}};
  EnginePlacement m_Placement{EnginePlacementOptions{.m_Choices = 2}};
};

/// Lets the hosts place prompts that arrive evenly, each with the loads of the
/// others as of up to 400 ms ago. \returns the highest number of prompts that
/// an engine has at a time.
auto longestQueue(bool Uneven) -> std::size_t {
  auto All = std::vector<std::unique_ptr<PlacingHost>>();
  for (auto Number = 0; Number < Hosts; ++Number)
    All.push_back(std::make_unique<PlacingHost>(Number, Uneven));
  // When the prompts at an engine end, and whose they are.
  auto Queues = std::vector<std::deque<std::pair<MonotonicTime, int>>>(Engines);
  constexpr auto Work = Milliseconds(60);
  auto Source = Random(4);
  auto Longest = std::size_t{0};
  for (auto Step = 0; Step < 2000; ++Step) {
    auto Now = Start + Milliseconds(3) * Step;
    for (auto Engine = 0; Engine < Engines; ++Engine)
      for (auto &Queue = Queues[Engine];
           !Queue.empty() && Queue.front().first <= Now; Queue.pop_front()) {
        auto Id = BackendId{fmt::format("e{:02}", Engine)};
        All[Queue.front().second]->m_Loads.prefillDone(Id, 300);
        All[Queue.front().second]->m_Loads.endAttempt(Id);
      }
    if (Step % 100 == 0) // One digest of each host in 300 ms.
      for (auto From = 0; From < Hosts; ++From)
        for (auto To = 0; To < Hosts; ++To)
          if (From != To)
            All[To]->m_Loads.setPeerLoads(std::to_string(From),
                                          All[From]->m_Loads.summary(), Now);
    auto Host = static_cast<int>(Source.below(Hosts));
    auto &Queue = Queues[All[Host]->place(Now)];
    Queue.emplace_back((Queue.empty() ? Now : Queue.back().first) + Work, Host);
    Longest = std::max(Longest, Queue.size());
  }
  return Longest;
}

} // namespace

TEST_CASE("choices among servers: 59 hosts with loads up to 300 ms old do not "
          "choose the same engine at once") {
  auto Comparing = longestQueue(false);
  auto Drawing = longestQueue(true);
  CHECK(Drawing <= Comparing / 3);
  // The slots of an engine.
  CHECK(Drawing <= 12);
}

TEST_CASE("choices among servers: a few at each distance, each as often as the "
          "others") {
  auto Servers = std::vector<BackendRecord>();
  for (auto Number = 0; Number < 19; ++Number)
    Servers.push_back({.m_Id = BackendId{std::to_string(Number)},
                       .m_DataCentre = DataCentreId{
                           Number % 2 == 1 || Number == 18 ? "b" : "a"}});
  auto Pointers = std::vector<const BackendRecord *>();
  for (const auto &Server : Servers)
    Pointers.push_back(&Server);
  auto Source = Random(1);
  auto Drawn = std::map<std::string, int>();
  for (auto Round = 0; Round < 3000; ++Round) {
    auto Result = drawChoices(Pointers, hereIs(), DataCentreId{"a"}, 3, Source);
    CHECK(Result.size() == 6);
    for (const auto *Server : Result)
      ++Drawn[Server->m_Id.text()];
  }
  for (auto Number = 0; Number < 18; Number += 2)
    CHECK(std::abs(Drawn[std::to_string(Number)] - 1000) < 150);
}
