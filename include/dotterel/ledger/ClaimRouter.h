//===- ClaimRouter.h - Claims across shards and processes -------*- C++ -*-===//
///
/// \file
/// Routes each claim to the process that writes its shard.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LEDGER_CLAIMROUTER_H
#define DOTTEREL_LEDGER_CLAIMROUTER_H

#include "dotterel/ledger/ClaimShard.h"
#include "dotterel/membership/MemberTable.h"
#include "dotterel/rpc/Peer.h"

#include <map>
#include <memory>

namespace dotterel {

struct ClaimRouterOptions {
  /// Number of shards, which must be the same at every gate. Together with the
  /// interval between appends it limits the store writes for claims to 8 x 25
  /// per second.
  std::size_t m_ShardCount = 8;
  ClaimShardOptions m_Shard;
};

/// Claims of all shards, written by this process or by another gate.
class ClaimRouter {
public:
  ClaimRouter(Scheduler &Scheduler, KeyValueStore &Store,
              const MemberTable &Members, PeerCaller &Peers,
              const ClaimRouterOptions &Options)
      : m_Scheduler(Scheduler), m_Store(Store), m_Members(Members),
        m_Peers(Peers), m_Options(Options) {}

  /// Claims through the shard's writer, or in this process when the writer
  /// could not make the claim. The attempt's identifier makes the second claim
  /// the same as the first.
  auto claim(const Claim &Request, std::function<void(ClaimReply)> Done)
      -> void;

  /// Records through the shard's writer, or in this process when that fails.
  auto record(const ClaimOutcome &Outcome, std::function<void(bool)> Done)
      -> void;

  /// Claims in this process, as the shard's writer does for other processes.
  auto claimLocally(const Claim &Request, std::function<void(ClaimReply)> Done)
      -> void;
  /// Records in this process, as the shard's writer does for other processes.
  auto recordLocally(const ClaimOutcome &Outcome,
                     std::function<void(bool)> Done) -> void;

private:
  auto shardOf(const RequestIdentity &Identity) const -> std::size_t;
  auto shard(std::size_t Index) -> ClaimShard &;
  /// Returns the address of the shard's writer; empty when that is this
  /// process.
  auto writerOf(std::size_t Index) const -> std::string;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  const MemberTable &m_Members;
  PeerCaller &m_Peers;
  ClaimRouterOptions m_Options;
  std::map<std::size_t, std::unique_ptr<ClaimShard>> m_Shards;
};

} // namespace dotterel

#endif // DOTTEREL_LEDGER_CLAIMROUTER_H
