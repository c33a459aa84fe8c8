//===- StoreModel.h - In-memory store for stand-ins -------------*- C++ -*-===//
///
/// \file
/// The behaviour of the platform's store without its transport. Used by the
/// stand-in process and by tests; no production process holds one.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_STORE_STOREMODEL_H
#define DOTTEREL_STORE_STOREMODEL_H

#include "dotterel/base/Scheduler.h"
#include "dotterel/store/KeyValueStore.h"

#include <map>

namespace dotterel {

/// Keys, revisions and leases.
class StoreModel {
public:
  explicit StoreModel(Scheduler &Scheduler) : m_Scheduler(Scheduler) {}

  auto read(const KeyRange &Range) -> RangeResult;
  auto commit(const StoreTransaction &Transaction) -> TransactionResult;
  auto grantLease(Seconds Term) -> LeaseId;
  auto keepLease(LeaseId Lease) -> Seconds;
  auto revokeLease(LeaseId Lease) -> bool;
  /// Lets all leases live so much longer, as if they had stood still.
  auto extendLeases(Duration Span) -> void;

  /// Calls served so far, by kind, for tests of the store's rates.
  [[nodiscard]] auto writes() const -> std::uint64_t { return m_Writes; }
  [[nodiscard]] auto reads() const -> std::uint64_t { return m_Reads; }

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

  auto expire() -> void;
  auto dropLease(LeaseId Lease) -> void;

  Scheduler &m_Scheduler;
  std::map<std::string, Record> m_Records;
  std::map<LeaseId, Lease> m_Leases;
  std::uint64_t m_Revision = 0;
  std::uint64_t m_LastLease = 0;
  std::uint64_t m_Writes = 0;
  std::uint64_t m_Reads = 0;
};

} // namespace dotterel

#endif // DOTTEREL_STORE_STOREMODEL_H
