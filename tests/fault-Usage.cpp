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

/// The platform's intake: every report that ever reached it.
struct Intake {
  std::vector<UsageReport> m_Reports;
  int m_LoseAnswers = 0;
  int m_LoseReports = 0;

  /// Whether no window was reported with two different figures.
  [[nodiscard]] auto consistent() const -> bool {
    auto Seen = std::map<WindowIndex, std::string>();
    for (const auto &Report : m_Reports) {
      auto [Found, New] = Seen.emplace(Report.m_Window, Report.m_Entries);
      if (!New && Found->second != Report.m_Entries)
        return false;
    }
    return true;
  }

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

struct Steward {
  Steward(VirtualScheduler &Scheduler, InMemoryStore &Model, Intake &Target,
          const std::string &Name)
      : m_Store(Scheduler, Model),
        m_Duty(std::make_unique<DutyLease>(Scheduler, m_Store, DutyId{"usage"},
                                           ProcessId{Name},
                                           DutyLeaseOptions{})) {
    m_Sealer = std::make_unique<WindowSealer>(
        Scheduler, m_Store, *m_Duty,
        [&Scheduler, &Target](const UsageReport &Report,
                              const std::function<void(bool)> &Done) {
          auto Lost = Target.m_LoseReports > 0 && Target.m_LoseReports-- > 0;
          if (!Lost)
            Target.m_Reports.push_back(Report);
          auto Silent = Target.m_LoseAnswers > 0 && Target.m_LoseAnswers-- > 0;
          Scheduler.schedule(Milliseconds(Lost || Silent ? 5000 : 5),
                             [Done, Lost, Silent] { Done(!Lost && !Silent); });
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

/// A gate with a copy of its counts on a second host.
struct Gate {
  Gate(VirtualScheduler &Scheduler, InMemoryStore &Model,
       ReplicaHolder &Replica, const std::string &Name)
      : m_Store(Scheduler, Model) {
    m_Recorder = std::make_unique<UsageRecorder>(
        Scheduler, m_Store, IncarnationId{Name},
        [this, &Scheduler, &Replica](const UsageSegment &Segment,
                                     const std::function<void(bool)> &Done) {
          if (!m_CopiesArrive) {
            Scheduler.schedule(Milliseconds(10), [Done] { Done(false); });
            return;
          }
          Scheduler.schedule(Milliseconds(1),
                             [&Replica, Segment] { Replica.keep(Segment); });
          Scheduler.schedule(Milliseconds(2), [Done] { Done(true); });
        },
        UsageRecorderOptions{.m_Writer = {.m_WindowLength = Window},
                             .m_FlushInterval = Seconds(3)});
  }

  /// Serves one request; \p Answered rises when its answer leaves.
  auto serve(std::uint64_t &Answered) -> void {
    m_Recorder->record(
        {.m_Organisation = OrganisationId{"o"}, .m_Model = ModelId{"m"}},
        {.m_Requests = 1}, [&Answered] { ++Answered; });
  }

  FaultyStore m_Store;
  std::unique_ptr<UsageRecorder> m_Recorder;
  bool m_CopiesArrive = true;
};

struct World {
  World() {
    m_Sweep.emplace(m_Scheduler, Seconds(2), [this] { m_Replica.writeOld(); });
  }

  auto gate(const std::string &Name) -> Gate & {
    m_Gates.push_back(
        std::make_unique<Gate>(m_Scheduler, m_Model, m_Replica, Name));
    return *m_Gates.back();
  }

  auto steward(const std::string &Name) -> Steward & {
    m_Stewards.push_back(
        std::make_unique<Steward>(m_Scheduler, m_Model, m_Intake, Name));
    return *m_Stewards.back();
  }

  auto serve(Gate &Target, int Count, Duration Pause) -> void {
    for (auto Number = 0; Number < Count; ++Number) {
      if (Target.m_Recorder)
        Target.serve(m_Answered);
      m_Scheduler.advance(Pause);
    }
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  Intake m_Intake;
  FaultyStore m_ReplicaStore{m_Scheduler, m_Model};
  ReplicaHolder m_Replica{
      m_Scheduler, m_ReplicaStore,
      ReplicaHolderOptions{.m_Writer = {.m_WindowLength = Window},
                           .m_WriteAfter = Seconds(8)}};
  std::optional<RepeatingTimer> m_Sweep;
  std::vector<std::unique_ptr<Gate>> m_Gates;
  std::vector<std::unique_ptr<Steward>> m_Stewards;
  std::uint64_t m_Answered = 0;
};

} // namespace

TEST_CASE("usage: every answered request is reported once") {
  auto Test = World();
  Test.steward("s");
  auto &A = Test.gate("a");
  auto &B = Test.gate("b");
  for (auto Round = 0; Round < 30; ++Round) {
    Test.serve(A, 10, Milliseconds(50));
    Test.serve(B, 3, Milliseconds(50));
  }
  Test.m_Scheduler.advance(Seconds(60));
  CHECK(Test.m_Answered == 390);
  CHECK(Test.m_Intake.requests() == 390);
  CHECK(Test.m_Intake.consistent());
}

TEST_CASE("usage: a gate killed right after its answers loses none of them") {
  // At many moments of the flush interval and of the window.
  for (auto Moment = 0; Moment < 40; ++Moment) {
    auto Test = World();
    Test.steward("s");
    auto &A = Test.gate("a");
    Test.m_Scheduler.advance(Milliseconds(Moment * 300));
    Test.serve(A, 20, Milliseconds(37));
    // One more, with the kill at any step between its count and its answer.
    Test.serve(A, 1, Milliseconds(Moment % 4));
    auto Answered = Test.m_Answered;
    A.m_Recorder.reset();
    Test.m_Scheduler.advance(Seconds(90));
    CAPTURE(Moment);
    CHECK(Test.m_Intake.requests() >= Answered);
    // One request more at the most: counted, its answer not yet out.
    CHECK(Test.m_Intake.requests() <= Answered + 1);
    CHECK(Test.m_Intake.consistent());
  }
}

TEST_CASE("usage: every store fault at every step of gate, copy holder and "
          "steward counts each answer once") {
  constexpr auto Faults =
      std::array{StoreFault::Refuse, StoreFault::LoseRequest,
                 StoreFault::LoseResponse, StoreFault::LateEffect};
  for (auto Fault : Faults)
    for (auto Who = 0; Who < 3; ++Who)
      for (auto Step = 1U; Step <= 12; ++Step) {
        auto Test = World();
        auto &S = Test.steward("s");
        auto &A = Test.gate("a");
        if (Who == 0)
          A.m_Store.faultAt(Step, Fault);
        else if (Who == 1)
          Test.m_ReplicaStore.faultAt(Step, Fault);
        else
          S.m_Store.faultAt(Step, Fault);
        Test.serve(A, 100, Milliseconds(150));
        Test.m_Scheduler.advance(Seconds(90));
        CAPTURE(static_cast<int>(Fault));
        CAPTURE(Who);
        CAPTURE(Step);
        CHECK(Test.m_Answered == 100);
        CHECK(Test.m_Intake.requests() == 100);
        CHECK(Test.m_Intake.consistent());
      }
}

TEST_CASE("usage: a store outage over a window's end delays reports and "
          "changes none") {
  auto Test = World();
  auto &S = Test.steward("s");
  auto &A = Test.gate("a");
  Test.serve(A, 40, Milliseconds(100));
  for (auto *Store : {&S.m_Store, &A.m_Store, &Test.m_ReplicaStore})
    Store->setOutage(StoreFault::Refuse);
  Test.serve(A, 200, Milliseconds(200));
  auto During = Test.m_Intake.m_Reports.size();
  for (auto *Store : {&S.m_Store, &A.m_Store, &Test.m_ReplicaStore})
    Store->setOutage(StoreFault::None);
  Test.serve(A, 10, Milliseconds(100));
  Test.m_Scheduler.advance(Seconds(120));
  CHECK(Test.m_Answered == 250);
  CHECK(Test.m_Intake.requests() == 250);
  CHECK(Test.m_Intake.m_Reports.size() > During);
  CHECK(Test.m_Intake.consistent());
}

TEST_CASE("usage: a steward killed, or paused past its lease, at every step "
          "reports no window with other figures") {
  for (auto Kill : {false, true})
    for (auto Moment = 0; Moment < 60; ++Moment) {
      auto Test = World();
      auto &S = Test.steward("s1");
      auto &A = Test.gate("a");
      Test.serve(A, 100, Milliseconds(100));
      Test.m_Scheduler.advance(Seconds(14) + Milliseconds(Moment * 7));
      if (Kill)
        S.kill();
      else
        S.m_Store.setOutage(StoreFault::LateEffect);
      Test.steward("s2");
      Test.m_Scheduler.advance(Seconds(30));
      S.m_Store.setOutage(StoreFault::None);
      Test.m_Scheduler.advance(Seconds(60));
      CAPTURE(Kill);
      CAPTURE(Moment);
      CHECK(Test.m_Intake.requests() == 100);
      CHECK(Test.m_Intake.consistent());
    }
}

TEST_CASE("usage: lost answers of the intake lead to the same report again") {
  auto Test = World();
  Test.steward("s");
  auto &A = Test.gate("a");
  Test.m_Intake.m_LoseAnswers = 3;
  Test.m_Intake.m_LoseReports = 2;
  Test.serve(A, 100, Milliseconds(100));
  Test.m_Scheduler.advance(Seconds(120));
  CHECK(Test.m_Intake.requests() == 100);
  CHECK(Test.m_Intake.consistent());
}

TEST_CASE("usage: without any other host an answer waits for the deadline at "
          "most, and a kill then loses what was not flushed") {
  auto Test = World();
  auto &A = Test.gate("a");
  A.m_CopiesArrive = false;
  Test.serve(A, 1, Milliseconds(1));
  CHECK(Test.m_Answered == 0);
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(Test.m_Answered == 1);
  CHECK(A.m_Recorder->uncopied() == 1);
}

TEST_CASE("usage: generated kills and faults count each answer once") {
  auto Passed = rc::check([] {
    auto Source = Random(*rc::gen::arbitrary<std::uint32_t>());
    auto Test = World();
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
    RC_ASSERT(Test.m_Intake.consistent());
    RC_ASSERT(Test.m_Intake.requests() >= Test.m_Answered);
    // Counted, but killed before the answer left.
    constexpr auto LargestBurst = 10;
    RC_ASSERT(Test.m_Intake.requests() <=
              Test.m_Answered + Kills * LargestBurst);
  });
  CHECK(Passed);
}

TEST_CASE("usage: a copy is dropped once the gate has written its segment, and "
          "costs the store no write") {
  auto Test = World();
  auto &A = Test.gate("a");
  Test.serve(A, 100, Milliseconds(200));
  CHECK(Test.m_Replica.held() <= 2);
  CHECK(Test.m_ReplicaStore.calls() == 0);
}

TEST_CASE("usage: a segment that comes after its window was closed is counted "
          "in a later one") {
  auto Test = World();
  Test.steward("s");
  auto &A = Test.gate("a");
  Test.serve(A, 20, Milliseconds(100));
  // Gate and copy holder are cut off for longer than the grace; the steward is
  // not, and goes on closing windows.
  A.m_Store.setOutage(StoreFault::Refuse);
  Test.m_ReplicaStore.setOutage(StoreFault::Refuse);
  Test.serve(A, 30, Milliseconds(100));
  Test.m_Scheduler.advance(Seconds(60));
  auto Before = Test.m_Intake.requests();
  A.m_Store.setOutage(StoreFault::None);
  Test.m_ReplicaStore.setOutage(StoreFault::None);
  Test.m_Scheduler.advance(Seconds(90));
  CHECK(Before < 50);
  CHECK(Test.m_Answered == 50);
  CHECK(Test.m_Intake.requests() == 50);
  CHECK(Test.m_Intake.consistent());
}

// From an incident on the users' bench: the store went down while a window's
// grace ran, although all counts had been written.
TEST_CASE("usage: a window whose counts are all written is reported before its "
          "grace is over, and one that lacks some waits for them") {
  for (auto Written : {1, 2}) {
    CAPTURE(Written);
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
         .m_EarliestGrace = Seconds(1),
         .m_AllWritten = [](const std::vector<StoredValue> &Segments) {
           return Segments.size() >= 2;
         }});
    auto Timer =
        RepeatingTimer(Scheduler, Milliseconds(500), [&] { Sealer.step(); });
    // The first window only sets the progress.
    Scheduler.advance(Seconds(30));
    Reports.clear();
    auto Index = windowAt(Scheduler.wallNow(), Window);
    auto Writer = SegmentWriter(Scheduler, Store, {.m_WindowLength = Window});
    for (auto Host = 0; Host < Written; ++Host)
      Writer.write(
          {.m_Id = {.m_Window = Index,
                    .m_Incarnation = IncarnationId{std::to_string(Host)}},
           .m_Totals = {{UsageKey{.m_Organisation = OrganisationId{"o"}},
                         UsageFigures{.m_Requests = 3}}}},
          [](const UsageTotals &) {});
    auto End = WallTime(Window * static_cast<int>(Index.number() + 1));
    Scheduler.advance(End - Scheduler.wallNow() + Seconds(2));
    auto Early = std::count_if(
        Reports.begin(), Reports.end(),
        [&](const UsageReport &Report) { return Report.m_Window == Index; });
    CHECK(Early == (Written == 2 ? 1 : 0));
    Scheduler.advance(Seconds(8));
    CHECK(std::any_of(
        Reports.begin(), Reports.end(),
        [&](const UsageReport &Report) { return Report.m_Window == Index; }));
  }
}
