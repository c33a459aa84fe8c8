//===- WaitingQueue.h - Order of waiting requests ---------------*- C++ -*-===//
///
/// \file
/// Requests that wait for an engine, and which of them goes next.
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

/// A request that waits.
struct Waiting {
  RequestId m_Request;
  OrganisationId m_Organisation;
  std::uint32_t m_Weight = 1;
  WorkClass m_Class = WorkClass::Standard;
  double m_Cost = 1.0; ///< Tokens.
  MonotonicTime m_Since;
  MonotonicTime m_Deadline;
};

/// Waiting requests in some order.
class WaitingQueue {
public:
  virtual ~WaitingQueue() = default;

  [[nodiscard]] virtual auto name() const -> std::string = 0;
  virtual auto push(Waiting Item) -> void = 0;

  /// Removes and returns the next request that \p Fits accepts; requests of
  /// which it says no keep their places.
  virtual auto pop(MonotonicTime Now,
                   const std::function<bool(const Waiting &)> &Fits)
      -> std::optional<Waiting> = 0;

  /// Removes a request; does nothing when it is not there.
  virtual auto remove(const RequestId &Request) -> void = 0;

  /// Removes and returns what has passed its deadline.
  virtual auto expire(MonotonicTime Now) -> std::vector<Waiting> = 0;

  [[nodiscard]] virtual auto size() const -> std::size_t = 0;
};

struct WaitingQueueOptions {
  /// A request gains one class for each such wait, so that long work arrives.
  Duration m_AgingPeriod = Seconds(20);
  /// Utilisation of the engines, 1 when all are full; asked for by `priced`.
  std::function<double()> m_Utilisation;
};

/// Names accepted by makeWaitingQueue().
auto waitingQueueNames() -> std::vector<std::string>;

/// `fair`: by class with aging, then by the organisation's tokens served in
/// relation to its weight. `fifo`: by arrival; the baseline. `priced`: by class
/// with aging, then by what organisations can pay for the engines' time.
/// \throws SettingsError 101 for any other name.
auto makeWaitingQueue(const std::string &Name,
                      const WaitingQueueOptions &Options)
    -> std::unique_ptr<WaitingQueue>;

} // namespace dotterel

#endif // DOTTEREL_ADMISSION_WAITINGQUEUE_H
