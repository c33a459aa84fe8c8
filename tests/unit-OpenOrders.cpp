#include "dotterel/fleet/OpenOrders.h"

#include "dotterel/base/Errors.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <vector>

using namespace dotterel;

namespace {

constexpr auto MaxDelay = Seconds(12);
constexpr auto MaxDelayOfEarlier = Seconds(13);
constexpr auto Start = MonotonicTime(Seconds(100));
constexpr auto Prefill = EngineStage::Prefill;
constexpr auto Decode = EngineStage::Decode;
const auto First = BackendId{"e0"};
const auto Second = BackendId{"e1"};

auto makeOrders() -> OpenOrders {
  return OpenOrders(
      {.m_MaxDelay = MaxDelay, .m_MaxDelayOfEarlierGrants = MaxDelayOfEarlier});
}

} // namespace

TEST_CASE("open orders: an encoded record decodes to the same record, and "
          "malformed documents are rejected") {
  auto Record =
      OpenOrderRecord{.m_Era = StoreEra{3}, .m_Engines = {First, Second}};
  CHECK(decodeOpenOrders(encodeOpenOrders(Record)) == Record);
  for (const auto *Document :
       {"", "{}", "[]", R"({"era":1})", R"({"era":1,"engines":[1]})",
        R"({"era":"1","engines":[]})", R"({"era":1,"engines":{"a":1}})"})
    CHECK_THROWS_AS(decodeOpenOrders(Document), ProtocolError);
  rc::check("any document decodes or is rejected", [](const std::string &Text) {
    try {
      static_cast<void>(decodeOpenOrders(Text));
    } catch (const ProtocolError &) {
    }
  });
}

TEST_CASE(
    "open orders: engines with open orders of earlier grants are held, all "
    "while it is unknown which") {
  auto Orders = makeOrders();
  Orders.beginGrant(Start);
  CHECK_FALSE(Orders.inherited());
  auto Over = Start + MaxDelayOfEarlier;
  CHECK(Orders.heldUntil(First, Prefill, Start) == Over);
  CHECK(Orders.engines(Start) == std::nullopt);
  Orders.inherit(std::nullopt);
  CHECK(Orders.inherited());
  CHECK(Orders.heldUntil(First, Prefill, Start) == Over);
  CHECK(Orders.engines(Start) == std::nullopt);
  CHECK_FALSE(Orders.heldUntil(First, Prefill, Over));
  CHECK(Orders.engines(Over) == std::set<BackendId>());

  Orders.beginGrant(Start);
  Orders.inherit(std::set<BackendId>{First});
  CHECK(Orders.heldUntil(First, Prefill, Start) == Over);
  CHECK(Orders.heldByEarlierGrant(First, Start));
  CHECK_FALSE(Orders.heldUntil(Second, Prefill, Start));
  CHECK(Orders.engines(Start) == std::set<BackendId>{First});
  CHECK_FALSE(Orders.heldByEarlierGrant(First, Over));
  CHECK(Orders.engines(Over) == std::set<BackendId>());
}

TEST_CASE("open orders: an engine stays recorded until each copy was answered "
          "conclusively or its latest time is over") {
  for (auto Answer :
       {OrderOutcome::Accepted, OrderOutcome::Refused, OrderOutcome::Rejected,
        OrderOutcome::Busy, OrderOutcome::Throttled, OrderOutcome::NotSent,
        OrderOutcome::Unavailable, OrderOutcome::Unknown}) {
    CAPTURE(nameOf(Answer));
    auto Orders = makeOrders();
    Orders.beginGrant(Start);
    Orders.inherit(std::set<BackendId>());
    Orders.recordSent(First, Prefill);
    CHECK(Orders.engines(Start + Seconds(1000)) == std::set<BackendId>{First});
    CHECK_FALSE(Orders.heldUntil(First, Prefill, Start));
    CHECK(Orders.heldUntil(First, Decode, Start) == Start + MaxDelay);
    CHECK_FALSE(Orders.heldByEarlierGrant(First, Start));
    Orders.recordOutcome(First, Answer, Start);
    auto Open = mayStillArrive(Answer);
    CHECK(Orders.engines(Start).value().contains(First) == Open);
    CHECK(Orders.heldUntil(First, Decode, Start).has_value() == Open);
    // An accepted copy does not end an earlier one.
    Orders.recordSent(First, Prefill);
    Orders.recordOutcome(First, OrderOutcome::Accepted, Start + Seconds(1));
    CHECK(Orders.engines(Start + Seconds(2)).value().contains(First) == Open);
    CHECK(Orders.engines(Start + MaxDelay) == std::set<BackendId>());
  }
}

// The model keeps each order that was sent with the latest time at which it may
// be executed, over all grants.
TEST_CASE("open orders: with generated calls and grants, no order is allowed "
          "while one of an earlier grant, or for the other stage, is open") {
  struct Sent {
    int m_Grant = 0;
    BackendId m_Engine;
    EngineStage m_Stage = EngineStage::None;
    std::optional<MonotonicTime> m_Until; ///< Empty: the call has not ended.
  };
  rc::check([] {
    auto Orders = makeOrders();
    auto Now = Start;
    auto Grant = 1;
    auto Record = std::set<BackendId>();
    auto Open = std::vector<Sent>();
    Orders.beginGrant(Now);
    Orders.inherit(std::set<BackendId>());
    auto Steps = *rc::gen::inRange(1, 60);
    for (auto Step = 0; Step < Steps; ++Step) {
      Now += Milliseconds(*rc::gen::inRange(0, 3000));
      std::erase_if(Open, [&](const Sent &Item) {
        return Item.m_Until && *Item.m_Until <= Now;
      });
      auto Engine = *rc::gen::element(First, Second);
      auto Stage = *rc::gen::element(Prefill, Decode);
      switch (*rc::gen::inRange(0, 6)) {
      case 0: {
        // The calls of the ended grant end by their timeout at the latest.
        for (auto &Item : Open)
          if (!Item.m_Until)
            Item.m_Until = Now + Seconds(1) + MaxDelay;
        ++Grant;
        Orders.beginGrant(Now);
        if (*rc::gen::arbitrary<bool>())
          Orders.inherit(Record);
        else
          Orders.inherit(std::nullopt);
        break;
      }
      case 1:
      case 2:
        for (auto &Item : Open)
          if (!Item.m_Until && Item.m_Grant == Grant) {
            auto Outcome = *rc::gen::element(OrderOutcome::Accepted,
                                             OrderOutcome::Unknown);
            Item.m_Until =
                Outcome == OrderOutcome::Unknown ? Now + MaxDelay : Now;
            Orders.recordOutcome(Item.m_Engine, Outcome, Now);
            break;
          }
        break;
      default: {
        if (Orders.heldUntil(Engine, Stage, Now))
          break;
        for (const auto &Item : Open)
          if (Item.m_Engine == Engine && (!Item.m_Until || *Item.m_Until > Now))
            RC_ASSERT(Item.m_Grant == Grant && Item.m_Stage == Stage);
        auto Engines = Orders.engines(Now);
        RC_ASSERT(Engines.has_value());
        Record = *Engines;
        Record.insert(Engine);
        Orders.recordSent(Engine, Stage);
        Open.push_back(
            {.m_Grant = Grant, .m_Engine = Engine, .m_Stage = Stage});
        break;
      }
      }
    }
  });
}
