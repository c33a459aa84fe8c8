#include "dotterel/fleet/RolePlanner.h"

#include <algorithm>
#include <array>

namespace dotterel {

namespace {

constexpr auto Roles =
    std::array{EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode};

/// Weight of the newest observation in the expected duration of a mix.
constexpr auto MixDurationSmoothing = 0.5;

} // namespace

auto RolePlanner::utilisation(const std::vector<GroupEngine> &Engines,
                              const GroupDemand &Demand) const -> double {
  auto Prefill = 0.0;
  auto Decode = 0.0;
  for (const auto &Engine : Engines) {
    auto PrefillFactor = 1.0;
    auto DecodeFactor = 1.0;
    if (Engine.m_Role == EngineRole::Prefill) {
      PrefillFactor = m_Options.m_FavouredFactor;
      DecodeFactor = m_Options.m_UnfavouredFactor;
    } else if (Engine.m_Role == EngineRole::Decode) {
      PrefillFactor = m_Options.m_UnfavouredFactor;
      DecodeFactor = m_Options.m_FavouredFactor;
    }
    Prefill += Engine.m_PrefillTokensPerSecond * PrefillFactor;
    Decode += Engine.m_DecodeTokensPerSecond * DecodeFactor;
  }
  if (Prefill <= 0 || Decode <= 0)
    return 0;
  return std::max(Demand.m_Prefill / Prefill, Demand.m_Decode / Decode);
}

auto RolePlanner::keepsMinCapable(const std::vector<GroupEngine> &Engines) const
    -> bool {
  auto CountCapable = [&](EngineRole ExcludedRole) {
    return static_cast<std::size_t>(
        std::count_if(Engines.begin(), Engines.end(), [&](const auto &Engine) {
          return Engine.m_Role != ExcludedRole;
        }));
  };
  return CountCapable(EngineRole::Decode) >= m_Options.m_MinCapableEngines &&
         CountCapable(EngineRole::Prefill) >= m_Options.m_MinCapableEngines;
}

auto RolePlanner::bestChange(const std::vector<GroupEngine> &Engines,
                             const GroupDemand &Demand) const
    -> std::optional<RoleChange> {
  auto Before = utilisation(Engines, Demand);
  auto Best = std::optional<RoleChange>();
  auto Trial = Engines;
  for (auto &Engine : Trial) {
    auto From = Engine.m_Role;
    for (auto To : Roles) {
      if (To == From)
        continue;
      Engine.m_Role = To;
      auto After = utilisation(Trial, Demand);
      if (keepsMinCapable(Trial) && (!Best || After < Best->m_After))
        Best = RoleChange{.m_Engine = Engine.m_Id,
                          .m_From = From,
                          .m_To = To,
                          .m_Before = Before,
                          .m_After = After};
    }
    Engine.m_Role = From;
  }
  return Best;
}

auto RolePlanner::gainInEngines(const RoleChange &Change, std::size_t Engines)
    -> double {
  return (Change.m_Before - Change.m_After) / Change.m_Before *
         static_cast<double>(Engines);
}

auto RolePlanner::paysOff(const RoleChange &Change, std::size_t Engines) const
    -> bool {
  auto Seconds = [](Duration Span) {
    return std::chrono::duration<double>(Span).count();
  };
  // Compares the work gained over the expected duration of the mix with the
  // work of one engine lost during two changes: when the mix reverses, the
  // engine changes back.
  auto Gained = gainInEngines(Change, Engines) * Seconds(m_ExpectedMixDuration);
  auto Lost = 2 * Seconds(m_Options.m_ChangeTime);
  return Gained > Lost;
}

auto RolePlanner::observeMix(const GroupDemand &Demand,
                             const std::vector<GroupEngine> &Engines,
                             MonotonicTime Now) -> void {
  auto Mixed = Engines;
  auto Prefill = 0.0;
  auto Decode = 0.0;
  for (const auto &Engine : Mixed) {
    Prefill += Engine.m_PrefillTokensPerSecond;
    Decode += Engine.m_DecodeTokensPerSecond;
  }
  auto PrefillHeavy = Demand.m_Prefill * Decode > Demand.m_Decode * Prefill;
  if (m_MixChangedAt && PrefillHeavy == m_PrefillHeavy) {
    // The current mix lasts at least as long as it has lasted so far.
    m_ExpectedMixDuration =
        std::max(m_ExpectedMixDuration, Now - *m_MixChangedAt);
    return;
  }
  if (m_MixChangedAt) {
    auto Lasted = Now - *m_MixChangedAt;
    m_ExpectedMixDuration = Duration(static_cast<std::int64_t>(
        MixDurationSmoothing * static_cast<double>(Lasted.count()) +
        (1 - MixDurationSmoothing) *
            static_cast<double>(m_ExpectedMixDuration.count())));
  }
  m_PrefillHeavy = PrefillHeavy;
  m_MixChangedAt = Now;
}

auto RolePlanner::plan(const std::vector<GroupEngine> &Engines,
                       const GroupDemand &Demand, MonotonicTime Now)
    -> std::optional<RoleChange> {
  observeMix(Demand, Engines, Now);
  auto Change = bestChange(Engines, Demand);
  auto IsWorthwhile =
      Change && Change->m_Before >= m_Options.m_MinUtilisation &&
      gainInEngines(*Change, Engines.size()) >= m_Options.m_MinGain &&
      paysOff(*Change, Engines.size());
  if (!IsWorthwhile) {
    m_ProposedSince.reset();
    return std::nullopt;
  }
  if (!m_ProposedSince || m_ProposedRole != Change->m_To) {
    m_ProposedSince = Now;
    m_ProposedRole = Change->m_To;
  }
  if (Now - *m_ProposedSince < m_Options.m_MinGainDuration)
    return std::nullopt;
  if (m_ChangedAt && Now - *m_ChangedAt < m_Options.m_MinChangeInterval)
    return std::nullopt;
  m_ChangedAt = Now;
  m_ProposedSince.reset();
  return Change;
}

} // namespace dotterel
