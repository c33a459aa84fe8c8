#include "dotterel/gate/GateProcess.h"

auto main(int ArgumentCount, char **Arguments) -> int {
  auto Declared = dotterel::gateSettings();
  return dotterel::runProgram(Declared, ArgumentCount, Arguments,
                              &dotterel::runGate);
}
