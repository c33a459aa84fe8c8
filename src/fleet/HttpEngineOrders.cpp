#include "dotterel/fleet/HttpEngineOrders.h"

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
  HttpEngineOrders(BackendClient &Backends, const EngineTable &Engines)
      : m_Backends(Backends), m_Engines(Engines) {}

  auto send(const BackendId &Engine, const BackendOrder &Order,
            std::function<void(OrderOutcome)> Done) -> void override {
    auto Call = makeCall(Engine);
    detail::setOrder(Call,
                     nlohmann::json{{"order", Order.m_Id.text()},
                                    {"role", Order.m_Directive.text()},
                                    {"fencing", Order.m_Fencing.number()}}
                         .dump(),
                     std::move(Done));
    m_Backends.start(Engine, SendPurpose::Order, std::move(Call));
  }

  auto readState(const BackendId &Engine,
                 std::function<void(std::optional<TargetState>)> Done)
      -> void override {
    auto Call = makeCall(Engine);
    Call.m_OnDone = [Done = std::move(Done)](const HttpCallResult &Result) {
      Done(parseState(Result));
    };
    m_Backends.start(Engine, SendPurpose::Probe, std::move(Call));
  }

private:
  auto makeCall(const BackendId &Engine) const -> HttpCall {
    const auto *Server = m_Engines.find(Engine);
    // A call to an unlisted engine is not permitted, so its address is not
    // used.
    return detail::makeOrderCall(
        (Server != nullptr ? Server->m_Url : std::string("http://")) +
        "/orders");
  }

  BackendClient &m_Backends;
  const EngineTable &m_Engines;
};

} // namespace

auto makeHttpEngineOrders(BackendClient &Backends, const EngineTable &Engines)
    -> std::unique_ptr<OrderChannel> {
  return std::make_unique<HttpEngineOrders>(Backends, Engines);
}

} // namespace dotterel
