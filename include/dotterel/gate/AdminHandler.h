//===- AdminHandler.h - Operator endpoints of a gate ------------*- C++ -*-===//
///
/// \file
/// Serves the operators' HTTP API: configuration changes and queries, as JSON.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_ADMINHANDLER_H
#define DOTTEREL_GATE_ADMINHANDLER_H

#include "dotterel/config/ConfigurationStore.h"
#include "dotterel/gate/GateServices.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

#include <nlohmann/json_fwd.hpp>

namespace dotterel {

/// Handles requests to the operators' API. Every configuration change goes
/// through ConfigurationStore, so that of two concurrent changes one is
/// accepted and the other receives a conflict response.
class AdminHandler final : public HttpHandler {
public:
  AdminHandler(GateServices &Services, ConfigurationStore &Store,
               std::string Token, std::function<void()> AnnounceRelease);

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t Limit) -> HttpResponse override;

private:
  using Json = nlohmann::json;
  using EndpointHandler = void (AdminHandler::*)(const HttpExchangePtr &,
                                                 const Json &);

  auto status(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto configuration(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto explain(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto putPreset(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto switchPreset(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto putRoute(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto grantKey(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto withdrawKey(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto drainBackend(const HttpExchangePtr &Exchange, const Json &Body) -> void;
  auto releaseDigest(const HttpExchangePtr &Exchange, const Json &Body) -> void;

  auto applyChange(const HttpExchangePtr &Exchange, const Json &Body,
                   std::function<void(Configuration &)> Edit, const Json &Extra)
      -> void;
  [[nodiscard]] auto isAuthorized(const HttpRequest &Request) const -> bool;

  GateServices &m_Services;
  ConfigurationStore &m_Store;
  std::string m_Token;
  std::function<void()> m_AnnounceRelease;
  std::map<std::pair<std::string, std::string>, EndpointHandler> m_Endpoints;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_ADMINHANDLER_H
