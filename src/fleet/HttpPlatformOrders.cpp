#include "dotterel/fleet/HttpPlatformOrders.h"

#include "dotterel/fleet/detail/OrderCall.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace dotterel {

namespace {

auto parseState(const HttpCallResult &Result) -> std::optional<TargetState> {
  if (!detail::succeeded(Result))
    return std::nullopt;
  try {
    auto Body = nlohmann::json::parse(Result.m_Body);
    // The platform has a single incarnation: copies sent to it may be in flight
    // until their sender has ended.
    return TargetState{
        .m_Incarnation = "platform",
        .m_LastOrder = OrderId{Body.at("last_order").get<std::string>()},
        .m_InForce = Directive{Body.at("state").get<std::string>()}};
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

class HttpPlatformOrders final : public OrderChannel {
public:
  HttpPlatformOrders(HttpClient &Client, const EngineTable &Engines,
                     std::string PlatformUrl)
      : m_Client(Client), m_Engines(Engines),
        m_Url(std::move(PlatformUrl) + "/platform/v1/orders") {}

  auto send(const BackendId &Server, const BackendOrder &Order,
            std::function<void(OrderOutcome)> Done) -> void override {
    const auto *Listed = m_Engines.find(Server);
    auto Call = detail::makeOrderCall(m_Url);
    detail::setOrder(
        Call,
        nlohmann::json{{"order", Order.m_Id.text()},
                       {"backend", Server.text()},
                       {"data_centre", Listed != nullptr
                                           ? Listed->m_DataCentre.text()
                                           : std::string()},
                       {"state", Order.m_Directive.text()},
                       {"fencing", Order.m_Fencing.number()}}
            .dump(),
        std::move(Done));
    m_Client.start(std::move(Call));
  }

  auto readState(const BackendId &Server,
                 std::function<void(std::optional<TargetState>)> Done)
      -> void override {
    auto Call = detail::makeOrderCall(m_Url + "?backend=" + Server.text());
    Call.m_OnDone = [Done = std::move(Done)](const HttpCallResult &Result) {
      Done(parseState(Result));
    };
    m_Client.start(std::move(Call));
  }

private:
  HttpClient &m_Client;
  const EngineTable &m_Engines;
  std::string m_Url;
};

} // namespace

auto makeHttpPlatformOrders(HttpClient &Client, const EngineTable &Engines,
                            std::string PlatformUrl)
    -> std::unique_ptr<OrderChannel> {
  return std::make_unique<HttpPlatformOrders>(Client, Engines,
                                              std::move(PlatformUrl));
}

} // namespace dotterel
