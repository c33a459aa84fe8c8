//===- FleetWorld.h - Hosts that compete for the fleet duty -----*- C++ -*-===//
///
/// \file
/// A platform that executes orders, and hosts that compete for the duty to give
/// them, in virtual time.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_TESTS_SUPPORT_FLEETWORLD_H
#define DOTTEREL_TESTS_SUPPORT_FLEETWORLD_H

#include "dotterel/host/FleetDuty.h"
#include "support/FaultyStore.h"

#include <algorithm>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel::test {

inline const auto Service = ServiceId{"llm"};
inline const auto Here = DataCentreId{"a"};
inline constexpr auto MaxServers = 6U;

/// A platform that executes orders at once and refuses to add reclaimable
/// servers while m_NoReclaimable is set.
class Fleet final : public FleetCalls {
public:
  explicit Fleet(VirtualScheduler &Scheduler) : m_Scheduler(Scheduler) {}

  auto orderServers(const ServerOrder &Order, FencingNumber Fencing,
                    std::function<void(OrderOutcome)> Done) -> void override {
    m_OrderCalls.push_back(m_Scheduler.now());
    auto Number = m_OrderCalls.size();
    auto Fate = m_Fates ? m_Fates() : OrderFate{};
    for (auto Delay : Fate.m_Late)
      m_Scheduler.schedule(Delay,
                           [this, Order, Number] { execute(Order, Number); });
    if (!Fate.m_Late.empty() || Fate.m_Lost) {
      fail(OrderOutcome::Unknown, Done);
      return;
    }
    auto Failure = m_Outage;
    if (auto Found = m_RejectedOrders.find(Order.m_Service);
        Found != m_RejectedOrders.end()) {
      ++Found->second;
      Failure = OrderOutcome::Rejected;
    }
    if (Failure) {
      fail(*Failure, Done);
      return;
    }
    m_MaxFencing = std::max(m_MaxFencing, Fencing);
    auto Refused = (m_ChecksFencing && Fencing < m_MaxFencing) ||
                   (m_NoReclaimable && Order.m_Reclaimable &&
                    Order.m_Count > m_Counts[Order.m_Reclaimable]);
    if (!Refused)
      execute(Order, Number);
    m_Scheduler.schedule(Milliseconds(5), [Refused, Done] {
      Done(Refused ? OrderOutcome::Refused : OrderOutcome::Accepted);
    });
  }
  auto orderStage(SendPermit /*Permit*/, const StageOrder &Order,
                  FencingNumber Fencing,
                  std::function<void(const StageOrderReply &)> Done)
      -> void override {
    m_StageOrders.push_back(Order.m_Backend);
    m_StageCalls.push_back({.m_Engine = Order.m_Backend,
                            .m_Stage = Order.m_Stage,
                            .m_Fencing = Fencing,
                            .m_At = m_Scheduler.now()});
    auto Fate = m_StageFates ? m_StageFates(Order) : OrderFate{};
    for (auto Delay : Fate.m_Late)
      m_Scheduler.schedule(
          Delay, [this, Order, Fencing] { executeStage(Order, Fencing); });
    if (!Fate.m_Late.empty() || Fate.m_Lost) {
      fail(OrderOutcome::Unknown,
           [Done](OrderOutcome Outcome) { Done({.m_Outcome = Outcome}); });
      return;
    }
    executeStage(Order, Fencing);
    m_Scheduler.schedule(Milliseconds(5), [this, Done] {
      Done({.m_Outcome = OrderOutcome::Accepted, .m_Notice = m_EngineNotice});
    });
  }
  auto reportUsage(const UsageReport &Report,
                   std::function<void(OrderOutcome)> Done) -> void override {
    m_Reports.push_back({.m_Window = Report.m_Window,
                         .m_Fencing = Report.m_Fencing,
                         .m_At = m_Scheduler.now(),
                         .m_Accepted = !m_Outage});
    if (m_Outage) {
      fail(*m_Outage, Done);
      return;
    }
    auto Fate = m_ReportFates ? m_ReportFates() : OrderFate{};
    for (auto Delay : Fate.m_Late)
      m_Scheduler.schedule(Delay, [this, Fencing = Report.m_Fencing] {
        executeReport(Fencing);
      });
    if (!Fate.m_Late.empty() || Fate.m_Lost) {
      m_Reports.back().m_Accepted = false;
      fail(OrderOutcome::Unknown, Done);
      return;
    }
    executeReport(Report.m_Fencing);
    m_Scheduler.schedule(Milliseconds(5),
                         [Done] { Done(OrderOutcome::Accepted); });
  }

