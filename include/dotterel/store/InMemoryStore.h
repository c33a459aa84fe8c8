//===- InMemoryStore.h - In-memory store for tests --------------*- C++ -*-===//
///
/// \file
/// Implements the behaviour of the platform's store in memory, without a
/// transport. Used by the fake platform and by tests; no production process
/// uses it.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_INMEMORYSTORE_H
#define DOTTEREL_STORE_INMEMORYSTORE_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/store/KeyValueStore.h"

#include <map>

namespace dotterel {

/// A store of keys, revisions and leases.
class InMemoryStore {
public:
  explicit InMemoryStore(Scheduler &Scheduler) : m_Scheduler(Scheduler) {}

  auto read(const KeyRange &Range) -> RangeResult;
  auto commit(const StoreTransaction &Transaction) -> TransactionResult;
  auto grantLease(Seconds Term) -> LeaseId;
  auto renewLease(LeaseId Lease) -> Seconds;
  auto revokeLease(LeaseId Lease) -> bool;
  /// Extends all leases by \p Span, as if no time had passed for them.
  auto extendLeases(Duration Span) -> void;

  /// Number of calls served so far, by kind, for tests of the store's rates.
  [[nodiscard]] auto writes() const -> std::uint64_t { return m_WriteCount; }
  [[nodiscard]] auto reads() const -> std::uint64_t { return m_ReadCount; }

private:
  struct Record {
    std::string m_Value;
    StoreRevision m_Modified;
    LeaseId m_Lease;
  };
  struct Lease {
    Seconds m_Term;
    MonotonicTime m_Expires;
  };

  auto removeExpiredLeases() -> void;
  auto removeLease(LeaseId Lease) -> void;

  Scheduler &m_Scheduler;
  std::map<std::string, Record> m_Records;
  std::map<LeaseId, Lease> m_Leases;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_LastLease = 0;
  std::uint64_t m_WriteCount = 0;
  std::uint64_t m_ReadCount = 0;
};

} // namespace dotterel

#endif // DOTTEREL_STORE_INMEMORYSTORE_H
