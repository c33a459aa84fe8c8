//===- Random.h - Seedable random source ------------------------*- C++ -*-===//
///
/// \file
/// The only source of randomness for decision logic.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_RANDOM_H
#define DOTTEREL_BASE_RANDOM_H

#include <cstdint>
#include <random>
#include <string>

namespace dotterel {

/// Pseudo-random numbers from a stated seed.
class Random {
public:
  explicit Random(std::uint64_t Seed) : m_Engine(Seed) {}

  /// A number in [0, \p Bound). \pre Bound > 0.
  auto below(std::uint64_t Bound) -> std::uint64_t;

  /// A number in [0, 1).
  auto unit() -> double;

  /// Sixteen hexadecimal digits.
  auto hex() -> std::string;

private:
  std::mt19937_64 m_Engine;
};

/// A seed from the operating system.
auto systemSeed() -> std::uint64_t;

} // namespace dotterel

#endif // DOTTEREL_BASE_RANDOM_H
