//===- DutyLease.h - Lease of a duty ----------------------------*- C++ -*-===//
///
/// \file
/// Campaigns for a duty and holds it by a lease in the store, so that at most
/// one process holds the duty at a time.
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
  /// Subtracted from the term: maximum drift between the clocks of the holder
  /// and the store over one term.
  Duration m_ClockDriftMargin = Seconds(2);
  Duration m_RenewInterval = Seconds(2);
  Duration m_CampaignInterval = Seconds(2);
};

/// Campaigns for one duty on behalf of one process and renews its lease.
///
/// \invariant held() is true only until term minus clock drift margin after the
/// newest successful renewal was sent, by this process's monotonic clock. The
/// store counts the term from the arrival of the renewal, which is later.
/// \invariant A restored store ends the holding: the grant may be unknown to
/// it, and it may assign the number of the lease again.
class DutyLease {
public:
  DutyLease(Scheduler &Scheduler, KeyValueStore &Store, DutyId Duty,
            ProcessId Self, const DutyLeaseOptions &Options);
  DutyLease(const DutyLease &) = delete;
  auto operator=(const DutyLease &) -> DutyLease & = delete;
  ~DutyLease();

  /// Starts campaigning, and continues until resign() or abandon().
  auto start() -> void;

  /// Revokes the lease and stops campaigning. Calls \p Done once the store has
  /// responded or could not be reached.
  auto resign(std::function<void()> Done) -> void;

  /// Stops campaigning and renewing. A lease that is held expires by itself, so
  /// that no other process acquires the duty within the term.
  auto abandon() -> void;

  /// Gives the duty up for others: stops renewing, so that the lease expires by
  /// itself, and campaigns again after \p Span.
  auto standDown(Duration Span) -> void;

  /// Returns whether the duty is held at this instant. Reads the clock.
  [[nodiscard]] auto held() const -> bool;

  /// Returns the fencing token, which increases with each grant of the duty.
  /// \pre held() was true.
  [[nodiscard]] auto fencing() const -> FencingNumber { return m_Fencing; }

  /// Returns the fencing token under which this process held the duty until the
  /// store was restored most recently; empty if another process may have held
  /// it last.
  [[nodiscard]] auto heldBeforeRestore() const -> std::optional<FencingNumber> {
    return m_HeldBeforeRestore;
  }

  /// Returns a compare that makes a store transaction fail once another process
  /// has acquired the duty. \pre held() was true.
  [[nodiscard]] auto guard() const -> StoreCompare;

  /// Makes the process campaign only while \p Eligible returns true, so that
  /// the number of store reads does not grow with the number of processes.
  auto setEligible(std::function<bool()> Eligible) -> void {
    m_Eligible = std::move(Eligible);
  }

  /// Registers a callback that is called after each grant.
  auto onGranted(std::function<void()> Callback) -> void {
    m_OnGranted = std::move(Callback);
  }

private:
  auto campaign() -> void;
  auto requestLease(std::uint64_t Step, StoreRevision Replaced) -> void;
  /// Acquires the duty if its key has the revision \p Replaced.
  auto acquire(std::uint64_t Step, LeaseId Lease, StoreRevision Replaced,
               MonotonicTime SentAt) -> void;
  auto renew() -> void;
  auto handleLoss(const char *Reason, Duration CampaignDelay) -> void;
  auto handleRestore() -> void;
  auto scheduleCampaign() -> void;
  /// Returns whether the step with the number \p Step is the newest one.
  [[nodiscard]] auto isCurrent(std::uint64_t Step) const -> bool {
    return m_Running && Step == m_Step;
  }
  /// Runs \p Step after \p Delay, in place of any step that is scheduled.
  auto scheduleNext(Duration Delay, void (DutyLease::*Step)()) -> void;
  /// Returns the store key of the duty.
  [[nodiscard]] auto key() const -> std::string;
  /// Returns a key for a new grant, which no other grant has, also in another
  /// history of the store.
  [[nodiscard]] auto newGrantKey() const -> std::string;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  DutyId m_Duty;
  ProcessId m_Self;
  DutyLeaseOptions m_Options;
  bool m_Running = false;
  /// Incremented by each step and by a restore. A response to an earlier step
  /// is ignored.
  std::uint64_t m_Step = 0;
  LeaseId m_Lease;
  FencingNumber m_Fencing;
  std::string m_GrantKey;
  StoreRevision m_GrantedAt;
  std::optional<MonotonicTime> m_HeldUntil;
  /// Time before which the store grants the duty to no other process.
  std::optional<MonotonicTime> m_TermEnds;
  std::optional<FencingNumber> m_HeldBeforeRestore;
  /// Time before which this process does not campaign.
  MonotonicTime m_StandDownUntil;
  std::optional<TimerId> m_Timer;
  std::function<void()> m_OnGranted;
  std::function<bool()> m_Eligible;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_LEASE_DUTYLEASE_H
