#include "dotterel/serving/RetryWindow.h"

namespace dotterel {

auto RetryWindow::removeExpired(Counts &Current, MonotonicTime Now) const
    -> void {
  auto Start = Now - m_Options.m_Window;
  while (!Current.m_Requests.empty() && Current.m_Requests.front() <= Start)
    Current.m_Requests.pop_front();
  while (!Current.m_ExtraAttempts.empty() &&
         Current.m_ExtraAttempts.front() <= Start)
    Current.m_ExtraAttempts.pop_front();
}

auto RetryWindow::recordRequest(const ServiceId &Service, MonotonicTime Now)
    -> void {
  auto &Current = m_Services[Service];
  removeExpired(Current, Now);
  Current.m_Requests.push_back(Now);
}

auto RetryWindow::tryAcquire(const ServiceId &Service, MonotonicTime Now)
    -> bool {
  auto &Current = m_Services[Service];
  removeExpired(Current, Now);
  auto Room = m_Options.m_Allowance +
              m_Options.m_Ratio * m_Options.m_UsedShare *
                  static_cast<double>(Current.m_Requests.size());
  if (static_cast<double>(Current.m_ExtraAttempts.size()) + 1 > Room)
    return false;
  Current.m_ExtraAttempts.push_back(Now);
  return true;
}

auto RetryWindow::refund(const ServiceId &Service) -> void {
  auto &Extra = m_Services[Service].m_ExtraAttempts;
  if (!Extra.empty())
    Extra.pop_back();
}

} // namespace dotterel
