#include "dotterel/base/Random.h"

#include <cassert>
#include <fmt/format.h>

namespace dotterel {

auto Random::below(std::uint64_t Bound) -> std::uint64_t {
  assert(Bound > 0 && "Bound must be greater than 0");
  return std::uniform_int_distribution<std::uint64_t>(0, Bound - 1)(m_Engine);
}

auto Random::unit() -> double {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_Engine);
}

auto Random::hex() -> std::string { return fmt::format("{:016x}", m_Engine()); }

auto systemSeed() -> std::uint64_t {
  auto Device = std::random_device();
  return (static_cast<std::uint64_t>(Device()) << 32U) | Device();
}

} // namespace dotterel
