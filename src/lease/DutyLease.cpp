#include "dotterel/lease/DutyLease.h"

#include "dotterel/base/Log.h"
#include "dotterel/store/FencingToken.h"

#include <fmt/format.h>
#include <utility>

namespace dotterel {

DutyLease::DutyLease(Scheduler &Scheduler, KeyValueStore &Store, DutyId Duty,
                     ProcessId Self, const DutyLeaseOptions &Options)
    : m_Scheduler(Scheduler), m_Store(Store), m_Duty(std::move(Duty)),
      m_Self(std::move(Self)), m_Options(Options) {
  m_Store.history().onRestored([this, Alive = m_Alive] {
    if (*Alive)
      handleRestore();
  });
}

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

auto DutyLease::standDown(Duration Span) -> void {
  if (!m_Running)
    return;
  ++m_Step;
  m_HeldUntil.reset();
  m_Lease = LeaseId{};
  m_StandDownUntil = m_Scheduler.now() + Span;
  scheduleCampaign();
}

auto DutyLease::held() const -> bool {
  return m_HeldUntil && m_Scheduler.now() < *m_HeldUntil;
}

auto DutyLease::guard() const -> StoreCompare {
  // Not the duty's own key: a restored store may assign its revision to the
  // grant of another process.
  return {.m_Key = m_GrantKey, .m_Modified = m_GrantedAt};
}

auto DutyLease::newGrantKey() const -> std::string {
  return fmt::format("duty-grants/{}/{}.{}", m_Duty.text(), m_Self.text(),
                     m_Scheduler.now().time_since_epoch().count());
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

auto DutyLease::scheduleCampaign() -> void {
  scheduleNext(m_Options.m_CampaignInterval, &DutyLease::campaign);
}

auto DutyLease::campaign() -> void {
  if (m_Scheduler.now() < m_StandDownUntil || (m_Eligible && !m_Eligible())) {
    scheduleCampaign();
    return;
  }
  // Reads first, so that campaigners that do not win cause no writes.
  m_Store.read(KeyRange::single(key()), [this, Alive = m_Alive,
                                         Step = ++m_Step](const auto &Reply) {
    if (!*Alive || !isCurrent(Step))
      return;
    if (!Reply) {
      scheduleCampaign();
      return;
    }
    auto Replaced = StoreRevision();
    if (!Reply->m_Values.empty()) {
      const auto &Holder = Reply->m_Values.front();
      // A copy of the store may hold this process's grant, under a lease that
      // cannot be told from one that was assigned again.
      if (!m_HeldBeforeRestore || Holder.m_Value != m_Self.text()) {
        scheduleCampaign();
        return;
      }
      Replaced = Holder.m_Modified;
    }
    requestLease(Step, Replaced);
  });
}

auto DutyLease::requestLease(std::uint64_t Step, StoreRevision Replaced)
    -> void {
  auto SentAt = m_Scheduler.now();
  m_Store.grantLease(m_Options.m_Term, [this, Alive = m_Alive, Step, Replaced,
                                        SentAt](const auto &Granted) {
    if (!*Alive || !isCurrent(Step))
      return;
    if (!Granted) {
      scheduleCampaign();
      return;
    }
    acquire(Step, *Granted.m_Response, Replaced, SentAt);
  });
}

auto DutyLease::acquire(std::uint64_t Step, LeaseId Lease,
                        StoreRevision Replaced, MonotonicTime SentAt) -> void {
  auto GrantKey = newGrantKey();
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back({.m_Key = key(), .m_Modified = Replaced});
  Transaction.m_Compares.push_back({.m_Key = GrantKey});
  Transaction.m_Writes.push_back(
      {.m_Key = key(), .m_Value = m_Self.text(), .m_Lease = Lease});
  Transaction.m_Writes.push_back(
      {.m_Key = GrantKey, .m_Value = m_Self.text(), .m_Lease = Lease});
  m_Store.commit(std::move(Transaction), [this, Alive = m_Alive, Step, Lease,
                                          GrantKey, SentAt](const auto &Reply) {
    if (!*Alive || !isCurrent(Step))
      return;
    if (!Reply || !Reply->m_Applied) {
      // If only the response was lost, the key is held under this lease, which
      // is not renewed and expires.
      scheduleCampaign();
      return;
    }
    m_Lease = Lease;
    m_GrantKey = GrantKey;
    m_GrantedAt = Reply->m_Revision;
    m_Fencing = fencingToken(Reply->m_Revision);
    m_TermEnds = SentAt + m_Options.m_Term;
    m_HeldUntil = *m_TermEnds - m_Options.m_ClockDriftMargin;
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
  m_Store.renewLease(m_Lease, [this, Alive = m_Alive, Step = ++m_Step,
                               SentAt](const auto &Reply) {
    if (!*Alive || !isCurrent(Step))
      return;
    if (Reply && *Reply.m_Response == Seconds::zero()) {
      handleLoss("lapsed in the store", m_Options.m_CampaignInterval);
      return;
    }
    if (Reply) {
      auto Regained = !m_HeldUntil.has_value();
      m_TermEnds = SentAt + m_Options.m_Term;
      m_HeldUntil = *m_TermEnds - m_Options.m_ClockDriftMargin;
      if (Regained)
        logInfo("duty.regained",
                {{"duty", m_Duty}, {"holder", m_Self}, {"fencing", m_Fencing}});
    }
    scheduleNext(m_Options.m_RenewInterval, &DutyLease::renew);
  });
}

auto DutyLease::handleRestore() -> void {
  auto HeldToTheEnd = m_TermEnds && m_Scheduler.now() < *m_TermEnds;
  m_HeldBeforeRestore = HeldToTheEnd ? std::optional(m_Fencing) : std::nullopt;
  ++m_Step;
  if (m_Lease != LeaseId{})
    handleLoss("the store was restored", Duration::zero());
  else
    scheduleCampaign();
}

auto DutyLease::handleLoss(const char *Reason, Duration CampaignDelay) -> void {
  m_HeldUntil.reset();
  m_TermEnds.reset();
  m_Lease = LeaseId{};
  logWarning("duty.lost",
             {{"duty", m_Duty}, {"holder", m_Self}, {"reason", Reason}});
  scheduleNext(CampaignDelay, &DutyLease::campaign);
}

} // namespace dotterel