  /// What becomes of an order on its way.
  struct OrderFate {
    bool m_Lost = false;
    std::vector<Duration> m_Late; ///< When each copy is executed, unanswered.
  };

  /// Executes the order that was sent as the one with \p Number.
  auto execute(const ServerOrder &Order, std::size_t Number) -> void {
    for (const auto &[Other, Count] : m_Executed[Order.m_Reclaimable])
      if (Other > Number && Count != Order.m_Count) {
        ++m_Overtaken;
        break;
      }
    m_Executed[Order.m_Reclaimable].emplace_back(Number, Order.m_Count);
    if (m_Counts[Order.m_Reclaimable] != Order.m_Count)
      ++m_Changes;
    m_Counts[Order.m_Reclaimable] = Order.m_Count;
    m_MinTotal = std::min(m_MinTotal, m_Counts[false] + m_Counts[true]);
    m_MaxTotal = std::max(m_MaxTotal, m_Counts[false] + m_Counts[true]);
  }

  /// Executes a stage order at an engine that does not check its token.
  auto executeStage(const StageOrder &Order, FencingNumber Fencing) -> void {
    auto &Highest = m_StageTokens[Order.m_Backend];
    if (Fencing < Highest)
      ++m_StageOvertaken;
    Highest = std::max(Highest, Fencing);
    m_Stages[Order.m_Backend] = Order.m_Stage;
  }

  auto executeReport(FencingNumber Fencing) -> void {
    if (Fencing < m_ReportToken)
      ++m_ReportsOvertaken;
    m_ReportToken = std::max(m_ReportToken, Fencing);
  }

  /// Answers a call with \p Outcome. One that is not answered ends by its
  /// timeout.
  auto fail(OrderOutcome Outcome, const std::function<void(OrderOutcome)> &Done)
      -> void {
    m_Scheduler.schedule(Outcome == OrderOutcome::Unknown ? Milliseconds(1500)
                                                          : Milliseconds(5),
                         [Outcome, Done] { Done(Outcome); });
  }

  struct Report {
    WindowIndex m_Window;
    FencingNumber m_Fencing;
    MonotonicTime m_At;
    bool m_Accepted = false;
  };

  /// Returns the accepted windows in the order in which they came.
  [[nodiscard]] auto acceptedWindows() const -> std::vector<WindowIndex> {
    auto Windows = std::vector<WindowIndex>();
    for (const auto &Item : m_Reports)
      if (Item.m_Accepted)
        Windows.push_back(Item.m_Window);
    return Windows;
  }

  std::optional<OrderOutcome> m_Outage; ///< Outcome of all reports and orders.
  /// Services whose orders are rejected, with the number of orders.
  std::map<ServiceId, int> m_RejectedOrders;
  std::vector<Report> m_Reports;
  std::vector<MonotonicTime> m_OrderCalls;
  std::map<bool, std::uint32_t> m_Counts; ///< Ordinary and reclaimable.
  std::uint32_t m_MinTotal = MaxServers;  ///< Minimum of their sum.
  std::uint32_t m_MaxTotal = 0;           ///< Maximum of their sum.
  int m_Changes = 0;
  /// Returns the fate of each order; empty: all are executed at once.
  std::function<OrderFate()> m_Fates;
  bool m_ChecksFencing = true;
  /// Executed orders by number and count, ordinary and reclaimable.
  std::map<bool, std::vector<std::pair<std::size_t, std::uint32_t>>> m_Executed;
  int m_Overtaken = 0; ///< Orders executed after a newer, different one.
  bool m_NoReclaimable = false;
  std::vector<BackendId> m_StageOrders;
  ServerNotice m_EngineNotice; ///< In the responses of engines to orders.

  /// Returns the fate of each report; empty: all are accepted at once.
  std::function<OrderFate()> m_ReportFates;
  FencingNumber m_ReportToken; ///< Highest one of an executed report.
  int m_ReportsOvertaken = 0;  ///< Reports executed after a higher token.

  struct StageCall {
    BackendId m_Engine;
    EngineStage m_Stage = EngineStage::None;
    FencingNumber m_Fencing;
    MonotonicTime m_At;
  };
  std::vector<StageCall> m_StageCalls;
  /// Returns the fate of each stage order; empty: all are executed at once.
  std::function<OrderFate(const StageOrder &)> m_StageFates;
  std::map<BackendId, EngineStage> m_Stages;        ///< By the executed orders.
  std::map<BackendId, FencingNumber> m_StageTokens; ///< Highest one executed.
  /// Stage orders executed after one with a higher token at the same engine.
  int m_StageOvertaken = 0;

private:
  VirtualScheduler &m_Scheduler;
  FencingNumber m_MaxFencing;
};

