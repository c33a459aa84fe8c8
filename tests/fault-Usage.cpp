#include "support/FaultyStore.h"

#include "dotterel/base/Random.h"
#include "dotterel/usage/SegmentReplicas.h"
#include "dotterel/usage/UsageKeys.h"
#include "dotterel/usage/UsageRecorder.h"
#include "dotterel/usage/WindowSealer.h"

#include <array>
#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

constexpr auto Window = Seconds(10);

/// Receives usage reports in place of the platform, and can lose reports and
/// responses.
struct FakeReportReceiver {
  std::vector<UsageReport> m_Reports;
  int m_ResponsesToLose = 0;
  int m_ReportsToLose = 0;

  /// Returns whether all reports of a window have the same totals.
  [[nodiscard]] auto consistent() const -> bool {
    auto Seen = std::map<WindowIndex, std::string>();
    for (const auto &Report : m_Reports) {
      auto [Found, New] = Seen.emplace(Report.m_Window, Report.m_Entries);
      if (!New && Found->second != Report.m_Entries)
        return false;
    }
    return true;
  }

  /// Returns the number of reported requests, with each window counted once.
  [[nodiscard]] auto requests() const -> std::uint64_t {
    auto Seen = std::map<WindowIndex, std::string>();
    for (const auto &Report : m_Reports)
      Seen.emplace(Report.m_Window, Report.m_Entries);
    auto Sum = std::uint64_t{0};
    for (const auto &[Index, Entries] : Seen)
      for (const auto &[Key, Figures] : decodeTotals(Entries))
        Sum += Figures.m_Requests;
    return Sum;
  }
};

/// A process that competes for the usage duty and seals windows.
struct Steward {
  Steward(VirtualScheduler &Scheduler, InMemoryStore &Model,
          FakeReportReceiver &Target, const std::string &Name)
      : m_Store(Scheduler, Model),
        m_Duty(std::make_unique<DutyLease>(Scheduler, m_Store, DutyId{"usage"},
                                           ProcessId{Name},
                                           DutyLeaseOptions{})) {
    m_Sealer = std::make_unique<WindowSealer>(
        Scheduler, m_Store, *m_Duty,
        [&Scheduler, &Target](const UsageReport &Report,
                              const std::function<void(bool)> &Done) {
          auto ReportLost =
              Target.m_ReportsToLose > 0 && Target.m_ReportsToLose-- > 0;
          if (!ReportLost)
            Target.m_Reports.push_back(Report);
          auto ResponseLost =
              Target.m_ResponsesToLose > 0 && Target.m_ResponsesToLose-- > 0;
          Scheduler.schedule(
              Milliseconds(ReportLost || ResponseLost ? 5000 : 5),
              [Done, ReportLost, ResponseLost] {
                Done(!ReportLost && !ResponseLost);
              });
        },
        WindowSealerOptions{.m_WindowLength = Window, .m_Grace = Seconds(15)});
    m_Duty->start();
    m_Timer.emplace(Scheduler, Milliseconds(500), [this] {
      if (m_Sealer)
        m_Sealer->step();
    });
  }

  auto kill() -> void {
    m_Sealer.reset();
    m_Duty.reset();
  }

  FaultyStore m_Store;
  std::unique_ptr<DutyLease> m_Duty;
  std::unique_ptr<WindowSealer> m_Sealer;
  std::optional<RepeatingTimer> m_Timer;
};

/// A gate whose counts are copied to a second host.
struct Gate {
  Gate(VirtualScheduler &Scheduler, InMemoryStore &Model,
       SegmentReplicas &Replica, const std::string &Name)
      : m_Store(Scheduler, Model) {
    m_Recorder = std::make_unique<UsageRecorder>(
        Scheduler, m_Store, IncarnationId{Name},
        [this, &Scheduler, &Replica](const UsageSegment &Segment,
                                     const std::function<void(bool)> &Done) {
          if (!m_CopiesSucceed) {
            Scheduler.schedule(Milliseconds(10), [Done] { Done(false); });
            return;
          }
          Scheduler.schedule(Milliseconds(1),
                             [&Replica, Segment] { Replica.update(Segment); });
          Scheduler.schedule(Milliseconds(2), [Done] { Done(true); });
        },
        UsageRecorderOptions{.m_Writer = {.m_WindowLength = Window},
                             .m_FlushInterval = Seconds(3)});
  }

  /// Serves one request. Increments \p Responses when the response is sent.
  auto serve(std::uint64_t &Responses) -> void {
    m_Recorder->record(
        {.m_Organisation = OrganisationId{"o"}, .m_Model = ModelId{"m"}},
        {.m_Requests = 1}, [&Responses] { ++Responses; });
  }

