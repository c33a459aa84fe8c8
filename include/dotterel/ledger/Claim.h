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

/// Digest of organisation, route and the caller's idempotency key.
using RequestIdentity = TextId<struct RequestIdentityTag>;

/// Digest of a request's body.
using ContentDigest = NumberId<struct ContentDigestTag>;

/// Requests the right to run a request once.
struct Claim {
  RequestIdentity m_Identity;
  /// Identifies this attempt; a claim that is sent again with the same attempt
  /// is the same claim.
  AttemptId m_Attempt;
  WallTime m_IssuedAt;     ///< Time contained in the idempotency key.
  ContentDigest m_Content; ///< Of the request's body.
};

/// Recorded response to a request that ran.
struct RecordedResponse {
  unsigned m_Status = 0;
  std::string m_ContentType;
  std::optional<std::string> m_Body; ///< Empty when it was too large to keep.
};

/// Outcome of a granted attempt.
struct ClaimOutcome {
  RequestIdentity m_Identity;
  AttemptId m_Attempt;
  /// No byte reached a backend server; the identity may be claimed again.
  bool m_Released = false;
  RecordedResponse m_Response; ///< Only valid when not released.
};

enum class ClaimVerdict : std::uint8_t {
  Granted,     ///< This attempt, and no other, may run the request.
  InDoubt,     ///< Another attempt holds the claim, and no outcome is recorded.
  Finished,    ///< The request ran; its response is recorded.
  Unavailable, ///< No claim could be stored; the request must not run.
  Mismatch,    ///< The identity was used with a different body.
};

struct ClaimReply {
  ClaimVerdict m_Verdict = ClaimVerdict::Unavailable;
  RecordedResponse m_Response; ///< Only valid when finished.
};

} // namespace dotterel

#endif // DOTTEREL_LEDGER_CLAIM_H
