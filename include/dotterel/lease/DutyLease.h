//===- DutyLease.h - Campaign for and hold a duty ---------------*- C++ -*-===//
///
/// \file
/// A duty is held by one process at a time, by a lease in the store.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_LEASE_DUTYLEASE_H
#define DOTTEREL_LEASE_DUTYLEASE_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/membership/Member.h"
#include "dotterel/store/KeyValueStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace dotterel {

struct DutyLeaseOptions {
  Seconds m_Term{10};
  /// Subtracted from the term: bounds the drift between the clocks of holder
  /// and store over one term.
  Duration m_Margin = Seconds(2);
  Duration m_RenewInterval = Seconds(2);
  Duration m_CampaignInterval = Seconds(2);
};

/// One process's campaign for one duty.
///
/// \invariant held() is true only until the own monotonic clock, read before
/// the newest successful renewal was sent, reaches term minus margin. The store
/// counts the term from when the renewal reached it, which is later.
class DutyLease {
public:
  DutyLease(Scheduler &Scheduler, KeyValueStore &Store, DutyId Duty,
            ProcessId Self, const DutyLeaseOptions &Options);
  DutyLease(const DutyLease &) = delete;
  auto operator=(const DutyLease &) -> DutyLease & = delete;
  ~DutyLease();

  /// Begins to campaign, and goes on until resign().
  auto start() -> void;

  /// Gives the duty up and stops campaigning; calls \p Done once the store has
  /// answered or could not be reached.
  auto resign(std::function<void()> Done) -> void;

  /// Stops campaigning and renewing; a duty that is held lapses by itself, and
  /// so does not change hands within its term.
  auto abandon() -> void;

  /// Whether the duty is held at this instant. Reads the clock.
  [[nodiscard]] auto held() const -> bool;

  /// Rises with each grant of the duty. \pre held() was true.
  [[nodiscard]] auto fencing() const -> FencingNumber { return m_Fencing; }

  /// A compare that makes a store transaction fail once the duty has passed
  /// on. \pre held() was true.
  [[nodiscard]] auto guard() const -> StoreCompare;

  /// Lets the process campaign only while \p Eligible says so, so that the
  /// store's reads do not grow with the number of processes.
  auto setEligible(std::function<bool()> Eligible) -> void {
    m_Eligible = std::move(Eligible);
  }

  /// Calls \p Callback after each grant.
  auto onGranted(std::function<void()> Callback) -> void {
    m_OnGranted = std::move(Callback);
  }

private:
  auto campaign() -> void;
  auto acquire(LeaseId Lease, MonotonicTime SentAt) -> void;
  auto renew() -> void;
  auto lose(const char *Reason) -> void;
  auto again(Duration Delay, void (DutyLease::*Step)()) -> void;
  [[nodiscard]] auto key() const -> std::string;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  DutyId m_Duty;
  ProcessId m_Self;
  DutyLeaseOptions m_Options;
  bool m_Running = false;
  LeaseId m_Lease;
  FencingNumber m_Fencing;
  std::optional<MonotonicTime> m_HeldUntil;
  std::optional<TimerId> m_Timer;
  std::function<void()> m_OnGranted;
  std::function<bool()> m_Eligible;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_LEASE_DUTYLEASE_H
