//===- RateLimitCodec.h - Encoding of request rates -------------*- C++ -*-===//
///
/// \file
/// Converts reports on servers' request rates to and from the Cap'n Proto types
/// of both schemas.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_RPC_DETAIL_RATELIMITCODEC_H
#define DOTTEREL_RPC_DETAIL_RATELIMITCODEC_H

#include "dotterel/routing/ServerRateLimits.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace dotterel::detail {

template <typename Builder>
auto encodeRateLimit(const RateLimitReport &Report, Builder Target) -> void {
  Target.setBackend(Report.m_Backend.text());
  Target.setLimited(Report.m_Limit.has_value());
  Target.setPerSecond(Report.m_Limit.value_or(RequestRate{}).perSecond());
  // Rounded up, so that a report never appears newer than it is.
  Target.setAgeMs(static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(toMilliseconds(Report.m_Age) + 1, 0,
                               std::numeric_limits<std::uint32_t>::max())));
}

template <typename Reader>
auto decodeRateLimit(const Reader &Source) -> RateLimitReport {
  auto Report = RateLimitReport{
      .m_Backend = BackendId{std::string(Source.getBackend().cStr())},
      .m_Age = Milliseconds(Source.getAgeMs())};
  auto PerSecond = Source.getPerSecond();
  // A rate that no server can have named allows no requests.
  if (Source.getLimited())
    Report.m_Limit =
        RequestRate{std::isfinite(PerSecond) ? std::max(0.0, PerSecond) : 0.0};
  return Report;
}

} // namespace dotterel::detail

#endif // DOTTEREL_RPC_DETAIL_RATELIMITCODEC_H
