#include "dotterel/admission/WaitingQueue.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace dotterel;

namespace {

constexpr auto Start = MonotonicTime(Seconds(100));

auto item(const std::string &Request, const std::string &Organisation,
          WorkClass Class = WorkClass::Standard, double Cost = 100,
          MonotonicTime Since = Start) -> Waiting {
  return {.m_Request = RequestId{Request},
          .m_Organisation = OrganisationId{Organisation},
          .m_Class = Class,
          .m_Cost = Cost,
          .m_Since = Since,
          .m_Deadline = Start + Seconds(600)};
}

auto anything(const Waiting & /*Item*/) -> bool { return true; }

/// Pops so many and counts them by organisation.
auto served(WaitingQueue &Queue, int Count, MonotonicTime Now = Start)
    -> std::map<std::string, int> {
  auto Result = std::map<std::string, int>();
  for (auto Number = 0; Number < Count; ++Number)
    if (auto Next = Queue.pop(Now, anything))
      ++Result[Next->m_Organisation.text()];
  return Result;
}

} // namespace

TEST_CASE("queue: a flood by one organisation does not starve a small one; "
          "first come, first served does") {
  auto Fair = makeWaitingQueue("fair", {});
  auto Fifo = makeWaitingQueue("fifo", {});
  for (auto *Queue : {Fair.get(), Fifo.get()}) {
    for (auto Number = 0; Number < 1000; ++Number)
      Queue->push(item("l" + std::to_string(Number), "large"));
    for (auto Number = 0; Number < 10; ++Number)
      Queue->push(item("s" + std::to_string(Number), "small"));
  }
  CHECK(served(*Fair, 20)["small"] == 10);
  CHECK(served(*Fifo, 20)["small"] == 0);
}

TEST_CASE("queue: shares follow weights and tokens, not requests") {
  auto Queue = makeWaitingQueue("fair", {});
  for (auto Number = 0; Number < 400; ++Number) {
    Queue->push(
        item("a" + std::to_string(Number), "long", WorkClass::Standard, 300));
    auto Light = item("b" + std::to_string(Number), "short");
    Queue->push(Light);
    auto Heavy = item("c" + std::to_string(Number), "weighty");
    Heavy.m_Weight = 2;
    Queue->push(Heavy);
  }
  auto Counts = served(*Queue, 300);
  // Tokens: long 300 each, short 100 each, weighty 100 each at weight 2.
  CHECK(Counts["short"] >= 3 * Counts["long"] - 3);
  CHECK(Counts["weighty"] >= 2 * Counts["short"] - 3);
}

TEST_CASE("queue: interactive work goes first; long work ages and is served") {
  auto Queue = makeWaitingQueue("fair", {.m_AgingPeriod = Seconds(20)});
  Queue->push(item("b", "o1", WorkClass::Batch, 5000));
  Queue->push(item("i", "o2", WorkClass::Interactive));
  CHECK(Queue->pop(Start, anything)->m_Request.text() == "i");
  // Behind a steady stream of interactive work.
  auto Now = Start;
  auto Waited = 0;
  for (; Waited < 100; ++Waited) {
    Queue->push(item("n" + std::to_string(Waited), "o2", WorkClass::Interactive,
                     100, Now));
    if (Queue->pop(Now, anything)->m_Request.text() == "b")
      break;
    Now += Seconds(1);
  }
  CHECK(Waited <= 60);
}

TEST_CASE("queue: an organisation that was idle cannot save up service") {
  auto Queue = makeWaitingQueue("fair", {});
  for (auto Number = 0; Number < 200; ++Number)
    Queue->push(item("a" + std::to_string(Number), "busy"));
  served(*Queue, 100);
  for (auto Number = 0; Number < 100; ++Number)
    Queue->push(item("b" + std::to_string(Number), "late"));
  auto Counts = served(*Queue, 40);
  CHECK(Counts["busy"] >= 19);
}

TEST_CASE("queue: what does not fit is passed over and keeps its place; what "
          "expires or leaves is gone") {
  for (const auto &Name : waitingQueueNames()) {
    auto Queue = makeWaitingQueue(Name, {});
    Queue->push(item("1", "a"));
    Queue->push(item("2", "b"));
    auto Second = Queue->pop(Start, [](const Waiting &Item) {
      return Item.m_Request.text() == "2";
    });
    CHECK(Second->m_Request.text() == "2");
    CHECK(Queue->size() == 1);
    Queue->push(item("3", "b"));
    Queue->remove(RequestId{"3"});
    CHECK(Queue->size() == 1);
    CHECK(Queue->expire(Start + Seconds(599)).empty());
    CHECK(Queue->expire(Start + Seconds(600)).size() == 1);
    CHECK(Queue->size() == 0);
    CHECK_FALSE(Queue->pop(Start, anything).has_value());
  }
}

TEST_CASE("queue: priced, what two organisations earn alike they spend alike, "
          "however much one has waiting") {
  auto Queue =
      makeWaitingQueue("priced", {.m_Utilisation = [] { return 1.0; }});
  for (auto Number = 0; Number < 200; ++Number)
    Queue->push(item("l" + std::to_string(Number), "large"));
  CHECK(served(*Queue, 100)["large"] == 100);
  for (auto Number = 0; Number < 10; ++Number)
    Queue->push(item("s" + std::to_string(Number), "small"));
  CHECK(served(*Queue, 20)["small"] == 10);
}

TEST_CASE(
    "queue: priced, beyond full engines some requests that cannot pay are "
    "held back, and none below") {
  for (auto Full : {false, true}) {
    auto Queue = makeWaitingQueue(
        "priced", {.m_Utilisation = [Full] { return Full ? 2.0 : 0.5; }});
    constexpr auto Requests = 400;
    for (auto Number = 0; Number < Requests; ++Number)
      Queue->push(item("r" + std::to_string(Number), "only"));
    auto Served = served(*Queue, Requests)["only"];
    CAPTURE(Full);
    CHECK((Served == Requests) == !Full);
    CHECK(Served > 0);
    // A refusal is for the moment only: more go with each further look.
    auto Left = Queue->size();
    served(*Queue, Requests);
    CHECK((Left == 0 || Queue->size() < Left));
  }
}

TEST_CASE(
    "queue: every kind gives each request once, and withdraws and expires "
    "what it should") {
  for (const auto &Name : waitingQueueNames()) {
    CAPTURE(Name);
    auto Queue = makeWaitingQueue(Name, {.m_Utilisation = [] { return 0.0; }});
    for (auto Number = 0; Number < 30; ++Number) {
      auto Next =
          item("r" + std::to_string(Number), "o" + std::to_string(Number % 4));
      if (Number % 3 == 0)
        Next.m_Deadline = Start + Seconds(1);
      Queue->push(Next);
    }
    Queue->remove(RequestId{"r1"});
    Queue->remove(RequestId{"r1"});
    CHECK(Queue->size() == 29);
    CHECK(Queue->expire(Start + Seconds(1)).size() == 10);
    auto Seen = std::set<RequestId>();
    while (auto Next = Queue->pop(Start, anything))
      CHECK(Seen.insert(Next->m_Request).second);
    CHECK(Seen.size() == 19);
    CHECK(Queue->size() == 0);
  }
}
