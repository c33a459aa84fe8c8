//===- Command.h - Operators' commands --------------------------*- C++ -*-===//
///
/// \file
/// The commands of dotterelctl.
///
//===----------------------------------------------------------------------===//
#ifndef DOTTEREL_CTL_COMMAND_H
#define DOTTEREL_CTL_COMMAND_H

#include "dotterel/settings/Settings.h"

#include <string>
#include <vector>

namespace dotterel {

/// What a command sends to a gate.
struct Command {
  std::string m_Name; ///< For example `preset create`.
  std::string m_Summary;
  std::string m_Method;
  std::string m_Path;
  /// Settings that become members of the body, in order.
  std::vector<std::string> m_Members;
  std::vector<std::string> m_Required; ///< Of the members.
  bool m_Waits = false; ///< Waits until the change is in force everywhere.
};

/// All commands.
auto commands() -> const std::vector<Command> &;

/// The settings of dotterelctl.
auto ctlSettings() -> Settings;

/// Carries out the command that the operands name. \returns the exit code: 0
/// done, 1 refused or not reachable, 3 accepted but not yet in force
/// everywhere.
/// \throws SettingsError 102 for an unknown command or a missing argument.
auto runCtl(const Settings &Values) -> int;

} // namespace dotterel

#endif // DOTTEREL_CTL_COMMAND_H
