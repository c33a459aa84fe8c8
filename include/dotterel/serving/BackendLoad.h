//===- BackendLoad.h - Load of an engine as reported by hosts ---*- C++ -*-===//
///
/// \file
/// Load and prefilled prompts of engines, as exchanged between hosts.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SERVING_BACKENDLOAD_H
#define DOTTEREL_SERVING_BACKENDLOAD_H

#include "dotterel/routing/ServerRateLimits.h"
#include "dotterel/routing/ServerSpeeds.h"
#include "dotterel/serving/CallerExchange.h"

#include <vector>

namespace dotterel {

/// Requests in flight at one backend server.
struct BackendLoad {
  BackendId m_Engine;
  double m_Requests = 0;
  /// Prompt tokens that are not yet prefilled.
  double m_PendingPrefillTokens = 0;
};

/// A prompt that an engine has prefilled.
struct PromptRead {
  BackendId m_Engine;
  std::vector<PromptPart> m_Parts;
};

/// Load that a host reports to other hosts.
struct LoadSummary {
  /// Whether the summary covers all hosts of the sender's data centre.
  bool m_WholeDataCentre = false;
  /// Host that distributes the summary of another data centre in its own one;
  /// empty until the summary has got there.
  HostId m_Distributor;
  /// Number of the summary among those of the sender on its data centre; its
  /// copies have the same one. 0: the sender is an older host.
  std::uint64_t m_Number = 0;
  std::vector<BackendLoad> m_Engines;
  /// Smoothed rate of prompt tokens that require prefill.
  double m_PrefillTokensPerSecond = 0;
  /// Prompts prefilled since the sender's previous message.
  std::vector<PromptRead> m_Reads;
  /// Request rates that servers have recently stated to the sender's hosts.
  std::vector<RateLimitReport> m_RateLimits;
  /// What the sender's hosts have recently learnt about the servers' speeds.
  std::vector<SpeedReport> m_Speeds;
};

} // namespace dotterel

#endif // DOTTEREL_SERVING_BACKENDLOAD_H
