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
  std::vector<MonotonicTime> m_ConfirmedTimes;

  Fixture() {
    m_Mirror.onChange([this](const KeyChange &Change) {
      if (Change.m_Value)
        m_Copy[Change.m_Key] = *Change.m_Value;
      else
        m_Copy.erase(Change.m_Key);
    });
    m_Mirror.onConfirmed(
        [this](MonotonicTime At) { m_ConfirmedTimes.push_back(At); });
    m_Mirror.start();
  }

  auto readInitialKeys() -> void {
    m_Store.respondToRead(listing(
        {{.m_Key = "p/a", .m_Value = "1", .m_Modified = StoreRevision{5}},
         {.m_Key = "p/b", .m_Value = "1", .m_Modified = StoreRevision{6}}},
        10));
    m_Scheduler.advance(Milliseconds(1));
  }
};

using Copy = std::map<std::string, std::string>;

} // namespace

TEST_CASE("keyspace mirror: reads all keys, then watches from the revision of "
          "the read, with confirmations dated from before each call") {
  auto Test = Fixture();
  auto Start = Test.m_Scheduler.now();
  Test.m_Scheduler.advance(Milliseconds(30));
  Test.readInitialKeys();
  CHECK(Test.m_Copy == Copy{{"p/a", "1"}, {"p/b", "1"}});
  REQUIRE(Test.m_ConfirmedTimes.size() == 1);
  CHECK(Test.m_ConfirmedTimes[0] == Start);
  REQUIRE(Test.m_Store.m_Watches.size() == 1);
  CHECK(Test.m_Store.m_Watches[0].m_After == StoreRevision{10});
  Test.m_Store.respondToWatch(
      changes({put("p/a", "2", 11), removal("p/b", 12)}, 12));
  CHECK(Test.m_Copy == Copy{{"p/a", "2"}});
  Test.m_Scheduler.advance(Milliseconds(1));
  CHECK(Test.m_Store.m_Watches[0].m_After == StoreRevision{12});
}

TEST_CASE("keyspace mirror: an older write does not replace a newer value") {
  auto Test = Fixture();
  Test.readInitialKeys();
  Test.m_Mirror.apply(put("p/a", "3", 20));
  Test.m_Store.respondToWatch(changes({put("p/a", "2", 11)}, 11));
  CHECK(Test.m_Copy.at("p/a") == "3");
}

// A relay that is behind can replay an older write of a server after a faster
// relay has sent the removal of that server.
TEST_CASE("keyspace mirror: an older write does not restore a removed key") {
  auto Test = Fixture();
  Test.readInitialKeys();
  Test.m_Mirror.apply(removal("p/a", 15));
  CHECK(Test.m_Copy == Copy{{"p/b", "1"}});
  Test.m_Store.respondToWatch(changes({put("p/a", "2", 11)}, 11));
  CHECK(Test.m_Copy == Copy{{"p/b", "1"}});
  Test.m_Scheduler.advance(Milliseconds(1));
  Test.m_Store.respondToWatch(changes({put("p/a", "4", 16)}, 16));
  CHECK(Test.m_Copy == Copy{{"p/a", "4"}, {"p/b", "1"}});
}

TEST_CASE("keyspace mirror: all keys are read again after the watch history "
          "was lost") {
  auto Test = Fixture();
  Test.readInitialKeys();
  Test.m_Store.respondToWatch({.m_HistoryLost = true});
  REQUIRE(Test.m_Store.m_Reads.size() == 1);
  Test.m_Store.respondToRead(listing(
      {{.m_Key = "p/c", .m_Value = "1", .m_Modified = StoreRevision{40}}}, 41));
  CHECK(Test.m_Copy == Copy{{"p/c", "1"}});
}

TEST_CASE("keyspace mirror: keys that expired during an outage are retained "
          "for a limited time, in which their owners can write them again") {
  auto Test = Fixture();
  Test.readInitialKeys();
  Test.m_Store.failWatch();
  Test.m_Scheduler.advance(Milliseconds(400));
  REQUIRE(Test.m_Store.m_Watches.size() == 1);
  Test.m_Store.respondToWatch(
      changes({removal("p/a", 20), removal("p/b", 21)}, 21));
  CHECK(Test.m_Copy.size() == 2);
  Test.m_Scheduler.advance(Milliseconds(500));
  Test.m_Store.respondToWatch(changes({put("p/a", "9", 22)}, 22));
  Test.m_Scheduler.advance(Milliseconds(2500));
  CHECK(Test.m_Copy == Copy{{"p/a", "9"}});
}

