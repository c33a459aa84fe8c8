//===- ClaimLog.h - Replayed log of claims ----------------------*- C++ -*-===//
///
/// \file
/// The state that a shard's log of claims and outcomes adds up to.
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

/// One line of the log.
using ClaimEntry = std::variant<Claim, ClaimOutcome>;

/// \throws ProtocolError 301 for a malformed document.
auto decodeEntries(const std::string &Document) -> std::vector<ClaimEntry>;
auto encodeEntries(const std::vector<ClaimEntry> &Entries) -> std::string;

/// What is known of each identity.
///
/// \invariant An identity is held by at most one attempt, and passes to another
/// one only after the holder was recorded as released.
class ClaimLog {
public:
  /// Applies one entry in log order. An entry that contradicts an earlier one
  /// has no effect. Complexity: amortised constant.
  auto apply(const ClaimEntry &Entry) -> void;

  /// What a claim may be told from the log alone. Granted means that the
  /// attempt holds the identity already; Unavailable that it was released and
  /// must not run; nothing that the claim may be appended.
  [[nodiscard]] auto judge(const Claim &Request) const
      -> std::optional<ClaimReply>;

  /// Whether an outcome still has to be recorded.
  [[nodiscard]] auto wants(const ClaimOutcome &Outcome) const -> bool;

  /// Forgets identities issued before \p Horizon. From then on a claim issued
  /// before it is answered Unavailable, so that what was forgotten cannot run
  /// again, whatever any clock says. A lower horizon has no effect.
  auto forgetBefore(WallTime Horizon) -> void;

  [[nodiscard]] auto horizon() const -> WallTime { return m_Horizon; }

  [[nodiscard]] auto size() const -> std::size_t { return m_Records.size(); }

private:
  enum class State : std::uint8_t { Claimed, Released, Finished };
  struct Record {
    Claim m_Claim;
    State m_State = State::Claimed;
    RecordedAnswer m_Answer;
  };

  auto applyClaim(const Claim &Entry) -> void;
  auto applyOutcome(const ClaimOutcome &Entry) -> void;

  std::unordered_map<RequestIdentity, Record> m_Records;
  WallTime m_Horizon;
};

} // namespace dotterel

#endif // DOTTEREL_LEDGER_CLAIMLOG_H
