//===- IdempotencyKey.h - A caller's idempotency key ------------*- C++ -*-===//
///
/// \file
/// Parses the `Idempotency-Key` header and derives a request's identity.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LEDGER_IDEMPOTENCYKEY_H
#define DOTTEREL_LEDGER_IDEMPOTENCYKEY_H

#include "dotterel/ledger/Claim.h"

#include <string>

namespace dotterel {

/// How long an identity is remembered; older keys are refused.
inline constexpr auto IdentityRetention = Seconds(24 * 3600);
/// How far a key's time may lie ahead of ours.
inline constexpr auto IdentityClockSkew = Seconds(300);

/// A key with the time at which the caller made it.
///
/// Two shapes carry the time, without which a bounded memory could not tell a
/// forgotten request from a new one:
/// - a UUID of version 7: `018f4e6a-7b1c-7abc-8def-0123456789ab`
/// - seconds since 1970, a hyphen, and 8 to 64 of `A-Z a-z 0-9 - _`:
///   `1764820000-filing-4711-a`
class IdempotencyKey {
public:
  /// \throws ProtocolError 301 when \p Text has neither shape.
  static auto parse(const std::string &Text) -> IdempotencyKey;

  [[nodiscard]] auto issuedAt() const -> WallTime { return m_IssuedAt; }

  /// Whether a request under this key may still be judged at \p Now.
  [[nodiscard]] auto current(WallTime Now) const -> bool;

  /// The same key from the same organisation on the same route gives the same
  /// identity at every gate.
  [[nodiscard]] auto identity(const OrganisationId &Organisation,
                              const RouteId &Route) const -> RequestIdentity;

private:
  std::string m_Text;
  WallTime m_IssuedAt;
};

} // namespace dotterel

#endif // DOTTEREL_LEDGER_IDEMPOTENCYKEY_H
