#include "dotterel/fleet/detail/OrderCall.h"

#include "dotterel/fleet/OrderAnswer.h"

#include <utility>

namespace dotterel::detail {

namespace {

constexpr auto OrderTimeout = Seconds(2);
constexpr auto StatusOk = 200U;
/// Status of an order whose fencing token is out of date.
constexpr auto StatusConflict = 409U;

} // namespace

auto makeOrderCall(std::string Url) -> HttpCall {
  auto Call = HttpCall();
  Call.m_Url = std::move(Url);
  Call.m_Timeout = OrderTimeout;
  // A copy of an order that libcurl resent by itself would not be counted.
  Call.m_DedicatedConnection = true;
  return Call;
}

auto setOrder(HttpCall &Call, std::string Order,
              std::function<void(OrderOutcome)> Done) -> void {
  Call.m_Method = "POST";
  Call.m_Headers = {{.m_Name = "Content-Type", .m_Value = "application/json"}};
  Call.m_Body = std::move(Order);
  Call.m_OnDone = [Done = std::move(Done)](const HttpCallResult &Result) {
    Done(interpretOrderAnswer(Result, StatusConflict));
  };
}

auto succeeded(const HttpCallResult &Result) -> bool {
  return Result.m_Outcome == HttpOutcome::Complete &&
         Result.m_Status == StatusOk;
}

} // namespace dotterel::detail
