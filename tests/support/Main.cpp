#define DOCTEST_CONFIG_IMPLEMENT
#include <cstdlib>
#include <doctest/doctest.h>

/// Runs the tests with a stated seed for generated cases.
auto main(int ArgumentCount, char **Arguments) -> int {
  constexpr auto KeepGivenValue = 0;
  ::setenv("RC_PARAMS", "seed=20261204", KeepGivenValue);
  auto Context = doctest::Context(ArgumentCount, Arguments);
  return Context.run();
}
