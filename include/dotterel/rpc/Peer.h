//===- Peer.h - Calls between the system's processes ------------*- C++ -*-===//
///
/// \file
/// Interfaces of the calls between the system's processes, independent of the
/// transport.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_RPC_PEER_H
#define DOTTEREL_RPC_PEER_H

#include "dotterel/ledger/Claim.h"
#include "dotterel/membership/Member.h"
#include "dotterel/poison/CrashRegistry.h"
#include "dotterel/routing/ServerRateLimits.h"
#include "dotterel/usage/Usage.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dotterel {

/// The state that two processes send to each other in a gossip exchange.
struct PeerView {
  std::vector<Member> m_Members;
  std::vector<CrashReport> m_Crashes;
  /// Time since the newest read of the store that the sender knows of;
  /// Duration::max(): the sender knows of none.
  Duration m_ConfirmationAge = Duration::max();
  std::vector<BackendId> m_LeavingBackends;
  std::vector<RateLimitReport> m_RateLimits;
};

/// The shards of a configuration that differ from those of the calling process.
struct ConfigurationDelta {
  ConfigRevision m_Revision;
  std::string m_Head; ///< Empty if the peer has no configuration.
  std::vector<std::pair<std::uint32_t, std::string>> m_Shards;
};

template <typename Reply>
using PeerCallback = std::function<void(std::optional<Reply>)>;

/// Makes calls to other processes. A callback receives std::nullopt if the peer
/// could not be reached or did not respond within the timeout; the call may
/// have taken effect nevertheless.
class PeerCaller {
public:
  virtual ~PeerCaller() = default;

  virtual auto exchange(const std::string &Address, const PeerView &View,
                        PeerCallback<PeerView> Callback) -> void = 0;
  /// \param KnownDigests the digests of the shards that the caller has.
  virtual auto
  fetchConfiguration(const std::string &Address,
                     const std::vector<std::uint64_t> &KnownDigests,
                     PeerCallback<ConfigurationDelta> Callback) -> void = 0;
  virtual auto claim(const std::string &Address, const Claim &Request,
                     PeerCallback<ClaimReply> Callback) -> void = 0;
  virtual auto recordOutcome(const std::string &Address,
                             const ClaimOutcome &Outcome,
                             PeerCallback<bool> Callback) -> void = 0;
  virtual auto replicateUsage(const std::string &Address,
                              const UsageSegment &Segment,
                              PeerCallback<bool> Callback) -> void = 0;
};

/// Handles calls from other processes.
class PeerService {
public:
  virtual ~PeerService() = default;

  virtual auto onExchange(const PeerView &View) -> PeerView = 0;
  virtual auto
  onFetchConfiguration(const std::vector<std::uint64_t> &KnownDigests)
      -> ConfigurationDelta = 0;
  virtual auto onClaim(const Claim &Request,
                       std::function<void(ClaimReply)> Callback) -> void = 0;
  virtual auto onOutcome(const ClaimOutcome &Outcome,
                         std::function<void(bool)> Callback) -> void = 0;
  virtual auto onUsage(const UsageSegment &Segment) -> void = 0;
};

} // namespace dotterel

#endif // DOTTEREL_RPC_PEER_H
