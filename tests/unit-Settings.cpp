#include "dotterel/base/Errors.h"
#include "dotterel/gate/GateProcess.h"
#include "dotterel/settings/Settings.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace dotterel;

namespace {

auto sample() -> Settings {
  return {"sample",
          "A sample.",
          {{.m_Name = "sample-name",
            .m_Kind = SettingKind::Name,
            .m_Help = "h",
            .m_Required = true},
           {.m_Name = "sample-port",
            .m_Kind = SettingKind::Integer,
            .m_Default = "5",
            .m_Help = "h",
            .m_Min = 1,
            .m_Max = 10},
           {.m_Name = "sample-address",
            .m_Kind = SettingKind::Address,
            .m_Default = "127.0.0.1:0",
            .m_Help = "h"},
           {.m_Name = "sample-url",
            .m_Kind = SettingKind::Url,
            .m_Default = "http://a:1",
            .m_Help = "h"},
           {.m_Name = "sample-kind",
            .m_Kind = SettingKind::Choice,
            .m_Default = "one",
            .m_Help = "h",
            .m_Choices = {"one", "two"}},
           {.m_Name = "sample-switch",
            .m_Kind = SettingKind::Switch,
            .m_Default = "false",
            .m_Help = "h"},
           {.m_Name = "sample-secret",
            .m_Kind = SettingKind::Integer,
            .m_Default = "1",
            .m_Help = "h",
            .m_Min = 1,
            .m_Max = 2,
            .m_Secret = true}}};
}

auto parse(Settings &Target, std::vector<const char *> Arguments)
    -> SettingsAction {
  Arguments.insert(Arguments.begin(), "sample");
  return Target.parse(static_cast<int>(Arguments.size()), Arguments.data());
}

} // namespace

TEST_CASE("settings: the message about an invalid value names the flag, the "
          "environment variable, the value and the allowed values") {
  struct Case {
    const char *m_Argument;
    const char *m_Expected;
  };
  const auto Cases = std::vector<Case>{
      {"--sample-name=a b", "--sample-name (DOTTEREL_SAMPLE_NAME): is 'a b'"},
      {"--sample-name=", "--sample-name (DOTTEREL_SAMPLE_NAME): is missing"},
      {"--sample-port=0", "is '0'; allowed: 1 to 10"},
      {"--sample-port=11", "is '11'; allowed: 1 to 10"},
      {"--sample-port=5x", "is '5x'; allowed: 1 to 10"},
      {"--sample-port=", "is missing; allowed: 1 to 10"},
      {"--sample-address=localhost:1", "allowed: IP:PORT"},
      {"--sample-address=127.0.0.1:99999", "allowed: IP:PORT"},
      {"--sample-url=ftp://a", "allowed: http://"},
      {"--sample-url=http://a/", "allowed: http://"},
      {"--sample-kind=three", "is 'three'; allowed: one, two"},
      {"--sample-switch=maybe", "is 'maybe'; allowed: true, false"},
  };
  for (const auto &Item : Cases) {
    CAPTURE(std::string(Item.m_Argument));
    auto Target = sample();
    auto Message = std::string();
    try {
      parse(Target, {"--sample-name=ok", Item.m_Argument});
    } catch (const SettingsError &Failure) {
      Message = Failure.what();
      CHECK(Failure.id() == 101);
    }
    CHECK(Message.find(Item.m_Expected) != std::string::npos);
  }
}

TEST_CASE(
    "settings: all invalid values are reported at once, without secrets") {
  auto Target = sample();
  auto Message = std::string();
  try {
    parse(Target,
          {"--sample-port=0", "--sample-kind=x", "--sample-secret=777"});
  } catch (const SettingsError &Failure) {
    Message = Failure.what();
  }
  for (const auto *Name :
       {"--sample-name", "--sample-port", "--sample-kind", "--sample-secret"})
    CHECK(Message.find(Name) != std::string::npos);
  CHECK(Message.find("777") == std::string::npos);
}

TEST_CASE("settings: a flag takes precedence over its environment variable, "
          "which takes precedence over the default") {
  auto Target = sample();
  parse(Target, {"--sample-name=a"});
  CHECK(Target.integer("sample-port") == 5);
  ::setenv("DOTTEREL_SAMPLE_PORT", "7", 1);
  auto FromVariable = sample();
  parse(FromVariable, {"--sample-name=a"});
  CHECK(FromVariable.integer("sample-port") == 7);
  auto FromFlag = sample();
  parse(FromFlag, {"--sample-name=a", "--sample-port=8"});
  CHECK(FromFlag.integer("sample-port") == 8);
  ::unsetenv("DOTTEREL_SAMPLE_PORT");
}

TEST_CASE("settings: switches, operands, help, version, check, unknown flags") {
  auto Target = sample();
  CHECK(parse(Target, {"--sample-name=a", "--sample-switch", "x", "y"}) ==
        SettingsAction::Run);
  CHECK(Target.enabled("sample-switch"));
  CHECK(Target.operands() == std::vector<std::string>{"x", "y"});
  CHECK(parse(Target, {"--help"}) == SettingsAction::Help);
  CHECK(parse(Target, {"--version"}) == SettingsAction::Version);
  CHECK(parse(Target, {"--sample-name=a", "--check"}) == SettingsAction::Check);
  auto Fresh = sample();
  CHECK_THROWS_WITH_AS(parse(Fresh, {"--no-such-flag"}),
                       doctest::Contains("--no-such-flag"), SettingsError);
  // The help text lists the environment variable of every declared setting.
  auto Gate = gateSettings();
  for (const auto &Item : Gate.declared())
    CHECK(Gate.help().find(Settings::environmentVariable(Item.m_Name)) !=
          std::string::npos);
}
