#include "support/FaultyStore.h"

#include "dotterel/config/ConfigurationStore.h"
#include "dotterel/lease/DutyLease.h"
#include "dotterel/ledger/ClaimShard.h"
#include "dotterel/ledger/IdempotencyKey.h"
#include "dotterel/peers/HostRegistry.h"
#include "dotterel/store/KeyspaceMirror.h"
#include "dotterel/store/RecoveryPeriod.h"
#include "dotterel/usage/SegmentWriter.h"
#include "dotterel/usage/UsageKeys.h"
#include "dotterel/usage/WindowSealer.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <optional>
#include <rapidcheck.h>
#include <string>
#include <vector>

using namespace dotterel;
using namespace dotterel::test;

namespace {

using Contents = std::map<std::string, std::string>;

/// A store that is taken down and restored, and another party that writes to
/// it, such as the operator or the servers.
struct World {
  auto put(const std::string &Key, const std::string &Value) -> void {
    auto Transaction = StoreTransaction();
    Transaction.m_Writes.push_back({.m_Key = Key, .m_Value = Value});
    CHECK(m_Model.commit(Transaction).m_Applied);
  }

  auto takeCopy() -> void {
    m_Copy = m_Model.copy();
    m_CopiedAt = m_Scheduler.now();
  }

  auto restore() -> void {
    m_Model.restore(m_Copy, m_Scheduler.now() - m_CopiedAt);
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  InMemoryStore::Copy m_Copy;
  MonotonicTime m_CopiedAt;
};

/// A process with a mirror of one key range.
struct MirrorProcess {
  explicit MirrorProcess(World &Target)
      : m_Store(Target.m_Scheduler, Target.m_Model),
        m_Mirror(Target.m_Scheduler, m_Store, m_Store, m_Random,
                 {.m_Prefix = "p/"}) {
    m_Mirror.onChange([this](const KeyChange &Change) {
      if (Change.m_Value)
        m_Contents[Change.m_Key] = *Change.m_Value;
      else
        m_Contents.erase(Change.m_Key);
    });
    m_Mirror.start();
  }

  FaultyStore m_Store;
  Random m_Random{1};
  KeyspaceMirror m_Mirror;
  Contents m_Contents;
};

/// A process that campaigns for a duty, and reports usage while it holds it.
struct Reporter {
  static constexpr auto Window = Seconds(5);

  Reporter(World &Target, std::vector<UsageReport> &Reports,
           const std::string &Name)
      : m_Store(Target.m_Scheduler, Target.m_Model),
        m_Duty(Target.m_Scheduler, m_Store, DutyId{"d"}, ProcessId{Name},
               {.m_Term = Seconds(4),
                .m_ClockDriftMargin = Seconds(1),
                .m_RenewInterval = Seconds(1)}),
        m_Sealer(Target.m_Scheduler, m_Store, m_Duty,
                 [&Reports](const UsageReport &Report,
                            const std::function<void(bool)> &Done) {
                   Reports.push_back(Report);
                   Done(true);
                 },
                 {.m_WindowLength = Window,
                  .m_Grace = Seconds(1),
                  .m_MinGrace = Seconds(1)}),
        m_Timer(Target.m_Scheduler, Milliseconds(500),
                [this] { m_Sealer.step(); }) {
    m_Duty.start();
  }

  FaultyStore m_Store;
  DutyLease m_Duty;
  WindowSealer m_Sealer;
  RepeatingTimer m_Timer;
};

/// Writes a host's counts of each window at the window's end.
struct UsageWriter {
  explicit UsageWriter(World &Target)
      : m_Store(Target.m_Scheduler, Target.m_Model),
        m_Writer(Target.m_Scheduler, m_Store,
                 {.m_WindowLength = Reporter::Window}),
        m_Timer(Target.m_Scheduler, Reporter::Window, [this, &Target] {
          auto Index = windowAt(Target.m_Scheduler.wallNow(), Reporter::Window);
          m_Writer.write(
              {.m_Id = {.m_Window = WindowIndex{Index.number() - 1},
                        .m_Incarnation = IncarnationId{"h"},
                        .m_Number = ++m_Number},
               .m_Totals = {{UsageKey{.m_Organisation = OrganisationId{"o"}},
                             UsageFigures{.m_Requests = 1}}}},
              [](const auto &) {});
        }) {}

