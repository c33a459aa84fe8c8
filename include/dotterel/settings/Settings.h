//===- Settings.h - Flags and environment variables -------------*- C++ -*-===//
///
/// \file
/// Declares a program's settings once, and reads and checks them all.
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
  Text,    ///< Any text; empty only when the default is.
  Name,    ///< Letters, digits, hyphen, underscore, dot.
  Address, ///< IP:PORT.
  Url,     ///< http:// or https:// and an address.
  Integer, ///< Within m_Least and m_Most.
  Choice,  ///< One of m_Choices.
  Switch,  ///< true or false; as a flag without a value: true.
};

/// One setting. Its environment variable is `DOTTEREL_` and the name in upper
/// case with underscores.
struct Setting {
  std::string m_Name;
  SettingKind m_Kind = SettingKind::Text;
  std::string m_Default;
  std::string m_Help;
  std::int64_t m_Least = 0;
  std::int64_t m_Most = 0;
  std::vector<std::string> m_Choices;
  bool m_Required = false;
  bool m_Secret = false; ///< Never printed.
};

/// A whole number within bounds.
auto integerSetting(std::string Name, std::string Default, std::string Help,
                    std::int64_t Least, std::int64_t Most) -> Setting;

/// What to do after the command line was read.
enum class SettingsAction : std::uint8_t { Run, Check, Help, Version };

/// The settings of one program: a flag goes before its environment variable,
/// and that before the default.
class Settings {
public:
  Settings(std::string Program, std::string Summary,
           std::vector<Setting> Declared);

  /// Reads \p Arguments and the environment.
  /// \throws SettingsError 101 listing every wrong setting with its value and
  /// what is allowed; 102 when the command line cannot be parsed.
  auto parse(int ArgumentCount, const char *const *Arguments) -> SettingsAction;

  /// \pre the setting is declared.
  [[nodiscard]] auto text(const std::string &Name) const -> const std::string &;
  [[nodiscard]] auto integer(const std::string &Name) const -> std::int64_t;
  [[nodiscard]] auto milliseconds(const std::string &Name) const
      -> Milliseconds;
  [[nodiscard]] auto enabled(const std::string &Name) const -> bool;

  /// Arguments that are no flags.
  [[nodiscard]] auto operands() const -> const std::vector<std::string> & {
    return m_Operands;
  }

  [[nodiscard]] auto help() const -> std::string;
  [[nodiscard]] static auto version() -> std::string;

  /// The environment variable of a setting.
  static auto variableOf(const std::string &Name) -> std::string;

  [[nodiscard]] auto declared() const -> const std::vector<Setting> & {
    return m_Declared;
  }

private:
  auto readFlags(int ArgumentCount, const char *const *Arguments)
      -> SettingsAction;
  auto readEnvironment() -> void;
  /// The arguments, with `=true` behind switches that have no value.
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

/// Runs a program's main: reads settings, handles --help, --version and
/// --check, and turns exceptions into messages and exit codes: 2 for wrong
/// settings, 1 for a failure while running.
auto runProgram(Settings &Declared, int ArgumentCount,
                const char *const *Arguments,
                int (*Run)(const class Settings &)) -> int;

} // namespace dotterel

#endif // DOTTEREL_SETTINGS_SETTINGS_H
