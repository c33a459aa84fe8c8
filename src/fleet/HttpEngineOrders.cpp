#include "dotterel/fleet/HttpEngineOrders.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

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

auto stateOf(const HttpCallResult &Result) -> std::optional<EngineState> {
  if (Result.m_Outcome != HttpOutcome::Complete || Result.m_Status != StatusOk)
    return std::nullopt;
  try {
    auto Body = nlohmann::json::parse(Result.m_Body);
    return EngineState{
        .m_Incarnation = Body.at("incarnation").get<std::string>(),
        .m_LastOrder =
            OrderId{Body.at("last_order").value("order", std::string())}};
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

class HttpEngineOrders final : public EngineOrders {
public:
  HttpEngineOrders(HttpClient &Client, const EngineTable &Engines)
      : m_Client(Client), m_Engines(Engines) {}

  auto send(const BackendId &Engine, const EngineOrder &Order,
            std::function<void(OrderAnswer)> Done) -> void override {
    auto Call = callTo(Engine);
    Call.m_Method = "POST";
    Call.m_Headers = {
        {.m_Name = "Content-Type", .m_Value = "application/json"}};
    Call.m_Body = nlohmann::json{{"order", Order.m_Id.text()},
                                 {"role", roleName(Order.m_Role)},
                                 {"fencing", Order.m_Fencing.number()}}
                      .dump();
    Call.m_OnDone = [Done = std::move(Done)](const HttpCallResult &Result) {
      Done(answerOf(Result));
    };
    m_Client.start(std::move(Call));
  }

  auto readBack(const BackendId &Engine,
                std::function<void(std::optional<EngineState>)> Done)
      -> void override {
    auto Call = callTo(Engine);
    Call.m_OnDone = [Done = std::move(Done)](const HttpCallResult &Result) {
      Done(stateOf(Result));
    };
    m_Client.start(std::move(Call));
  }

private:
  auto callTo(const BackendId &Engine) const -> HttpCall {
    const auto *Server = m_Engines.find(Engine);
    auto Call = HttpCall();
    // An unlisted engine has no address; the call then fails as not sent.
    Call.m_Url = (Server != nullptr ? Server->m_Url : std::string("http://")) +
                 "/orders";
    Call.m_Timeout = OrderTimeout;
    // A copy that libcurl sent by itself would not be counted.
    Call.m_OneConnection = true;
    return Call;
  }

  HttpClient &m_Client;
  const EngineTable &m_Engines;
};

} // namespace

auto makeHttpEngineOrders(HttpClient &Client, const EngineTable &Engines)
    -> std::unique_ptr<EngineOrders> {
  return std::make_unique<HttpEngineOrders>(Client, Engines);
}

} // namespace dotterel
