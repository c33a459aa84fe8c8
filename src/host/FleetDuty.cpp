#include "dotterel/host/FleetDuty.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <numeric>
#include <utility>

namespace dotterel {

namespace {

/// Added to the term within which holders must not alternate, so that a host
/// whose lease expires cannot acquire it again within that term.
constexpr auto TermMargin = Seconds(1);
/// Maximum drift between the clocks of the holder and the store over one term.
constexpr auto ClockDriftMargin = Milliseconds(1000);
constexpr auto RenewInterval = Milliseconds(1000);
constexpr auto CampaignInterval = Milliseconds(2000);

/// Store key of the plan, from which the next holder continues.
constexpr auto PlanKey = "fleet-plan";

auto leaseOptions(const ServiceBounds &Bounds) -> DutyLeaseOptions {
  return {.m_Term = std::chrono::ceil<Seconds>(Bounds.m_DutyTerm) + TermMargin,
          .m_ClockDriftMargin = ClockDriftMargin,
          .m_RenewInterval = RenewInterval,
          .m_CampaignInterval = CampaignInterval};
}

auto orderKey(const ServerOrder &Order) -> std::string {
  return fmt::format("{}/{}/{}", Order.m_Service.text(),
                     Order.m_DataCentre.text(),
                     Order.m_Reclaimable ? "reclaimable" : "ordinary");
}

} // namespace

FleetDuty::FleetDuty(Scheduler &Scheduler, KeyValueStore &Store,
                     FleetCalls &Calls, Random &Random, FleetDutyInputs Inputs,
                     const FleetDutyOptions &Options)
    : m_Scheduler(Scheduler), m_Store(Store), m_Calls(Calls),
      m_Inputs(std::move(Inputs)), m_Options(Options),
      m_Lease(Scheduler, Store, DutyId{"fleet"},
              ProcessId{Options.m_Host.text()}, leaseOptions(Options.m_Bounds)),
      m_Sealer(
          Scheduler, Store, m_Lease,
          [this](const UsageReport &Report,
                 const std::function<void(bool)> &Done) {
            reportUsage(Report, Done);
          },
          {.m_WindowLength = std::chrono::duration_cast<Seconds>(
               Options.m_Bounds.m_UsageWindow),
           .m_Grace = std::chrono::duration_cast<Duration>(
               Options.m_Bounds.m_UsageDue * Options.m_UsageGraceShare),
           .m_MinGrace = Options.m_MinUsageGrace,
           // Each host writes one segment per window, at the window's end.
           .m_AllWritten =
               [this](const std::vector<StoredValue> &Segments) {
                 return Segments.size() >= m_Inputs.m_HostCount();
               },
           .m_MaxReportDelay = Options.m_Bounds.m_ChecksFencing
                                   ? Duration::zero()
                                   : Options.m_MaxOrderDelay,
           .m_MaxDelayOfEarlierGrants = Options.m_Bounds.m_ChecksFencing
                                            ? Duration::zero()
                                            : Options.delayOfEarlierGrants(),
           .m_OnHeld = [this] { countEvent("usage", "held"); }}),
      m_Planner(Options.m_Planner),
      m_Stages(
          Scheduler, Store, Calls, m_Lease, m_Planner, m_Inputs,
          [this] { return mayAct() && m_CurrentFencing == m_Lease.fencing(); },
          m_Options),
      m_ReportBackoff(Random, Options.m_Backoff),
      m_OrderBackoff(Random, Options.m_Backoff) {}

FleetDuty::~FleetDuty() { *m_Alive = false; }

auto FleetDuty::start() -> void {
  m_Lease.setEligible(m_Inputs.m_Eligible);
  m_Lease.start();
  m_Timer.emplace(m_Scheduler, m_Options.m_StepInterval, [this] { step(); });
}

auto FleetDuty::stop() -> void {
  m_Timer.reset();
  m_Lease.abandon();
}

auto FleetDuty::mayAct() const -> bool {
  return m_Lease.held() && m_Lease.fencing() != m_RefusedFencing;
}

auto FleetDuty::recordRefusal(FencingNumber Number, const char *Matter)
    -> void {
  logWarning("duty.refused", {{"fencing", Number}, {"matter", Matter}});
  m_RefusedFencing = Number;
  if (m_Lease.held() && m_Lease.fencing() == Number)
    giveUp("the fencing token was refused");
}

auto FleetDuty::recordReach(OrderOutcome Outcome, MonotonicTime SentAt)
    -> void {
  if (isAnswered(Outcome)) {
    m_UnansweredSince.reset();
    return;
  }
  if (!m_UnansweredSince)
    m_UnansweredSince = SentAt;
  if (m_Scheduler.now() - *m_UnansweredSince >= m_Options.m_MaxUnanswered &&
      mayAct())
    giveUp("the platform does not answer");
}

auto FleetDuty::giveUp(const char *Reason) -> void {
  auto Unanswered = m_UnansweredSince ? m_Scheduler.now() - *m_UnansweredSince
                                      : Duration::zero();
  logWarning("duty.given-up",
             {{"fencing", m_Lease.fencing()},
              {"reason", Reason},
              {"unanswered_ms", toMilliseconds(Unanswered)},
              {"failed_reports", m_ReportBackoff.failures()},
              {"failed_orders", m_OrderBackoff.failures()},
              {"stand_down_ms", toMilliseconds(m_Options.m_StandDown)}});
  if (m_Inputs.m_OnGivenUp)
    m_Inputs.m_OnGivenUp(Reason);
  m_Lease.standDown(m_Options.m_StandDown);
}

auto FleetDuty::countEvent(const char *Matter, const char *Event) -> void {
  if (m_Inputs.m_OnOrderEvent)
    m_Inputs.m_OnOrderEvent(Matter, Event);
}

auto FleetDuty::reportUsage(const UsageReport &Report,
                            const std::function<void(bool)> &Done) -> void {
  auto Call = m_ReportBackoff.begin();
  if (std::exchange(m_SentReport, {Report.m_Window, Report.m_Fencing}) ==
      std::pair(Report.m_Window, Report.m_Fencing))
    countEvent("usage", "repeated");
  m_Calls.reportUsage(
      Report, [this, Done, Alive = m_Alive, Call, Window = Report.m_Window,
               Number = Report.m_Fencing,
               SentAt = m_Scheduler.now()](OrderOutcome Outcome) {
        if (!*Alive)
          return;
        auto Accepted = Outcome == OrderOutcome::Accepted;
        m_ReportBackoff.end(Call, Accepted, m_Scheduler.now());
        if (m_Inputs.m_OnOutcome)
          m_Inputs.m_OnOutcome("usage", Outcome);
        if (!Accepted)
          logWarning("usage.not-accepted",
                     {{"window", Window},
                      {"fencing", Number},
                      {"answer", nameOf(Outcome)},
                      {"failures", m_ReportBackoff.failures()}});
        recordReach(Outcome, SentAt);
        if (Outcome == OrderOutcome::Refused)
          recordRefusal(Number, "usage");
        Done(Accepted);
      });
}

auto FleetDuty::step() -> void {
  if (!mayAct())
    return;
  if (m_CurrentFencing != m_Lease.fencing()) {
    // The plan of a restored store may be older than that of its last holder,
    // which this host stores again in that case.
    auto LastHolder = m_StoredPlan && m_Lease.heldBeforeRestore() ==
                                          std::optional(m_CurrentFencing);
    m_StoredPlan = LastHolder ? std::optional(FleetPlan()) : std::nullopt;
    m_CurrentFencing = m_Lease.fencing();
    m_GrantSeenAt = m_Scheduler.now();
    m_OrdersHeldUntil = MonotonicTime();
    m_PlanRestored = LastHolder;
    if (LastHolder)
      holdOrders();
    m_UnansweredSince.reset();
    m_ServerOrders.clear();
    m_Stages.beginGrant();
    m_TargetOrders.clear();
  }
  // Windows stay in the store until the platform has accepted their reports.
  if (m_Stages.prepare() && m_ReportBackoff.mayCall(m_Scheduler.now()))
    m_Sealer.step();
  if (m_Inputs.m_Configuration() == nullptr || m_PlanCallPending)
    return;
  if (!m_StoredPlan) {
    readPlan();
    return;
  }
  continuePlan();
  m_Stages.step();
}

auto FleetDuty::holdOrders() -> void {
  if (m_Options.m_Bounds.m_ChecksFencing)
    return;
  m_OrdersHeldUntil = m_GrantSeenAt + m_Options.delayOfEarlierGrants();
  logInfo("fleet.orders-held",
          {{"fencing", m_CurrentFencing},
           {"reason", "orders of an earlier grant"},
           {"wait_ms", toMilliseconds(m_OrdersHeldUntil - m_GrantSeenAt)}});
  countEvent("servers", "held");
}

auto FleetDuty::readPlan() -> void {
  m_PlanCallPending = true;
  m_Store.read(
      KeyRange::single(PlanKey),
      [this, Alive = m_Alive, Number = m_CurrentFencing](const auto &Reply) {
        if (!*Alive)
          return;
        m_PlanCallPending = false;
        if (!Reply || Number != m_CurrentFencing)
          return;
        m_StoredPlan.emplace();
        const auto &Values = Reply.m_Response->m_Values;
        if (!Values.empty()) {
          try {
            m_StoredPlan = decodeFleetPlan(Values.front().m_Value);
          } catch (const ProtocolError &Failure) {
            // An empty plan makes the planner order the largest number of
            // servers, which is the safe choice.
            logError("fleet.plan-unreadable", {{"reason", Failure.what()}});
          }
        }
        logInfo("fleet.plan-read",
                {{"fencing", Number},
                 {"services", m_StoredPlan->m_Sizes.size()},
                 {"data_centres", m_StoredPlan->m_Supplies.size()}});
        // Orders follow a stored plan only, so that there were none without.
        // A restored store may have lost it.
        if (!Values.empty() || m_Store.history().restored())
          holdOrders();
        if (mayAct())
          continuePlan();
      });
}

auto FleetDuty::continuePlan() -> void {
  if (!m_PlanRestored) {
    // The planner expects servers from the time when it plans them.
    if (awaitsEarlierOrders())
      return;
    m_Planner.restore(*m_StoredPlan, m_Scheduler.now());
    m_PlanRestored = true;
  }
  planServers();
}

auto FleetDuty::planServers() -> void {
  auto Wanted =
      m_Planner.servers(*m_Inputs.m_Configuration(), m_Inputs.m_Directory,
                        m_Inputs.m_NeededEngines(), m_Scheduler.now());
  auto Plan = m_Planner.plan();
  if (Plan != *m_StoredPlan) {
    m_TargetOrders = std::move(Wanted);
    storePlan(std::move(Plan));
    return;
  }
  m_TargetOrders = std::move(Wanted);
  orderServers();
}

auto FleetDuty::storePlan(FleetPlan Plan) -> void {
  m_PlanCallPending = true;
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back(m_Lease.guard());
  Transaction.m_Writes.push_back(
      {.m_Key = PlanKey, .m_Value = encodeFleetPlan(Plan)});
  m_Store.commit(std::move(Transaction),
                 [this, Alive = m_Alive, Number = m_CurrentFencing,
                  Plan = std::move(Plan)](const auto &Reply) {
                   if (!*Alive)
                     return;
                   m_PlanCallPending = false;
                   // If the transaction was not applied, the next step retries
                   // it while this host holds the duty.
                   if (!Reply || !Reply.m_Response->m_Applied ||
                       Number != m_CurrentFencing)
                     return;
                   m_StoredPlan = Plan;
                   if (mayAct())
                     orderServers();
                 });
}

auto FleetDuty::isDue(const ServerOrder &Order, MonotonicTime Now) -> bool {
  auto &Last = m_ServerOrders[orderKey(Order)];
  if (Last.m_Pending || (Last.m_Accepted && Last.m_Count == Order.m_Count))
    return false;
  if (Last.m_Count != Order.m_Count &&
      !mayReplaceOrder(Last.m_Copies.isComplete(Now),
                       m_Options.m_Bounds.m_ChecksFencing)) {
    if (!std::exchange(Last.m_Held, true)) {
      auto Until = Last.m_Copies.openUntil(Now, m_Options.m_MaxOrderDelay);
      logInfo("fleet.order-held",
              {{"service", Order.m_Service},
               {"data_centre", Order.m_DataCentre},
               {"reclaimable", Order.m_Reclaimable},
               {"count", Order.m_Count},
               {"earlier_count", Last.m_Count},
               {"fencing", m_CurrentFencing},
               {"wait_ms", toMilliseconds(Until.value_or(Now) - Now)}});
      countEvent("servers", "held");
    }
    return false;
  }
  auto Delay = Last.m_Rejected ? m_Options.m_RejectedOrderDelay
                               : m_Options.m_OrderRetryDelay;
  return Last.m_Count != Order.m_Count || Last.m_SentAt == MonotonicTime() ||
         Now - Last.m_SentAt >= Delay;
}

auto FleetDuty::mustWaitForOther(const ServerOrder &Order) -> bool {
  auto Increases = Order.m_Count > m_ServerOrders[orderKey(Order)].m_Count;
  return std::any_of(
      m_TargetOrders.begin(), m_TargetOrders.end(),
      [&](const ServerOrder &Other) {
        if (Other.m_Service != Order.m_Service ||
            Other.m_DataCentre != Order.m_DataCentre ||
            Other.m_Reclaimable == Order.m_Reclaimable)
          return false;
        const auto &Sent = m_ServerOrders[orderKey(Other)];
        // A rejected decrease is never executed; waiting for it has no end.
        auto InForce = m_Options.m_Bounds.m_ChecksFencing || Sent.m_Rejected
                           ? Sent.m_Count
                           : Sent.m_MaxInForce;
        return Sent.m_Pending || (Increases && Other.m_Count < InForce);
      });
}

auto FleetDuty::orderServers() -> void {
  if (awaitsEarlierOrders())
    return;
  auto Now = m_Scheduler.now();
  const auto &Orders = m_TargetOrders;
  // The platform may fail for some orders alone, so that the ones that were not
  // sent for the longest time go first.
  auto Sequence = std::vector<std::size_t>(Orders.size());
  std::iota(Sequence.begin(), Sequence.end(), std::size_t{0});
  if (m_OrderBackoff.failures() > 0)
    std::stable_sort(Sequence.begin(), Sequence.end(),
                     [&](std::size_t Left, std::size_t Right) {
                       return m_ServerOrders[orderKey(Orders[Left])].m_SentAt <
                              m_ServerOrders[orderKey(Orders[Right])].m_SentAt;
                     });
  // Ordinary and reclaimable servers of a data centre share one upper bound, so
  // a decrease of one kind must be accepted before the other is increased.
  for (auto Index : Sequence) {
    const auto &Order = Orders[Index];
    if (!m_OrderBackoff.mayCall(Now))
      return;
    if (!isDue(Order, Now))
      continue;
    if (!mustWaitForOther(Order))
      send(Order);
  }
}

auto FleetDuty::send(const ServerOrder &Order) -> void {
  auto Number = m_Lease.fencing();
  auto &Last = m_ServerOrders[orderKey(Order)];
  auto Repeated = Last.m_Number > 0 && Last.m_Count == Order.m_Count;
  if (Repeated)
    countEvent("servers", "repeated");
  Last = {.m_Count = Order.m_Count,
          .m_Pending = true,
          .m_SentAt = m_Scheduler.now(),
          .m_Number = Repeated ? Last.m_Number + 1 : 1,
          .m_MaxInForce = std::max(Last.m_MaxInForce, Order.m_Count),
          .m_Copies = Last.m_Copies};
  Last.m_Copies.recordSent();
  m_Calls.orderServers(Order, Number,
                       [this, Alive = m_Alive, Order, Copy = Last.m_Number,
                        Number, Call = m_OrderBackoff.begin(),
                        SentAt = m_Scheduler.now()](OrderOutcome Outcome) {
                         if (!*Alive)
                           return;
                         // An answer about this order alone does not slow the
                         // others down.
                         m_OrderBackoff.end(
                             Call,
                             !mayStillArrive(Outcome) &&
                                 Outcome != OrderOutcome::NotSent &&
                                 Outcome != OrderOutcome::Throttled,
                             m_Scheduler.now());
                         handleOutcome(Order, Copy, Number, Outcome);
                         recordReach(Outcome, SentAt);
                       });
}

auto FleetDuty::handleOutcome(const ServerOrder &Order, std::uint32_t Copy,
                              FencingNumber Number, OrderOutcome Outcome)
    -> void {
  logInfo("fleet.ordered", {{"service", Order.m_Service},
                            {"data_centre", Order.m_DataCentre},
                            {"count", Order.m_Count},
                            {"reclaimable", Order.m_Reclaimable},
                            {"fencing", Number},
                            {"copy", Copy},
                            {"answer", nameOf(Outcome)},
                            {"failures", m_OrderBackoff.failures()}});
  if (m_Inputs.m_OnOutcome)
    m_Inputs.m_OnOutcome("servers", Outcome);
  // Orders of an earlier grant are no longer tracked. An answer to one says
  // nothing about the newer order for its subject.
  if (Number != m_CurrentFencing && !m_Options.m_Bounds.m_ChecksFencing)
    return;
  auto &Last = m_ServerOrders[orderKey(Order)];
  if (Number == m_CurrentFencing)
    Last.m_Copies.recordOutcome(Outcome, m_Scheduler.now(),
                                m_Options.m_MaxOrderDelay);
  Last.m_Pending = false;
  Last.m_Accepted = Outcome == OrderOutcome::Accepted;
  Last.m_Rejected = Outcome == OrderOutcome::Rejected;
  if (Last.m_Accepted)
    Last.m_MaxInForce = Order.m_Count;
  if (Last.m_Rejected)
    logError("fleet.order-rejected", {{"service", Order.m_Service},
                                      {"data_centre", Order.m_DataCentre},
                                      {"count", Order.m_Count},
                                      {"reclaimable", Order.m_Reclaimable}});
  // Orders for reclaimable servers are also refused while none are available,
  // so such a refusal does not imply an old fencing token.
  if (Outcome == OrderOutcome::Refused && !Order.m_Reclaimable)
    recordRefusal(Number, "servers");
}

} // namespace dotterel
