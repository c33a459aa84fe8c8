#include "dotterel/host/StageOrders.h"

#include "dotterel/base/Errors.h"
#include "dotterel/base/Log.h"
#include "dotterel/usage/UsageKeys.h"

#include <utility>

namespace dotterel {

namespace {

/// Store key of the record of open orders.
constexpr auto RecordKey = "fleet-stage-orders";

auto nameOf(EngineStage Stage) -> const char * {
  return Stage == EngineStage::Prefill ? "prefill" : "decode";
}

auto openOrdersOptions(const FleetDutyOptions &Options) -> OpenOrdersOptions {
  return {.m_MaxDelay = Options.m_MaxOrderDelay,
          .m_MaxDelayOfEarlierGrants = Options.delayOfEarlierGrants()};
}

} // namespace

StageOrders::StageOrders(Scheduler &Scheduler, KeyValueStore &Store,
                         FleetCalls &Calls, const DutyLease &Lease,
                         const FleetPlanner &Planner,
                         const FleetDutyInputs &Inputs,
                         std::function<bool()> MayAct,
                         const FleetDutyOptions &Options)
    : m_Scheduler(Scheduler), m_Store(Store), m_Calls(Calls), m_Lease(Lease),
      m_Planner(Planner), m_Inputs(Inputs), m_MayAct(std::move(MayAct)),
      m_Options(Options), m_Open(openOrdersOptions(Options)) {}

auto StageOrders::beginGrant() -> void {
  m_Fencing = m_Lease.fencing();
  m_Sent.clear();
  m_HeldEngines.clear();
  m_Open.beginGrant(m_Scheduler.now());
  m_RecordRead = false;
  // Responses to calls of an earlier grant are ignored.
  m_StoreCallPending = false;
  m_WriteOutcomeUnknown = false;
}

auto StageOrders::prepare() -> bool {
  if (checksFencing())
    return true;
  if (!m_RecordRead && !m_StoreCallPending)
    readRecord();
  return m_Open.inherited();
}

auto StageOrders::step() -> void {
  if (checksFencing()) {
    send(dueOrders());
    return;
  }
  if (!prepare() || !m_RecordRead || m_StoreCallPending)
    return;
  auto Engines = m_Open.engines(m_Scheduler.now());
  if (!Engines)
    return;
  auto Orders = dueOrders();
  std::erase_if(Orders, [&](const StageOrder &Order) {
    if (!Engines->contains(Order.m_Backend) &&
        Engines->size() >= m_Options.m_MaxOpenStageOrders)
      return true;
    Engines->insert(Order.m_Backend);
    return false;
  });
  auto Record = OpenOrderRecord{.m_Era = m_Store.history().era(),
                                .m_Engines = *std::move(Engines)};
  if (m_Record == Record && !m_WriteOutcomeUnknown)
    send(Orders);
  else
    storeRecord(std::move(Record), std::move(Orders));
}

auto StageOrders::readRecord() -> void {
  m_StoreCallPending = true;
  m_Store.read(KeyRange::single(RecordKey), [this, Alive = m_Alive,
                                             Number =
                                                 m_Fencing](const auto &Reply) {
    if (!*Alive || Number != m_Fencing)
      return;
    m_StoreCallPending = false;
    if (!Reply)
      return;
    m_Record.reset();
    m_RecordRevision = StoreRevision();
    auto Found = !Reply->m_Values.empty();
    if (Found) {
      const auto &Item = Reply->m_Values.front();
      m_RecordRevision = Item.m_Modified;
      try {
        m_Record = decodeOpenOrders(Item.m_Value);
      } catch (const ProtocolError &Failure) {
        logError("fleet.stage-record-unreadable", {{"reason", Failure.what()}});
      }
    }
    // Under this grant, only this host has written the record since.
    if (m_Open.inherited()) {
      m_RecordRead = true;
      return;
    }
    const auto &History = m_Store.history();
    if (m_Record && m_Record->m_Era == History.era())
      inherit(m_Record->m_Engines);
    else if (Found || History.restored())
      inherit(std::nullopt);
    else
      findUnrecordedGrants();
  });
}

auto StageOrders::findUnrecordedGrants() -> void {
  // Versions of this program before the record have reported usage.
  m_StoreCallPending = true;
  m_Store.read(KeyRange::single(usageProgressKey()),
               [this, Alive = m_Alive, Number = m_Fencing](const auto &Reply) {
                 if (!*Alive || Number != m_Fencing)
                   return;
                 m_StoreCallPending = false;
                 if (!Reply)
                   return;
                 if (Reply->m_Values.empty())
                   inherit(std::set<BackendId>());
                 else
                   inherit(std::nullopt);
               });
}

auto StageOrders::inherit(const std::optional<std::set<BackendId>> &Engines)
    -> void {
  m_RecordRead = true;
  m_Open.inherit(Engines);
  if (Engines && Engines->empty())
    return;
  logInfo("fleet.stage-orders-held",
          {{"fencing", m_Fencing},
           {"reason", Engines ? "open orders of an earlier grant"
                              : "no trusted record of open orders"},
           {"engines",
            Engines ? Engines->size() : m_Inputs.m_Directory.all().size()},
           {"wait_ms", toMilliseconds(m_Options.delayOfEarlierGrants())}});
}

auto StageOrders::mayChange(const BackendRecord &Engine) -> bool {
  if (checksFencing())
    return true;
  auto Now = m_Scheduler.now();
  auto Wanted = Engine.m_Stage == EngineStage::Prefill ? EngineStage::Decode
                                                       : EngineStage::Prefill;
  auto Until = m_Open.heldUntil(Engine.m_Id, Wanted, Now);
  if (!Until) {
    m_HeldEngines.erase(Engine.m_Id);
    return true;
  }
  if (m_HeldEngines.insert(Engine.m_Id).second) {
    logInfo("fleet.stage-order-held",
            {{"backend", Engine.m_Id},
             {"stage", nameOf(Wanted)},
             {"fencing", m_Fencing},
             {"reason", m_Open.heldByEarlierGrant(Engine.m_Id, Now)
                            ? "open order of an earlier grant"
                            : "open order for the other stage"},
             {"wait_ms", toMilliseconds(*Until - Now)}});
    countEvent("held");
  }
  return false;
}

auto StageOrders::dueOrders() -> std::vector<StageOrder> {
  auto Now = m_Scheduler.now();
  const auto &Configuration = *m_Inputs.m_Configuration();
  auto Orders = m_Planner.stages(
      Configuration, m_Inputs.m_Directory, m_Inputs.m_IsIdle(),
      {.m_Counts =
           [this, Now](const BackendRecord &Engine) {
             return m_Inputs.m_Access.check(targetOf(Engine),
                                            SendPurpose::Order,
                                            Now) == SendDenial::None;
           },
       .m_MayChange =
           [this](const BackendRecord &Engine) { return mayChange(Engine); }});
  std::erase_if(Orders, [&](const StageOrder &Order) {
    auto Last = m_Sent.find(Order.m_Backend);
    if (Last == m_Sent.end())
      return false;
    const auto *Engine = m_Inputs.m_Directory.find(Order.m_Backend);
    auto RetryDelay = m_Options.m_StageRetryMargin;
    if (auto Service = Configuration.m_Services.find(Engine->m_Service);
        Service != Configuration.m_Services.end() && Service->second.m_Engine)
      RetryDelay += Service->second.m_Engine->m_RoleChangeTime;
    return Now - Last->second.m_SentAt < RetryDelay;
  });
  return Orders;
}

auto StageOrders::storeRecord(OpenOrderRecord Record,
                              std::vector<StageOrder> Orders) -> void {
  m_StoreCallPending = true;
  auto Transaction = StoreTransaction();
  Transaction.m_Compares.push_back(m_Lease.guard());
  // An earlier write whose outcome is unknown must not replace this one.
  Transaction.m_Compares.push_back(
      {.m_Key = RecordKey, .m_Modified = m_RecordRevision});
  Transaction.m_Writes.push_back(
      {.m_Key = RecordKey, .m_Value = encodeOpenOrders(Record)});
  m_Store.commit(std::move(Transaction),
                 [this, Alive = m_Alive, Number = m_Fencing,
                  Record = std::move(Record),
                  Orders = std::move(Orders)](const auto &Reply) {
                   if (!*Alive || Number != m_Fencing)
                     return;
                   m_StoreCallPending = false;
                   if (!Reply || !Reply->m_Applied) {
                     m_RecordRead = false;
                     if (!Reply)
                       m_WriteOutcomeUnknown = true;
                     return;
                   }
                   m_WriteOutcomeUnknown = false;
                   m_Record = Record;
                   m_RecordRevision = Reply->m_Revision;
                   if (m_MayAct())
                     send(Orders);
                 });
}

auto StageOrders::send(const std::vector<StageOrder> &Orders) -> void {
  for (const auto &Order : Orders)
    send(Order);
}

auto StageOrders::send(const StageOrder &Order) -> void {
  const auto *Engine = m_Inputs.m_Directory.find(Order.m_Backend);
  if (Engine == nullptr)
    return;
  auto Now = m_Scheduler.now();
  auto &Last = m_Sent[Order.m_Backend];
  Last.m_SentAt = Now;
  auto Target = targetOf(*Engine);
  auto Decision = m_Inputs.m_Access.admit(Target, SendPurpose::Order,
                                          {.m_Listed = &Target}, Now);
  if (!Decision.m_Permit) {
    logInfo("fleet.stage-not-ordered", {{"backend", Order.m_Backend},
                                        {"reason", nameOf(Decision.m_Denial)}});
    return;
  }
  Last.m_Copies = Last.m_Stage == Order.m_Stage ? Last.m_Copies + 1 : 1;
  Last.m_Stage = Order.m_Stage;
  if (Last.m_Copies > 1)
    countEvent("repeated");
  m_Open.recordSent(Order.m_Backend, Order.m_Stage);
  m_Calls.orderStage(std::move(*Decision.m_Permit), Order, m_Fencing,
                     [this, Alive = m_Alive, Order, Copy = Last.m_Copies,
                      Number = m_Fencing,
                      Target](const StageOrderReply &Reply) {
                       if (!*Alive)
                         return;
                       m_Inputs.m_Access.recordNotice(Target, Reply.m_Notice,
                                                      m_Scheduler.now());
                       handleReply(Order, Copy, Number, Reply);
                     });
}

auto StageOrders::handleReply(const StageOrder &Order, std::uint32_t Copy,
                              FencingNumber Number,
                              const StageOrderReply &Reply) -> void {
  logInfo("fleet.stage-ordered", {{"backend", Order.m_Backend},
                                  {"stage", nameOf(Order.m_Stage)},
                                  {"fencing", Number},
                                  {"copy", Copy},
                                  {"answer", nameOf(Reply.m_Outcome)}});
  if (m_Inputs.m_OnOutcome)
    m_Inputs.m_OnOutcome("stages", Reply.m_Outcome);
  // The record names the engine of an order of an earlier grant.
  if (Number == m_Fencing)
    m_Open.recordOutcome(Order.m_Backend, Reply.m_Outcome, m_Scheduler.now());
}

auto StageOrders::countEvent(const char *Event) -> void {
  if (m_Inputs.m_OnOrderEvent)
    m_Inputs.m_OnOrderEvent("stages", Event);
}

} // namespace dotterel
