#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>
#include <doctest/doctest.h>

/// Runs the tests with a fixed seed for generated test cases, unless RC_PARAMS
/// is set.
auto main(int ArgumentCount, char **Arguments) -> int {
  constexpr auto KeepExistingValue = 0;
  ::setenv("RC_PARAMS", "seed=20261204", KeepExistingValue);
  auto Context = doctest::Context(ArgumentCount, Arguments);
  return Context.run();
}
