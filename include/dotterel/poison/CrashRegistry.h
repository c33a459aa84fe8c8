//===- CrashRegistry.h - Requests that crash backend servers ----*- C++ -*-===//
///
/// \file
/// Counts, by request digest, the backend servers that were lost while they
/// ran a request, and bounds how many one request can take.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_POISON_CRASHREGISTRY_H
#define DOTTEREL_POISON_CRASHREGISTRY_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace dotterel {

using RequestDigest = NumberId<struct RequestDigestTag>;

/// Digest of a request's content: equal for a request sent again.
/// Complexity: linear in the body.
auto digestRequest(const ModelId &Model, const std::string &Body)
    -> RequestDigest;

/// What processes tell each other about one digest.
struct CrashReport {
  RequestDigest m_Digest;
  std::set<BackendId> m_Backends;
  std::uint64_t m_Releases = 0; ///< By operators and by successes, so far.
  bool m_LostAlone = false; ///< One was lost while it ran this request alone.
};

/// A request that was running on a backend server.
struct RunningRequest {
  RequestDigest m_Digest;
  bool m_Alone = false; ///< It had the server for itself.
};

enum class CrashVerdict : std::uint8_t {
  Clear,       ///< May run with others.
  Suspect,     ///< Runs alone, one at a time.
  Quarantined, ///< Is refused until an operator releases it.
};

struct CrashRegistryOptions {
  /// Losses after which a digest is refused everywhere, when it ran alone in
  /// one of them.
  std::size_t m_QuarantineAfter = 2;
  /// Losses after which it is refused when it never ran alone: a prompt that
  /// many callers send stands on every server, and is lost with each.
  std::size_t m_QuarantineShared = 4;
  /// Losses in one data centre within this time count as one reclaim of the
  /// zone and as no evidence.
  Duration m_ReclaimWindow = Seconds(5);
  /// Backend servers lost within the window that make a reclaim.
  std::size_t m_ReclaimSize = 3;
};

/// Evidence per request digest.
///
/// \invariant A higher release count replaces all evidence of a lower one;
/// within one count evidence only grows, so that merges commute.
class CrashRegistry {
public:
  explicit CrashRegistry(const CrashRegistryOptions &Options)
      : m_Options(Options) {}

  /// Notes that \p Backend was lost while it ran the requests \p Running.
  /// Several requests share the loss: each becomes suspect.
  auto recordLoss(const BackendId &Backend, const DataCentreId &DataCentre,
                  const std::vector<RunningRequest> &Running, MonotonicTime Now)
      -> void;

  /// Complexity: logarithmic.
  [[nodiscard]] auto verdict(RequestDigest Digest) const -> CrashVerdict;

  /// Notes that a request ran to its end: a suspect is suspect no more.
  auto recordSuccess(RequestDigest Digest) -> void;

  /// Clears a digest everywhere, by an operator's order.
  auto release(RequestDigest Digest) -> void;

  auto merge(const CrashReport &Report) -> void;
  [[nodiscard]] auto reports() const -> std::vector<CrashReport>;

private:
  struct Loss {
    BackendId m_Backend;
    DataCentreId m_DataCentre;
    MonotonicTime m_At;
    std::vector<RunningRequest> m_Running;
  };

  /// Takes back evidence from losses that turn out to be one reclaim.
  auto forgiveReclaim(const DataCentreId &DataCentre) -> void;

  CrashRegistryOptions m_Options;
  std::map<RequestDigest, CrashReport> m_Reports;
  std::vector<Loss> m_Recent;
};

} // namespace dotterel

#endif // DOTTEREL_POISON_CRASHREGISTRY_H