  FaultyStore m_Store;
  std::unique_ptr<UsageRecorder> m_Recorder;
  bool m_CopiesSucceed = true;
};

/// Gates, stewards, a host with replicas, and the store that they share, on
/// simulated time.
struct UsageSimulation {
  UsageSimulation() {
    m_StaleTimer.emplace(m_Scheduler, Seconds(2),
                         [this] { m_Replica.writeStale(); });
  }

  auto gate(const std::string &Name) -> Gate & {
    m_Gates.push_back(
        std::make_unique<Gate>(m_Scheduler, m_Model, m_Replica, Name));
    return *m_Gates.back();
  }

  auto steward(const std::string &Name) -> Steward & {
    m_Stewards.push_back(
        std::make_unique<Steward>(m_Scheduler, m_Model, m_Receiver, Name));
    return *m_Stewards.back();
  }

  auto serve(Gate &Target, int Count, Duration Pause) -> void {
    for (auto Number = 0; Number < Count; ++Number) {
      if (Target.m_Recorder)
        Target.serve(m_Responses);
      m_Scheduler.advance(Pause);
    }
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  FakeReportReceiver m_Receiver;
  FaultyStore m_ReplicaStore{m_Scheduler, m_Model};
  SegmentReplicas m_Replica{
      m_Scheduler, m_ReplicaStore,
      SegmentReplicasOptions{.m_Writer = {.m_WindowLength = Window},
                             .m_WriteAfter = Seconds(8)}};
  std::optional<RepeatingTimer> m_StaleTimer;
  std::vector<std::unique_ptr<Gate>> m_Gates;
  std::vector<std::unique_ptr<Steward>> m_Stewards;
  std::uint64_t m_Responses = 0;
};

} // namespace

TEST_CASE("usage: every request with a response is reported once") {
  auto Test = UsageSimulation();
  Test.steward("s");
  auto &A = Test.gate("a");
  auto &B = Test.gate("b");
  for (auto Round = 0; Round < 30; ++Round) {
    Test.serve(A, 10, Milliseconds(50));
    Test.serve(B, 3, Milliseconds(50));
  }
  Test.m_Scheduler.advance(Seconds(60));
  CHECK(Test.m_Responses == 390);
  CHECK(Test.m_Receiver.requests() == 390);
  CHECK(Test.m_Receiver.consistent());
}

TEST_CASE("usage: a gate killed right after its responses loses none of their "
          "counts") {
  // Kills the gate at many times within the flush interval and the window.
  for (auto Offset = 0; Offset < 40; ++Offset) {
    auto Test = UsageSimulation();
    Test.steward("s");
    auto &A = Test.gate("a");
    Test.m_Scheduler.advance(Milliseconds(Offset * 300));
    Test.serve(A, 20, Milliseconds(37));
    // One more request; the kill comes at any step between its count and its
    // response.
    Test.serve(A, 1, Milliseconds(Offset % 4));
    auto Responses = Test.m_Responses;
    A.m_Recorder.reset();
    Test.m_Scheduler.advance(Seconds(90));
    CAPTURE(Offset);
    CHECK(Test.m_Receiver.requests() >= Responses);
    // At most one request more: counted, but its response was not sent yet.
    CHECK(Test.m_Receiver.requests() <= Responses + 1);
    CHECK(Test.m_Receiver.consistent());
  }
}

TEST_CASE(
    "usage: each response is counted once with every store fault at every "
    "step of the gate, the replica host and the steward") {
  constexpr auto Faults =
      std::array{StoreFault::Refuse, StoreFault::LoseRequest,
                 StoreFault::LoseResponse, StoreFault::LateEffect};
  for (auto Fault : Faults)
    for (auto FaultyProcess = 0; FaultyProcess < 3; ++FaultyProcess)
      for (auto Step = 1U; Step <= 12; ++Step) {
        auto Test = UsageSimulation();
        auto &S = Test.steward("s");
        auto &A = Test.gate("a");
        if (FaultyProcess == 0)
          A.m_Store.faultAt(Step, Fault);
        else if (FaultyProcess == 1)
          Test.m_ReplicaStore.faultAt(Step, Fault);
        else
          S.m_Store.faultAt(Step, Fault);
        Test.serve(A, 100, Milliseconds(150));
        Test.m_Scheduler.advance(Seconds(90));
        CAPTURE(static_cast<int>(Fault));
        CAPTURE(FaultyProcess);
        CAPTURE(Step);
        CHECK(Test.m_Responses == 100);
        CHECK(Test.m_Receiver.requests() == 100);
        CHECK(Test.m_Receiver.consistent());
      }
}

