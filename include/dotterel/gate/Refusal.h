//===- Refusal.h - Errors shown to callers ----------------------*- C++ -*-===//
///
/// \file
/// Defines every error that a caller can receive, and what each error states
/// about the execution of the request.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_REFUSAL_H
#define DOTTEREL_GATE_REFUSAL_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/io/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// What an error states about the execution of the request.
enum class Execution : std::uint8_t {
  NotRun,     ///< Nothing reached a backend server and nothing will.
  MayHaveRun, ///< A backend server may have acted on it.
  Ran,        ///< A backend server acted on it, in part or whole.
};

/// Error codes. Their names in responses and metrics are stable.
enum class RefusalCode : std::uint8_t {
  MalformedRequest,
  BodyTooLarge,
  MethodNotAllowed,
  UnknownRoute,
  UnknownModel,
  KeyMissing,
  KeyUnknown,
  KeyWithdrawn,
  KeyInRequest,
  IdempotencyKeyMissing,
  IdempotencyKeyMalformed,
  IdempotencyKeyExpired,
  IdempotencyKeyReused,
  NotReady,
  ShuttingDown,
  ConfigurationStale,
  QueueFull,
  OverLimit,
  DeadlineExceeded,
  NoBackend,
  Quarantined,
  ClaimUnavailable,
  InDoubt,
  BackendFailed,
  BackendUnreachable,
  SlowReader,
  MemoryFull,
  StreamUnknown,
};

/// Properties that all errors with one code share.
struct RefusalDefinition {
  RefusalCode m_Code;
  std::string_view m_Name;
  unsigned m_Status;
  std::optional<Execution> m_Execution; ///< Empty if it depends on the case.
  bool m_Retryable; ///< Whether the same request may succeed later.
  std::string_view m_Message;
};

/// Returns the definitions of all codes, in the order of RefusalCode.
auto refusalDefinitions() -> const std::vector<RefusalDefinition> &;
auto definitionOf(RefusalCode Code) -> const RefusalDefinition &;

/// An error response to one request.
class Refusal {
public:
  /// \pre The definition of \p Code has a fixed execution state.
  explicit Refusal(RefusalCode Code, std::string Detail = {});
  Refusal(RefusalCode Code, Execution Execution, std::string Detail = {});

  /// Sets the time after which the request may succeed, in place of the
  /// default.
  auto setRetryAfter(Duration Time) -> void { m_RetryAfter = Time; }

  [[nodiscard]] auto code() const -> RefusalCode { return m_Code; }
  [[nodiscard]] auto execution() const -> Execution { return m_Execution; }

  /// Returns the HTTP response with the JSON error document for \p Request.
  [[nodiscard]] auto response(const RequestId &Request) const -> HttpResponse;

  /// Returns the JSON error document alone, as sent in an event of a stream.
  [[nodiscard]] auto document(const RequestId &Request) const -> std::string;

private:
  RefusalCode m_Code;
  Execution m_Execution;
  std::string m_Detail;
  std::optional<Duration> m_RetryAfter;

  /// Returns the whole seconds that the response states.
  [[nodiscard]] auto retryAfterSeconds() const -> std::int64_t;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_REFUSAL_H
