#include "support/FleetWorld.h"

#include <doctest/doctest.h>
#include <set>

using namespace dotterel;
using namespace dotterel::test;

namespace {

/// Latest execution of an order that an engine has not answered.
constexpr auto MaxLateness = Milliseconds(12000);

/// How a grant ends after which an order of it is still open.
enum class GrantEnd : std::uint8_t {
  Killed,   ///< The process is gone, and another host is next.
  SameHost, ///< The process is gone, and the same host is next.
  Stopped,  ///< A planned stop.
  CutOff,   ///< The store is out of reach of the holder, which is back later.
  Restored, ///< The store is restored from a copy without any order.
  HeldRestore, ///< The same, and the holder is granted the duty again at once.
};

/// Runs holders through one end of a grant, with one order open.
struct EndOfGrant {
  explicit EndOfGrant(GrantEnd End, bool ReliesOnCheck) {
    m_Test.m_ChecksFencing = ReliesOnCheck;
    m_Test.m_Fleet.m_ChecksFencing = false;
    m_Test.m_ListsStages = true;
    m_Test.m_Idle = true;
    m_Test.add("first");
    if (End != GrantEnd::SameHost && End != GrantEnd::HeldRestore)
      m_Test.add("second");
    auto Copy = m_Test.m_Model.copy();
    leaveOrderOpen();
    auto &Holder = holder();
    auto Other = std::size_t{&Holder == m_Test.m_Holders[0].get() ? 1U : 0U};
    switch (End) {
    case GrantEnd::Killed:
      m_Test.m_Holders.erase(m_Test.m_Holders.begin() +
                             static_cast<std::ptrdiff_t>(1 - Other));
      break;
    case GrantEnd::SameHost:
      m_Test.m_Holders.clear();
      m_Test.add("first");
      break;
    case GrantEnd::Stopped:
      Holder.m_Duty.stop();
      break;
    case GrantEnd::CutOff:
      Holder.m_Store.setOutage(StoreFault::Refuse);
      break;
    case GrantEnd::Restored:
      Holder.m_Store.setOutage(StoreFault::Refuse);
      m_Test.m_Model.restore(Copy, Seconds(4));
      break;
    case GrantEnd::HeldRestore:
      m_Test.m_Model.restore(Copy, Seconds(4));
      break;
    }
    m_EndedAt = m_Test.m_Scheduler.now();
  }

  [[nodiscard]] auto holder() -> Holder & {
    for (auto &Item : m_Test.m_Holders)
      if (Item->m_Duty.held())
        return *Item;
    throw std::runtime_error("nobody holds the duty");
  }

  /// Waits for a stage order and makes the engine execute it as late as it may.
  auto leaveOrderOpen() -> void {
    m_Test.m_Fleet.m_StageFates =
        [this](const StageOrder &Order) -> Fleet::OrderFate {
      if (!m_OpenEngine.empty())
        return {};
      m_OpenEngine = Order.m_Backend;
      return {.m_Late = {MaxLateness}};
    };
    for (auto Step = 0; Step < 100 && m_OpenEngine.empty(); ++Step)
      m_Test.advanceTime(Milliseconds(500));
    m_OpenToken = m_Test.m_Fleet.m_StageCalls.back().m_Fencing;
    for (const auto &Call : m_Test.m_Fleet.m_StageCalls)
      if (Call.m_Engine == m_OpenEngine)
        m_OpenToken = Call.m_Fencing;
  }

  /// Lets engines start again under their ids, in the stage of the start, again
  /// and again, so that each is ordered as soon as that is allowed.
  auto advanceWithRestarts(Duration Span) -> void {
    for (auto Left = Span; Left > Duration::zero(); Left -= Milliseconds(500)) {
      m_Test.m_Fleet.m_Stages.clear();
      m_Test.advanceTime(Milliseconds(500));
    }
  }

  /// Returns when the first order of a later grant was sent, to the engine of
  /// the open order or to any other one, since the end of the earlier grant.
  auto firstOrderAfter(bool ToOpenEngine) -> std::optional<Duration> {
    for (const auto &Call : m_Test.m_Fleet.m_StageCalls)
      if (Call.m_Fencing > m_OpenToken &&
          (Call.m_Engine == m_OpenEngine) == ToOpenEngine)
        return Call.m_At - m_EndedAt;
    return std::nullopt;
  }

