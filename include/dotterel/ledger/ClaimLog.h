//===- ClaimLog.h - Replayed log of claims ----------------------*- C++ -*-===//
///
/// \file
/// State that results from replaying a shard's log of claims and outcomes.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LEDGER_CLAIMLOG_H
#define DOTTEREL_LEDGER_CLAIMLOG_H

#include "dotterel/ledger/Claim.h"

#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace dotterel {

/// One entry of the log.
using ClaimEntry = std::variant<Claim, ClaimOutcome>;

/// Decodes log entries from CBOR.
/// \throws ProtocolError 301 for a malformed document.
auto decodeEntries(const std::string &Document) -> std::vector<ClaimEntry>;
/// Encodes log entries as CBOR.
auto encodeEntries(const std::vector<ClaimEntry> &Entries) -> std::string;

/// Claims and outcomes by identity.
///
/// \invariant An identity is held by at most one attempt, and passes to another
/// attempt only after the holder was recorded as released.
class ClaimLog {
public:
  /// Applies one entry in log order. An entry that contradicts an earlier one
  /// has no effect. Complexity: amortised constant.
  auto apply(const ClaimEntry &Entry) -> void;

  /// Returns the reply to a claim if the log determines it, or nothing if the
  /// claim may be appended. Granted means that the attempt already holds the
  /// identity. Unavailable means that the attempt was released, or that the
  /// claim was issued before the horizon; it must not run.
  [[nodiscard]] auto replyFor(const Claim &Request) const
      -> std::optional<ClaimReply>;

  /// Returns whether an outcome still has to be recorded.
  [[nodiscard]] auto acceptsOutcome(const ClaimOutcome &Outcome) const -> bool;

  /// Discards identities issued before \p Horizon. From then on the reply to a
  /// claim issued before it is Unavailable, so that a discarded request cannot
  /// run again, regardless of any clock. A lower horizon has no effect.
  auto discardBefore(WallTime Horizon) -> void;

  /// Returns the time before which identities were discarded.
  [[nodiscard]] auto horizon() const -> WallTime { return m_Horizon; }

  [[nodiscard]] auto size() const -> std::size_t { return m_Records.size(); }

private:
  enum class State : std::uint8_t { Claimed, Released, Finished };
  struct Record {
    Claim m_Claim;
    State m_State = State::Claimed;
    RecordedResponse m_Response;
  };

  auto applyClaim(const Claim &Entry) -> void;
  auto applyOutcome(const ClaimOutcome &Entry) -> void;

  std::unordered_map<RequestIdentity, Record> m_Records;
  WallTime m_Horizon;
};

} // namespace dotterel

#endif // DOTTEREL_LEDGER_CLAIMLOG_H
