#include "dotterel/steward/StewardProcess.h"

auto main(int ArgumentCount, char **Arguments) -> int {
  auto Declared = dotterel::stewardSettings();
  return dotterel::runProgram(Declared, ArgumentCount, Arguments,
                              &dotterel::runSteward);
}