  FaultyStore m_Store;
  SegmentWriter m_Writer;
  std::uint64_t m_Number = 0;
  RepeatingTimer m_Timer;
};

/// Returns whether all reports of a window have the same counts.
auto consistent(const std::vector<UsageReport> &Reports) -> bool {
  auto Seen = std::map<WindowIndex, std::string>();
  return std::all_of(
      Reports.begin(), Reports.end(), [&Seen](const auto &Report) {
        return Seen.emplace(Report.m_Window, Report.m_Entries).first->second ==
               Report.m_Entries;
      });
}

/// A gate's access to the configuration.
struct ConfigurationProcess {
  explicit ConfigurationProcess(World &Target)
      : m_Store(Target.m_Scheduler, Target.m_Model),
        m_Configuration(Target.m_Scheduler, m_Store, m_Holder, m_Freshness),
        m_Timer(Target.m_Scheduler, Milliseconds(500),
                [this] { m_Configuration.refresh([](bool) {}); }) {}

  auto grant(const std::string &Key) -> void {
    m_Configuration.change(
        [Key](Configuration &Edited) {
          Edited.m_Keys.put(
              {.m_Digest = Key, .m_Organisation = OrganisationId{"o"}});
        },
        {}, [this](const ChangeResult &Result) { m_Result = Result.m_Kind; });
  }

  auto withdraw(const std::string &Key) -> void {
    m_Configuration.change(
        [Key](Configuration &Edited) { Edited.m_Keys.erase(Key); }, {},
        [this](const ChangeResult &Result) { m_Result = Result.m_Kind; });
  }

  [[nodiscard]] auto accepts(const std::string &Key) const -> bool {
    return m_Holder.current() && m_Holder.current()->m_Keys.find(Key);
  }