  World m_Test;
  BackendId m_OpenEngine;
  FencingNumber m_OpenToken;
  MonotonicTime m_EndedAt;
};

auto runHolders(std::uint64_t Seed, bool ChecksFencing) -> GrantsOutcome {
  auto Test = World();
  auto Result = GrantsOutcome();
  auto Choice = Random(Seed);
  Test.m_ChecksFencing = ChecksFencing;
  Test.m_Fleet.m_ChecksFencing = false;
  Test.m_ListsStages = true;
  Test.m_Idle = true;
  Test.m_Fleet.m_StageFates = [&](const StageOrder &) -> Fleet::OrderFate {
    auto Late = [&] {
      ++Result.m_Late;
      return Milliseconds(1 + Choice.below(MaxLateness.count()));
    };
    switch (Choice.below(5)) {
    case 0:
      return {.m_Lost = true};
    case 1:
      return {.m_Late = {Late()}};
    case 2:
      return {.m_Late = {Milliseconds(5), Late()}};
    default:
      return {};
    }
  };
  changeHolders(Test, Choice, [&] {
    // Engines that start again are registered under their id, in the stage of
    // the start.
    for (auto &[Engine, Stage] : Test.m_Fleet.m_Stages)
      if (Choice.below(3) == 0)
        Stage = EngineStage::Decode;
  });
  Test.m_Fleet.m_StageFates = nullptr;
  Test.advanceTime(Seconds(60));
  auto Prefilling = 0;
  for (const auto &[Engine, Stage] : Test.m_Fleet.m_Stages)
    Prefilling += Stage == EngineStage::Prefill ? 1 : 0;
  CHECK(Prefilling == MaxServers / 2);
  Result.m_Overtaken = Test.m_Fleet.m_StageOvertaken;
  auto Tokens = std::set<FencingNumber>();
  for (const auto &Call : Test.m_Fleet.m_StageCalls)
    Tokens.insert(Call.m_Fencing);
  Result.m_Grants = static_cast<int>(Tokens.size());
  return Result;
}

} // namespace

// Guards against a stage order of a grant that has ended, however it did, which
// an engine that does not check fencing tokens executes after an order of the
// next grant.
TEST_CASE("stage orders: no engine executes an open order of an ended grant "
          "after one with a higher token") {
  for (auto End : {GrantEnd::Killed, GrantEnd::SameHost, GrantEnd::Stopped,
                   GrantEnd::CutOff, GrantEnd::Restored, GrantEnd::HeldRestore})
    for (auto ReliesOnCheck : {true, false}) {
      CAPTURE(static_cast<int>(End));
      CAPTURE(ReliesOnCheck);
      auto Run = EndOfGrant(End, ReliesOnCheck);
      Run.advanceWithRestarts(Seconds(10));
      CHECK(Run.firstOrderAfter(true).has_value() == ReliesOnCheck);
      Run.advanceWithRestarts(Seconds(25));
      CHECK((Run.m_Test.m_Fleet.m_StageOvertaken > 0) == ReliesOnCheck);
      CHECK(Run.firstOrderAfter(true).has_value());
      CHECK(Run.firstOrderAfter(false).has_value());
    }
}

// Guards against a hold of all engines where one has an open order.
TEST_CASE("stage orders: engines without an open order are ordered at once "
          "after a change of the holder, unless the store was restored") {
  for (auto End : {GrantEnd::Killed, GrantEnd::SameHost, GrantEnd::Stopped,
                   GrantEnd::CutOff, GrantEnd::HeldRestore}) {
    CAPTURE(static_cast<int>(End));
    auto Run = EndOfGrant(End, false);
    Run.advanceWithRestarts(Seconds(40));
    auto Free = Run.firstOrderAfter(false);
    auto Open = Run.firstOrderAfter(true);
    REQUIRE(Free);
    REQUIRE(Open);
    // The lease's term, and the intervals of campaigns and steps.
    constexpr auto MaxTakeover = Seconds(8);
    CHECK((*Free <= MaxTakeover) == (End != GrantEnd::HeldRestore));
    CHECK(*Open > MaxLateness);
  }
}

