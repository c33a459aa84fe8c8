//===- CompletionCall.h - One completion request ----------------*- C++ -*-===//
///
/// \file
/// Carries a completion request from the caller to engines and back.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_COMPLETIONCALL_H
#define DOTTEREL_GATE_COMPLETIONCALL_H

#include "dotterel/gate/CompletionFormat.h"
#include "dotterel/gate/CompletionRequest.h"
#include "dotterel/gate/EngineStream.h"
#include "dotterel/gate/GateServices.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>

namespace dotterel {

/// What the handler found out about a completion request.
struct CompletionInput {
  RequestId m_Request;
  Caller m_Caller;
  CompletionRequest m_Completion;
  HttpExchangePtr m_Exchange;
};

/// How an attempt on an engine failed.
enum class AttemptFailure : std::uint8_t {
  Unreachable, ///< No connection: no byte was sent.
  Declined,    ///< The engine said that it has not begun.
  Broken,      ///< The connection ended early; the engine may be lost.
  Invalid,     ///< The stream stalled, or was not this request's.
};

/// One request's way: wait, run on an engine, and on a failure resume on
/// another one where the answer stopped.
///
/// \invariant The caller gets each token once and in order; the answer ends
/// with its end marker or with an explicit error.
class CompletionCall final
    : public GateCall,
      public std::enable_shared_from_this<CompletionCall> {
public:
  CompletionCall(GateServices &Services, CompletionInput Input,
                 std::function<void()> OnEnd);

  auto start() -> void;
  auto onConfigurationChange() -> void override;

private:
  auto wait() -> void;
  auto go(const std::vector<Candidate> &Engines) -> void;
  auto run(const BackendId &Engine) -> void;
  auto onStatus(unsigned Status) -> void;
  auto onData(std::string_view Data) -> void;
  auto onEvent(const EngineEvent &Event) -> void;
  auto onDone(const HttpCallResult &Result) -> void;
  auto onStall() -> void;
  auto onCallerLeft() -> void;
  auto endAttempt() -> void;
  auto failAttempt(AttemptFailure Kind, const std::string &Reason) -> void;
  auto retry(bool Sent, bool Lost) -> void;
  auto emit(const std::string &Text) -> void;
  auto complete() -> void;
  auto deliver() -> void;
  auto refuse(const Refusal &Reason) -> void;
  auto finish() -> void;
  auto armStall() -> void;
  auto recordUsage(std::function<void()> Done) -> void;
  [[nodiscard]] auto query() const -> EngineQuery;
  [[nodiscard]] auto deadline() const -> MonotonicTime;
  [[nodiscard]] auto executed() const -> Execution;

  GateServices &m_Services;
  CompletionInput m_Input;
  std::function<void()> m_OnEnd;
  CompletionFormat m_Format;
  RequestDigest m_Digest;
  std::vector<std::uint64_t> m_Pieces;
  MonotonicTime m_Arrived;
  bool m_Ended = false;

  // The attempt in progress.
  std::optional<HttpCallId> m_Call;
  std::optional<EngineStream> m_Stream;
  AttemptId m_Attempt;
  BackendId m_Engine;
  std::optional<TimerId> m_Stall;

  // Across attempts.
  std::uint32_t m_Attempts = 0;
  std::uint32_t m_UnreachableAttempts = 0; ///< Of these, never connected.
  std::set<BackendId> m_Tried;
  std::uint64_t m_Position = 0;
  std::string m_Text;
  std::string m_FinishReason;
  std::uint64_t m_PromptTokens = 0;
  bool m_Started = false; ///< Whether the caller's stream has begun.
  bool m_MayHaveRun = false;
  bool m_Recorded = false; ///< Whether the usage has been counted.
  std::optional<MonotonicTime> m_LastToken;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_COMPLETIONCALL_H