  FaultyStore m_Store;
  ConfigurationHolder m_Holder;
  FreshnessTracker m_Freshness{FreshnessOptions{}};
  ConfigurationStore m_Configuration;
  RepeatingTimer m_Timer;
  std::optional<ChangeResult::Kind> m_Result;
};

} // namespace

// Guards against changes that are ignored, and reads without a pause, because
// the revisions of a restored store are lower than those known before.
TEST_CASE(
    "restored store: a mirror applies what is written after the restore") {
  auto Test = World();
  Test.put("p/a", "1");
  Test.takeCopy();
  auto Process = MirrorProcess(Test);
  Test.m_Scheduler.advance(Seconds(1));
  for (auto Value : {"2", "3", "4", "5"}) {
    Test.put("p/a", Value);
    Test.put("p/lost", Value);
    Test.m_Scheduler.advance(Seconds(1));
  }
  REQUIRE(Process.m_Contents == Contents{{"p/a", "5"}, {"p/lost", "5"}});
  Test.restore();
  Test.put("p/b", "new");
  auto CallsBefore = Process.m_Store.calls();
  Test.m_Scheduler.advance(Milliseconds(500));
  CHECK(Process.m_Contents.contains("p/b"));
  Test.put("p/a", "6");
  Test.m_Scheduler.advance(Seconds(5));
  CHECK(Process.m_Contents == Contents{{"p/a", "6"}, {"p/b", "new"}});
  // The fake watch polls the store every 12 ms.
  CHECK(Process.m_Store.calls() - CallsBefore < 600);
}

// Guards against a watch that goes on at its old revision once the restored
// store has that revision again, and skips what was written before.
TEST_CASE("restored store: a mirror misses nothing if the store has assigned "
          "the revision of its watch again") {
  auto Test = World();
  Test.put("p/a", "1");
  Test.takeCopy();
  Test.put("p/a", "2");
  auto Process = MirrorProcess(Test);
  Test.m_Scheduler.advance(Milliseconds(500));
  Process.m_Store.setOutage(StoreFault::LoseRequest);
  Test.m_Scheduler.advance(Seconds(2));
  Test.restore();
  for (auto Key : {"p/x", "p/y", "p/z"})
    Test.put(Key, "new");
  Process.m_Store.setOutage(StoreFault::None);
  Test.m_Scheduler.advance(Seconds(5));
  CHECK(Process.m_Contents ==
        Contents{{"p/a", "1"}, {"p/x", "new"}, {"p/y", "new"}, {"p/z", "new"}});
}

// Guards against servers that are given up because a restored store does not
// know them yet, even if no call failed meanwhile.
TEST_CASE("restored store: a mirror retains keys that are written again within "
          "seconds") {
  auto Test = World();
  Test.put("p/a", "1");
  Test.takeCopy();
  Test.put("p/late", "1");
  auto Process = MirrorProcess(Test);
  Test.m_Scheduler.advance(Seconds(1));
  Test.restore();
  Test.m_Scheduler.advance(Seconds(2));
  CHECK(Process.m_Contents.contains("p/late"));
  Test.put("p/late", "1");
  Test.m_Scheduler.advance(Seconds(5));
  CHECK(Process.m_Contents == Contents{{"p/a", "1"}, {"p/late", "1"}});
}

// Guards against a fencing token that two grants of a duty have, or that falls,
// because a restored store assigns its revisions again.
TEST_CASE("restored store: each grant of a duty has a higher fencing token") {
  auto Test = World();
  Test.takeCopy();
  for (auto Number = 0; Number < 20; ++Number)
    Test.put("p/a", "1");
  auto Reports = std::vector<UsageReport>();
  auto First = std::make_unique<Reporter>(Test, Reports, "first");
  Test.m_Scheduler.advance(Seconds(3));
  REQUIRE(First->m_Duty.held());
  auto Before = First->m_Duty.fencing();
  First->m_Duty.abandon();
  Test.restore();
  auto Second = Reporter(Test, Reports, "second");
  Test.m_Scheduler.advance(Seconds(3));
  REQUIRE(Second.m_Duty.held());
  CHECK(Second.m_Duty.fencing() > Before);
}

// Guards against two holders of a duty: the lease of the first is lost with the
// restore, and its number is assigned to another lease.
TEST_CASE(
    "restored store: a lease of an earlier history does not hold a duty") {
  auto Test = World();
  Test.takeCopy();
  auto Reports = std::vector<UsageReport>();
  auto First = Reporter(Test, Reports, "first");
  Test.m_Scheduler.advance(Seconds(3));
  REQUIRE(First.m_Duty.held());
  First.m_Store.pause();
  Test.restore();
  auto Second = Reporter(Test, Reports, "second");
  Test.m_Scheduler.advance(Seconds(2));
  REQUIRE(Second.m_Duty.held());
  First.m_Store.resume();
  // The term of the lease that was lost may still run by its holder's clock.
  Test.m_Scheduler.advance(Seconds(2));
  auto Overlaps = 0;
  for (auto Step = 0; Step < 100; ++Step) {
    Test.m_Scheduler.advance(Milliseconds(100));
    Overlaps += First.m_Duty.held() && Second.m_Duty.held() ? 1 : 0;
  }
  CHECK(Overlaps == 0);
}

// Guards against a second report of a window with other counts, because the
// record of the first one was lost with the restore.
TEST_CASE("restored store: no window is reported with two different counts") {
  for (auto HolderDies : {false, true})
    for (auto CopyAge : {3, 7, 12, 17}) {
      CAPTURE(HolderDies);
      CAPTURE(CopyAge);
      auto Test = World();
      auto Reports = std::vector<UsageReport>();
      auto Writer = UsageWriter(Test);
      auto First = Reporter(Test, Reports, "first");
      auto Second = Reporter(Test, Reports, "second");
      Test.m_Scheduler.advance(Seconds(23));
      Test.takeCopy();
      Test.m_Scheduler.advance(Seconds(CopyAge));
      for (auto *Process : {&First.m_Store, &Second.m_Store, &Writer.m_Store})
        Process->setOutage(StoreFault::LoseRequest);
      Test.m_Scheduler.advance(Seconds(2));
      if (HolderDies) {
        First.m_Duty.abandon();
        Test.m_Scheduler.advance(Seconds(3));
      }
      Test.restore();
      auto ReportsBefore = Reports.size();
      for (auto *Process : {&First.m_Store, &Second.m_Store, &Writer.m_Store})
        Process->setOutage(StoreFault::None);
      Test.m_Scheduler.advance(Seconds(40));
      CHECK(consistent(Reports));
      // Later windows are reported.
      CHECK(Reports.size() >= ReportsBefore + 5);
    }
}

// Guards against counts that are missing in a report, because the store took
// them after the copy that it was restored from.
TEST_CASE(
    "restored store: counts that the store has lost are stored again, but "
    "not in a window that is closed") {
  auto Test = World();
  auto Store = FaultyStore(Test.m_Scheduler, Test.m_Model);
  auto Writer = SegmentWriter(Test.m_Scheduler, Store,
                              {.m_WindowLength = Reporter::Window});
  auto Index = windowAt(Test.m_Scheduler.wallNow(), Reporter::Window);
  auto Write = [&](std::uint64_t Number) {
    Writer.write({.m_Id = {.m_Window = Index,
                           .m_Incarnation = IncarnationId{"h"},
                           .m_Number = Number},
                  .m_Totals = {{UsageKey{.m_Organisation = OrganisationId{"o"}},
                                UsageFigures{.m_Requests = Number}}}},
                 [](const auto &) {});
    Test.m_Scheduler.advance(Milliseconds(100));
  };
  auto Segments = [&] {
    return Test.m_Model.read(KeyRange::prefix("usage/")).m_Values;
  };
  Write(1);
  Test.takeCopy();
  Write(2);
  REQUIRE(Segments().size() == 2);
  auto Before = Segments().back().m_Value;
  Test.restore();
  auto Closed = false;
  SUBCASE("open window") {}
  SUBCASE("closed window") {
    Test.put(closedKey(Index), "1");
    Closed = true;
  }
  // Any call shows the restore.
  Store.read(KeyRange::single("any"), [](const auto &) {});
  Test.m_Scheduler.advance(Seconds(30));
  REQUIRE(Segments().size() == (Closed ? 1 : 2));
  if (!Closed)
    CHECK(Segments().back().m_Value == Before);
}

// Guards against a confirmed change that is no longer in force: gates are the
// only writers of their configuration, so nobody else writes it again.
TEST_CASE("restored store: a configuration that gates had confirmed is stored "
          "again and stays in force") {
  auto Test = World();
  auto First = ConfigurationProcess(Test);
  First.grant("early");
  Test.m_Scheduler.advance(Seconds(2));
  Test.takeCopy();
  First.grant("late");
  Test.m_Scheduler.advance(Seconds(2));
  REQUIRE(First.accepts("late"));
  Test.restore();
  Test.m_Scheduler.advance(Seconds(2));
  CHECK(First.accepts("late"));
  Test.m_Scheduler.advance(Seconds(1));
  CHECK(First.m_Freshness.age(Test.m_Scheduler.now()) < Seconds(1));
  auto Started = ConfigurationProcess(Test);
  Test.m_Scheduler.advance(Seconds(2));
  CHECK(Started.accepts("late"));
  Started.grant("new");
  Test.m_Scheduler.advance(Seconds(2));
  CHECK(Started.m_Result == ChangeResult::Kind::Accepted);
  CHECK(First.accepts("new"));
  CHECK(First.accepts("late"));
}

// Guards against gates that confirm different configurations for good, since a
// restored store lost one, and its revision was given to another one.
TEST_CASE("restored store: a change after the restore has a revision that no "
          "lost one had") {
  auto Test = World();
  auto First = ConfigurationProcess(Test);
  First.grant("early");
  Test.m_Scheduler.advance(Seconds(2));
  Test.takeCopy();
  First.grant("lost");
  Test.m_Scheduler.advance(Seconds(2));
  REQUIRE(First.m_Result == ChangeResult::Kind::Accepted);
  First.m_Store.pause();
  Test.restore();
  auto Started = ConfigurationProcess(Test);
  Test.m_Scheduler.advance(Seconds(4));
  Started.grant("new");
  Test.m_Scheduler.advance(Seconds(2));
  REQUIRE(Started.m_Result == ChangeResult::Kind::Accepted);
  First.m_Store.resume();
  Test.m_Scheduler.advance(Seconds(4));
  CHECK(Started.m_Holder.revision() == First.m_Holder.revision());
  for (const auto *Key : {"early", "lost", "new"}) {
    CAPTURE(Key);
    CHECK(Started.accepts(Key) == First.accepts(Key));
  }
  CHECK(First.accepts("new"));
  First.grant("next");
  Test.m_Scheduler.advance(Seconds(2));
  CHECK(Started.accepts("next"));
}

// Guards against a non-idempotent request that runs twice, because its claim
// was lost with the restore.
TEST_CASE("restored store: a claim that was granted before is not granted "
          "again") {
  auto Test = World();
  auto Store = FaultyStore(Test.m_Scheduler, Test.m_Model);
  auto Shard = ClaimShard(Test.m_Scheduler, Store, "000", ClaimShardOptions{});
  auto Verdicts = std::vector<ClaimVerdict>();
  auto Submit = [&](ClaimShard &Target, const char *Identity,
                    const char *Attempt, WallTime IssuedAt) {
    Target.claim(
        {.m_Identity = RequestIdentity{Identity},
         .m_Attempt = AttemptId{Attempt},
         .m_IssuedAt = IssuedAt},
        [&](const ClaimReply &Reply) { Verdicts.push_back(Reply.m_Verdict); });
    Test.m_Scheduler.advance(Seconds(4));
    return Verdicts.back();
  };
  auto Now = [&] { return Test.m_Scheduler.wallNow(); };
  REQUIRE(Submit(Shard, "a", "1", Now()) == ClaimVerdict::Granted);
  Test.takeCopy();
  auto IssuedAt = Now();
  REQUIRE(Submit(Shard, "b", "2", IssuedAt) == ClaimVerdict::Granted);
  Test.restore();
  SUBCASE("to a process that knew it") {
    CHECK(Submit(Shard, "b", "3", IssuedAt) != ClaimVerdict::Granted);
  }
  SUBCASE("to a process that did not know it") {
    auto Other = FaultyStore(Test.m_Scheduler, Test.m_Model);
    auto Started =
        ClaimShard(Test.m_Scheduler, Other, "000", ClaimShardOptions{});
    CHECK(Submit(Started, "b", "3", IssuedAt) != ClaimVerdict::Granted);
    Test.m_Scheduler.advance(IdentityClockSkew);
    CHECK(Submit(Started, "c", "4", Now()) == ClaimVerdict::Granted);
  }
}

// Guards against hosts that the others do not see any more, because their
// registrations were lost with the restore.
TEST_CASE("restored store: a host registers again") {
  auto Test = World();
  Test.takeCopy();
  auto Store = FaultyStore(Test.m_Scheduler, Test.m_Model);
  auto Generator = Random(1);
  auto Registry = HostRegistry(Test.m_Scheduler, Store, Store, Generator,
                               {.m_Host = HostId{"h"},
                                .m_DataCentre = DataCentreId{"a"},
                                .m_Address = "10.0.0.1:1"},
                               {});
  Registry.start();
  Test.m_Scheduler.advance(Seconds(2));
  REQUIRE(Test.m_Model.read(KeyRange::prefix("hosts/")).m_Values.size() == 1);
  Test.restore();
  // Another process gets the lease number of the registration.
  Test.m_Model.grantLease(Seconds(600));
  Test.m_Scheduler.advance(Seconds(11));
  CHECK(Test.m_Model.read(KeyRange::prefix("hosts/")).m_Values.size() == 1);
}

// Guards against withdrawn keys that work again at a gate that was started
// after a restore and reads a configuration from before their withdrawal.
TEST_CASE("restored store: a gate started after the restore accepts no keys "
          "before lost changes can be stored again") {
  auto Test = World();
  auto First = ConfigurationProcess(Test);
  First.grant("k");
  Test.m_Scheduler.advance(Seconds(2));
  Test.takeCopy();
  First.withdraw("k");
  Test.m_Scheduler.advance(Seconds(2));
  REQUIRE(First.m_Result == ChangeResult::Kind::Accepted);
  First.m_Store.pause();
  Test.restore();
  auto Started = ConfigurationProcess(Test);
  Test.m_Scheduler.advance(Seconds(1));
  REQUIRE(Started.accepts("k"));
  CHECK(Started.m_Freshness.age(Test.m_Scheduler.now()) == Duration::max());
  First.m_Store.resume();
  Test.m_Scheduler.advance(Seconds(3));
  CHECK_FALSE(Started.accepts("k"));
  CHECK(Started.m_Freshness.age(Test.m_Scheduler.now()) < Seconds(1));
}

TEST_CASE(
    "restored store: the period of recovery begins with the first response "
    "of a later history, and ends early once the record is written") {
  auto Scheduler = VirtualScheduler();
  auto History = StoreHistory();
  auto Period = RecoveryPeriod(Scheduler, History, Seconds(2));
  auto Covered = [&] { return Period.covers(Scheduler.now()); };
  History.observe(StoreEra{1});
  CHECK_FALSE(Covered());
  History.observe(StoreEra{2});
  CHECK(Covered());
  Scheduler.advance(Milliseconds(2100));
  CHECK_FALSE(Covered());
  CHECK(Period.covers(Scheduler.now() - Seconds(1)));
  History.observe(StoreEra{3});
  CHECK(Covered());
  Period.end();
  CHECK_FALSE(Covered());
  auto Started = RecoveryPeriod(Scheduler, History, Seconds(2));
  CHECK(Started.covers(Scheduler.now()));
}

TEST_CASE("restored store: a mirror tells values that were written again from "
          "those of the copy") {
  auto Test = World();
  Test.put("p/copied", "1");
  Test.takeCopy();
  Test.put("p/lost", "1");
  auto Process = MirrorProcess(Test);
  auto Again = std::vector<std::string>();
  Process.m_Mirror.onWrittenAgain(
      [&](const std::string &Key) { Again.push_back(Key); });
  Test.m_Scheduler.advance(Seconds(1));
  Test.restore();
  Test.put("p/other", "1");
  Test.put("p/lost", "1");
  Test.m_Scheduler.advance(Seconds(3));
  CHECK(Again == std::vector<std::string>{"p/lost"});
}

TEST_CASE(
    "restored store: with generated writes, outages and restores, mirrors "
    "end with what the store has") {
  auto Passed = rc::check([] {
    auto Source = Random(*rc::gen::arbitrary<std::uint32_t>());
    auto Test = World();
    auto Watching = MirrorProcess(Test);
    auto Relayed = MirrorProcess(Test);
    Watching.m_Mirror.onChange([&](const KeyChange &Change) {
      // A relayed change may arrive late.
      auto Delay = Milliseconds(Source.below(800));
      Test.m_Scheduler.schedule(Delay, [&Relayed, Change] {
        Relayed.m_Store.history().observe(Change.m_Revision.era());
        Relayed.m_Mirror.apply(Change);
      });
    });
    Test.takeCopy();
    constexpr auto Steps = 120;
    for (auto Step = 0; Step < Steps; ++Step) {
      auto Key = "p/" + std::to_string(Source.below(6));
      switch (Source.below(8)) {
      case 0:
        Test.takeCopy();
        break;
      case 1:
        Test.restore();
        break;
      case 2:
        Watching.m_Store.setOutage(StoreFault::LoseRequest);
        break;
      case 3:
        Watching.m_Store.setOutage(StoreFault::None);
        break;
      case 4:
        Relayed.m_Mirror.setFollowing(Source.below(2) == 0);
        break;
      case 5:
        CHECK(Test.m_Model.commit({.m_Writes = {{.m_Key = Key}}}).m_Applied);
        break;
      default:
        Test.put(Key, std::to_string(Step));
      }
      Test.m_Scheduler.advance(Milliseconds(Source.below(400)));
    }
    Watching.m_Store.setOutage(StoreFault::None);
    Relayed.m_Mirror.setFollowing(false);
    Test.m_Scheduler.advance(Seconds(8));
    auto Stored = Contents();
    for (const auto &Item : Test.m_Model.read(KeyRange::prefix("p/")).m_Values)
      Stored[Item.m_Key] = Item.m_Value;
    RC_ASSERT(Relayed.m_Contents == Stored);
  });
  CHECK(Passed);
}

TEST_CASE(
    "restored store: with generated outages, ends of holders and restores, "
    "tokens rise and no window is reported with two counts") {
  auto Passed = rc::check([] {
    auto Source = Random(*rc::gen::arbitrary<std::uint32_t>());
    auto Test = World();
    auto Reports = std::vector<UsageReport>();
    auto Writer = UsageWriter(Test);
    auto Processes = std::vector<std::unique_ptr<Reporter>>();
    for (auto Name : {"0", "1", "2"})
      Processes.push_back(std::make_unique<Reporter>(Test, Reports, Name));
    Test.m_Scheduler.advance(Seconds(12));
    Test.takeCopy();
    constexpr auto Steps = 400;
    auto Holders = std::map<FencingNumber, const Reporter *>();
    for (auto Step = 0; Step < Steps; ++Step) {
      auto &Target = *Processes[Source.below(Processes.size())];
      switch (Source.below(50)) {
      case 0:
        Test.takeCopy();
        break;
      case 1:
        Test.restore();
        break;
      case 2:
        Target.m_Store.setOutage(StoreFault::LoseRequest);
        break;
      case 3:
        Target.m_Duty.abandon();
        Test.m_Scheduler.schedule(Seconds(2),
                                  [&Target] { Target.m_Duty.start(); });
        break;
      default:
        Target.m_Store.setOutage(StoreFault::None);
      }
      Test.m_Scheduler.advance(Milliseconds(Source.below(400)));
      for (const auto &Process : Processes)
        if (Process->m_Duty.held())
          RC_ASSERT(Holders.emplace(Process->m_Duty.fencing(), Process.get())
                        .first->second == Process.get());
    }
    RC_ASSERT(consistent(Reports));
  });
  CHECK(Passed);
}
