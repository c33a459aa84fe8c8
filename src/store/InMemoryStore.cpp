#include "dotterel/store/InMemoryStore.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dotterel {

auto InMemoryStore::read(const KeyRange &Range) -> RangeResult {
  removeExpiredLeases();
  ++m_ReadCount;
  auto Result = RangeResult{.m_Revision = revision()};
  auto Item = m_State.m_Records.lower_bound(Range.m_First);
  for (; Item != m_State.m_Records.end(); ++Item) {
    auto Inside = Range.m_End.empty() ? Item->first == Range.m_First
                                      : Item->first < Range.m_End;
    if (!Inside)
      break;
    Result.m_Values.push_back(
        {.m_Key = Item->first,
         .m_Value = Item->second.m_Value,
         .m_Modified = StoreRevision{Item->second.m_Modified.number(), m_Era}});
  }
  return Result;
}

auto InMemoryStore::commit(const StoreTransaction &Transaction)
    -> TransactionResult {
  removeExpiredLeases();
  ++m_WriteCount;
  auto Holds = [this](const StoreCompare &Compare) {
    auto Found = m_State.m_Records.find(Compare.m_Key);
    auto Modified = Found == m_State.m_Records.end() ? StoreRevision{}
                                                     : Found->second.m_Modified;
    // Like a store that knows nothing of its earlier histories.
    return Modified.number() == Compare.m_Modified.number();
  };
  auto LeasesLive =
      std::all_of(Transaction.m_Writes.begin(), Transaction.m_Writes.end(),
                  [this](const StoreWrite &Write) {
                    return Write.m_Lease == LeaseId{} ||
                           m_State.m_Leases.contains(Write.m_Lease);
                  });
  if (!LeasesLive || !std::all_of(Transaction.m_Compares.begin(),
                                  Transaction.m_Compares.end(), Holds))
    return {.m_Applied = false, .m_Revision = revision()};
  ++m_State.m_Revision;
  for (const auto &Write : Transaction.m_Writes) {
    recordChange(Write.m_Key, Write.m_Value);
    if (!Write.m_Value) {
      m_State.m_Records.erase(Write.m_Key);
      continue;
    }
    m_State.m_Records[Write.m_Key] = {.m_Value = *Write.m_Value,
                                      .m_Modified = revision(),
                                      .m_Lease = Write.m_Lease};
  }
  return {.m_Applied = true, .m_Revision = revision()};
}

auto InMemoryStore::grantLease(Seconds Term) -> LeaseId {
  removeExpiredLeases();
  ++m_WriteCount;
  auto Id = LeaseId{++m_State.m_LastLease};
  m_State.m_Leases[Id] = {.m_Term = Term,
                          .m_Expires = m_Scheduler.now() + Term};
  return Id;
}

auto InMemoryStore::renewLease(LeaseId Lease) -> Seconds {
  removeExpiredLeases();
  ++m_WriteCount;
  auto Found = m_State.m_Leases.find(Lease);
  if (Found == m_State.m_Leases.end())
    return Seconds::zero();
  Found->second.m_Expires = m_Scheduler.now() + Found->second.m_Term;
  return Found->second.m_Term;
}

auto InMemoryStore::extendLeases(Duration Span) -> void {
  for (auto &[Id, Current] : m_State.m_Leases)
    Current.m_Expires += Span;
}

auto InMemoryStore::revokeLease(LeaseId Lease) -> bool {
  removeExpiredLeases();
  ++m_WriteCount;
  if (!m_State.m_Leases.contains(Lease))
    return false;
  removeLease(Lease);
  return true;
}

auto InMemoryStore::removeExpiredLeases() -> void {
  auto Now = m_Scheduler.now();
  auto Expired = std::vector<LeaseId>();
  for (const auto &[Id, Current] : m_State.m_Leases)
    if (Current.m_Expires <= Now)
      Expired.push_back(Id);
  for (auto Id : Expired)
    removeLease(Id);
}

auto InMemoryStore::removeLease(LeaseId Lease) -> void {
  m_State.m_Leases.erase(Lease);
  auto Expired = std::vector<std::string>();
  for (const auto &[Key, Current] : m_State.m_Records)
    if (Current.m_Lease == Lease)
      Expired.push_back(Key);
  if (Expired.empty())
    return;
  ++m_State.m_Revision;
  for (const auto &Key : Expired) {
    m_State.m_Records.erase(Key);
    recordChange(Key, std::nullopt);
  }
}

auto InMemoryStore::recordChange(const std::string &Key,
                                 std::optional<std::string> Value) -> void {
  m_State.m_Changes.push_back(
      {.m_Key = Key, .m_Value = std::move(Value), .m_Revision = revision()});
}

auto InMemoryStore::changes(const std::string &Prefix, StoreRevision After)
    -> WatchResult {
  removeExpiredLeases();
  auto Result =
      WatchResult{.m_Revision = revision(),
                  .m_HistoryLost = After.number() > m_State.m_Revision};
  for (const auto &Change : m_State.m_Changes)
    if (Change.m_Revision.number() > After.number() &&
        Change.m_Key.starts_with(Prefix))
      Result.m_Changes.push_back(
          {.m_Key = Change.m_Key,
           .m_Value = Change.m_Value,
           .m_Revision = StoreRevision{Change.m_Revision.number(), m_Era}});
  return Result;
}

auto InMemoryStore::revision() const -> StoreRevision {
  return StoreRevision{m_State.m_Revision, m_Era};
}

auto InMemoryStore::copy() const -> Copy {
  auto Result = Copy();
  Result.m_State = m_State;
  return Result;
}

auto InMemoryStore::restore(const Copy &Source, Duration CopyAge) -> void {
  m_State = Source.m_State;
  extendLeases(CopyAge);
  m_Era = StoreEra{m_Era.number() + 1};
}

} // namespace dotterel