/// A call that the platform has received.
struct ReceivedCall {
  std::string m_Holder;
  FencingNumber m_Fencing;
  MonotonicTime m_At;
};

/// Passes the calls of one holder on, and records them as received after a
/// delay on the way.
class RecordedCalls final : public FleetCalls {
public:
  RecordedCalls(VirtualScheduler &Scheduler, Fleet &Calls, std::string Holder,
                std::vector<ReceivedCall> &Received)
      : m_Scheduler(Scheduler), m_Calls(Calls), m_Holder(std::move(Holder)),
        m_Received(Received) {}

  auto orderServers(const ServerOrder &Order, FencingNumber Fencing,
                    std::function<void(OrderOutcome)> Done) -> void override {
    record(Fencing);
    if (m_Cut) {
      m_Calls.fail(OrderOutcome::Unknown, Done);
      return;
    }
    m_Calls.orderServers(Order, Fencing, std::move(Done));
  }
  auto orderStage(SendPermit Permit, const StageOrder &Order,
                  FencingNumber Fencing,
                  std::function<void(const StageOrderReply &)> Done)
      -> void override {
    record(Fencing);
    m_Calls.orderStage(std::move(Permit), Order, Fencing, std::move(Done));
  }
  auto reportUsage(const UsageReport &Report,
                   std::function<void(OrderOutcome)> Done) -> void override {
    record(Report.m_Fencing);
    if (m_Cut) {
      m_Calls.fail(OrderOutcome::Unknown, Done);
      return;
    }
    m_Calls.reportUsage(Report, std::move(Done));
  }

  bool m_Cut = false; ///< Whether this holder gets no answers.

private:
  auto record(FencingNumber Fencing) -> void {
    m_Scheduler.schedule(Milliseconds(30), [this, Fencing] {
      m_Received.push_back({.m_Holder = m_Holder,
                            .m_Fencing = Fencing,
                            .m_At = m_Scheduler.now()});
    });
  }

  VirtualScheduler &m_Scheduler;
  Fleet &m_Calls;
  std::string m_Holder;
  std::vector<ReceivedCall> &m_Received;
};

struct Holder {
  Holder(VirtualScheduler &Scheduler, InMemoryStore &Model, FleetCalls &Calls,
         const BackendDirectory &Directory,
         const ServingConfiguration &Configuration, const std::string &Name,
         const FleetDutyOptions &Options, const bool &Idle)
      : m_Store(Scheduler, Model),
        m_Duty(Scheduler, m_Store, Calls, m_Random,
               {.m_Directory = Directory,
                .m_Access = m_Access,
                .m_Configuration = [&Configuration] { return &Configuration; },
                .m_IsIdle = [&Idle] { return Idle; },
                .m_NeededEngines = []() -> std::optional<double> { return {}; },
                .m_HostCount = [] { return std::size_t{2}; },
                .m_Eligible = [] { return true; }},
               optionsOf(Options, Name)) {
    m_Duty.start();
  }

  static auto optionsOf(FleetDutyOptions Options, const std::string &Name)
      -> FleetDutyOptions {
    Options.m_Host = HostId{Name};
    return Options;
  }

  FaultyStore m_Store;
  Random m_Random{1};
  ServerAccess m_Access{{}, {}};
  FleetDuty m_Duty;
};

struct World {
  World() {
    m_Configuration.m_Services.emplace(
        Service,
        ServiceSpec{.m_Id = Service,
                    .m_Engine = EngineTraits{.m_Slots = 8},
                    .m_Bounds = ServerBounds{.m_MinServers = 1,
                                             .m_MaxServers = MaxServers,
                                             .m_StartTime = Seconds(4),
                                             .m_ReclaimablePrice = 0.2,
                                             .m_Prices = {{Here, 1.0}}}});
  }

  auto add(const std::string &Name) -> void {
    m_Options.m_Bounds.m_ChecksFencing = m_ChecksFencing;
    m_Recorders.push_back(std::make_unique<RecordedCalls>(m_Scheduler, m_Fleet,
                                                          Name, m_Received));
    m_Holders.push_back(std::make_unique<Holder>(
        m_Scheduler, m_Model, *m_Recorders.back(), m_Directory, m_Configuration,
        Name, m_Options, m_Idle));
  }

