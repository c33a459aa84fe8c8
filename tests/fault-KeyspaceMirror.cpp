#include "dotterel/store/KeyspaceMirror.h"
#include "support/ScriptedStore.h"
#include "support/VirtualScheduler.h"

#include <doctest/doctest.h>

using namespace dotterel;
using namespace dotterel::test;

namespace {

auto put(const std::string &Key, const std::string &Value,
         std::uint64_t Revision) -> KeyChange {
  return {
      .m_Key = Key, .m_Value = Value, .m_Revision = StoreRevision{Revision}};
}

auto removal(const std::string &Key, std::uint64_t Revision) -> KeyChange {
  return {.m_Key = Key, .m_Revision = StoreRevision{Revision}};
}

auto changes(std::vector<KeyChange> List, std::uint64_t Revision)
    -> WatchResult {
  return {.m_Changes = std::move(List), .m_Revision = StoreRevision{Revision}};
}

auto listing(std::vector<StoredValue> Values, std::uint64_t Revision)
    -> RangeResult {
  return {.m_Values = std::move(Values), .m_Revision = StoreRevision{Revision}};
}

struct Fixture {
  VirtualScheduler m_Scheduler;
  ScriptedStore m_Store;
  Random m_Random{1};
  KeyspaceMirror m_Mirror{
      m_Scheduler, m_Store, m_Store, m_Random, {.m_Prefix = "p/"}};
  std::map<std::string, std::string> m_Copy;
  std::vector<MonotonicTime> m_Evidence;

  Fixture() {
    m_Mirror.onChange([this](const KeyChange &Change) {
      if (Change.m_Value)
        m_Copy[Change.m_Key] = *Change.m_Value;
      else
        m_Copy.erase(Change.m_Key);
    });
    m_Mirror.onEvidence([this](MonotonicTime At) { m_Evidence.push_back(At); });
    m_Mirror.start();
  }

  auto begin() -> void {
    m_Store.answerRead(listing(
        {{.m_Key = "p/a", .m_Value = "1", .m_Modified = StoreRevision{5}},
         {.m_Key = "p/b", .m_Value = "1", .m_Modified = StoreRevision{6}}},
        10));
    m_Scheduler.advance(Milliseconds(1));
  }
};

using Copy = std::map<std::string, std::string>;

} // namespace

TEST_CASE("keyspace mirror: lists, then follows changes from the list's "
          "revision, with evidence from before each call") {
  auto Test = Fixture();
  auto Start = Test.m_Scheduler.now();
  Test.m_Scheduler.advance(Milliseconds(30));
  Test.begin();
  CHECK(Test.m_Copy == Copy{{"p/a", "1"}, {"p/b", "1"}});
  REQUIRE(Test.m_Evidence.size() == 1);
  CHECK(Test.m_Evidence[0] == Start);
  REQUIRE(Test.m_Store.m_Watches.size() == 1);
  CHECK(Test.m_Store.m_Watches[0].m_After == StoreRevision{10});
  Test.m_Store.answerWatch(
      changes({put("p/a", "2", 11), removal("p/b", 12)}, 12));
  CHECK(Test.m_Copy == Copy{{"p/a", "2"}});
  Test.m_Scheduler.advance(Milliseconds(1));
  CHECK(Test.m_Store.m_Watches[0].m_After == StoreRevision{12});
}

TEST_CASE("keyspace mirror: a key's value never goes back") {
  auto Test = Fixture();
  Test.begin();
  Test.m_Mirror.apply(put("p/a", "3", 20));
  Test.m_Store.answerWatch(changes({put("p/a", "2", 11)}, 11));
  CHECK(Test.m_Copy.at("p/a") == "3");
}

// Found on the users' bench: a relay that was behind replayed an older write of
// a server whose removal a faster relay had passed on.
TEST_CASE("keyspace mirror: an older write does not bring a removed key back") {
  auto Test = Fixture();
  Test.begin();
  Test.m_Mirror.apply(removal("p/a", 15));
  CHECK(Test.m_Copy == Copy{{"p/b", "1"}});
  Test.m_Store.answerWatch(changes({put("p/a", "2", 11)}, 11));
  CHECK(Test.m_Copy == Copy{{"p/b", "1"}});
  Test.m_Scheduler.advance(Milliseconds(1));
  Test.m_Store.answerWatch(changes({put("p/a", "4", 16)}, 16));
  CHECK(Test.m_Copy == Copy{{"p/a", "4"}, {"p/b", "1"}});
}

