#include "dotterel/routing/ServerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace dotterel {

namespace {

auto halvings(Duration Elapsed, Duration HalfLife) -> double {
  if (Elapsed <= Duration::zero() || HalfLife <= Duration::zero())
    return 0;
  return static_cast<double>(Elapsed.count()) /
         static_cast<double>(HalfLife.count());
}

} // namespace

auto ServerSpeeds::Mean::add(double Value, double MinWeight) -> void {
  m_Measurements += 1;
  auto Weight = std::max(1 / m_Measurements, MinWeight);
  m_Value += Weight * (Value - m_Value);
}

auto ServerSpeeds::drawHalfLife(Duration Mean) -> Duration {
  auto Factor = 1 + m_Options.m_Spread * (2 * m_Random.unit() - 1);
  return std::chrono::duration_cast<Duration>(Mean * Factor);
}

auto ServerSpeeds::recordFactor(const BackendId &Backend, double Factor,
                                MonotonicTime StatedAt) -> void {
  constexpr auto UnusualTime = Seconds(1);
  auto &Current = m_Entries[Backend];
  if (Current.m_Stated && StatedAt <= Current.m_StatedAt)
    return;
  auto Before = logMomentary(Current, StatedAt);
  auto Excess =
      Current.m_Stated ? std::max(0.0, Before - std::log(Factor)) : 0.0;
  // Hosts that learn of the recovery at the same time return at different
  // times.
  if (Current.m_LogExcess <= 0 || Excess <= 0)
    Current.m_RecoveryHalfLife = drawHalfLife(m_Options.m_RecoveryHalfLife);
  constexpr auto NegligibleExcess = 0.02;
  Current.m_LogFactor = std::log(Factor);
  Current.m_LogExcess = Excess < NegligibleExcess ? 0 : Excess;
  Current.m_HalfLife = drawHalfLife(m_Options.m_FactorHalfLife);
  Current.m_StatedAt = StatedAt;
  Current.m_Stated = true;
  m_AnyStated = true;
  if (std::abs(Factor - 1) > m_Options.m_UnreportedChange)
    Current.m_ReportedUntil = StatedAt + UnusualTime;
}

auto ServerSpeeds::logMomentary(const Entry &Current, MonotonicTime Now)
    -> double {
  if (!Current.m_Stated)
    return 0;
  auto Age = Now - Current.m_StatedAt;
  return Current.m_LogFactor * std::exp2(-halvings(Age, Current.m_HalfLife)) +
         Current.m_LogExcess *
             std::exp2(-halvings(Age, Current.m_RecoveryHalfLife));
}

auto ServerSpeeds::addDeviation(Entry &Current, double Deviation) -> void {
  auto Known = Current.m_Deviation.m_Measurements > 0;
  auto Residual = Deviation - Current.m_Deviation.m_Value;
  Current.m_Deviation.add(Deviation, m_Options.m_MinWeight);
  if (!Known)
    return;
  constexpr auto MinNoiseWeight = 0.005;
  m_Noise.add(Residual * Residual, MinNoiseWeight);
}

auto ServerSpeeds::recordWork(const std::string &Kind, const BackendId &Backend,
                              Duration Expected, Duration Elapsed,
                              MonotonicTime Now) -> void {
  if (!m_AnyStated || Expected <= Duration::zero() ||
      Elapsed <= Duration::zero())
    return;
  auto &Current = m_Entries[Backend];
  auto LogRatio = std::log(static_cast<double>(Elapsed.count()) /
                           static_cast<double>(Expected.count())) -
                  logMomentary(Current, Now);
  auto &AllServers = m_Kinds[Kind];
  AllServers.add(LogRatio, m_Options.m_MinWeight / 4);
  if (AllServers.m_Measurements < m_Options.m_MinMeasurements)
    return;
  auto Deviation = LogRatio - AllServers.m_Value;
  addDeviation(Current, Deviation);
  Current.m_UnreportedSum += Deviation;
  ++Current.m_Unreported;
}

auto ServerSpeeds::merge(const SpeedReport &Report, MonotonicTime Now) -> void {
  if (Report.m_Factor)
    recordFactor(Report.m_Backend, *Report.m_Factor, Now - Report.m_Age);
  if (Report.m_Measurements == 0)
    return;
  auto Mean = Report.m_DeviationSum / Report.m_Measurements;
  // Bounds the time that a damaged report could take.
  constexpr auto MaxMeasurements = 256U;
  auto &Current = m_Entries[Report.m_Backend];
  for (auto Index = 0U;
       Index < std::min(Report.m_Measurements, MaxMeasurements); ++Index)
    addDeviation(Current, Mean);
}

auto ServerSpeeds::collectReports(MonotonicTime Now)
    -> std::vector<SpeedReport> {
  auto Result = std::vector<SpeedReport>();
  for (auto &[Backend, Current] : m_Entries) {
    auto Age = Now - Current.m_StatedAt;
    auto Reported = Current.m_Stated && Age < m_Options.m_ReportedFor &&
                    Now < Current.m_ReportedUntil;
    if (!Reported && Current.m_Unreported == 0)
      continue;
    auto Report =
        SpeedReport{.m_Backend = Backend,
                    .m_DeviationSum = std::exchange(Current.m_UnreportedSum, 0),
                    .m_Measurements = std::exchange(Current.m_Unreported, 0)};
    if (Reported) {
      Report.m_Factor = std::exp(Current.m_LogFactor);
      Report.m_Age = Age;
    }
    Result.push_back(std::move(Report));
  }
  return Result;
}

auto ServerSpeeds::remove(const BackendId &Backend) -> void {
  m_Entries.erase(Backend);
}

auto ServerSpeeds::logLasting(const Entry &Current) const -> double {
  const auto &Measured = Current.m_Deviation;
  if (!m_AnyStated || Measured.m_Measurements < m_Options.m_MinMeasurements)
    return 0;
  // A mean with a minimum weight w stands for about 2 / w measurements.
  auto Effective = std::min(Measured.m_Measurements, 2 / m_Options.m_MinWeight);
  auto Band = m_Options.m_NoiseBand * std::sqrt(m_Noise.m_Value / Effective);
  auto Clear = std::max(0.0, std::abs(Measured.m_Value) - Band);
  return std::copysign(Clear, Measured.m_Value);
}

auto ServerSpeeds::slowdown(const BackendId &Backend, MonotonicTime Now) const
    -> double {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end())
    return 1;
  return std::clamp(
      std::exp(logLasting(Found->second) + logMomentary(Found->second, Now)),
      1 / m_Options.m_MaxSlowdown, m_Options.m_MaxSlowdown);
}

auto ServerSpeeds::lastingSlowdown(const BackendId &Backend) const -> double {
  auto Found = m_Entries.find(Backend);
  return Found == m_Entries.end() ? 1 : std::exp(logLasting(Found->second));
}

auto ServerSpeeds::countSlow(double Slowdown, MonotonicTime Now) const
    -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(m_Entries.begin(), m_Entries.end(), [&](const auto &Item) {
        return slowdown(Item.first, Now) >= Slowdown;
      }));
}

} // namespace dotterel