TEST_CASE(
    "usage: a store outage at the end of a window delays reports but does "
    "not change them") {
  auto Test = UsageSimulation();
  auto &S = Test.steward("s");
  auto &A = Test.gate("a");
  Test.serve(A, 40, Milliseconds(100));
  for (auto *Store : {&S.m_Store, &A.m_Store, &Test.m_ReplicaStore})
    Store->setOutage(StoreFault::Refuse);
  Test.serve(A, 200, Milliseconds(200));
  auto ReportsDuringOutage = Test.m_Receiver.m_Reports.size();
  for (auto *Store : {&S.m_Store, &A.m_Store, &Test.m_ReplicaStore})
    Store->setOutage(StoreFault::None);
  Test.serve(A, 10, Milliseconds(100));
  Test.m_Scheduler.advance(Seconds(120));
  CHECK(Test.m_Responses == 250);
  CHECK(Test.m_Receiver.requests() == 250);
  CHECK(Test.m_Receiver.m_Reports.size() > ReportsDuringOutage);
  CHECK(Test.m_Receiver.consistent());
}

TEST_CASE("usage: a steward that is killed, or paused until its lease expires, "
          "at any step reports no window with different totals") {
  for (auto Kill : {false, true})
    for (auto Offset = 0; Offset < 60; ++Offset) {
      auto Test = UsageSimulation();
      auto &S = Test.steward("s1");
      auto &A = Test.gate("a");
      Test.serve(A, 100, Milliseconds(100));
      Test.m_Scheduler.advance(Seconds(14) + Milliseconds(Offset * 7));
      if (Kill)
        S.kill();
      else
        S.m_Store.setOutage(StoreFault::LateEffect);
      Test.steward("s2");
      Test.m_Scheduler.advance(Seconds(30));
      S.m_Store.setOutage(StoreFault::None);
      Test.m_Scheduler.advance(Seconds(60));
      CAPTURE(Kill);
      CAPTURE(Offset);
      CHECK(Test.m_Receiver.requests() == 100);
      CHECK(Test.m_Receiver.consistent());
    }
}

TEST_CASE("usage: a report is repeated unchanged after lost responses and lost "
          "reports") {
  auto Test = UsageSimulation();
  Test.steward("s");
  auto &A = Test.gate("a");
  Test.m_Receiver.m_ResponsesToLose = 3;
  Test.m_Receiver.m_ReportsToLose = 2;
  Test.serve(A, 100, Milliseconds(100));
  Test.m_Scheduler.advance(Seconds(120));
  CHECK(Test.m_Receiver.requests() == 100);
  CHECK(Test.m_Receiver.consistent());
}

TEST_CASE("usage: without another host, a response is sent after the copy "
          "timeout, with its count not copied") {
  auto Test = UsageSimulation();
  auto &A = Test.gate("a");
  A.m_CopiesSucceed = false;
  Test.serve(A, 1, Milliseconds(1));
  CHECK(Test.m_Responses == 0);
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Test.m_Responses == 1);
  CHECK(A.m_Recorder->uncopied() == 1);
}

TEST_CASE(
    "usage: each response is counted once with generated kills and faults") {
  auto Passed = rc::check([] {
    auto Source = Random(*rc::gen::arbitrary<std::uint32_t>());
    auto Test = UsageSimulation();
    Test.steward("s0");
    Test.gate("g0");
    constexpr auto Kinds =
        std::array{StoreFault::Refuse, StoreFault::LoseRequest,
                   StoreFault::LoseResponse, StoreFault::LateEffect};
    auto Kills = std::uint64_t{0};
    constexpr auto Steps = 60;
    for (auto Step = 0; Step < Steps; ++Step) {
      auto &Gate = *Test.m_Gates.back();
      auto &Steward = *Test.m_Stewards.back();
      auto Fault = Kinds[Source.below(Kinds.size())];
      switch (Source.below(8)) {
      case 0:
        Gate.m_Recorder.reset();
        ++Kills;
        Test.gate("g" + std::to_string(Test.m_Gates.size()));
        break;
      case 1:
        Steward.kill();
        Test.steward("s" + std::to_string(Test.m_Stewards.size()));
        break;
      case 2:
        Gate.m_Store.faultAt(Gate.m_Store.calls() + 1 + Source.below(3), Fault);
        break;
      case 3:
        Steward.m_Store.faultAt(Steward.m_Store.calls() + 1 + Source.below(4),
                                Fault);
        break;
      case 4:
        Test.m_ReplicaStore.faultAt(
            Test.m_ReplicaStore.calls() + 1 + Source.below(3), Fault);
        break;
      default:
        Test.serve(Gate, static_cast<int>(Source.below(10)),
                   Milliseconds(Source.below(200)));
      }
      Test.m_Scheduler.advance(Milliseconds(Source.below(3000)));
    }
    Test.m_Scheduler.advance(Seconds(150));
    RC_ASSERT(Test.m_Receiver.consistent());
    RC_ASSERT(Test.m_Receiver.requests() >= Test.m_Responses);
    // Requests that were counted, but whose gate was killed before the response
    // was sent.
    constexpr auto MaxRequestsPerBurst = 10;
    RC_ASSERT(Test.m_Receiver.requests() <=
              Test.m_Responses + Kills * MaxRequestsPerBurst);
  });
  CHECK(Passed);
}

