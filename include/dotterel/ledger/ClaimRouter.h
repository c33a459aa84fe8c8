//===- ClaimBook.h - Claims across shards and processes ---------*- C++ -*-===//
///
/// \file
/// Sends each claim to the process that writes its shard.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LEDGER_CLAIMBOOK_H
#define DOTTEREL_LEDGER_CLAIMBOOK_H

#include "dotterel/ledger/ClaimShard.h"
#include "dotterel/membership/MemberTable.h"
#include "dotterel/rpc/Peer.h"

#include <map>
#include <memory>

namespace dotterel {

struct ClaimBookOptions {
  /// The same at every gate. With the pause between appends it bounds the
  /// store's writes for claims: 8 x 25 a second.
  std::size_t m_Shards = 8;
  ClaimShardOptions m_Shard;
};

/// Claims of all shards, written here or by another gate.
class ClaimBook {
public:
  ClaimBook(Scheduler &Scheduler, KeyValueStore &Store,
            const MemberTable &Members, PeerCaller &Peers,
            const ClaimBookOptions &Options)
      : m_Scheduler(Scheduler), m_Store(Store), m_Members(Members),
        m_Peers(Peers), m_Options(Options) {}

  /// Claims through the shard's writer, and here when that cannot be reached:
  /// the attempt's name makes the second claim the same as the first.
  auto claim(const Claim &Request, std::function<void(ClaimReply)> Done)
      -> void;

  /// Records through the shard's writer, and here when that fails.
  auto record(const ClaimOutcome &Outcome, std::function<void(bool)> Done)
      -> void;

  /// Claims in this process, as the shard's writer does for others.
  auto claimHere(const Claim &Request, std::function<void(ClaimReply)> Done)
      -> void;
  auto recordHere(const ClaimOutcome &Outcome, std::function<void(bool)> Done)
      -> void;

private:
  auto shardOf(const RequestIdentity &Identity) const -> std::size_t;
  auto shard(std::size_t Index) -> ClaimShard &;
  /// Address of the shard's writer; empty when that is this process.
  auto writerOf(std::size_t Index) const -> std::string;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  const MemberTable &m_Members;
  PeerCaller &m_Peers;
  ClaimBookOptions m_Options;
  std::map<std::size_t, std::unique_ptr<ClaimShard>> m_Shards;
};

} // namespace dotterel

#endif // DOTTEREL_LEDGER_CLAIMBOOK_H
