#include "dotterel/serving/LoadBook.h"

#include <algorithm>
#include <cmath>

namespace dotterel {

auto LoadBook::begin(const BackendId &Backend, double PrefillTokens) -> void {
  auto &Current = m_Entries[Backend];
  Current.m_Own += 1;
  Current.m_Tokens += PrefillTokens;
}

auto LoadBook::prefillDone(const BackendId &Backend, double PrefillTokens)
    -> void {
  auto Found = m_Entries.find(Backend);
  if (Found != m_Entries.end())
    Found->second.m_Tokens =
        std::max(0.0, Found->second.m_Tokens - PrefillTokens);
}

auto LoadBook::end(const BackendId &Backend) -> void {
  auto Found = m_Entries.find(Backend);
  if (Found != m_Entries.end())
    Found->second.m_Own = std::max(0.0, Found->second.m_Own - 1);
}

auto LoadBook::report(const BackendId &Backend, const LoadReport &Load,
                      MonotonicTime Now) -> void {
  auto &Current = m_Entries[Backend];
  auto Total = static_cast<double>(Load.m_Running + Load.m_Waiting);
  Current.m_Others = std::max(0.0, Total - Current.m_Own);
  Current.m_Waiting = Load.m_Waiting;
  Current.m_ReportedAt = Now;
  Current.m_Reported = true;
}

auto LoadBook::forget(const BackendId &Backend) -> void {
  m_Entries.erase(Backend);
}

auto LoadBook::own(const BackendId &Backend) const -> double {
  auto Found = m_Entries.find(Backend);
  return Found == m_Entries.end() ? 0 : Found->second.m_Own;
}

auto LoadBook::ownTokens(const BackendId &Backend) const -> double {
  auto Found = m_Entries.find(Backend);
  return Found == m_Entries.end() ? 0 : Found->second.m_Tokens;
}

auto LoadBook::weight(const Entry &Current, MonotonicTime Now) const -> double {
  if (!Current.m_Reported)
    return 0;
  auto Age = std::chrono::duration<double>(Now - Current.m_ReportedAt).count();
  auto HalfLife =
      std::chrono::duration<double>(m_Options.m_ReportHalfLife).count();
  return std::exp2(-Age / HalfLife);
}

auto LoadBook::others(const BackendId &Backend, MonotonicTime Now) const
    -> double {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end())
    return 0;
  return Found->second.m_Others * weight(Found->second, Now);
}

auto LoadBook::waiting(const BackendId &Backend, MonotonicTime Now) const
    -> double {
  auto Found = m_Entries.find(Backend);
  if (Found == m_Entries.end())
    return 0;
  return Found->second.m_Waiting * weight(Found->second, Now);
}

} // namespace dotterel
