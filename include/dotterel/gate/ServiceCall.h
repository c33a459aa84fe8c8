//===- ServiceCall.h - One request to a plain service -----------*- C++ -*-===//
///
/// \file
/// Forwards a request to a plain service, at most once if its route requires
/// it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_SERVICECALL_H
#define DOTTEREL_GATE_SERVICECALL_H

#include "dotterel/gate/GateServices.h"
#include "dotterel/ledger/IdempotencyKey.h"

#include <memory>
#include <optional>
#include <set>

namespace dotterel {

/// A request to a plain service after authorisation and routing.
struct ServiceInput {
  RequestId m_Request;
  Caller m_Caller; ///< Has no organisation on open routes.
  Route m_Route;
  std::string m_Path; ///< After the route's name, with the slash.
  std::optional<IdempotencyKey> m_Idempotency; ///< If the route needs it.
  HttpExchangePtr m_Exchange;
};

/// Processes one request to a plain service: claims its idempotency key where
/// required, sends it to a backend server, and records the outcome.
///
/// \invariant On a non-idempotent route nothing is sent before the claim is
/// granted, and the request is not sent again once a byte of it may have
/// reached a backend server.
class ServiceCall final : public GateCall,
                          public std::enable_shared_from_this<ServiceCall> {
public:
  ServiceCall(GateServices &Services, ServiceInput Input,
              std::function<void()> OnEnd);

  auto start() -> void;
  auto onConfigurationChange() -> void override;

private:
  auto claim() -> void;
  auto onClaim(const ClaimReply &Reply) -> void;
  auto scheduleClaimRetry() -> void;
  auto dispatch() -> void;
  auto send(const Backend &Server) -> void;
  auto onDone(const HttpCallResult &Result) -> void;
  auto onResponse(const HttpCallResult &Result) -> void;
  auto onFailure(const HttpCallResult &Result) -> void;
  auto isResponseToAttempt(const HttpCallResult &Result) const -> bool;
  auto releaseClaim() -> void;
  auto sendResponse(HttpResponse Response) -> void;
  auto refuse(const Refusal &Reason) -> void;
  auto finish() -> void;
  auto onCallerDisconnect() -> void;
  [[nodiscard]] auto atMostOnce() const -> bool {
    return !m_Input.m_Route.m_Idempotent;
  }
  [[nodiscard]] auto makeClaim() const -> Claim;
  [[nodiscard]] auto url(const Backend &Server) const -> std::string;

  GateServices &m_Services;
  ServiceInput m_Input;
  std::function<void()> m_OnEnd;
  AttemptId m_ClaimId;
  std::optional<HttpCallId> m_Call;
  AttemptId m_Attempt;
  BackendId m_Server;
  std::uint32_t m_Attempts = 0;
  std::uint32_t m_OutcomeChecks = 0;
  std::set<BackendId> m_TriedServers;
  bool m_MayHoldClaim = false;
  bool m_MayHaveRun = false;
  bool m_Ended = false;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_SERVICECALL_H