TEST_CASE(
    "keyspace mirror: without an outage a removal takes effect immediately") {
  auto Test = Fixture();
  Test.readInitialKeys();
  Test.m_Store.respondToWatch(changes({removal("p/a", 20)}, 20));
  CHECK(Test.m_Copy == Copy{{"p/b", "1"}});
}

TEST_CASE("keyspace mirror: a follower makes no calls, and reads all keys "
          "again when it resumes watching") {
  auto Test = Fixture();
  Test.readInitialKeys();
  Test.m_Mirror.setFollowing(true);
  Test.m_Store.respondToWatch(changes({}, 10));
  Test.m_Scheduler.advance(Seconds(10));
  CHECK(Test.m_Store.m_Watches.empty());
  CHECK(Test.m_Store.m_Reads.empty());
  Test.m_Mirror.setFollowing(false);
  CHECK(Test.m_Store.m_Reads.size() == 1);
}

TEST_CASE("keyspace mirror: failed calls are retried with increasing delays") {
  auto Test = Fixture();
  Test.readInitialKeys();
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

// After a network partition a relay receives all changes that it missed. It
// must not replay intermediate states to hosts that know newer ones.
TEST_CASE("keyspace mirror: of several changes of a key in one response only "
          "the last is applied") {
  auto Test = Fixture();
  Test.readInitialKeys();
  auto ChangeCount = 0;
  Test.m_Mirror.onChange([&ChangeCount](const KeyChange &) { ++ChangeCount; });
  Test.m_Store.respondToWatch(changes({put("p/c", "1", 11), put("p/a", "2", 12),
                                       removal("p/c", 13), put("p/a", "3", 14)},
                                      14));
  CHECK(ChangeCount == 1);
}

TEST_CASE("keyspace mirror: after an outage only keys written before it are "
          "retained when they are removed") {
  auto Test = Fixture();
  Test.readInitialKeys();
  Test.m_Store.failWatch();
  Test.m_Scheduler.advance(Milliseconds(400));
  Test.m_Store.respondToWatch(
      changes({removal("p/a", 20), put("p/c", "1", 21)}, 21));
  Test.m_Scheduler.advance(Milliseconds(1));
  CHECK(Test.m_Copy == Copy{{"p/a", "1"}, {"p/b", "1"}, {"p/c", "1"}});
  Test.m_Store.respondToWatch(changes({removal("p/c", 22)}, 22));
  CHECK(Test.m_Copy == Copy{{"p/a", "1"}, {"p/b", "1"}});
}

TEST_CASE("keyspace mirror: a relayed write does not undo a removal that a "
          "read or another process has reported") {
  auto Test = Fixture();
  Test.readInitialKeys();
  Test.m_Mirror.apply(put("p/c", "1", 9));
  CHECK(Test.m_Copy == Copy{{"p/a", "1"}, {"p/b", "1"}});
  Test.m_Mirror.apply(removal("p/d", 20));
  Test.m_Mirror.apply(put("p/d", "1", 19));
  CHECK(Test.m_Copy == Copy{{"p/a", "1"}, {"p/b", "1"}});
  Test.m_Mirror.apply(put("p/d", "2", 21));
  CHECK(Test.m_Copy.at("p/d") == "2");
}

// Hosts that start together find each other with the first watch. Until then
// each of them reads the configuration and the servers for itself.
TEST_CASE("keyspace mirror: only the first watch after a start begins sooner "
          "than the interval between watches") {
  auto Scheduler = VirtualScheduler();
  auto Store = ScriptedStore();
  auto Source = Random(1);
  auto Mirror = KeyspaceMirror(Scheduler, Store, Store, Source,
                               {.m_Prefix = "p/",
                                .m_MinWatchInterval = Seconds(5),
                                .m_FirstWatchDelay = Milliseconds(1200)});
  Mirror.start();
  Store.respondToRead(listing({}, 10));
  Scheduler.advance(Milliseconds(1199));
  CHECK(Store.m_Watches.empty());
  Scheduler.advance(Milliseconds(2));
  REQUIRE(Store.m_Watches.size() == 1);
  Store.respondToWatch(changes({put("p/a", "1", 11)}, 11));
  Scheduler.advance(Milliseconds(4900));
  CHECK(Store.m_Watches.empty());
  Scheduler.advance(Milliseconds(200));
  REQUIRE(Store.m_Watches.size() == 1);
  // After the history was lost, all hosts would watch at the same time again.
  Store.respondToWatch({.m_HistoryLost = true});
  Store.respondToRead(listing({}, 20));
  Scheduler.advance(Milliseconds(4900));
  CHECK(Store.m_Watches.empty());
}