TEST_CASE("usage: a replica is removed without a store call once the gate has "
          "written the segment") {
  auto Test = UsageSimulation();
  auto &A = Test.gate("a");
  Test.serve(A, 100, Milliseconds(200));
  CHECK(Test.m_Replica.size() <= 2);
  CHECK(Test.m_ReplicaStore.calls() == 0);
}

TEST_CASE(
    "usage: a segment written after its window was closed is counted in a "
    "later window") {
  auto Test = UsageSimulation();
  Test.steward("s");
  auto &A = Test.gate("a");
  Test.serve(A, 20, Milliseconds(100));
  // The gate and the replica host cannot reach the store for longer than the
  // grace, while the steward can and continues to close windows.
  A.m_Store.setOutage(StoreFault::Refuse);
  Test.m_ReplicaStore.setOutage(StoreFault::Refuse);
  Test.serve(A, 30, Milliseconds(100));
  Test.m_Scheduler.advance(Seconds(60));
  auto RequestsBefore = Test.m_Receiver.requests();
  A.m_Store.setOutage(StoreFault::None);
  Test.m_ReplicaStore.setOutage(StoreFault::None);
  Test.m_Scheduler.advance(Seconds(90));
  CHECK(RequestsBefore < 50);
  CHECK(Test.m_Responses == 50);
  CHECK(Test.m_Receiver.requests() == 50);
  CHECK(Test.m_Receiver.consistent());
}

// Guards against reports that are delayed without need: if all counts of a
// window are written but the window is closed only after its grace, a store
// outage during the grace delays the report.
TEST_CASE("usage: a window is reported before the end of its grace if all its "
          "counts are written, and otherwise after the grace") {
  for (auto WrittenSegments : {1, 2}) {
    CAPTURE(WrittenSegments);
    auto Scheduler = VirtualScheduler();
    auto Model = InMemoryStore(Scheduler);
    auto Store = FaultyStore(Scheduler, Model);
    auto Duty = DutyLease(Scheduler, Store, DutyId{"usage"}, ProcessId{"s"},
                          DutyLeaseOptions{});
    Duty.start();
    auto Reports = std::vector<UsageReport>();
    auto Sealer = WindowSealer(
        Scheduler, Store, Duty,
        [&](const UsageReport &Report, const std::function<void(bool)> &Done) {
          Reports.push_back(Report);
          Done(true);
        },
        {.m_WindowLength = Window,
         .m_Grace = Seconds(8),
         .m_MinGrace = Seconds(1),
         .m_AllWritten = [](const std::vector<StoredValue> &Segments) {
           return Segments.size() >= 2;
         }});
    auto Timer =
        RepeatingTimer(Scheduler, Milliseconds(500), [&] { Sealer.step(); });
    // The reports of the first windows only set the progress key.
    Scheduler.advance(Seconds(30));
    Reports.clear();
    auto Index = windowAt(Scheduler.wallNow(), Window);
    auto Writer = SegmentWriter(Scheduler, Store, {.m_WindowLength = Window});
    for (auto Host = 0; Host < WrittenSegments; ++Host)
      Writer.write(
          {.m_Id = {.m_Window = Index,
                    .m_Incarnation = IncarnationId{std::to_string(Host)}},
           .m_Totals = {{UsageKey{.m_Organisation = OrganisationId{"o"}},
                         UsageFigures{.m_Requests = 3}}}},
          [](const auto &) {});
    auto End = WallTime(Window * static_cast<int>(Index.number() + 1));
    Scheduler.advance(End - Scheduler.wallNow() + Seconds(2));
    auto EarlyReports = std::count_if(
        Reports.begin(), Reports.end(),
        [&](const UsageReport &Report) { return Report.m_Window == Index; });
    CHECK(EarlyReports == (WrittenSegments == 2 ? 1 : 0));
    Scheduler.advance(Seconds(8));
    CHECK(std::any_of(
        Reports.begin(), Reports.end(),
        [&](const UsageReport &Report) { return Report.m_Window == Index; }));
  }
}
