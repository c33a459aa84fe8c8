#include "dotterel/ctl/Command.h"

auto main(int ArgumentCount, char **Arguments) -> int {
  auto Declared = dotterel::ctlSettings();
  return dotterel::runProgram(Declared, ArgumentCount, Arguments,
                              &dotterel::runCtl);
}
