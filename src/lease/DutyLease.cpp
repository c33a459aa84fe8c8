#include "dotterel/lease/DutyLease.h"

#include "dotterel/base/Log.h"

#include <utility>

namespace dotterel {

DutyLease::DutyLease(Scheduler &Scheduler, KeyValueStore &Store, DutyId Duty,
                     ProcessId Self, const DutyLeaseOptions &Options)
    : m_Scheduler(Scheduler), m_Store(Store), m_Duty(std::move(Duty)),
      m_Self(std::move(Self)), m_Options(Options) {}

DutyLease::~DutyLease() {
  *m_Alive = false;
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
}

auto DutyLease::start() -> void {
  m_Running = true;
  campaign();
}

auto DutyLease::resign(std::function<void()> Done) -> void {
  m_Running = false;
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
  m_Timer.reset();
  m_HeldUntil.reset();
  if (m_Lease == LeaseId{}) {
    Done();
    return;
  }
  m_Store.revokeLease(std::exchange(m_Lease, LeaseId{}),
                      [Done = std::move(Done)](const auto &) { Done(); });
}

auto DutyLease::abandon() -> void {
  m_Running = false;
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
  m_Timer.reset();
  m_HeldUntil.reset();
}

auto DutyLease::held() const -> bool {
  return m_HeldUntil && m_Scheduler.now() < *m_HeldUntil;
}

auto DutyLease::guard() const -> StoreCompare {
  return {.m_Key = key(), .m_Modified = StoreRevision{m_Fencing.number()}};
}

auto DutyLease::key() const -> std::string { return "duties/" + m_Duty.text(); }

auto DutyLease::scheduleNext(Duration Delay, void (DutyLease::*Step)())
    -> void {
  if (!m_Running)
    return;
  if (m_Timer)
    m_Scheduler.cancel(*m_Timer);
  m_Timer = m_Scheduler.schedule(Delay, [this, Step] {
    m_Timer.reset();
    (this->*Step)();
  });
}

auto DutyLease::campaign() -> void {
  if (m_Eligible && !m_Eligible()) {
    scheduleNext(m_Options.m_CampaignInterval, &DutyLease::campaign);
    return;
  }
  // Reads first, so that campaigners that do not win cause no writes.
  m_Store.read(
      KeyRange::single(key()), [this, Alive = m_Alive](const auto &Reply) {
        if (!*Alive || !m_Running)
          return;
        if (!Reply || !Reply->m_Values.empty()) {
          scheduleNext(m_Options.m_CampaignInterval, &DutyLease::campaign);
          return;
        }
        auto SentAt = m_Scheduler.now();
        m_Store.grantLease(m_Options.m_Term, [this, Alive,
                                              SentAt](const auto &Granted) {
          if (!*Alive || !m_Running)
            return;
          if (!Granted) {
            scheduleNext(m_Options.m_CampaignInterval, &DutyLease::campaign);
            return;
          }
          acquire(*Granted.m_Response, SentAt);
        });
      });
}

auto DutyLease::acquire(LeaseId Lease, MonotonicTime SentAt) -> void {
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back({.m_Key = key()});
  Transaction.m_Writes.push_back(
      {.m_Key = key(), .m_Value = m_Self.text(), .m_Lease = Lease});
  m_Store.commit(std::move(Transaction), [this, Alive = m_Alive, Lease,
                                          SentAt](const auto &Reply) {
    if (!*Alive || !m_Running)
      return;
    if (!Reply || !Reply->m_Applied) {
      // If only the response was lost, the key is held under this lease, which
      // is not renewed and expires.
      scheduleNext(m_Options.m_CampaignInterval, &DutyLease::campaign);
      return;
    }
    m_Lease = Lease;
    m_Fencing = FencingNumber{Reply->m_Revision.number()};
    m_HeldUntil = SentAt + m_Options.m_Term - m_Options.m_ClockDriftMargin;
    logInfo("duty.granted",
            {{"duty", m_Duty}, {"holder", m_Self}, {"fencing", m_Fencing}});
    scheduleNext(m_Options.m_RenewInterval, &DutyLease::renew);
    if (held() && m_OnGranted)
      m_OnGranted();
  });
}

auto DutyLease::renew() -> void {
  // The store may still hold a lease that has expired by this process's clock,
  // for example after an outage. While it does, no other process can have read
  // the duty as free.
  if (!held() && std::exchange(m_HeldUntil, std::nullopt))
    logWarning("duty.lost",
               {{"duty", m_Duty}, {"holder", m_Self}, {"reason", "lapsed"}});
  auto SentAt = m_Scheduler.now();
  m_Store.renewLease(m_Lease, [this, Alive = m_Alive,
                               SentAt](const auto &Reply) {
    if (!*Alive || !m_Running)
      return;
    if (Reply && *Reply.m_Response == Seconds::zero()) {
      handleLoss("lapsed in the store");
      return;
    }
    if (Reply) {
      auto Regained = !m_HeldUntil.has_value();
      m_HeldUntil = SentAt + m_Options.m_Term - m_Options.m_ClockDriftMargin;
      if (Regained)
        logInfo("duty.regained",
                {{"duty", m_Duty}, {"holder", m_Self}, {"fencing", m_Fencing}});
    }
    scheduleNext(m_Options.m_RenewInterval, &DutyLease::renew);
  });
}

auto DutyLease::handleLoss(const char *Reason) -> void {
  m_HeldUntil.reset();
  m_Lease = LeaseId{};
  logWarning("duty.lost",
             {{"duty", m_Duty}, {"holder", m_Self}, {"reason", Reason}});
  scheduleNext(m_Options.m_CampaignInterval, &DutyLease::campaign);
}

} // namespace dotterel
