#include "dotterel/store/InMemoryStore.h"

#include <algorithm>
#include <vector>

namespace dotterel {

auto StoreModel::read(const KeyRange &Range) -> RangeResult {
  expire();
  ++m_Reads;
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

auto StoreModel::commit(const StoreTransaction &Transaction)
    -> TransactionResult {
  expire();
  ++m_Writes;
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

auto StoreModel::grantLease(Seconds Term) -> LeaseId {
  expire();
  ++m_Writes;
  auto Id = LeaseId{++m_LastLease};
  m_Leases[Id] = {.m_Term = Term, .m_Expires = m_Scheduler.now() + Term};
  return Id;
}

auto StoreModel::keepLease(LeaseId Lease) -> Seconds {
  expire();
  ++m_Writes;
  auto Found = m_Leases.find(Lease);
  if (Found == m_Leases.end())
    return Seconds::zero();
  Found->second.m_Expires = m_Scheduler.now() + Found->second.m_Term;
  return Found->second.m_Term;
}

auto StoreModel::extendLeases(Duration Span) -> void {
  for (auto &[Id, Current] : m_Leases)
    Current.m_Expires += Span;
}

auto StoreModel::revokeLease(LeaseId Lease) -> bool {
  expire();
  ++m_Writes;
  if (!m_Leases.contains(Lease))
    return false;
  dropLease(Lease);
  return true;
}

auto StoreModel::expire() -> void {
  auto Now = m_Scheduler.now();
  auto Lapsed = std::vector<LeaseId>();
  for (const auto &[Id, Held] : m_Leases)
    if (Held.m_Expires <= Now)
      Lapsed.push_back(Id);
  for (auto Id : Lapsed)
    dropLease(Id);
}

auto StoreModel::dropLease(LeaseId Lease) -> void {
  m_Leases.erase(Lease);
  auto Removed = std::erase_if(m_Records, [Lease](const auto &Item) {
    return Item.second.m_Lease == Lease;
  });
  if (Removed > 0)
    ++m_Revision;
}

} // namespace dotterel
