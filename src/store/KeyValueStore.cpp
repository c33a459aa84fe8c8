#include "dotterel/store/KeyValueStore.h"

#include <cassert>

namespace dotterel {

auto KeyRange::prefix(const std::string &Prefix) -> KeyRange {
  assert(!Prefix.empty() && Prefix.back() != '\xff' && "no end of the range");
  auto End = Prefix;
  ++End.back();
  return {.m_First = Prefix, .m_End = End};
}

} // namespace dotterel
