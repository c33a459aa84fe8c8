//===- StageOrders.h - Orders to engines to change their stage --*- C++ -*-===//
///
/// \file
/// Stage orders, sent by the holder of the fleet duty.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_HOST_STAGEORDERS_H
#define DOTTEREL_HOST_STAGEORDERS_H

#include "dotterel/fleet/OpenOrders.h"
#include "dotterel/host/FleetDutyOptions.h"
#include "dotterel/lease/DutyLease.h"
#include "dotterel/serving/FleetCalls.h"
#include "dotterel/serving/FleetPlanner.h"
#include "dotterel/store/KeyValueStore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace dotterel {

/// Sends the stage orders of one duty holder.
///
/// Where engines do not check fencing tokens, an engine may execute an order of
/// an ended grant after one with a higher token. The engines that are about to
/// be sent orders are therefore recorded in the store first, and removed from
/// the record once no order to them can be executed any more. The next holder
/// sends none to the engines in the record until that time is over, and none at
/// all if it cannot trust the record, since the store was restored.
///
/// \invariant Unless engines check fencing tokens, an order is sent only while
/// the record in the store names its engine.
class StageOrders {
public:
  /// \p MayAct returns whether this host holds the duty under the grant that
  /// was begun.
  StageOrders(Scheduler &Scheduler, KeyValueStore &Store, FleetCalls &Calls,
              const DutyLease &Lease, const FleetPlanner &Planner,
              const FleetDutyInputs &Inputs, std::function<bool()> MayAct,
              const FleetDutyOptions &Options);
  StageOrders(const StageOrders &) = delete;
  auto operator=(const StageOrders &) -> StageOrders & = delete;
  ~StageOrders() { *m_Alive = false; }

  /// Starts over under a new grant of the duty.
  auto beginGrant() -> void;

  /// Reads which orders earlier grants have left, and returns whether that is
  /// known. Usage is reported only then, since a report counts as a trace of a
  /// version that has kept no record of open orders.
  auto prepare() -> bool;

  /// Sends the orders that are due. \pre the duty is held, and there is a
  /// configuration.
  auto step() -> void;

private:
  /// The newest order sent to an engine under the current grant.
  struct Sent {
    EngineStage m_Stage = EngineStage::None;
    std::uint32_t m_Copies = 0;
    MonotonicTime m_SentAt;
  };

  [[nodiscard]] auto checksFencing() const -> bool {
    return m_Options.m_Bounds.m_ChecksFencing;
  }
  auto readRecord() -> void;
  /// Looks for traces of holders that have kept no record.
  auto findUnrecordedGrants() -> void;
  auto inherit(const std::optional<std::set<BackendId>> &Engines) -> void;
  /// Returns the orders that are planned and not held back.
  auto dueOrders() -> std::vector<StageOrder>;
  /// Returns whether \p Engine may be ordered to leave its stage.
  auto mayChange(const BackendRecord &Engine) -> bool;
  /// Stores which engines have open orders, and then sends \p Orders.
  auto storeRecord(OpenOrderRecord Record, std::vector<StageOrder> Orders)
      -> void;
  auto send(const std::vector<StageOrder> &Orders) -> void;
  auto send(const StageOrder &Order) -> void;
  auto handleReply(const StageOrder &Order, std::uint32_t Copy,
                   FencingNumber Number, const StageOrderReply &Reply) -> void;
  auto countEvent(const char *Event) -> void;

  Scheduler &m_Scheduler;
  KeyValueStore &m_Store;
  FleetCalls &m_Calls;
  const DutyLease &m_Lease;
  const FleetPlanner &m_Planner;
  const FleetDutyInputs &m_Inputs;
  std::function<bool()> m_MayAct;
  const FleetDutyOptions &m_Options;
  OpenOrders m_Open;
  FencingNumber m_Fencing;
  std::map<BackendId, Sent> m_Sent;
  /// Engines for which it was logged that they wait.
  std::set<BackendId> m_HeldEngines;
  bool m_RecordRead = false;
  bool m_StoreCallPending = false;
  /// Whether a write may still replace the record, unless another one does.
  bool m_WriteOutcomeUnknown = false;
  std::optional<OpenOrderRecord> m_Record; ///< In the store; empty: none.
  StoreRevision m_RecordRevision;          ///< Of the record in the store.
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_HOST_STAGEORDERS_H