TEST_CASE("keyspace mirror: a lost history is made up for by a list") {
  auto Test = Fixture();
  Test.begin();
  Test.m_Store.answerWatch({.m_HistoryLost = true});
  REQUIRE(Test.m_Store.m_Reads.size() == 1);
  Test.m_Store.answerRead(listing(
      {{.m_Key = "p/c", .m_Value = "1", .m_Modified = StoreRevision{40}}}, 41));
  CHECK(Test.m_Copy == Copy{{"p/c", "1"}});
}

TEST_CASE("keyspace mirror: keys that lapsed in an outage are kept until their "
          "owners have had time to return, and no longer") {
  auto Test = Fixture();
  Test.begin();
  Test.m_Store.failWatch();
  Test.m_Scheduler.advance(Milliseconds(400));
  REQUIRE(Test.m_Store.m_Watches.size() == 1);
  Test.m_Store.answerWatch(
      changes({removal("p/a", 20), removal("p/b", 21)}, 21));
  CHECK(Test.m_Copy.size() == 2);
  Test.m_Scheduler.advance(Milliseconds(500));
  Test.m_Store.answerWatch(changes({put("p/a", "9", 22)}, 22));
  Test.m_Scheduler.advance(Milliseconds(2500));
  CHECK(Test.m_Copy == Copy{{"p/a", "9"}});
}

TEST_CASE("keyspace mirror: without an outage a removal counts at once") {
  auto Test = Fixture();
  Test.begin();
  Test.m_Store.answerWatch(changes({removal("p/a", 20)}, 20));
  CHECK(Test.m_Copy == Copy{{"p/b", "1"}});
}

TEST_CASE("keyspace mirror: a follower makes no calls, and lists anew when it "
          "watches again") {
  auto Test = Fixture();
  Test.begin();
  Test.m_Mirror.follow(true);
  Test.m_Store.answerWatch(changes({}, 10));
  Test.m_Scheduler.advance(Seconds(10));
  CHECK(Test.m_Store.m_Watches.empty());
  CHECK(Test.m_Store.m_Reads.empty());
  Test.m_Mirror.follow(false);
  CHECK(Test.m_Store.m_Reads.size() == 1);
}

TEST_CASE("keyspace mirror: failed calls are repeated ever more slowly") {
  auto Test = Fixture();
  Test.begin();
  Test.m_Store.failWatch();
  auto Calls = 0;
  for (auto Step = 0; Step < 500; ++Step) {
    Test.m_Scheduler.advance(Milliseconds(20));
    if (Test.m_Store.m_Watches.empty())
      continue;
    ++Calls;
    Test.m_Store.failWatch();
  }
  CHECK(Calls >= 7);
  CHECK(Calls <= 14);
}

// Found on the users' bench: a relay that was back after a cut replayed what it
// had missed, step by step, to hosts that knew better.
TEST_CASE("keyspace mirror: of several changes of a key in one answer only the "
          "last shows") {
  auto Test = Fixture();
  Test.begin();
  auto Shown = 0;
  Test.m_Mirror.onChange([&Shown](const KeyChange &) { ++Shown; });
  Test.m_Store.answerWatch(changes({put("p/c", "1", 11), put("p/a", "2", 12),
                                    removal("p/c", 13), put("p/a", "3", 14)},
                                   14));
  CHECK(Shown == 1);
}

TEST_CASE("keyspace mirror: after an outage only keys from before it are kept "
          "when they are removed") {
  auto Test = Fixture();
  Test.begin();
  Test.m_Store.failWatch();
  Test.m_Scheduler.advance(Milliseconds(400));
  Test.m_Store.answerWatch(
      changes({removal("p/a", 20), put("p/c", "1", 21)}, 21));
  Test.m_Scheduler.advance(Milliseconds(1));
  CHECK(Test.m_Copy == Copy{{"p/a", "1"}, {"p/b", "1"}, {"p/c", "1"}});
  Test.m_Store.answerWatch(changes({removal("p/c", 22)}, 22));
  CHECK(Test.m_Copy == Copy{{"p/a", "1"}, {"p/b", "1"}});
}

TEST_CASE("keyspace mirror: a write that was passed on does not undo a removal "
          "that a list or another process has shown") {
  auto Test = Fixture();
  Test.begin();
  Test.m_Mirror.apply(put("p/c", "1", 9));
  CHECK(Test.m_Copy == Copy{{"p/a", "1"}, {"p/b", "1"}});
  Test.m_Mirror.apply(removal("p/d", 20));
  Test.m_Mirror.apply(put("p/d", "1", 19));
  CHECK(Test.m_Copy == Copy{{"p/a", "1"}, {"p/b", "1"}});
  Test.m_Mirror.apply(put("p/d", "2", 21));
  CHECK(Test.m_Copy.at("p/d") == "2");
}
