#include "dotterel/admission/WaitingQueue.h"

#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace dotterel;

namespace {

constexpr auto Start = MonotonicTime(Seconds(100));

auto item(const std::string &Request, const std::string &Organisation,
          WorkClass Class = WorkClass::Standard, double Cost = 100,
          MonotonicTime Since = Start) -> WaitingRequest {
  return {.m_Request = RequestId{Request},
          .m_Organisation = OrganisationId{Organisation},
          .m_Class = Class,
          .m_Cost = Cost,
          .m_Since = Since,
          .m_Deadline = Start + Seconds(600)};
}

auto fitsAlways(const WaitingRequest & /*Item*/) -> bool { return true; }

/// Pops up to \p Count requests and returns their number by organisation.
auto popByOrganisation(WaitingQueue &Queue, int Count,
                       MonotonicTime Now = Start)
    -> std::map<std::string, int> {
  auto Result = std::map<std::string, int>();
  for (auto Number = 0; Number < Count; ++Number)
    if (auto Next = Queue.pop(Now, fitsAlways))
      ++Result[Next->m_Organisation.text()];
  return Result;
}

} // namespace

TEST_CASE("queue: many requests of one organisation starve a small one in "
          "the fifo queue, but not in the fair queue") {
  auto Fair = makeWaitingQueue("fair", {});
  auto Fifo = makeWaitingQueue("fifo", {});
  for (auto *Queue : {Fair.get(), Fifo.get()}) {
    for (auto Number = 0; Number < 1000; ++Number)
      Queue->push(item("l" + std::to_string(Number), "large"));
    for (auto Number = 0; Number < 10; ++Number)
      Queue->push(item("s" + std::to_string(Number), "small"));
  }
  CHECK(popByOrganisation(*Fair, 20)["small"] == 10);
  CHECK(popByOrganisation(*Fifo, 20)["small"] == 0);
}

TEST_CASE("queue: shares follow weights and tokens, not numbers of requests") {
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
  auto Counts = popByOrganisation(*Queue, 300);
  // Tokens: long 300 each, short 100 each, weighty 100 each at weight 2.
  CHECK(Counts["short"] >= 3 * Counts["long"] - 3);
  CHECK(Counts["weighty"] >= 2 * Counts["short"] - 3);
}

TEST_CASE("queue: interactive requests are served first; batch requests age "
          "and are served") {
  auto Queue = makeWaitingQueue("fair", {.m_AgingPeriod = Seconds(20)});
  Queue->push(item("b", "o1", WorkClass::Batch, 5000));
  Queue->push(item("i", "o2", WorkClass::Interactive));
  CHECK(Queue->pop(Start, fitsAlways)->m_Request.text() == "i");
  // A continuous stream of interactive requests competes with the batch one.
  auto Now = Start;
  auto Waited = 0;
  for (; Waited < 100; ++Waited) {
    Queue->push(item("n" + std::to_string(Waited), "o2", WorkClass::Interactive,
                     100, Now));
    if (Queue->pop(Now, fitsAlways)->m_Request.text() == "b")
      break;
    Now += Seconds(1);
  }
  CHECK(Waited <= 60);
}

TEST_CASE("queue: an organisation that was idle cannot accumulate service") {
  auto Queue = makeWaitingQueue("fair", {});
  for (auto Number = 0; Number < 200; ++Number)
    Queue->push(item("a" + std::to_string(Number), "busy"));
  popByOrganisation(*Queue, 100);
  for (auto Number = 0; Number < 100; ++Number)
    Queue->push(item("b" + std::to_string(Number), "late"));
  auto Counts = popByOrganisation(*Queue, 40);
  CHECK(Counts["busy"] >= 19);
}

TEST_CASE("queue: requests that do not fit keep their place; expired and "
          "removed ones are not in the queue") {
  for (const auto &Name : waitingQueueNames()) {
    auto Queue = makeWaitingQueue(Name, {});
    Queue->push(item("1", "a"));
    Queue->push(item("2", "b"));
    auto Second = Queue->pop(Start, [](const WaitingRequest &Item) {
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
    CHECK_FALSE(Queue->pop(Start, fitsAlways).has_value());
  }
}

TEST_CASE("queue: priced, organisations of equal weight are served alike, "
          "regardless of how many requests they have waiting") {
  auto Queue =
      makeWaitingQueue("priced", {.m_Utilisation = [] { return 1.0; }});
  for (auto Number = 0; Number < 200; ++Number)
    Queue->push(item("l" + std::to_string(Number), "large"));
  CHECK(popByOrganisation(*Queue, 100)["large"] == 100);
  for (auto Number = 0; Number < 10; ++Number)
    Queue->push(item("s" + std::to_string(Number), "small"));
  CHECK(popByOrganisation(*Queue, 20)["small"] == 10);
}

TEST_CASE(
    "queue: priced, requests that are not affordable are held back in part "
    "above full utilisation, and not at all below") {
  for (auto Full : {false, true}) {
    auto Queue = makeWaitingQueue(
        "priced", {.m_Utilisation = [Full] { return Full ? 2.0 : 0.5; }});
    constexpr auto Requests = 400;
    for (auto Number = 0; Number < Requests; ++Number)
      Queue->push(item("r" + std::to_string(Number), "only"));
    auto Served = popByOrganisation(*Queue, Requests)["only"];
    CAPTURE(Full);
    CHECK((Served == Requests) == !Full);
    CHECK(Served > 0);
    // A request that was held back may be admitted by a later call.
    auto Left = Queue->size();
    popByOrganisation(*Queue, Requests);
    CHECK((Left == 0 || Queue->size() < Left));
  }
}

TEST_CASE(
    "queue: every kind returns each request once, and removes and expires "
    "the right ones") {
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
    while (auto Next = Queue->pop(Start, fitsAlways))
      CHECK(Seen.insert(Next->m_Request).second);
    CHECK(Seen.size() == 19);
    CHECK(Queue->size() == 0);
  }
}
