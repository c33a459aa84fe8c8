//===- DrainWatch.h - When a drained server may be stopped ------*- C++ -*-===//
///
/// \file
/// Tells when no request can be on a backend server any more.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_DRAINWATCH_H
#define DOTTEREL_FLEET_DRAINWATCH_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace dotterel {

struct DrainWatchOptions {
  /// By how much a load report may lag behind, and how long a request may be on
  /// its way from a gate, together.
  Duration m_ReportLag = Seconds(3);
};

/// What is known of a draining server.
struct DrainView {
  ConfigRevision m_Revision;   ///< Of the configuration at hand.
  std::uint32_t m_Running = 0; ///< Requests, by its newest report.
  MonotonicTime m_ReportedAt;  ///< When that report came.
};

/// Watches servers from the first configuration that drains them.
///
/// \invariant A server is idle only by a report that came a report lag after
/// every gate had confirmed a configuration by which it gets no new work.
class DrainWatch {
public:
  explicit DrainWatch(const DrainWatchOptions &Options) : m_Options(Options) {}

  /// Takes in what is known of \p Server. \p Confirmed says whether every gate
  /// has a revision or a higher one. \returns whether the server is idle.
  /// Complexity: logarithmic, and a call of \p Confirmed.
  template <typename Predicate>
  auto idle(const BackendId &Server, const DrainView &View,
            const Predicate &Confirmed, MonotonicTime Now) -> bool {
    auto &Item =
        m_Items.try_emplace(Server, Drain{View.m_Revision, {}}).first->second;
    if (!Item.m_ConfirmedAt && Confirmed(Item.m_Since))
      Item.m_ConfirmedAt = Now;
    return Item.m_ConfirmedAt && View.m_Running == 0 &&
           View.m_ReportedAt >= *Item.m_ConfirmedAt + m_Options.m_ReportLag;
  }

  /// Forgets servers that are not in \p Draining: a later drain begins anew.
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

  DrainWatchOptions m_Options;
  std::map<BackendId, Drain> m_Items;
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_DRAINWATCH_H
