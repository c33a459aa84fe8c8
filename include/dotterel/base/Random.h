//===- Random.h - Seeded random numbers -------------------------*- C++ -*-===//
///
/// \file
/// The only source of randomness for decision logic; a fixed seed makes the
/// decisions reproducible.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_BASE_RANDOM_H
#define DOTTEREL_BASE_RANDOM_H

#include <cstdint>
#include <random>
#include <string>

namespace dotterel {

/// Generates pseudo-random numbers from a given seed.
class Random {
public:
  explicit Random(std::uint64_t Seed) : m_Engine(Seed) {}

  /// Returns a uniformly distributed integer in [0, \p Bound).
  /// \pre Bound > 0
  auto below(std::uint64_t Bound) -> std::uint64_t;

  /// Returns a uniformly distributed number in [0, 1).
  auto unit() -> double;

  /// Returns 16 random hexadecimal digits.
  auto hex() -> std::string;

private:
  std::mt19937_64 m_Engine;
};

/// Returns a non-deterministic seed from the operating system.
auto systemSeed() -> std::uint64_t;

} // namespace dotterel

#endif // DOTTEREL_BASE_RANDOM_H
