//===- RolePlanner.h - Planner of engine role changes -----------*- C++ -*-===//
///
/// \file
/// Decides on role changes of engines by the mix of prefill and decode work.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_FLEET_ROLEPLANNER_H
#define DOTTEREL_FLEET_ROLEPLANNER_H

#include "dotterel/fleet/Backend.h"

#include <optional>
#include <string>
#include <vector>

namespace dotterel {

struct RolePlannerOptions {
  /// Minimum gain of a change, as a share of one engine's capacity. It does not
  /// refer to the whole group's capacity, because one engine of many cannot
  /// change that by much.
  double m_MinGain = 0.3;
  /// Minimum utilisation at which a change is worth its cost.
  double m_MinUtilisation = 0.5;
  /// Time for which a change must be found worthwhile before it is made.
  Duration m_MinGainDuration = Seconds(10);
  /// Minimum time between two changes in the group.
  Duration m_MinChangeInterval = Seconds(20);
  /// Time for which an engine is unavailable during a change.
  Duration m_ChangeTime = Seconds(3);
  /// Speed of an engine relative to the mixed role: for the kind of work that
  /// its role favours, and for the other kind.
  double m_FavouredFactor = 1.6;
  double m_UnfavouredFactor = 0.4;
  /// Minimum number of engines that can do each kind of work at the speed of
  /// the mixed role or faster.
  std::size_t m_MinCapableEngines = 1;
};

/// An engine of a group in which all engines can serve the same requests.
struct GroupEngine {
  BackendId m_Id;
  EngineRole m_Role = EngineRole::Mixed;
  double m_PrefillTokensPerSecond = 1.0; ///< In the mixed role.
  double m_DecodeTokensPerSecond = 1.0;  ///< In the mixed role, whole batch.
};

/// Work requested of a group, in tokens per second.
struct GroupDemand {
  double m_Prefill = 0;
  double m_Decode = 0;
};

/// A role change, with the figures that it is based on.
struct RoleChange {
  BackendId m_Engine;
  EngineRole m_From = EngineRole::Mixed;
  EngineRole m_To = EngineRole::Mixed;
  double m_Before = 0; ///< Utilisation of the scarcer kind before the change.
  double m_After = 0;  ///< The same after the change.
};

/// Plans the role changes of one group.
class RolePlanner {
public:
  explicit RolePlanner(const RolePlannerOptions &Options)
      : m_Options(Options) {}

  /// Returns the change to make now, if any is worthwhile. It must be called at
  /// short intervals and returns one change at a time.
  /// Complexity: linear in the number of engines.
  auto plan(const std::vector<GroupEngine> &Engines, const GroupDemand &Demand,
            MonotonicTime Now) -> std::optional<RoleChange>;

  /// Returns the utilisation of the kind of work for which capacity is scarcer.
  [[nodiscard]] auto utilisation(const std::vector<GroupEngine> &Engines,
                                 const GroupDemand &Demand) const -> double;

  /// Returns how long the demand is expected to remain prefill-heavy or
  /// decode-heavy without a change.
  [[nodiscard]] auto expectedMixDuration() const -> Duration {
    return m_ExpectedMixDuration;
  }

private:
  /// Returns the change that leads to the lowest utilisation.
  [[nodiscard]] auto bestChange(const std::vector<GroupEngine> &Engines,
                                const GroupDemand &Demand) const
      -> std::optional<RoleChange>;
  /// Returns whether enough engines can do each kind of work.
  [[nodiscard]] auto
  keepsMinCapable(const std::vector<GroupEngine> &Engines) const -> bool;
  /// Returns the capacity gained by a change, in engines.
  [[nodiscard]] static auto gainInEngines(const RoleChange &Change,
                                          std::size_t Engines) -> double;
  /// Returns whether a change gains more work than it costs.
  [[nodiscard]] auto paysOff(const RoleChange &Change,
                             std::size_t Engines) const -> bool;
  /// Updates the expected duration of the mix.
  auto observeMix(const GroupDemand &Demand,
                  const std::vector<GroupEngine> &Engines, MonotonicTime Now)
      -> void;

  RolePlannerOptions m_Options;
  std::optional<MonotonicTime> m_ProposedSince;
  EngineRole m_ProposedRole = EngineRole::Mixed;
  std::optional<MonotonicTime> m_ChangedAt;
  bool m_PrefillHeavy = false;
  std::optional<MonotonicTime> m_MixChangedAt;
  Duration m_ExpectedMixDuration = Seconds(300);
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_ROLEPLANNER_H
