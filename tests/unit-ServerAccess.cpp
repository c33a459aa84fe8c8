#include "dotterel/routing/ServerAccess.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <type_traits>
#include <vector>

using namespace dotterel;

namespace {

const auto Server = BackendId{"s"};
const auto Start = MonotonicTime(Seconds(100));
constexpr auto AllPurposes = {SendPurpose::Execute, SendPurpose::Prefill,
                              SendPurpose::Order, SendPurpose::Release,
                              SendPurpose::Probe};

auto target(std::uint64_t Number = 7, std::string_view Address = "a:1")
    -> SendTarget {
  return {.m_Backend = Server,
          .m_Address = Address,
          .m_Start = Number,
          .m_StartsOrdered = true};
}

auto makeAccess(std::uint64_t Seed = 0) -> ServerAccess {
  return ServerAccess({}, {.m_SpreadSeed = Seed});
}

constexpr auto Leaving = ServerNotice{.m_Leaving = true};

auto pause(Duration Time) -> ServerNotice { return {.m_Pause = Time}; }

} // namespace

// A permission can only come from ServerAccess.
static_assert(!std::is_default_constructible_v<SendPermit>);
static_assert(!std::is_copy_constructible_v<SendPermit>);
static_assert(!std::is_constructible_v<SendPermit, BackendId, SendPurpose>);

TEST_CASE("server access: a server that leaves gets nothing to work for") {
  auto Access = makeAccess();
  for (auto Purpose : AllPurposes)
    CHECK(Access.check(target(), Purpose, Start) == SendDenial::None);
  Access.recordNotice(target(), Leaving, Start);
  auto Later = Start + std::chrono::hours(10);
  for (auto Purpose :
       {SendPurpose::Execute, SendPurpose::Prefill, SendPurpose::Order})
    CHECK(Access.check(target(), Purpose, Later) == SendDenial::Leaving);
  for (auto Purpose : {SendPurpose::Release, SendPurpose::Probe})
    CHECK(Access.check(target(), Purpose, Later) == SendDenial::None);
  CHECK(Access.timeToOpen(target(), Later) == Duration::max());
  CHECK(Access.leavingCount() == 1);
}

TEST_CASE("server access: a later start of a server that left is a new server, "
          "an earlier one is an old copy of its registration") {
  auto Access = makeAccess();
  Access.recordNotice(target(7), Leaving, Start);
  CHECK(Access.check(target(6), SendPurpose::Execute, Start) ==
        SendDenial::Leaving);
  CHECK(Access.check(target(8), SendPurpose::Execute, Start) ==
        SendDenial::None);
  CHECK(Access.check(target(8, "b:1"), SendPurpose::Execute, Start) ==
        SendDenial::None);
  // A registration without a start is told apart by the address alone.
  CHECK(Access.check(target(0), SendPurpose::Execute, Start) ==
        SendDenial::Leaving);
  CHECK(Access.check(target(0, "b:1"), SendPurpose::Execute, Start) ==
        SendDenial::None);
  auto OtherId = BackendId{"t"};
  CHECK(Access.check({.m_Backend = OtherId, .m_Address = "a:1", .m_Start = 7},
                     SendPurpose::Execute, Start) == SendDenial::None);
  // A late response of the earlier start says nothing about the later one.
  Access.recordNotice(target(8), pause(Seconds(1)), Start);
  Access.recordNotice(target(7), Leaving, Start);
  CHECK(Access.check(target(8), SendPurpose::Execute, Start) ==
        SendDenial::Paused);
  CHECK(Access.check(target(8), SendPurpose::Execute, Start + Seconds(2)) ==
        SendDenial::None);
}

