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

/// Time for which an identity is stored; older keys are refused.
inline constexpr auto IdentityRetention = Seconds(24 * 3600);
/// Maximum time by which a key's time may be ahead of the local clock.
inline constexpr auto IdentityClockSkew = Seconds(300);

/// An idempotency key with the time at which the caller created it.
///
/// Two formats contain this time. Identities are only stored for a limited
/// time, and without the time in the key a request whose identity was discarded
/// could not be distinguished from a new one:
/// - a UUID of version 7: `018f4e6a-7b1c-7abc-8def-0123456789ab`
/// - seconds since 1970, a hyphen, and 8 to 64 of `A-Z a-z 0-9 - _`:
///   `1764820000-filing-4711-a`
class IdempotencyKey {
public:
  /// Parses a key.
  /// \throws ProtocolError 301 when \p Text has neither format.
  static auto parse(const std::string &Text) -> IdempotencyKey;

  [[nodiscard]] auto issuedAt() const -> WallTime { return m_IssuedAt; }

  /// Returns whether the key's time is within the accepted range at \p Now.
  [[nodiscard]] auto current(WallTime Now) const -> bool;

  /// Returns the identity of a request with this key. The same key of the same
  /// organisation on the same route has the same identity at every gate.
  [[nodiscard]] auto identity(const OrganisationId &Organisation,
                              const RouteId &Route) const -> RequestIdentity;

private:
  std::string m_Text;
  WallTime m_IssuedAt;
};

} // namespace dotterel

#endif // DOTTEREL_LEDGER_IDEMPOTENCYKEY_H
