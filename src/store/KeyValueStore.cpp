#include "dotterel/store/KeyValueStore.h"

#include <cassert>

namespace dotterel {

auto KeyRange::prefix(const std::string &Prefix) -> KeyRange {
  assert(!Prefix.empty() && Prefix.back() != '\xff' &&
         "the prefix must not be empty or end with byte 0xff");
  auto End = Prefix;
  ++End.back();
  return {.m_First = Prefix, .m_End = End};
}

} // namespace dotterel