TEST_CASE("stage orders: with holders that end, are cut off and come back, and "
          "a store that is restored, no order is executed after one with a "
          "higher token") {
  auto Total = GrantsOutcome();
  auto Unguarded = 0;
  for (auto Seed = 1U; Seed <= 40; ++Seed) {
    CAPTURE(Seed);
    auto Result = runHolders(Seed, false);
    CHECK(Result.m_Overtaken == 0);
    Total.m_Late += Result.m_Late;
    Total.m_Grants += Result.m_Grants;
    Unguarded += runHolders(Seed, true).m_Overtaken;
  }
  MESSAGE("late ", Total.m_Late, ", grants ", Total.m_Grants, ", unguarded ",
          Unguarded);
  CHECK(Total.m_Late >= 100);
  CHECK(Total.m_Grants >= 100);
  // The same faults do reorder orders where holders rely on a check that
  // engines do not make.
  CHECK(Unguarded >= 10);
}

TEST_CASE("stage orders: the first holder does not wait, and where engines "
          "check fencing tokens no holder does, and nothing is recorded") {
  for (auto ChecksFencing : {false, true}) {
    CAPTURE(ChecksFencing);
    auto Test = World();
    Test.m_ChecksFencing = ChecksFencing;
    Test.m_ListsStages = true;
    Test.m_Idle = true;
    for (auto Round = 0; Round < (ChecksFencing ? 2 : 1); ++Round) {
      Test.m_Holders.clear();
      Test.m_Fleet.m_Stages.clear();
      Test.add("first");
      auto Calls = Test.m_Fleet.m_StageCalls.size();
      while (!Test.m_Holders[0]->m_Duty.held())
        Test.advanceTime(Milliseconds(500));
      // Servers are ordered and registered first.
      Test.advanceTime(Seconds(4));
      CHECK(Test.m_Fleet.m_StageCalls.size() > Calls);
    }
    auto Record =
        Test.m_Model.read(KeyRange::single("fleet-stage-orders")).m_Values;
    CHECK(Record.empty() == ChecksFencing);
  }
}

// Guards against orders by a holder that takes a record for empty which it
// could not read, or which an earlier version of the program has not kept.
TEST_CASE(
    "stage orders: without a record that can be read, and after a version "
    "that kept none, no engine is ordered until open orders are over") {
  for (auto Unreadable : {false, true}) {
    CAPTURE(Unreadable);
    auto Test = World();
    Test.m_ListsStages = true;
    Test.m_Idle = true;
    Test.m_Model.commit(
        {.m_Writes = {
             {.m_Key = Unreadable ? "fleet-stage-orders" : "usage-progress",
              .m_Value = Unreadable ? "?" : "7 1"}}});
    Test.add("first");
    while (!Test.m_Holders[0]->m_Duty.held())
      Test.advanceTime(Milliseconds(500));
    Test.advanceTime(MaxLateness + Milliseconds(500));
    CHECK(Test.m_Fleet.m_StageCalls.empty());
    Test.advanceTime(Seconds(4));
    CHECK(!Test.m_Fleet.m_StageCalls.empty());
    // The next holder trusts the record of this one.
    auto Calls = Test.m_Fleet.m_StageCalls.size();
    Test.m_Holders.clear();
    Test.m_Fleet.m_Stages.clear();
    Test.add("second");
    Test.advanceTime(Seconds(8));
    CHECK(Test.m_Fleet.m_StageCalls.size() > Calls);
  }
}