TEST_CASE("server access: during a pause a server gets nothing at all, and for "
          "at least as long as it has stated") {
  for (auto Stated :
       {Milliseconds(10), Milliseconds(1500), Milliseconds(60000)})
    for (auto Seed = std::uint64_t{0}; Seed < 50; ++Seed) {
      auto Access = makeAccess(Seed);
      Access.recordNotice(target(), pause(Stated), Start);
      auto Last = Start + Stated - Duration(1);
      for (auto Purpose : AllPurposes)
        CHECK(Access.check(target(), Purpose, Last) == SendDenial::Paused);
      CHECK(Access.timeToOpen(target(), Start) >= Stated);
      auto MaxTime =
          Stated + std::min<Duration>(Duration(Stated) / 4, Milliseconds(500));
      CHECK(Access.check(target(), SendPurpose::Execute, Start + MaxTime) ==
            SendDenial::None);
      CHECK(Access.pausedCount(Last) == 1);
      CHECK(Access.pausedCount(Start + MaxTime) == 0);
    }
}

TEST_CASE("server access: a shorter pause does not shorten a longer one") {
  auto Access = makeAccess();
  Access.recordNotice(target(), pause(Seconds(10)), Start);
  Access.recordNotice(target(), pause(Seconds(1)), Start + Seconds(1));
  CHECK(Access.check(target(), SendPurpose::Execute, Start + Seconds(9)) ==
        SendDenial::Paused);
}

// Guards against hosts that a server has sent away at one moment and that are
// all back at another.
TEST_CASE("server access: hosts do not return from a pause at the same time") {
  for (auto Hosts : {30U, 300U, 1400U}) {
    auto Times = std::vector<Duration>();
    for (auto Host = 0U; Host < Hosts; ++Host) {
      auto Access =
          makeAccess(std::hash<std::string>()(fmt::format("h{}", Host)));
      Access.recordNotice(target(), pause(Seconds(2)), Start);
      Times.push_back(Access.timeToOpen(target(), Start));
    }
    // 500 ms of spread: a twentieth of the hosts per 25 ms on average.
    constexpr auto Slots = 20;
    auto Counts = std::vector<std::size_t>(Slots);
    for (auto Time : Times)
      ++Counts.at(
          static_cast<std::size_t>((Time - Seconds(2)) / Milliseconds(25)));
    CAPTURE(Hosts);
    for (auto Count : Counts)
      CHECK(Count <= 3.0 * Hosts / Slots + 2);
  }
}

TEST_CASE("server access: each reason denies the purposes it is about") {
  auto Access = ServerAccess({}, {});
  auto Listed = target();
  auto Admit = [&](const SendTarget &Chosen, SendPurpose Purpose,
                   SendConditions Conditions) {
    return Access.admit(Chosen, Purpose, Conditions, Start).m_Denial;
  };
  auto Whole = SendConditions{.m_Listed = &Listed};
  for (auto Purpose : AllPurposes)
    CHECK(Admit(target(), Purpose, Whole) == SendDenial::None);
  auto Draining = target();
  Draining.m_Draining = true;
  auto Ejected = target();
  Ejected.m_Ejected = true;
  for (auto Purpose : {SendPurpose::Execute, SendPurpose::Prefill}) {
    CHECK(Admit(target(), Purpose,
                {.m_Listed = &Listed, .m_CallerPresent = false}) ==
          SendDenial::CallerLeft);
    CHECK(Admit(target(), Purpose,
                {.m_Listed = &Listed, .m_TimeLeft = Duration::zero()}) ==
          SendDenial::TimeOver);
    CHECK(Admit(target(), Purpose,
                {.m_Listed = &Listed, .m_Quarantined = true}) ==
          SendDenial::Quarantined);
    CHECK(Admit(Ejected, Purpose, Whole) == SendDenial::Ejected);
  }
  for (auto Purpose :
       {SendPurpose::Execute, SendPurpose::Prefill, SendPurpose::Order}) {
    CHECK(Admit(target(), Purpose, {}) == SendDenial::Unlisted);
    CHECK(Admit(target(6), Purpose, Whole) == SendDenial::Restarted);
    CHECK(Admit(target(7, "b:1"), Purpose, Whole) == SendDenial::Restarted);
    CHECK(Admit(target(), Purpose, {.m_Listed = &Draining}) ==
          SendDenial::Draining);
  }
  for (auto Purpose : {SendPurpose::Release, SendPurpose::Probe})
    CHECK(Admit(target(), Purpose, {}) == SendDenial::None);
}

