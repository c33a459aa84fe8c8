//===- CallerHandler.h - The callers' side of a gate ------------*- C++ -*-===//
///
/// \file
/// Takes callers' requests in and starts a call for each.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_CALLERHANDLER_H
#define DOTTEREL_GATE_CALLERHANDLER_H

#include "dotterel/gate/CompletionRequest.h"
#include "dotterel/gate/GateServices.h"

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace dotterel {

/// Routes callers' requests by path.
class CallerHandler final : public HttpHandler {
public:
  explicit CallerHandler(GateServices &Services) : m_Services(Services) {}

  auto handle(HttpExchangePtr Exchange) -> void override;
  auto bodyTooLarge(std::size_t Limit) -> HttpResponse override;

  /// Tells all calls that the configuration changed.
  auto onConfigurationChange() -> void;

  /// Makes /readyz say no, so that the balancer sends callers elsewhere.
  auto leave() -> void { m_Leaving = true; }

  /// Calls \p Callback once no call is in progress.
  auto onIdle(std::function<void()> Callback) -> void;

  [[nodiscard]] auto active() const -> std::size_t { return m_Calls.size(); }

  /// Whether callers' requests can be served.
  [[nodiscard]] auto ready() const -> bool;

private:
  auto handleCompletion(const HttpExchangePtr &Exchange, RequestId Request,
                        CompletionShape Shape) -> void;
  auto handleService(const HttpExchangePtr &Exchange, RequestId Request)
      -> void;
  auto handleModels(const HttpExchangePtr &Exchange, const RequestId &Request)
      -> void;
  auto handleOwn(const HttpExchangePtr &Exchange) -> bool;
  auto refuse(const HttpExchangePtr &Exchange, const RequestId &Request,
              const Refusal &Reason) -> void;
  auto requestId(const HttpRequest &Request) -> RequestId;
  template <typename Call, typename Input> auto startCall(Input Value) -> void;

  GateServices &m_Services;
  std::unordered_map<std::uint64_t, std::shared_ptr<GateCall>> m_Calls;
  std::uint64_t m_LastCall = 0;
  bool m_Leaving = false;
  std::function<void()> m_OnIdle;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_CALLERHANDLER_H
