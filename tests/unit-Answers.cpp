// What each class of answer means to each call that leaves the system.
#include "dotterel/fleet/HttpPlatformOrders.h"
#include "dotterel/fleet/OrderAnswer.h"
#include "dotterel/store/HttpStore.h"
#include "platform/EngineTransport.h"
#include "platform/PlatformFleetCalls.h"
#include "platform/PlatformStore.h"

#include <doctest/doctest.h>
#include <map>
#include <set>
#include <utility>

using namespace dotterel;
using namespace dotterel::platform;

namespace {

constexpr auto NotSent = 1U;  ///< In place of a status: no byte was sent.
constexpr auto NoAnswer = 2U; ///< The call timed out.
constexpr auto Cut = 3U;      ///< Cut or unreadable after its head.

auto resultOf(unsigned Status) -> HttpCallResult {
  switch (Status) {
  case NotSent:
    return {.m_Outcome = HttpOutcome::NotSent};
  case NoAnswer:
    return {.m_Outcome = HttpOutcome::TimedOut};
  case Cut:
    return {.m_Outcome = HttpOutcome::Broken, .m_Status = 200};
  default:
    return {.m_Outcome = HttpOutcome::Complete, .m_Status = Status};
  }
}

/// Answers each call at once.
class AnsweringClient final : public HttpClient {
public:
  auto start(HttpCall Call) -> HttpCallId override {
    auto Result = resultOf(m_Status);
    Result.m_Body = m_Body;
    Call.m_OnDone(std::move(Result));
    return HttpCallId{1};
  }
  auto cancel(HttpCallId /*Call*/) -> void override {}

  unsigned m_Status = 0;
  std::string m_Body;
};

auto orderPermit() -> SendPermit {
  auto Access = ServerAccess({}, {});
  auto Id = BackendId();
  auto Target = SendTarget{.m_Backend = Id};
  return std::move(
      *Access.admit(Target, SendPurpose::Order, {.m_Listed = &Target}, {})
           .m_Permit);
}

using OrderTable = std::map<unsigned, OrderOutcome>;

/// The meanings that hold for all orders and reports.
auto commonMeanings() -> OrderTable {
  return {{200, OrderOutcome::Accepted},    {202, OrderOutcome::Accepted},
          {204, OrderOutcome::Accepted},    {301, OrderOutcome::Unknown},
          {307, OrderOutcome::Unknown},     {400, OrderOutcome::Rejected},
          {401, OrderOutcome::Unknown},     {403, OrderOutcome::Unknown},
          {404, OrderOutcome::Rejected},    {408, OrderOutcome::Unavailable},
          {409, OrderOutcome::Busy},        {412, OrderOutcome::Rejected},
          {421, OrderOutcome::Unknown},     {429, OrderOutcome::Throttled},
          {500, OrderOutcome::Unavailable}, {502, OrderOutcome::Unavailable},
          {503, OrderOutcome::Unavailable}, {504, OrderOutcome::Unavailable},
          {600, OrderOutcome::Unknown},     {100, OrderOutcome::Unknown},
          {NotSent, OrderOutcome::NotSent}, {NoAnswer, OrderOutcome::Unknown},
          {Cut, OrderOutcome::Unknown}};
}

auto with(OrderTable Meanings, unsigned Status, OrderOutcome Outcome)
    -> OrderTable {
  Meanings[Status] = Outcome;
  return Meanings;
}

template <typename Call>
auto checkMeanings(AnsweringClient &Client, const OrderTable &Meanings,
                   Call Send) -> void {
  for (const auto &Meaning : Meanings) {
    auto Status = Meaning.first;
    CAPTURE(Status);
    Client.m_Status = Status;
    auto Outcome = std::optional<OrderOutcome>();
    Send([&](OrderOutcome Result) { Outcome = Result; });
    REQUIRE(Outcome);
    CHECK(std::string(nameOf(*Outcome)) == nameOf(Meaning.second));
  }
}

} // namespace

TEST_CASE(
    "answers: only the status that says so refuses a fencing token of the "
    "fleet duty, and only where tokens are checked") {
  for (auto Checked : {false, true}) {
    CAPTURE(Checked);
    auto Client = AnsweringClient();
    auto Calls = PlatformFleetCalls(
        Client, {.m_Holder = HostId{"h"}, .m_ChecksFencing = Checked});
    auto Platform = Checked ? with(commonMeanings(), 409, OrderOutcome::Refused)
                            : commonMeanings();
    checkMeanings(Client, Platform, [&](auto Done) {
      Calls.reportUsage({.m_Entries = "[]"}, Done);
    });
    checkMeanings(Client, Platform,
                  [&](auto Done) { Calls.orderServers({}, {}, Done); });
    auto Engine = Checked ? with(commonMeanings(), 412, OrderOutcome::Refused)
                          : commonMeanings();
    checkMeanings(Client, Engine, [&](auto Done) {
      Calls.orderStage(
          orderPermit(), {}, {},
          [Done](const StageOrderReply &Reply) { Done(Reply.m_Outcome); });
    });
  }
}