TEST_CASE("server access: a permission to send a request uses up the server's "
          "rate, and nothing else does") {
  auto Access = makeAccess();
  Access.rateLimits().setSenders("h", {}, Start);
  Access.rateLimits().recordResponse(Server, RequestRate{1}, Start);
  auto Now = Start + Seconds(5);
  auto Listed = target();
  auto Conditions = SendConditions{.m_Listed = &Listed};
  for (auto Count = 0; Count < 5; ++Count) {
    CHECK(Access.check(target(), SendPurpose::Execute, Now) ==
          SendDenial::None);
    CHECK(Access.admit(target(), SendPurpose::Order, Conditions, Now).m_Permit);
    CHECK(Access.admit(target(), SendPurpose::Probe, Conditions, Now).m_Permit);
  }
  auto Decision = Access.admit(target(), SendPurpose::Execute, Conditions, Now);
  REQUIRE(Decision.m_Permit);
  CHECK(Decision.m_Permit->backend() == Server);
  CHECK(Decision.m_Permit->purpose() == SendPurpose::Execute);
  CHECK(
      Access.admit(target(), SendPurpose::Execute, Conditions, Now).m_Denial ==
      SendDenial::RateLimited);
}

TEST_CASE("server access: the memory for notices is bounded, and pauses that "
          "are over make room first") {
  auto Access = ServerAccess({}, {.m_MaxServers = 100});
  auto Now = Start;
  for (auto Index = 0; Index < 1000; ++Index) {
    auto Id = BackendId{fmt::format("s{}", Index)};
    Access.recordNotice({.m_Backend = Id, .m_Address = "a:1", .m_Start = 1},
                        pause(Milliseconds(1)), Now);
    Now += Seconds(1);
  }
  for (auto Index = 0; Index < 300; ++Index) {
    auto Id = BackendId{fmt::format("l{}", Index)};
    Access.recordNotice({.m_Backend = Id, .m_Address = "a:1", .m_Start = 1},
                        Leaving, Now);
    Now += Seconds(1);
  }
  CHECK(Access.leavingCount() == 100);
  auto Newest = BackendId{"l299"};
  CHECK(Access.check({.m_Backend = Newest, .m_Address = "a:1", .m_Start = 1},
                     SendPurpose::Execute, Now) == SendDenial::Leaving);
}

TEST_CASE("server access: whatever the order of notices, starts and times, a "
          "server gets no request that it has asked not to get") {
  CHECK(rc::check([] {
    auto Access = makeAccess(*rc::gen::arbitrary<std::uint64_t>());
    auto Now = Start;
    auto NewestLeaving = std::uint64_t{0};
    auto PausedUntil = MonotonicTime();
    auto PausedStart = std::uint64_t{0};
    auto Steps = *rc::gen::inRange(1, 60);
    for (auto Step = 0; Step < Steps; ++Step) {
      Now += Milliseconds(*rc::gen::inRange(0, 2000));
      auto Number = *rc::gen::inRange<std::uint64_t>(1, 4);
      switch (*rc::gen::inRange(0, 3)) {
      case 0:
        Access.recordNotice(target(Number), Leaving, Now);
        NewestLeaving = std::max(NewestLeaving, Number);
        break;
      case 1: {
        auto Time = Milliseconds(*rc::gen::inRange(1, 5000));
        Access.recordNotice(target(Number), pause(Time), Now);
        if (Number > PausedStart)
          PausedUntil = MonotonicTime();
        if (Number >= PausedStart) {
          PausedStart = Number;
          PausedUntil = std::max(PausedUntil, Now + Time);
        }
        break;
      }
      default: {
        auto Denial = Access.check(target(Number), SendPurpose::Execute, Now);
        // Notices of an earlier start end with a notice of a later one, whose
        // registration is the current one then.
        auto Newest = std::max(NewestLeaving, PausedStart);
        if (Number == Newest && Newest == NewestLeaving)
          RC_ASSERT(Denial != SendDenial::None);
        if (Number == Newest && Newest == PausedStart && Now < PausedUntil)
          RC_ASSERT(Denial == SendDenial::Paused);
        break;
      }
      }
    }
  }));
}
