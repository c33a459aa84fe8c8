#include "dotterel/host/FleetDuty.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace dotterel {

namespace {

/// Added to the term within which holders must not take turns, so that a lease
/// that lapses never comes back to its old holder within that term.
constexpr auto TermReserve = Seconds(1);
/// Bounds the drift between the clocks of holder and store over one term.
constexpr auto LeaseMargin = Milliseconds(1000);
constexpr auto RenewInterval = Milliseconds(1000);
constexpr auto CampaignInterval = Milliseconds(2000);

/// Where a holder leaves its plan to the next one.
constexpr auto PlanKey = "fleet-plan";

auto leaseOptions(const ServiceBounds &Bounds) -> DutyLeaseOptions {
  return {.m_Term = std::chrono::ceil<Seconds>(Bounds.m_DutyTerm) + TermReserve,
          .m_Margin = LeaseMargin,
          .m_RenewInterval = RenewInterval,
          .m_CampaignInterval = CampaignInterval};
}

auto orderKey(const ServerOrder &Order) -> std::string {
  return fmt::format("{}/{}/{}", Order.m_Service.text(),
                     Order.m_DataCentre.text(),
                     Order.m_Reclaimable ? "reclaimable" : "ordinary");
}

auto nameOf(OrderAnswer Answer) -> const char * {
  switch (Answer) {
  case OrderAnswer::Accepted:
    return "accepted";
  case OrderAnswer::Refused:
    return "refused";
  case OrderAnswer::NotSent:
    return "not_sent";
  case OrderAnswer::Unknown:
    return "unknown";
  }
  return "";
}

} // namespace

FleetDuty::FleetDuty(Scheduler &Scheduler, KeyValueStore &Store,
                     FleetCalls &Calls, FleetDutyInputs Inputs,
                     const FleetDutyOptions &Options)
    : m_Scheduler(Scheduler), m_Store(Store), m_Calls(Calls),
      m_Inputs(std::move(Inputs)), m_Options(Options),
      m_Lease(Scheduler, Store, DutyId{"fleet"},
              ProcessId{Options.m_Host.text()}, leaseOptions(Options.m_Bounds)),
      m_Sealer(Scheduler, Store, m_Lease,
               [this](const UsageReport &Report,
                      const std::function<void(bool)> &Done) {
                 m_Calls.reportUsage(
                     Report, [this, Done, Alive = m_Alive,
                              Number = Report.m_Fencing](OrderAnswer Answer) {
                       if (!*Alive)
                         return;
                       if (Answer == OrderAnswer::Refused)
                         refusedFor(Number, "usage");
                       Done(Answer == OrderAnswer::Accepted);
                     });
               },
               {.m_WindowLength = std::chrono::duration_cast<Seconds>(
                    Options.m_Bounds.m_UsageWindow),
                .m_Grace = std::chrono::duration_cast<Duration>(
                    Options.m_Bounds.m_UsageDue * Options.m_UsageGraceShare),
                .m_EarliestGrace = Options.m_EarliestUsageGrace,
                // A host writes one segment of a window, at the window's end.
                .m_AllWritten =
                    [this](const std::vector<StoredValue> &Segments) {
                      return Segments.size() >= m_Inputs.m_Hosts();
                    }}),
      m_Planner(Options.m_Planner) {}

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
  return m_Lease.held() && m_Lease.fencing() != m_Refused;
}

auto FleetDuty::refusedFor(FencingNumber Number, const char *Matter) -> void {
  logWarning("duty.refused", {{"fencing", Number}, {"matter", Matter}});
  m_Refused = Number;
}

auto FleetDuty::step() -> void {
  if (!mayAct())
    return;
  if (m_Holding != m_Lease.fencing()) {
    m_Holding = m_Lease.fencing();
    m_ServerOrders.clear();
    m_StageOrders.clear();
    m_StoredPlan.reset();
    m_Wanted.clear();
  }
  m_Sealer.step();
  if (m_Inputs.m_Configuration() == nullptr || m_PlanBusy)
    return;
  if (!m_StoredPlan) {
    readPlan();
    return;
  }
  planServers();
  orderStages();
}

auto FleetDuty::readPlan() -> void {
  m_PlanBusy = true;
  m_Store.read(
      KeyRange::single(PlanKey),
      [this, Alive = m_Alive, Number = m_Holding](const auto &Reply) {
        if (!*Alive)
          return;
        m_PlanBusy = false;
        if (!Reply || Number != m_Holding)
          return;
        m_StoredPlan.emplace();
        const auto &Values = Reply.m_Answer->m_Values;
        if (!Values.empty()) {
          try {
            m_StoredPlan = decodeFleetPlan(Values.front().m_Value);
          } catch (const ProtocolError &Failure) {
            // A first plan orders the most, which errs on the safe side.
            logError("fleet.plan-unreadable", {{"reason", Failure.what()}});
          }
        }
        logInfo("fleet.plan-read",
                {{"fencing", Number},
                 {"services", m_StoredPlan->m_Sizes.size()},
                 {"data_centres", m_StoredPlan->m_Supplies.size()}});
        m_Planner.restore(*m_StoredPlan, m_Scheduler.now());
        if (mayAct())
          planServers();
      });
}