TEST_CASE("answers: orders of stewards have the same meanings") {
  auto Client = AnsweringClient();
  auto Engines = EngineTable(Location{}, {});
  auto Orders = makeHttpPlatformOrders(Client, Engines, "http://p");
  checkMeanings(
      Client, with(commonMeanings(), 409, OrderOutcome::Refused),
      [&](auto Done) { Orders->send(BackendId{"b"}, BackendOrder{}, Done); });
}

namespace {

enum class StoreMeaning : std::uint8_t { Answer, NoEffect, Unclear };

template <typename Response>
auto meaningOf(const StoreReply<Response> &Reply) -> StoreMeaning {
  if (Reply)
    return StoreMeaning::Answer;
  return Reply.m_Failure == StoreFailure::Refused ? StoreMeaning::NoEffect
                                                  : StoreMeaning::Unclear;
}

constexpr auto StoreStatuses = {200U, 204U, 301U, 400U,    401U,     403U, 404U,
                                409U, 410U, 412U, 421U,    429U,     500U, 502U,
                                503U, 504U, 600U, NotSent, NoAnswer, Cut};

/// Checks that the calls of \p Send are answered by the statuses \p Answers
/// alone, that only a refusal or a call that was not sent had no effect, and
/// that anything else is unclear. Bodies are unreadable, so that a status whose
/// body is read is unclear as well.
template <typename Call>
auto checkStoreCall(AnsweringClient &Client, const std::set<unsigned> &Answers,
                    Call Send) -> void {
  for (auto Status : StoreStatuses) {
    CAPTURE(Status);
    Client.m_Status = Status;
    auto Expected = StoreMeaning::Unclear;
    if (Answers.contains(Status))
      Expected = StoreMeaning::Answer;
    else if (Status == 429 || Status == 503 || Status == NotSent)
      Expected = StoreMeaning::NoEffect;
    auto Meaning = std::optional<StoreMeaning>();
    Send([&](const auto &Reply) { Meaning = meaningOf(Reply); });
    REQUIRE(Meaning);
    CHECK(static_cast<int>(*Meaning) == static_cast<int>(Expected));
  }
}

} // namespace

TEST_CASE("answers: of the store's statuses only the documented ones are "
          "answers, and only refusals mean that a call had no effect") {
  for (const auto *Body : {"", "{", "{}", "[]", "no JSON"}) {
    CAPTURE(std::string(Body));
    auto Client = AnsweringClient();
    Client.m_Body = Body;
    auto Store = PlatformStore(Client, {.m_Address = "s"});
    checkStoreCall(Client, {404},
                   [&](auto Done) { Store.read(KeyRange::single("k"), Done); });
    checkStoreCall(Client, {},
                   [&](auto Done) { Store.read(KeyRange::prefix("k"), Done); });
    checkStoreCall(Client, {404, 412},
                   [&](auto Done) { Store.commit(StoreTransaction(), Done); });
    checkStoreCall(Client, {},
                   [&](auto Done) { Store.grantLease(Seconds(1), Done); });
    checkStoreCall(Client, {404},
                   [&](auto Done) { Store.renewLease(LeaseId{1}, Done); });
    checkStoreCall(Client, {200, 404},
                   [&](auto Done) { Store.revokeLease(LeaseId{1}, Done); });
    checkStoreCall(Client, {410}, [&](auto Done) {
      Store.watch("k", StoreRevision(), Seconds(1), Done);
    });
    auto Gates = makeHttpStore(Client, {.m_BaseUrl = "http://s"});
    checkStoreCall(Client, {}, [&](auto Done) {
      Gates->read(KeyRange::single("k"), Done);
    });
    checkStoreCall(Client, {},
                   [&](auto Done) { Gates->grantLease(Seconds(1), Done); });
    checkStoreCall(Client, {},
                   [&](auto Done) { Gates->renewLease(LeaseId{1}, Done); });
  }
}

TEST_CASE("answers: without a sign that an engine did not run a request, the "
          "request may have run") {
  for (auto Status : StoreStatuses)
    for (auto Purpose : {AttemptPurpose::Serve, AttemptPurpose::Prefill}) {
      CAPTURE(Status);
      auto Expected = AttemptOutcome::Failed;
      if (Status == NotSent)
        Expected = AttemptOutcome::NotSent;
      else if (Status == NoAnswer)
        Expected = AttemptOutcome::TimedOut;
      else if (Status == 421)
        Expected = AttemptOutcome::WrongServer;
      // Unsigned, and without a handle.
      CHECK(decodeAttemptResult(resultOf(Status), Purpose, "a").m_Outcome ==
            Expected);
      if (Status == NotSent || Status == NoAnswer || Status == Cut ||
          Status == 421)
        continue;
      auto Refusal = resultOf(Status);
      Refusal.m_Headers = {{"X-Not-Executed", "1"}};
      CHECK(decodeAttemptResult(std::move(Refusal), Purpose, "a").m_Outcome ==
            AttemptOutcome::NotExecuted);
    }
}
