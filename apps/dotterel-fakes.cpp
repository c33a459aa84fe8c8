#include "dotterel/fakes/FakeProcess.h"

auto main(int ArgumentCount, char **Arguments) -> int {
  auto Declared = dotterel::fakeSettings();
  return dotterel::runProgram(Declared, ArgumentCount, Arguments,
                              &dotterel::runFake);
}
