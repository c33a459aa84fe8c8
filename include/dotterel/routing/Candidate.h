//===- Candidate.h - Figures that routing compares --------------*- C++ -*-===//
///
/// \file
/// An engine as routing sees it for one request.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ROUTING_CANDIDATE_H
#define DOTTEREL_ROUTING_CANDIDATE_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <cstdint>

namespace dotterel {

/// What a request asks of an engine.
struct Work {
  std::uint64_t m_PrefillTokens = 0;
  std::uint64_t m_DecodeTokens = 0; ///< Expected.
};

/// One engine that may take a request.
struct Candidate {
  BackendId m_Id;
  std::uint32_t m_OwnInFlight = 0; ///< Requests of this gate on the engine.
  std::uint32_t m_Running = 0;     ///< Reported, corrected by own changes.
  std::uint32_t m_Slots = 1;
  double m_QueuedPrefillTokens = 0; ///< Reported and aged, plus own.
  double m_PrefillTokensPerSecond = 1.0;
  double m_DecodeTokensPerSecond = 1.0;
  std::uint64_t m_CachedTokens = 0;       ///< Of this request's prompt.
  Duration m_Distance = Duration::zero(); ///< Round trip.
};

/// Expected time until the engine's first token of \p Request.
auto expectedFirstToken(const Candidate &Engine, const Work &Request)
    -> Duration;

} // namespace dotterel

#endif // DOTTEREL_ROUTING_CANDIDATE_H
