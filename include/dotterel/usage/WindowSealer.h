//===- WindowSealer.h - Closes, seals and reports windows -------*- C++ -*-===//
///
/// \file
/// Sums up the segments of a usage window to totals that no longer change, and
/// reports these totals to the platform.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_USAGE_WINDOWSEALER_H
#define DOTTEREL_USAGE_WINDOWSEALER_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/fleet/OrderCopies.h"
#include "dotterel/lease/DutyLease.h"
#include "dotterel/store/KeyValueStore.h"
#include "dotterel/usage/Usage.h"
#include "dotterel/usage/UsageKeys.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dotterel {

struct WindowSealerOptions {
  Seconds m_WindowLength{60};
  /// Time after a window's end at which it is closed. It leaves time for
  /// segments that are still being written.
  Duration m_Grace = Seconds(20);
  /// Time after a window's end before which it is not closed, since writers may
  /// still be active that cannot be distinguished from unresponsive ones.
  /// m_AllWritten is not called before.
  Duration m_MinGrace = Seconds(20);
  /// Returns whether these are all segments of the window, so that it can be
  /// closed before m_Grace has passed. If empty, no window is closed early.
  std::function<bool(const std::vector<StoredValue> &)> m_AllWritten;
  /// Maximum time after the end of a call at which a report that was not
  /// accepted is executed; 0 if the receiver checks fencing tokens.
  Duration m_MaxReportDelay = Duration::zero();
  /// Time after the beginning of a grant for which reports of earlier grants
  /// may still be executed; 0 if the receiver checks fencing tokens.
  Duration m_MaxDelayOfEarlierGrants = Duration::zero();
  /// Called when reports are held back until those of earlier grants are over.
  std::function<void()> m_OnHeld;
};

/// Usage report of a window. A report that is sent again after a lost response
/// is the same.
struct UsageReport {
  WindowIndex m_Window;
  FencingNumber m_Fencing;
  std::string m_Entries; ///< JSON, as sealed.
};

/// Sends a report to the platform, and calls the callback with whether the
/// platform has accepted it.
using UsageReportSender =
    std::function<void(const UsageReport &, std::function<void(bool)>)>;

/// Closes, seals and reports usage windows while this process holds the duty.
/// Each step is a transaction that can be applied only once, so that another
/// holder, or the same one after a crash, obtains the same totals:
/// 1. close: no more segments can be added to the window
/// 2. seal: stores the sum of the segments, which can no longer change
/// 3. report the sealed totals, and record that the platform has accepted them
///
/// A restored store may have lost these records. The record of the newest
/// reported window names the history of the store that it was written in. In a
/// later one, the holder first records which windows may have been reported,
/// and skips these.
///
/// \invariant Unless the receiver checks fencing tokens, a report is sent only
/// once no report of an earlier grant can be executed any more. One may be open
/// if its window was sealed under an earlier grant, or if the record of the
/// newest reported window says so.
class WindowSealer {
public:
  WindowSealer(Scheduler &Scheduler, KeyValueStore &Store,
               const DutyLease &Duty, UsageReportSender SendReport,
               const WindowSealerOptions &Options)
      : m_Scheduler(Scheduler), m_Store(Store), m_Duty(Duty),
        m_SendReport(std::move(SendReport)), m_Options(Options) {}
  WindowSealer(const WindowSealer &) = delete;
  auto operator=(const WindowSealer &) -> WindowSealer & = delete;
  ~WindowSealer() { *m_Alive = false; }

  /// Starts the next step of the oldest window that is not reported, if this
  /// process holds the duty and no step is in progress.
  auto step() -> void;

private:
  /// Entries of a report that was sent and is not known to be accepted.
  struct SentReport {
    WindowIndex m_Window;
    std::string m_Entries;
  };

  auto beginGrant() -> void;
  /// Holds reports back until those of earlier grants are over.
  auto awaitEarlierReports() -> void;
  [[nodiscard]] auto awaitsEarlierReports() const -> bool {
    return m_EarlierReportsOpen && m_Scheduler.now() < m_HeldUntil;
  }
  auto findNext() -> void;
  /// Records, after a restore of the store, the newest window that may have
  /// been reported. \p Stored is the one that the store has.
  auto recover(WindowIndex Stored) -> void;
  auto recordReported(WindowIndex Window) -> void;
  /// Returns a compare that fails if the record of the newest reported window
  /// was written since it was read, so that no earlier write replaces a later.
  [[nodiscard]] auto progressUnchanged() const -> StoreCompare {
    return {.m_Key = usageProgressKey(), .m_Modified = m_ProgressRevision};
  }
  /// Returns the value of the record of the newest reported window.
  [[nodiscard]] auto encodeProgress(WindowIndex Window) const -> std::string;
  auto findFirst() -> void;
  /// Records that no window before \p First is reported, and closes \p First.
  auto recordFirst(WindowIndex First) -> void;
  auto closeEarly(WindowIndex Window) -> void;
  auto close(WindowIndex Window) -> void;
  auto seal(WindowIndex Window) -> void;
  auto report(WindowIndex Window) -> void;
  auto sendReport(WindowIndex Window, const std::string &Entries) -> void;
  auto finish(WindowIndex Window) -> void;
  auto deleteOld(WindowIndex Window) -> void;
  auto finishStep() -> void;
  /// Returns the newest window that ended at least \p Grace ago.
  [[nodiscard]] auto lastEnded(Duration Grace) const -> WindowIndex;
  /// Returns a store callback that passes the response to \p Continue. Without
  /// a response, or without the duty, it ends the step instead.
  template <typename Response, typename Next>
  auto continueWith(Next Continue) -> StoreCallback<Response>;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  const DutyLease &m_Duty;
  UsageReportSender m_SendReport;
  WindowSealerOptions m_Options;
  bool m_Busy = false;
  /// Newest window that any holder has reported, as known under the fencing
  /// token m_ReportedUnder.
  WindowIndex m_Reported;
  FencingNumber m_ReportedUnder;
  std::optional<SentReport> m_Unconfirmed;
  FencingNumber m_Grant;       ///< Token of the newest grant that was begun.
  MonotonicTime m_HeldUntil;   ///< When reports of earlier grants are over.
  bool m_ProgressRead = false; ///< Under this grant.
  bool m_EarlierReportsOpen = false; ///< Whether there may be any.
  WindowIndex m_SealedWindow;        ///< Newest window sealed under this grant.
  WindowIndex m_AcceptedWindow;      ///< Newest one accepted under this grant.
  StoreRevision m_ProgressRevision;  ///< Of the record of the reported window.
  OrderCopies m_Copies;              ///< Reports sent under this grant.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_USAGE_WINDOWSEALER_H
