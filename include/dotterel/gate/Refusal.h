//===- Refusal.h - Errors shown to callers ----------------------*- C++ -*-===//
///
/// \file
/// Every error that a caller can get, with what it says of execution.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_GATE_REFUSAL_H
#define DOTTEREL_GATE_REFUSAL_H

#include "dotterel/base/Ids.h"
#include "dotterel/io/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dotterel {

/// Whether a request ran.
enum class Execution : std::uint8_t {
  NotRun,     ///< Nothing reached a backend server and nothing will.
  MayHaveRun, ///< A backend server may have acted on it.
  Ran,        ///< A backend server acted on it, in part or whole.
};

/// Stable codes of the errors.
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
  ConfigurationStale,
  QueueFull,
  DeadlineExceeded,
  NoBackend,
  Quarantined,
  ClaimUnavailable,
  InDoubt,
  BackendFailed,
  BackendUnreachable,
  SlowReader,
};

/// What is fixed about a code.
struct RefusalShape {
  RefusalCode m_Code;
  std::string_view m_Name;
  unsigned m_Status;
  std::optional<Execution> m_Execution; ///< Empty: depends on the case.
  bool m_Retry; ///< Whether the same request may succeed later.
  std::string_view m_Message;
};

/// All codes, in the order of their declaration.
auto refusalShapes() -> const std::vector<RefusalShape> &;
auto shapeOf(RefusalCode Code) -> const RefusalShape &;

/// An error for one request.
class Refusal {
public:
  /// \pre the code fixes what it says of execution.
  explicit Refusal(RefusalCode Code, std::string Detail = {});
  Refusal(RefusalCode Code, Execution Execution, std::string Detail = {});

  [[nodiscard]] auto code() const -> RefusalCode { return m_Code; }
  [[nodiscard]] auto execution() const -> Execution { return m_Execution; }

  /// The JSON answer to \p Request.
  [[nodiscard]] auto response(const RequestId &Request) const -> HttpResponse;

  /// The JSON document alone, as sent inside a stream.
  [[nodiscard]] auto document(const RequestId &Request) const -> std::string;

private:
  RefusalCode m_Code;
  Execution m_Execution;
  std::string m_Detail;
};

} // namespace dotterel

#endif // DOTTEREL_GATE_REFUSAL_H
