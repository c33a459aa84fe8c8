//===- Supervisor.h - Supervision of components -----------------*- C++ -*-===//
///
/// \file
/// Starts, restarts and stops the components of a process, as a tree.
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

  /// Starts; an exception counts as a failure of the component.
  virtual auto start() -> void = 0;

  /// Stops in good order and then calls \p Done once.
  virtual auto stop(std::function<void()> Done) -> void = 0;

  /// Ends at once, before a restart.
  virtual auto reset() -> void = 0;
};

struct SupervisorOptions {
  /// Failures of one component within the window that fail the supervisor.
  std::size_t m_MaximumFailures = 5;
  Duration m_FailureWindow = Seconds(60);
  Duration m_FirstBackoff = Milliseconds(100);
  Duration m_LongestBackoff = Seconds(5);
};

/// Owns components in order. A failed one restarts after a backoff; one that
/// keeps failing fails the supervisor, which its own owner then handles.
///
/// \invariant Components start in order and stop in the reverse order, one
/// after another.
class Supervisor final : public Component {
public:
  Supervisor(Scheduler &Scheduler, std::string Name,
             const SupervisorOptions &Options);
  Supervisor(const Supervisor &) = delete;
  auto operator=(const Supervisor &) -> Supervisor & = delete;
  ~Supervisor() override;

  /// Adds the next component. \pre not started.
  auto add(std::unique_ptr<Component> Child) -> void;

  /// Reports a failure of the child named \p Name while it runs.
  auto fail(const std::string &Name, const std::string &Reason) -> void;

  /// Called once when a child keeps failing.
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
    TimerId m_Restart;
    bool m_Running = false;
  };

  auto startChild(Child &Target) -> void;
  auto handleFailure(Child &Target, const std::string &Reason) -> void;
  auto stopNext(std::size_t Left, std::function<void()> Done) -> void;

  Scheduler &m_Scheduler;
  std::string m_Name;
  SupervisorOptions m_Options;
  std::vector<Child> m_Children;
  std::function<void(std::string)> m_OnEscalation;
  bool m_Stopping = false;
};

} // namespace dotterel

#endif // DOTTEREL_SUPERVISION_SUPERVISOR_H
