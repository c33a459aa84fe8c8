//===- DrainTracker.h - When a drained server may be stopped ----*- C++ -*-===//
///
/// \file
/// Determines when no request can be in flight to a backend server any more.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_DRAINTRACKER_H
#define DOTTEREL_FLEET_DRAINTRACKER_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace dotterel {

struct DrainTrackerOptions {
  /// Maximum delay of a load report plus maximum time that a request takes from
  /// a gate to the server.
  Duration m_ReportLag = Seconds(3);
};

/// Current knowledge about a draining server.
struct DrainStatus {
  ConfigRevision m_Revision;   ///< Of the current configuration.
  std::uint32_t m_Running = 0; ///< Running requests in its newest report.
  MonotonicTime m_ReportedAt;  ///< When that report arrived.
};

/// Tracks servers from the first configuration that drains them.
///
/// \invariant A server counts as idle only after a report that arrived at least
/// the report lag after every gate had confirmed a configuration that gives the
/// server no new work.
class DrainTracker {
public:
  explicit DrainTracker(const DrainTrackerOptions &Options)
      : m_Options(Options) {}

  /// Updates the state of \p Server. \p Confirmed returns whether every gate
  /// has the given revision or a higher one.
  ///
  /// \returns whether the server is idle.
  /// Complexity: logarithmic, plus one call of \p Confirmed.
  template <typename Predicate>
  auto isIdle(const BackendId &Server, const DrainStatus &Status,
              const Predicate &Confirmed, MonotonicTime Now) -> bool {
    auto &Item =
        m_Items.try_emplace(Server, Drain{Status.m_Revision, {}}).first->second;
    if (!Item.m_ConfirmedAt && Confirmed(Item.m_Since))
      Item.m_ConfirmedAt = Now;
    return Item.m_ConfirmedAt && Status.m_Running == 0 &&
           Status.m_ReportedAt >= *Item.m_ConfirmedAt + m_Options.m_ReportLag;
  }

  /// Removes servers that are not in \p Draining, so that a later drain of them
  /// starts from the beginning.
  auto keepOnly(const std::set<BackendId> &Draining) -> void {
    std::erase_if(m_Items, [&Draining](const auto &Item) {
      return !Draining.contains(Item.first);
    });
  }

private:
  struct Drain {
    ConfigRevision m_Since;
    std::optional<MonotonicTime> m_ConfirmedAt;
  };

  DrainTrackerOptions m_Options;
  std::map<BackendId, Drain> m_Items;
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_DRAINTRACKER_H