  /// Registers the servers that the platform runs.
  auto registerServers() -> void {
    for (auto Reclaimable : {false, true})
      for (auto Number = 0U; Number < MaxServers; ++Number) {
        auto Id =
            BackendId{fmt::format("{}{}", Reclaimable ? "r" : "o", Number)};
        if (Number >= m_Fleet.m_Counts[Reclaimable])
          m_Directory.remove(Id);
        else
          m_Directory.put({.m_Id = Id,
                           .m_Service = Service,
                           .m_Address = "10.0.0.1:1",
                           .m_DataCentre = Here,
                           .m_Reclaimable = Reclaimable,
                           .m_Stage = stageOf(Id)});
      }
  }

  /// Returns the stage with which an engine is registered.
  [[nodiscard]] auto stageOf(const BackendId &Engine) const -> EngineStage {
    auto Found = m_Fleet.m_Stages.find(Engine);
    return m_ListsStages && Found != m_Fleet.m_Stages.end()
               ? Found->second
               : EngineStage::Decode;
  }

  auto advanceTime(Duration Span) -> void {
    constexpr auto Step = Milliseconds(500);
    for (auto Elapsed = Duration::zero(); Elapsed < Span; Elapsed += Step) {
      m_Scheduler.advance(Step);
      registerServers();
    }
  }

  /// Reclaims all reclaimable servers and makes them unavailable.
  auto reclaimServers() -> void {
    m_Fleet.m_NoReclaimable = true;
    auto Before = m_Directory.all();
    for (const auto &[Id, Record] : Before) {
      if (!Record.m_Reclaimable)
        continue;
      auto Leaving = Record;
      Leaving.m_Draining = true;
      m_Directory.put(Leaving);
    }
    m_Fleet.m_Counts[true] = 0;
    m_Scheduler.advance(Seconds(1));
  }

  VirtualScheduler m_Scheduler;
  InMemoryStore m_Model{m_Scheduler};
  Fleet m_Fleet{m_Scheduler};
  BackendDirectory m_Directory;
  ServingConfiguration m_Configuration;
  /// Whether holders that are added rely on the platform's check of tokens.
  bool m_ChecksFencing = false;
  FleetDutyOptions m_Options; ///< Of holders that are added.
  bool m_Idle = false;        ///< Whether no request is in flight.
  /// Whether engines are registered with their stage, not always with decode.
  bool m_ListsStages = false;
  std::vector<ReceivedCall> m_Received; ///< By the platform, in order.
  std::vector<std::unique_ptr<RecordedCalls>> m_Recorders;
  std::vector<std::unique_ptr<Holder>> m_Holders;
};

/// Draws the fault of a store's calls, or none.
inline auto drawStoreFault(Random &Choice) -> StoreFault {
  auto Faults =
      std::vector<StoreFault>{StoreFault::None,         StoreFault::None,
                              StoreFault::Refuse,       StoreFault::LoseRequest,
                              StoreFault::LoseResponse, StoreFault::LateEffect};
  return Faults[Choice.below(Faults.size())];
}

/// What the ends of grants beside late calls led to.
struct GrantsOutcome {
  int m_Overtaken = 0;
  int m_Late = 0;
  int m_Grants = 0;
};

/// Lets three holders lose and acquire the duty, with a store that fails and is
/// restored. Calls \p BeforeStep before each step.
inline auto changeHolders(World &Test, Random &Choice,
                          const std::function<void()> &BeforeStep = {})
    -> void {
  for (const auto *Name : {"first", "second", "third"})
    Test.add(Name);
  Test.advanceTime(Seconds(8));
  auto Copy = Test.m_Model.copy();
  for (auto Step = 0; Step < 60; ++Step) {
    auto &Changed = *Test.m_Holders[Choice.below(Test.m_Holders.size())];
    Changed.m_Store.setOutage(drawStoreFault(Choice));
    if (BeforeStep)
      BeforeStep();
    if (Choice.below(20) == 0)
      Copy = Test.m_Model.copy();
    if (Choice.below(20) == 0)
      Test.m_Model.restore(Copy, Seconds(4));
    Test.advanceTime(Milliseconds(500) * (1 + Choice.below(12)));
  }
  for (auto &Holder : Test.m_Holders)
    Holder->m_Store.setOutage(StoreFault::None);
}

} // namespace dotterel::test

#endif // DOTTEREL_TESTS_SUPPORT_FLEETWORLD_H
