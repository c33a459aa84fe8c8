#include "dotterel/fleet/HttpEngineOrders.h"

#include "dotterel/fleet/detail/OrderCall.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

namespace {

auto stateOf(const HttpCallResult &Result) -> std::optional<TargetState> {
  if (!detail::answered(Result))
    return std::nullopt;
  try {
    auto Body = nlohmann::json::parse(Result.m_Body);
    return TargetState{
        .m_Incarnation = Body.at("incarnation").get<std::string>(),
        .m_LastOrder =
            OrderId{Body.at("last_order").value("order", std::string())}};
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

class HttpEngineOrders final : public OrderChannel {
public:
  HttpEngineOrders(HttpClient &Client, const EngineTable &Engines)
      : m_Client(Client), m_Engines(Engines) {}

  auto send(const BackendId &Engine, const BackendOrder &Order,
            std::function<void(OrderAnswer)> Done) -> void override {
    auto Call = callTo(Engine);
    detail::carryOrder(Call,
                       nlohmann::json{{"order", Order.m_Id.text()},
                                      {"role", Order.m_Directive.text()},
                                      {"fencing", Order.m_Fencing.number()}}
                           .dump(),
                       std::move(Done));
    m_Client.start(std::move(Call));
  }

  auto readBack(const BackendId &Engine,
                std::function<void(std::optional<TargetState>)> Done)
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
    // An unlisted engine has no address; the call then fails as not sent.
    return detail::orderCall(
        (Server != nullptr ? Server->m_Url : std::string("http://")) +
        "/orders");
  }

  HttpClient &m_Client;
  const EngineTable &m_Engines;
};

} // namespace

auto makeHttpEngineOrders(HttpClient &Client, const EngineTable &Engines)
    -> std::unique_ptr<OrderChannel> {
  return std::make_unique<HttpEngineOrders>(Client, Engines);
}

} // namespace dotterel
