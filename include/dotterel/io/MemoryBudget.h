//===- MemoryBudget.h - Bytes held for callers ------------------*- C++ -*-===//
///
/// \file
/// Decides which callers may have how many bytes of a process' memory: for
/// requests that are read or held, and for responses that are not read yet.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_IO_MEMORYBUDGET_H
#define DOTTEREL_IO_MEMORYBUDGET_H

#include "dotterel/base/Units.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_set>

namespace dotterel {

struct MemoryBudgetOptions {
  std::size_t m_Bytes = std::size_t{100} << 20U; ///< Of all callers together.
  /// Requests of at most this size may use all of the budget, larger ones only
  /// what m_ReservedShare leaves.
  std::size_t m_SmallRequestBytes = std::size_t{64} << 10U;
  double m_ReservedShare = 1.0 / 8;
  /// A caller that has neither sent nor read anything for this time may lose
  /// its bytes to one that needs as many.
  Duration m_StallTime = Seconds(2);
};

/// Returns the options for a process with \p MemoryMegabytes of memory. The
/// rest is for responses of servers, copies that are decoded, and state.
auto memoryBudgetFor(std::size_t MemoryMegabytes) -> MemoryBudgetOptions;

/// Returns the memory that the system gives to this process, in MiB: the least
/// of the machine's memory and the limit of the process' control group.
auto systemMemoryMegabytes() -> std::size_t;

/// Makes the allocator return the memory of large blocks when they are freed.
/// Without it, the memory of bodies that are held no more stays in use.
auto returnLargeBlocks() -> void;

struct MemoryBudgetCounts {
  std::uint64_t m_Refused = 0;          ///< Requests that did not fit.
  std::uint64_t m_GivenUp = 0;          ///< Incomplete requests that yielded.
  std::uint64_t m_ResponsesDropped = 0; ///< Responses that nobody read.
  std::size_t m_PeakBytes = 0;
};

class MemoryHolding;

/// \invariant Bytes of a complete request are never given up: it may have been
/// passed on.
class MemoryBudget {
public:
  explicit MemoryBudget(const MemoryBudgetOptions &Options);
  MemoryBudget(const MemoryBudget &) = delete;
  auto operator=(const MemoryBudget &) -> MemoryBudget & = delete;
  ~MemoryBudget();

  [[nodiscard]] auto usedBytes() const -> std::size_t;
  [[nodiscard]] auto limitBytes() const -> std::size_t {
    return m_Options.m_Bytes;
  }
  [[nodiscard]] auto counts() const -> const MemoryBudgetCounts & {
    return m_Counts;
  }

  /// Gives up responses that nobody reads while the budget is exceeded, the
  /// largest first.
  auto relieve(MonotonicTime Now) -> void;

private:
  friend class MemoryHolding;

  auto admit(MemoryHolding &Holding, std::size_t Bytes, MonotonicTime Now)
      -> bool;
  auto add(std::size_t Bytes) -> void;
  [[nodiscard]] auto yieldsTo(const MemoryHolding &Holder, std::size_t Bytes,
                              MonotonicTime Now) const -> bool;

  MemoryBudgetOptions m_Options;
  /// Shared with the bytes of complete requests, which may outlive the budget.
  std::shared_ptr<std::size_t> m_Used = std::make_shared<std::size_t>(0);
  MemoryBudgetCounts m_Counts;
  std::unordered_set<MemoryHolding *> m_Holdings;
};

/// Something that holds bytes for one caller.
class MemoryHolder {
public:
  virtual ~MemoryHolder() = default;

  /// Refuses the incomplete request, or drops the response that is not read,
  /// and releases its bytes.
  virtual auto giveUpMemory() -> void = 0;
};

/// The bytes that are held for one caller. Releases them when destroyed.
class MemoryHolding {
public:
  /// \p Budget may be null: then nothing is counted, and everything fits.
  MemoryHolding(MemoryBudget *Budget, MemoryHolder &Holder);
  MemoryHolding(const MemoryHolding &) = delete;
  auto operator=(const MemoryHolding &) -> MemoryHolding & = delete;
  ~MemoryHolding();

  /// Sets the bytes of an incomplete request. \returns whether they fit; if
  /// not, nothing changes, and the request is to be refused.
  [[nodiscard]] auto setRequest(std::size_t Bytes, MonotonicTime Now) -> bool;

  /// Makes the request complete: its bytes are counted until the result is
  /// destroyed.
  [[nodiscard]] auto complete() -> std::shared_ptr<void>;

  /// Sets the bytes of a response that the caller has not read.
  auto setResponse(std::size_t Bytes, MonotonicTime Now) -> void;

  /// Stops counting the request's bytes.
  auto releaseRequest() -> void;

private:
  friend class MemoryBudget;

  MemoryBudget *m_Budget;
  MemoryHolder &m_Holder;
  std::size_t m_RequestBytes = 0;
  std::size_t m_ResponseBytes = 0;
  MonotonicTime m_Progress; ///< When the caller last sent or read anything.
};

} // namespace dotterel

#endif // DOTTEREL_IO_MEMORYBUDGET_H
