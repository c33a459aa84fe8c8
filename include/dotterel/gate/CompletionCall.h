//===- CompletionCall.h - One completion request ----------------*- C++ -*-===//
///
/// \file
/// Forwards a completion request to an engine and its response to the caller.
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

/// A completion request after authorisation and parsing.
struct CompletionInput {
  RequestId m_Request;
  Caller m_Caller;
  CompletionRequest m_Completion;
  HttpExchangePtr m_Exchange;
};

/// How an attempt on an engine failed.
enum class AttemptFailure : std::uint8_t {
  Unreachable,    ///< No connection could be opened; no byte was sent.
  Declined,       ///< An error status: the engine has not started the request.
  ConnectionLost, ///< The response ended early; the engine may be lost.
  InvalidStream,  ///< The stream stalled or violated the protocol.
};

/// Processes one completion request: queues it, runs it on an engine and, when
/// the attempt fails, resumes it on another engine at the position where the
/// response stopped.
///
/// \invariant The caller receives each token once and in order; the response
/// ends with its end marker or with an explicit error.
class CompletionCall final
    : public GateCall,
      public std::enable_shared_from_this<CompletionCall> {
public:
  CompletionCall(GateServices &Services, CompletionInput Input,
                 std::function<void()> OnEnd);

  auto start() -> void;
  auto onConfigurationChange() -> void override;

private:
  auto enqueue() -> void;
  auto onDispatch(const std::vector<Candidate> &Engines) -> void;
  auto startAttempt(const BackendId &Engine) -> void;
  auto onHeaders(unsigned Status, const HttpHeaders &Headers) -> void;
  auto onData(std::string_view Data) -> void;
  auto onEvent(const EngineEvent &Event) -> void;
  auto onDone(const HttpCallResult &Result) -> void;
  auto onStall() -> void;
  auto onCallerDisconnect() -> void;
  auto endAttempt() -> void;
  auto failAttempt(AttemptFailure Kind, const std::string &Reason) -> void;
  auto retry(bool RequestSent, bool ServerLost) -> void;
  /// Returns whether an engine is listed that may go on with the response.
  [[nodiscard]] auto canContinue() const -> bool;
  auto sendText(const std::string &Text) -> void;
  auto complete() -> void;
  auto sendResponse() -> void;
  auto refuse(const Refusal &Reason) -> void;
  auto finish() -> void;
  auto restartStallTimer() -> void;
  auto recordUsage(std::function<void()> Done) -> void;
  [[nodiscard]] auto query() const -> EngineQuery;
  [[nodiscard]] auto deadline() const -> MonotonicTime;
  [[nodiscard]] auto executionState() const -> Execution;

  GateServices &m_Services;
  CompletionInput m_Input;
  std::function<void()> m_OnEnd;
  CompletionFormat m_Format;
  RequestDigest m_Digest;
  std::vector<std::uint64_t> m_PieceDigests;
  MonotonicTime m_ArrivalTime;
  bool m_Ended = false;

  // State of the attempt in progress.
  std::optional<HttpCallId> m_EngineCall;
  std::optional<EngineStream> m_Stream;
  AttemptId m_Attempt;
  BackendId m_Engine;
  StreamOrigin m_EngineOrigin; ///< Of streams that begin at m_Engine.
  std::optional<TimerId> m_StallTimer;

  // State kept across attempts.
  std::uint32_t m_Attempts = 0;
  std::uint32_t m_UnreachableAttempts = 0; ///< Subset of m_Attempts.
  std::set<BackendId> m_TriedEngines;
  std::set<DataCentreId> m_LostIn; ///< Data centres of the engines lost.
  std::uint64_t m_Position = 0;
  /// Software that produced the first token; empty before it.
  std::optional<StreamOrigin> m_Origin;
  std::string m_ResponseText;
  std::string m_FinishReason;
  std::uint64_t m_PromptTokens = 0;
  bool m_StreamStarted = false; ///< Whether the caller's stream has begun.
  bool m_MayHaveRun = false;
  bool m_UsageRecorded = false; ///< Whether the usage has been recorded.
  std::optional<MonotonicTime> m_LastTokenTime;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_COMPLETIONCALL_H
