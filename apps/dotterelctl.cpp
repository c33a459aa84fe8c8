#include "dotterel/ctl/CheckCommand.h"
#include "dotterel/ctl/Command.h"
#include "platform/RecordDecoder.h"

#include <string_view>

auto main(int ArgumentCount, char **Arguments) -> int {
  // A check needs no gate, so its settings are its own.
  if (ArgumentCount > 1 && std::string_view(Arguments[1]) == "check") {
    auto Declared = dotterel::checkSettings();
    return dotterel::runProgram(
        Declared, ArgumentCount, Arguments, [](const auto &Values) {
          return dotterel::runCheck(Values,
                                    &dotterel::platform::decodeConfiguration);
        });
  }
  auto Declared = dotterel::ctlSettings();
  return dotterel::runProgram(Declared, ArgumentCount, Arguments,
                              &dotterel::runCtl);
}
