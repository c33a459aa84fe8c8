//===- RecoveryPeriod.h - Time after a restore of the store -----*- C++ -*-===//
///
/// \file
/// Decides whether a read of the store may lack writes that were confirmed
/// before the store was restored.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_RECOVERYPERIOD_H
#define DOTTEREL_STORE_RECOVERYPERIOD_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/store/StoreHistory.h"

#include <memory>
#include <optional>

namespace dotterel {

/// Time after a restore of the store in which the writers of a record write
/// again what the copy lacks. A read in this period does not confirm that
/// nothing newer has been accepted.
///
/// \invariant A process that starts after a restore also waits, since it does
/// not know how long ago the store was restored.
class RecoveryPeriod {
public:
  RecoveryPeriod(Scheduler &Scheduler, StoreHistory &History, Duration Length);
  RecoveryPeriod(const RecoveryPeriod &) = delete;
  auto operator=(const RecoveryPeriod &) -> RecoveryPeriod & = delete;
  ~RecoveryPeriod() { *m_Alive = false; }

  /// Returns whether a read that was sent at \p SentAt, and whose response has
  /// been received, may lack confirmed writes.
  [[nodiscard]] auto covers(MonotonicTime SentAt) -> bool;

  /// Ends the period: the record has been written since the restore.
  auto end() -> void { m_Until.reset(); }

private:
  Scheduler &m_Scheduler;
  const StoreHistory &m_History;
  Duration m_Length;
  bool m_Started = false; ///< Whether a response has been received.
  std::optional<MonotonicTime> m_Until;
  std::shared_ptr<bool> m_Alive = std::make_shared<bool>(true);
};

} // namespace dotterel

#endif // DOTTEREL_STORE_RECOVERYPERIOD_H
