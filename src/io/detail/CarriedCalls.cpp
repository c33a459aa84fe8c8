#include "dotterel/io/detail/CarriedCalls.h"

#include <xxhash.h>

namespace dotterel::detail {

namespace {

auto hashOf(const HttpHeader &Echoed) -> std::uint64_t {
  return XXH3_64bits(Echoed.m_Value.data(), Echoed.m_Value.size());
}

} // namespace

auto CarriedCalls::distinguishes(const HttpHeader &Echoed) const -> bool {
  // An unnamed call may consume a copy of an earlier response; its own response
  // would then be read as that of the next call.
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