// Guards against a removal from the record whose outcome is unknown, and which
// is carried out after the engine was ordered again.
TEST_CASE("stage orders: a late write of the record does not hide an open "
          "order, whenever the store answers late") {
  for (auto Offset = Milliseconds(0); Offset < Seconds(4);
       Offset += Milliseconds(250))
    for (auto Length : {Milliseconds(250), Milliseconds(500),
                        Milliseconds(1000), Milliseconds(2000)}) {
      CAPTURE(Offset.count());
      CAPTURE(Length.count());
      auto Test = World();
      Test.m_ListsStages = true;
      Test.m_Idle = true;
      Test.add("first");
      while (Test.m_Fleet.m_StageCalls.empty())
        Test.advanceTime(Milliseconds(500));
      auto Answered = Test.m_Fleet.m_StageCalls.size();
      Test.m_Fleet.m_StageFates = [](const StageOrder &) -> Fleet::OrderFate {
        return {.m_Late = {MaxLateness}};
      };
      Test.m_Scheduler.advance(Offset);
      Test.m_Holders[0]->m_Store.setOutage(StoreFault::LateEffect);
      Test.m_Fleet.m_Stages.clear();
      Test.registerServers();
      Test.m_Scheduler.advance(Length);
      Test.m_Holders[0]->m_Store.setOutage(StoreFault::None);
      for (auto Step = 0;
           Step < 20 && Test.m_Fleet.m_StageCalls.size() == Answered; ++Step)
        Test.advanceTime(Milliseconds(500));
      CHECK(Test.m_Fleet.m_StageCalls.size() > Answered);
      Test.m_Fleet.m_StageFates = nullptr;
      Test.m_Holders.clear();
      Test.add("second");
      for (auto Step = 0; Step < 60; ++Step) {
        Test.m_Fleet.m_Stages.clear();
        Test.advanceTime(Milliseconds(500));
      }
      CHECK(Test.m_Fleet.m_StageOvertaken == 0);
    }
}

// Guards against an engine that is left in the wrong stage by a late copy of an
// order that its own holder has already taken back.
TEST_CASE(
    "stage orders: an order for the other stage waits for an open order of "
    "the same holder, which may be repeated") {
  auto Test = World();
  Test.m_ListsStages = true;
  Test.m_Idle = true;
  auto Engine = BackendId();
  auto SentAt = MonotonicTime();
  Test.m_Fleet.m_StageFates = [&](const StageOrder &Order) -> Fleet::OrderFate {
    if (!Engine.empty())
      return {};
    Engine = Order.m_Backend;
    SentAt = Test.m_Scheduler.now();
    return {.m_Late = {Milliseconds(5), MaxLateness}};
  };
  Test.add("first");
  while (Engine.empty())
    Test.advanceTime(Milliseconds(500));
  for (auto Step = 0; Step < 60; ++Step) {
    // All engines but this one start again in the stage prefill.
    for (const auto &[Id, Record] : Test.m_Directory.all())
      if (Id != Engine)
        Test.m_Fleet.m_Stages[Id] = EngineStage::Prefill;
    Test.advanceTime(Milliseconds(500));
  }
  auto Reversed = false;
  for (const auto &Call : Test.m_Fleet.m_StageCalls)
    if (Call.m_Engine == Engine && Call.m_Stage == EngineStage::Decode) {
      CHECK(Call.m_At - SentAt >= MaxLateness);
      Reversed = true;
    }
  CHECK(Reversed);
  CHECK(Test.stageOf(Engine) == EngineStage::Decode);
}

TEST_CASE("stage orders: no more engines are sent orders at a time than the "
          "record may name") {
  auto Test = World();
  Test.m_Options.m_MaxOpenStageOrders = 2;
  Test.m_ListsStages = true;
  Test.m_Idle = true;
  Test.m_Fleet.m_StageFates = [](const StageOrder &) -> Fleet::OrderFate {
    return {.m_Lost = true};
  };
  Test.add("first");
  Test.advanceTime(Seconds(10));
  auto Engines = std::set<BackendId>();
  for (const auto &Call : Test.m_Fleet.m_StageCalls)
    Engines.insert(Call.m_Engine);
  CHECK(Engines.size() == 2);
  // The others follow when these orders can no longer be executed.
  Test.m_Fleet.m_StageFates = nullptr;
  Test.advanceTime(Seconds(30));
  for (const auto &Call : Test.m_Fleet.m_StageCalls)
    Engines.insert(Call.m_Engine);
  CHECK(Engines.size() == 3);
}
