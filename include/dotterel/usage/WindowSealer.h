//===- WindowSealer.h - Closes, seals and reports windows -------*- C++ -*-===//
///
/// \file
/// Turns the segments of a window into figures that never change, and reports
/// those.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_USAGE_WINDOWSEALER_H
#define DOTTEREL_USAGE_WINDOWSEALER_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/lease/DutyLease.h"
#include "dotterel/store/KeyValueStore.h"
#include "dotterel/usage/Usage.h"

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dotterel {

struct WindowSealerOptions {
  Seconds m_WindowLength{60};
  /// After a window's end, for segments on their way.
  Duration m_Grace = Seconds(20);
  /// After a window's end, for writers that cannot be told apart from silent
  /// ones; only then is m_AllWritten asked.
  Duration m_EarliestGrace = Seconds(20);
  /// Whether the segments under these keys are all that the window will get, so
  /// that it can be closed before the grace is over. Empty: never.
  std::function<bool(const std::vector<StoredValue> &)> m_AllWritten;
};

/// A window's report. Sent again after a lost answer, it is the same.
struct UsageReport {
  WindowIndex m_Window;
  FencingNumber m_Fencing;
  std::string m_Entries; ///< JSON, as sealed.
};

/// The platform's intake; answers whether the report was taken.
using UsageIntake =
    std::function<void(const UsageReport &, std::function<void(bool)>)>;

/// The holder's work on windows. Each step is a transaction that can only
/// happen once, so that a second holder, or the same one after a crash, gets
/// the same figures:
/// 1. close: no segment can be added any more
/// 2. seal: the sum over the segments, which cannot change now
/// 3. report the sealed figures, and note that they were taken
class WindowSealer {
public:
  WindowSealer(Scheduler &Scheduler, KeyValueStore &Store,
               const DutyLease &Duty, UsageIntake Intake,
               const WindowSealerOptions &Options)
      : m_Scheduler(Scheduler), m_Store(Store), m_Duty(Duty),
        m_Intake(std::move(Intake)), m_Options(Options) {}
  WindowSealer(const WindowSealer &) = delete;
  auto operator=(const WindowSealer &) -> WindowSealer & = delete;
  ~WindowSealer() { *m_Alive = false; }

  /// Does the next step of the oldest window that needs one, if the duty is
  /// held and no step is in progress.
  auto step() -> void;

private:
  auto findNext() -> void;
  auto findFirst() -> void;
  auto closeEarly(WindowIndex Window) -> void;
  auto close(WindowIndex Window) -> void;
  auto seal(WindowIndex Window) -> void;
  auto report(WindowIndex Window) -> void;
  auto send(WindowIndex Window, const std::string &Entries) -> void;
  auto finish(WindowIndex Window) -> void;
  auto deleteOld(WindowIndex Window) -> void;
  auto stepDone() -> void;
  [[nodiscard]] auto lastEnded(Duration Grace) const -> WindowIndex;
  /// Wraps a store answer: ends the step when there is none.
  template <typename Answer, typename Next>
  auto then(Next Continue) -> StoreCallback<Answer>;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  const DutyLease &m_Duty;
  UsageIntake m_Intake;
  WindowSealerOptions m_Options;
  bool m_Busy = false;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_USAGE_WINDOWSEALER_H
