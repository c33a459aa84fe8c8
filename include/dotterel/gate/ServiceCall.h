//===- ServiceCall.h - One call of a plain service --------------*- C++ -*-===//
///
/// \file
/// Carries a call to a plain service, at most once where its route says so.
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

/// What the handler found out about a call.
struct ServiceInput {
  RequestId m_Request;
  Caller m_Caller; ///< Without organisation on open routes.
  Route m_Route;
  std::string m_Path; ///< Behind the route's name, with its slash.
  std::optional<IdempotencyKey> m_Idempotency; ///< On non-idempotent routes.
  HttpExchangePtr m_Exchange;
};

/// One call's way: claim, dispatch, record.
///
/// \invariant On a non-idempotent route nothing is sent before the claim is
/// granted, and after a byte may have reached a backend server nothing is sent
/// again.
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
  auto waitForOutcome() -> void;
  auto dispatch() -> void;
  auto send(const Backend &Server) -> void;
  auto onDone(const HttpCallResult &Result) -> void;
  auto onAnswer(const HttpCallResult &Result) -> void;
  auto onFailure(const HttpCallResult &Result) -> void;
  auto answerBelongs(const HttpCallResult &Result) const -> bool;
  auto release() -> void;
  auto deliver(HttpResponse Response) -> void;
  auto refuse(const Refusal &Reason) -> void;
  auto finish() -> void;
  auto onCallerLeft() -> void;
  [[nodiscard]] auto atMostOnce() const -> bool {
    return !m_Input.m_Route.m_Idempotent;
  }
  [[nodiscard]] auto claimMessage() const -> Claim;
  [[nodiscard]] auto url(const Backend &Server) const -> std::string;

  GateServices &m_Services;
  ServiceInput m_Input;
  std::function<void()> m_OnEnd;
  AttemptId m_Claim;
  std::optional<HttpCallId> m_Call;
  AttemptId m_Attempt;
  BackendId m_Server;
  std::uint32_t m_Attempts = 0;
  std::uint32_t m_OutcomeLooks = 0;
  std::set<BackendId> m_Tried;
  bool m_Claimed = false;
  bool m_MayHaveRun = false;
  bool m_Ended = false;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_SERVICECALL_H
