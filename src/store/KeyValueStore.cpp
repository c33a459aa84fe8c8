#include "dotterel/store/KeyValueStore.h"

#include <algorithm>

#include <cassert>

namespace dotterel {

auto KeyRange::prefix(const std::string &Prefix) -> KeyRange {
  assert(!Prefix.empty() && Prefix.back() != '\xff' &&
         "the prefix must not be empty or end with byte 0xff");
  auto End = Prefix;
  ++End.back();
  return {.m_First = Prefix, .m_End = End};
}

namespace {

auto isOf(StoreEra Era, StoreRevision Revision) -> bool {
  return Revision.number() == 0 || Revision.era() == Era;
}

} // namespace

auto comparedNumber(const StoreCompare &Compare, StoreEra Era)
    -> std::uint64_t {
  // The largest number that a JSON number holds exactly.
  constexpr auto Unreachable = (std::uint64_t{1} << 53U) - 1;
  return isOf(Era, Compare.m_Modified) ? Compare.m_Modified.number()
                                       : Unreachable;
}

auto comparesOnly(StoreEra Era, const StoreTransaction &Transaction) -> bool {
  return std::all_of(Transaction.m_Compares.begin(),
                     Transaction.m_Compares.end(),
                     [Era](const StoreCompare &Compare) {
                       return isOf(Era, Compare.m_Modified);
                     });
}

} // namespace dotterel
