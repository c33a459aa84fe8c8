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

namespace dotterel {

struct MemoryBudgetOptions {
  std::size_t m_Bytes = std::size_t{100} << 20U; ///< Of all callers together.
  /// Requests of at most this size may use all of the budget, larger ones only
  /// what m_ReservedShare leaves.
  std::size_t m_SmallRequestBytes = std::size_t{64} << 10U;
  double m_ReservedShare = 1.0 / 8;
  /// A caller that has sent nothing for this time may lose its bytes to any
  /// other.
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
  std::uint64_t m_Refused = 0; ///< Requests that did not fit.
  std::uint64_t m_GivenUp = 0; ///< Incomplete requests that yielded.
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
  [[nodiscard]] auto limitBytes() const -> std::size_t;
  [[nodiscard]] auto counts() const -> const MemoryBudgetCounts &;

private:
  friend class MemoryHolding;

  struct State;

  /// Shared with the holdings and the bytes of complete requests, which may
  /// outlive the budget.
  std::shared_ptr<State> m_State;
};

/// Something that holds bytes for one caller.
class MemoryHolder {
public:
  virtual ~MemoryHolder() = default;

  /// Refuses the incomplete request and releases its bytes.
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

  /// Makes the request complete: its bytes are counted until the result, which
  /// is null if nothing is counted, is destroyed.
  [[nodiscard]] auto complete() -> std::shared_ptr<void>;

  /// Sets the bytes of a response that the caller has not read. They always
  /// fit, but leave less for requests.
  auto setResponse(std::size_t Bytes) -> void;

  /// Stops counting the request's bytes.
  auto releaseRequest() -> void;

private:
  friend class MemoryBudget;

  std::shared_ptr<MemoryBudget::State> m_State; ///< Null: nothing is counted.
  MemoryHolder &m_Holder;
  std::size_t m_RequestBytes = 0;
  std::size_t m_ResponseBytes = 0;
  MonotonicTime m_Progress; ///< When the caller last sent anything.
};

} // namespace dotterel

#endif // DOTTEREL_IO_MEMORYBUDGET_H
