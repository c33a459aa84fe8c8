#include "dotterel/fleet/RolePlanner.h"

#include <algorithm>
#include <array>

namespace dotterel {

namespace {

constexpr auto Roles =
    std::array{EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode};

/// Share of the newest observation in the expected stay.
constexpr auto StaySmoothing = 0.5;

} // namespace

auto RolePlanner::utilisation(const std::vector<GroupEngine> &Engines,
                              const GroupDemand &Demand) const -> double {
  auto Prefill = 0.0;
  auto Decode = 0.0;
  for (const auto &Engine : Engines) {
    auto PrefillFactor = 1.0;
    auto DecodeFactor = 1.0;
    if (Engine.m_Role == EngineRole::Prefill) {
      PrefillFactor = m_Options.m_Favour;
      DecodeFactor = m_Options.m_Neglect;
    } else if (Engine.m_Role == EngineRole::Decode) {
      PrefillFactor = m_Options.m_Neglect;
      DecodeFactor = m_Options.m_Favour;
    }
    Prefill += Engine.m_PrefillTokensPerSecond * PrefillFactor;
    Decode += Engine.m_DecodeTokensPerSecond * DecodeFactor;
  }
  if (Prefill <= 0 || Decode <= 0)
    return 0;
  return std::max(Demand.m_Prefill / Prefill, Demand.m_Decode / Decode);
}

auto RolePlanner::keepsFloor(const std::vector<GroupEngine> &Engines) const
    -> bool {
  auto Able = [&](EngineRole Unable) {
    return static_cast<std::size_t>(
        std::count_if(Engines.begin(), Engines.end(), [&](const auto &Engine) {
          return Engine.m_Role != Unable;
        }));
  };
  return Able(EngineRole::Decode) >= m_Options.m_Floor &&
         Able(EngineRole::Prefill) >= m_Options.m_Floor;
}

auto RolePlanner::best(const std::vector<GroupEngine> &Engines,
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
      if (keepsFloor(Trial) && (!Best || After < Best->m_After))
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

auto RolePlanner::gain(const RoleChange &Change, std::size_t Engines)
    -> double {
  return (Change.m_Before - Change.m_After) / Change.m_Before *
         static_cast<double>(Engines);
}

auto RolePlanner::pays(const RoleChange &Change, std::size_t Engines) const
    -> bool {
  auto Seconds = [](Duration Span) {
    return std::chrono::duration<double>(Span).count();
  };
  // What is won over the expected stay of the mix, against one engine's work
  // lost twice: the mix will turn, and so will the engine.
  auto Won = gain(Change, Engines) * Seconds(m_Stay);
  auto Lost = 2 * Seconds(m_Options.m_ChangeTime);
  return Won > Lost;
}

auto RolePlanner::observe(const GroupDemand &Demand,
                          const std::vector<GroupEngine> &Engines,
                          MonotonicTime Now) -> void {
  auto Mixed = Engines;
  auto Prefill = 0.0;
  auto Decode = 0.0;
  for (const auto &Engine : Mixed) {
    Prefill += Engine.m_PrefillTokensPerSecond;
    Decode += Engine.m_DecodeTokensPerSecond;
  }
  auto Heavy = Demand.m_Prefill * Decode > Demand.m_Decode * Prefill;
  if (m_FlippedAt && Heavy == m_PrefillHeavy) {
    // A stay that lasts is at least as long as it has lasted.
    m_Stay = std::max(m_Stay, Now - *m_FlippedAt);
    return;
  }
  if (m_FlippedAt) {
    auto Stayed = Now - *m_FlippedAt;
    m_Stay = Duration(static_cast<std::int64_t>(
        StaySmoothing * static_cast<double>(Stayed.count()) +
        (1 - StaySmoothing) * static_cast<double>(m_Stay.count())));
  }
  m_PrefillHeavy = Heavy;
  m_FlippedAt = Now;
}

auto RolePlanner::plan(const std::vector<GroupEngine> &Engines,
                       const GroupDemand &Demand, MonotonicTime Now)
    -> std::optional<RoleChange> {
  observe(Demand, Engines, Now);
  auto Change = best(Engines, Demand);
  auto Worth = Change && Change->m_Before >= m_Options.m_LeastUtilisation &&
               gain(*Change, Engines.size()) >= m_Options.m_LeastGain &&
               pays(*Change, Engines.size());
  if (!Worth) {
    m_SeenSince.reset();
    return std::nullopt;
  }
  if (!m_SeenSince || m_SeenTo != Change->m_To) {
    m_SeenSince = Now;
    m_SeenTo = Change->m_To;
  }
  if (Now - *m_SeenSince < m_Options.m_Patience)
    return std::nullopt;
  if (m_ChangedAt && Now - *m_ChangedAt < m_Options.m_Pause)
    return std::nullopt;
  m_ChangedAt = Now;
  m_SeenSince.reset();
  return Change;
}

} // namespace dotterel
