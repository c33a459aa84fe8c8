//===- RolePlanner.h - Which engine should change role ----------*- C++ -*-===//
///
/// \file
/// Decides on role changes by the mix of prefill and decode work.
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
  /// What a change must win, as a part of one engine's work. Not of the whole
  /// group's: one engine of many cannot change that by much.
  double m_LeastGain = 0.3;
  /// Utilisation below which no change is worth its cost.
  double m_LeastUtilisation = 0.5;
  /// How long a gain must be seen before a change.
  Duration m_Patience = Seconds(10);
  /// Pause after a change of the group.
  Duration m_Pause = Seconds(20);
  /// Time that an engine is away for a change.
  Duration m_ChangeTime = Seconds(3);
  /// How much faster an engine does the work that its role favours, and how
  /// much slower the other.
  double m_Favour = 1.6;
  double m_Neglect = 0.4;
  /// Engines that must stay able to do each kind of work at full speed or
  /// better.
  std::size_t m_Floor = 1;
};

/// An engine of a group that serves the same work.
struct GroupEngine {
  BackendId m_Id;
  EngineRole m_Role = EngineRole::Mixed;
  double m_PrefillTokensPerSecond = 1.0; ///< In the mixed role.
  double m_DecodeTokensPerSecond = 1.0;  ///< In the mixed role, whole batch.
};

/// Work that a group is asked for, in tokens per second.
struct GroupDemand {
  double m_Prefill = 0;
  double m_Decode = 0;
};

/// A decision, with the figures it was made by.
struct RoleChange {
  BackendId m_Engine;
  EngineRole m_From = EngineRole::Mixed;
  EngineRole m_To = EngineRole::Mixed;
  double m_Before = 0; ///< Utilisation of the scarcer kind.
  double m_After = 0;
};

/// Plans for one group.
class RolePlanner {
public:
  explicit RolePlanner(const RolePlannerOptions &Options)
      : m_Options(Options) {}

  /// The change to make now, if one pays. To be called at short intervals; one
  /// change at a time. Complexity: linear in the number of engines.
  auto plan(const std::vector<GroupEngine> &Engines, const GroupDemand &Demand,
            MonotonicTime Now) -> std::optional<RoleChange>;

  /// Utilisation of the scarcer kind of work.
  [[nodiscard]] auto utilisation(const std::vector<GroupEngine> &Engines,
                                 const GroupDemand &Demand) const -> double;

  /// How long the mix is expected to stay on one side.
  [[nodiscard]] auto expectedStay() const -> Duration { return m_Stay; }

private:
  [[nodiscard]] auto best(const std::vector<GroupEngine> &Engines,
                          const GroupDemand &Demand) const
      -> std::optional<RoleChange>;
  [[nodiscard]] auto keepsFloor(const std::vector<GroupEngine> &Engines) const
      -> bool;
  /// Work won by a change, in engines.
  [[nodiscard]] static auto gain(const RoleChange &Change, std::size_t Engines)
      -> double;
  [[nodiscard]] auto pays(const RoleChange &Change, std::size_t Engines) const
      -> bool;
  auto observe(const GroupDemand &Demand,
               const std::vector<GroupEngine> &Engines, MonotonicTime Now)
      -> void;

  RolePlannerOptions m_Options;
  std::optional<MonotonicTime> m_SeenSince;
  EngineRole m_SeenTo = EngineRole::Mixed;
  std::optional<MonotonicTime> m_ChangedAt;
  bool m_PrefillHeavy = false;
  std::optional<MonotonicTime> m_FlippedAt;
  Duration m_Stay = Seconds(300);
};

} // namespace dotterel

#endif // DOTTEREL_FLEET_ROLEPLANNER_H
