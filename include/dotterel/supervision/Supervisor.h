//===- Supervisor.h - Supervision of components -----------------*- C++ -*-===//
///
/// \file
/// Declares the supervisor, which starts, restarts and stops the components of
/// a process. Supervisors are components, so they can form a tree.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SUPERVISION_SUPERVISOR_H
#define DOTTEREL_SUPERVISION_SUPERVISOR_H

#include "dotterel/base/Scheduler.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dotterel {

/// A part of a process that can be started and stopped.
class Component {
public:
  virtual ~Component() = default;

  [[nodiscard]] virtual auto name() const -> std::string = 0;

  /// Starts the component. An exception counts as a failure of the component.
  virtual auto start() -> void = 0;

  /// Shuts down gracefully and then calls \p Done once.
  virtual auto stop(std::function<void()> Done) -> void = 0;

  /// Stops immediately, for example before a restart.
  virtual auto reset() -> void = 0;
};

struct SupervisorOptions {
  /// Number of failures of one component within the window at which the
  /// supervisor escalates.
  std::size_t m_MaxFailures = 5;
  Duration m_FailureWindow = Seconds(60);
  Duration m_InitialBackoff = Milliseconds(100);
  Duration m_MaxBackoff = Seconds(5);
};

/// Owns an ordered list of components. A failed component restarts after an
/// exponential backoff. If it fails too often, the supervisor does not restart
/// it and calls the escalation callback, which leaves the failure to its owner.
///
/// \invariant Components start in order and stop one after another in reverse
/// order.
class Supervisor final : public Component {
public:
  Supervisor(Scheduler &Scheduler, std::string Name,
             const SupervisorOptions &Options);
  Supervisor(const Supervisor &) = delete;
  auto operator=(const Supervisor &) -> Supervisor & = delete;
  ~Supervisor() override;

  /// Appends a component.
  /// \pre The supervisor has not been started.
  auto add(std::unique_ptr<Component> Child) -> void;

  /// Handles a failure of the component named \p Name. Ignored if it is not
  /// running.
  auto fail(const std::string &Name, const std::string &Reason) -> void;

  /// Sets the function that is called with a component's name when the
  /// component has failed m_MaxFailures times within the window.
  auto onEscalation(std::function<void(std::string)> Callback) -> void {
    m_OnEscalation = std::move(Callback);
  }

  [[nodiscard]] auto name() const -> std::string override { return m_Name; }
  auto start() -> void override;
  auto stop(std::function<void()> Done) -> void override;
  auto reset() -> void override;

private:
  struct Child {
    std::unique_ptr<Component> m_Component;
    std::deque<MonotonicTime> m_Failures;
    TimerId m_RestartTimer;
    bool m_Running = false;
  };

  auto startChild(Child &Target) -> void;
  auto handleFailure(Child &Target, const std::string &Reason) -> void;
  auto stopNext(std::size_t RemainingChildren, std::function<void()> Done)
      -> void;

  Scheduler &m_Scheduler;
  std::string m_Name;
  SupervisorOptions m_Options;
  std::vector<Child> m_Children;
  std::function<void(std::string)> m_OnEscalation;
  bool m_Stopping = false;
};

} // namespace dotterel

#endif // DOTTEREL_SUPERVISION_SUPERVISOR_H
