//===- AdminHandler.h - The operators' side of a gate -----------*- C++ -*-===//
///
/// \file
/// Takes operators' orders and questions, as JSON over HTTP.
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

/// Operators' orders. Every change goes through ConfigurationStore, so that of
/// racing operators one wins and the other is told.
class AdminHandler final : public HttpHandler {
public:
  AdminHandler(GateServices &Services, ConfigurationStore &Store,
               std::string Token, std::function<void()> AnnounceRelease);

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t Limit) -> HttpResponse override;

private:
  using Json = nlohmann::json;
  using Action = void (AdminHandler::*)(const HttpExchangePtr &, const Json &);

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

  auto change(const HttpExchangePtr &Exchange, const Json &Body,
              std::function<void(Configuration &)> Edit, const Json &Extra)
      -> void;
  [[nodiscard]] auto allowed(const HttpRequest &Request) const -> bool;

  GateServices &m_Services;
  ConfigurationStore &m_Store;
  std::string m_Token;
  std::function<void()> m_AnnounceRelease;
  std::map<std::pair<std::string, std::string>, Action> m_Actions;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_ADMINHANDLER_H
