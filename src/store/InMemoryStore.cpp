#include "dotterel/store/InMemoryStore.h"

#include <algorithm>
#include <vector>

namespace dotterel {

auto InMemoryStore::read(const KeyRange &Range) -> RangeResult {
  removeExpiredLeases();
  ++m_ReadCount;
  auto Result = RangeResult{.m_Revision = StoreRevision{m_Revision}};
  auto Item = m_Records.lower_bound(Range.m_First);
  for (; Item != m_Records.end(); ++Item) {
    auto Inside = Range.m_End.empty() ? Item->first == Range.m_First
                                      : Item->first < Range.m_End;
    if (!Inside)
      break;
    Result.m_Values.push_back({.m_Key = Item->first,
                               .m_Value = Item->second.m_Value,
                               .m_Modified = Item->second.m_Modified});
  }
  return Result;
}

auto InMemoryStore::commit(const StoreTransaction &Transaction)
    -> TransactionResult {
  removeExpiredLeases();
  ++m_WriteCount;
  auto Holds = [this](const StoreCompare &Compare) {
    auto Found = m_Records.find(Compare.m_Key);
    auto Modified =
        Found == m_Records.end() ? StoreRevision{} : Found->second.m_Modified;
    return Modified == Compare.m_Modified;
  };
  auto LeasesLive = std::all_of(
      Transaction.m_Writes.begin(), Transaction.m_Writes.end(),
      [this](const StoreWrite &Write) {
        return Write.m_Lease == LeaseId{} || m_Leases.contains(Write.m_Lease);
      });
  if (!LeasesLive || !std::all_of(Transaction.m_Compares.begin(),
                                  Transaction.m_Compares.end(), Holds))
    return {.m_Applied = false, .m_Revision = StoreRevision{m_Revision}};
  ++m_Revision;
  for (const auto &Write : Transaction.m_Writes) {
    if (!Write.m_Value) {
      m_Records.erase(Write.m_Key);
      continue;
    }
    m_Records[Write.m_Key] = {.m_Value = *Write.m_Value,
                              .m_Modified = StoreRevision{m_Revision},
                              .m_Lease = Write.m_Lease};
  }
  return {.m_Applied = true, .m_Revision = StoreRevision{m_Revision}};
}

auto InMemoryStore::grantLease(Seconds Term) -> LeaseId {
  removeExpiredLeases();
  ++m_WriteCount;
  auto Id = LeaseId{++m_LastLease};
  m_Leases[Id] = {.m_Term = Term, .m_Expires = m_Scheduler.now() + Term};
  return Id;
}

auto InMemoryStore::renewLease(LeaseId Lease) -> Seconds {
  removeExpiredLeases();
  ++m_WriteCount;
  auto Found = m_Leases.find(Lease);
  if (Found == m_Leases.end())
    return Seconds::zero();
  Found->second.m_Expires = m_Scheduler.now() + Found->second.m_Term;
  return Found->second.m_Term;
}

auto InMemoryStore::extendLeases(Duration Span) -> void {
  for (auto &[Id, Current] : m_Leases)
    Current.m_Expires += Span;
}

auto InMemoryStore::revokeLease(LeaseId Lease) -> bool {
  removeExpiredLeases();
  ++m_WriteCount;
  if (!m_Leases.contains(Lease))
    return false;
  removeLease(Lease);
  return true;
}

auto InMemoryStore::removeExpiredLeases() -> void {
  auto Now = m_Scheduler.now();
  auto Expired = std::vector<LeaseId>();
  for (const auto &[Id, Current] : m_Leases)
    if (Current.m_Expires <= Now)
      Expired.push_back(Id);
  for (auto Id : Expired)
    removeLease(Id);
}

auto InMemoryStore::removeLease(LeaseId Lease) -> void {
  m_Leases.erase(Lease);
  auto Removed = std::erase_if(m_Records, [Lease](const auto &Item) {
    return Item.second.m_Lease == Lease;
  });
  if (Removed > 0)
    ++m_Revision;
}

} // namespace dotterel
