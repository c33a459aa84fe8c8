//===- Settings.h - Flags and environment variables -------------*- C++ -*-===//
///
/// \file
/// Declares the settings of a program, and reads and checks their values.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_SETTINGS_SETTINGS_H
#define DOTTEREL_SETTINGS_SETTINGS_H

#include "dotterel/base/Units.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dotterel {

enum class SettingKind : std::uint8_t {
  Text,    ///< Any text; may be empty only if the default is empty.
  Name,    ///< Letters, digits, hyphen, underscore, dot.
  Address, ///< IP:PORT.
  Url,     ///< http:// or https:// and an address, without a final slash.
  Integer, ///< Within m_Min and m_Max.
  Choice,  ///< One of m_Choices.
  Switch,  ///< true or false; a flag without a value means true.
};

/// The declaration of a setting. Its environment variable is `DOTTEREL_`
/// followed by the name in upper case with underscores instead of hyphens.
struct Setting {
  std::string m_Name;
  SettingKind m_Kind = SettingKind::Text;
  std::string m_Default;
  std::string m_Help;
  std::int64_t m_Min = 0;
  std::int64_t m_Max = 0;
  std::vector<std::string> m_Choices;
  bool m_Required = false;
  bool m_Secret = false; ///< Whether the value must never be printed.
};

/// Returns the declaration of an integer from \p Min to \p Max.
auto integerSetting(std::string Name, std::string Default, std::string Help,
                    std::int64_t Min, std::int64_t Max) -> Setting;

/// The action that the command line selects.
enum class SettingsAction : std::uint8_t { Run, Check, Help, Version };

/// The settings of a program. A flag takes precedence over its environment
/// variable, which takes precedence over the default.
class Settings {
public:
  Settings(std::string Program, std::string Summary,
           std::vector<Setting> Declared);

  /// Reads \p Arguments and the environment, and checks the values.
  /// \throws SettingsError 101 if values are not allowed; the message lists
  /// every such setting with its value, unless secret, and the allowed values.
  /// \throws SettingsError 102 if the command line cannot be parsed.
  auto parse(int ArgumentCount, const char *const *Arguments) -> SettingsAction;

  /// Return the value of a setting. \pre the setting is declared.
  [[nodiscard]] auto text(const std::string &Name) const -> const std::string &;
  [[nodiscard]] auto integer(const std::string &Name) const -> std::int64_t;
  [[nodiscard]] auto milliseconds(const std::string &Name) const
      -> Milliseconds;
  [[nodiscard]] auto enabled(const std::string &Name) const -> bool;

  /// Returns the arguments that are not flags.
  [[nodiscard]] auto operands() const -> const std::vector<std::string> & {
    return m_Operands;
  }

  /// Returns the output of --help.
  [[nodiscard]] auto help() const -> std::string;
  [[nodiscard]] static auto version() -> std::string;

  /// Returns the name of the environment variable of a setting.
  static auto environmentVariable(const std::string &Name) -> std::string;

  [[nodiscard]] auto declared() const -> const std::vector<Setting> & {
    return m_Declared;
  }

private:
  auto readFlags(int ArgumentCount, const char *const *Arguments)
      -> SettingsAction;
  auto readEnvironment() -> void;
  /// Returns the arguments with `=true` appended to switches without a value.
  [[nodiscard]] auto withSwitchValues(int ArgumentCount,
                                      const char *const *Arguments) const
      -> std::vector<std::string>;
  auto check() const -> void;

  std::string m_Program;
  std::string m_Summary;
  std::vector<Setting> m_Declared;
  std::map<std::string, std::string> m_Values;
  std::vector<std::string> m_Operands;
};

/// Implements the main function of a program: reads the settings, handles
/// --help, --version and --check, and converts exceptions to messages on
/// standard error and exit codes: 2 for invalid settings, 1 for a failure while
/// running.
auto runProgram(Settings &Declared, int ArgumentCount,
                const char *const *Arguments,
                int (*Run)(const class Settings &)) -> int;

} // namespace dotterel

#endif // DOTTEREL_SETTINGS_SETTINGS_H
