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
#include "dotterel/store/StoreWatch.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dotterel {

/// A store of keys, revisions and leases.
class InMemoryStore {
  struct Record {
    std::string m_Value;
    StoreRevision m_Modified;
    LeaseId m_Lease;
  };
  struct Lease {
    Seconds m_Term;
    MonotonicTime m_Expires;
  };
  struct State {
    std::map<std::string, Record> m_Records;
    std::map<LeaseId, Lease> m_Leases;
    std::vector<KeyChange> m_Changes; ///< All since the start, oldest first.
    std::uint64_t m_Revision = 0;
    std::uint64_t m_LastLease = 0;
  };

public:
  /// The contents of a store at one moment.
  class Copy {
    friend class InMemoryStore;
    State m_State;
  };

  explicit InMemoryStore(Scheduler &Scheduler) : m_Scheduler(Scheduler) {}

  auto read(const KeyRange &Range) -> RangeResult;
  auto commit(const StoreTransaction &Transaction) -> TransactionResult;
  auto grantLease(Seconds Term) -> LeaseId;
  auto renewLease(LeaseId Lease) -> Seconds;
  auto revokeLease(LeaseId Lease) -> bool;
  /// Returns the changes of keys with \p Prefix after revision \p After, which
  /// are lost if the store has no such revision.
  [[nodiscard]] auto changes(const std::string &Prefix, StoreRevision After)
      -> WatchResult;

  [[nodiscard]] auto copy() const -> Copy;
  /// Replaces the contents: writes after the copy are lost, and their revisions
  /// and leases will be assigned again. Leases do not run between copy and
  /// restore.
  auto restore(const Copy &Source, Duration CopyAge) -> void;
  [[nodiscard]] auto era() const -> StoreEra { return m_Era; }

  /// Extends all leases by \p Span, as if no time had passed for them.
  auto extendLeases(Duration Span) -> void;

  /// Number of calls served so far, by kind, for tests of the store's rates.
  [[nodiscard]] auto writes() const -> std::uint64_t { return m_WriteCount; }
  [[nodiscard]] auto reads() const -> std::uint64_t { return m_ReadCount; }

private:
  auto removeExpiredLeases() -> void;
  auto removeLease(LeaseId Lease) -> void;

  [[nodiscard]] auto revision() const -> StoreRevision;
  auto recordChange(const std::string &Key, std::optional<std::string> Value)
      -> void;

  Scheduler &m_Scheduler;
  State m_State;
  StoreEra m_Era{1};
  std::uint64_t m_WriteCount = 0;
  std::uint64_t m_ReadCount = 0;
};

} // namespace dotterel

#endif // DOTTEREL_STORE_INMEMORYSTORE_H
