#include "dotterel/load/LoadProcess.h"

auto main(int ArgumentCount, char **Arguments) -> int {
  auto Declared = dotterel::loadSettings();
  return dotterel::runProgram(Declared, ArgumentCount, Arguments,
                              &dotterel::runLoad);
}
