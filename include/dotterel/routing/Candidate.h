//===- Candidate.h - Load of an engine for routing --------------*- C++ -*-===//
///
/// \file
/// Load and cache state of an engine, as routing compares them for one request.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_CANDIDATE_H
#define DOTTEREL_ROUTING_CANDIDATE_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <cstdint>

namespace dotterel {

/// Number of tokens that a request has an engine process.
struct Work {
  std::uint64_t m_PrefillTokens = 0;
  std::uint64_t m_DecodeTokens = 0; ///< Estimate.
};

/// An engine that can accept a request.
struct Candidate {
  BackendId m_Id;
  std::uint32_t m_OwnInFlight = 0; ///< This gate's requests on the engine.
  /// Expected number of running requests, from load reports and the gate's own
  /// requests.
  std::uint32_t m_Running = 0;
  std::uint32_t m_Slots = 1;
  /// Estimate: the reported queue less what was processed since the report, at
  /// least the gate's own tokens.
  double m_QueuedPrefillTokens = 0;
  double m_PrefillTokensPerSecond = 1.0;
  double m_DecodeTokensPerSecond = 1.0;
  std::uint64_t m_CachedTokens = 0; ///< Of the request's prompt.
  Duration m_RoundTripTime = Duration::zero();
};

/// Returns the expected time until \p Engine produces the first token of
/// \p Request, including the round trip.
auto expectedTimeToFirstToken(const Candidate &Engine, const Work &Request)
    -> Duration;

} // namespace dotterel

#endif // DOTTEREL_ROUTING_CANDIDATE_H
