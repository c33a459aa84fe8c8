//===- Claim.h - Claims to run a request ------------------------*- C++ -*-===//
///
/// \file
/// Messages of the at-most-once protocol.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LEDGER_CLAIM_H
#define DOTTEREL_LEDGER_CLAIM_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <cstdint>
#include <optional>
#include <string>

namespace dotterel {

/// Organisation, route and the caller's idempotency key, as one digest.
using RequestIdentity = TextId<struct RequestIdentityTag>;

/// Digest of a request's body.
using ContentDigest = NumberId<struct ContentDigestTag>;

/// Asks for the right to run a request once.
struct Claim {
  RequestIdentity m_Identity;
  /// Names this attempt; a claim sent again under the same attempt is the same
  /// claim.
  AttemptId m_Attempt;
  WallTime m_IssuedAt;     ///< The time inside the idempotency key.
  ContentDigest m_Content; ///< Of the request's body.
};

/// A recorded answer of a request that ran.
struct RecordedAnswer {
  unsigned m_Status = 0;
  std::string m_ContentType;
  std::optional<std::string> m_Body; ///< Empty when it was too large to keep.
};

/// How a granted attempt ended.
struct ClaimOutcome {
  RequestIdentity m_Identity;
  AttemptId m_Attempt;
  /// No byte reached a backend server; the identity may be claimed anew.
  bool m_Released = false;
  RecordedAnswer m_Answer; ///< Meaningful when not released.
};

enum class ClaimVerdict : std::uint8_t {
  Granted,     ///< This attempt, and no other, may run the request.
  InDoubt,     ///< Another attempt holds it and no outcome is recorded.
  Finished,    ///< It ran.
  Unavailable, ///< No durable claim could be made; nothing may run.
  Mismatch,    ///< The identity was used with another body.
};

struct ClaimReply {
  ClaimVerdict m_Verdict = ClaimVerdict::Unavailable;
  RecordedAnswer m_Answer; ///< Meaningful when finished.
};

} // namespace dotterel

#endif // DOTTEREL_LEDGER_CLAIM_H
