#include "dotterel/base/SharedBytes.h"
#include "dotterel/io/MemoryBudget.h"

#include <doctest/doctest.h>

using namespace dotterel;

namespace {

constexpr auto Budget = std::size_t{80'000};

struct Caller final : MemoryHolder {
  explicit Caller(MemoryBudget &Memory) : m_Holding(&Memory, *this) {}

  auto giveUpMemory() -> void override { m_GivenUp = true; }

  bool m_GivenUp = false;
  MemoryHolding m_Holding;
};

struct Fixture {
  MemoryBudget m_Memory{{.m_Bytes = Budget, .m_SmallRequestBytes = 1000}};
  MonotonicTime m_Now = MonotonicTime(Seconds(100));
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "memory budget: what does not fit is refused, and a "
                           "share is kept for small requests") {
  auto First = Caller(m_Memory);
  auto Second = Caller(m_Memory);
  auto Small = Caller(m_Memory);
  CHECK(First.m_Holding.setRequest(40'000, m_Now));
  CHECK_FALSE(Second.m_Holding.setRequest(40'000, m_Now));
  CHECK(Second.m_Holding.setRequest(30'000, m_Now));
  CHECK(Small.m_Holding.setRequest(1000, m_Now));
  CHECK(m_Memory.usedBytes() == 71'000);
  CHECK(m_Memory.counts().m_Refused == 1);
  CHECK_FALSE(First.m_GivenUp);
}

TEST_CASE_FIXTURE(Fixture,
                  "memory budget: the largest incomplete request yields first, "
                  "and only if that helps") {
  auto Large = Caller(m_Memory);
  auto Larger = Caller(m_Memory);
  auto Next = Caller(m_Memory);
  CHECK(Large.m_Holding.setRequest(30'000, m_Now));
  CHECK(Larger.m_Holding.setRequest(40'000, m_Now));
  CHECK(Next.m_Holding.setRequest(20'000, m_Now));
  CHECK(Larger.m_GivenUp);
  CHECK_FALSE(Large.m_GivenUp);
  CHECK_FALSE(Larger.m_Holding.setRequest(69'000, m_Now));
  CHECK_FALSE(Large.m_GivenUp);
}

TEST_CASE_FIXTURE(Fixture, "memory budget: a stalled request yields to any "
                           "other") {
  auto Stalled = Caller(m_Memory);
  auto Next = Caller(m_Memory);
  CHECK(Stalled.m_Holding.setRequest(40'000, m_Now));
  CHECK_FALSE(Next.m_Holding.setRequest(40'000, m_Now + Seconds(1)));
  CHECK(Next.m_Holding.setRequest(60'000, m_Now + Seconds(3)));
  CHECK(Stalled.m_GivenUp);
  CHECK(m_Memory.usedBytes() == 60'000);
}

TEST_CASE_FIXTURE(Fixture, "memory budget: a complete request is never given "
                           "up, and counts as long as its bytes are held") {
  auto Held = std::make_unique<Caller>(m_Memory);
  auto Next = Caller(m_Memory);
  CHECK(Held->m_Holding.setRequest(40'000, m_Now));
  auto Bytes = Held->m_Holding.complete();
  Held.reset();
  CHECK_FALSE(Next.m_Holding.setRequest(40'000, m_Now + Seconds(60)));
  Bytes.reset();
  CHECK(m_Memory.usedBytes() == 0);
  CHECK(Next.m_Holding.setRequest(40'000, m_Now));
}

TEST_CASE_FIXTURE(Fixture, "memory budget: the bytes of a complete request "
                           "count as long as its body is referred to") {
  auto Held = std::make_unique<Caller>(m_Memory);
  CHECK(Held->m_Holding.setRequest(40'000, m_Now));
  auto Body = SharedBytes(std::string(40'000, 'x'));
  Body.keep(Held->m_Holding.complete());
  Held.reset();
  CHECK(m_Memory.usedBytes() == 40'000);
  auto Copy = Body;
  Body = SharedBytes();
  CHECK(m_Memory.usedBytes() == 40'000);
  Copy = SharedBytes();
  CHECK(m_Memory.usedBytes() == 0);
}

TEST_CASE_FIXTURE(Fixture, "memory budget: responses that are not read leave "
                           "less for requests, and are never given up") {
  auto Slow = Caller(m_Memory);
  auto Next = Caller(m_Memory);
  Slow.m_Holding.setResponse(60'000);
  CHECK_FALSE(Next.m_Holding.setRequest(30'000, m_Now + Seconds(60)));
  CHECK_FALSE(Slow.m_GivenUp);
  Slow.m_Holding.setResponse(0);
  CHECK(Next.m_Holding.setRequest(30'000, m_Now + Seconds(60)));
}

TEST_CASE("memory budget: a holding and a complete request may outlive the "
          "budget") {
  auto Memory = std::make_unique<MemoryBudget>(
      MemoryBudgetOptions{.m_Bytes = Budget, .m_SmallRequestBytes = 1000});
  auto Held = std::make_unique<Caller>(*Memory);
  CHECK(Held->m_Holding.setRequest(40'000, MonotonicTime()));
  auto Bytes = Held->m_Holding.complete();
  Memory.reset();
  CHECK(Held->m_Holding.setRequest(20'000, MonotonicTime()));
  CHECK_FALSE(Held->m_Holding.setRequest(90'000, MonotonicTime()));
  Bytes.reset();
  Held.reset();
}
