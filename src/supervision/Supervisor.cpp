#include "dotterel/supervision/Supervisor.h"

#include "dotterel/base/Log.h"

#include <algorithm>
#include <cassert>
#include <exception>
#include <utility>

namespace dotterel {

Supervisor::Supervisor(Scheduler &Scheduler, std::string Name,
                       const SupervisorOptions &Options)
    : m_Scheduler(Scheduler), m_Name(std::move(Name)), m_Options(Options) {}

Supervisor::~Supervisor() {
  for (auto &Child : m_Children)
    m_Scheduler.cancel(Child.m_RestartTimer);
  // Destroyed in reverse order, because later components may use earlier ones.
  while (!m_Children.empty())
    m_Children.pop_back();
}

auto Supervisor::add(std::unique_ptr<Component> Child) -> void {
  m_Children.push_back({.m_Component = std::move(Child)});
}

auto Supervisor::start() -> void {
  m_Stopping = false;
  for (auto &Child : m_Children)
    startChild(Child);
}

auto Supervisor::startChild(Child &Target) -> void {
  try {
    Target.m_Component->start();
    Target.m_Running = true;
    logDebug("component.started", {{"supervisor", m_Name},
                                   {"component", Target.m_Component->name()}});
  } catch (const std::exception &Exception) {
    handleFailure(Target, Exception.what());
  }
}

auto Supervisor::fail(const std::string &Name, const std::string &Reason)
    -> void {
  for (auto &Child : m_Children)
    if (Child.m_Component->name() == Name && Child.m_Running)
      handleFailure(Child, Reason);
}

auto Supervisor::handleFailure(Child &Target, const std::string &Reason)
    -> void {
  if (m_Stopping)
    return;
  Target.m_Running = false;
  Target.m_Component->reset();
  auto Now = m_Scheduler.now();
  auto &Failures = Target.m_Failures;
  Failures.push_back(Now);
  while (Now - Failures.front() > m_Options.m_FailureWindow)
    Failures.pop_front();
  logError("component.failed", {{"supervisor", m_Name},
                                {"component", Target.m_Component->name()},
                                {"failures", Failures.size()},
                                {"reason", Reason}});
  if (Failures.size() >= m_Options.m_MaxFailures) {
    if (m_OnEscalation)
      m_OnEscalation(Target.m_Component->name());
    return;
  }
  auto Backoff = m_Options.m_InitialBackoff *
                 (std::int64_t{1} << std::min<std::size_t>(Failures.size() - 1,
                                                           std::size_t{16}));
  Target.m_RestartTimer =
      m_Scheduler.schedule(std::min(Backoff, m_Options.m_MaxBackoff),
                           [this, &Target] { startChild(Target); });
}

auto Supervisor::stop(std::function<void()> Done) -> void {
  m_Stopping = true;
  for (auto &Child : m_Children)
    m_Scheduler.cancel(Child.m_RestartTimer);
  stopNext(m_Children.size(), std::move(Done));
}

auto Supervisor::stopNext(std::size_t RemainingChildren,
                          std::function<void()> Done) -> void {
  while (RemainingChildren > 0 && !m_Children[RemainingChildren - 1].m_Running)
    --RemainingChildren;
  if (RemainingChildren == 0) {
    Done();
    return;
  }
  auto &Child = m_Children[RemainingChildren - 1];
  Child.m_Running = false;
  logInfo("component.stopping",
          {{"supervisor", m_Name}, {"component", Child.m_Component->name()}});
  Child.m_Component->stop(
      [this, RemainingChildren, Done = std::move(Done)]() mutable {
        stopNext(RemainingChildren - 1, std::move(Done));
      });
}

auto Supervisor::reset() -> void {
  for (auto Index = m_Children.size(); Index > 0; --Index) {
    auto &Child = m_Children[Index - 1];
    m_Scheduler.cancel(Child.m_RestartTimer);
    Child.m_Component->reset();
    Child.m_Running = false;
  }
}

} // namespace dotterel
