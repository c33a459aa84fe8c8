//===- WaitingQueue.h - Order of waiting requests ---------------*- C++ -*-===//
///
/// \file
/// Queues of requests that wait for an engine, and their order.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_ADMISSION_WAITINGQUEUE_H
#define DOTTEREL_ADMISSION_WAITINGQUEUE_H

#include "dotterel/base/Ids.h"
#include "dotterel/base/Units.h"
#include "dotterel/config/Configuration.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// A request that waits for an engine.
struct WaitingRequest {
  RequestId m_Request;
  OrganisationId m_Organisation;
  std::uint32_t m_Weight = 1;
  WorkClass m_Class = WorkClass::Standard;
  double m_Cost = 1.0; ///< Tokens.
  MonotonicTime m_Since;
  MonotonicTime m_Deadline;
};

/// Interface of a queue of waiting requests.
class WaitingQueue {
public:
  virtual ~WaitingQueue() = default;

  [[nodiscard]] virtual auto name() const -> std::string = 0;
  virtual auto push(WaitingRequest Item) -> void = 0;

  /// Removes and returns the next request that \p Fits accepts; the requests it
  /// rejects keep their places.
  virtual auto pop(MonotonicTime Now,
                   const std::function<bool(const WaitingRequest &)> &Fits)
      -> std::optional<WaitingRequest> = 0;

  /// Removes a request; does nothing when it is not in the queue.
  virtual auto remove(const RequestId &Request) -> void = 0;

  /// Removes and returns the requests whose deadline has passed.
  virtual auto expire(MonotonicTime Now) -> std::vector<WaitingRequest> = 0;

  [[nodiscard]] virtual auto size() const -> std::size_t = 0;
};

struct WaitingQueueOptions {
  /// A request moves up one class after each such period of waiting, so that
  /// requests of low classes are not starved.
  Duration m_AgingPeriod = Seconds(20);
  /// Returns the utilisation of the engines, 1 when all are full; used by
  /// `priced`.
  std::function<double()> m_Utilisation;
};

/// Returns the names accepted by makeWaitingQueue().
auto waitingQueueNames() -> std::vector<std::string>;

/// Creates the queue with the given name.
/// - `fair`: by class with aging, then by the organisation's tokens served
///   relative to its weight
/// - `fifo`: by arrival; the baseline
/// - `priced`: by class with aging, then by the organisations' balances, from
///   which they pay for the engines' time
///
/// \throws SettingsError 101 for any other name.
auto makeWaitingQueue(const std::string &Name,
                      const WaitingQueueOptions &Options)
    -> std::unique_ptr<WaitingQueue>;

} // namespace dotterel

#endif // DOTTEREL_ADMISSION_WAITINGQUEUE_H
