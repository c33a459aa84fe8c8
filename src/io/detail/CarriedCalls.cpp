#include "dotterel/io/detail/CarriedCalls.h"

#include <xxhash.h>

namespace dotterel::detail {

namespace {

auto hashOf(const HttpHeader &Echoed) -> std::uint64_t {
  return XXH3_64bits(Echoed.m_Value.data(), Echoed.m_Value.size());
}

} // namespace

auto CarriedCalls::distinguishes(const HttpHeader &Echoed) const -> bool {
  // A copy of a response may stand where that to an unnamed call is due, which
  // then comes in place of a later one.
  if (Echoed.m_Name.empty())
    return m_Values.empty();
  return !m_Unnamed && !m_Values.contains(hashOf(Echoed));
}

auto CarriedCalls::add(const HttpHeader &Echoed) -> void {
  if (Echoed.m_Name.empty())
    m_Unnamed = true;
  else
    m_Values.insert(hashOf(Echoed));
}

} // namespace dotterel::detail
