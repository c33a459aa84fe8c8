//===- CallerHandler.h - Caller endpoints of a gate -------------*- C++ -*-===//
///
/// \file
/// Receives callers' requests and starts a GateCall for each of them.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_CALLERHANDLER_H
#define DOTTEREL_GATE_CALLERHANDLER_H

#include "dotterel/admission/ShutdownAdmission.h"
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
  auto outOfMemory() -> HttpResponse override;

  /// Notifies all calls in flight that the configuration has changed.
  auto onConfigurationChange() -> void;

  /// Makes /readyz report "not ready", so that the load balancer stops sending
  /// callers to this gate, and refuses requests once it has had time to.
  auto beginShutdown(const ShutdownPeriods &Periods) -> void;

  /// Refuses all requests from now on.
  auto closeAdmission() -> void { m_Shutdown.close(); }

  /// Calls \p Callback once no call is in progress; at once if there is none.
  auto onIdle(std::function<void()> Callback) -> void;

  [[nodiscard]] auto activeCalls() const -> std::size_t {
    return m_Calls.size();
  }

  /// Returns whether the gate can serve callers' requests: it is not draining,
  /// it has a configuration, and that configuration is not stale.
  [[nodiscard]] auto isReady() const -> bool;

private:
  auto handleCompletion(const HttpExchangePtr &Exchange, RequestId Request,
                        CompletionShape Shape) -> void;
  auto handleService(const HttpExchangePtr &Exchange, RequestId Request)
      -> void;
  auto handleModels(const HttpExchangePtr &Exchange, const RequestId &Request)
      -> void;
  auto handleGateEndpoint(const HttpExchangePtr &Exchange) -> bool;
  auto refuse(const HttpExchangePtr &Exchange, const RequestId &Request,
              const Refusal &Reason) -> void;
  auto makeRequestId(const HttpRequest &Request) -> RequestId;
  template <typename Call, typename Input> auto startCall(Input Value) -> void;

  GateServices &m_Services;
  std::unordered_map<std::uint64_t, std::shared_ptr<GateCall>> m_Calls;
  std::uint64_t m_LastCallNumber = 0;
  ShutdownAdmission m_Shutdown;
  std::function<void()> m_OnIdle;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_CALLERHANDLER_H