auto FleetDuty::planServers() -> void {
  auto Wanted =
      m_Planner.servers(*m_Inputs.m_Configuration(), m_Inputs.m_Directory,
                        m_Inputs.m_Busy(), m_Scheduler.now());
  auto Plan = m_Planner.plan();
  if (Plan != *m_StoredPlan) {
    m_Wanted = std::move(Wanted);
    storePlan(std::move(Plan));
    return;
  }
  m_Wanted = std::move(Wanted);
  orderServers();
}

auto FleetDuty::storePlan(FleetPlan Plan) -> void {
  m_PlanBusy = true;
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back(m_Lease.guard());
  Transaction.m_Writes.push_back(
      {.m_Key = PlanKey, .m_Value = encodeFleetPlan(Plan)});
  m_Store.commit(
      std::move(Transaction), [this, Alive = m_Alive, Number = m_Holding,
                               Plan = std::move(Plan)](const auto &Reply) {
        if (!*Alive)
          return;
        m_PlanBusy = false;
        // Not taken: the next step tries again, if this host still
        // holds the duty.
        if (!Reply || !Reply.m_Answer->m_Applied || Number != m_Holding)
          return;
        m_StoredPlan = Plan;
        if (mayAct())
          orderServers();
      });
}

auto FleetDuty::due(const ServerOrder &Order, MonotonicTime Now) -> bool {
  auto &Last = m_ServerOrders[orderKey(Order)];
  if (Last.m_Pending || (Last.m_Accepted && Last.m_Count == Order.m_Count))
    return false;
  return Last.m_Count != Order.m_Count || Last.m_At == MonotonicTime() ||
         Now - Last.m_At >= m_Options.m_OrderRetry;
}

auto FleetDuty::orderServers() -> void {
  auto Now = m_Scheduler.now();
  const auto &Orders = m_Wanted;
  // Both kinds of a data centre share one bound: the number that falls is
  // ordered, and accepted, before the other one rises.
  for (auto Index = std::size_t{0}; Index < Orders.size(); ++Index) {
    const auto &Order = Orders[Index];
    if (!due(Order, Now))
      continue;
    auto Rises = Order.m_Count > m_ServerOrders[orderKey(Order)].m_Count;
    auto Waits = std::any_of(
        Orders.begin(), Orders.end(), [&](const ServerOrder &Other) {
          if (Other.m_Service != Order.m_Service ||
              Other.m_DataCentre != Order.m_DataCentre ||
              Other.m_Reclaimable == Order.m_Reclaimable)
            return false;
          const auto &Given = m_ServerOrders[orderKey(Other)];
          return Given.m_Pending || (Rises && Other.m_Count < Given.m_Count);
        });
    if (!Waits)
      send(Order);
  }
}

auto FleetDuty::send(const ServerOrder &Order) -> void {
  auto Number = m_Lease.fencing();
  m_ServerOrders[orderKey(Order)] = {
      .m_Count = Order.m_Count, .m_Pending = true, .m_At = m_Scheduler.now()};
  m_Calls.orderServers(
      Order, Number,
      [this, Alive = m_Alive, Order, Number](OrderAnswer Answer) {
        if (!*Alive)
          return;
        logInfo("fleet.ordered", {{"service", Order.m_Service},
                                  {"data_centre", Order.m_DataCentre},
                                  {"count", Order.m_Count},
                                  {"reclaimable", Order.m_Reclaimable},
                                  {"fencing", Number},
                                  {"answer", nameOf(Answer)}});
        // Servers that can be reclaimed are also refused when none are to be
        // had at the moment.
        if (Answer == OrderAnswer::Refused && !Order.m_Reclaimable)
          refusedFor(Number, "servers");
        auto &Last = m_ServerOrders[orderKey(Order)];
        Last.m_Pending = false;
        Last.m_Accepted = Answer == OrderAnswer::Accepted;
      });
}

auto FleetDuty::orderStages() -> void {
  auto Now = m_Scheduler.now();
  const auto &Configuration = *m_Inputs.m_Configuration();
  auto Orders =
      m_Planner.stages(Configuration, m_Inputs.m_Directory, m_Inputs.m_Idle());
  for (const auto &Order : Orders) {
    auto &Last = m_StageOrders[Order.m_Backend];
    const auto *Engine = m_Inputs.m_Directory.find(Order.m_Backend);
    auto Pause = m_Options.m_StageReserve;
    if (auto Service = Configuration.m_Services.find(Engine->m_Service);
        Service != Configuration.m_Services.end() && Service->second.m_Engine)
      Pause += Service->second.m_Engine->m_RoleChangeTime;
    if (Last.m_At != MonotonicTime() && Now - Last.m_At < Pause)
      continue;
    Last.m_At = Now;
    send(Order);
  }
}

auto FleetDuty::send(const StageOrder &Order) -> void {
  auto Number = m_Lease.fencing();
  m_Calls.orderStage(Order, Number, [Order, Number](OrderAnswer Answer) {
    logInfo("fleet.stage-ordered",
            {{"backend", Order.m_Backend},
             {"stage",
              Order.m_Stage == EngineStage::Prefill ? "prefill" : "decode"},
             {"fencing", Number},
             {"answer", nameOf(Answer)}});
  });
}

} // namespace dotterel
