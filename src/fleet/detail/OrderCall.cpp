#include "dotterel/fleet/detail/OrderCall.h"

#include <utility>

namespace dotterel::detail {

namespace {

constexpr auto OrderTimeout = Seconds(2);
constexpr auto StatusOk = 200U;
constexpr auto StatusConflict = 409U;

auto answerOf(const HttpCallResult &Result) -> OrderAnswer {
  if (Result.m_Outcome == HttpOutcome::NotSent)
    return OrderAnswer::NotSent;
  if (Result.m_Outcome != HttpOutcome::Complete)
    return OrderAnswer::Unknown;
  if (Result.m_Status == StatusOk)
    return OrderAnswer::Accepted;
  return Result.m_Status == StatusConflict ? OrderAnswer::Refused
                                           : OrderAnswer::Unknown;
}

} // namespace

auto orderCall(std::string Url) -> HttpCall {
  auto Call = HttpCall();
  Call.m_Url = std::move(Url);
  Call.m_Timeout = OrderTimeout;
  // A copy that libcurl sent by itself would not be counted.
  Call.m_OneConnection = true;
  return Call;
}

auto carryOrder(HttpCall &Call, std::string Order,
                std::function<void(OrderAnswer)> Done) -> void {
  Call.m_Method = "POST";
  Call.m_Headers = {{.m_Name = "Content-Type", .m_Value = "application/json"}};
  Call.m_Body = std::move(Order);
  Call.m_OnDone = [Done = std::move(Done)](const HttpCallResult &Result) {
    Done(answerOf(Result));
  };
}

auto answered(const HttpCallResult &Result) -> bool {
  return Result.m_Outcome == HttpOutcome::Complete &&
         Result.m_Status == StatusOk;
}

} // namespace dotterel::detail
